package core

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

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
			//mutation:release-detaches-unsent-only
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
			//mutation:release-machine-that-never-came-up
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
	//mutation:reconciliation-holds-release
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
	//mutation:release-needs-proof
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
