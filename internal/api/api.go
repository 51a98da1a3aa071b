// Package api serves users, workers, health checks and operators over HTTP, and the other
// controllers on a listener of their own.
package api

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/peer"
)

// Paths of users, workers and health checks.
const (
	jobsPath      = "/v2/runs"
	jobPath       = jobsPath + "/:id"
	cancelPath    = jobPath + "/withdraw"
	heartbeatPath = "/checkin"
	healthPath    = "/healthz"
)

// handlers answers requests from a controller.
type handlers struct {
	controller *controller.Controller
	log        *slog.Logger
	crowded    func() bool // whether few more connections can be accepted
}

// NewHandler makes the handler for users, workers, health checks and operators. Where the
// listener is crowded, users' connections are closed after their answer: workers
// rank first, and find none free otherwise.
func NewHandler(c *controller.Controller, log *slog.Logger, crowded func() bool) http.Handler {
	h := &handlers{controller: c, log: log, crowded: crowded}
	router := newRouter(log)
	router.POST(jobsPath, h.submit)
	router.GET(jobPath, h.query)
	router.POST(cancelPath, h.cancel)
	router.GET(healthPath, h.health)
	router.POST(heartbeatPath, h.heartbeat)
	h.registerOperatorRoutes(router.Group(OperatorPath))
	return router
}

// NewPeerHandler makes the handler for the other controllers.
func NewPeerHandler(c *controller.Controller, log *slog.Logger) http.Handler {
	h := &handlers{controller: c, log: log}
	router := newRouter(log)
	router.POST(peer.PingPath, h.ping)
	router.POST(peer.WatchProcessPath, h.watchProcess)
	router.POST(peer.ForwardPath, h.forward)
	return router
}

// NonBlocking reports whether a request's handler answers without waiting for another
// service or process.
func NonBlocking(r *http.Request) bool {
	return r.URL.Path == heartbeatPath || r.URL.Path == healthPath
}

func newRouter(log *slog.Logger) *echo.Echo {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = func(err error, c echo.Context) { handleError(c, log, err) }
	return router
}

// handleError answers a request whose handler, or the routing to it, failed.
func handleError(c echo.Context, log *slog.Logger, err error) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	} else {
		log.Error("request failed", "path", c.Path(), "err", err)
	}
	if !c.Response().Committed {
		_ = writeError(c, status, http.StatusText(status))
	}
}
