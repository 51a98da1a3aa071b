package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// cancellationHistory is what users have cancelled.
type cancellationHistory struct {
	grace       time.Duration            // within which all tasks have to be gone
	requested   map[string]bool          // by job: its user has asked to cancel it
	confirmedAt map[string]time.Duration // by job: when that was confirmed to its user
}

func newCancellationHistory(grace time.Duration) cancellationHistory {
	return cancellationHistory{grace: grace, requested: map[string]bool{}, confirmedAt: map[string]time.Duration{}}
}

// LateStart is a start after a confirmed cancellation, within the time in which the
// tasks have to be gone.
//
// The protocol says: "From then on no task of the job may be started, and within
// `cancel_s` all its tasks must be gone, including those whose start command was still
// in flight". A start that was in flight may therefore still be carried out, and
// RuleRanCancelled allows it; only a start that is sent later violates the sentence.
// Operators count all of them, and so does RuleChecker.
type LateStart struct {
	Task              string
	AfterConfirmation time.Duration
}

// CancelRequested notes that a job's user asks to cancel it.
func (c *RuleChecker) CancelRequested(job string) { c.cancellation.requested[job] = true }

// checkStartAfterCancellation checks and counts a start of a cancelled job's task.
func (c *RuleChecker) checkStartAfterCancellation(now time.Duration, job *wire.Job, task string) {
	confirmedAt, confirmed := c.cancellation.confirmedAt[job.ID]
	switch after := now - confirmedAt; {
	case !confirmed || after <= 0:
	case after > c.cancellation.grace:
		c.violation(now, RuleRanCancelled, "%s starts %v after", task, after)
	default:
		c.LateStarts = append(c.LateStarts, LateStart{task, after})
	}
}

// CheckCancelled checks that the tasks of cancelled jobs are gone in time.
func (c *RuleChecker) CheckCancelled(now time.Duration) {
	for task, machines := range c.placement.machinesByTask {
		job, _, _ := wire.ParseTaskName(task)
		confirmedAt, confirmed := c.cancellation.confirmedAt[job]
		if confirmed && len(machines) > 0 && now > confirmedAt+c.cancellation.grace {
			c.violation(now, RuleRanCancelled, "%s still on %v", task, c.placement.machinesOf(task))
		}
	}
}
