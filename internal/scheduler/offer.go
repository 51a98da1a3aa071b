package scheduler

import (
	"cmp"
	"math"
	"strings"

	"github.com/yarrowgap/yarrowgap/wire"
)

// offer is a kind of machine that the cloud can provision: a machine type in a zone, either
// spot or on-demand.
type offer struct {
	machineType, zone string
	spot              bool
}

// Weights of offerCost.
const (
	// maxOfferTasks limits the tasks of a job that are counted as the capacity of one
	// machine.
	maxOfferTasks = 1000
	// zoneBalanceCost is the cost per machine in the offer's zone where cost is minimized. It is
	// small, so that it decides only between offers of about the same price.
	zoneBalanceCost = 1e-4
	// zoneMachineCost is the cost per machine in the offer's zone where service comes before
	// cost.
	zoneMachineCost = 0.01
	// spotOfferCost is the cost of a spot machine, which can be interrupted, where service comes
	// before cost.
	spotOfferCost = 1
	// taskCapacityDiscount is subtracted for each task that fits on one machine (for headroom,
	// for each of its CPUs), up to maxDiscountedTasks, where service comes before cost.
	taskCapacityDiscount = 0.001
	maxDiscountedTasks   = 50
)

// compare orders offers by machine type, zone, and on-demand before spot.
func (o offer) compare(other offer) int {
	spotOrder := 0
	switch {
	case o.spot && !other.spot:
		spotOrder = 1
	case !o.spot && other.spot:
		spotOrder = -1
	}
	return cmp.Or(strings.Compare(o.machineType, other.machineType), strings.Compare(o.zone, other.zone), spotOrder)
}

// bestOffer returns the available offer with the lowest cost for a job or, if job is nil, for
// headroom. It reports false if there is none.
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

// tasksPerMachine returns how many tasks of the job fit on an empty machine of the type by CPUs
// and memory, between 1 and maxOfferTasks.
func tasksPerMachine(machineSpec *wire.MachineType, job *job) float64 {
	tasks := math.Inf(1)
	if job.spec.CPUs > 0 {
		tasks = min(tasks, math.Floor(machineSpec.CPUs/job.spec.CPUs+epsilon))
	}
	if job.spec.MemoryGB > 0 {
		tasks = min(tasks, math.Floor(machineSpec.MemoryGB/job.spec.MemoryGB+epsilon))
	}
	return max(1, min(tasks, maxOfferTasks))
}

// offerCost returns the cost of an offer; the offer with the lowest cost is the best. The
// capacity is that of one machine, in tasks or CPUs. Where cost is minimized, it is the price
// of a unit of capacity. Otherwise service comes first: on-demand machines are preferred since
// they are not interrupted, large ones since they hold more tasks, and zones with few machines
// to balance them.
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
		cost += spotOfferCost
	}
	return cost - taskCapacityDiscount*min(capacity, maxDiscountedTasks)
}
