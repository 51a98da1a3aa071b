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

// A response to a watch that exceeds the size limit is reported as ErrCompacted, so that the caller
// reads the keys again instead of repeating the watch forever.
func TestOversizedWatchResponseIsCompacted(t *testing.T) {
	oversized := strings.Repeat("x", tuning.MaxStoreResponseBytes+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(oversized)) }))
	defer srv.Close()
	client := New(srv.Listener.Addr().String(), 100)
	if _, err := client.Watch(context.Background(), PriorityLeader, records.JobsPrefix, 1, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("got error %v for an oversized response", err)
	}
}

// UnavailableFor goes by the times at which requests were sent. A response that is read late, as
// after a process pause, does not show that the store has served the client since the request.
func TestUnavailabilityIsMeasuredFromRequestTime(t *testing.T) {
	received, respond := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/kv/slow":
			close(received)
			<-respond
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
	time.Sleep(time.Millisecond) // so that the next request has a later time
	if _, err := client.Get(context.Background(), PriorityLeader, "refused"); !errors.Is(err, ErrUnavailable) {
		t.Fatal(err)
	}
	close(respond)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if client.UnavailableFor() == 0 {
		t.Error("store counts as available after a late response to a request that was sent before the refused one")
	}
	if _, err := client.Get(context.Background(), PriorityLeader, "other"); err != nil || client.UnavailableFor() != 0 {
		t.Errorf("after a served request: error %v, store unavailable for %v", err, client.UnavailableFor())
	}
}

// Callers decide by the error whether a transaction may have been executed, so each response has to
// map to the right error.
func TestCommitErrors(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		reply   wire.TxnReply
		wantErr error
	}{
		{"executed", http.StatusOK, wire.TxnReply{Revision: 7}, nil},
		{"no revision", http.StatusOK, wire.TxnReply{}, ErrOutcomeUnknown},
		{"conflict", http.StatusConflict, wire.TxnReply{Revision: 7, FailedKeys: []string{"a"}}, ErrConflict},
		{"lease ended", http.StatusBadRequest, wire.TxnReply{Error: "no such lease"}, ErrLeaseNotFound},
		{"too large or malformed", http.StatusBadRequest, wire.TxnReply{Error: "too long"}, ErrRejected},
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
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			if test.wantErr == nil && revision != test.reply.Revision {
				t.Errorf("got revision %d", revision)
			}
			if errors.Is(err, ErrConflict) && !slices.Equal(failedKeys, test.reply.FailedKeys) {
				t.Errorf("got failed keys %v", failedKeys)
			}
		})
	}
}
