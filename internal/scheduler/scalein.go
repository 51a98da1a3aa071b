package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// scaleIn gives back what is broken, lost, too slow to come up, or idle.
func (s *Scheduler) scaleIn() {
	if s.now.Mono < s.autoscaler.releaseRetryAt || !s.holdsLease() || !s.reconciler.CloudCallReady(s.now.Mono) {
		return
	}
	missingZones := s.zonesMissingHeartbeats()
	var names []string
	var headroom *fleetHeadroom // looked at once, and only if a machine stands idle
	for _, m := range s.sortedMachines() {
		if len(names) == tuning.MaxReleaseBatch {
			break
		}
		reason := s.releaseReason(m, missingZones)
		if reason == "" && s.idleLongEnough(m) {
			if headroom == nil {
				headroom = s.newFleetHeadroom()
			}
			if headroom.removeIfSpare(m) {
				reason = "idle"
			}
		}
		if reason == "" {
			continue
		}
		s.log(m.release.reason == reason, "giving machine back", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "why", reason, "tasks", len(m.tasks))
		if m.release.reason == "" {
			s.reconciler.CountOperation(s.now.Mono, reconcile.Operation{Kind: reconcile.ReleaseOperation, Machine: m.name})
		}
		m.phase, m.release.reason = machineReleasing, reason // repeated while the cloud refuses
		for _, a := range m.sortedAttempts() {
			//mutation:release-detaches-unsent-only
			if !a.start.sent {
				s.detach(a)
			}
		}
		names = append(names, m.name)
	}
	for _, m := range s.sortedMachines() {
		if m.phase == machineReleasing && m.release.retryDue && len(names) < tuning.MaxReleaseBatch {
			m.release.retryDue = false
			names = append(names, m.name)
		}
	}
	if len(names) > 0 {
		s.reconciler.TakeCloudCall(s.now.Mono)
		s.effects.Release = append(s.effects.Release, names)
	}
}

func (s *Scheduler) releaseReason(m *machine, missingZones map[string]bool) string {
	now := s.now.Mono
	switch m.phase {
	case machineReleasing:
		return ""
	case machineBooting:
		bootTimeout := max(tuning.MinBootTimeout, s.bootTime(m.machineType)*time.Duration(100*s.settings.Policy.BootTimeoutFactor)/100)
		if m.cloud.failed {
			return "failed while starting"
		}
		if now-m.cloud.provisionedAt > bootTimeout && now-max(m.knownAt, s.monitor.resumedAt) > tuning.FirstHeartbeatGrace {
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
	heartbeatAge := now - max(m.connectivity.lastHeartbeatAt, s.monitor.resumedAt)
	if m.cloud.failed && heartbeatAge > s.settings.HeartbeatInterval*2 {
		return "failed"
	}
	if missingZones[m.zone] {
		return s.zoneReleaseReason(m, heartbeatAge)
	}
	// Of a zone that was silent and is back, machines are heard one by one.
	heartbeatAge = min(heartbeatAge, now-s.monitor.zoneMissingAt[m.zone])
	//mutation:reconciliation-holds-release
	if m.calls.unansweredSinceHeartbeat >= tuning.UnansweredProbeThreshold && !s.reconciler.HoldsRelease(now, m.name) && heartbeatAge > s.heartbeatOverdueAfter()+tuning.CommandTimeout*tuning.UnansweredProbeThreshold && len(m.tasks) > 0 {
		// It is dead, hangs or is cut off. Until its lease ends its tasks could
		// start nowhere else; the answer to the release lets them at once.
		return "silent, and questions stay unanswered"
	}
	if m.cloud.listed && m.cloud.missedLists >= tuning.MissingListThreshold && heartbeatAge > s.settings.HeartbeatInterval*2 {
		// Once listed, a machine stays listed until it is gone, but a list can
		// be old. So this proves nothing: the answer to the release does.
		return "silent and no longer listed"
	}
	if m.connectivity.unreachableSince > 0 && now-max(m.connectivity.unreachableSince, s.monitor.resumedAt) > s.settings.WorkerLease {
		return "nothing reaches it"
	}
	if heartbeatAge > s.settings.WorkerLease-tuning.EarlyReleaseMargin {
		return "silent for longer than its lease"
	}
	if len(m.tasks) == 0 && m.cloud.interruptionAt == 0 && m.quarantine.until > now {
		return "unrelated jobs fail there"
	}
	return ""
}

// heartbeatOverdueAfter is how long after the last sign of life a report is overdue.
func (s *Scheduler) heartbeatOverdueAfter() time.Duration {
	return s.settings.HeartbeatInterval*5/4 + tuning.HeartbeatGrace
}

// zoneReleaseReason is why a machine of a zone that is silent as a whole is given back.
func (s *Scheduler) zoneReleaseReason(m *machine, heartbeatAge time.Duration) string {
	if at, ok := s.monitor.zoneHeartbeatAt[m.zone]; ok {
		// The zone fell silent before our term, and was not heard in it.
		heartbeatAge = max(heartbeatAge, s.now.Mono-at)
	}
	switch {
	case heartbeatAge > time.Duration(float64(s.settings.WorkerLease)*tuning.ZonePartitionLeases):
		return "its zone is silent for long"
	case heartbeatAge > s.zoneReleaseDelay() && s.canMoveElsewhere(m):
		return "its zone is silent, and its tasks can go elsewhere"
	}
	return ""
}

// ZoneLastSeen tells a new leader when its process last heard a peer in a zone.
func (s *Scheduler) ZoneLastSeen(zone string, at time.Duration) {
	s.monitor.zoneHeartbeatAt[zone] = max(at, s.monitor.zoneHeartbeatAt[zone])
}

// canMoveElsewhere reports whether most of what is on a silent machine could start in
// another zone if it were given back. Replicas whose job may have no more tasks
// elsewhere, as with two zones of which each may have half, come back sooner with
// the zone: its machines are there then, with their images, and a new one would
// have to boot first.
func (s *Scheduler) canMoveElsewhere(m *machine) bool {
	services, movable := 0, 0.0
	var other *job
	for _, a := range m.tasks {
		j := a.job
		switch {
		case j == nil:
		case j.service:
			services++
			movable += s.movableShare(j, m.zone)
		case other == nil || j.id < other.id:
			other = j
		}
	}
	if services > 0 {
		return 2*movable >= float64(services)
	}
	return other != nil && s.fitsSomewhereCached(other)
}

// movableShare is what share of the job's tasks in a zone its spread allows in
// the others.
func (s *Scheduler) movableShare(j *job, zone string) float64 {
	if j.spec.Zone != "" || j.spec.SameZone {
		return 0
	}
	activeByZone := map[string]int{}
	for _, list := range j.active {
		for _, a := range list {
			activeByZone[a.machine.zone]++
		}
	}
	zones := map[string]bool{}
	for _, t := range s.cluster.machineTypes {
		for _, other := range t.Zones {
			zones[other] = other != zone && j.allowsMachine(t.Name, other, false)
		}
	}
	allowed := 0
	for other, ok := range zones {
		if ok {
			allowed += max(0, j.spec.MaxTasksPerZone()-activeByZone[other])
		}
	}
	return min(1, float64(allowed)/float64(max(1, activeByZone[zone])))
}

// zoneReleaseDelay is how long a zone may be silent as a whole before its machines are
// given back. A node in it may keep them alive, but not for longer than the time
// for a cancellation allows: shortly before that, tasks had better start elsewhere
// than end there with nobody to take them up.
func (s *Scheduler) zoneReleaseDelay() time.Duration {
	d := time.Duration(float64(s.settings.WorkerLease) * tuning.ZonePartitionLeases)
	if s.settings.CancellationBound > 0 {
		d = min(d, s.settings.CancellationBound-tuning.KeepaliveMargin-s.settings.HeartbeatInterval)
	}
	return max(d, s.settings.WorkerLease-tuning.EarlyReleaseMargin)
}

// zonesMissingHeartbeats are the zones in which most machines are silent, as of now, while there is more
// than one: then it is the network, and a node inside may keep them alive. Not all:
// the list still brings up machines there that were booting. Of machines that do
// report, few were last heard a whole interval ago, so this tells long before any of
// them is given back by itself.
func (s *Scheduler) zonesMissingHeartbeats() map[string]bool {
	total, missed, overdue := map[string]int{}, map[string]int{}, map[string]int{}
	for _, m := range s.cluster.machines {
		if m.phase != machineUp {
			continue
		}
		total[m.zone]++
		if s.now.Mono-m.connectivity.lastHeartbeatAt > s.heartbeatOverdueAfter() {
			overdue[m.zone]++
		}
		if s.now.Mono-m.connectivity.lastHeartbeatAt > s.settings.HeartbeatInterval {
			missed[m.zone]++
		}
	}
	out := map[string]bool{}
	for zone, machines := range total {
		if machines > 1 && float64(missed[zone]) >= tuning.ZonePartitionShare*float64(machines) {
			out[zone] = true
			if float64(overdue[zone]) >= tuning.ZonePartitionShare*float64(machines) {
				s.monitor.zoneMissingAt[zone] = s.now.Mono // not by machines that are just between two reports
			}
		}
	}
	return out
}

// idleLongEnough reports whether the machine has stood idle for long enough.
func (s *Scheduler) idleLongEnough(m *machine) bool {
	now := s.now.Mono
	return m.phase == machineUp && len(m.tasks) == 0 && m.cloud.interruptionAt == 0 && !s.placement.due && !s.reconciler.HoldsIdleReleases() && now-m.connectivity.lastHeartbeatAt < s.settings.HeartbeatInterval*2 &&
		now-max(m.idleSince, m.upAt) > s.idleTimeout(m)
}

// idleTimeout is how long a machine may stand idle: longer if it is cheap.
func (s *Scheduler) idleTimeout(m *machine) time.Duration {
	d := s.settings.Policy.IdleTimeout
	if m.spot && m.machineSpec != nil && m.machineSpec.SpotPrice > 0 {
		d = time.Duration(float64(d) * max(1, m.machineSpec.Price/m.machineSpec.SpotPrice))
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
func (s *Scheduler) Released(now Now, names []string, result ReleaseResult) {
	s.now = now
	//mutation:release-needs-proof
	if result != ReleaseDone {
		s.autoscaler.releaseRetryAt = now.Mono + tuning.CloudRetryDelay
		for _, name := range names {
			m := s.cluster.machines[name]
			switch {
			case m == nil:
			case result == ReleaseRefused:
				m.phase = machineUp // it may have come back to life meanwhile
				if m.address == "" {
					m.phase = machineBooting
				}
			default:
				m.release.retryDue = true
			}
		}
		return
	}
	for _, name := range names {
		m := s.cluster.machines[name]
		s.cluster.released[name] = true
		if m == nil {
			continue
		}
		s.counters.MachinesReleased++
		s.removeMachine(m)
	}
}

func (s *Scheduler) removeMachine(m *machine) {
	for _, a := range m.sortedAttempts() {
		s.classifyRecorded(a, reconcile.Absent)
		s.detach(a)
		s.handleFailedAttempt(a, "machine gone")
	}
	s.reconciler.MachineReleased(s.now.Mono, m.name)
	for b := range m.batches {
		b.namesReleasedMachine = true
	}
	delete(s.cluster.machines, m.name)
	s.cluster.machinesByName = nil
	s.placement.due = true
}
