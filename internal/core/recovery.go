package core

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// recovery is what the term's recovery depends on.
func (s Settings) recovery() recovery.Config {
	return recovery.Config{
		//mutation:reconciliation-enabled
		Enabled: s.Policy.Recovery, Cold: s.ColdRestart, Report: s.Report, Lease: s.Lease,
		Wait: s.Policy.RecoveryWait, CloudRate: s.CloudRate, Trace: s.TraceOrders,
	}
}

// PeerOutlived tells the leader that a controller was up when the one before it ended.
func (l *Leader) PeerOutlived() { l.recovery.SetWarm() }

// RecoveryStatus describes the term's recovery.
func (l *Leader) RecoveryStatus(now Now) recovery.Status { return l.recovery.Status(now.Mono) }

// RecoveryDifferences lists what the recovery found, of a class or of all for None.
func (l *Leader) RecoveryDifferences(class recovery.Class, skip, most int) []recovery.DifferenceView {
	return l.recovery.Differences(class, skip, most)
}

// Rounds is how many rounds of placement there were in this term.
func (l *Leader) Rounds() uint64 { return l.rounds }

// takeRecoveryEvents moves the recovery's events into the effects.
func (l *Leader) takeRecoveryEvents() {
	events := l.recovery.TakeEvents()
	if len(events) == 0 {
		return
	}
	l.out.Recovery = append(l.out.Recovery, events...)
	for _, e := range events {
		if e.Kind == recovery.PhaseEntered {
			s := l.recovery.Status(e.At)
			l.line(false, "recovery", "phase", e.Phase, "after_s", s.AgeS, "machines", s.Machines, "unheard", s.Unheard,
				"unproven", s.Unproven, "differences", s.Differences)
		}
	}
}

// noteOrder counts the first order of its kind about an attempt.
func (l *Leader) noteOrder(kind recovery.OrderKind, a *attempt) {
	if l.recovery.Phase() == recovery.Settled {
		return
	}
	l.recovery.Ordered(l.now.Mono, recovery.Order{Kind: kind, Machine: a.m.name, Task: wire.TaskName(a.ref.job, a.ref.index), Number: a.number})
}

// evidence gathers what is known of an attempt from before the term.
func (l *Leader) evidence(a *attempt, sighting recovery.Sighting) recovery.Evidence {
	e := recovery.Evidence{Sighting: sighting, Recorded: a.class == recovery.MissingUnproven}
	j := a.job
	if j == nil {
		return e
	}
	//mutation:recovered-attempt-of-cancelled-job
	e.JobLive = !j.cancelled && !j.archived
	//mutation:recovered-attempt-of-done-task
	e.TaskDone = j.done.Has(a.ref.index)
	// Of two recorded attempts of a task, the first to be reported is the one that
	// stays. A third, without a record, is stopped whatever became of these.
	//mutation:recovered-attempt-duplicate
	e.Duplicate = l.hasDuplicate(a, e.Recorded && sighting == recovery.Active)
	if !e.Recorded && sighting == recovery.Active {
		//mutation:unrecorded-attempt-placement
		e.Allowed = l.mayHold(j, a.m)
		//mutation:unrecorded-attempt-over-limit
		e.OverLimit = l.teamRoom(j, Team{}) < 1
	}
	return e
}

// hasDuplicate reports whether another attempt of the task may be on a machine; with
// reported, whether one is for certain.
func (l *Leader) hasDuplicate(a *attempt, reported bool) bool {
	for _, other := range a.job.active[a.ref.index] {
		//mutation:first-reported-duplicate-stays
		if other != a && (!reported || other.seen && !other.halt) {
			return true
		}
	}
	return false
}

// mayHold reports whether the job allows the machine beside its other tasks.
func (l *Leader) mayHold(j *job, m *machine) bool {
	return j.allows(m.typ, m.zone, m.spot) && j.zoneOpen(j.zones(), m.zone)
}

// judgeRecorded takes the first sighting of an attempt that a record named.
func (l *Leader) judgeRecorded(a *attempt, sighting recovery.Sighting) {
	if a.class != recovery.MissingUnproven {
		return
	}
	verdict := recovery.Classify(l.evidence(a, sighting))
	if verdict.Class == recovery.MissingUnproven {
		return
	}
	if verdict.Class == recovery.Confirmed {
		a.class = recovery.Confirmed
		l.recovery.Confirmed(l.now.Mono, a.m.name)
		return
	}
	l.found(a, verdict, true)
	if verdict.Action == recovery.Stop {
		l.stop(a, false, verdict.Class.String())
	}
}

// confirm takes the word of a report that an attempt is active. Only one under our token
// tells the recovery of it: a copy of an earlier one may list what is long gone. The
// attempt counts all the same, from when it is first seen.
func (l *Leader) confirm(a *attempt) {
	if !a.m.underTerm {
		return
	}
	l.judgeRecorded(a, recovery.Active)
	l.foundPending(a)
}

// suspend keeps the verdict on an unexpected attempt until it is confirmed, or has ended.
func (l *Leader) suspend(a *attempt, verdict recovery.Verdict) {
	a.pending = verdict
	if l.before(a.number) {
		l.recovery.Plan(l.difference(a.m, a.ref, a.number, verdict, false))
	}
}

// foundPending tells the recovery of an unexpected attempt.
func (l *Leader) foundPending(a *attempt) {
	if a.pending.Class != recovery.None {
		verdict := a.pending
		a.pending = recovery.Verdict{}
		l.found(a, verdict, false)
	}
}

// stopObsolete stops what the records alone show to be over: attempts whose job has
// ended, or has a cancellation that the last leader did not see through. No watch tells of
// these again.
func (l *Leader) stopObsolete() {
	sortAttempts(l.obsolete)
	for _, a := range l.obsolete {
		if a.m.tasks[a.ref] == a {
			l.judgeRecorded(a, recovery.Unheard)
		}
	}
	l.obsolete = nil
}

// found hands a verdict to the recovery, if the attempt is from before the term.
func (l *Leader) found(a *attempt, verdict recovery.Verdict, recorded bool) {
	if !l.before(a.number) {
		return
	}
	a.class = verdict.Class
	if verdict.Action == recovery.Stop {
		a.awaitsStop = true
		l.recovery.AwaitStop()
	}
	l.recovery.Found(l.now.Mono, l.difference(a.m, a.ref, a.number, verdict, recorded))
}

func (l *Leader) difference(m *machine, ref taskRef, number uint64, verdict recovery.Verdict, recorded bool) recovery.Difference {
	return recovery.Difference{
		Attempt: recovery.Attempt{Machine: m.name, Task: wire.TaskName(ref.job, ref.index), Number: number},
		Class:   verdict.Class, Action: verdict.Action, Recorded: recorded,
	}
}

// before reports whether an attempt's number is of a term before this one.
func (l *Leader) before(number uint64) bool { return number>>tuning.FenceBits != l.term }

// stopProven takes note that an attempt is gone which a difference had to stop.
func (l *Leader) stopProven(a *attempt) {
	if a.awaitsStop {
		a.awaitsStop = false
		l.recovery.Stopped(l.now.Mono)
	}
}

// foundExited takes a listed end of an attempt that is not in our picture. What is
// neither recorded nor needed is no difference: it only has to be forgotten.
func (l *Leader) foundExited(m *machine, ref taskRef, t *wire.TaskReport) {
	if t.Cause != wire.CauseDone || !l.before(t.Attempt) {
		return
	}
	a := &attempt{ref: ref, m: m, number: t.Attempt, seen: true}
	if j := l.jobs[ref.job]; j != nil && ref.index < j.spec.Tasks && !j.service {
		a.job = j
	}
	verdict := recovery.Classify(l.evidence(a, recovery.Completed))
	if verdict.Action == recovery.RecordDone {
		l.recovery.Found(l.now.Mono, l.difference(m, ref, t.Attempt, verdict, false))
	}
}

// foundSuperseded takes an attempt that runs where another attempt of its task is to
// start.
func (l *Leader) foundSuperseded(m *machine, ref taskRef, t *wire.TaskReport) {
	if l.before(t.Attempt) {
		verdict := recovery.Verdict{Class: recovery.Superseded, Action: recovery.Stop}
		l.recovery.Found(l.now.Mono, l.difference(m, ref, t.Attempt, verdict, false))
	}
}

// keepUntilSaved keeps a completed attempt in its records until its task is durably
// done. Without a record, the next leader would take the task for one that waits and
// start it anew before the machine has reported.
func (l *Leader) keepUntilSaved(a *attempt) {
	j := a.job
	if j == nil || j.service || j.archived || len(a.batches) == 0 || a.ref.index >= j.spec.Tasks || j.saved.Has(a.ref.index) {
		return
	}
	if j.unsaved == nil {
		j.unsaved = map[int]*attempt{}
	}
	if j.unsaved[a.ref.index] == nil {
		j.unsaved[a.ref.index] = a
	}
}

// awaitsSave reports whether the attempt has completed and is kept in its records.
func (a *attempt) awaitsSave() bool {
	return a.job != nil && a.job.unsaved[a.ref.index] == a
}

// releaseSaved lets go of the records of tasks that are durably done, or whose job has
// ended.
func (l *Leader) releaseSaved(j *job) {
	for index, a := range j.unsaved {
		if !j.archived && !j.saved.Has(index) {
			continue
		}
		delete(j.unsaved, index)
		l.unneedAll(a)
	}
}

// unneedAll takes an attempt out of all its batches.
func (l *Leader) unneedAll(a *attempt) {
	for _, b := range a.batches {
		l.unneed(b, a)
	}
	a.batches = nil
}

// eachUnheard visits the machines that may turn out to have room once they report, with
// what is free there by the records.
func (l *Leader) eachUnheard(visit func(m *machine, free slot)) {
	if !l.recovery.AwaitsRoom() {
		return
	}
	for _, m := range l.sorted() {
		if m.confirmed || m.phase == releasing || m.mt == nil || m.failed || m.leaveBy > 0 || !l.recovery.MayHaveRoom(m.name, m.unanswered > 0) {
			continue
		}
		visit(m, slot{m.typ, m.zone, m.spot, m.mt, m.mt.CPUs - m.cpus, m.mt.GPUs - m.gpus, m.mt.MemoryGB - m.mem})
	}
}

// unheardRoom sums up the room on machines that are up and have yet to report, by type,
// zone and kind: nothing is rented for what fits there. Machines in which not even the
// least amounts fit are left out. A slot for each machine would be more exact, and cost
// a new leader of thousands of machines a good part of a small share of the processor.
func (l *Leader) unheardRoom(least amounts) []*slot {
	sums := map[offer]*slot{}
	l.eachUnheard(func(m *machine, free slot) {
		if m.phase != up || !free.fits(least) {
			return
		}
		key := offer{m.typ, m.zone, m.spot}
		if sums[key] == nil {
			sums[key] = &slot{typ: m.typ, zone: m.zone, spot: m.spot, mt: m.mt}
		}
		sum := sums[key]
		sum.cpus, sum.gpus, sum.mem = sum.cpus+free.cpus, sum.gpus+free.gpus, sum.mem+free.mem
	})
	var slots []*slot
	for _, key := range slices.SortedFunc(maps.Keys(sums), offer.compare) {
		slots = append(slots, sums[key])
	}
	return slots
}

// mayFitUnheard reports whether a task of the job may find room on a machine that has
// yet to report, so that nothing is stopped for it meanwhile.
func (l *Leader) mayFitUnheard(r *round, j *job) bool {
	if !l.recovery.AwaitsRoom() {
		return false
	}
	if r.unheard == nil {
		r.unheard = l.largestUnheard()
	}
	for _, s := range r.unheard {
		room := *s
		if room.take(j) {
			return true
		}
	}
	return false
}

// largestUnheard gives the largest room of each resource on a machine that has yet to
// report, by type, zone and kind.
func (l *Leader) largestUnheard() map[offer]*slot {
	rooms := map[offer]*slot{}
	l.eachUnheard(func(m *machine, free slot) {
		key := offer{m.typ, m.zone, m.spot}
		have := rooms[key]
		if have == nil {
			rooms[key] = &free
			return
		}
		have.cpus, have.gpus, have.mem = max(have.cpus, free.cpus), max(have.gpus, free.gpus), max(have.mem, free.mem)
	})
	return rooms
}
