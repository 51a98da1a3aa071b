package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// handleExit deals with the end of one of our attempts.
func (s *Scheduler) handleExit(a *attempt, report *wire.TaskStatus) {
	j, m := a.job, a.machine
	a.start.acknowledged = true
	s.reportDeferredVerdict(a)
	if report.Cause == wire.CauseDone {
		s.classifyRecorded(a, reconcile.Completed)
		//mutation:keep-attempt-until-saved
		s.keepAssignmentUntilSaved(a)
	} else {
		s.classifyRecorded(a, reconcile.Ended)
	}
	if a.state == "" && report.Cause == wire.CauseDone || a.state != "" {
		if j != nil {
			m.addImage(j.spec.Image, j.spec.ImageGB)
		}
	}
	s.detach(a)
	if report.Cause != wire.CauseDone {
		s.handleFailedAttempt(a, report.Cause)
	} else if j != nil {
		if a.runningAt > 0 {
			j.runtimes.completed++
			j.runtimes.totalS += (s.now.Mono - a.runningAt).Seconds()
		}
		j.retry.failures = 0
		s.markTaskDone(j, a.ref.index)
	}
}

// handleFailedAttempt decides what follows an attempt that did not complete.
func (s *Scheduler) handleFailedAttempt(a *attempt, cause string) {
	j, m := a.job, a.machine
	name := wire.TaskName(a.ref.jobID, a.ref.index)
	if cause != wire.CauseStopped {
		s.cluster.failures = append(s.cluster.failures, Failure{name, a.number, m.name, cause, s.now.Wall})
		if len(s.cluster.failures) > tuning.MaxListedFailures {
			s.cluster.failures = append([]Failure(nil), s.cluster.failures[len(s.cluster.failures)-tuning.MaxListedFailures/2:]...)
		}
		s.log(cause == wire.CauseNoCapacity, "attempt ended", "task", name, "machine", m.name, "cause", cause)
	}
	if j == nil {
		return
	}
	s.markDirtyIfComplete(j)
	if j.cancelled {
		return
	}
	s.counters.TaskRetries++
	if j.spec.Gang() {
		// The others wait for this one in vain: they stop, and the gang queues
		// again as a whole.
		for _, b := range j.sortedAttempts() {
			s.stopAttempt(b, false, "a member of its gang ended")
		}
	}
	switch cause {
	case wire.CauseError:
		if ran := s.now.Mono - a.runningAt; a.runningAt > 0 {
			j.retry.longestFailedRun = max(j.retry.longestFailedRun, ran)
			if ran >= tuning.EstablishedAfter {
				j.standing.established, j.retry.failures = true, 0 // it worked: what failed before is no pattern
			}
		}
		j.retry.failures++
		j.retry.failedMachines[m.name] = true
		s.backoff(j)
		s.recordFailure(m, j)
	case wire.CauseUnknown:
		j.retry.failures++
		s.backoff(j)
	case wire.CauseNoCapacity, wire.CauseDuplicate:
		m.quarantine.startsPausedUntil = s.now.Mono + tuning.RefusedStartBackoff
	}
}

// recordFailure tells faulty machines from jobs that were submitted with a mistake, by who
// fails where: a machine on which several jobs fail is avoided, and a job that fails
// wherever it runs says nothing about machines, those that it was held against
// before included.
func (s *Scheduler) recordFailure(m *machine, j *job) {
	if !j.likelyInvalid(s.now.Mono) {
		m.quarantine.failedJobs[j.id] = true
		if len(m.quarantine.failedJobs) >= tuning.QuarantineJobThreshold {
			if m.quarantine.until < s.now.Mono {
				s.log(false, "machine avoided: unrelated jobs fail there", "machine", m.name)
			}
			m.quarantine.until = s.now.Mono + tuning.QuarantineDuration
		}
		return
	}
	for name := range j.retry.failedMachines {
		if other := s.cluster.machines[name]; other != nil && other.quarantine.failedJobs[j.id] {
			delete(other.quarantine.failedJobs, j.id)
			if len(other.quarantine.failedJobs) < tuning.QuarantineJobThreshold {
				other.quarantine.until = 0
			}
		}
	}
}

func (s *Scheduler) backoff(j *job) {
	d := s.settings.Policy.MaxErrorBackoff
	if j.retry.failures < 20 {
		d = min(d, s.settings.Policy.ErrorBackoff<<(j.retry.failures-1))
	}
	j.retry.at = s.now.Mono + d
	s.placement.backingOff[j] = true
}

// handleAbsence deals with an attempt that is proven not to be on its machine.
func (s *Scheduler) handleAbsence(a *attempt) {
	name := wire.TaskName(a.ref.jobID, a.ref.index)
	s.classifyRecorded(a, reconcile.Absent)
	switch {
	case a.start.acknowledged:
		// The worker's lease ran out, or the machine lost it otherwise.
		s.log(false, "task lost with its worker's session", "task", name, "machine", a.machine.name)
		s.detach(a)
		s.handleFailedAttempt(a, "lost")
	case a.stop.requested || a.retry.abandoned:
		s.detach(a)
		s.handleFailedAttempt(a, wire.CauseStopped)
	case a.start.firstSentAt == 0:
		// Recorded by an earlier leader, never started.
		s.detach(a)
	default:
		// A start that no worker acknowledged: the one thing that is sent again.
		a.start.replySequence = 0
		if a.retry.nextAt > s.now.Mono {
			return
		}
		s.sendDue(a.machine)
	}
}

func (s *Scheduler) markTaskDone(j *job, index int) {
	//mutation:done-counted-once
	if index >= j.spec.Tasks || j.progress.done.Has(index) || j.service {
		return
	}
	j.progress.done.Add(index)
	j.progress.doneCount++
	s.log(true, "task done", "task", wire.TaskName(j.id, index))
	s.counters.Finished++
	s.markDirty(j)
	s.placement.due = true
	for _, a := range append([]*attempt(nil), j.active[index]...) {
		s.stopAttempt(a, false, "already done")
	}
	s.markDirtyIfComplete(j)
}

// drainMachine stops what had better start again elsewhere before a machine is taken.
// What can save does so. What cannot loses as much by a stop now as by the end of
// the machine, so it runs on while it may complete in the time left, or while
// there is no room for it elsewhere. Shortly before the end everything is stopped:
// an exit that is reported frees the task at once, a machine that is silent
// frees it only when its release is answered.
func (s *Scheduler) drainMachine(m *machine) {
	secondsLeft := (m.cloud.interruptionAt - s.now.Mono).Seconds()
	for _, a := range m.sortedAttempts() {
		j := a.job
		if j == nil || a.stop.requested {
			continue
		}
		checkpoint := j.spec.CheckpointIntervalS > 0 && j.spec.CheckpointSaveS < secondsLeft-1
		if a.state == wire.TaskRunning && !j.service && !checkpoint {
			rest := j.taskDuration() - (s.now.Mono - a.runningAt).Seconds()
			if secondsLeft > tuning.MinDrainTimeS && (rest <= secondsLeft || !s.fitsSomewhereCached(j)) {
				continue
			}
		}
		s.stopAttempt(a, checkpoint, "machine is taken back")
	}
}

// fitsSomewhereCached remembers fitsSomewhere for a moment: many tasks ask at once.
func (s *Scheduler) fitsSomewhereCached(j *job) bool {
	if j.headroom.checkedAt == 0 || s.now.Mono-j.headroom.checkedAt > tuning.FreeCapacityMemory {
		j.headroom.checkedAt, j.headroom.available = s.now.Mono, s.fitsSomewhere(j)
	}
	return j.headroom.available
}
