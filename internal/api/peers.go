package api

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Maximum sizes of messages from peers, in bytes. A forwarded submission is encoded as text, in
// which each byte above 0x7f takes two bytes.
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

// watchProcess answers with an empty message after tuning.PeerWatchTimeout. A peer sends this request
// to detect the end of this process immediately, by the broken connection.
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
