package simulator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// maxRequestBytes bounds the bodies that the simulated services read.
const maxRequestBytes = 1 << 20

func writeReply(w http.ResponseWriter, status int, reply any) {
	encoded, err := wire.Marshal(reply)
	if err != nil {
		panic(err) // message types always have a CBOR form
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeReply(w, status, wire.ErrorReply{Message: message})
}

// closeWithoutReply ends a handler so that the connection is closed without an answer.
func closeWithoutReply() { panic(http.ErrAbortHandler) }

func readBody(r *http.Request, message any) error {
	encoded, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return wire.Unmarshal(encoded, message)
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
