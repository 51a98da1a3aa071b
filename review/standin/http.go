//go:build review

package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"sync"
	"time"
)

var typeOfMap = reflect.TypeOf(Map{})

// listen listens on a free port of a loopback address.
func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// serve serves a handler on a free loopback port until ctx ends, and returns the address.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func reply(w http.ResponseWriter, status int, message any) {
	encoded := Encode(message)
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func readMap(r *http.Request) (Map, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return nil, false
	}
	message := Map{}
	if len(body) > 0 && Decode(body, &message) != nil {
		return nil, false
	}
	return message, true
}

// bucket is a rate limit with bursts of a number of seconds' worth.
type bucket struct {
	mu    sync.Mutex
	burst float64 // in seconds
	left  float64
	at    time.Time
}

func (b *bucket) take(rate, amount float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.at.IsZero() {
		b.left = rate * b.burst
	}
	b.left = min(rate*b.burst, b.left+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < amount {
		return false
	}
	b.left -= amount
	return true
}

func number(v any) float64 {
	switch n := v.(type) {
	case float64:
		return n
	case float32:
		return float64(n)
	case uint64:
		return float64(n)
	case int64:
		return float64(n)
	}
	return 0
}

func count(v any) uint64 {
	switch n := v.(type) {
	case uint64:
		return n
	case int64:
		return uint64(n)
	case float64:
		return uint64(n)
	}
	return 0
}

func text(v any) string { s, _ := v.(string); return s }

func list(v any) []any { l, _ := v.([]any); return l }
