package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// ZoneLastSeen records when this process last had contact with a controller in a zone before this
// term. For several calls with the same zone, the latest time counts.
func (s *Scheduler) ZoneLastSeen(zone string, seenAt time.Duration) {
	s.monitor.zoneLastSeenAt[zone] = max(seenAt, s.monitor.zoneLastSeenAt[zone])
}

// zoneCounts counts the machines of a zone that are up.
type zoneCounts struct {
	machines int
	missed   int // machines whose last heartbeat is over one interval old
	overdue  int // machines whose next heartbeat is overdue
}

// zonesMissingHeartbeats returns the zones with more than one machine of which most miss their
// heartbeats now. That indicates a network partition, and a controller inside the zone may keep
// the workers' leases alive. Most machines are enough, since the cloud's list still marks
// booting machines there as up. Of machines that send heartbeats, few had their last one a whole
// interval ago, so a partition is detected long before any of its machines would be released on
// its own.
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
		if float64(counts.overdue) >= threshold { // the machines are not just between two heartbeats
			h.zonePartitionedAt[zone] = h.now.Mono
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

// zoneReleaseReason returns why a machine of a zone that misses its heartbeats must be released;
// empty if it is kept.
func (s *Scheduler) zoneReleaseReason(m *machine) ReleaseReason {
	heartbeatAge := s.monitor.zoneHeartbeatAge(m)
	switch {
	case heartbeatAge > s.monitor.zonePartitionLimit():
		return ReleaseZoneMissing
	case heartbeatAge > s.monitor.zoneReleaseDelay() && s.tasksCanMoveElsewhere(m):
		return ReleaseZoneTasksMovable
	}
	return ""
}

// zoneHeartbeatAge returns the age of a machine's last heartbeat, or the time since this process
// last reached the zone before this term if that is longer.
func (h *heartbeatMonitor) zoneHeartbeatAge(m *machine) time.Duration {
	age := h.timeSinceSeen(m.connectivity.lastHeartbeatAt)
	if seenAt, ok := h.zoneLastSeenAt[m.zone]; ok {
		age = max(age, h.now.Mono-seenAt)
	}
	return age
}

// heartbeatAgeSinceZonePartition returns how long a machine has missed heartbeats on its own.
// The time in which its whole zone missed them does not count, since the machines' heartbeats
// return one by one after a partition.
func (h *heartbeatMonitor) heartbeatAgeSinceZonePartition(m *machine) time.Duration {
	return min(h.timeSinceSeen(m.connectivity.lastHeartbeatAt), h.now.Mono-h.zonePartitionedAt[m.zone])
}

// zonePartitionLimit returns how long machines of a partitioned zone are kept at most.
func (h *heartbeatMonitor) zonePartitionLimit() time.Duration {
	return time.Duration(float64(h.settings.WorkerLease) * tuning.ZonePartitionLeaseMultiple)
}

// zoneReleaseDelay returns how long a zone may miss its heartbeats before those of its machines
// are released whose tasks can move. A controller inside the zone may keep the workers' leases
// alive, but not for longer than the cancellation bound allows. Shortly before that, starting
// the tasks elsewhere is better than having them end in the zone, where no leader can place them
// again.
func (h *heartbeatMonitor) zoneReleaseDelay() time.Duration {
	delay := h.zonePartitionLimit()
	if h.settings.CancellationBound > 0 {
		delay = min(delay, h.settings.CancellationBound-tuning.KeepaliveMargin-h.settings.HeartbeatInterval)
	}
	return max(delay, h.settings.WorkerLease-tuning.EarlyReleaseMargin)
}

// tasksCanMoveElsewhere reports whether at least half of a machine's service replicas could
// start in another zone if the machine were released. For a machine without services, it reports
// whether tasks of one of its jobs fit elsewhere. Replicas whose job allows no more tasks in the
// other zones, for example with two zones of which each may have half, are back sooner with the
// zone: its machines still exist and have the images, while new ones would have to boot first.
func (s *Scheduler) tasksCanMoveElsewhere(m *machine) bool {
	services, movable := 0, 0.0
	var sampleJob *job
	for _, a := range m.tasks {
		j := a.job
		switch {
		case j == nil:
		case j.service:
			services++
			movable += s.cluster.movableShare(j, m.zone)
		case sampleJob == nil || j.id < sampleJob.id:
			sampleJob = j
		}
	}
	if services > 0 {
		return 2*movable >= float64(services)
	}
	return sampleJob != nil && s.cluster.fitsOnAnyMachineCached(sampleJob)
}

// movableShare returns the share of a job's tasks in a zone that its spread limit allows in the
// other zones.
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
	for otherZone, isAllowed := range c.allowedZones(j) {
		if isAllowed && otherZone != zone {
			allowed += max(0, j.spec.MaxTasksPerZone()-activeByZone[otherZone])
		}
	}
	return min(1, float64(allowed)/float64(max(1, activeByZone[zone])))
}

// allowedZones returns for each zone of the cloud whether the job may use on-demand machines
// there. If this differs between the zone's machine types, the type visited last decides.
func (c *clusterState) allowedZones(j *job) map[string]bool {
	allowed := map[string]bool{}
	for _, machineSpec := range c.machineTypes {
		for _, zone := range machineSpec.Zones {
			allowed[zone] = j.matchesOffer(offer{machineType: machineSpec.Name, zone: zone})
		}
	}
	return allowed
}
