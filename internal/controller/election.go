package controller

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// campaign watches the leader's key and takes it when it is free. The key hangs
// on a short lease; its stamp is the term, which only grows.
func (c *Controller) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		leaderKey, err := c.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
		if err != nil {
			sleep(ctx, jitter(tuning.StoreRetryDelay))
			continue
		}
		if leaderKey.ModRevision != 0 {
			var record records.Leader
			if err := wire.Unmarshal(leaderKey.Value, &record); err != nil {
				c.log.Error("leader's record unreadable", "err", err)
			}
			if record.Node == c.cfg.Node && leaderKey.Lease != 0 {
				// Left by our own predecessor, which is dead, since only one process
				// runs under a node's name; or by a write of our own that was carried
				// out late. Nobody leads by it: ending its lease spares the wait.
				c.log.Info("ending a lease of this node that nobody leads by", "term", leaderKey.ModRevision)
				_ = c.store.RevokeLease(ctx, leaderKey.Lease)
				continue
			}
			c.update(func() {
				if leaderKey.ModRevision >= c.membership.leader.term {
					c.setLeader(record.Node, leaderKey.ModRevision)
					c.membership.leader.storeLease = leaderKey.Lease
				}
			})
			c.awaitVacancy(ctx, leaderKey.ModRevision)
			continue
		}
		c.mu.Lock()
		wait := time.Until(c.leadership.candidacyBarredUntil)
		if c.leadership.scheduler == nil {
			c.membership.leader.name = ""
		}
		c.mu.Unlock()
		if wait > 0 {
			sleep(ctx, min(wait, tuning.CampaignInterval))
			continue
		}
		if !c.tryToLead(ctx) {
			sleep(ctx, jitter(tuning.CampaignInterval))
		}
	}
}

// awaitVacancy returns when the leader's key may have changed after stamp.
func (c *Controller) awaitVacancy(ctx context.Context, modRevision uint64) {
	if _, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.LeaderPrefix, modRevision, tuning.WatchTimeout); err != nil {
		// The key may be older than what the service keeps, or the service is in
		// trouble. Reading the key again is right in both cases.
		sleep(ctx, jitter(c.leaseTTL()/2))
	}
}

// tryToLead tries to take the free key, and leads until the lead is lost.
func (c *Controller) tryToLead(ctx context.Context) bool {
	askedAt := time.Now()
	storeLease, err := c.store.GrantLease(ctx, c.leaseTTL())
	if err != nil {
		c.logCallFailure("lease", err)
		return false
	}
	record := records.Leader{Node: c.cfg.Node, Addr: c.cfg.PeerAddr, Boot: c.bootID}
	term, _, err := c.store.Commit(ctx, kvstore.PriorityLeader, wire.Txn{
		If:   []wire.Compare{{Key: records.LeaderKey}},
		Then: []wire.Op{{Set: records.LeaderKey, Value: record, Lease: &storeLease}},
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		// The answer was lost: the key tells whether we have it. Should the
		// write be carried out later still, the lease lets it die.
		item, getErr := c.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
		var stored records.Leader
		if getErr == nil && item.ModRevision != 0 && item.Lease == storeLease && wire.Unmarshal(item.Value, &stored) == nil && stored.Boot == c.bootID {
			term, err = item.ModRevision, nil
		}
	}
	if err != nil {
		_ = c.store.RevokeLease(ctx, storeLease)
		return false
	}
	c.serveTerm(ctx, storeLease, term, askedAt)
	return true
}

// leaseTTL is the leader's lease, longer where the process has a small share of the
// processor and the workers' leases outlast it. No rule depends on its length, only for
// how long nobody leads after a leader has fallen silent.
func (c *Controller) leaseTTL() time.Duration {
	share := c.cfg.Deployment.Quota.CPUShare
	if share <= 0 || share >= tuning.ReferenceCPUShare {
		return tuning.LeaderLeaseTTL
	}
	//mutation:leader-lease-bound
	longest := min(tuning.MaxLeaderLeaseTTL, config.Seconds(c.cfg.Deployment.Workers.LeaseS)/tuning.WorkerLeaseDivisor)
	//mutation:leader-lease-by-share
	return max(tuning.LeaderLeaseTTL, min(time.Duration(float64(tuning.LeaderLeaseTTL)*tuning.ReferenceCPUShare/share), longest))
}

// serveTerm recovers the records and leads until the lead is lost.
func (c *Controller) serveTerm(ctx context.Context, storeLease, term uint64, askedAt time.Time) {
	c.log.Info("elected", "term", term, "took_ms", time.Since(askedAt).Milliseconds())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := make(chan struct{})
	c.mu.Lock()
	c.leadership.storeLease, c.leadership.leaseHeldUntil, c.leadership.electedAt = storeLease, askedAt.Add(c.leaseTTL()), askedAt
	c.setLeader(c.cfg.Node, term)
	c.mu.Unlock()

	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		c.renewLease(ctx, storeLease, lost)
	}()
	sched := c.loadScheduler(ctx, term, lost)
	if sched != nil {
		c.log.Info("leading", "term", term, "after_ms", time.Since(askedAt).Milliseconds())
		go c.pollMachineList(ctx, sched)
		go c.watchJobs(ctx, sched)
		select {
		case <-lost:
		case <-ctx.Done():
		}
		c.update(func() {
			if c.leadership.scheduler == sched {
				c.log.Info("lead lost", "term", term)
				c.endTerm()
				c.membership.leader.name = ""
			}
		})
	}
	cancel()
	<-renewed
	revokeCtx, cancelRevoke := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancelRevoke()
	_ = c.store.RevokeLease(revokeCtx, storeLease)
}

// renewLease keeps the lease until it is lost. That the service refuses us for a
// while is no proof of that: in an outage the lease keeps its full time.
func (c *Controller) renewLease(ctx context.Context, storeLease uint64, lost chan struct{}) {
	for sleep(ctx, tuning.LeaseRenewInterval) {
		select {
		case <-lost:
			return
		default:
		}
		sentAt := time.Now()
		err := c.store.RenewLease(ctx, storeLease)
		if err == nil {
			c.update(func() {
				if c.leadership.storeLease == storeLease {
					c.leadership.leaseHeldUntil = sentAt.Add(c.leaseTTL())
					if c.leadership.scheduler != nil {
						c.leadership.scheduler.LeaseHeldUntil(c.leadership.leaseHeldUntil.Sub(c.startedAt))
					}
				}
			})
		}
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			c.mu.Lock()
			defer c.mu.Unlock()
			select {
			case <-lost:
			default:
				if c.leadership.scheduler != nil {
					c.log.Info("lead lost: the lease has ended", "term", c.membership.leader.term)
					c.endTerm()
					c.membership.leader.name = ""
				} else {
					close(lost)
				}
			}
			return
		}
		if err != nil {
			c.logCallFailure("renewal", err)
		}
	}
}
