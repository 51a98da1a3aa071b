package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Costs of placing a task, in seconds that it loses or their worth.
const (
	quarantineCost    = 300.0 // on a machine where unrelated jobs fail
	failedMachineCost = 60.0  // on a machine where a task of the job has failed

	replicaCost      = 2.0 // for each replica of the same service on the machine
	replicaZoneCost  = 0.3 // for each replica of the same service in the zone
	otherServiceCost = 0.3 // for each task of any service on the machine
	emptyMachineCost = 1.0 // for a service on a machine without one, where price counts
	serviceSpotCost  = 5.0 // for a service on a spot machine

	spotDiscount = 0.5 // for other work on a spot machine, where price counts

	freeCPUsCost     = 0.05 // for the share of the machine that is still free: breaks ties
	paidFreeCPUsCost = 0.5  // the same where price counts

	// minFetchRate replaces a missing rate at which a machine fetches images, in GB/s.
	minFetchRate = 0.01
)

// costModel rates machines for tasks: what a task loses there, in seconds or their worth.
type costModel struct {
	now          time.Duration
	minimizeCost bool // price counts
}

func (c *termContext) newCostModel() costModel {
	return costModel{now: c.now.Mono, minimizeCost: c.settings.MinimizeCost}
}

// cost is that of one more task of the job on the machine. The terms are always added in
// this order, so that equal machines have equal costs.
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

// fetchSeconds is how long the machine takes to fetch the job's image alone.
func (m *machine) fetchSeconds(j *job) float64 {
	return j.spec.ImageGB / max(m.machineSpec.FetchGBPerS, minFetchRate)
}

// fetchCost is how long the task waits for its image.
func fetchCost(j *job, m *machine) float64 {
	if j.spec.ImageGB <= 0 || m.hasImage(j.spec.Image) {
		return 0
	}
	fetching := m.summarize().fetching
	seconds := m.fetchSeconds(j)
	others := len(fetching)
	if _, shared := fetching[j.spec.Image]; shared {
		if !j.service {
			return seconds / 2 // the fetch is under way
		}
		// Not for services: if all replicas of a service gathered where its image is
		// being fetched, no other machine would have the image when that one is lost.
		others--
	}
	return seconds * float64(1+others)
}

// sharingCost keeps services apart, so that the loss of one machine costs little. Where
// price counts they share machines instead: each machine with a service on it is lost for
// large tasks.
func (c costModel) sharingCost(m *machine) float64 {
	services := m.summarize().services
	switch {
	case !c.minimizeCost:
		return otherServiceCost * float64(services)
	case services == 0:
		return emptyMachineCost
	}
	return 0
}

// spotCost is the expected loss on a spot machine, which may be taken: with it, all that
// a task has done so far.
func (c costModel) spotCost(j *job) float64 {
	switch {
	case j.service:
		return serviceSpotCost
	case c.minimizeCost:
		return -spotDiscount
	}
	return tuning.ExpectedSpotLoss * j.taskDuration()
}

// freeCapacityCost packs tasks: a full machine is better than two that are half full.
func (c costModel) freeCapacityCost(j *job, m *machine) float64 {
	free := 1 - (m.used.cpus+j.spec.CPUs)/m.machineSpec.CPUs
	if c.minimizeCost {
		return paidFreeCPUsCost * free
	}
	return freeCPUsCost * free
}
