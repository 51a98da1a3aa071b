package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// leaderTerm is one term for which this controller was elected. Its fields do not change. It
// owns the goroutines of the term, which renew the lease, read the cloud's list of machines and
// watch the jobs.
type leaderTerm struct {
	controller       *Controller
	number           uint64 // the modification revision of the leader's key
	leaseID          uint64 // ID of the lease that the leader's key is attached to
	leaseTTL         time.Duration
	leaseRequestedAt time.Time
	// lost is closed when the leadership is lost. It is closed with Controller.mu held.
	lost chan struct{}
}

func (t *leaderTerm) isLost() bool {
	select {
	case <-t.lost:
		return true
	default:
		return false
	}
}

// serve loads the records and leads until the leadership is lost or ctx ends. Then it revokes
// the lease and returns when the goroutines of the term have ended.
func (t *leaderTerm) serve(ctx context.Context) {
	log := t.controller.log
	log.Info("elected", "term", t.number, "took_ms", time.Since(t.leaseRequestedAt).Milliseconds())
	var loops sync.WaitGroup
	defer loops.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.begin()

	renewalEnded := make(chan struct{})
	go func() {
		defer close(renewalEnded)
		t.renewLease(ctx)
	}()
	if sched := t.loadScheduler(ctx); sched != nil {
		log.Info("leading", "term", t.number, "after_ms", time.Since(t.leaseRequestedAt).Milliseconds())
		loops.Go(func() { t.pollMachineList(ctx, sched) })
		loops.Go(func() { t.controller.jobSync.watch(ctx) })
		select {
		case <-t.lost:
		case <-ctx.Done():
		}
		t.end(sched)
	}
	cancel()
	<-renewalEnded
	t.revokeLease()
}

// begin records in the controller's state that this controller won the election.
func (t *leaderTerm) begin() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leadership.leaseID = t.leaseID
	c.leadership.leaseHeldUntil = t.leaseRequestedAt.Add(t.leaseTTL)
	c.leadership.electedAt = t.leaseRequestedAt
	c.setLeader(c.cfg.Node, t.number)
}

// end ends the term of sched if it has not ended yet, because the process is ending.
func (t *leaderTerm) end(sched *scheduler.Scheduler) {
	c := t.controller
	c.update(func() {
		if c.leadership.scheduler == sched {
			c.log.Info("leadership ended with the process", "term", t.number)
			c.endTerm()
		}
	})
}

// renewLease renews the lease periodically until the lease is lost or ctx ends. A renewal that the
// store does not serve does not prove that the lease is lost: in an outage of the store, the lease
// keeps its full TTL.
func (t *leaderTerm) renewLease(ctx context.Context) {
	for sleep(ctx, tuning.LeaseRenewInterval) {
		if t.isLost() {
			return
		}
		sentAt := time.Now()
		err := t.controller.store.RenewLease(ctx, t.leaseID)
		switch {
		case err == nil:
			t.leaseRenewed(sentAt)
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			t.leaseExpired()
			return
		default:
			logCallFailure(t.controller.log, "leader lease not renewed", err)
		}
	}
}

// leaseRenewed records that the lease was renewed. The new TTL counts from the time at which the
// renewal was sent.
func (t *leaderTerm) leaseRenewed(sentAt time.Time) {
	c := t.controller
	c.update(func() {
		if c.leadership.leaseID != t.leaseID {
			return
		}
		c.leadership.leaseHeldUntil = sentAt.Add(t.leaseTTL)
		if c.leadership.leading() {
			c.leadership.scheduler.ExtendLease(c.leadership.leaseHeldUntil.Sub(c.startedAt))
		}
	})
}

// leaseExpired ends the term, even if its records have not been loaded yet.
func (t *leaderTerm) leaseExpired() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.isLost():
	case c.leadership.leading():
		c.log.Info("leadership lost: lease expired", "term", t.number)
		c.assertLeaseEnded(t.number, "lease not found")
		c.endTerm()
	default:
		close(t.lost)
	}
}

// revokeLease lets another controller be elected without waiting for the lease to expire. It
// uses a context of its own, so that it also works while the process shuts down.
func (t *leaderTerm) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancel()
	_ = t.controller.store.RevokeLease(ctx, t.leaseID) // on failure the lease expires
}
