package reconcile

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// MayHaveCapacity reports whether an unconfirmed machine may turn out to have free capacity.
// Until that is known, no machine is provisioned and no task is preempted for tasks that would
// fit on it. A machine that left status probes unanswered counts only after a cold restart.
func (r *Reconciler) MayHaveCapacity(machine string, unansweredProbes int) bool {
	if !r.config.Enabled || r.phase != Collecting || unansweredProbes > 0 && !r.config.Cold {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// AwaitsCapacity reports whether MayHaveCapacity can be true for any machine.
func (r *Reconciler) AwaitsCapacity() bool {
	return r.config.Enabled && r.phase == Collecting && r.unconfirmed > 0
}

// HoldsRelease reports whether a machine is kept although it does not answer status probes.
// After a cold restart, machines are late for no fault of their own, and only the expiry of a
// machine's lease shows that the machine is gone.
func (r *Reconciler) HoldsRelease(now time.Duration, machine string) bool {
	if !r.config.Enabled || !r.config.Cold || now >= r.startedAt+r.config.WorkerLease-tuning.EarlyReleaseMargin {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// HoldsIdleReleases reports whether idle machines are kept. Whether they are needed is not known
// until the other machines are confirmed.
func (r *Reconciler) HoldsIdleReleases() bool { return r.config.Enabled && r.phase == Collecting }

// HoldsQuotaPreemption reports whether no task is preempted to make room under a team's quota
// limit. After a cold restart, some of the attempts that count towards the limit may turn out to
// be gone.
func (r *Reconciler) HoldsQuotaPreemption() bool {
	return r.config.Enabled && r.config.Cold && r.phase == Collecting && r.unproven > 0
}

// HoldsRecoveredWork reports whether tasks from before the term that no record assigns to a
// machine must wait. They must if a worker has listed an attempt without a record: unconfirmed
// machines may then be running more of these tasks.
func (r *Reconciler) HoldsRecoveredWork() bool {
	return r.config.Enabled && r.recordsIncomplete && r.phase == Collecting
}

// CloudCallReady reports whether the rate limit on calls to the cloud allows a call now. Calls are
// limited until the reconciliation is settled, since half of a fleet may need to be replaced.
func (r *Reconciler) CloudCallReady(now time.Duration) bool {
	return !r.limitsCloudCalls() || r.cloudLimiter.TokensAt(limiterTime(now)) >= 1
}

// TakeCloudCall counts a call to the cloud against the rate limit. It reports false if the limit
// does not allow a call now.
func (r *Reconciler) TakeCloudCall(now time.Duration) bool {
	return !r.limitsCloudCalls() || r.cloudLimiter.AllowN(limiterTime(now), 1)
}

func (r *Reconciler) limitsCloudCalls() bool {
	//mutation:replacement-pace
	return r.config.Enabled && r.phase != Settled && r.cloudLimiter != nil
}

// limiterTime converts a time since the start of the process to one for the rate limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
