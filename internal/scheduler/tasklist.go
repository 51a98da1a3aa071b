package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// applyTaskList applies the attempts that a heartbeat lists. It sets listed for each task with
// an active attempt and for each whose tracked attempt has exited. The caller creates the map,
// which saves an allocation.
func (s *Scheduler) applyTaskList(m *machine, tasks []wire.TaskStatus, listed map[taskRef]bool) {
	exited := make(map[taskRef]taskExit, len(m.exited))
	for i := range tasks {
		status := &tasks[i]
		id, index, _ := wire.ParseTaskName(status.Task)
		ref := taskRef{id, index}
		if status.State == wire.TaskExited {
			listed[ref] = s.applyExit(m, ref, status) || listed[ref]
			exited[ref] = taskExit{attempt: status.Attempt, done: status.Cause == wire.CauseDone}
		} else {
			listed[ref] = true
			s.applyActive(m, ref, status)
		}
	}
	m.exited = exited
}

// applyExit handles a listed attempt that has ended, and reports whether it is the attempt of
// its task that is tracked on this machine.
func (s *Scheduler) applyExit(m *machine, ref taskRef, status *wire.TaskStatus) bool {
	a := m.tasks[ref]
	if a != nil && a.number == status.Attempt {
		s.handleExit(a, status)
		return true
	}
	s.reconciler.classifyUnknownExit(m, ref, status)
	if j := s.cluster.jobs[ref.jobID]; j != nil && status.Cause == wire.CauseDone && ref.index < j.spec.Tasks {
		s.markTaskDone(j, ref.index)
	}
	return false
}

// applyActive handles a listed attempt that has not ended: it is fetching its image, running or
// saving a checkpoint.
func (s *Scheduler) applyActive(m *machine, ref taskRef, status *wire.TaskStatus) {
	a := m.tasks[ref]
	if a != nil && a.number != status.Attempt {
		// The machine runs another attempt of this task, which must be gone before the tracked
		// one can start.
		s.handleUnexpectedAttempt(m, ref, status)
		return
	}
	if a == nil {
		s.handleUnexpectedAttempt(m, ref, status)
		a = m.tasks[ref]
	}
	if a != nil {
		s.updateTaskState(a, status)
	}
}

// handleUnexpectedAttempt handles an attempt that its worker lists and that this leader does not
// track there. The attempt is adopted if its task still has to run, no other attempt of the task
// takes precedence, and the job's constraints and quota allow the machine. Otherwise it is
// stopped. It uses capacity of the machine until it is gone, unless the tracked attempt is kept.
func (s *Scheduler) handleUnexpectedAttempt(m *machine, ref taskRef, status *wire.TaskStatus) {
	if tracked := m.tasks[ref]; tracked != nil {
		if tracked.start.sent && !tracked.start.acknowledged {
			// The worker refuses the tracked attempt's start while the unexpected one is there.
			// The tracked attempt is kept, and the unexpected one is stopped.
			s.reconciler.reportSuperseded(m, ref, status)
			m.queueUnexpectedStop(stopCommand(ref, status.Attempt, 0))
			return
		}
		s.detach(tracked) // a worker has one attempt of a task at a time
	}
	a := &attempt{ref: ref, machine: m, number: status.Attempt, start: startState{sent: true, acknowledged: true}, placedAt: s.now.Mono}
	if j := s.cluster.jobs[ref.jobID]; j != nil && ref.index < j.spec.Tasks {
		a.job = j
	}
	verdict := reconcile.Classify(s.reconciler.evidenceFor(a, reconcile.Active))
	s.reconciler.deferVerdict(a, verdict)
	s.cluster.attach(a)
	//mutation:record-unexpected-attempt
	s.persister.queueAssignment(a)
	if verdict.Action == reconcile.Adopt {
		s.logInfo("attempt adopted", "task", status.Task, "attempt", a.number, "machine", m.name)
		return
	}
	s.logInfo("unexpected attempt", "task", status.Task, "attempt", a.number, "machine", m.name, "reason", verdict.Class)
	s.stopNow(a, stopReasonOf(verdict.Class))
}

// updateTaskState applies the state that a worker lists for a tracked attempt.
func (s *Scheduler) updateTaskState(a *attempt, status *wire.TaskStatus) {
	s.acknowledgeStart(a)
	s.confirmListedAttempt(a)
	if a.state == status.State {
		return
	}
	a.setState(status.State)
	s.logDebug("task state changed", "task", status.Task, "machine", a.machine.name, "state", status.State)
	if a.job != nil && status.State == wire.TaskRunning {
		a.runningAt = s.now.Mono
		a.machine.addImage(a.job.spec.Image, a.job.spec.ImageGB)
		s.counters.Started++
	}
}

// acknowledgeStart records that the worker has listed the attempt, which acknowledges its start.
func (s *Scheduler) acknowledgeStart(a *attempt) {
	if a.start.acknowledged {
		return
	}
	a.start.acknowledged = true
	if a.start.firstSentAt > 0 && s.ObserveAckLatency != nil {
		s.ObserveAckLatency(s.now.Mono - a.start.firstSentAt)
	}
}

// applyAbsences handles the tracked attempts that a heartbeat does not list and proves to be
// absent.
func (s *Scheduler) applyAbsences(m *machine, heartbeat *wire.Heartbeat, initiator exchangeInitiator, listed map[taskRef]bool) {
	var absent []*attempt
	for _, a := range m.tasks {
		if !listed[a.ref] && s.dispatcher.provenAbsent(a, heartbeat, initiator) {
			absent = append(absent, a)
		}
	}
	sortAttempts(absent)
	for _, a := range absent {
		s.handleAbsence(a)
	}
}
