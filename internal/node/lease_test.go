package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A leader with a small share of the processor asks for a lease that outlasts the load
// of a failover, and relies on no more than it asked for.
func TestLeaseGrowsAsTheShareShrinks(t *testing.T) {
	for _, tc := range []struct {
		share float64
		ttl   time.Duration
	}{
		{0, tuning.LeaseTTL},
		{0.24, tuning.LeaseTTL},
		{tuning.UsualShare / 2, 2 * tuning.LeaseTTL},
		{0.072, tuning.LeaseTTLMost},
		{0.001, tuning.LeaseTTLMost},
	} {
		var asked wire.LeaseRequest
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := any(wire.TxnReply{Epoch: 7})
			if r.URL.Path == "/holds" {
				body, err := io.ReadAll(r.Body)
				if err != nil || wire.Unmarshal(body, &asked) != nil {
					t.Errorf("lease request %x: %v", body, err)
				}
				answer = wire.Lease{Permit: 3}
			}
			raw, err := wire.Marshal(answer)
			if err != nil {
				t.Error(err)
			}
			_, _ = w.Write(raw)
		}))
		n := quietNode(t)
		n.cfg.Deployment.Quota.CPUShare = tc.share
		n.state = store.New(service.Listener.Addr().String(), 1000)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(tuning.StateRetry, cancel) // ends the term once it has begun
		before := time.Now()
		n.runForLead(ctx)
		after := time.Now()
		service.Close()
		if got := time.Duration(asked.TTLMilli) * time.Millisecond; got != tc.ttl {
			t.Errorf("share %v: a lease of %v, not %v", tc.share, got, tc.ttl)
		}
		if n.heldTo.Before(before.Add(tc.ttl)) || n.heldTo.After(after.Add(tc.ttl)) {
			t.Errorf("share %v: the lead is relied on until %v after the request", tc.share, n.heldTo.Sub(before))
		}
	}
}
