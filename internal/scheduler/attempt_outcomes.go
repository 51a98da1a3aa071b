package scheduler

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Causes of failed attempts that the leader determines itself; workers report other causes.
const (
	causeLost            = "lost"         // the worker no longer lists the attempt
	causeMachineReleased = "machine gone" // the attempt's machine was released
	causeAckTimeout      = "ack timeout"  // no worker acknowledged the start in time
)

// Failure describes a failed attempt, for the list that operators query.
type Failure struct {
	Task    string `cbor:"task" json:"task"`
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	Machine string `cbor:"machine" json:"machine"`
	Cause   string `cbor:"cause" json:"cause"`
	AtMilli int64  `cbor:"at_ms" json:"at_ms"` // Unix time in milliseconds
}

// handleExit handles the end of an attached attempt that its worker lists as ended.
func (s *Scheduler) handleExit(a *attempt, status *wire.TaskStatus) {
	a.start.acknowledged = true
	s.reconciler.reportDeferredVerdict(a)
	if status.Cause == wire.CauseDone {
		s.reconcileRecordedAttempt(a, reconcile.Completed)
		//mutation:keep-attempt-until-saved
		a.keepAssignmentUntilSaved()
	} else {
		s.reconcileRecordedAttempt(a, reconcile.Ended)
	}
	if a.job != nil && (a.state != "" || status.Cause == wire.CauseDone) {
		a.machine.addImage(a.job.spec.Image, a.job.spec.ImageGB) // the image was fetched
	}
	s.detach(a)
	if status.Cause == wire.CauseDone {
		s.handleCompletedAttempt(a)
	} else {
		s.handleFailedAttempt(a, status.Cause)
	}
}

func (s *Scheduler) handleCompletedAttempt(a *attempt) {
	j := a.job
	if j == nil {
		return
	}
	if a.runningAt > 0 {
		j.runtimes.completed++
		j.runtimes.totalS += (s.now.Mono - a.runningAt).Seconds()
	}
	j.retry.consecutiveFailures = 0
	s.markTaskDone(j, a.ref.index)
}

// handleFailedAttempt records a detached attempt that did not complete, and applies the
// consequences for its job and its machine.
func (s *Scheduler) handleFailedAttempt(a *attempt, cause string) {
	if cause != wire.CauseStopped {
		s.cluster.addFailure(Failure{a.ref.String(), a.number, a.machine.name, cause, s.now.Wall})
		s.cluster.logFailedAttempt(a, cause)
	}
	j := a.job
	if j == nil {
		return
	}
	s.persister.markDirtyIfReadyToArchive(j)
	if j.cancelled {
		return
	}
	s.counters.TaskRetries++
	if j.spec.Gang() {
		s.stopGang(j)
	}
	switch cause {
	case wire.CauseError:
		s.handleTaskError(a)
	case wire.CauseUnknown:
		s.placement.backOff(j)
	case wire.CauseNoCapacity, wire.CauseDuplicate:
		a.machine.quarantine.placementPausedUntil = s.now.Mono + tuning.RefusedStartBackoff
	}
}

func (c *clusterState) logFailedAttempt(a *attempt, cause string) {
	log := c.logInfo
	if cause == wire.CauseNoCapacity {
		log = c.logDebug // the task is placed again at once
	}
	log("attempt ended", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name, "cause", cause)
}

// stopGang stops all members of a gang after one has failed, since the others would wait for it
// forever. The gang is queued again as a whole.
func (s *Scheduler) stopGang(j *job) {
	for _, member := range j.sortedAttempts() {
		s.stopNow(member, StopGangMemberEnded)
	}
}

// handleTaskError handles an attempt whose task ended with an error.
func (s *Scheduler) handleTaskError(a *attempt) {
	j := a.job
	if a.runningAt > 0 {
		runTime := s.now.Mono - a.runningAt
		j.retry.longestFailedRun = max(j.retry.longestFailedRun, runTime)
		if runTime >= tuning.EstablishedAfter {
			// A long run shows that the job is valid, despite earlier failures.
			j.queueStatus.established, j.retry.consecutiveFailures = true, 0
		}
	}
	j.retry.failedMachines[a.machine.name] = true
	s.placement.backOff(j)
	s.cluster.attributeFailure(a.machine, j)
}

// attributeFailure attributes a task error to a faulty machine or to an invalid job. A machine
// on which several jobs fail is quarantined. A job that fails wherever it runs is likely
// invalid: its failures count against no machine, and its earlier failures are cleared from all
// machines.
func (c *clusterState) attributeFailure(m *machine, j *job) {
	if j.likelyInvalid(c.now.Mono) {
		c.clearJobFailures(j)
		return
	}
	m.quarantine.failedJobs[j.id] = true
	if len(m.quarantine.failedJobs) < tuning.QuarantineJobThreshold {
		return
	}
	if m.quarantine.until < c.now.Mono {
		c.logInfo("machine quarantined", "machine", m.name, "failed_jobs", len(m.quarantine.failedJobs))
	}
	m.quarantine.until = c.now.Mono + tuning.QuarantineDuration
}

// handleAbsence handles an attached attempt that is proven to be absent from its machine.
func (s *Scheduler) handleAbsence(a *attempt) {
	s.reconcileRecordedAttempt(a, reconcile.Absent)
	switch {
	case a.start.acknowledged:
		// The worker's lease has expired, or the machine has lost the task for another reason.
		s.logInfo("task lost with its worker's incarnation", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name)
		s.detach(a)
		s.handleFailedAttempt(a, causeLost)
	case a.stop.requested || a.retry.abandoned:
		s.detach(a)
		s.handleFailedAttempt(a, wire.CauseStopped)
	case a.start.firstSentAt == 0:
		s.detach(a) // recorded by an earlier leader; it has ended or was never started
	default:
		// The start was not executed and cannot be any more. It is sent again, now or when its
		// retry is due.
		a.start.replySequence = 0
		if a.retry.nextAt <= s.now.Mono {
			s.dispatcher.sendDue(a.machine)
		}
	}
}

// markTaskDone counts a task as done. The completion is durable only after the job's record has
// been written.
func (s *Scheduler) markTaskDone(j *job, index int) {
	//mutation:done-counted-once
	if index >= j.spec.Tasks || j.progress.done.Has(index) || j.service {
		return
	}
	j.progress.add(index)
	s.logDebug("task done", "task", wire.TaskName(j.id, index))
	s.counters.Finished++
	s.persister.markDirty(j)
	s.placement.due = true
	for _, a := range slices.Clone(j.active[index]) {
		s.stopNow(a, StopTaskDone)
	}
	s.persister.markDirtyIfReadyToArchive(j)
}

// drainMachine stops those tasks on a spot machine that should restart elsewhere before the
// cloud reclaims it. Tasks that can save a checkpoint in time are stopped after a checkpoint.
// Other tasks are stopped at once if they belong to a service or do not run yet. A stop now costs
// the remaining tasks as much progress as the interruption would, so they keep running if they may
// complete in the time left or fit on no other machine. Shortly before the interruption all tasks
// are stopped: a task whose exit is listed in a heartbeat can start elsewhere at once, and
// otherwise it cannot start before the machine is released.
func (s *Scheduler) drainMachine(m *machine) {
	timeLeft := m.cloud.interruptionAt - s.now.Mono
	for _, a := range m.sortedAttempts() {
		if a.job == nil || a.stop.requested {
			continue
		}
		switch {
		case a.job.canCheckpointWithin(timeLeft):
			s.stopAfterCheckpoint(a, StopSpotInterruption)
		case !s.cluster.mayRunUntilInterruption(a, timeLeft):
			s.stopNow(a, StopSpotInterruption)
		}
	}
}

// canCheckpointWithin reports whether a task of the job can save a checkpoint within timeLeft,
// less one second for the stop to arrive.
func (j *job) canCheckpointWithin(timeLeft time.Duration) bool {
	return j.spec.CheckpointIntervalS > 0 && j.spec.CheckpointSaveS < timeLeft.Seconds()-1
}

// mayRunUntilInterruption reports whether nothing is gained by stopping the attempt before the
// cloud reclaims its machine.
func (c *clusterState) mayRunUntilInterruption(a *attempt, timeLeft time.Duration) bool {
	j := a.job
	if a.state != wire.TaskRunning || j.service || timeLeft.Seconds() <= tuning.MinDrainTimeS {
		return false
	}
	remainingS := j.taskDuration() - (c.now.Mono - a.runningAt).Seconds()
	return remainingS <= timeLeft.Seconds() || !c.fitsOnAnyMachineCached(j)
}

// fitsOnAnyMachineCached returns the result of fitsOnAnyMachine, cached for
// tuning.FreeCapacityCacheTTL, since many tasks of a job are checked at the same time.
func (c *clusterState) fitsOnAnyMachineCached(j *job) bool {
	if j.capacityCheck.checkedAt == 0 || c.now.Mono-j.capacityCheck.checkedAt > tuning.FreeCapacityCacheTTL {
		j.capacityCheck.checkedAt, j.capacityCheck.available = c.now.Mono, c.fitsOnAnyMachine(j)
	}
	return j.capacityCheck.available
}
