package scheduler

import (
	"math"
)

// fleetHeadroom says whether enough room would be left without a machine: spare capacity
// as the operators want it, and room at once for the next service, of as many
// tasks as the largest live service job has, in its zones, on ordinary machines
// that no other service fills (lower work there makes way). Without the latter, a
// fleet that is economised down to what its services fill makes the next one wait
// for a boot.
type fleetHeadroom struct {
	scheduler           *Scheduler
	usedCPUs, totalCPUs float64
	largestService      *job // the largest service, or nil
	fittingByZone       map[string]int
	fittingOn           map[*machine]int
}

func (s *Scheduler) newFleetHeadroom() *fleetHeadroom {
	headroom := &fleetHeadroom{scheduler: s, fittingByZone: map[string]int{}, fittingOn: map[*machine]int{}}
	headroom.usedCPUs, headroom.totalCPUs = s.cpuUsage()
	size := func(service *job) float64 { return float64(service.spec.Tasks) * service.spec.CPUs }
	for _, service := range s.cluster.jobs {
		if service.service && !service.cancelled && !service.archived && (headroom.largestService == nil || size(service) > size(headroom.largestService) || size(service) == size(headroom.largestService) && service.id < headroom.largestService.id) {
			headroom.largestService = service
		}
	}
	if headroom.largestService == nil {
		return headroom
	}
	service := headroom.largestService
	for _, m := range s.cluster.machines {
		if m.spot || m.phase != machineUp || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 || m.connectivity.unreachableSince > 0 || !service.allowsMachine(m.machineType, m.zone, m.spot) {
			continue
		}
		cpus, memoryGB := m.machineSpec.CPUs, m.machineSpec.MemoryGB
		for _, a := range m.tasks {
			if a.job != nil && a.job.rank <= service.rank {
				cpus -= a.job.spec.CPUs
				memoryGB -= a.job.spec.MemoryGB
			}
		}
		fitting := 1 << 20
		if service.spec.CPUs > 0 {
			fitting = min(fitting, int(math.Floor(cpus/service.spec.CPUs+epsilon)))
		}
		if service.spec.MemoryGB > 0 {
			fitting = min(fitting, int(math.Floor(memoryGB/service.spec.MemoryGB+epsilon)))
		}
		headroom.fittingOn[m] = max(fitting, 0)
		headroom.fittingByZone[m.zone] += max(fitting, 0)
	}
	return headroom
}

// fitsNextService reports whether the next service finds room.
func (s *fleetHeadroom) fitsNextService() bool {
	if s.largestService == nil {
		return true
	}
	total := 0
	for _, n := range s.fittingByZone {
		total += min(n, s.largestService.spec.MaxTasksPerZone())
	}
	return total >= s.largestService.spec.Tasks
}

// removeIfSpare takes a machine away, if enough is left then.
func (s *fleetHeadroom) removeIfSpare(m *machine) bool {
	cpus := 0.0
	if m.machineSpec != nil {
		cpus = m.machineSpec.CPUs
	}
	if s.totalCPUs-cpus < s.usedCPUs*(1+s.scheduler.settings.Policy.HeadroomShare) {
		return false
	}
	s.fittingByZone[m.zone] -= s.fittingOn[m]
	if !s.fitsNextService() {
		s.fittingByZone[m.zone] += s.fittingOn[m]
		return false
	}
	delete(s.fittingOn, m)
	s.totalCPUs -= cpus
	return true
}

// cpuUsage sums what is in use and what there is, in CPUs.
func (s *Scheduler) cpuUsage() (used, total float64) {
	for _, m := range s.cluster.machines {
		if m.machineSpec == nil || m.phase == machineReleasing || m.cloud.failed || m.cloud.interruptionAt > 0 {
			continue
		}
		total += m.machineSpec.CPUs
		used += m.used.cpus
	}
	return used, total
}
