package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// response implements http.ResponseWriter. It buffers the response, which is then sent with one
// write.
type response struct {
	header  http.Header
	status  int // 0 until the handler sets it
	body    bytes.Buffer
	encoded bytes.Buffer // status line, header and body
}

var responsePool = sync.Pool{New: func() any { return &response{header: http.Header{}} }}

func acquireResponse() *response {
	return responsePool.Get().(*response)
}

// release returns the response to the pool, unless its buffers exceed tuning.MaxPooledBytes.
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

// Header returns the header that is sent before the body.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status. Calls after the first have no effect.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write appends to the body and sets the status to 200 if none is set.
func (w *response) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// hasConnectionClose reports whether the response announces that the server closes the connection.
func (w *response) hasConnectionClose() bool { return w.header.Get("Connection") == "close" }

// setConnectionClose announces that the server closes the connection after this response.
func (w *response) setConnectionClose() { w.header.Set("Connection", "close") }

// encode returns the encoded response to a request with the given method. The result is valid
// until release.
func (w *response) encode(method string) []byte {
	w.WriteHeader(http.StatusOK)
	out := &w.encoded
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		fmt.Fprintf(out, "Content-Length: %d\r\n", w.body.Len())
	}
	out.WriteString("Date: ")
	out.Write(time.Now().UTC().AppendFormat(out.AvailableBuffer(), http.TimeFormat))
	out.WriteString("\r\n")
	_ = w.header.Write(out) // writing to a bytes.Buffer does not fail
	out.WriteString("\r\n")
	if method != http.MethodHead {
		out.Write(w.body.Bytes())
	}
	return out.Bytes()
}
