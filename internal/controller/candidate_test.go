package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A candidate that gets no answer to the creation of the leader's key has won if the key in the
// store is from its process and has its lease attached. Otherwise it revokes the lease.
func TestCandidateReadsKeyAfterLostAnswer(t *testing.T) {
	const lease, revision, bootID = 3, 7, 11
	for _, test := range []struct {
		name   string
		stored wire.KeyValue
		bootID uint64
		won    bool
	}{
		{"own key", wire.KeyValue{ModRevision: revision, Lease: lease}, bootID, true},
		{"no key", wire.KeyValue{}, bootID, false},
		{"with another lease", wire.KeyValue{ModRevision: revision, Lease: lease + 1}, bootID, false},
		{"from another process", wire.KeyValue{ModRevision: revision, Lease: lease}, bootID + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			revoked := false
			answer := func(w http.ResponseWriter, message any) {
				body, err := wire.Marshal(message)
				if err != nil {
					t.Error(err)
				}
				_, _ = w.Write(body)
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/commit":
					panic(http.ErrAbortHandler) // the answer is lost
				case r.Method == http.MethodDelete:
					revoked = true
				case r.URL.Path == "/holds":
					answer(w, wire.LeaseReply{ID: lease})
				case strings.HasSuffix(r.URL.Path, records.LeaderKey) && test.stored.ModRevision != 0:
					raw, err := wire.Marshal(records.Leader{Node: "drover-0", BootID: test.bootID})
					if err != nil {
						t.Error(err)
					}
					item := test.stored
					item.Key, item.Value = records.LeaderKey, raw
					answer(w, item)
				default:
					w.WriteHeader(http.StatusNotFound)
				}
			}))
			defer srv.Close()
			self := candidate{
				store:  kvstore.New(srv.Listener.Addr().String(), 1000),
				record: records.Leader{Node: "drover-0", BootID: bootID},
			}
			gotRevision, gotLease, err := self.acquire(t.Context(), time.Second)
			if won := err == nil; won != test.won || revoked == test.won {
				t.Fatalf("won: %v (%v), lease revoked: %v", won, err, revoked)
			}
			if test.won && (gotRevision != revision || gotLease != lease) {
				t.Errorf("revision %d with lease %d", gotRevision, gotLease)
			}
		})
	}
}
