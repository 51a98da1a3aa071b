package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Costs of placing a task on a machine. The unit is a second by which the task is delayed, or an
// equivalent disadvantage.
const (
	quarantineCost    = 300.0 // the machine is quarantined, since unrelated jobs fail on it
	failedMachineCost = 60.0  // a task of the job has failed on the machine

	replicaCost      = 2.0 // per replica of the same service on the machine
	replicaZoneCost  = 0.3 // per replica of the same service in the zone, if the service has a zone rule
	serviceTaskCost  = 0.3 // per task of any service on the machine, unless minimizing cost
	firstServiceCost = 1.0 // a service on a machine without services, when minimizing cost
	serviceSpotCost  = 5.0 // a service on a spot machine

	spotDiscount = 0.5 // subtracted for a job other than a service on a spot machine, when minimizing cost

	freeCPUsCost           = 0.05 // times the fraction of CPUs that stays free; breaks ties
	minimizingFreeCPUsCost = 0.5  // replaces freeCPUsCost when minimizing cost

	// minFetchGBPerS is the lowest image fetch rate assumed for a machine, in GB/s. It also
	// replaces an unknown rate.
	minFetchGBPerS = 0.01
)

// costModel computes the cost of placing a task on a machine, in seconds of delay or their
// equivalent.
type costModel struct {
	now          time.Duration
	minimizeCost bool // machine prices matter more than spreading; see Settings.MinimizeCost
}

func (c *termContext) newCostModel() costModel {
	return costModel{now: c.now.Mono, minimizeCost: c.settings.MinimizeCost}
}

// cost returns the cost of placing one more task of the job on the machine. The terms are always
// added in the same order, so that rounding gives equal machines equal costs.
func (c costModel) cost(j *job, m *machine, spread taskSpread) float64 {
	cost := fetchCost(j, m)
	if m.quarantine.until > c.now {
		cost += quarantineCost
	}
	if j.retry.failedMachines[m.name] {
		cost += failedMachineCost
	}
	if j.service {
		cost += replicaCost*float64(spread.byMachine[m]) + replicaZoneCost*float64(spread.byZone[m.zone])
		cost += c.sharingCost(m)
	}
	if m.spot {
		cost += c.spotCost(j)
	}
	return cost + c.freeCapacityCost(j, m)
}

// fetchSeconds returns how long the machine takes to fetch the job's image, without other
// concurrent fetches.
func (m *machine) fetchSeconds(j *job) float64 {
	return j.spec.ImageGB / max(m.machineSpec.FetchGBPerS, minFetchGBPerS)
}

// fetchCost estimates how long a task of the job would wait for its image on the machine, in
// seconds.
func fetchCost(j *job, m *machine) float64 {
	if j.spec.ImageGB <= 0 || m.hasImage(j.spec.Image) {
		return 0
	}
	fetching := m.summarize().fetching
	seconds := m.fetchSeconds(j)
	others := len(fetching)
	if _, shared := fetching[j.spec.Image]; shared {
		if !j.service {
			return seconds / 2 // expected remainder of a fetch in progress
		}
		// Services get no discount for a fetch in progress. Otherwise all replicas would
		// gather on the fetching machine, and after its loss no machine would have the image.
		others--
	}
	return seconds * float64(1+others)
}

// sharingCost returns the cost of placing a service on a machine because of the services there.
// It spreads services over machines, so that the loss of one machine affects few of them. When
// minimizing cost, services share machines instead: a machine that runs a service may have no
// capacity for large tasks.
func (c costModel) sharingCost(m *machine) float64 {
	services := m.summarize().services
	switch {
	case !c.minimizeCost:
		return serviceTaskCost * float64(services)
	case services == 0:
		return firstServiceCost
	}
	return 0
}

// spotCost returns the cost of placing a task on a spot machine. When the cloud takes the
// machine, the task loses its progress.
func (c costModel) spotCost(j *job) float64 {
	switch {
	case j.service:
		return serviceSpotCost
	case c.minimizeCost:
		return -spotDiscount
	}
	return tuning.ExpectedSpotLoss * j.taskDuration()
}

// freeCapacityCost returns the cost of the CPUs that the task leaves free on the machine. It packs
// tasks: one full machine is better than two half-full ones.
func (c costModel) freeCapacityCost(j *job, m *machine) float64 {
	free := 1 - (m.used.cpus+j.spec.CPUs)/m.machineSpec.CPUs
	if c.minimizeCost {
		return minimizingFreeCPUsCost * free
	}
	return freeCPUsCost * free
}
