package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Changes that are more than a node takes at once are too many to follow: it reads
// the keys again. It asked for them again and again.
func TestTooManyChanges(t *testing.T) {
	big := strings.Repeat("x", tuning.StateAnswer+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(big)) }))
	defer srv.Close()
	c := New(srv.Listener.Addr().String(), 100)
	if _, err := c.Changes(context.Background(), First, JobsPrefix, 1, 0); !errors.Is(err, ErrTooOld) {
		t.Errorf("an answer over the limit: %v", err)
	}
}

// That the service serves us counts from when a request was sent. An answer that is
// read late, by a process that stood still, says nothing of what came after it.
func TestServedCountsFromSending(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/kv/slow":
			close(came)
			<-answer
			w.WriteHeader(http.StatusNotFound)
		case "/kv/refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer srv.Close()
	c := New(srv.Listener.Addr().String(), 1000)
	done := make(chan error)
	go func() {
		_, err := c.Get(context.Background(), First, "slow")
		done <- err
	}()
	<-came
	time.Sleep(time.Millisecond) // so that the next one is sent later
	if _, err := c.Get(context.Background(), First, "refused"); !errors.Is(err, ErrRefused) {
		t.Fatal(err)
	}
	close(answer)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if c.Without() == 0 {
		t.Error("served, by an answer to a request of before the refusal")
	}
	if _, err := c.Get(context.Background(), First, "other"); err != nil || c.Without() != 0 {
		t.Errorf("not served after an answer: %v, %v", err, c.Without())
	}
}
