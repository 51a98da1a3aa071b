package core

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
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

// returnMachines gives back what is broken, lost, too slow to come up, or idle.
func (l *Leader) returnMachines() {
	if l.now.Mono < l.releaseRetryAt || !l.leads() || !l.recovery.CloudCallReady(l.now.Mono) {
		return
	}
	silentZone := l.silentZones()
	var names []string
	var spare *spare // looked at once, and only if a machine stands idle
	for _, m := range l.sorted() {
		if len(names) == tuning.ReleaseMax {
			break
		}
		why := l.returnReason(m, silentZone)
		if why == "" && l.idle(m) {
			if spare == nil {
				spare = l.newSpare()
			}
			if spare.without(m) {
				why = "idle"
			}
		}
		if why == "" {
			continue
		}
		l.line(m.loggedReason == why, "giving machine back", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "why", why, "tasks", len(m.tasks))
		if m.loggedReason == "" {
			l.recovery.Ordered(l.now.Mono, recovery.Order{Kind: recovery.OrderRelease, Machine: m.name})
		}
		m.phase, m.loggedReason = releasing, why // repeated while the cloud refuses
		for _, a := range m.list() {
			if !a.sent {
				l.detach(a)
			}
		}
		names = append(names, m.name)
	}
	for _, m := range l.sorted() {
		if m.phase == releasing && m.askAgain && len(names) < tuning.ReleaseMax {
			m.askAgain = false
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		l.recovery.TakeCloudCall(l.now.Mono)
		l.out.Release = append(l.out.Release, names)
	}
}

func (l *Leader) returnReason(m *machine, silentZone map[string]bool) string {
	now := l.now.Mono
	switch m.phase {
	case releasing:
		return ""
	case booting:
		patience := max(tuning.BootPatienceMin, l.bootTime(m.typ)*time.Duration(100*l.cfg.Policy.BootPatience)/100)
		if m.failed {
			return "failed while starting"
		}
		if now-m.rentedAt > patience && now-max(m.knownAt, l.resumedAt) > tuning.NewcomerGrace {
			// The grace is for those that came up before our term, or while we
			// stood still: they report within seconds, and were given back by
			// mistake without it.
			return "never came up"
		}
		return ""
	}
	// Silence while this process stood still is not theirs: what they sent has yet
	// to be read, or went elsewhere.
	quiet := now - max(m.heardAt, l.resumedAt)
	if m.failed && quiet > l.cfg.Report*2 {
		return "failed"
	}
	if silentZone[m.zone] {
		return l.zoneReason(m, quiet)
	}
	// Of a zone that was silent and is back, machines are heard one by one.
	quiet = min(quiet, now-l.zoneBack[m.zone])
	if m.unansweredSinceHeard >= tuning.AskedInVain && !l.recovery.HoldsReturn(now, m.name) && quiet > l.overdueReport()+tuning.CommandTimeout*tuning.AskedInVain && len(m.tasks) > 0 {
		// It is dead, hangs or is cut off. Until its lease ends its tasks could
		// start nowhere else; the answer to the release lets them at once.
		return "silent, and questions stay unanswered"
	}
	if m.listedOnce && m.missing >= tuning.MissingLists && quiet > l.cfg.Report*2 {
		// Once listed, a machine stays listed until it is gone, but a list can
		// be old. So this proves nothing: the answer to the release does.
		return "silent and no longer listed"
	}
	if m.unreachableSince > 0 && now-max(m.unreachableSince, l.resumedAt) > l.cfg.Lease {
		return "nothing reaches it"
	}
	if quiet > l.cfg.Lease-tuning.ReleaseAhead {
		return "silent for longer than its lease"
	}
	if len(m.tasks) == 0 && m.leaveBy == 0 && m.suspect > now {
		return "unrelated jobs fail there"
	}
	return ""
}

// overdueReport is how long after the last sign of life a report is overdue.
func (l *Leader) overdueReport() time.Duration {
	return l.cfg.Report*5/4 + tuning.ReportSlack
}

// zoneReason is why a machine of a zone that is silent as a whole is given back.
func (l *Leader) zoneReason(m *machine, quiet time.Duration) string {
	if at, ok := l.zoneHeard[m.zone]; ok {
		// The zone fell silent before our term, and was not heard in it.
		quiet = max(quiet, l.now.Mono-at)
	}
	switch {
	case quiet > time.Duration(float64(l.cfg.Lease)*tuning.ZoneSilence):
		return "its zone is silent for long"
	case quiet > l.zonePatience() && l.movable(m):
		return "its zone is silent, and its tasks can go elsewhere"
	}
	return ""
}

// ZoneHeard tells a new leader when its process last heard a peer in a zone.
func (l *Leader) ZoneHeard(zone string, at time.Duration) {
	l.zoneHeard[zone] = max(at, l.zoneHeard[zone])
}

// movable reports whether most of what is on a silent machine could start in
// another zone if it were given back. Replicas whose job may have no more tasks
// elsewhere, as with two zones of which each may have half, come back sooner with
// the zone: its machines are there then, with their images, and a new one would
// have to boot first.
func (l *Leader) movable(m *machine) bool {
	services, free := 0, 0.0
	var other *job
	for _, a := range m.tasks {
		j := a.job
		switch {
		case j == nil:
		case j.service:
			services++
			free += l.freeElsewhere(j, m.zone)
		case other == nil || j.id < other.id:
			other = j
		}
	}
	if services > 0 {
		return 2*free >= float64(services)
	}
	return other != nil && l.hasRoomLately(other)
}

// freeElsewhere is what share of the job's tasks in a zone its spread allows in
// the others.
func (l *Leader) freeElsewhere(j *job, zone string) float64 {
	if j.spec.Zone != "" || j.spec.Together {
		return 0
	}
	z := map[string]int{}
	for _, list := range j.active {
		for _, a := range list {
			z[a.m.zone]++
		}
	}
	zones := map[string]bool{}
	for _, t := range l.types {
		for _, other := range t.Zones {
			zones[other] = other != zone && j.allows(t.Name, other, false)
		}
	}
	room := 0
	for other, ok := range zones {
		if ok {
			room += max(0, j.spec.ZoneCap()-z[other])
		}
	}
	return min(1, float64(room)/float64(max(1, z[zone])))
}

// zonePatience is how long a zone may be silent as a whole before its machines are
// given back. A node in it may keep them alive, but not for longer than the time
// for a cancellation allows: shortly before that, tasks had better start elsewhere
// than end there with nobody to take them up.
func (l *Leader) zonePatience() time.Duration {
	d := time.Duration(float64(l.cfg.Lease) * tuning.ZoneSilence)
	if l.cfg.Cancel > 0 {
		d = min(d, l.cfg.Cancel-tuning.KeepaliveMargin-l.cfg.Report)
	}
	return max(d, l.cfg.Lease-tuning.ReleaseAhead)
}

// idle reports whether the machine has stood idle for long enough.
func (l *Leader) idle(m *machine) bool {
	now := l.now.Mono
	return m.phase == up && len(m.tasks) == 0 && m.leaveBy == 0 && !l.dirtyPlace && !l.recovery.HoldsIdleReturns() && now-m.heardAt < l.cfg.Report*2 &&
		now-max(m.idleSince, m.upAt) > l.idleFor(m)
}

// idleFor is how long a machine may stand idle: longer if it is cheap.
func (l *Leader) idleFor(m *machine) time.Duration {
	d := l.cfg.Policy.IdleRelease
	if m.spot && m.mt != nil && m.mt.SpotCost > 0 {
		d = time.Duration(float64(d) * max(1, m.mt.Price/m.mt.SpotCost))
	}
	return d
}

// spare says whether enough room would be left without a machine: spare capacity
// as the operators want it, and room at once for the next service, of as many
// tasks as the largest live service job has, in its zones, on ordinary machines
// that no other service fills (lower work there makes way). Without the latter, a
// fleet that is economised down to what its services fill makes the next one wait
// for a boot.
type spare struct {
	l           *Leader
	used, total float64
	big         *job // the largest service, or nil
	room        map[string]int
	roomOn      map[*machine]int
}

func (l *Leader) newSpare() *spare {
	s := &spare{l: l, room: map[string]int{}, roomOn: map[*machine]int{}}
	s.used, s.total = l.capacity()
	size := func(j *job) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	for _, j := range l.jobs {
		if j.service && !j.cancelled && !j.archived && (s.big == nil || size(j) > size(s.big) || size(j) == size(s.big) && j.id < s.big.id) {
			s.big = j
		}
	}
	if s.big == nil {
		return s
	}
	j := s.big
	for _, m := range l.machines {
		if m.spot || m.phase != up || m.mt == nil || m.failed || m.leaveBy > 0 || m.unreachableSince > 0 || !j.allows(m.typ, m.zone, m.spot) {
			continue
		}
		cpus, mem := m.mt.CPUs, m.mt.MemoryGB
		for _, a := range m.tasks {
			if a.job != nil && a.job.rank <= j.rank {
				cpus -= a.job.spec.CPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		n := 1 << 20
		if j.spec.CPUs > 0 {
			n = min(n, int(math.Floor(cpus/j.spec.CPUs+epsilon)))
		}
		if j.spec.MemoryGB > 0 {
			n = min(n, int(math.Floor(mem/j.spec.MemoryGB+epsilon)))
		}
		s.roomOn[m] = max(n, 0)
		s.room[m.zone] += max(n, 0)
	}
	return s
}

// enough reports whether the next service finds room.
func (s *spare) enough() bool {
	if s.big == nil {
		return true
	}
	total := 0
	for _, n := range s.room {
		total += min(n, s.big.spec.ZoneCap())
	}
	return total >= s.big.spec.Tasks
}

// without takes a machine away, if enough is left then.
func (s *spare) without(m *machine) bool {
	cpus := 0.0
	if m.mt != nil {
		cpus = m.mt.CPUs
	}
	if s.total-cpus < s.used*(1+s.l.cfg.Policy.SpareShare) {
		return false
	}
	s.room[m.zone] -= s.roomOn[m]
	if !s.enough() {
		s.room[m.zone] += s.roomOn[m]
		return false
	}
	delete(s.roomOn, m)
	s.total -= cpus
	return true
}

// silentZones are the zones in which most machines are silent, as of now, while there is more
// than one: then it is the network, and a node inside may keep them alive. Not all:
// the list still brings up machines there that were booting. Of machines that do
// report, few were last heard a whole interval ago, so this tells long before any of
// them is given back by itself.
func (l *Leader) silentZones() map[string]bool {
	total, quiet, late := map[string]int{}, map[string]int{}, map[string]int{}
	for _, m := range l.machines {
		if m.phase != up {
			continue
		}
		total[m.zone]++
		if l.now.Mono-m.heardAt > l.overdueReport() {
			late[m.zone]++
		}
		if l.now.Mono-m.heardAt > l.cfg.Report {
			quiet[m.zone]++
		}
	}
	out := map[string]bool{}
	for z, n := range total {
		if n > 1 && float64(quiet[z]) >= tuning.SilentShare*float64(n) {
			out[z] = true
			if float64(late[z]) >= tuning.SilentShare*float64(n) {
				l.zoneBack[z] = l.now.Mono // not by machines that are just between two reports
			}
		}
	}
	return out
}

func (l *Leader) bootTime(typ string) time.Duration {
	if t := l.types[typ]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return tuning.BootPatienceMin
}

// ReleaseResult says what became of a release.
type ReleaseResult int

// Outcomes of a release.
const (
	ReleaseUnknown ReleaseResult = iota // carried out, or not, or later
	ReleaseDone                         // the machines and all on them are gone
	ReleaseRefused                      // not carried out
)

// Released takes the answer to a release. ReleaseDone is the proof that lets the
// tasks that were there be placed again.
func (l *Leader) Released(now Now, names []string, res ReleaseResult) {
	l.now = now
	if res != ReleaseDone {
		l.releaseRetryAt = now.Mono + tuning.CloudRetry
		for _, n := range names {
			m := l.machines[n]
			switch {
			case m == nil:
			case res == ReleaseRefused:
				m.phase = up // it may have come back to life meanwhile
				if m.addr == "" {
					m.phase = booting
				}
			default:
				m.askAgain = true
			}
		}
		return
	}
	for _, n := range names {
		m := l.machines[n]
		l.gone[n] = true
		if m == nil {
			continue
		}
		l.count.Returned++
		l.removeMachine(m)
	}
}

func (l *Leader) removeMachine(m *machine) {
	for _, a := range m.list() {
		l.judgeRecorded(a, recovery.Absent)
		l.detach(a)
		l.ended(a, "machine gone")
	}
	l.recovery.Gone(l.now.Mono, m.name)
	for b := range m.batches {
		b.ghosts = true
	}
	delete(l.machines, m.name)
	l.byName = nil
	l.dirtyPlace = true
}

// slot is room on a machine that is on its way, or could be rented.
type slot struct {
	typ, zone       string
	spot            bool
	mt              *wire.MachineType
	cpus, gpus, mem float64
}

func (s *slot) take(j *job) bool {
	if !j.allows(s.typ, s.zone, s.spot) || s.cpus+epsilon < j.spec.CPUs || s.gpus+epsilon < j.spec.GPUs || s.mem+epsilon < j.spec.MemoryGB {
		return false
	}
	s.cpus -= j.spec.CPUs
	s.gpus -= j.spec.GPUs
	s.mem -= j.spec.MemoryGB
	return true
}

// amounts is an amount of each resource that is scarce on every machine.
type amounts struct{ cpus, mem float64 }

// leastOf is the least of each amount that any task of the jobs takes.
func leastOf(left []unplaced) amounts {
	least := amounts{math.Inf(1), math.Inf(1)}
	for _, w := range left {
		least.cpus, least.mem = min(least.cpus, w.j.spec.CPUs), min(least.mem, w.j.spec.MemoryGB)
	}
	return least
}

func (s *slot) fits(a amounts) bool { return s.cpus+epsilon >= a.cpus && s.mem+epsilon >= a.mem }

func newSlot(t *wire.MachineType, zone string, spot bool) *slot {
	return &slot{t.Name, zone, spot, t, t.CPUs, t.GPUs, t.MemoryGB}
}

// rent asks for machines for what could not be placed, counting those that are
// on their way, and for spare ones where price is no aim.
func (l *Leader) rent(left []unplaced) {
	if len(l.types) == 0 || !l.listed || !l.leads() || l.rentAt > 0 && l.now.Mono-l.rentAt < l.slowed(tuning.RentGap) {
		return
	}
	l.rentAt = l.now.Mono
	var coming []*slot
	perZone := map[string]int{}
	count := 0
	late := l.lateBoots()
	for _, m := range l.sorted() {
		if m.phase != releasing {
			perZone[m.zone]++
			count++
		}
		if m.phase == booting && !m.failed && m.mt != nil && !late[m] {
			coming = append(coming, newSlot(m.mt, m.zone, m.spot))
		}
	}
	coming = append(coming, l.unheardRoom(false)...)
	names := make([]string, 0, len(l.rentals))
	for n := range l.rentals {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r := l.rentals[n]
		if t := l.types[r.offer.typ]; t != nil {
			for i := 0; i < r.count; i++ {
				coming = append(coming, newSlot(t, r.offer.zone, r.offer.spot))
			}
			perZone[r.offer.zone] += r.count
			count += r.count
		}
	}
	orders := map[offer]int{}
	order := func(j *job) bool {
		if l.cfg.Policy.MaxMachines > 0 && count >= l.cfg.Policy.MaxMachines {
			return false
		}
		o, ok := l.bestOffer(j, perZone)
		if !ok {
			return false
		}
		orders[o]++
		perZone[o.zone]++
		count++
		coming = append(coming, newSlot(l.types[o.typ], o.zone, o.spot))
		return true
	}
	least := leastOf(left)
	full := 0 // slots at the front in which nothing of what is left fits any more
	for _, w := range left {
		n := w.n
		for full < len(coming) && !coming[full].fits(least) {
			full++
		}
		for _, s := range coming[full:] {
			for n > 0 && s.take(w.j) {
				n--
			}
			if n == 0 {
				break
			}
		}
		for n > 0 && order(w.j) {
			s := coming[len(coming)-1]
			if !s.take(w.j) {
				break
			}
			for n--; n > 0 && s.take(w.j); n-- {
			}
		}
	}
	if s := l.newSpare(); !s.enough() {
		fits := false
		for _, c := range coming {
			fits = fits || !c.spot && c.take(s.big)
		}
		if !fits {
			order(s.big)
		}
	}
	l.rentSpare(perZone, orders, &count)
	keys := make([]offer, 0, len(orders))
	for o := range orders {
		keys = append(keys, o)
	}
	sort.Slice(keys, func(a, b int) bool {
		x, y := keys[a], keys[b]
		if x.typ != y.typ {
			return x.typ < y.typ
		}
		if x.zone != y.zone {
			return x.zone < y.zone
		}
		return !x.spot && y.spot
	})
	for _, o := range keys {
		if !l.recovery.TakeCloudCall(l.now.Mono) {
			return // the rest with a later look
		}
		l.order(o, min(orders[o], tuning.RentMax))
	}
}

// lateBoots are the machines that may never come up: they are replaced at once, and
// given back when their patience is over. Not where more are late than came up of
// those rented in the same time: then boots are slow everywhere, more of them would
// be as late, and renting would not end.
func (l *Leader) lateBoots() map[*machine]bool {
	late, came := map[*machine]bool{}, 0
	for _, m := range l.machines {
		boot := l.bootTime(m.typ)
		age := l.now.Mono - m.rentedAt
		switch {
		case age < boot*tuning.BootLate/100 || age > 4*boot:
		case m.phase == booting && !m.failed:
			late[m] = true
		case m.phase == up && m.ours:
			came++
		}
	}
	if len(late) > came {
		return nil
	}
	return late
}

func (l *Leader) order(o offer, n int) {
	l.nextHire++
	// The term makes the name unlike any other leader's, the counter unlike
	// any other of ours: a used name would rent nothing.
	name := fmt.Sprintf("yg-%d-%d", l.term, l.nextHire)
	l.rentals[name] = &rentalState{offer: o, count: n, at: l.now.Mono}
	l.recovery.Ordered(l.now.Mono, recovery.Order{Kind: recovery.OrderRental})
	l.line(false, "renting", "hire", name, "type", o.typ, "zone", o.zone, "spot", o.spot, "count", n)
	l.out.Rent = append(l.out.Rent, Rental{wire.RentRequest{Name: name, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n}})
}

// bestOffer chooses what to rent for a job, or, without one, as spare.
func (l *Leader) bestOffer(j *job, perZone map[string]int) (offer, bool) {
	var z map[string]int
	if j != nil {
		z = j.zones()
	}
	best, bestScore := offer{}, math.Inf(1)
	for _, t := range l.sortedTypes() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := offer{t.Name, zone, spot}
				if l.now.Mono < l.noCap[o] || l.asked(o) || spot && !l.cfg.Policy.UseSpot {
					continue
				}
				per := 1.0
				if j != nil {
					if !t.Fits(&j.spec) || !j.allows(t.Name, zone, spot) || !j.zoneOpen(z, zone) {
						continue
					}
					per = math.Inf(1) // tasks that fit on one
					if j.spec.CPUs > 0 {
						per = min(per, math.Floor(t.CPUs/j.spec.CPUs+epsilon))
					}
					if j.spec.MemoryGB > 0 {
						per = min(per, math.Floor(t.MemoryGB/j.spec.MemoryGB+epsilon))
					}
					per = max(1, min(per, 1000))
				} else {
					per = t.CPUs
				}
				price := t.Price
				if spot {
					price = t.SpotCost
				}
				var score float64
				if l.cfg.Thrifty {
					score = price/per + 1e-4*float64(perZone[zone])
				} else {
					// Service first: ordinary machines stay, big ones serve
					// more, zones are kept even.
					score = float64(perZone[zone]) * 0.01
					if spot {
						score++
					}
					score -= 0.001 * min(per, 50)
				}
				if score < bestScore {
					best, bestScore = o, score
				}
			}
		}
	}
	return best, !math.IsInf(bestScore, 1)
}

// asked reports whether a rental of the kind is unanswered. Its answer tells
// whether there are more to have, so a second request would be a guess, and a
// burst of them runs into the cloud's limit.
func (l *Leader) asked(o offer) bool {
	for _, r := range l.rentals {
		if r.offer == o {
			return true
		}
	}
	return false
}

func (l *Leader) sortedTypes() []*wire.MachineType {
	out := make([]*wire.MachineType, 0, len(l.types))
	for _, t := range l.types {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// capacity sums what is in use and what there is, in CPUs.
func (l *Leader) capacity() (used, total float64) {
	for _, m := range l.machines {
		if m.mt == nil || m.phase == releasing || m.failed || m.leaveBy > 0 {
			continue
		}
		total += m.mt.CPUs
		used += m.cpus
	}
	return used, total
}

func (l *Leader) rentSpare(perZone map[string]int, orders map[offer]int, count *int) {
	if l.cfg.Policy.SpareShare <= 0 {
		return
	}
	used, total := l.capacity()
	for _, r := range l.rentals {
		if t := l.types[r.offer.typ]; t != nil {
			total += t.CPUs * float64(r.count)
		}
	}
	for o, n := range orders {
		total += l.types[o.typ].CPUs * float64(n)
	}
	for total < used*(1+l.cfg.Policy.SpareShare) {
		if l.cfg.Policy.MaxMachines > 0 && *count >= l.cfg.Policy.MaxMachines {
			return
		}
		o, ok := l.bestOffer(nil, perZone)
		if !ok {
			return
		}
		orders[o]++
		perZone[o.zone]++
		*count++
		total += l.types[o.typ].CPUs
	}
}

// capacityPause is how long an offer that had too few machines is not asked for
// again: as short as the cloud's rate allows for all offers together, since after a
// wave that takes machines there are some again within seconds.
func (l *Leader) capacityPause() time.Duration {
	if l.cfg.CloudRate <= 0 {
		return tuning.CapacityPause
	}
	offers := 0
	for _, t := range l.types {
		offers += 2 * len(t.Zones)
	}
	pause := time.Duration(float64(offers) / (l.cfg.CloudRate * tuning.RentShare) * float64(time.Second))
	return min(max(pause, tuning.CapacityPauseLeast), tuning.CapacityPause)
}

// RentResult says what became of a rental.
type RentResult int

// Outcomes of a rental.
const (
	RentUnknown RentResult = iota // machines may have been rented; the list will show them
	RentDone                      // the named machines were rented
	RentNone                      // no capacity
	RentRefused                   // not carried out: trouble or too many requests
)

// Rented takes the answer to a rental.
func (l *Leader) Rented(now Now, name string, res RentResult, machines []string) {
	l.now = now
	r := l.rentals[name]
	if r == nil {
		return
	}
	delete(l.rentals, name)
	switch res {
	case RentDone:
		l.count.Rented += uint64(len(machines))
		for _, n := range machines {
			if l.gone[n] {
				continue
			}
			m := l.machines[n] // it may be up, and have reported, ahead of this answer
			if m == nil {
				m = l.addMachine(n, r.offer.typ, r.offer.zone, r.offer.spot, "")
			}
			m.ours = true
		}
		if len(machines) < r.count {
			l.noCap[r.offer] = now.Mono + l.capacityPause()
		}
	case RentNone:
		l.noCap[r.offer] = now.Mono + l.capacityPause()
	case RentRefused:
		l.noCap[r.offer] = now.Mono + 2*tuning.CloudRetry
	case RentUnknown:
		// Whatever was rented is listed soon; until then nothing more of it.
		l.noCap[r.offer] = now.Mono + l.capacityPause()
	}
	l.line(false, "rental answered", "hire", name, "result", [...]string{"unknown", "rented", "no capacity", "refused"}[res], "machines", len(machines))
	l.dirtyPlace = true
}
