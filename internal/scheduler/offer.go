package scheduler

import (
	"cmp"
	"math"
	"strings"

	"github.com/yarrowgap/yarrowgap/wire"
)

// offer is a kind of machine that the cloud may provision.
type offer struct {
	machineType, zone string
	spot              bool
}

// Weights of an offer's cost.
const (
	// maxTasksPerMachine bounds how far the size of a machine counts.
	maxTasksPerMachine = 1000
	// zoneBalanceCost is added for each machine that a zone has, where cost is to be
	// minimized: it decides between offers of the same price.
	zoneBalanceCost = 1e-4
	// zoneMachineCost is the same where service comes before cost.
	zoneMachineCost = 0.01
	// spotCost is added for spot machines where service comes before cost, since they may
	// be interrupted.
	spotCost = 1
	// taskCapacityGain is taken off for each task that fits on one machine, up to
	// maxCountedTasks of them, where service comes before cost.
	taskCapacityGain = 0.001
	maxCountedTasks  = 50
)

// compare orders offers by type and zone, ordinary machines before spot ones.
func (o offer) compare(other offer) int {
	spot := 0
	switch {
	case o.spot && !other.spot:
		spot = 1
	case !o.spot && other.spot:
		spot = -1
	}
	return cmp.Or(strings.Compare(o.machineType, other.machineType), strings.Compare(o.zone, other.zone), spot)
}

// bestOffer chooses what to provision for a job, or, without one, as headroom. It reports
// whether there is any offer to be had.
func (a *autoscaler) bestOffer(cluster *clusterState, job *job, machinesByZone map[string]int) (offer, bool) {
	var attemptsByZone map[string]int
	if job != nil {
		attemptsByZone = job.attemptsByZone()
	}
	best, bestCost := offer{}, math.Inf(1)
	for _, machineSpec := range cluster.sortedMachineTypes() {
		capacity := machineSpec.CPUs
		if job != nil {
			capacity = tasksPerMachine(machineSpec, job)
		}
		for _, zone := range machineSpec.Zones {
			for _, spot := range []bool{false, true} {
				o := offer{machineSpec.Name, zone, spot}
				if spot && !a.settings.Policy.UseSpot || !a.available(o) {
					continue
				}
				if job != nil && !job.allowsOffer(o, machineSpec, attemptsByZone) {
					continue
				}
				if cost := a.offerCost(o, machineSpec, capacity, machinesByZone[zone]); cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// allowsOffer reports whether a task of the job could run on a machine of the offer.
func (j *job) allowsOffer(o offer, machineSpec *wire.MachineType, attemptsByZone map[string]int) bool {
	return machineSpec.Fits(&j.spec) && j.matchesOffer(o) && j.allowsZone(attemptsByZone, o.zone)
}

// tasksPerMachine is how many tasks of the job fit on one empty machine of the type.
func tasksPerMachine(machineSpec *wire.MachineType, job *job) float64 {
	tasks := math.Inf(1)
	if job.spec.CPUs > 0 {
		tasks = min(tasks, math.Floor(machineSpec.CPUs/job.spec.CPUs+epsilon))
	}
	if job.spec.MemoryGB > 0 {
		tasks = min(tasks, math.Floor(machineSpec.MemoryGB/job.spec.MemoryGB+epsilon))
	}
	return max(1, min(tasks, maxTasksPerMachine))
}

// offerCost is lower for better offers. Capacity is that of one machine, in tasks or CPUs.
// Where cost is to be minimized, the price of that capacity decides. Otherwise service
// comes first: ordinary machines stay, large ones serve more, and zones are kept even.
func (a *autoscaler) offerCost(o offer, machineSpec *wire.MachineType, capacity float64, machinesInZone int) float64 {
	if a.settings.MinimizeCost {
		price := machineSpec.Price
		if o.spot {
			price = machineSpec.SpotPrice
		}
		return price/capacity + zoneBalanceCost*float64(machinesInZone)
	}
	cost := float64(machinesInZone) * zoneMachineCost
	if o.spot {
		cost += spotCost
	}
	return cost - taskCapacityGain*min(capacity, maxCountedTasks)
}
