// Package api implements a controller's HTTP handlers: one for users, workers, health checks and
// operators, and one for the other controllers, which connect to a separate listener.
package api

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/peer"
)

// Paths for users, workers and health checks.
const (
	jobsPath      = "/v2/runs"
	jobPath       = jobsPath + "/:id"
	cancelPath    = jobPath + "/withdraw"
	heartbeatPath = "/checkin"
	healthPath    = "/healthz"
)

// handlers handles HTTP requests by calling a controller.
type handlers struct {
	controller *controller.Controller
	log        *slog.Logger
	// connectionLoad reports which connections of the listener for users and workers are not to be
	// kept open. It is nil in the handler for peers.
	connectionLoad func() ConnectionLoad
}

// ConnectionLoad says which connections are closed after each answer, because the listener for users
// and workers is near its limit. Otherwise its clients could find no free connection.
type ConnectionLoad int

// Loads, lowest first.
const (
	KeepConnections      ConnectionLoad = iota
	CloseUserConnections                // workers have priority over users
	CloseAllConnections
)

// NewHandler makes the handler for users, workers, health checks and operators.
func NewHandler(c *controller.Controller, log *slog.Logger, connectionLoad func() ConnectionLoad) http.Handler {
	h := &handlers{controller: c, log: log, connectionLoad: connectionLoad}
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

// NonBlocking reports whether a request is a heartbeat or a health check. Once the request is read,
// their handlers answer without waiting for another service or process.
func NonBlocking(r *http.Request) bool {
	return r.URL.Path == heartbeatPath || r.URL.Path == healthPath
}

func newRouter(log *slog.Logger) *echo.Echo {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = func(err error, c echo.Context) { handleError(c, log, err) }
	return router
}

// handleError answers a request after its routing or its handler returned an error.
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
