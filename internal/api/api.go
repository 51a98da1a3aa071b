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

	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/node"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Paths of requests that are answered at once.
const (
	checkinPath = "/checkin"
	healthPath  = "/healthz"
)

func newEcho(log *slog.Logger) *echo.Echo {
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
			_ = send(c, status, wire.Error{Error: http.StatusText(status)})
		}
	}
	return e
}

// Brief reports whether a request's handler answers without waiting for anybody.
func Brief(r *http.Request) bool {
	return r.URL.Path == checkinPath || r.URL.Path == healthPath
}

// New makes the handler for users, workers, health checks and operators. Where the
// listener is crowded, users' connections are closed after their answer: workers
// rank first, and find none free otherwise.
func New(n *node.Node, log *slog.Logger, crowded func() bool) http.Handler {
	e := newEcho(log)
	answer := func(c echo.Context, a node.Answer) error {
		if crowded() {
			c.Response().Header().Set("Connection", "close")
		}
		return answer(c, a)
	}
	e.POST("/v2/runs", func(c echo.Context) error {
		body, err := read(c)
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
	e.POST(checkinPath, func(c echo.Context) error {
		body, err := read(c)
		if err != nil {
			return err
		}
		var r wire.Report
		err = wire.Unmarshal(body, &r)
		if err == nil {
			err = r.Check()
		}
		if err != nil {
			log.Error("malformed report", "from", c.Request().RemoteAddr, "err", err)
			return send(c, http.StatusBadRequest, wire.Error{Error: err.Error()})
		}
		a := n.Checkin(&r)
		switch a.Status {
		case http.StatusOK:
			return send(c, a.Status, a.Reply)
		case http.StatusMisdirectedRequest:
			return send(c, a.Status, a.Redirect)
		}
		return send(c, a.Status, wire.Error{Error: "no leader known"})
	})
	operators(e, n)
	return e
}

// NewMesh makes the handler for peers.
func NewMesh(n *node.Node, log *slog.Logger) http.Handler {
	e := newEcho(log)
	e.POST(mesh.PingPath, func(c echo.Context) error {
		var p mesh.Ping
		if err := decode(c, 2*wire.MaxBody, &p); err != nil {
			log.Error("malformed ping", "from", c.Request().RemoteAddr)
			return err
		}
		return send(c, http.StatusOK, n.Ping(p))
	})
	e.POST(mesh.HoldPath, func(c echo.Context) error {
		// Nothing is kept from anybody here: peers ask for this answer only to
		// notice at once when this process ends.
		t := time.NewTimer(tuning.HoldFor)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.Request().Context().Done():
		}
		return send(c, http.StatusOK, struct{}{})
	})
	e.POST(mesh.ForwardPath, func(c echo.Context) error {
		var f mesh.Forward
		// A submission's bytes above 0x7f take two bytes each as text.
		if err := decode(c, 2*wire.MaxBody+1024, &f); err != nil {
			log.Error("malformed forward", "from", c.Request().RemoteAddr)
			return err
		}
		return send(c, http.StatusOK, n.Forwarded(c.Request().Context(), f))
	})
	return e
}

func decode(c echo.Context, limit int64, v any) error {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil || int64(len(b)) > limit || wire.Unmarshal(b, v) != nil {
		return echo.NewHTTPError(http.StatusBadRequest)
	}
	return nil
}

// read reads a body of at most the protocol's limit.
func read(c echo.Context) ([]byte, error) {
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

func send(c echo.Context, status int, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(status, wire.ContentType, b)
}

func answer(c echo.Context, a node.Answer) error {
	switch {
	case a.View != nil:
		return send(c, a.Status, a.View)
	case a.State != nil:
		return send(c, a.Status, a.State)
	}
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
		// The load balancer works on connections: on a new one the user may
		// come to a node that is better placed.
		c.Response().Header().Set("Connection", "close")
	}
	return send(c, a.Status, wire.Error{Error: a.Error})
}
