package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// exited deals with the end of one of our attempts.
func (s *Scheduler) handleExit(a *attempt, report *wire.TaskStatus) {
	j, m := a.job, a.machine
	a.seen = true
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
			j.seenRuns++
			j.seenRunS += (s.now.Mono - a.runningAt).Seconds()
		}
		j.failures = 0
		s.markTaskDone(j, a.ref.index)
	}
}

// ended decides what follows an attempt that did not complete.
func (s *Scheduler) handleFailedAttempt(a *attempt, cause string) {
	j, m := a.job, a.machine
	name := wire.TaskName(a.ref.jobID, a.ref.index)
	if cause != wire.CauseStopped {
		s.failures = append(s.failures, Failure{name, a.number, m.name, cause, s.now.Wall})
		if len(s.failures) > tuning.MaxListedFailures {
			s.failures = append([]Failure(nil), s.failures[len(s.failures)-tuning.MaxListedFailures/2:]...)
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
			j.failsAfter = max(j.failsAfter, ran)
			if ran >= tuning.EstablishedAfter {
				j.begun, j.failures = true, 0 // it worked: what failed before is no pattern
			}
		}
		j.failures++
		j.failedOn[m.name] = true
		s.backoff(j)
		s.recordFailure(m, j)
	case wire.CauseUnknown:
		j.failures++
		s.backoff(j)
	case wire.CauseNoCapacity, wire.CauseDuplicate:
		m.pauseTo = s.now.Mono + tuning.RefusedStartBackoff
	}
}

// recordFailure tells faulty machines from jobs that were submitted with a mistake, by who
// fails where: a machine on which several jobs fail is avoided, and a job that fails
// wherever it runs says nothing about machines, those that it was held against
// before included.
func (s *Scheduler) recordFailure(m *machine, j *job) {
	if !s.likelyInvalid(j) {
		m.failedBy[j.id] = true
		if len(m.failedBy) >= tuning.QuarantineJobThreshold {
			if m.suspect < s.now.Mono {
				s.log(false, "machine avoided: unrelated jobs fail there", "machine", m.name)
			}
			m.suspect = s.now.Mono + tuning.QuarantineDuration
		}
		return
	}
	for name := range j.failedOn {
		if other := s.machines[name]; other != nil && other.failedBy[j.id] {
			delete(other.failedBy, j.id)
			if len(other.failedBy) < tuning.QuarantineJobThreshold {
				other.suspect = 0
			}
		}
	}
}

func (s *Scheduler) backoff(j *job) {
	d := s.settings.Policy.MaxErrorBackoff
	if j.failures < 20 {
		d = min(d, s.settings.Policy.ErrorBackoff<<(j.failures-1))
	}
	j.retryAt = s.now.Mono + d
	s.pausing[j] = true
}

// handleAbsence deals with an attempt that is proven not to be on its machine.
func (s *Scheduler) handleAbsence(a *attempt) {
	name := wire.TaskName(a.ref.jobID, a.ref.index)
	s.classifyRecorded(a, reconcile.Absent)
	switch {
	case a.seen:
		// The worker's lease ran out, or the machine lost it otherwise.
		s.log(false, "task lost with its worker's session", "task", name, "machine", a.machine.name)
		s.detach(a)
		s.handleFailedAttempt(a, "lost")
	case a.halt || a.giveUp:
		s.detach(a)
		s.handleFailedAttempt(a, wire.CauseStopped)
	case a.firstSent == 0:
		// Recorded by an earlier leader, never started.
		s.detach(a)
	default:
		// A start that no worker acknowledged: the one thing that is sent again.
		a.replyTick = 0
		if a.nextProbe > s.now.Mono {
			return
		}
		s.sendDue(a.machine)
	}
}

func (s *Scheduler) markTaskDone(j *job, index int) {
	//mutation:done-counted-once
	if index >= j.spec.Tasks || j.done.Has(index) || j.service {
		return
	}
	j.done.Add(index)
	j.nDone++
	s.log(true, "task done", "task", wire.TaskName(j.id, index))
	s.counters.Finished++
	s.markDirty(j)
	s.dirtyPlace = true
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
	secondsLeft := (m.leaveBy - s.now.Mono).Seconds()
	for _, a := range m.sortedAttempts() {
		j := a.job
		if j == nil || a.halt {
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
	if j.roomAt == 0 || s.now.Mono-j.roomAt > tuning.FreeCapacityMemory {
		j.roomAt, j.room = s.now.Mono, s.fitsSomewhere(j)
	}
	return j.room
}
