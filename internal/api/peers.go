package api

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Bounds of peers' messages. A submission's bytes above 0x7f take two bytes each as text.
const (
	maxPingBytes    = 2 * wire.MaxBody
	maxForwardBytes = 2*wire.MaxBody + 1024
)

func (h *handlers) ping(c echo.Context) error {
	var ping peer.Ping
	if err := decodeBody(c, maxPingBytes, &ping); err != nil {
		h.log.Error("malformed ping", "from", c.Request().RemoteAddr)
		return err
	}
	return writeMessage(c, http.StatusOK, h.controller.HandlePing(ping))
}

// watchProcess delays its answer, which says nothing: peers ask for it to notice at once
// when this process ends.
func (h *handlers) watchProcess(c echo.Context) error {
	timer := time.NewTimer(tuning.PeerWatchTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Request().Context().Done():
	}
	return writeMessage(c, http.StatusOK, struct{}{})
}

func (h *handlers) forward(c echo.Context) error {
	var request peer.ForwardRequest
	if err := decodeBody(c, maxForwardBytes, &request); err != nil {
		h.log.Error("malformed forwarded request", "from", c.Request().RemoteAddr)
		return err
	}
	return writeMessage(c, http.StatusOK, h.controller.HandleForward(c.Request().Context(), request))
}
