package core

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Checkin takes a worker's report and answers it. ok is false if we are no
// longer entitled to answer.
func (l *Leader) Checkin(now Now, r *wire.Report) (reply wire.CheckinReply, ok bool) {
	l.now = now
	if l.overtaken(r) {
		return reply, false
	}
	//mutation:heartbeat-of-released-machine
	if l.gone[r.Machine] {
		// A late report of a machine that was given back.
		return wire.CheckinReply{Token: l.term << tuning.FenceBits}, true
	}
	m := l.machineOf(r)
	if m.phase == releasing {
		// Its tasks count until the release is answered. Its lease may as well
		// be kept, so that it goes on if the release fails, and is not asked for
		// again then as if it were silent.
		reply = wire.CheckinReply{Token: l.token(m), Commands: []wire.Command{}}
		if r.Newer(m.session, m.tick) {
			m.heardAt, m.unansweredSinceHeard, l.heardAny = now.Mono, 0, now.Mono
			// A lease that is kept has to bring stops with it: where releases get no
			// answer for long, cancelled tasks would run on here past their time.
			//mutation:stops-while-releasing
			reply.Commands = l.halts(m, true)
		}
		return reply, true
	}
	// A copy of an earlier report, however late it comes, is no sign of life and
	// changes nothing.
	//mutation:heartbeat-sequence
	fresh := r.Newer(m.session, m.tick)
	if fresh {
		l.watchDelivery(m, r)
		m.answeredAt = now.Mono
		l.heardAny = now.Mono
		m.heardAt, m.unansweredSinceHeard = now.Mono, 0
		delete(l.zoneHeard, m.zone)
		l.takeReport(m, r, true)
	}
	cmds := []wire.Command{}
	if fresh {
		cmds = l.commandsFor(m, r)
	}
	if !m.confirmed || r.Token < l.token(m) && l.waiting(m) {
		// Its next report, under our token, comes sooner if it is asked.
		l.askForReport(m)
	}
	return wire.CheckinReply{Token: l.token(m), Commands: cmds}, true
}

// overtaken reports whether a worker has seen a token above ours. It ends our lead if
// there can be such a leader: terms are revisions of the state service, and one that
// is far ahead of all that we have seen there is a worker's mistake, which must not
// depose one leader after the other.
func (l *Leader) overtaken(r *wire.Report) bool {
	term := Term(r.Token)
	switch {
	case term <= l.term:
		return false
	//mutation:ignore-absurd-fencing-token
	case term > l.term+tuning.TermAhead:
		l.line(false, "report with a token that nobody can have given", "machine", r.Machine, "token", r.Token)
	default:
		//mutation:resign-on-higher-fencing-token
		l.out.Resign = "a worker has seen a higher token"
	}
	return true
}

// watchDelivery watches whether our answers reach the worker. A new session although we
// answered the one before within its lease says that they did not. Such a machine
// gets no new work, and is given back unless a direct call shows that it hears us.
func (l *Leader) watchDelivery(m *machine, r *wire.Report) {
	switch {
	case m.session > 0 && r.Session > m.session && m.answeredAt > 0 && l.now.Mono-m.answeredAt < l.cfg.Lease*3/4 && l.now.Mono-l.startedAt > l.cfg.Lease:
		//mutation:lost-incarnation-marks-unreachable
		l.markUnreachable(m, "its lease ran out although it was answered")
	case Term(r.Token) == l.term && r.Token > m.seenToken:
		m.unreachableSince = 0 // it has heard a token that is new since its last report
	}
}

func (l *Leader) markUnreachable(m *machine, why string) {
	if m.unreachableSince == 0 {
		m.unreachableSince = l.now.Mono
		l.line(false, "machine seems not to hear us", "machine", m.name, "why", why, "tasks", len(m.tasks))
	}
}

// waiting reports whether something on the machine waits for proof.
func (l *Leader) waiting(m *machine) bool {
	for _, a := range m.tasks {
		if a.sent && !a.seen {
			return true
		}
	}
	return false
}

// machineOf finds the machine of a report, or adopts it.
func (l *Leader) machineOf(r *wire.Report) *machine {
	m := l.machines[r.Machine]
	if m == nil {
		m = l.addMachine(r.Machine, r.Type, r.Zone, r.Spot, r.Address)
		l.line(false, "machine adopted from its report", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot)
	}
	if m.phase == booting {
		l.markUp(m)
	}
	if m.addr != r.Address {
		m.addr = r.Address
	}
	return m
}

func (l *Leader) markUp(m *machine) {
	m.phase, m.upAt, m.idleSince, m.heardAt = up, l.now.Mono, l.now.Mono, l.now.Mono
	l.line(false, "machine up", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot,
		"boot_s", (l.now.Mono - m.rentedAt).Seconds())
}

// provenAbsent reports whether an attempt that the report r does not list is
// neither on the machine nor can be started there by anything sent before.
func (l *Leader) provenAbsent(a *attempt, r *wire.Report, checkin bool) bool {
	if a.seen || !a.sent {
		return a.seen
	}
	//mutation:absence-needs-fencing-token
	if r.Token < l.term<<tuning.FenceBits|a.needFence {
		return false // a start under a lower token may still be executed
	}
	if a.session != 0 && r.Session > a.session {
		return true // starts for an earlier session are dropped
	}
	//mutation:absence-needs-finished-call
	if a.calling {
		return false // its direct call may be executed after this report
	}
	//mutation:absence-needs-next-heartbeat
	if a.replyTick != 0 && !(checkin && r.Tick > a.replyTick) {
		// Only the next report shows that the answer to the last one was
		// executed or dropped; a direct answer may overtake it.
		return false
	}
	return true
}

// takeReport brings our picture of a machine up to date.
func (l *Leader) takeReport(m *machine, r *wire.Report, checkin bool) {
	m.session, m.tick = r.Session, r.Tick
	if checkin {
		m.checkinTick = r.Tick
	}
	m.seenToken = max(m.seenToken, r.Token)
	m.underTerm = r.Token >= l.term<<tuning.FenceBits && Term(r.Token) == l.term
	l.takeRecall(m, r)
	listed := make(map[taskRef]bool, len(r.Tasks))
	still := make(map[taskRef]exit, len(m.exited))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, _ := wire.SplitTask(t.Task)
		ref := taskRef{id, index}
		if t.State == wire.TaskExited {
			listed[ref] = l.takeExit(m, ref, t) || listed[ref]
			still[ref] = exit{t.Attempt, t.Cause == wire.CauseDone}
		} else {
			listed[ref] = true
			l.takeActive(m, ref, t)
		}
	}
	m.exited = still
	l.takeAbsences(m, r, checkin, listed)
	// A worker that has seen no token is new, if we rented its machine ourselves:
	// of another it may be a late copy of its first report.
	//mutation:confirm-only-own-new-machines
	if !m.confirmed && (m.underTerm || len(m.tasks) == 0 && r.Token == 0 && m.ours) {
		m.confirmed = true
		l.dirtyPlace = true
		l.recovery.Heard(l.now.Mono, m.name)
	}
}

// takeRecall takes the notice that the cloud takes the machine away.
func (l *Leader) takeRecall(m *machine, r *wire.Report) {
	if r.RecallS == nil {
		return
	}
	by := l.now.Mono + time.Duration(*r.RecallS*float64(time.Second))
	if m.leaveBy == 0 {
		l.line(false, "machine will be taken back", "machine", m.name, "in_s", *r.RecallS, "tasks", len(m.tasks))
		m.leaveBy = by
		l.evacuate(m)
	}
	m.leaveBy = by
}

// takeExit takes a listed attempt that has ended, and says whether it is the one that our
// picture has of the task.
func (l *Leader) takeExit(m *machine, ref taskRef, t *wire.TaskReport) bool {
	a := m.tasks[ref]
	if a != nil && a.number == t.Attempt {
		l.exited(a, t)
		return true
	}
	l.foundExited(m, ref, t)
	if j := l.jobs[ref.job]; j != nil && t.Cause == wire.CauseDone && ref.index < j.spec.Tasks {
		l.taskDone(j, ref.index)
	}
	return false
}

// takeActive takes a listed attempt that fetches, runs or saves.
func (l *Leader) takeActive(m *machine, ref taskRef, t *wire.TaskReport) {
	a := m.tasks[ref]
	if a != nil && a.number != t.Attempt {
		// Another attempt of this task is here: an old one that has to go before ours
		// can start.
		l.unexpectedAttempt(m, ref, t)
		return
	}
	if a == nil {
		l.unexpectedAttempt(m, ref, t)
		a = m.tasks[ref]
	}
	if a != nil {
		l.progress(a, t)
	}
}

// takeAbsences takes what the report does not list: what it proves gone is gone.
func (l *Leader) takeAbsences(m *machine, r *wire.Report, checkin bool, listed map[taskRef]bool) {
	var missing []*attempt
	for _, a := range m.tasks {
		if !listed[a.ref] && l.provenAbsent(a, r, checkin) {
			missing = append(missing, a)
		}
	}
	sortAttempts(missing)
	for _, a := range missing {
		l.vanished(a)
	}
}

// unexpectedAttempt deals with a task that the worker has and we did not place there.
// If nothing else has it, it is adopted; otherwise it is stopped, and counts
// until it is gone.
func (l *Leader) unexpectedAttempt(m *machine, ref taskRef, t *wire.TaskReport) {
	j := l.jobs[ref.job]
	if have := m.tasks[ref]; have != nil {
		if have.sent && !have.seen {
			// Our start is refused while this one is there. It stays in our
			// picture, and the other has to go.
			l.foundSuperseded(m, ref, t)
			l.orderHalt(m, ref, t.Attempt)
			return
		}
		l.detach(have) // a worker has one attempt of a task at a time
	}
	a := &attempt{ref: ref, m: m, number: t.Attempt, sent: true, seen: true, placedAt: l.now.Mono}
	if j != nil && ref.index < j.spec.Tasks {
		a.job = j
	}
	verdict := recovery.Classify(l.evidence(a, recovery.Active))
	l.suspend(a, verdict)
	l.attach(a)
	//mutation:record-unexpected-attempt
	l.record(a)
	if verdict.Action == recovery.Adopt {
		l.line(false, "task adopted", "task", t.Task, "machine", m.name)
		return
	}
	l.line(false, "unexpected task", "task", t.Task, "machine", m.name, "class", verdict.Class)
	l.stop(a, false, verdict.Class.String())
}

// progress takes a task's state while it is on the machine.
func (l *Leader) progress(a *attempt, t *wire.TaskReport) {
	if !a.seen {
		a.seen = true
		if a.firstSent > 0 && l.AckLatency != nil {
			l.AckLatency(l.now.Mono - a.firstSent)
		}
	}
	l.confirm(a)
	if a.state == t.State {
		return
	}
	a.m.taskSummary = nil
	l.line(true, "task state", "task", t.Task, "machine", a.m.name, "state", t.State)
	if a.job != nil {
		if a.state == wire.TaskRunning {
			a.job.running--
		}
		if t.State == wire.TaskRunning {
			a.job.running++
			a.runningAt = l.now.Mono
			a.m.fetched(a.job.spec.Image, a.job.spec.ImageGB)
			l.count.Started++
		}
	}
	a.state = t.State
}
