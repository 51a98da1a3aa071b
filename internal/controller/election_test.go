package controller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A leader with a small CPU share for its fleet requests a longer lease, so that the load of a
// failover does not delay its renewal for too long. The lease stays shorter than the workers' leases, and the leader
// does not rely on it for longer than it requested.
func TestLeaderLeaseOutlastsFailoverLoad(t *testing.T) {
	for _, tc := range []struct {
		share        float64
		machines     int     // reported by the leader before; 0: none
		workerLeaseS float64 // the workers' lease, in seconds
		ttl          time.Duration
	}{
		{0, 0, 45, tuning.LeaderLeaseTTL},
		{0, 10000, 45, tuning.LeaderLeaseTTL},
		{0.24, 0, 45, tuning.LeaderLeaseTTL},
		{tuning.ReferenceCPUShare / 2, 0, 45, 2 * tuning.LeaderLeaseTTL},
		{0.072, 0, 45, tuning.MaxLeaderLeaseTTL},
		{0.001, 0, 45, tuning.MaxLeaderLeaseTTL},
		{0.072, 0, 12, 3 * time.Second},
		{0.072, 0, 4, tuning.LeaderLeaseTTL},
		{tuning.ReferenceCPUShare, 2266, 45, tuning.LeaderLeaseTTL},
		{tuning.ReferenceCPUShare / 2, 1000, 45, 2 * tuning.LeaderLeaseTTL},
		{tuning.ReferenceCPUShare, 6000, 45, tuning.MaxLeaderLeaseTTL},
		{2 * tuning.ReferenceCPUShare, 4000, 45, tuning.LeaderLeaseTTL},
		{tuning.ReferenceCPUShare, 6000, 12, 3 * time.Second},
	} {
		var requested wire.LeaseRequest
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := any(wire.TxnReply{Revision: 7})
			if r.URL.Path == "/holds" {
				body, err := io.ReadAll(r.Body)
				if err != nil || wire.Unmarshal(body, &requested) != nil {
					t.Errorf("lease request %x: %v", body, err)
				}
				answer = wire.LeaseReply{ID: 3}
			}
			raw, err := wire.Marshal(answer)
			if err != nil {
				t.Error(err)
			}
			_, _ = w.Write(raw)
		}))
		c := newTestController(t)
		c.cfg.Deployment.Quota.CPUShare, c.cfg.Deployment.Workers.LeaseS = tc.share, tc.workerLeaseS
		c.HandlePing(peer.Ping{Node: "drover-1", Machines: tc.machines})
		c.store = kvstore.New(server.Listener.Addr().String(), 1000)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(tuning.StoreRetryDelay, cancel) // ends the term once it has begun
		before := time.Now()
		election{c}.tryToLead(ctx)
		after := time.Now()
		server.Close()
		if got := time.Duration(requested.TTLMilli) * time.Millisecond; got != tc.ttl {
			t.Errorf("CPU share %v, %d machines, worker lease %v s: requested a lease of %v, want %v", tc.share, tc.machines, tc.workerLeaseS, got, tc.ttl)
		}
		if c.leadership.leaseHeldUntil.Before(before.Add(tc.ttl)) || c.leadership.leaseHeldUntil.After(after.Add(tc.ttl)) {
			t.Errorf("CPU share %v: the leader relies on its lease until %v after the request", tc.share, c.leadership.leaseHeldUntil.Sub(before))
		}
	}
}
