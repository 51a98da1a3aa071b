package controller

import (
	"context"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// election watches the leader's key and campaigns when the key does not exist. The key is
// attached to a short lease. Its modification revision is the number of the term and only
// increases. election runs in one goroutine, without the lock.
type election struct{ controller *Controller }

// run follows the leader, campaigns when there is none, and leads after it has won, until ctx
// ends.
func (e election) run(ctx context.Context) {
	for ctx.Err() == nil {
		leaderKey, err := e.controller.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
		switch {
		case err != nil:
			sleep(ctx, jitter(tuning.StoreRetryDelay))
		case leaderKey.ModRevision == 0:
			e.campaign(ctx)
		default:
			e.followLeader(ctx, leaderKey)
		}
	}
}

// followLeader records the leader and returns when the leader's key may have changed.
func (e election) followLeader(ctx context.Context, leaderKey wire.KeyValue) {
	c := e.controller
	var record records.Leader
	if err := wire.Unmarshal(leaderKey.Value, &record); err != nil {
		c.log.Error("leader record unreadable", "err", err)
	}
	if record.Node == c.cfg.Node && leaderKey.Lease != 0 {
		// The key was written by an earlier process of this node, which has ended since only
		// one process runs under a node's name, or by a write of this process that was applied
		// late. In both cases nobody leads, and revoking the lease avoids waiting for it to
		// expire.
		c.log.Info("revoking the lease of an earlier process of this controller", "term", leaderKey.ModRevision)
		_ = c.store.RevokeLease(ctx, leaderKey.Lease) // on failure, run retries
		return
	}
	c.update(func() {
		if leaderKey.ModRevision >= c.membership.leader.term {
			c.setLeader(record.Node, leaderKey.ModRevision)
			c.membership.leader.leaseID = leaderKey.Lease
		}
	})
	e.waitForKeyChange(ctx, leaderKey.ModRevision)
}

// waitForKeyChange returns when the leader's key may have changed after modRevision.
func (e election) waitForKeyChange(ctx context.Context, modRevision uint64) {
	c := e.controller
	if _, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.LeaderPrefix, modRevision, tuning.WatchTimeout); err != nil {
		// The key may be older than the changes that the store keeps, or the store may be
		// failing. Reading the key again after a pause is right in both cases.
		sleep(ctx, jitter(e.leaseTTL()/2))
	}
}

// campaign tries once to acquire the leader's key, and leads if it succeeds. During the campaign
// backoff it only waits.
func (e election) campaign(ctx context.Context) {
	if backoff := e.campaignBackoff(); backoff > 0 {
		sleep(ctx, min(backoff, tuning.CampaignInterval))
		return
	}
	if !e.tryToLead(ctx) {
		sleep(ctx, jitter(tuning.CampaignInterval))
	}
}

// campaignBackoff records that there is no leader, and returns how much longer this controller
// lets others campaign first.
func (e election) campaignBackoff() time.Duration {
	c := e.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leadership.leading() {
		c.membership.leader.name = ""
	}
	return time.Until(c.leadership.campaignBackoffUntil)
}

// tryToLead tries to acquire the leader's key. If it succeeds, it leads until the leadership is
// lost or ctx ends, and returns true.
func (e election) tryToLead(ctx context.Context) bool {
	c := e.controller
	leaseRequestedAt, leaseTTL := time.Now(), e.leaseTTL()
	self := candidate{store: c.store, record: records.Leader{Node: c.cfg.Node, Addr: c.cfg.PeerAddr, BootID: c.bootID}}
	revision, leaseID, err := self.acquire(ctx, leaseTTL)
	if err != nil {
		logCallFailure(c.log, "leadership not acquired", err)
		return false
	}
	term := &leaderTerm{controller: c, number: revision, leaseID: leaseID, leaseTTL: leaseTTL, leaseRequestedAt: leaseRequestedAt, lost: make(chan struct{})}
	term.serve(ctx)
	return true
}

// leaseTTL returns the TTL of the lease that this controller requests as the leader.
func (e election) leaseTTL() time.Duration {
	c := e.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	return leaderLeaseTTL(c.cfg, c.membership.fleetSize)
}

// leaderLeaseTTL returns the TTL of the lease of a leader of the given number of machines; 0 if that
// is unknown. The TTL grows as the effective CPU share of the process falls below
// ReferenceCPUShare, up to MaxLeaderLeaseTTL and 1/WorkerLeaseDivisor of the workers' lease. Safety
// does not depend on the TTL, which determines only how long there is no leader after a leader has
// failed.
func leaderLeaseTTL(cfg *config.Settings, machines int) time.Duration {
	cpuShare := scheduler.EffectiveCPUShare(cfg.Deployment.Quota.CPUShare, machines)
	if cpuShare <= 0 || cpuShare >= tuning.ReferenceCPUShare {
		return tuning.LeaderLeaseTTL
	}
	//mutation:leader-lease-bound
	maxTTL := min(tuning.MaxLeaderLeaseTTL, config.Seconds(cfg.Deployment.Workers.LeaseS)/tuning.WorkerLeaseDivisor)
	//mutation:leader-lease-by-share
	return max(tuning.LeaderLeaseTTL, min(time.Duration(float64(tuning.LeaderLeaseTTL)*tuning.ReferenceCPUShare/cpuShare), maxTTL))
}
