package scheduler

import "math"

// fleetHeadroom compares the fleet's headroom with what it needs: the spare CPUs of the operators'
// policy, and free capacity for the next service to start without waiting. The next service is
// assumed to have the size and the constraints of the largest live service. Its tasks go to
// on-demand machines, beside other tasks of the same or a higher priority; tasks of lower
// priority can be preempted. Without this headroom, a fleet scaled in to what its services need
// would make the next service wait for a machine to boot.
//
// Machines that are released in one pass are subtracted with removeIfUnneeded, so that the ones
// that stay have enough headroom together.
type fleetHeadroom struct {
	headroomShare       float64 // wanted spare CPUs, as a share of those in use
	usedCPUs, totalCPUs float64
	largestService      *job             // nil if there is no live service
	fittingByZone       map[string]int   // tasks of largestService that fit
	fittingByMachine    map[*machine]int // tasks of largestService that fit
}

// newFleetHeadroom counts the present headroom of the fleet.
func (c *clusterState) newFleetHeadroom() *fleetHeadroom {
	headroom := &fleetHeadroom{
		headroomShare:  c.settings.Policy.HeadroomShare,
		largestService: c.largestService(),
		fittingByZone:  map[string]int{}, fittingByMachine: map[*machine]int{},
	}
	headroom.usedCPUs, headroom.totalCPUs = c.cpuUsage()
	if headroom.largestService == nil {
		return headroom
	}
	for _, m := range c.machines {
		if m.canHostService(headroom.largestService) {
			fitting := m.serviceTaskCapacity(headroom.largestService)
			headroom.fittingByMachine[m] = fitting
			headroom.fittingByZone[m.zone] += fitting
		}
	}
	return headroom
}

// largestService returns the live service whose tasks take the most CPUs together, or nil.
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

// canHostService reports whether the machine counts as capacity for a service with the
// constraints of the given one.
func (m *machine) canHostService(service *job) bool {
	if m.spot || m.phase != machineUp || m.machineSpec == nil {
		return false
	}
	if m.cloud.failed || m.cloud.interruptionAt > 0 || m.connectivity.unreachableSince > 0 {
		return false
	}
	return service.matchesOffer(m.offer())
}

// serviceTaskCapacity returns how many tasks of the service fit on the machine beside its tasks
// of the same or a higher priority. It ignores GPUs.
func (m *machine) serviceTaskCapacity(service *job) int {
	cpus, memoryGB := m.machineSpec.CPUs, m.machineSpec.MemoryGB
	for _, a := range m.tasks {
		if a.job != nil && a.job.rank <= service.rank {
			cpus -= a.job.spec.CPUs
			memoryGB -= a.job.spec.MemoryGB
		}
	}
	fitting := 1 << 20 // unlimited, if the service demands neither CPUs nor memory
	if service.spec.CPUs > 0 {
		fitting = min(fitting, int(math.Floor(cpus/service.spec.CPUs+epsilon)))
	}
	if service.spec.MemoryGB > 0 {
		fitting = min(fitting, int(math.Floor(memoryGB/service.spec.MemoryGB+epsilon)))
	}
	return max(fitting, 0)
}

// fitsNextService reports whether all tasks of the next service would find capacity at once.
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

// removeIfUnneeded subtracts the machine if the headroom is sufficient without it, and reports
// whether it is.
func (h *fleetHeadroom) removeIfUnneeded(m *machine) bool {
	cpus := 0.0
	if m.machineSpec != nil {
		cpus = m.machineSpec.CPUs
	}
	if h.totalCPUs-cpus < h.usedCPUs*(1+h.headroomShare) {
		return false
	}
	h.fittingByZone[m.zone] -= h.fittingByMachine[m]
	if !h.fitsNextService() {
		h.fittingByZone[m.zone] += h.fittingByMachine[m]
		return false
	}
	delete(h.fittingByMachine, m)
	h.totalCPUs -= cpus
	return true
}

// cpuUsage sums the CPUs in use and the CPUs of all machines, without machines that have
// failed, are being released or are about to be interrupted.
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
