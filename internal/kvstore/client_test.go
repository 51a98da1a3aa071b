package kvstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// A watch's answer over the limit on answers counts as compacted, so that the caller reads
// the keys again instead of repeating the watch for ever.
func TestWatchAnswerOverLimitIsCompacted(t *testing.T) {
	big := strings.Repeat("x", tuning.MaxStoreResponseBytes+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(big)) }))
	defer srv.Close()
	client := New(srv.Listener.Addr().String(), 100)
	if _, err := client.Watch(context.Background(), PriorityLeader, records.JobsPrefix, 1, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("an answer over the limit: %v", err)
	}
}

// The store counts as serving us from when a request was sent. An answer that is read late,
// after a process pause, says nothing of what came after the request.
func TestServedTimeCountsFromRequestNotAnswer(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/kv/slow":
			close(received)
			<-answer
			w.WriteHeader(http.StatusNotFound)
		case "/kv/refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer srv.Close()
	client := New(srv.Listener.Addr().String(), 1000)
	done := make(chan error)
	go func() {
		_, err := client.Get(context.Background(), PriorityLeader, "slow")
		done <- err
	}()
	<-received
	time.Sleep(time.Millisecond) // so that the next one is sent later
	if _, err := client.Get(context.Background(), PriorityLeader, "refused"); !errors.Is(err, ErrUnavailable) {
		t.Fatal(err)
	}
	close(answer)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if client.UnservedFor() == 0 {
		t.Error("served, by an answer to a request of before the refusal")
	}
	if _, err := client.Get(context.Background(), PriorityLeader, "other"); err != nil || client.UnservedFor() != 0 {
		t.Errorf("not served after an answer: %v, %v", err, client.UnservedFor())
	}
}
