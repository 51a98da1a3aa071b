package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxRetryDoublings keeps the wait before a dispatch retry from overflowing.
const maxRetryDoublings = 30

// markDispatched takes note that the attempt's start is being sent, and plans when it is
// sent again if it is not acknowledged by then.
func (d *dispatcher) markDispatched(a *attempt) {
	if a.start.firstSentAt == 0 {
		a.start.firstSentAt = d.now.Mono
		d.countOperation(reconcile.StartOperation, a)
	} else {
		d.noteDispatchRetry(a)
	}
	a.start.sent, a.start.incarnation = true, a.machine.heartbeats.incarnation
	a.retry.nextAt = d.now.Mono + d.dispatchRetryDelay(a)
	a.retry.dispatchCount++
}

// noteDispatchRetry takes note that a start is sent again. If heartbeats arrive meanwhile
// and the start is still not acknowledged, nothing that this leader sends gets through.
func (d *dispatcher) noteDispatchRetry(a *attempt) {
	if a.machine.connectivity.lastHeartbeatAt > a.start.firstSentAt+tuning.StartUnreceivedAfter {
		//mutation:unacknowledged-start-marks-unreachable
		d.markUnreachable(a.machine, startNotAcknowledged)
	}
	d.counters.DispatchRetries++
	d.logInfo("retrying unacknowledged start", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name, "retry", a.retry.dispatchCount)
}

// dispatchDeadline is when the time to start the attempt ends, counted from its job's
// creation.
func (d *dispatcher) dispatchDeadline(a *attempt) time.Duration {
	budget := d.settings.Policy.DefaultDispatchBudget
	if deadlineS := a.job.spec.DeadlineS; deadlineS != nil {
		budget = time.Duration(*deadlineS * float64(time.Second))
	}
	return max(a.job.createdAt+budget, a.start.firstSentAt+tuning.MinDispatchBudget)
}

// dispatchRetryDelay divides the time between the first dispatch and the deadline into the
// set number of retries. Each delay is twice the one before, none is below the
// acknowledgement timeout, and none is above the bound for retries.
func (d *dispatcher) dispatchRetryDelay(a *attempt) time.Duration {
	retries := max(1, d.settings.Policy.DispatchRetryCount)
	base := float64(d.dispatchDeadline(a)-a.start.firstSentAt) / (math.Pow(2, float64(retries)) - 1)
	first := max(float64(d.settings.Policy.AckTimeout), base)
	delay := time.Duration(first * math.Pow(2, float64(min(a.retry.dispatchCount, maxRetryDoublings))))
	// Where the deadline is hours off, the second dispatch would come minutes after the
	// first: the task would wait on a machine that has only lost one message.
	//mutation:dispatch-retry-bound
	return min(delay, max(d.settings.Policy.AckTimeout, tuning.MaxDispatchRetryInterval))
}

// dispatchRetryDue reports whether a start was not acknowledged and is to be sent again now.
func (d *dispatcher) dispatchRetryDue(a *attempt) bool {
	if !a.start.sent || a.start.acknowledged || a.start.callInFlight || a.stop.requested {
		return false
	}
	return a.start.firstSentAt > 0 && a.retry.nextAt <= d.now.Mono
}
