package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// dispatchState has the direct calls that are in flight, and the machines that commands
// are due for.
type dispatchState struct {
	calls             map[uint64]*commandCall
	probes            statusProbes
	machinesDue       map[string]bool
	lastAttemptNumber uint64 // in this term
}

// heartbeatCommands gathers what the answer to a report carries.
func (s *Scheduler) heartbeatCommands(m *machine, heartbeat *wire.Heartbeat) []wire.Command {
	//mutation:stops-before-confirmation
	commands := s.dueStops(m, true)
	if TermOf(heartbeat.FencingToken) != s.term && len(m.tasks) > 0 && !m.confirmed {
		return commands
	}
	commands = append(commands, m.unexpectedStops...)
	m.unexpectedStops = nil
	for _, a := range s.dueStarts(m) {
		a.start.replySequence = heartbeat.Sequence
		s.markDispatched(a)
		commands = append(commands, runCommand(a))
	}
	forgets := s.dueForgets(m)
	//mutation:forget-raises-fencing-token
	if len(forgets) > 0 && m.fencing.usedDirectly {
		// A copy of a start that was carried out may turn up again, and after
		// the forget the worker would take it for a new one. A higher token,
		// in the same answer, makes it refuse such copies.
		s.raiseFencingToken(m)
		for _, a := range m.tasks {
			if a.start.sent && !a.start.acknowledged && a.start.replySequence != heartbeat.Sequence {
				a.start.requiredFence = m.fencing.counter
			}
		}
	}
	return append(commands, forgets...)
}

func (s *Scheduler) dueForgets(m *machine) []wire.Command {
	var commands []wire.Command
	for ref, ended := range m.exited {
		if a := m.tasks[ref]; a != nil && a.number == ended.attempt {
			continue
		}
		//mutation:forget-after-durable-end
		if j := s.cluster.jobs[ref.jobID]; ended.done && j != nil && ref.index < j.spec.Tasks && !j.progress.saved.Has(ref.index) && !j.service && !j.cancelled {
			continue // done, but not yet durably so
		}
		name := wire.TaskName(ref.jobID, ref.index)
		s.reconciler.CountOperation(s.now.Mono, reconcile.Operation{Kind: reconcile.ForgetOperation, Machine: m.name, Task: name, Number: ended.attempt})
		commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: name, Attempt: ended.attempt})
	}
	sortCommands(commands)
	return commands
}

func runCommand(a *attempt) wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number}
}

// queueUnexpectedStop stops an attempt that is not in our picture.
func (s *Scheduler) queueUnexpectedStop(m *machine, ref taskRef, number uint64) {
	zero := 0.0
	m.queueUnexpectedStop(wire.Command{Verb: wire.VerbStop, Task: wire.TaskName(ref.jobID, ref.index), Attempt: number, GracePeriodS: &zero})
}

// dueStops gathers the stops that are due. An answer to a report renews the worker's
// lease, so it carries those of cancelled tasks each time: the last one may have been
// lost, and if nothing reaches the machine from now on, they run for a whole lease.
func (s *Scheduler) dueStops(m *machine, renewsLease bool) []wire.Command {
	var due []*attempt
	for _, a := range m.tasks {
		//mutation:renewal-repeats-stops
		if a.stop.requested && a.start.sent && (a.stop.sentAt == 0 || s.now.Mono-a.stop.sentAt >= tuning.StopResendInterval || renewsLease && a.job != nil && a.job.cancelled) {
			due = append(due, a)
		}
	}
	sortAttempts(due)
	commands := []wire.Command{}
	for _, a := range due {
		if !a.stop.sent {
			a.stop.sent = true
			s.countOperation(reconcile.StopOperation, a)
		}
		a.stop.sentAt = s.now.Mono
		graceS := 0.0
		if a.stop.checkpoint && a.job != nil {
			graceS = a.job.spec.CheckpointSaveS + 1
		}
		commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number, GracePeriodS: &graceS})
	}
	return commands
}

// dueStarts gathers the starts and re-probes that are due.
func (s *Scheduler) dueStarts(m *machine) []*attempt {
	if !m.confirmed || m.phase != machineUp {
		return nil
	}
	var due []*attempt
	for _, a := range m.tasks {
		//mutation:start-after-record
		if !a.assignment.durable || a.stop.requested || a.start.acknowledged || a.start.callInFlight || a.retry.nextAt > s.now.Mono || a.job == nil || a.job.cancelled {
			continue
		}
		if a.start.sent && a.start.firstSentAt == 0 {
			continue // an earlier leader's: its fate has to be proven first
		}
		//mutation:start-after-forget
		if ended, ok := m.exited[a.ref]; ok && ended.attempt != a.number {
			// An ended attempt of the same task has to be forgotten first, under
			// a higher token: else a late copy of its start could be taken for a
			// new one once this attempt has replaced it.
			continue
		}
		due = append(due, a)
	}
	sortAttempts(due)
	return due
}

// markDispatched keeps the books of a start that is about to be sent, and plans its
// next probe: exponential, inside the task's time budget.
func (s *Scheduler) markDispatched(a *attempt) {
	now := s.now.Mono
	if a.start.firstSentAt == 0 {
		a.start.firstSentAt = now
		s.countOperation(reconcile.StartOperation, a)
	} else {
		if a.machine.connectivity.lastHeartbeatAt > a.start.firstSentAt+tuning.StartUnreceivedAfter {
			//mutation:unacknowledged-start-marks-unreachable
			s.markUnreachable(a.machine, "a start is not acknowledged") // its reports arrive, what we send does not
		}
		s.counters.DispatchRetries++
		s.log(false, "start not acknowledged, probing again", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", a.machine.name, "probe", a.retry.count)
	}
	a.start.sent, a.start.incarnation = true, a.machine.heartbeats.incarnation
	a.start.requiredFence = max(a.start.requiredFence, 0)
	wait := s.dispatchRetryDelay(a)
	a.retry.count++
	a.retry.nextAt = now + wait
}

// dispatchDeadline is when the task's time budget ends, counted from its job's creation.
func (s *Scheduler) dispatchDeadline(a *attempt) time.Duration {
	budget := s.settings.Policy.DefaultDispatchBudget
	if d := a.job.spec.DeadlineS; d != nil {
		budget = time.Duration(*d * float64(time.Second))
	}
	return max(a.job.createdAt+budget, a.start.firstSentAt+tuning.MinDispatchBudget)
}

// dispatchRetryDelay divides the budget that is left at the first start into the set
// number of probes, each wait twice the one before, none under the ack wait, and none
// for so long that its job would wait beside room.
func (s *Scheduler) dispatchRetryDelay(a *attempt) time.Duration {
	attempts := max(1, s.settings.Policy.DispatchRetryCount)
	base := float64(s.dispatchDeadline(a)-a.start.firstSentAt) / (math.Pow(2, float64(attempts)) - 1)
	first := max(float64(s.settings.Policy.AckTimeout), base)
	wait := time.Duration(first * math.Pow(2, float64(min(a.retry.count, 30))))
	// A budget of hours would put the second probe off by minutes: the task would wait
	// on a machine that only lost one message.
	//mutation:dispatch-retry-bound
	return min(wait, max(s.settings.Policy.AckTimeout, tuning.MaxDispatchRetryInterval))
}

// sendDue sends a machine what is due for it, directly.
func (s *Scheduler) sendDue(m *machine) {
	if m.phase != machineUp || m.address == "" {
		return
	}
	if m.calls.inFlight {
		m.calls.again = true
		return
	}
	commands := s.dueStops(m, false)
	commands = append(commands, m.unexpectedStops...)
	m.unexpectedStops = nil
	starts := s.dueStarts(m)
	for _, a := range starts {
		s.markDispatched(a)
		a.start.callInFlight = true
		commands = append(commands, runCommand(a))
	}
	if len(commands) == 0 {
		return
	}
	if len(starts) > 0 {
		m.fencing.usedDirectly = true
	}
	s.sendCommands(m, commands, starts)
}

func (s *Scheduler) sendCommands(m *machine, commands []wire.Command, starts []*attempt) {
	s.nextEffectID++
	s.dispatcher.calls[s.nextEffectID] = &commandCall{machine: m, fencingCounter: m.fencing.counter, starts: starts, statusProbe: len(commands) == 0}
	m.calls.inFlight = true
	s.effects.DirectCalls = append(s.effects.DirectCalls, DirectCall{
		ID: s.nextEffectID, Machine: m.name, Addr: m.address,
		//mutation:direct-call-incarnation
		Body: wire.DirectCommands{FencingToken: s.fencingToken(m), Incarnation: max(1, m.heartbeats.incarnation), Commands: commands},
	})
}

// CallResult says what became of a direct call.
type CallResult int

// Outcomes of a direct call: see worker.Outcome.
const (
	CallLost CallResult = iota
	CallExecuted
	CallRefused
)

// CallDone takes the outcome of a direct call.
func (s *Scheduler) CallDone(now Now, id uint64, result CallResult, heartbeat *wire.Heartbeat) {
	s.now = now
	call := s.dispatcher.calls[id]
	if call == nil {
		return
	}
	delete(s.dispatcher.calls, id)
	m := call.machine
	m.calls.inFlight = false
	if call.statusProbe {
		s.dispatcher.probes.inFlight--
	}
	for _, a := range call.starts {
		a.start.callInFlight = false
	}
	if heartbeat != nil && s.supersededBy(heartbeat) {
		result, heartbeat = CallLost, nil
	}
	//mutation:direct-reply-of-another-machine
	if heartbeat != nil && heartbeat.Machine != m.name {
		result, heartbeat = CallLost, nil // another machine has this address now
	}
	m.calls.unansweredSinceHeartbeat++
	if m.calls.unanswered++; result != CallLost {
		m.calls.unanswered, m.calls.unansweredSinceHeartbeat = 0, 0
	}
	switch result {
	case CallLost:
		if len(call.starts) > 0 && m.fencing.counter == call.fencingCounter {
			s.raiseFencingToken(m)
		}
		for _, a := range call.starts {
			a.start.requiredFence = m.fencing.counter
			s.log(true, "start unanswered", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", m.name)
		}
		for _, a := range m.tasks {
			a.stop.sentAt = 0
		}
	case CallRefused:
		for _, a := range call.starts {
			if !a.start.acknowledged {
				a.retry.nextAt = now.Mono // not executed: nothing to wait for
				a.retry.count = max(0, a.retry.count-1)
			}
		}
		for _, a := range m.tasks {
			a.stop.sentAt = 0
		}
		if heartbeat.FencingToken > s.fencingToken(m) {
			m.fencing.counter = heartbeat.FencingToken & (1<<tuning.FencingBits - 1)
		}
		m.calls.again = true
	}
	if heartbeat != nil && m.phase == machineUp {
		//mutation:direct-reply-counts-as-heartbeat
		s.monitor.lastHeartbeatAt = now.Mono
		m.connectivity.lastHeartbeatAt = now.Mono
		delete(s.monitor.zoneHeartbeatAt, m.zone)
		m.connectivity.unreachableSince = 0 // it answered what we sent just now
		//mutation:direct-reply-sequence
		if heartbeat.NewerThan(m.heartbeats.incarnation, m.heartbeats.sequence) {
			s.applyHeartbeat(m, heartbeat, false)
		}
	}
	if m.calls.again && result != CallLost {
		m.calls.again = false
		s.sendDue(m)
		if !m.confirmed {
			m.calls.probedAt = 0
			s.probeStatus(m)
		}
	}
	m.calls.again = false
}
