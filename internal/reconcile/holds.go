package reconcile

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// MayHaveCapacity reports whether a machine may yet turn out to have free capacity, so
// that no machine is provisioned and nothing preempted for work that would fit there. One
// that left status probes unanswered counts only after a cold restart.
func (r *Reconciler) MayHaveCapacity(machine string, unansweredProbes int) bool {
	if !r.config.Enabled || r.phase != Collecting || unansweredProbes > 0 && !r.config.Cold {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// AwaitsCapacity reports whether MayHaveCapacity can hold for any machine.
func (r *Reconciler) AwaitsCapacity() bool {
	return r.config.Enabled && r.phase == Collecting && r.unconfirmed > 0
}

// HoldsRelease reports whether a machine is kept although status probes to it stay
// unanswered: after a cold restart it is late, and only the expiry of its lease shows that
// it is gone.
func (r *Reconciler) HoldsRelease(now time.Duration, machine string) bool {
	if !r.config.Enabled || !r.config.Cold || now >= r.startedAt+r.config.WorkerLease-tuning.EarlyReleaseMargin {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// HoldsIdleReleases reports whether idle machines are kept: what they are needed for is
// not known before the others are confirmed.
func (r *Reconciler) HoldsIdleReleases() bool { return r.config.Enabled && r.phase == Collecting }

// HoldsTeamLimits reports whether nothing is preempted under a team's quota limit: after
// a cold restart, part of what counts there may turn out to be gone.
func (r *Reconciler) HoldsTeamLimits() bool {
	return r.config.Enabled && r.config.Cold && r.phase == Collecting && r.unproven > 0
}

// HoldsRecoveredWork reports whether tasks from before the term that no record assigns
// have to wait: a task without a record was listed, so that machines which are not
// confirmed yet may run others.
func (r *Reconciler) HoldsRecoveredWork() bool {
	return r.config.Enabled && r.recordsIncomplete && r.phase == Collecting
}

// CloudCallReady reports whether a call to the cloud may be made now. Calls are paced
// until the reconciliation is settled, since half of a fleet may need to be replaced.
func (r *Reconciler) CloudCallReady(now time.Duration) bool {
	return !r.pacesCloudCalls() || r.cloudLimiter.TokensAt(limiterTime(now)) >= 1
}

// TakeCloudCall takes one call to the cloud out of the pace, if it allows one now.
func (r *Reconciler) TakeCloudCall(now time.Duration) bool {
	return !r.pacesCloudCalls() || r.cloudLimiter.AllowN(limiterTime(now), 1)
}

func (r *Reconciler) pacesCloudCalls() bool {
	//mutation:replacement-pace
	return r.config.Enabled && r.phase != Settled && r.cloudLimiter != nil
}

// limiterTime converts a time since the process's start for the limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
