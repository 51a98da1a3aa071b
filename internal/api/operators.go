package api

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/node"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// OperatorPath is where operators' read-only queries live. They answer in JSON,
// for people and scripts; a later administration API has room beside them.
const OperatorPath = "/yarrowgap/v1"

func operators(e *echo.Echo, n *node.Node) {
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
			return notLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/jobs/:id", func(c echo.Context) error {
		d, found, err := n.JobView(c.Request().Context(), c.Param("id"))
		switch {
		case err != nil:
			c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": "cannot be told now"})
		case !found:
			return c.JSON(http.StatusNotFound, map[string]string{"error": "no such job"})
		}
		return c.JSON(http.StatusOK, d)
	})
	g.GET("/waiting", func(c echo.Context) error {
		list, ok := n.WaitingView(c.QueryParam("from"), number(c, "most", 100, 500))
		if !ok {
			return notLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/failures", func(c echo.Context) error {
		list, ok := n.FailuresView(number(c, "skip", 0, 1<<20), number(c, "most", 100, 500))
		if !ok {
			return notLeader(c, n)
		}
		return c.JSON(http.StatusOK, list)
	})
	g.GET("/metrics", func(c echo.Context) error { return c.JSON(http.StatusOK, n.MetricsView()) })
}

func notLeader(c echo.Context, n *node.Node) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfter))
	return c.JSON(http.StatusServiceUnavailable, map[string]string{
		"error": "this node does not lead", "leader": n.LeaderView().Leader})
}
