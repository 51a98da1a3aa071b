package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// ZoneLastSeen tells a new leader when its process last reached a peer in a zone.
func (s *Scheduler) ZoneLastSeen(zone string, at time.Duration) {
	s.monitor.zoneHeartbeatAt[zone] = max(at, s.monitor.zoneHeartbeatAt[zone])
}

// zoneCounts counts the machines of a zone that are up.
type zoneCounts struct {
	machines int
	missed   int // last heartbeat over an interval ago
	overdue  int // next heartbeat overdue
}

// zonesMissingHeartbeats are the zones with several machines of which most miss their
// heartbeats now. That is the network, and a controller inside may keep the workers' leases
// alive. Not all have to miss them: the cloud's list still brings up machines there that
// were booting. Of machines that send heartbeats, few had their last one a whole interval
// ago, so this tells long before any of them would be released by itself.
func (h *heartbeatMonitor) zonesMissingHeartbeats(machines []*machine) map[string]bool {
	zones := map[string]*zoneCounts{}
	for _, m := range machines {
		if m.phase == machineUp {
			h.countInZone(zones, m)
		}
	}
	missing := map[string]bool{}
	for zone, counts := range zones {
		threshold := tuning.ZonePartitionShare * float64(counts.machines)
		if counts.machines <= 1 || float64(counts.missed) < threshold {
			continue
		}
		missing[zone] = true
		if float64(counts.overdue) >= threshold { // not just between two heartbeats
			h.zoneMissingAt[zone] = h.now.Mono
		}
	}
	return missing
}

func (h *heartbeatMonitor) countInZone(zones map[string]*zoneCounts, m *machine) {
	counts := zones[m.zone]
	if counts == nil {
		counts = &zoneCounts{}
		zones[m.zone] = counts
	}
	counts.machines++
	heartbeatAge := h.now.Mono - m.connectivity.lastHeartbeatAt
	if heartbeatAge > h.settings.HeartbeatInterval {
		counts.missed++
	}
	if heartbeatAge > h.heartbeatOverdueAfter() {
		counts.overdue++
	}
}

// zoneReleaseReason is why a machine of a zone that misses its heartbeats has to be
// released; empty if it has not.
func (s *Scheduler) zoneReleaseReason(m *machine) ReleaseReason {
	heartbeatAge := s.monitor.zoneHeartbeatAge(m)
	switch {
	case heartbeatAge > s.monitor.zonePartitionLimit():
		return ReleaseZoneMissing
	case heartbeatAge > s.monitor.zoneReleaseDelay() && s.canMoveElsewhere(m):
		return ReleaseZoneTasksMovable
	}
	return ""
}

// zoneHeartbeatAge is the age of a machine's last heartbeat, or of the last one from its
// zone that followers had before this term if that is longer ago.
func (h *heartbeatMonitor) zoneHeartbeatAge(m *machine) time.Duration {
	age := h.age(m.connectivity.lastHeartbeatAt)
	if at, ok := h.zoneHeartbeatAt[m.zone]; ok {
		age = max(age, h.now.Mono-at)
	}
	return age
}

// ownHeartbeatAge is how long a machine has missed heartbeats by itself. After a partition,
// heartbeats of a zone's machines come back one by one: what the zone missed does not count.
func (h *heartbeatMonitor) ownHeartbeatAge(m *machine) time.Duration {
	return min(h.age(m.connectivity.lastHeartbeatAt), h.now.Mono-h.zoneMissingAt[m.zone])
}

// zonePartitionLimit is how long a partitioned zone keeps its machines in any case.
func (h *heartbeatMonitor) zonePartitionLimit() time.Duration {
	return time.Duration(float64(h.settings.WorkerLease) * tuning.ZonePartitionLeaseMultiple)
}

// zoneReleaseDelay is how long a zone may miss its heartbeats before machines are released
// whose tasks can move. A controller inside may keep the workers' leases alive, but not for
// longer than the bound on cancellations allows. Shortly before that, tasks had better
// start elsewhere than end there with nobody to place them again.
func (h *heartbeatMonitor) zoneReleaseDelay() time.Duration {
	delay := h.zonePartitionLimit()
	if h.settings.CancellationBound > 0 {
		delay = min(delay, h.settings.CancellationBound-tuning.KeepaliveMargin-h.settings.HeartbeatInterval)
	}
	return max(delay, h.settings.WorkerLease-tuning.EarlyReleaseMargin)
}

// canMoveElsewhere reports whether most of what runs on a machine could start in another
// zone if the machine were released. Replicas whose job may have no more tasks elsewhere,
// as with two zones of which each may have half, are back sooner with the zone: their
// machines are there then, with their images, while new ones would have to boot first.
func (s *Scheduler) canMoveElsewhere(m *machine) bool {
	services, movable := 0, 0.0
	var other *job
	for _, a := range m.tasks {
		j := a.job
		switch {
		case j == nil:
		case j.service:
			services++
			movable += s.cluster.movableShare(j, m.zone)
		case other == nil || j.id < other.id:
			other = j
		}
	}
	if services > 0 {
		return 2*movable >= float64(services)
	}
	return other != nil && s.cluster.fitsSomewhereCached(other)
}

// movableShare is the share of a job's tasks in a zone that its spread allows in the others.
func (c *clusterState) movableShare(j *job, zone string) float64 {
	if j.spec.Zone != "" || j.spec.SameZone {
		return 0
	}
	activeByZone := map[string]int{}
	for _, attempts := range j.active {
		for _, a := range attempts {
			activeByZone[a.machine.zone]++
		}
	}
	allowed := 0
	for other, allows := range c.zonesAllowed(j) {
		if allows && other != zone {
			allowed += max(0, j.spec.MaxTasksPerZone()-activeByZone[other])
		}
	}
	return min(1, float64(allowed)/float64(max(1, activeByZone[zone])))
}

// zonesAllowed tells for each zone of the cloud whether the job may use ordinary machines
// there. Where a zone's machine types differ in that, the type visited last decides.
func (c *clusterState) zonesAllowed(j *job) map[string]bool {
	allowed := map[string]bool{}
	for _, machineSpec := range c.machineTypes {
		for _, zone := range machineSpec.Zones {
			allowed[zone] = j.allows(offer{machineType: machineSpec.Name, zone: zone})
		}
	}
	return allowed
}
