package api

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// OperatorPath is the path prefix of the operators' read-only queries. The answers are in JSON, for
// people and scripts. An administration API can be added under the same prefix later.
const OperatorPath = "/yarrowgap/v1"

// Limits on the pages of lists, in items.
const (
	defaultPageSize = 100
	maxPageSize     = 500
	maxSkip         = 1 << 20
)

func (h *handlers) registerOperatorRoutes(routes *echo.Group) {
	routes.GET("/leader", h.leader)
	routes.GET("/machines", h.machines)
	routes.GET("/jobs/:id", h.job)
	routes.GET("/waiting", h.waiting)
	routes.GET("/failures", h.failures)
	routes.GET("/recovery", h.recovery)
	routes.GET("/recovery/differences", h.differences)
	routes.GET("/metrics", h.metrics)
}

func (h *handlers) leader(c echo.Context) error {
	return c.JSON(http.StatusOK, h.controller.LeaderView())
}

func (h *handlers) machines(c echo.Context) error {
	list, ok := h.controller.MachinesView(c.QueryParam("from"), pageSize(c))
	if !ok {
		return h.writeNotLeader(c)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *handlers) job(c echo.Context) error {
	detail, found, err := h.controller.JobView(c.Request().Context(), c.Param("id"))
	switch {
	case err != nil:
		return writeUnavailable(c, errJobStateUnknown)
	case !found:
		return c.JSON(http.StatusNotFound, operatorError{Error: "no such job"})
	}
	return c.JSON(http.StatusOK, detail)
}

func (h *handlers) waiting(c echo.Context) error {
	list, ok := h.controller.WaitingView(c.QueryParam("from"), pageSize(c))
	if !ok {
		return h.writeNotLeader(c)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *handlers) failures(c echo.Context) error {
	list, ok := h.controller.FailuresView(numberParam(c, "skip", 0, maxSkip), pageSize(c))
	if !ok {
		return h.writeNotLeader(c)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *handlers) recovery(c echo.Context) error {
	status, ok, err := h.controller.RecoveryView()
	switch {
	case err != nil:
		return writeUnavailable(c, err)
	case !ok:
		return h.writeNotLeader(c)
	}
	return c.JSON(http.StatusOK, status)
}

func (h *handlers) differences(c echo.Context) error {
	query, err := parseDifferencesQuery(c.QueryParams())
	if err != nil {
		return c.JSON(http.StatusBadRequest, operatorError{Error: err.Error()})
	}
	list, ok := h.controller.DifferencesView(query.class, query.skip, query.limit)
	if !ok {
		return h.writeNotLeader(c)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *handlers) metrics(c echo.Context) error {
	return c.JSON(http.StatusOK, h.controller.MetricsView())
}

func pageSize(c echo.Context) int { return numberParam(c, "most", defaultPageSize, maxPageSize) }

// numberParam returns the smaller of a query parameter and maximum, or defaultValue if the
// parameter is missing or not a non-negative integer.
func numberParam(c echo.Context, name string, defaultValue, maximum int) int {
	value, err := strconv.Atoi(c.QueryParam(name))
	if err != nil || value < 0 {
		return defaultValue
	}
	return min(value, maximum)
}

// operatorError is the answer to an operator's query that failed.
type operatorError struct {
	Error string `json:"error"`
	// Leader is the name of the leader, or empty if it is unknown. It is nil unless only the leader
	// can answer the query.
	Leader *string `json:"leader,omitempty"`
}

// errJobStateUnknown means that this controller cannot determine a job's state now, as in an outage
// of the key-value store.
var errJobStateUnknown = errors.New("cannot be told now")

// writeUnavailable answers with status 503 and the reason why a query cannot be answered now.
func writeUnavailable(c echo.Context, reason error) error {
	return writeRetryableError(c, operatorError{Error: reason.Error()})
}

func (h *handlers) writeNotLeader(c echo.Context) error {
	leader := h.controller.LeaderView().Leader
	return writeRetryableError(c, operatorError{Error: "this node does not lead", Leader: &leader})
}

func writeRetryableError(c echo.Context, reply operatorError) error {
	setRetryAfter(c)
	return c.JSON(http.StatusServiceUnavailable, reply)
}
