package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// leadership is what a controller holds while it leads, and what it remembers of its own
// candidacy. Guarded by Controller.mu.
type leadership struct {
	// scheduler is nil unless this controller leads.
	scheduler *scheduler.Scheduler
	// storeLease is the lease in the key-value store that the leader's key is on.
	storeLease uint64
	// leaseHeldUntil is when that lease ends if it is not renewed.
	leaseHeldUntil time.Time
	// lost is closed when the term ends.
	lost chan struct{}
	// electedAt is when this controller last asked for the leadership that it got.
	electedAt time.Time
	// loadingSince is since when this controller, elected, has been loading the records;
	// zero: it is not.
	loadingSince time.Time
	// candidacyBarredUntil is until when this controller does not stand for election.
	candidacyBarredUntil time.Time
	// settleScheduled is set while a timer is pending that settles the scheduler again.
	settleScheduled bool
}

// leading reports whether this controller leads, with its records loaded.
func (l *leadership) leading() bool { return l.scheduler != nil }

// holdsLease reports whether the lease of the scheduler's term lasts for certain now.
func (l *leadership) holdsLease(sched *scheduler.Scheduler) bool {
	return l.scheduler == sched && time.Now().Before(l.leaseHeldUntil)
}

// survivedFailover reports whether a process that started then was up long before this
// controller was elected, so that workers could be answered until the change of leader. For
// how long it has been up since then does not matter.
func (l *leadership) survivedFailover(processStartedAt time.Time, workerLease time.Duration) bool {
	//mutation:survived-from-election
	return !processStartedAt.IsZero() && l.electedAt.Sub(processStartedAt) > workerLease/tuning.ColdRestartLeaseDivisor
}

// stepDownReason says why a leader ends its term before its lease does, for the log. It is one
// of these, or the reason for which the scheduler resigns.
type stepDownReason string

const (
	stepDownIsolated        stepDownReason = "isolated from the key-value store and most peers"
	stepDownWatermarkTooOld stepDownReason = "the cancellation watermark is too old to renew worker leases"
	stepDownLaterTerm       stepDownReason = "a peer knows the leader of a later term"
)

// resign ends the term since the scheduler asks for it. Called with the lock held.
func (c *Controller) resign(sched *scheduler.Scheduler, reason stepDownReason) {
	if !c.stepDown(sched, reason) {
		return
	}
	if reason == stepDownReason(scheduler.ResignNoHeartbeats) {
		// Whoever is in a better place goes first. After other ends nobody is barred: five
		// controllers that depose each other would leave no candidate.
		c.leadership.candidacyBarredUntil = time.Now().Add(tuning.ResignBackoff)
	}
}

// stepDown ends the term of the scheduler, if it lasts. The lease is revoked, so that the
// others need not wait for it to expire. Called with the lock held.
func (c *Controller) stepDown(sched *scheduler.Scheduler, reason stepDownReason) bool {
	if c.leadership.scheduler != sched {
		return false
	}
	c.log.Info("leader stepped down", "term", c.membership.leader.term, "reason", string(reason))
	c.cancellations.advanceEnforcedUntil(c.enforcedCancellationWatermark())
	c.endTerm()
	return true
}

// endTerm ends this controller's term, in which it leads. Called with the lock held.
func (c *Controller) endTerm() {
	c.metrics.addTerm(c.leadership.scheduler.Counters())
	c.leadership.scheduler = nil
	c.membership.leader.name = ""
	c.tracer.TermEnded(time.Now())
	close(c.leadership.lost)
}
