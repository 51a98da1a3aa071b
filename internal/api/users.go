package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/controller"
)

func (h *handlers) submit(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	return h.answerUser(c, h.controller.Submit(c.Request().Context(), body, controller.FromUser))
}

func (h *handlers) query(c echo.Context) error {
	return h.answerUser(c, h.controller.Query(c.Request().Context(), c.Param("id"), controller.FromUser))
}

func (h *handlers) cancel(c echo.Context) error {
	return h.answerUser(c, h.controller.Cancel(c.Request().Context(), c.Param("id"), controller.FromUser))
}

func (h *handlers) answerUser(c echo.Context, answer controller.Answer) error {
	if h.connectionLoad() >= CloseUserConnections {
		closeConnection(c)
	}
	switch {
	case answer.View != nil:
		return writeMessage(c, answer.Status, answer.View)
	case answer.State != nil:
		return writeMessage(c, answer.Status, answer.State)
	}
	if answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests {
		setRetryAfter(c)
		// The load balancer assigns connections, not requests, to controllers: over a new
		// connection, the user may reach a controller that can serve the request.
		closeConnection(c)
	}
	return writeError(c, answer.Status, answer.Error)
}
