package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxRetryDoublings limits how often the delay of dispatch retries doubles, so that it does not
// overflow.
const maxRetryDoublings = 30

// markDispatched records that the attempt's start is being sent, and schedules the retry for the
// case that it is not acknowledged by then.
func (d *dispatcher) markDispatched(a *attempt) {
	if a.start.firstSentAt == 0 {
		a.start.firstSentAt = d.now.Mono
		d.countOperation(reconcile.StartOperation, a)
	} else {
		d.recordDispatchRetry(a)
	}
	a.start.sent, a.start.incarnation = true, a.machine.heartbeats.incarnation
	a.retry.nextAt = d.now.Mono + d.dispatchRetryDelay(a)
	a.retry.dispatchCount++
}

// recordDispatchRetry records that a start is sent again. A heartbeat that arrives more than
// tuning.StartUnreceivedAfter after the first dispatch and does not acknowledge the start is taken
// as evidence that nothing this leader sends reaches the machine.
func (d *dispatcher) recordDispatchRetry(a *attempt) {
	if a.machine.connectivity.lastHeartbeatAt > a.start.firstSentAt+tuning.StartUnreceivedAfter {
		//mutation:unacknowledged-start-marks-unreachable
		d.markUnreachable(a.machine, startNotAcknowledged)
	}
	d.counters.DispatchRetries++
	d.logInfo("retrying unacknowledged start", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name, "retry", a.retry.dispatchCount)
}

// dispatchDeadline returns the time from which scanMachine abandons the attempt's dispatch when a
// retry is due: when the budget since its job's creation is used up, but not before
// tuning.MinDispatchBudget has passed since the first dispatch.
func (d *dispatcher) dispatchDeadline(a *attempt) time.Duration {
	budget := d.settings.Policy.DefaultDispatchBudget
	if deadlineS := a.job.spec.DeadlineS; deadlineS != nil {
		budget = time.Duration(*deadlineS * float64(time.Second))
	}
	return max(a.job.createdAt+budget, a.start.firstSentAt+tuning.MinDispatchBudget)
}

// dispatchRetryDelay returns the delay until the attempt's next dispatch. It divides the time
// between the first dispatch and the deadline into the configured number of retries, with each
// delay twice the previous one. No delay is below the acknowledgement timeout or above the
// maximum retry interval.
func (d *dispatcher) dispatchRetryDelay(a *attempt) time.Duration {
	retries := max(1, d.settings.Policy.DispatchRetryCount)
	budgetDelay := float64(d.dispatchDeadline(a)-a.start.firstSentAt) / (math.Pow(2, float64(retries)) - 1)
	firstDelay := max(float64(d.settings.Policy.AckTimeout), budgetDelay)
	delay := time.Duration(firstDelay * math.Pow(2, float64(min(a.retry.dispatchCount, maxRetryDoublings))))
	// Without this limit, a deadline that is hours away would put minutes between the first and
	// the second dispatch, and the task would wait that long for a machine that has lost only
	// one message.
	//mutation:dispatch-retry-bound
	return min(delay, max(d.settings.Policy.AckTimeout, tuning.MaxDispatchRetryInterval))
}

// dispatchRetryDue reports whether a start was not acknowledged and must be sent again now.
func (d *dispatcher) dispatchRetryDue(a *attempt) bool {
	if !a.start.sent || a.start.acknowledged || a.start.callInFlight || a.stop.requested {
		return false
	}
	return a.start.firstSentAt > 0 && a.retry.nextAt <= d.now.Mono
}
