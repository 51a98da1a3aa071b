package scheduler

import "math"

// fleetHeadroom is the headroom of the fleet: spare CPUs as the operators' policy wants
// them, and free capacity at once for the next service. That is taken to have as many
// tasks as the largest live service, and to find them in its zones, on ordinary machines,
// beside other services; work of lower priority makes way. Without it, a fleet that was
// scaled in to what its services fill would make the next one wait for a boot.
//
// Machines that are released one after the other are taken off by removeIfDispensable, so that
// together they leave enough headroom.
type fleetHeadroom struct {
	headroomShare       float64 // spare CPUs that are wanted, as a share of those in use
	usedCPUs, totalCPUs float64
	largestService      *job             // nil: there is none
	fittingByZone       map[string]int   // tasks of largestService that fit
	fittingOn           map[*machine]int // the same by machine
}

// newFleetHeadroom counts the headroom as it is now.
func (c *clusterState) newFleetHeadroom() *fleetHeadroom {
	headroom := &fleetHeadroom{
		headroomShare:  c.settings.Policy.HeadroomShare,
		largestService: c.largestService(),
		fittingByZone:  map[string]int{}, fittingOn: map[*machine]int{},
	}
	headroom.usedCPUs, headroom.totalCPUs = c.cpuUsage()
	if headroom.largestService == nil {
		return headroom
	}
	for _, m := range c.machines {
		if m.mayHostNext(headroom.largestService) {
			fitting := m.tasksBesideEqualPriority(headroom.largestService)
			headroom.fittingOn[m] = fitting
			headroom.fittingByZone[m.zone] += fitting
		}
	}
	return headroom
}

// largestService is the live service with the most CPUs in all, or nil.
func (c *clusterState) largestService() *job {
	size := func(j *job) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	var largest *job
	for _, j := range c.jobs {
		if !j.service || j.cancelled || j.archived {
			continue
		}
		if largest == nil || size(j) > size(largest) || size(j) == size(largest) && j.id < largest.id {
			largest = j
		}
	}
	return largest
}

// mayHostNext reports whether the machine may be counted on for a service like the given one.
func (m *machine) mayHostNext(service *job) bool {
	if m.spot || m.phase != machineUp || m.machineSpec == nil {
		return false
	}
	if m.cloud.failed || m.cloud.interruptionAt > 0 || m.connectivity.unreachableSince > 0 {
		return false
	}
	return service.matchesOffer(m.offer())
}

// tasksBesideEqualPriority is how many tasks of the service fit beside those of its own
// and higher priority.
func (m *machine) tasksBesideEqualPriority(service *job) int {
	cpus, memoryGB := m.machineSpec.CPUs, m.machineSpec.MemoryGB
	for _, a := range m.tasks {
		if a.job != nil && a.job.rank <= service.rank {
			cpus -= a.job.spec.CPUs
			memoryGB -= a.job.spec.MemoryGB
		}
	}
	fitting := 1 << 20 // without bounds, if the service needs neither
	if service.spec.CPUs > 0 {
		fitting = min(fitting, int(math.Floor(cpus/service.spec.CPUs+epsilon)))
	}
	if service.spec.MemoryGB > 0 {
		fitting = min(fitting, int(math.Floor(memoryGB/service.spec.MemoryGB+epsilon)))
	}
	return max(fitting, 0)
}

// fitsNextService reports whether the next service finds capacity at once.
func (h *fleetHeadroom) fitsNextService() bool {
	if h.largestService == nil {
		return true
	}
	total := 0
	for _, fitting := range h.fittingByZone {
		total += min(fitting, h.largestService.spec.MaxTasksPerZone())
	}
	return total >= h.largestService.spec.Tasks
}

// removeIfDispensable takes the machine off, if the headroom is enough without it.
func (h *fleetHeadroom) removeIfDispensable(m *machine) bool {
	cpus := 0.0
	if m.machineSpec != nil {
		cpus = m.machineSpec.CPUs
	}
	if h.totalCPUs-cpus < h.usedCPUs*(1+h.headroomShare) {
		return false
	}
	h.fittingByZone[m.zone] -= h.fittingOn[m]
	if !h.fitsNextService() {
		h.fittingByZone[m.zone] += h.fittingOn[m]
		return false
	}
	delete(h.fittingOn, m)
	h.totalCPUs -= cpus
	return true
}

// cpuUsage sums the CPUs in use and those of all machines that are there to stay.
func (c *clusterState) cpuUsage() (used, total float64) {
	for _, m := range c.machines {
		if m.machineSpec == nil || m.phase == machineReleasing || m.cloud.failed || m.cloud.interruptionAt > 0 {
			continue
		}
		total += m.machineSpec.CPUs
		used += m.used.cpus
	}
	return used, total
}
