package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
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

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, netConn: nc}
	c.limitedReader.R = nc
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
	for c.awaitRequest() && c.serveRequest() {
	}
	//mutation:linger-after-refusal
	if c.hasUnreadBody {
		c.linger()
	}
}

// linger reads what the client still sends, for a moment. A connection that is closed with
// something unread is reset, and the reset may overtake the answer: the client would not
// learn why it was refused.
func (c *conn) linger() {
	if c.netConn.SetReadDeadline(time.Now().Add(tuning.LingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.netConn, tuning.MaxRequestBytes)
	}
}

func (c *conn) recoverPanic() {
	if v := recover(); v != nil && v != http.ErrAbortHandler {
		c.server.log.Error("panic while a request was handled", "from", c.netConn.RemoteAddr().String(), "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	}
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
	c.server.acquireSlot()
	inPlace := true
	leave := func() {
		if inPlace {
			inPlace = false
			c.server.releaseSlot()
		}
	}
	defer leave()
	req, err := c.readRequest()
	if err != nil {
		c.reject(err)
		return false
	}
	//mutation:request-slots
	if !c.server.nonBlocking(req) {
		leave()
	}
	w := acquireResponse()
	defer w.release()
	c.server.handler.ServeHTTP(w, req)
	c.hasUnreadBody = !drainBody(req.Body)
	more := !req.Close && !w.closesConnection() && !c.hasUnreadBody
	if err := c.netConn.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout)); err != nil {
		return false
	}
	_, err = c.netConn.Write(w.encode(req, more))
	return err == nil && more
}

var errMissingHost = errors.New("no Host")

// readRequest reads a request's head. Its body is read by the handler, within the limits.
func (c *conn) readRequest() (*http.Request, error) {
	if err := c.netConn.SetReadDeadline(time.Now().Add(tuning.HeaderTimeout + tuning.BodyTimeout)); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, errMissingHost
	}
	req.RemoteAddr = c.netConn.RemoteAddr().String()
	c.limitedReader.N = tuning.MaxRequestBytes
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		_, err = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	return req, err
}

// reject answers what is not a request. Where nothing more comes there is nobody to
// answer.
func (c *conn) reject(err error) {
	var ne net.Error
	status := http.StatusBadRequest
	switch {
	case c.limitedReader.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.As(err, &ne):
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

// response gathers an answer.
type response struct {
	header  http.Header
	status  int
	body    bytes.Buffer
	encoded bytes.Buffer
}

var responsePool = sync.Pool{New: func() any { return &response{header: http.Header{}} }}

func acquireResponse() *response {
	return responsePool.Get().(*response)
}

// release gives the response back for another request, unless its buffers have grown large.
func (w *response) release() {
	if w.body.Cap()+w.encoded.Cap() > tuning.MaxPooledBytes {
		return
	}
	clear(w.header)
	w.status = 0
	w.body.Reset()
	w.encoded.Reset()
	responsePool.Put(w)
}

// Header is what is sent before the body.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status; the first one counts.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write adds to the body.
func (w *response) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

func (w *response) closesConnection() bool { return w.header.Get("Connection") == "close" }

// encode puts the whole answer into one piece.
func (w *response) encode(req *http.Request, keepAlive bool) []byte {
	w.WriteHeader(http.StatusOK)
	if !keepAlive {
		w.header.Set("Connection", "close")
	}
	fmt.Fprintf(&w.encoded, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		fmt.Fprintf(&w.encoded, "Content-Length: %d\r\n", w.body.Len())
	}
	w.encoded.WriteString("Date: ")
	w.encoded.Write(time.Now().UTC().AppendFormat(w.encoded.AvailableBuffer(), http.TimeFormat))
	w.encoded.WriteString("\r\n")
	_ = w.header.Write(&w.encoded) // a buffer takes all
	w.encoded.WriteString("\r\n")
	if req.Method != http.MethodHead {
		w.encoded.Write(w.body.Bytes())
	}
	return w.encoded.Bytes()
}
