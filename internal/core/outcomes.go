package core

import (
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// exited deals with the end of one of our attempts.
func (l *Leader) exited(a *attempt, t *wire.TaskReport) {
	j, m := a.job, a.m
	a.seen = true
	l.foundPending(a)
	if t.Cause == wire.CauseDone {
		l.judgeRecorded(a, recovery.Completed)
		//mutation:keep-attempt-until-saved
		l.keepUntilSaved(a)
	} else {
		l.judgeRecorded(a, recovery.Ended)
	}
	if a.state == "" && t.Cause == wire.CauseDone || a.state != "" {
		if j != nil {
			m.fetched(j.spec.Image, j.spec.ImageGB)
		}
	}
	l.detach(a)
	if t.Cause != wire.CauseDone {
		l.ended(a, t.Cause)
	} else if j != nil {
		if a.runningAt > 0 {
			j.seenRuns++
			j.seenRunS += (l.now.Mono - a.runningAt).Seconds()
		}
		j.failures = 0
		l.taskDone(j, a.ref.index)
	}
}

// ended decides what follows an attempt that did not complete.
func (l *Leader) ended(a *attempt, cause string) {
	j, m := a.job, a.m
	name := wire.TaskName(a.ref.job, a.ref.index)
	if cause != wire.CauseHalted {
		l.failures = append(l.failures, Failure{name, a.number, m.name, cause, l.now.Wall})
		if len(l.failures) > tuning.FailuresKept {
			l.failures = append([]Failure(nil), l.failures[len(l.failures)-tuning.FailuresKept/2:]...)
		}
		l.line(cause == wire.CauseFull, "attempt ended", "task", name, "machine", m.name, "cause", cause)
	}
	if j == nil {
		return
	}
	l.finish(j)
	if j.cancelled {
		return
	}
	l.count.Retried++
	if j.spec.Gang() {
		// The others wait for this one in vain: they stop, and the gang queues
		// again as a whole.
		for _, b := range j.attempts() {
			l.stop(b, false, "a member of its gang ended")
		}
	}
	switch cause {
	case wire.CauseError:
		if ran := l.now.Mono - a.runningAt; a.runningAt > 0 {
			j.failsAfter = max(j.failsAfter, ran)
			if ran >= tuning.BegunAfter {
				j.begun, j.failures = true, 0 // it worked: what failed before is no pattern
			}
		}
		j.failures++
		j.failedOn[m.name] = true
		l.backoff(j)
		l.blame(m, j)
	case wire.CauseUnknown:
		j.failures++
		l.backoff(j)
	case wire.CauseFull, wire.CauseInUse:
		m.pauseTo = l.now.Mono + tuning.RefusalPause
	}
}

// blame tells faulty machines from jobs that were submitted with a mistake, by who
// fails where: a machine on which several jobs fail is avoided, and a job that fails
// wherever it runs says nothing about machines, those that it was held against
// before included.
func (l *Leader) blame(m *machine, j *job) {
	if !l.likelyFaulty(j) {
		m.failedBy[j.id] = true
		if len(m.failedBy) >= tuning.SuspectJobs {
			if m.suspect < l.now.Mono {
				l.line(false, "machine avoided: unrelated jobs fail there", "machine", m.name)
			}
			m.suspect = l.now.Mono + tuning.SuspectFor
		}
		return
	}
	for name := range j.failedOn {
		if other := l.machines[name]; other != nil && other.failedBy[j.id] {
			delete(other.failedBy, j.id)
			if len(other.failedBy) < tuning.SuspectJobs {
				other.suspect = 0
			}
		}
	}
}

func (l *Leader) backoff(j *job) {
	d := l.cfg.Policy.ErrorMax
	if j.failures < 20 {
		d = min(d, l.cfg.Policy.ErrorBackoff<<(j.failures-1))
	}
	j.retryAt = l.now.Mono + d
	l.pausing[j] = true
}

// vanished deals with an attempt that is proven not to be on its machine.
func (l *Leader) vanished(a *attempt) {
	name := wire.TaskName(a.ref.job, a.ref.index)
	l.judgeRecorded(a, recovery.Absent)
	switch {
	case a.seen:
		// The worker's lease ran out, or the machine lost it otherwise.
		l.line(false, "task lost with its worker's session", "task", name, "machine", a.m.name)
		l.detach(a)
		l.ended(a, "lost")
	case a.halt || a.giveUp:
		l.detach(a)
		l.ended(a, wire.CauseHalted)
	case a.firstSent == 0:
		// Recorded by an earlier leader, never started.
		l.detach(a)
	default:
		// A start that no worker acknowledged: the one thing that is sent again.
		a.replyTick = 0
		if a.nextProbe > l.now.Mono {
			return
		}
		l.push(a.m)
	}
}

func (l *Leader) taskDone(j *job, index int) {
	//mutation:done-counted-once
	if index >= j.spec.Tasks || j.done.Has(index) || j.service {
		return
	}
	j.done.Add(index)
	j.nDone++
	l.line(true, "task done", "task", wire.TaskName(j.id, index))
	l.count.Finished++
	l.touch(j)
	l.dirtyPlace = true
	for _, a := range append([]*attempt(nil), j.active[index]...) {
		l.stop(a, false, "already done")
	}
	l.finish(j)
}

// evacuate stops what had better start again elsewhere before a machine is taken.
// What can save does so. What cannot loses as much by a stop now as by the end of
// the machine, so it runs on while it may complete in the time left, or while
// there is no room for it elsewhere. Shortly before the end everything is stopped:
// an exit that is reported frees the task at once, a machine that is silent
// frees it only when its release is answered.
func (l *Leader) evacuate(m *machine) {
	left := (m.leaveBy - l.now.Mono).Seconds()
	for _, a := range m.list() {
		j := a.job
		if j == nil || a.halt {
			continue
		}
		save := j.spec.CheckpointS > 0 && j.spec.SaveS < left-1
		if a.state == wire.TaskRunning && !j.service && !save {
			rest := j.duration() - (l.now.Mono - a.runningAt).Seconds()
			if left > tuning.EvacuateBy && (rest <= left || !l.hasRoomLately(j)) {
				continue
			}
		}
		l.stop(a, save, "machine is taken back")
	}
}

// hasRoomLately remembers hasRoom for a moment: many tasks ask at once.
func (l *Leader) hasRoomLately(j *job) bool {
	if j.roomAt == 0 || l.now.Mono-j.roomAt > tuning.RoomLately {
		j.roomAt, j.room = l.now.Mono, l.hasRoom(j)
	}
	return j.room
}
