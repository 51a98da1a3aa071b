package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// response buffers an answer, so that it is sent with one write.
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

// release returns the response to the pool, unless its buffers have grown large.
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

// close has the connection end with this answer.
func (w *response) close() { w.header.Set("Connection", "close") }

// encode returns the whole answer to a request of the method.
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
	_ = w.header.Write(out) // a bytes.Buffer takes everything
	out.WriteString("\r\n")
	if method != http.MethodHead {
		out.Write(w.body.Bytes())
	}
	return out.Bytes()
}
