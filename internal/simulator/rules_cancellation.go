package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// cancellationHistory holds the cancellations of jobs. Its maps are by job id.
type cancellationHistory struct {
	grace       time.Duration            // how long tasks may stay on machines after the confirmation
	requested   map[string]bool          // whether a user has requested the cancellation
	confirmedAt map[string]time.Duration // when the cancellation was confirmed to a user
}

func newCancellationHistory(grace time.Duration) cancellationHistory {
	return cancellationHistory{grace: grace, requested: map[string]bool{}, confirmedAt: map[string]time.Duration{}}
}

// LateStart is a start of a task after the cancellation of its job was confirmed, but within the
// grace period.
//
// The protocol forbids starting tasks of the job after the confirmation, and requires that all of
// its tasks are gone within the grace period `cancel_s`, including tasks whose start command was
// in flight at the confirmation. Such a command may therefore still be executed, and
// RuleRanCancelled allows it; only sending a start command later violates the protocol. RuleChecker
// does not see when a command was sent, so it lists every start within the grace period,
// as operators count them.
type LateStart struct {
	Task              string
	AfterConfirmation time.Duration // time from the confirmation to the start
}

// CancelRequested records that a user has requested the cancellation of a job.
func (c *RuleChecker) CancelRequested(job string) { c.cancellation.requested[job] = true }

// CancellationConfirmed reports whether the cancellation of a job was confirmed to a user.
func (c *RuleChecker) CancellationConfirmed(job string) bool {
	_, confirmed := c.cancellation.confirmedAt[job]
	return confirmed
}

// checkStartAfterCancellation checks the start of a task. If the cancellation of its job was
// confirmed before, it records a violation after the grace period, and a late start within it.
func (c *RuleChecker) checkStartAfterCancellation(now time.Duration, job *wire.Job, task string) {
	confirmedAt, confirmed := c.cancellation.confirmedAt[job.ID]
	switch after := now - confirmedAt; {
	case !confirmed || after <= 0:
	case after > c.cancellation.grace:
		c.recordViolation(now, RuleRanCancelled, "%s starts %v after the confirmed cancellation of its job", task, after)
	default:
		c.LateStarts = append(c.LateStarts, LateStart{task, after})
	}
}

// CheckCancelled checks that no task of a cancelled job is on a machine after the grace period.
func (c *RuleChecker) CheckCancelled(now time.Duration) {
	for task, machines := range c.placement.machinesByTask {
		job, _, _ := wire.ParseTaskName(task)
		confirmedAt, confirmed := c.cancellation.confirmedAt[job]
		if confirmed && len(machines) > 0 && now > confirmedAt+c.cancellation.grace {
			c.recordViolation(now, RuleRanCancelled, "%s of a cancelled job is still on %v", task, c.placement.machinesWithTask(task))
		}
	}
}
