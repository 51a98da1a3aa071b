package api

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/httpserver"
	"github.com/yarrowgap/yarrowgap/wire"
)

func (h *handlers) health(c echo.Context) error {
	if !h.controller.Healthy() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// ObserveHealthChecks returns an observer of requests that counts health checks at the controller.
func ObserveHealthChecks(c *controller.Controller) httpserver.Observer {
	return func(request *http.Request, status int, duration time.Duration) {
		if request.URL.Path == healthPath {
			c.HealthCheckAnswered(status, duration)
		}
	}
}

func (h *handlers) heartbeat(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	heartbeat, err := parseHeartbeat(body)
	if err != nil {
		h.log.Error("malformed heartbeat", "from", c.Request().RemoteAddr, "err", err)
		return writeError(c, http.StatusBadRequest, err.Error())
	}
	answer := h.controller.Heartbeat(heartbeat)
	if h.connectionLoad() >= CloseAllConnections {
		closeConnection(c)
	}
	switch answer.Status {
	case http.StatusOK:
		return writeMessage(c, answer.Status, answer.Reply)
	case http.StatusMisdirectedRequest:
		return writeMessage(c, answer.Status, answer.Redirect)
	default:
		return writeError(c, answer.Status, "no leader known")
	}
}

func parseHeartbeat(body []byte) (*wire.Heartbeat, error) {
	heartbeat := &wire.Heartbeat{}
	if err := wire.Unmarshal(body, heartbeat); err != nil {
		return nil, err
	}
	return heartbeat, heartbeat.Validate()
}
