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

// leaderTerm is one term that this controller was elected for. Its fields do not change. It
// owns the goroutines of the term: those that renew the lease, read the cloud's list of
// machines and watch the jobs.
type leaderTerm struct {
	controller *Controller
	number     uint64 // the modification revision of the leader's key
	storeLease uint64 // which the leader's key is on
	askedAt    time.Time
	// lost is closed, with the lock held, when the leadership is lost.
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

// serve loads the records and leads until the leadership is lost or ctx ends. It returns
// when the goroutines of the term have ended.
func (t *leaderTerm) serve(ctx context.Context) {
	log := t.controller.log
	log.Info("elected", "term", t.number, "took_ms", time.Since(t.askedAt).Milliseconds())
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
		log.Info("leading", "term", t.number, "after_ms", time.Since(t.askedAt).Milliseconds())
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

// begin takes note of the election.
func (t *leaderTerm) begin() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leadership.storeLease = t.storeLease
	c.leadership.leaseHeldUntil = t.askedAt.Add(leaderLeaseTTL(c.cfg))
	c.leadership.electedAt = t.askedAt
	c.setLeader(c.cfg.Node, t.number)
}

// end ends the term if it still lasts.
func (t *leaderTerm) end(sched *scheduler.Scheduler) {
	c := t.controller
	c.update(func() {
		if c.leadership.scheduler == sched {
			c.log.Info("leadership ended with the process", "term", t.number)
			c.endTerm()
		}
	})
}

// renewLease keeps the lease until it is lost. A store that does not serve us for a while is
// no proof that it is: in an outage the lease keeps its full time.
func (t *leaderTerm) renewLease(ctx context.Context) {
	for sleep(ctx, tuning.LeaseRenewInterval) {
		if t.isLost() {
			return
		}
		sentAt := time.Now()
		err := t.controller.store.RenewLease(ctx, t.storeLease)
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

// leaseRenewed extends the lease from when the renewal was sent.
func (t *leaderTerm) leaseRenewed(sentAt time.Time) {
	c := t.controller
	c.update(func() {
		if c.leadership.storeLease != t.storeLease {
			return
		}
		c.leadership.leaseHeldUntil = sentAt.Add(leaderLeaseTTL(c.cfg))
		if c.leadership.leading() {
			c.leadership.scheduler.ExtendLease(c.leadership.leaseHeldUntil.Sub(c.startedAt))
		}
	})
}

// leaseExpired ends the term, in which the records may not have been loaded yet.
func (t *leaderTerm) leaseExpired() {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.isLost():
	case c.leadership.leading():
		c.log.Info("leadership lost: lease expired", "term", t.number)
		c.endTerm()
	default:
		close(t.lost)
	}
}

// revokeLease lets others be elected without waiting for the lease to expire. It works also
// when the process is about to end.
func (t *leaderTerm) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancel()
	_ = t.controller.store.RevokeLease(ctx, t.storeLease) // else it expires
}
