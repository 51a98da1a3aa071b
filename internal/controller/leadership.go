package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// leadership is the state of a controller's own term while it leads, and of its campaigns for
// leadership. Guarded by Controller.mu.
type leadership struct {
	// scheduler is nil unless this controller leads.
	scheduler *scheduler.Scheduler
	// leaseID is the ID of the lease in the key-value store under which this controller last led.
	leaseID uint64
	// leaseHeldUntil is a time before which that lease does not expire: its TTL after the last
	// successful request to grant or renew it was sent.
	leaseHeldUntil time.Time
	// lost is leaderTerm.lost of the current term. endTerm closes it.
	lost chan struct{}
	// electedAt is when the campaign began that this controller last won.
	electedAt time.Time
	// loadingSince is when this controller began to load the records after it was elected; zero
	// if it is not loading them.
	loadingSince time.Time
	// campaignBackoffUntil is the time before which this controller does not campaign.
	campaignBackoffUntil time.Time
	// rerunScheduled is set while a timer is pending that runs the scheduler again.
	rerunScheduled bool
}

// leading reports whether this controller leads and has loaded the records.
func (l *leadership) leading() bool { return l.scheduler != nil }

// holdsLease reports whether the term of sched has not ended and its lease has certainly not
// expired.
func (l *leadership) holdsLease(sched *scheduler.Scheduler) bool {
	return l.scheduler == sched && time.Now().Before(l.leaseHeldUntil)
}

// survivedFailover reports whether a controller process that started at processStartedAt was
// up long enough before this controller's election to answer workers until the change of
// leader: for more than 1/ColdRestartLeaseDivisor of the workers' lease. Time since the election
// does not count. A zero processStartedAt means that the start time is unknown.
func (l *leadership) survivedFailover(processStartedAt time.Time, workerLease time.Duration) bool {
	//mutation:survived-from-election
	return !processStartedAt.IsZero() && l.electedAt.Sub(processStartedAt) > workerLease/tuning.ColdRestartLeaseDivisor
}

// stepDownReason says, for the log, why a leader ends its term before its lease expires. It is
// one of the constants below, or the scheduler's ResignReason.
type stepDownReason string

const (
	stepDownIsolated        stepDownReason = "isolated from the key-value store and most peers"
	stepDownWatermarkTooOld stepDownReason = "the cancellation watermark is too old to renew worker leases"
	stepDownLaterTerm       stepDownReason = "a peer knows the leader of a later term"
)

// showsNextLeader reports whether the reason is that another leader has been elected.
func (r stepDownReason) showsNextLeader() bool {
	return r == stepDownLaterTerm || r == stepDownReason(scheduler.ResignLeaderKeyLost)
}

// resign ends the term at the scheduler's request. Called with the lock held.
func (c *Controller) resign(sched *scheduler.Scheduler, reason stepDownReason) {
	if !c.stepDown(sched, reason) {
		return
	}
	if reason == stepDownReason(scheduler.ResignNoHeartbeats) {
		// Controllers that workers may reach campaign first. No other reason causes a backoff:
		// five controllers that depose each other would leave no candidate.
		c.leadership.campaignBackoffUntil = time.Now().Add(tuning.ResignBackoff)
	}
}

// stepDown ends the term of sched. It returns false if that term has already ended. After the end
// of the term its lease is revoked, so that the other controllers need not wait for it to expire.
// Called with the lock held.
func (c *Controller) stepDown(sched *scheduler.Scheduler, reason stepDownReason) bool {
	if c.leadership.scheduler != sched {
		return false
	}
	c.log.Info("leader stepped down", "term", c.membership.leader.term, "reason", string(reason))
	if reason.showsNextLeader() {
		c.assertLeaseEnded(c.membership.leader.term, string(reason))
	}
	c.cancellations.advanceEnforcedUntil(c.enforcedCancellationWatermark())
	c.endTerm()
	return true
}

// endTerm ends this controller's current term. Called with the lock held, while this controller
// leads.
func (c *Controller) endTerm() {
	c.metrics.addTerm(c.leadership.scheduler.Counters())
	c.servedMachines()
	c.leadership.scheduler = nil
	c.membership.leader.name = ""
	c.tracer.TermEnded(time.Now())
	close(c.leadership.lost)
}
