package kvstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
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

// Each answer to a transaction has its error, from which callers tell whether it may have been
// carried out.
func TestCommitErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		reply  wire.TxnReply
		want   error
	}{
		{"carried out", http.StatusOK, wire.TxnReply{Revision: 7}, nil},
		{"no revision", http.StatusOK, wire.TxnReply{}, ErrOutcomeUnknown},
		{"conflict", http.StatusConflict, wire.TxnReply{Revision: 7, FailedKeys: []string{"a"}}, ErrConflict},
		{"lease ended", http.StatusBadRequest, wire.TxnReply{Error: "no such lease"}, ErrLeaseNotFound},
		{"malformed", http.StatusBadRequest, wire.TxnReply{Error: "too long"}, ErrMalformedRequest},
		{"rate limited", http.StatusTooManyRequests, wire.TxnReply{}, ErrRateLimited},
		{"unavailable", http.StatusServiceUnavailable, wire.TxnReply{}, ErrUnavailable},
		{"unexpected", http.StatusTeapot, wire.TxnReply{}, ErrOutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body, err := wire.Marshal(test.reply)
				if err != nil {
					t.Error(err)
				}
				w.WriteHeader(test.status)
				_, _ = w.Write(body)
			}))
			defer srv.Close()
			client := New(srv.Listener.Addr().String(), 1000)
			revision, failedKeys, err := client.Commit(context.Background(), PriorityLeader, wire.Txn{})
			if !errors.Is(err, test.want) {
				t.Errorf("%v, not %v", err, test.want)
			}
			if test.want == nil && revision != test.reply.Revision {
				t.Errorf("revision %d", revision)
			}
			if errors.Is(err, ErrConflict) && !slices.Equal(failedKeys, test.reply.FailedKeys) {
				t.Errorf("failed keys %v", failedKeys)
			}
		})
	}
}
