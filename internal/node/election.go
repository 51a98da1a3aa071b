package node

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// campaign watches the leader's key and takes it when it is free. The key hangs
// on a short lease; its stamp is the term, which only grows.
func (n *Node) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		it, err := n.state.Get(ctx, store.First, store.LeaderKey)
		if err != nil {
			sleep(ctx, jitter(tuning.StateRetry))
			continue
		}
		if it.Stamp != 0 {
			var rec store.LeaderRecord
			if err := wire.Unmarshal(it.Value, &rec); err != nil {
				n.log.Error("leader's record unreadable", "err", err)
			}
			if rec.Node == n.cfg.Node && it.Permit != 0 {
				// Left by our own predecessor, which is dead, since only one process
				// runs under a node's name; or by a write of our own that was carried
				// out late. Nobody leads by it: ending its lease spares the wait.
				n.log.Info("ending a lease of this node that nobody leads by", "term", it.Stamp)
				_ = n.state.Revoke(ctx, it.Permit)
				continue
			}
			n.do(func() {
				if it.Stamp >= n.lead.term {
					n.setLead(rec.Node, it.Stamp)
					n.lead.permit = it.Permit
				}
			})
			n.awaitVacancy(ctx, it.Stamp)
			continue
		}
		n.mu.Lock()
		wait := time.Until(n.barred)
		if n.leader == nil {
			n.lead.name = ""
		}
		n.mu.Unlock()
		if wait > 0 {
			sleep(ctx, min(wait, tuning.CampaignWait))
			continue
		}
		if !n.runForLead(ctx) {
			sleep(ctx, jitter(tuning.CampaignWait))
		}
	}
}

// awaitVacancy returns when the leader's key may have changed after stamp.
func (n *Node) awaitVacancy(ctx context.Context, stamp uint64) {
	if _, err := n.state.Changes(ctx, store.First, store.LeaderPrefix, stamp, tuning.WatchBlock); err != nil {
		// The key may be older than what the service keeps, or the service is in
		// trouble. Reading the key again is right in both cases.
		sleep(ctx, jitter(n.leaseTTL()/2))
	}
}

// runForLead tries to take the free key, and leads until the lead is lost.
func (n *Node) runForLead(ctx context.Context) bool {
	asked := time.Now()
	permit, err := n.state.Grant(ctx, n.leaseTTL())
	if err != nil {
		n.trouble("lease", err)
		return false
	}
	rec := store.LeaderRecord{Node: n.cfg.Node, Addr: n.cfg.MeshAddr, Boot: n.boot}
	term, _, err := n.state.Commit(ctx, store.First, wire.Txn{
		If:    []wire.Condition{{Key: store.LeaderKey}},
		Apply: []wire.Change{{Set: store.LeaderKey, Value: rec, Permit: &permit}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// The answer was lost: the key tells whether we have it. Should the
		// write be carried out later still, the lease lets it die.
		it, gerr := n.state.Get(ctx, store.First, store.LeaderKey)
		var have store.LeaderRecord
		if gerr == nil && it.Stamp != 0 && it.Permit == permit && wire.Unmarshal(it.Value, &have) == nil && have.Boot == n.boot {
			term, err = it.Stamp, nil
		}
	}
	if err != nil {
		_ = n.state.Revoke(ctx, permit)
		return false
	}
	n.serveTerm(ctx, permit, term, asked)
	return true
}

// leaseTTL is the leader's lease, longer where the process has a small share of the
// processor and the workers' leases outlast it. No rule depends on its length, only for
// how long nobody leads after a leader has fallen silent.
func (n *Node) leaseTTL() time.Duration {
	share := n.cfg.Deployment.Quota.CPUShare
	if share <= 0 || share >= tuning.UsualShare {
		return tuning.LeaseTTL
	}
	//mutation:leader-lease-bound
	longest := min(tuning.LeaseTTLMost, config.Seconds(n.cfg.Deployment.Workers.LeaseS)/tuning.LeaseTTLPart)
	//mutation:leader-lease-by-share
	return max(tuning.LeaseTTL, min(time.Duration(float64(tuning.LeaseTTL)*tuning.UsualShare/share), longest))
}

// serveTerm recovers the records and leads until the lead is lost.
func (n *Node) serveTerm(ctx context.Context, permit, term uint64, asked time.Time) {
	n.log.Info("elected", "term", term, "took_ms", time.Since(asked).Milliseconds())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := make(chan struct{})
	n.mu.Lock()
	n.permit, n.heldTo, n.electedAt = permit, asked.Add(n.leaseTTL()), asked
	n.setLead(n.cfg.Node, term)
	n.mu.Unlock()

	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		n.renew(ctx, permit, lost)
	}()
	leader := n.recover(ctx, term, lost)
	if leader != nil {
		n.log.Info("leading", "term", term, "after_ms", time.Since(asked).Milliseconds())
		go n.listMachines(ctx, leader)
		go n.watchJobs(ctx, leader)
		select {
		case <-lost:
		case <-ctx.Done():
		}
		n.do(func() {
			if n.leader == leader {
				n.log.Info("lead lost", "term", term)
				n.endTerm()
				n.lead.name = ""
			}
		})
	}
	cancel()
	<-renewed
	rctx, done := context.WithTimeout(context.Background(), tuning.StateTimeout)
	defer done()
	_ = n.state.Revoke(rctx, permit)
}

// renew keeps the lease until it is lost. That the service refuses us for a
// while is no proof of that: in an outage the lease keeps its full time.
func (n *Node) renew(ctx context.Context, permit uint64, lost chan struct{}) {
	for sleep(ctx, tuning.RenewEvery) {
		select {
		case <-lost:
			return
		default:
		}
		begun := time.Now()
		err := n.state.Renew(ctx, permit)
		if err == nil {
			n.do(func() {
				if n.permit == permit {
					n.heldTo = begun.Add(n.leaseTTL())
					if n.leader != nil {
						n.leader.Held(n.heldTo.Sub(n.start))
					}
				}
			})
		}
		if errors.Is(err, store.ErrNoLease) {
			n.mu.Lock()
			defer n.mu.Unlock()
			select {
			case <-lost:
			default:
				if n.leader != nil {
					n.log.Info("lead lost: the lease has ended", "term", n.lead.term)
					n.endTerm()
					n.lead.name = ""
				} else {
					close(lost)
				}
			}
			return
		}
		if err != nil {
			n.trouble("renewal", err)
		}
	}
}
