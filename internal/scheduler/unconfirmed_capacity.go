package scheduler

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

// eachUnconfirmedMachine visits the machines that may turn out to have free capacity once
// they are confirmed, with what is free there by the records.
func (c *clusterState) eachUnconfirmedMachine(reconciler *reconcile.Reconciler, visit func(m *machine, free capacitySlot)) {
	if !reconciler.AwaitsCapacity() {
		return
	}
	for _, m := range c.sortedMachines() {
		if m.mayHaveUnconfirmedCapacity(reconciler) {
			visit(m, capacitySlot{m.machineType, m.zone, m.spot, m.machineSpec, m.machineSpec.CPUs - m.used.cpus, m.machineSpec.GPUs - m.used.gpus, m.machineSpec.MemoryGB - m.used.memoryGB})
		}
	}
}

// mayHaveUnconfirmedCapacity reports whether a heartbeat of the machine may yet show that
// it has free capacity.
func (m *machine) mayHaveUnconfirmedCapacity(reconciler *reconcile.Reconciler) bool {
	if m.confirmed || m.phase == machineReleasing || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 {
		return false
	}
	return reconciler.MayHaveCapacity(m.name, m.directCalls.consecutiveUnanswered)
}

// unconfirmedCapacity sums up the free capacity of machines that are up and not confirmed
// yet, by offer: nothing is provisioned for what fits there. Machines that have less than
// the least amounts are left out. A slot for each machine would be more exact, and would
// cost a new leader of thousands of machines much of a small CPU share.
func (c *clusterState) unconfirmedCapacity(reconciler *reconcile.Reconciler, least resourceMinimum) []*capacitySlot {
	sums := map[offer]*capacitySlot{}
	c.eachUnconfirmedMachine(reconciler, func(m *machine, free capacitySlot) {
		if m.phase != machineUp || !free.hasAtLeast(least) {
			return
		}
		key := offer{m.machineType, m.zone, m.spot}
		if sums[key] == nil {
			sums[key] = &capacitySlot{machineType: m.machineType, zone: m.zone, spot: m.spot, machineSpec: m.machineSpec}
		}
		sum := sums[key]
		sum.cpus, sum.gpus, sum.memoryGB = sum.cpus+free.cpus, sum.gpus+free.gpus, sum.memoryGB+free.memoryGB
	})
	var slots []*capacitySlot
	for _, key := range slices.SortedFunc(maps.Keys(sums), offer.compare) {
		slots = append(slots, sums[key])
	}
	return slots
}

// mayFitUnconfirmed reports whether a task of the job may fit on a machine that is not
// confirmed yet, so that nothing is preempted for it meanwhile.
func (r *placementRound) mayFitUnconfirmed(j *job) bool {
	if !r.reconciler.AwaitsCapacity() {
		return false
	}
	if r.unconfirmedCapacity == nil {
		r.unconfirmedCapacity = r.cluster.largestUnconfirmedCapacity(r.reconciler.Reconciler)
	}
	for _, slot := range r.unconfirmedCapacity {
		capacity := *slot
		if capacity.reserveTask(j) {
			return true
		}
	}
	return false
}

// largestUnconfirmedCapacity gives the largest free amount of each resource on a machine
// that is not confirmed yet, by offer.
func (c *clusterState) largestUnconfirmedCapacity(reconciler *reconcile.Reconciler) map[offer]*capacitySlot {
	largest := map[offer]*capacitySlot{}
	c.eachUnconfirmedMachine(reconciler, func(m *machine, free capacitySlot) {
		key := offer{m.machineType, m.zone, m.spot}
		known := largest[key]
		if known == nil {
			largest[key] = &free
			return
		}
		known.cpus, known.gpus, known.memoryGB = max(known.cpus, free.cpus), max(known.gpus, free.gpus), max(known.memoryGB, free.memoryGB)
	})
	return largest
}
