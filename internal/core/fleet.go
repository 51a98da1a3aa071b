package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// SetTypes takes the cloud's machine types.
func (l *Leader) SetTypes(now Now, types []wire.MachineType) {
	l.now = now
	for i := range types {
		t := types[i]
		l.types[t.Name] = &t
	}
	for _, m := range l.machines {
		m.mt = l.types[m.typ]
	}
}

// NoWorkerReports is why a leader resigns that serves nobody.
const NoWorkerReports = "no worker reaches this node"

// Tick does what falls due with time.
func (l *Leader) Tick(now Now) {
	l.now = now
	if now.Mono-l.tickAt > tuning.ProcessPause {
		l.resumedAt = now.Mono
		l.line(false, "this process stood still", "for_s", (now.Mono - l.tickAt).Seconds())
	}
	look := now.Mono-l.lookedAt >= l.lookGap()
	if look {
		l.lookedAt = now.Mono
		l.watchMachines()
		//mutation:counter-check
		l.watchCounters()
	}
	l.watchSilence()
	if look {
		l.returnMachines()
	}
	if now.Mono-l.loadAt >= tuning.LoadLine {
		l.loadAt = now.Mono
		l.logLoad()
	}
	l.recovery.Advance(now.Mono)
	l.proveUnreadable()
	l.foldBatches()
	if now.Mono-l.placedAt >= time.Second {
		l.dirtyPlace = true // capacity may be offered again, machines heard again
	}
	l.Settle(now)
}

// Held tells the leader up to when its lease lasts, if it is not renewed.
func (l *Leader) Held(until time.Duration) { l.heldTo = max(l.heldTo, until) }

// leads reports whether the lead is still ours, as far as the lease tells. The
// cloud checks no conditions and no tokens: a process that stood still for longer
// than its lease would find all machines silent when it goes on, and give back
// hundreds that work for its successor.
func (l *Leader) leads() bool { return l.now.Mono < l.heldTo }

// watchSilence resigns when no worker reaches us any more. Hundreds of machines
// report within any second, so few seconds tell; waiting for several report
// intervals where these are long would cost the workers their leases, since the
// other nodes send them here all the while. A few machines may just be between
// two reports. Time in which this process stood still does not count: whatever
// came meanwhile has yet to be read.
func (l *Leader) watchSilence() {
	if l.heardAny > l.tickAt {
		l.alone = 0
	} else {
		l.alone += min(l.now.Mono-l.tickAt, 2*tuning.TickEvery)
	}
	l.tickAt = l.now.Mono
	n := l.machinesUp()
	if n == 0 {
		// Nobody can be silent. Else the first machine that the cloud lists, after a
		// restart without records, would find that none was heard for long.
		//mutation:isolation-clock-reset
		l.alone = 0
		return
	}
	limit := l.cfg.Report * tuning.SilentIntervals * tuning.SilentMachines / time.Duration(max(n, tuning.SilentMachines))
	if l.alone > max(limit, tuning.SilentLeast) {
		l.out.Resign = NoWorkerReports
	}
}

// Settle places, writes and rents after any input.
func (l *Leader) Settle(now Now) {
	l.now = now
	l.retryDue()
	if l.dirtyPlace && now.Mono-l.placedAt >= l.placeGap() {
		l.placedAt = now.Mono
		l.rounds++
		left := l.place()
		l.rent(left)
	}
	l.flush()
	for _, name := range slices.Sorted(maps.Keys(l.pushDue)) {
		delete(l.pushDue, name)
		if m := l.machines[name]; m != nil {
			l.push(m)
		}
	}
}

// placeGap is the least time between two rounds: a round looks at every machine.
func (l *Leader) placeGap() time.Duration {
	return tuning.PlaceGap + l.slowed(time.Duration(len(l.machines))*tuning.PlaceGapMachine)
}

// lookGap is the least time between two ticks that look at every machine.
func (l *Leader) lookGap() time.Duration {
	return l.slowed(time.Duration(len(l.machines)) * tuning.LookGapMachine)
}

// slowed stretches what was measured for a process with tuning.UsualShare of a core, for
// one that has less: it would spend all of its time on rounds while hundreds of jobs
// wait, and fall behind with reports, so that machines stand empty beside them.
func (l *Leader) slowed(d time.Duration) time.Duration {
	if l.smallShare() {
		return time.Duration(float64(d) * tuning.UsualShare / l.cfg.CPUShare)
	}
	return d
}

// retryDue wakes jobs whose pause after a failure is over.
func (l *Leader) retryDue() {
	for j := range l.pausing {
		if l.now.Mono >= j.retryAt {
			delete(l.pausing, j)
			j.retryAt = 0
			l.dirtyPlace = true
		}
	}
}

// logLoad says how full the cluster is and what waits for what.
func (l *Leader) logLoad() {
	used, total := l.capacity()
	why := map[string]int{}
	for _, j := range l.jobs {
		if n := j.pending(); n > 0 {
			why[j.why] += n
		}
	}
	oldest := l.now.Mono
	for _, a := range l.toRecord {
		if !a.sent {
			oldest = min(oldest, a.placedAt)
		}
	}
	if late := l.now.Mono - oldest; late > tuning.RecordsLate {
		why := "starts wait for their records: too few changes a second"
		if l.now.Mono < l.holdOff+tuning.StateRetry {
			why = "starts wait for their records: the state service takes no writes"
		}
		l.line(false, why, "starts", len(l.toRecord), "longest_s", late.Seconds(), "changes_a_second", l.cfg.WriteRate)
	}
	for _, name := range slices.Sorted(maps.Keys(l.usage)) {
		if u := l.usage[name]; u.CPUs > 0 {
			l.line(true, "team load", "team", name, "cpus_used", u.CPUs, "cpus_max", l.cfg.Teams[name].CPUsMax)
		}
	}
	l.line(true, "load", "cpus_used", used, "cpus_total", total, "machines", len(l.machines), "jobs", len(l.jobs),
		"no_room", why["no machine has room"], "team_limit", why["its team is at its limit"], "other", why[""],
		"unsettled_s", (l.now.Mono - l.SettledAsOf(l.now.Mono)).Seconds())
}

// Unsettled reports whether placement waits for its gap to pass.
func (l *Leader) Unsettled() bool { return l.dirtyPlace }

func (l *Leader) machinesUp() int {
	n := 0
	for _, m := range l.machines {
		if m.phase == up {
			n++
		}
	}
	return n
}

// watchMachines looks at every machine, first at those that found no place for a
// question the last time.
func (l *Leader) watchMachines() {
	list := l.sorted()
	first, _ := slices.BinarySearchFunc(list, l.questions.next, func(m *machine, name string) int { return strings.Compare(m.name, name) })
	l.questions.next = ""
	for i := range list {
		//mutation:status-probe-rotation
		l.watchMachine(list[(first+i)%len(list)])
	}
}

// watchMachine sends what is due, probes, and gives up on what is lost.
func (l *Leader) watchMachine(m *machine) {
	if m.phase != up {
		return
	}
	if m.leaveBy > 0 {
		l.evacuate(m)
	}
	due, waiting := false, false
	var over []*attempt
	for _, a := range m.tasks {
		waiting = waiting || a.sent && !a.seen
		if a.sent && !a.seen && !a.halt && a.firstSent > 0 && a.nextProbe <= l.now.Mono && !a.calling {
			// The next probe would be sent now: give up if it is too late for it.
			if l.now.Mono >= l.horizon(a) {
				over = append(over, a)
				continue
			}
			due = true
		}
		if a.halt && l.now.Mono-a.haltedAt >= tuning.HaltRepeat {
			due = true
		}
	}
	sortAttempts(over)
	for _, a := range over {
		a.giveUp = true
		l.count.ProbeGiveUp++
		l.line(false, "start never acknowledged, giving up", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", m.name, "probes", a.probes)
		l.failures = append(l.failures, Failure{wire.TaskName(a.ref.job, a.ref.index), a.number, m.name, "ack timeout", l.now.Wall})
		l.stop(a, false, "start never acknowledged")
	}
	if due {
		l.push(m)
	}
	quiet := l.now.Mono - m.heardAt
	//mutation:status-probe-when-overdue
	if quiet > l.overdueReport() || !m.confirmed || m.unreachableSince > 0 || waiting && m.seenToken < l.token(m) {
		l.askForReport(m)
	}
}

// Listed takes the cloud's list, as it was a while ago.
func (l *Leader) Listed(now Now, list []wire.ListedMachine) {
	l.now = now
	l.listed, l.listedAt = true, now.Mono
	for _, m := range l.machines {
		m.missing++
	}
	for i := range list {
		it := &list[i]
		if l.gone[it.Name] {
			continue
		}
		m := l.machines[it.Name]
		if m == nil {
			m = l.addMachine(it.Name, it.Type, it.Zone, it.Spot, it.Address)
			m.rentedAt = now.Mono - time.Duration(it.AgeS*float64(time.Second))
			l.line(false, "machine adopted from the cloud's list", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "state", it.State)
			l.dirtyPlace = true
			if it.State == wire.MachineRunning && m.rentedAt < l.startedAt {
				l.recovery.ExpectMachine(m.name)
			}
		}
		m.missing, m.listedOnce = 0, true
		if m.addr == "" {
			m.addr = it.Address
		}
		if m.phase == booting && it.State == wire.MachineRunning && now.Mono-m.knownAt > l.cfg.Report {
			// Up before our term, or its first report went elsewhere: ask it.
			l.markUp(m)
			l.askForReport(m)
		}
		if it.State == wire.MachineFailed && !m.failed {
			m.failed = true
			l.line(false, "machine failed", "machine", m.name, "tasks", len(m.tasks))
		}
	}
	l.recovery.Listed(now.Mono)
}

func (l *Leader) bootTime(typ string) time.Duration {
	if t := l.types[typ]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return tuning.BootPatienceMin
}
