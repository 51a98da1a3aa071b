package httpd

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
	server *Server
	net    net.Conn
	limit  io.LimitedReader // bounds what is read of the present request
	in     *bufio.Reader
	idle   atomic.Bool // between two requests
	unread bool        // something of the last request was not read
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc}
	c.limit.R = nc
	c.in = bufio.NewReaderSize(&c.limit, tuning.ConnBuffer)
	return c
}

// closeIfIdle closes a connection that is between two requests.
func (c *conn) closeIfIdle() {
	if c.idle.Load() {
		_ = c.net.Close()
	}
}

// serve handles one request after the other until the connection ends.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.net.Close()
	defer c.recover()
	for c.await() && c.request() {
	}
	//mutation:linger-after-refusal
	if c.unread {
		c.linger()
	}
}

// linger reads what the client still sends, for a moment. A connection that is closed with
// something unread is reset, and the reset may overtake the answer: the client would not
// learn why it was refused.
func (c *conn) linger() {
	if c.net.SetReadDeadline(time.Now().Add(tuning.LingerFor)) == nil {
		_, _ = io.CopyN(io.Discard, c.net, tuning.RequestBytes)
	}
}

func (c *conn) recover() {
	if v := recover(); v != nil && v != http.ErrAbortHandler {
		c.server.log.Error("panic while a request was handled", "from", c.net.RemoteAddr().String(), "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	}
}

// await waits for the first bytes of a request.
func (c *conn) await() bool {
	c.idle.Store(true)
	defer c.idle.Store(false)
	if c.server.isClosing() {
		return false
	}
	if err := c.net.SetReadDeadline(time.Now().Add(tuning.IdleConn)); err != nil {
		return false
	}
	//mutation:header-size-limit
	c.limit.N = tuning.HeadBytes
	_, err := c.in.Peek(1)
	return err == nil
}

// request reads a request and answers it. It reports whether another may follow.
func (c *conn) request() bool {
	c.server.enter()
	inPlace := true
	leave := func() {
		if inPlace {
			inPlace = false
			c.server.leave()
		}
	}
	defer leave()
	req, err := c.read()
	if err != nil {
		c.refuse(err)
		return false
	}
	//mutation:request-slots
	if !c.server.brief(req) {
		leave()
	}
	w := newResponse()
	defer w.free()
	c.server.handler.ServeHTTP(w, req)
	c.unread = !drained(req.Body)
	more := !req.Close && !w.closes() && !c.unread
	if err := c.net.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout)); err != nil {
		return false
	}
	_, err = c.net.Write(w.encode(req, more))
	return err == nil && more
}

var errHost = errors.New("no Host")

// read reads a request's head. Its body is read by the handler, within the limits.
func (c *conn) read() (*http.Request, error) {
	if err := c.net.SetReadDeadline(time.Now().Add(tuning.HeaderTimeout + tuning.BodyTimeout)); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, err
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, errHost
	}
	req.RemoteAddr = c.net.RemoteAddr().String()
	c.limit.N = tuning.RequestBytes
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		_, err = io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	return req, err
}

// refuse answers what is not a request. Where nothing more comes there is nobody to
// answer.
func (c *conn) refuse(err error) {
	var ne net.Error
	status := http.StatusBadRequest
	switch {
	case c.limit.N <= 0:
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.As(err, &ne):
		return
	}
	c.unread = true
	_ = c.net.SetWriteDeadline(time.Now().Add(tuning.BodyTimeout))
	_, _ = fmt.Fprintf(c.net, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// drained reports whether nothing of a request's body is left, or so little that it was
// read now.
func drained(body io.ReadCloser) bool {
	_, err := io.CopyN(io.Discard, body, tuning.DrainBytes)
	return errors.Is(err, io.EOF)
}

// response gathers an answer.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
	out    bytes.Buffer
}

var responses = sync.Pool{New: func() any { return &response{header: http.Header{}} }}

func newResponse() *response {
	return responses.Get().(*response)
}

// free gives the response back for another request, unless its buffers have grown large.
func (w *response) free() {
	if w.body.Cap()+w.out.Cap() > tuning.PooledBytes {
		return
	}
	clear(w.header)
	w.status = 0
	w.body.Reset()
	w.out.Reset()
	responses.Put(w)
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

func (w *response) closes() bool { return w.header.Get("Connection") == "close" }

// encode puts the whole answer into one piece.
func (w *response) encode(req *http.Request, more bool) []byte {
	w.WriteHeader(http.StatusOK)
	if !more {
		w.header.Set("Connection", "close")
	}
	fmt.Fprintf(&w.out, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		fmt.Fprintf(&w.out, "Content-Length: %d\r\n", w.body.Len())
	}
	w.out.WriteString("Date: ")
	w.out.Write(time.Now().UTC().AppendFormat(w.out.AvailableBuffer(), http.TimeFormat))
	w.out.WriteString("\r\n")
	_ = w.header.Write(&w.out) // a buffer takes all
	w.out.WriteString("\r\n")
	if req.Method != http.MethodHead {
		w.out.Write(w.body.Bytes())
	}
	return w.out.Bytes()
}
