package controller

import (
	"context"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// election watches the leader's key and takes it when it is free. The key is on a short
// lease; its modification revision is the term, which only grows. It runs in one goroutine,
// without the lock.
type election struct{ controller *Controller }

// run stands for election, and leads when it is won, until ctx ends.
func (e election) run(ctx context.Context) {
	for ctx.Err() == nil {
		leaderKey, err := e.controller.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
		switch {
		case err != nil:
			sleep(ctx, jitter(tuning.StoreRetryDelay))
		case leaderKey.ModRevision == 0:
			e.standForElection(ctx)
		default:
			e.followLeader(ctx, leaderKey)
		}
	}
}

// followLeader notes who leads and returns when the leader's key may have changed.
func (e election) followLeader(ctx context.Context, leaderKey wire.KeyValue) {
	c := e.controller
	var record records.Leader
	if err := wire.Unmarshal(leaderKey.Value, &record); err != nil {
		c.log.Error("leader record unreadable", "err", err)
	}
	if record.Node == c.cfg.Node && leaderKey.Lease != 0 {
		// Left by our own predecessor, which is dead, since only one process runs under a
		// node's name; or by a write of our own that was carried out late. Nobody leads by
		// it: revoking its lease spares the wait.
		c.log.Info("revoking the lease of an earlier process of this controller", "term", leaderKey.ModRevision)
		_ = c.store.RevokeLease(ctx, leaderKey.Lease) // the key is read again
		return
	}
	c.update(func() {
		if leaderKey.ModRevision >= c.membership.leader.term {
			c.setLeader(record.Node, leaderKey.ModRevision)
			c.membership.leader.storeLease = leaderKey.Lease
		}
	})
	e.awaitVacancy(ctx, leaderKey.ModRevision)
}

// awaitVacancy returns when the leader's key may have changed after modRevision.
func (e election) awaitVacancy(ctx context.Context, modRevision uint64) {
	c := e.controller
	if _, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.LeaderPrefix, modRevision, tuning.WatchTimeout); err != nil {
		// The key may be older than the changes that the store keeps, or the store is
		// failing. Reading the key again is right in both cases.
		sleep(ctx, jitter(leaderLeaseTTL(c.cfg)/2))
	}
}

// standForElection tries once to take the free key, unless this controller is barred.
func (e election) standForElection(ctx context.Context) {
	if barredFor := e.barredFor(); barredFor > 0 {
		sleep(ctx, min(barredFor, tuning.CampaignInterval))
		return
	}
	if !e.tryToLead(ctx) {
		sleep(ctx, jitter(tuning.CampaignInterval))
	}
}

// barredFor notes that nobody leads, and returns for how long this controller has to let
// others stand for election first.
func (e election) barredFor() time.Duration {
	c := e.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leadership.leading() {
		c.membership.leader.name = ""
	}
	return time.Until(c.leadership.candidacyBarredUntil)
}

// tryToLead tries to take the free key, and leads until the leadership is lost.
func (e election) tryToLead(ctx context.Context) bool {
	c := e.controller
	askedAt := time.Now()
	self := candidate{store: c.store, record: records.Leader{Node: c.cfg.Node, Addr: c.cfg.PeerAddr, BootID: c.bootID}}
	revision, lease, err := self.acquire(ctx, leaderLeaseTTL(c.cfg))
	if err != nil {
		logCallFailure(c.log, "leadership not acquired", err)
		return false
	}
	term := &leaderTerm{controller: c, number: revision, storeLease: lease, askedAt: askedAt, lost: make(chan struct{})}
	term.serve(ctx)
	return true
}

// leaderLeaseTTL returns the length of the leader's lease, longer where the process has a
// small share of the processor and the workers' leases outlast it. Safety does not depend on
// its length, only for how long nobody leads after a leader has failed.
func leaderLeaseTTL(cfg *config.Settings) time.Duration {
	share := cfg.Deployment.Quota.CPUShare
	if share <= 0 || share >= tuning.ReferenceCPUShare {
		return tuning.LeaderLeaseTTL
	}
	//mutation:leader-lease-bound
	longest := min(tuning.MaxLeaderLeaseTTL, config.Seconds(cfg.Deployment.Workers.LeaseS)/tuning.WorkerLeaseDivisor)
	//mutation:leader-lease-by-share
	return max(tuning.LeaderLeaseTTL, min(time.Duration(float64(tuning.LeaderLeaseTTL)*tuning.ReferenceCPUShare/share), longest))
}
