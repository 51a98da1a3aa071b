package api

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// OperatorPath is where operators' read-only queries live. They answer in JSON,
// for people and scripts; a later administration API has room beside them.
const OperatorPath = "/yarrowgap/v1"

func registerOperatorRoutes(e *echo.Echo, n *controller.Controller) {
	g := e.Group(OperatorPath)
	number := func(c echo.Context, name string, def, hi int) int {
		v, err := strconv.Atoi(c.QueryParam(name))
		if err != nil || v < 0 {
			return def
		}
		return min(v, hi)
	}
	g.GET("/leader", func(c echo.Context) error { return c.JSON(http.StatusOK, n.LeaderView()) })
	g.GET("/machines", func(c echo.Context) error {
		list, ok := n.MachinesView(c.QueryParam("from"), number(c, "most", 100, 500))
		if !ok {
			return writeNotLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/jobs/:id", func(c echo.Context) error {
		d, found, err := n.JobView(c.Request().Context(), c.Param("id"))
		switch {
		case err != nil:
			return writeUnavailable(c, "cannot be told now")
		case !found:
			return c.JSON(http.StatusNotFound, map[string]string{"error": "no such job"})
		}
		return c.JSON(http.StatusOK, d)
	})
	g.GET("/waiting", func(c echo.Context) error {
		list, ok := n.WaitingView(c.QueryParam("from"), number(c, "most", 100, 500))
		if !ok {
			return writeNotLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/failures", func(c echo.Context) error {
		list, ok := n.FailuresView(number(c, "skip", 0, 1<<20), number(c, "most", 100, 500))
		if !ok {
			return writeNotLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/recovery", func(c echo.Context) error {
		status, ok, err := n.RecoveryView()
		switch {
		case err != nil:
			return writeUnavailable(c, err.Error())
		case !ok:
			return writeNotLeader(c, n)
		}
		return c.JSON(http.StatusOK, status)
	})
	g.GET("/recovery/differences", func(c echo.Context) error {
		q, err := parseDifferencesQuery(c.QueryParams())
		if err != nil {
			return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		}
		list, ok := n.DifferencesView(q.class, q.skip, q.limit)
		if !ok {
			return writeNotLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/metrics", func(c echo.Context) error { return c.JSON(http.StatusOK, n.MetricsView()) })
}

// differencesQuery is what a client asks of the recovery's differences.
type differencesQuery struct {
	class       reconcile.Class
	skip, limit int
}

// The page of a list when its size is not given, and at most.
const (
	defaultPageSize = 100
	maxPageSize     = 500
)

// parseDifferencesQuery names the parameter that it cannot take.
func parseDifferencesQuery(params url.Values) (q differencesQuery, err error) {
	q.limit = defaultPageSize
	for name, values := range params {
		value := values[0]
		switch name {
		case "class":
			class, ok := reconcile.ParseClass(value)
			if !ok {
				return q, fmt.Errorf("class: there is none called %q", value)
			}
			q.class = class
		case "skip":
			q.skip, err = parseCount(name, value, 0, math.MaxInt32)
		case "most":
			q.limit, err = parseCount(name, value, 1, maxPageSize)
		default:
			err = fmt.Errorf("%s: no such parameter", name)
		}
		if err != nil {
			return q, err
		}
	}
	return q, nil
}

func parseCount(name, value string, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		return 0, fmt.Errorf("%s: must be a number from %d to %d, is %q", name, minimum, maximum, value)
	}
	return n, nil
}

// writeUnavailable says why something cannot be told now.
func writeUnavailable(c echo.Context, reason string) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": reason})
}

func writeNotLeader(c echo.Context, n *controller.Controller) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	return c.JSON(http.StatusServiceUnavailable, map[string]string{
		"error": "this node does not lead", "leader": n.LeaderView().Leader})
}
