// Package api serves users, workers, health checks and operators over HTTP.
package api

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Paths of requests that are answered at once.
const (
	heartbeatPath = "/checkin"
	healthPath    = "/healthz"
)

func newRouter(log *slog.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		} else {
			log.Error("request", "path", c.Path(), "err", err)
		}
		if !c.Response().Committed {
			_ = writeMessage(c, status, wire.ErrorReply{Message: http.StatusText(status)})
		}
	}
	return e
}

// NonBlocking reports whether a request's handler answers without waiting for anybody.
func NonBlocking(r *http.Request) bool {
	return r.URL.Path == heartbeatPath || r.URL.Path == healthPath
}

// NewHandler makes the handler for users, workers, health checks and operators. Where the
// listener is crowded, users' connections are closed after their answer: workers
// rank first, and find none free otherwise.
func NewHandler(n *controller.Controller, log *slog.Logger, crowded func() bool) http.Handler {
	e := newRouter(log)
	answer := func(c echo.Context, a controller.Answer) error {
		if crowded() {
			c.Response().Header().Set("Connection", "close")
		}
		return writeAnswer(c, a)
	}
	e.POST("/v2/runs", func(c echo.Context) error {
		body, err := readBody(c)
		if err != nil {
			return err
		}
		return answer(c, n.Submit(c.Request().Context(), body, false))
	})
	e.GET("/v2/runs/:id", func(c echo.Context) error {
		return answer(c, n.Query(c.Request().Context(), c.Param("id"), false))
	})
	e.POST("/v2/runs/:id/withdraw", func(c echo.Context) error {
		return answer(c, n.Cancel(c.Request().Context(), c.Param("id"), false))
	})
	e.GET(healthPath, func(c echo.Context) error {
		if !n.Healthy() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.POST(heartbeatPath, func(c echo.Context) error {
		body, err := readBody(c)
		if err != nil {
			return err
		}
		var r wire.Heartbeat
		err = wire.Unmarshal(body, &r)
		if err == nil {
			err = r.Validate()
		}
		if err != nil {
			log.Error("malformed report", "from", c.Request().RemoteAddr, "err", err)
			return writeMessage(c, http.StatusBadRequest, wire.ErrorReply{Message: err.Error()})
		}
		a := n.Heartbeat(&r)
		switch a.Status {
		case http.StatusOK:
			return writeMessage(c, a.Status, a.Reply)
		case http.StatusMisdirectedRequest:
			return writeMessage(c, a.Status, a.Redirect)
		}
		return writeMessage(c, a.Status, wire.ErrorReply{Message: "no leader known"})
	})
	registerOperatorRoutes(e, n)
	return e
}

// NewPeerHandler makes the handler for peers.
func NewPeerHandler(n *controller.Controller, log *slog.Logger) http.Handler {
	e := newRouter(log)
	e.POST(peer.PingPath, func(c echo.Context) error {
		var p peer.Ping
		if err := decodeBody(c, 2*wire.MaxBody, &p); err != nil {
			log.Error("malformed ping", "from", c.Request().RemoteAddr)
			return err
		}
		return writeMessage(c, http.StatusOK, n.HandlePing(p))
	})
	e.POST(peer.WatchProcessPath, func(c echo.Context) error {
		// Nothing is kept from anybody here: peers ask for this answer only to
		// notice at once when this process ends.
		t := time.NewTimer(tuning.PeerWatchTimeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.Request().Context().Done():
		}
		return writeMessage(c, http.StatusOK, struct{}{})
	})
	e.POST(peer.ForwardPath, func(c echo.Context) error {
		var f peer.ForwardRequest
		// A submission's bytes above 0x7f take two bytes each as text.
		if err := decodeBody(c, 2*wire.MaxBody+1024, &f); err != nil {
			log.Error("malformed forward", "from", c.Request().RemoteAddr)
			return err
		}
		return writeMessage(c, http.StatusOK, n.HandleForward(c.Request().Context(), f))
	})
	return e
}

func decodeBody(c echo.Context, limit int64, v any) error {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil || int64(len(b)) > limit || wire.Unmarshal(b, v) != nil {
		return echo.NewHTTPError(http.StatusBadRequest)
	}
	return nil
}

// readBody reads a body of at most the protocol's limit.
func readBody(c echo.Context) ([]byte, error) {
	r := c.Request()
	if r.ContentLength > wire.MaxBody {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest)
	}
	if len(b) > wire.MaxBody {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return b, nil
}

func writeMessage(c echo.Context, status int, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(status, wire.ContentType, b)
}

func writeAnswer(c echo.Context, a controller.Answer) error {
	switch {
	case a.View != nil:
		return writeMessage(c, a.Status, a.View)
	case a.State != nil:
		return writeMessage(c, a.Status, a.State)
	}
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
		// The load balancer works on connections: on a new one the user may
		// come to a node that is better placed.
		c.Response().Header().Set("Connection", "close")
	}
	return writeMessage(c, a.Status, wire.ErrorReply{Message: a.Error})
}
