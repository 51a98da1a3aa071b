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

// conn is one connection.
type conn struct {
	server        *Server
	netConn       net.Conn
	limitedReader io.LimitedReader // bounds what is read of the present request
	reader        *bufio.Reader
	idle          atomic.Bool // between two requests
	hasUnreadBody bool        // something of the last request was not read
}

func newConn(server *Server, netConn net.Conn) *conn {
	c := &conn{server: server, netConn: netConn}
	c.limitedReader.R = netConn
	c.reader = bufio.NewReaderSize(&c.limitedReader, tuning.ConnReadBufferBytes)
	return c
}

// closeIfIdle closes a connection that is between two requests.
func (c *conn) closeIfIdle() {
	if c.idle.Load() {
		_ = c.netConn.Close()
	}
}

// serve handles one request after the other until the connection ends.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.netConn.Close()
	defer c.recoverPanic()
	keepAlive := true
	for keepAlive {
		keepAlive = c.awaitRequest() && c.serveRequest()
	}
	//mutation:linger-after-refusal
	if c.hasUnreadBody {
		c.linger()
	}
}

// linger reads what the client still sends, for a moment. A connection that is closed with
// something unread is reset, and the reset may overtake the answer: the client would not
// learn why its request was rejected.
func (c *conn) linger() {
	if c.netConn.SetReadDeadline(time.Now().Add(tuning.LingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.netConn, tuning.MaxRequestBytes)
	}
}

// recoverPanic logs a panic of the handler; http.ErrAbortHandler just ends the connection.
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

// awaitRequest waits for the first bytes of a request.
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

// serveRequest reads a request and answers it. It reports whether another may follow.
func (c *conn) serveRequest() bool {
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
	c.hasUnreadBody = !drainBody(request.Body)
	keepAlive := !request.Close && !response.closesConnection() && !c.hasUnreadBody
	if !keepAlive {
		response.close()
	}
	return c.send(response.encode(request.Method)) && keepAlive
}

// send writes an answer, and reports whether that went well.
func (c *conn) send(answer []byte) bool {
	if err := c.netConn.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout)); err != nil {
		return false
	}
	_, err := c.netConn.Write(answer)
	return err == nil
}

var errMissingHost = errors.New("no Host")

// readRequest reads a request's head. Its body is read by the handler, within the limits.
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

// reject answers what is not a request. After the end of the input, a timeout or a reset
// there is nobody to answer.
func (c *conn) reject(err error) {
	var netError net.Error
	status := http.StatusBadRequest
	switch {
	case c.limitedReader.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.As(err, &netError):
		return
	}
	c.hasUnreadBody = true
	_ = c.netConn.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout))
	_, _ = fmt.Fprintf(c.netConn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// drainBody reports whether nothing of a request's body is left, or so little that it was
// read now.
func drainBody(body io.ReadCloser) bool {
	_, err := io.CopyN(io.Discard, body, tuning.MaxDrainBytes)
	return errors.Is(err, io.EOF)
}
