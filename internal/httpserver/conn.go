package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// conn is one connection from a client.
type conn struct {
	server         *Server
	netConn        net.Conn
	limitedReader  io.LimitedReader // limits how much is read for the current request
	reader         *bufio.Reader
	idle           atomic.Bool // whether the connection waits for a request
	hasUnreadInput bool        // whether a part of the last request was not read
}

func newConn(server *Server, netConn net.Conn) *conn {
	c := &conn{server: server, netConn: netConn}
	c.limitedReader.R = netConn
	c.reader = bufio.NewReaderSize(&c.limitedReader, tuning.ConnReadBufferBytes)
	return c
}

// closeIfIdle closes the connection if it is waiting for a request.
func (c *conn) closeIfIdle() {
	if c.idle.Load() {
		_ = c.netConn.Close()
	}
}

// serve handles requests one after another until the connection is closed.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.netConn.Close()
	defer c.recoverPanic()
	keepAlive := true
	for keepAlive {
		keepAlive = c.awaitRequest() && c.serveRequest()
	}
	//mutation:linger-after-refusal
	if c.hasUnreadInput {
		c.linger()
	}
}

// linger reads and discards what the client still sends, for at most tuning.LingerTimeout and
// tuning.MaxRequestBytes. Closing a connection with unread input resets it, and the reset may
// reach the client before the response: the client would not learn why its request was rejected.
func (c *conn) linger() {
	if c.netConn.SetReadDeadline(time.Now().Add(tuning.LingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.netConn, tuning.MaxRequestBytes)
	}
}

// recoverPanic logs a panic of the handler, except http.ErrAbortHandler, which a handler uses to
// close the connection without a response.
func (c *conn) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return
	}
	c.server.log.Error("panic in request handler", "from", c.netConn.RemoteAddr().String(), "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// awaitRequest waits for the first byte of a request. It returns false if the connection has to
// be closed.
func (c *conn) awaitRequest() bool {
	c.idle.Store(true)
	defer c.idle.Store(false)
	if c.server.isClosing() {
		return false
	}
	if err := c.netConn.SetReadDeadline(time.Now().Add(tuning.IdleConnTimeout)); err != nil {
		return false
	}
	//mutation:header-size-limit
	c.limitedReader.N = tuning.MaxHeaderBytes
	_, err := c.reader.Peek(1)
	return err == nil
}

// serveRequest reads a request and sends the response. It reports whether the connection stays
// open for another request.
func (c *conn) serveRequest() bool {
	arrivedAt := time.Now()
	slot := c.server.acquireSlot()
	defer slot.release()
	request, err := c.readRequest()
	if err != nil {
		c.reject(err)
		return false
	}
	//mutation:request-slots
	if !c.server.nonBlocking(request) {
		slot.release()
	}
	response := acquireResponse()
	defer response.release()
	c.server.handler.ServeHTTP(response, request)
	c.server.observe(request, response.status, time.Since(arrivedAt))
	c.hasUnreadInput = !drainBody(request.Body)
	keepAlive := !request.Close && !response.hasConnectionClose() && !c.hasUnreadInput
	if !keepAlive {
		response.setConnectionClose()
	}
	return c.send(response.encode(request.Method)) && keepAlive
}

// send writes an encoded response and reports whether that succeeded.
func (c *conn) send(response []byte) bool {
	if err := c.netConn.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout)); err != nil {
		return false
	}
	_, err := c.netConn.Write(response)
	return err == nil
}

var errMissingHost = errors.New("missing Host header")

// readRequest reads a request's header and sends 100 Continue if the client expects it. The
// handler reads the body later, within the deadline and the size limit that are set here.
func (c *conn) readRequest() (*http.Request, error) {
	if err := c.netConn.SetReadDeadline(time.Now().Add(tuning.HeaderTimeout + tuning.BodyTimeout)); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if request.Host == "" && request.ProtoAtLeast(1, 1) {
		return nil, errMissingHost
	}
	request.RemoteAddr = c.netConn.RemoteAddr().String()
	c.limitedReader.N = tuning.MaxRequestBytes
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		_, err = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	return request, err
}

// reject sends an error response to a malformed, truncated or oversized request header. It sends
// nothing after a timeout or a network error, since the client no longer expects a response.
func (c *conn) reject(err error) {
	var netError net.Error
	status := http.StatusBadRequest
	switch {
	case c.limitedReader.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.As(err, &netError):
		return
	}
	c.hasUnreadInput = true
	_ = c.netConn.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout))
	_, _ = fmt.Fprintf(c.netConn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// drainBody reads and discards up to tuning.MaxDrainBytes of the rest of a request's body. It
// reports whether that reached the end of the body.
func drainBody(body io.ReadCloser) bool {
	_, err := io.CopyN(io.Discard, body, tuning.MaxDrainBytes)
	return errors.Is(err, io.EOF)
}
