package core

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// commandsFor gathers what the answer to a report carries.
func (l *Leader) commandsFor(m *machine, r *wire.Report) []wire.Command {
	//mutation:stops-before-confirmation
	cmds := l.halts(m, true)
	if Term(r.Token) != l.term && len(m.tasks) > 0 && !m.confirmed {
		return cmds
	}
	cmds = append(cmds, m.extras...)
	m.extras = nil
	for _, a := range l.dueStarts(m) {
		a.replyTick = r.Tick
		l.noteStart(a)
		cmds = append(cmds, runCommand(a))
	}
	forgets := l.forgets(m)
	//mutation:forget-raises-fencing-token
	if len(forgets) > 0 && m.directUsed {
		// A copy of a start that was carried out may turn up again, and after
		// the forget the worker would take it for a new one. A higher token,
		// in the same answer, makes it refuse such copies.
		l.raise(m)
		for _, a := range m.tasks {
			if a.sent && !a.seen && a.replyTick != r.Tick {
				a.needFence = m.fence
			}
		}
	}
	return append(cmds, forgets...)
}

func (l *Leader) forgets(m *machine) []wire.Command {
	var cmds []wire.Command
	for ref, e := range m.exited {
		if a := m.tasks[ref]; a != nil && a.number == e.attempt {
			continue
		}
		//mutation:forget-after-durable-end
		if j := l.jobs[ref.job]; e.done && j != nil && ref.index < j.spec.Tasks && !j.saved.Has(ref.index) && !j.service && !j.cancelled {
			continue // done, but not yet durably so
		}
		name := wire.TaskName(ref.job, ref.index)
		l.recovery.Ordered(l.now.Mono, recovery.Order{Kind: recovery.OrderForget, Machine: m.name, Task: name, Number: e.attempt})
		cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: name, Attempt: e.attempt})
	}
	sortCommands(cmds)
	return cmds
}

func runCommand(a *attempt) wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(a.ref.job, a.ref.index), Attempt: a.number}
}

// orderHalt stops an attempt that is not in our picture.
func (l *Leader) orderHalt(m *machine, ref taskRef, number uint64) {
	zero := 0.0
	m.extra(wire.Command{Verb: wire.VerbHalt, Task: wire.TaskName(ref.job, ref.index), Attempt: number, LeewayS: &zero})
}

// halts gathers the stops that are due. An answer to a report renews the worker's
// lease, so it carries those of cancelled tasks each time: the last one may have been
// lost, and if nothing reaches the machine from now on, they run for a whole lease.
func (l *Leader) halts(m *machine, renewal bool) []wire.Command {
	var due []*attempt
	for _, a := range m.tasks {
		//mutation:renewal-repeats-stops
		if a.halt && a.sent && (a.haltedAt == 0 || l.now.Mono-a.haltedAt >= tuning.HaltRepeat || renewal && a.job != nil && a.job.cancelled) {
			due = append(due, a)
		}
	}
	sortAttempts(due)
	cmds := []wire.Command{}
	for _, a := range due {
		if !a.haltSent {
			a.haltSent = true
			l.noteOrder(recovery.OrderStop, a)
		}
		a.haltedAt = l.now.Mono
		leeway := 0.0
		if a.haltSave && a.job != nil {
			leeway = a.job.spec.SaveS + 1
		}
		cmds = append(cmds, wire.Command{Verb: wire.VerbHalt, Task: wire.TaskName(a.ref.job, a.ref.index), Attempt: a.number, LeewayS: &leeway})
	}
	return cmds
}

// dueStarts gathers the starts and re-probes that are due.
func (l *Leader) dueStarts(m *machine) []*attempt {
	if !m.confirmed || m.phase != up {
		return nil
	}
	var out []*attempt
	for _, a := range m.tasks {
		//mutation:start-after-record
		if !a.recorded || a.halt || a.seen || a.calling || a.nextProbe > l.now.Mono || a.job == nil || a.job.cancelled {
			continue
		}
		if a.sent && a.firstSent == 0 {
			continue // an earlier leader's: its fate has to be proven first
		}
		//mutation:start-after-forget
		if e, ok := m.exited[a.ref]; ok && e.attempt != a.number {
			// An ended attempt of the same task has to be forgotten first, under
			// a higher token: else a late copy of its start could be taken for a
			// new one once this attempt has replaced it.
			continue
		}
		out = append(out, a)
	}
	sortAttempts(out)
	return out
}

// noteStart keeps the books of a start that is about to be sent, and plans its
// next probe: exponential, inside the task's time budget.
func (l *Leader) noteStart(a *attempt) {
	now := l.now.Mono
	if a.firstSent == 0 {
		a.firstSent = now
		l.noteOrder(recovery.OrderStart, a)
	} else {
		if a.m.heardAt > a.firstSent+tuning.UnreachableAfter {
			//mutation:unacknowledged-start-marks-unreachable
			l.markUnreachable(a.m, "a start is not acknowledged") // its reports arrive, what we send does not
		}
		l.count.ProbeRetry++
		l.line(false, "start not acknowledged, probing again", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", a.m.name, "probe", a.probes)
	}
	a.sent, a.session = true, a.m.session
	a.needFence = max(a.needFence, 0)
	wait := l.probeWait(a)
	a.probes++
	a.nextProbe = now + wait
}

// horizon is when the task's time budget ends, counted from its job's creation.
func (l *Leader) horizon(a *attempt) time.Duration {
	budget := l.cfg.Policy.DefaultBudget
	if d := a.job.spec.DueS; d != nil {
		budget = time.Duration(*d * float64(time.Second))
	}
	return max(a.job.created+budget, a.firstSent+tuning.ProbeFloor)
}

// probeWait divides the budget that is left at the first start into the set
// number of probes, each wait twice the one before, none under the ack wait, and none
// for so long that its job would wait beside room.
func (l *Leader) probeWait(a *attempt) time.Duration {
	n := max(1, l.cfg.Policy.ProbeCount)
	base := float64(l.horizon(a)-a.firstSent) / (math.Pow(2, float64(n)) - 1)
	first := max(float64(l.cfg.Policy.AckWait), base)
	wait := time.Duration(first * math.Pow(2, float64(min(a.probes, 30))))
	// A budget of hours would put the second probe off by minutes: the task would wait
	// on a machine that only lost one message.
	//mutation:dispatch-retry-bound
	return min(wait, max(l.cfg.Policy.AckWait, tuning.ProbeWaitMax))
}

// push sends a machine what is due for it, directly.
func (l *Leader) push(m *machine) {
	if m.phase != up || m.addr == "" {
		return
	}
	if m.calling {
		m.callAgain = true
		return
	}
	cmds := l.halts(m, false)
	cmds = append(cmds, m.extras...)
	m.extras = nil
	starts := l.dueStarts(m)
	for _, a := range starts {
		l.noteStart(a)
		a.calling = true
		cmds = append(cmds, runCommand(a))
	}
	if len(cmds) == 0 {
		return
	}
	if len(starts) > 0 {
		m.directUsed = true
	}
	l.call(m, cmds, starts)
}

func (l *Leader) call(m *machine, cmds []wire.Command, starts []*attempt) {
	l.nextID++
	l.calls[l.nextID] = &callState{m: m, fence: m.fence, runs: starts, poll: len(cmds) == 0}
	m.calling = true
	l.out.Direct = append(l.out.Direct, DirectCall{
		ID: l.nextID, Machine: m.name, Addr: m.addr,
		//mutation:direct-call-incarnation
		Body: wire.DirectCommands{Token: l.token(m), Session: max(1, m.session), Commands: cmds},
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
func (l *Leader) CallDone(now Now, id uint64, res CallResult, r *wire.Report) {
	l.now = now
	cs := l.calls[id]
	if cs == nil {
		return
	}
	delete(l.calls, id)
	m := cs.m
	m.calling = false
	if cs.poll {
		l.questions.out--
	}
	for _, a := range cs.runs {
		a.calling = false
	}
	if r != nil && l.overtaken(r) {
		res, r = CallLost, nil
	}
	//mutation:direct-reply-of-another-machine
	if r != nil && r.Machine != m.name {
		res, r = CallLost, nil // another machine has this address now
	}
	m.unansweredSinceHeard++
	if m.unanswered++; res != CallLost {
		m.unanswered, m.unansweredSinceHeard = 0, 0
	}
	switch res {
	case CallLost:
		if len(cs.runs) > 0 && m.fence == cs.fence {
			l.raise(m)
		}
		for _, a := range cs.runs {
			a.needFence = m.fence
			l.line(true, "start unanswered", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", m.name)
		}
		for _, a := range m.tasks {
			a.haltedAt = 0
		}
	case CallRefused:
		for _, a := range cs.runs {
			if !a.seen {
				a.nextProbe = now.Mono // not executed: nothing to wait for
				a.probes = max(0, a.probes-1)
			}
		}
		for _, a := range m.tasks {
			a.haltedAt = 0
		}
		if r.Token > l.token(m) {
			m.fence = r.Token & (1<<tuning.FenceBits - 1)
		}
		m.callAgain = true
	}
	if r != nil && m.phase == up {
		//mutation:direct-reply-counts-as-heartbeat
		l.heardAny = now.Mono
		m.heardAt = now.Mono
		delete(l.zoneHeard, m.zone)
		m.unreachableSince = 0 // it answered what we sent just now
		//mutation:direct-reply-sequence
		if r.Newer(m.session, m.tick) {
			l.takeReport(m, r, false)
		}
	}
	if m.callAgain && res != CallLost {
		m.callAgain = false
		l.push(m)
		if !m.confirmed {
			m.askedAt = 0
			l.askForReport(m)
		}
	}
	m.callAgain = false
}
