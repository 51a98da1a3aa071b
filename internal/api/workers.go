package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/wire"
)

func (h *handlers) health(c echo.Context) error {
	if !h.controller.Healthy() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
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
