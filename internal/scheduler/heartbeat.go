package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeat takes a worker's report and answers it. ok is false if we are no
// longer entitled to answer.
func (s *Scheduler) Heartbeat(now Now, heartbeat *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	s.now = now
	if s.supersededBy(heartbeat) {
		return reply, false
	}
	//mutation:heartbeat-of-released-machine
	if s.cluster.released[heartbeat.Machine] {
		// A late report of a machine that was given back.
		return wire.HeartbeatReply{FencingToken: s.term << tuning.FencingBits}, true
	}
	m := s.findOrAdoptMachine(heartbeat)
	if m.phase == machineReleasing {
		// Its tasks count until the release is answered. Its lease may as well
		// be kept, so that it goes on if the release fails, and is not asked for
		// again then as if it were silent.
		reply = wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: []wire.Command{}}
		if heartbeat.NewerThan(m.heartbeats.incarnation, m.heartbeats.sequence) {
			m.connectivity.lastHeartbeatAt, m.calls.unansweredSinceHeartbeat, s.monitor.lastHeartbeatAt = now.Mono, 0, now.Mono
			// A lease that is kept has to bring stops with it: where releases get no
			// answer for long, cancelled tasks would run on here past their time.
			//mutation:stops-while-releasing
			reply.Commands = s.dueStops(m, true)
		}
		return reply, true
	}
	// A copy of an earlier report, however late it comes, is no sign of life and
	// changes nothing.
	//mutation:heartbeat-sequence
	fresh := heartbeat.NewerThan(m.heartbeats.incarnation, m.heartbeats.sequence)
	if fresh {
		s.watchReplyDelivery(m, heartbeat)
		m.connectivity.heartbeatAnsweredAt = now.Mono
		s.monitor.lastHeartbeatAt = now.Mono
		m.connectivity.lastHeartbeatAt, m.calls.unansweredSinceHeartbeat = now.Mono, 0
		delete(s.monitor.zoneHeartbeatAt, m.zone)
		s.applyHeartbeat(m, heartbeat, true)
	}
	commands := []wire.Command{}
	if fresh {
		commands = s.heartbeatCommands(m, heartbeat)
	}
	if !m.confirmed || heartbeat.FencingToken < s.fencingToken(m) && s.awaitsAcknowledgement(m) {
		// Its next report, under our token, comes sooner if it is asked.
		s.probeStatus(m)
	}
	return wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: commands}, true
}

// supersededBy reports whether a worker has seen a token above ours. It ends our lead if
// there can be such a leader: terms are revisions of the state service, and one that
// is far ahead of all that we have seen there is a worker's mistake, which must not
// depose one leader after the other.
func (s *Scheduler) supersededBy(heartbeat *wire.Heartbeat) bool {
	term := TermOf(heartbeat.FencingToken)
	switch {
	case term <= s.term:
		return false
	//mutation:ignore-absurd-fencing-token
	case term > s.term+tuning.MaxTermRevisionGap:
		s.log(false, "report with a token that nobody can have given", "machine", heartbeat.Machine, "token", heartbeat.FencingToken)
	default:
		//mutation:resign-on-higher-fencing-token
		s.effects.Resign = "a worker has seen a higher token"
	}
	return true
}

// watchReplyDelivery watches whether our answers reach the worker. A new session although we
// answered the one before within its lease says that they did not. Such a machine
// gets no new work, and is given back unless a direct call shows that it hears us.
func (s *Scheduler) watchReplyDelivery(m *machine, heartbeat *wire.Heartbeat) {
	switch {
	case m.heartbeats.incarnation > 0 && heartbeat.Incarnation > m.heartbeats.incarnation && m.connectivity.heartbeatAnsweredAt > 0 && s.now.Mono-m.connectivity.heartbeatAnsweredAt < s.settings.WorkerLease*3/4 && s.now.Mono-s.startedAt > s.settings.WorkerLease:
		//mutation:lost-incarnation-marks-unreachable
		s.markUnreachable(m, "its lease ran out although it was answered")
	case TermOf(heartbeat.FencingToken) == s.term && heartbeat.FencingToken > m.fencing.seenToken:
		m.connectivity.unreachableSince = 0 // it has heard a token that is new since its last report
	}
}

func (s *Scheduler) markUnreachable(m *machine, reason string) {
	if m.connectivity.unreachableSince == 0 {
		m.connectivity.unreachableSince = s.now.Mono
		s.log(false, "machine seems not to hear us", "machine", m.name, "why", reason, "tasks", len(m.tasks))
	}
}

// awaitsAcknowledgement reports whether something on the machine waits for proof.
func (s *Scheduler) awaitsAcknowledgement(m *machine) bool {
	for _, a := range m.tasks {
		if a.start.sent && !a.start.acknowledged {
			return true
		}
	}
	return false
}

// findOrAdoptMachine finds the machine of a report, or adopts it.
func (s *Scheduler) findOrAdoptMachine(heartbeat *wire.Heartbeat) *machine {
	m := s.cluster.machines[heartbeat.Machine]
	if m == nil {
		m = s.addMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Address)
		s.log(false, "machine adopted from its report", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot)
	}
	if m.phase == machineBooting {
		s.markUp(m)
	}
	if m.address != heartbeat.Address {
		m.address = heartbeat.Address
	}
	return m
}

func (s *Scheduler) markUp(m *machine) {
	m.phase, m.upAt, m.idleSince, m.connectivity.lastHeartbeatAt = machineUp, s.now.Mono, s.now.Mono, s.now.Mono
	s.log(false, "machine up", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot,
		"boot_s", (s.now.Mono - m.cloud.provisionedAt).Seconds())
}

// provenAbsent reports whether an attempt that the report r does not list is
// neither on the machine nor can be started there by anything sent before.
func (s *Scheduler) provenAbsent(a *attempt, heartbeat *wire.Heartbeat, workerInitiated bool) bool {
	if a.start.acknowledged || !a.start.sent {
		return a.start.acknowledged
	}
	//mutation:absence-needs-fencing-token
	if heartbeat.FencingToken < s.term<<tuning.FencingBits|a.start.requiredFence {
		return false // a start under a lower token may still be executed
	}
	if a.start.incarnation != 0 && heartbeat.Incarnation > a.start.incarnation {
		return true // starts for an earlier session are dropped
	}
	//mutation:absence-needs-finished-call
	if a.start.callInFlight {
		return false // its direct call may be executed after this report
	}
	//mutation:absence-needs-next-heartbeat
	if a.start.replySequence != 0 && !(workerInitiated && heartbeat.Sequence > a.start.replySequence) {
		// Only the next report shows that the answer to the last one was
		// executed or dropped; a direct answer may overtake it.
		return false
	}
	return true
}

// applyHeartbeat brings our picture of a machine up to date.
func (s *Scheduler) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, workerInitiated bool) {
	m.heartbeats.incarnation, m.heartbeats.sequence = heartbeat.Incarnation, heartbeat.Sequence
	if workerInitiated {
		m.heartbeats.lastInitiated = heartbeat.Sequence
	}
	m.fencing.seenToken = max(m.fencing.seenToken, heartbeat.FencingToken)
	m.heartbeats.underTerm = heartbeat.FencingToken >= s.term<<tuning.FencingBits && TermOf(heartbeat.FencingToken) == s.term
	s.applySpotInterruption(m, heartbeat)
	listed := make(map[taskRef]bool, len(heartbeat.Tasks))
	stillListed := make(map[taskRef]taskExit, len(m.exited))
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		id, index, _ := wire.ParseTaskName(task.Task)
		ref := taskRef{id, index}
		if task.State == wire.TaskExited {
			listed[ref] = s.applyExit(m, ref, task) || listed[ref]
			stillListed[ref] = taskExit{task.Attempt, task.Cause == wire.CauseDone}
		} else {
			listed[ref] = true
			s.applyActive(m, ref, task)
		}
	}
	m.exited = stillListed
	s.applyAbsences(m, heartbeat, workerInitiated, listed)
	// A worker that has seen no token is new, if we rented its machine ourselves:
	// of another it may be a late copy of its first report.
	//mutation:confirm-only-own-new-machines
	if !m.confirmed && (m.heartbeats.underTerm || len(m.tasks) == 0 && heartbeat.FencingToken == 0 && m.cloud.provisionedInTerm) {
		m.confirmed = true
		s.placement.due = true
		s.reconciler.ConfirmMachine(s.now.Mono, m.name)
	}
}

// applySpotInterruption takes the notice that the cloud takes the machine away.
func (s *Scheduler) applySpotInterruption(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.InterruptionInS == nil {
		return
	}
	deadline := s.now.Mono + time.Duration(*heartbeat.InterruptionInS*float64(time.Second))
	if m.cloud.interruptionAt == 0 {
		s.log(false, "machine will be taken back", "machine", m.name, "in_s", *heartbeat.InterruptionInS, "tasks", len(m.tasks))
		m.cloud.interruptionAt = deadline
		s.drainMachine(m)
	}
	m.cloud.interruptionAt = deadline
}

// applyExit takes a listed attempt that has ended, and says whether it is the one that our
// picture has of the task.
func (s *Scheduler) applyExit(m *machine, ref taskRef, report *wire.TaskStatus) bool {
	a := m.tasks[ref]
	if a != nil && a.number == report.Attempt {
		s.handleExit(a, report)
		return true
	}
	s.classifyUnknownExit(m, ref, report)
	if j := s.cluster.jobs[ref.jobID]; j != nil && report.Cause == wire.CauseDone && ref.index < j.spec.Tasks {
		s.markTaskDone(j, ref.index)
	}
	return false
}

// applyActive takes a listed attempt that fetches, runs or saves.
func (s *Scheduler) applyActive(m *machine, ref taskRef, report *wire.TaskStatus) {
	a := m.tasks[ref]
	if a != nil && a.number != report.Attempt {
		// Another attempt of this task is here: an old one that has to go before ours
		// can start.
		s.handleUnexpectedAttempt(m, ref, report)
		return
	}
	if a == nil {
		s.handleUnexpectedAttempt(m, ref, report)
		a = m.tasks[ref]
	}
	if a != nil {
		s.updateTaskState(a, report)
	}
}

// applyAbsences takes what the report does not list: what it proves gone is gone.
func (s *Scheduler) applyAbsences(m *machine, heartbeat *wire.Heartbeat, workerInitiated bool, listed map[taskRef]bool) {
	var absent []*attempt
	for _, a := range m.tasks {
		if !listed[a.ref] && s.provenAbsent(a, heartbeat, workerInitiated) {
			absent = append(absent, a)
		}
	}
	sortAttempts(absent)
	for _, a := range absent {
		s.handleAbsence(a)
	}
}

// handleUnexpectedAttempt deals with a task that the worker has and we did not place there.
// If nothing else has it, it is adopted; otherwise it is stopped, and counts
// until it is gone.
func (s *Scheduler) handleUnexpectedAttempt(m *machine, ref taskRef, report *wire.TaskStatus) {
	j := s.cluster.jobs[ref.jobID]
	if known := m.tasks[ref]; known != nil {
		if known.start.sent && !known.start.acknowledged {
			// Our start is refused while this one is there. It stays in our
			// picture, and the other has to go.
			s.reportSuperseded(m, ref, report)
			s.queueUnexpectedStop(m, ref, report.Attempt)
			return
		}
		s.detach(known) // a worker has one attempt of a task at a time
	}
	a := &attempt{ref: ref, machine: m, number: report.Attempt, start: startState{sent: true, acknowledged: true}, placedAt: s.now.Mono}
	if j != nil && ref.index < j.spec.Tasks {
		a.job = j
	}
	verdict := reconcile.Classify(s.evidenceFor(a, reconcile.Active))
	s.deferVerdict(a, verdict)
	s.attach(a)
	//mutation:record-unexpected-attempt
	s.queueAssignment(a)
	if verdict.Action == reconcile.Adopt {
		s.log(false, "task adopted", "task", report.Task, "machine", m.name)
		return
	}
	s.log(false, "unexpected task", "task", report.Task, "machine", m.name, "class", verdict.Class)
	s.stopAttempt(a, false, verdict.Class.String())
}

// updateTaskState takes a task's state while it is on the machine.
func (s *Scheduler) updateTaskState(a *attempt, report *wire.TaskStatus) {
	if !a.start.acknowledged {
		a.start.acknowledged = true
		if a.start.firstSentAt > 0 && s.ObserveAckLatency != nil {
			s.ObserveAckLatency(s.now.Mono - a.start.firstSentAt)
		}
	}
	s.confirmActive(a)
	if a.state == report.State {
		return
	}
	a.machine.taskSummary = nil
	s.log(true, "task state", "task", report.Task, "machine", a.machine.name, "state", report.State)
	if a.job != nil {
		if a.state == wire.TaskRunning {
			a.job.runningCount--
		}
		if report.State == wire.TaskRunning {
			a.job.runningCount++
			a.runningAt = s.now.Mono
			a.machine.addImage(a.job.spec.Image, a.job.spec.ImageGB)
			s.counters.Started++
		}
	}
	a.state = report.State
}
