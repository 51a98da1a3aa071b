package scheduler

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Causes of failed attempts beside those that workers report.
const (
	causeLost            = "lost"         // the worker no longer lists it
	causeMachineReleased = "machine gone" // its machine was released
	causeAckTimeout      = "ack timeout"  // no worker acknowledged its start in time
)

// Failure is a failed attempt, kept for operators to ask about.
type Failure struct {
	Task    string `cbor:"task" json:"task"`
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	Machine string `cbor:"machine" json:"machine"`
	Cause   string `cbor:"cause" json:"cause"`
	At      int64  `cbor:"at_ms" json:"at_ms"`
}

// handleExit takes the end of an attached attempt, as its worker lists it.
func (s *Scheduler) handleExit(a *attempt, status *wire.TaskStatus) {
	a.start.acknowledged = true
	s.reconciler.reportDeferredVerdict(a)
	if status.Cause == wire.CauseDone {
		s.observeRecorded(a, reconcile.Completed)
		//mutation:keep-attempt-until-saved
		a.keepAssignmentUntilSaved()
	} else {
		s.observeRecorded(a, reconcile.Ended)
	}
	if a.job != nil && (a.state != "" || status.Cause == wire.CauseDone) {
		a.machine.addImage(a.job.spec.Image, a.job.spec.ImageGB) // it was fetched
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
	j.retry.failures = 0
	s.markTaskDone(j, a.ref.index)
}

// handleFailedAttempt decides what follows a detached attempt that did not complete.
func (s *Scheduler) handleFailedAttempt(a *attempt, cause string) {
	if cause != wire.CauseStopped {
		s.cluster.addFailure(Failure{a.ref.String(), a.number, a.machine.name, cause, s.now.Wall})
		s.cluster.logFailedAttempt(a, cause)
	}
	j := a.job
	if j == nil {
		return
	}
	s.persister.markDirtyIfComplete(j)
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
		a.machine.quarantine.startsPausedUntil = s.now.Mono + tuning.RefusedStartBackoff
	}
}

func (c *clusterState) logFailedAttempt(a *attempt, cause string) {
	log := c.logInfo
	if cause == wire.CauseNoCapacity {
		log = c.logDebug // it is placed again at once
	}
	log("attempt ended", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name, "cause", cause)
}

// stopGang stops a gang of which a member has failed. The others would wait for that one
// in vain; the gang is queued again as a whole.
func (s *Scheduler) stopGang(j *job) {
	for _, member := range j.sortedAttempts() {
		s.stopNow(member, StopGangMemberEnded)
	}
}

// handleTaskError takes the failure of a task that ended with an error of its own.
func (s *Scheduler) handleTaskError(a *attempt) {
	j := a.job
	if a.runningAt > 0 {
		ran := s.now.Mono - a.runningAt
		j.retry.longestFailedRun = max(j.retry.longestFailedRun, ran)
		if ran >= tuning.EstablishedAfter {
			// It worked for long: earlier failures are no sign of an invalid job.
			j.standing.established, j.retry.failures = true, 0
		}
	}
	j.retry.failedMachines[a.machine.name] = true
	s.placement.backOff(j)
	s.cluster.attributeFailure(a.machine, j)
}

// attributeFailure tells faulty machines from jobs that are invalid, by which of them
// fail where: a machine on which several jobs fail is quarantined, and a job that fails
// wherever it runs says nothing about machines. Those that it was held against before
// are acquitted.
func (c *clusterState) attributeFailure(m *machine, j *job) {
	if j.likelyInvalid(c.now.Mono) {
		c.acquitMachines(j)
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

// handleAbsence takes an attached attempt that is proven not to be on its machine.
func (s *Scheduler) handleAbsence(a *attempt) {
	s.observeRecorded(a, reconcile.Absent)
	switch {
	case a.start.acknowledged:
		// The worker's lease has expired, or the machine has lost the task otherwise.
		s.logInfo("task lost with its worker's incarnation", "task", a.ref.String(), "attempt", a.number, "machine", a.machine.name)
		s.detach(a)
		s.handleFailedAttempt(a, causeLost)
	case a.stop.requested || a.retry.abandoned:
		s.detach(a)
		s.handleFailedAttempt(a, wire.CauseStopped)
	case a.start.firstSentAt == 0:
		s.detach(a) // recorded by an earlier leader, and never started
	default:
		// The start was not executed. It is the one kind of command that is sent again.
		a.start.replySequence = 0
		if a.retry.nextAt <= s.now.Mono {
			s.dispatcher.sendDue(a.machine)
		}
	}
}

// markTaskDone counts a task as done. That is durable only once the job's record says so.
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
	s.persister.markDirtyIfComplete(j)
}

// drainMachine stops tasks that had better start again elsewhere before the cloud takes
// a spot machine. What can write a checkpoint does so. What cannot loses as much by a
// stop now as by the end of the machine: it runs on while it may complete in the time
// left, or while it fits nowhere else. Shortly before the end everything is stopped,
// since an exit in a heartbeat lets the task start elsewhere at once, and without one
// only the machine's release does.
func (s *Scheduler) drainMachine(m *machine) {
	left := m.cloud.interruptionAt - s.now.Mono
	for _, a := range m.sortedAttempts() {
		if a.job == nil || a.stop.requested {
			continue
		}
		switch {
		case a.job.canCheckpointWithin(left):
			s.stopAfterCheckpoint(a, StopSpotInterruption)
		case !s.cluster.mayRunUntilInterruption(a, left):
			s.stopNow(a, StopSpotInterruption)
		}
	}
}

// canCheckpointWithin reports whether a task of the job can save its progress in the time
// left, but for a second that its stop may take to arrive.
func (j *job) canCheckpointWithin(left time.Duration) bool {
	return j.spec.CheckpointIntervalS > 0 && j.spec.CheckpointSaveS < left.Seconds()-1
}

// mayRunUntilInterruption reports whether nothing is gained by a stop before the cloud
// takes the attempt's machine.
func (c *clusterState) mayRunUntilInterruption(a *attempt, left time.Duration) bool {
	j := a.job
	if a.state != wire.TaskRunning || j.service || left.Seconds() <= tuning.MinDrainTimeS {
		return false
	}
	remainingS := j.taskDuration() - (c.now.Mono - a.runningAt).Seconds()
	return remainingS <= left.Seconds() || !c.fitsSomewhereCached(j)
}

// fitsSomewhereCached remembers what fitsSomewhere says for a moment: many tasks ask at
// once.
func (c *clusterState) fitsSomewhereCached(j *job) bool {
	if j.headroom.checkedAt == 0 || c.now.Mono-j.headroom.checkedAt > tuning.FreeCapacityCacheTTL {
		j.headroom.checkedAt, j.headroom.available = c.now.Mono, c.fitsSomewhere(j)
	}
	return j.headroom.available
}
