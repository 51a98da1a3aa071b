package simulator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// maxRequestBytes is the number of bytes of a request body that the simulated services read.
const maxRequestBytes = 1 << 20

func writeReply(w http.ResponseWriter, status int, reply any) {
	encoded, err := wire.Marshal(reply)
	if err != nil {
		panic(err) // unreachable: every message type can be encoded as CBOR
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeReply(w, status, wire.ErrorReply{Message: message})
}

// closeWithoutReply aborts an HTTP handler and closes the connection without a reply.
func closeWithoutReply() { panic(http.ErrAbortHandler) }

func readBody(r *http.Request, message any) error {
	encoded, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return wire.Unmarshal(encoded, message)
}

// Sleep waits for a duration and returns true, or returns false once the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
