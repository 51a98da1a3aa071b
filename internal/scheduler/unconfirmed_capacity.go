package scheduler

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

// eachUnconfirmedMachine calls visit for each machine that may prove to have free capacity once
// it is confirmed, with the capacity that is free there according to the records.
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

// mayHaveUnconfirmedCapacity reports whether a heartbeat of the machine may still show that it
// has free capacity.
func (m *machine) mayHaveUnconfirmedCapacity(reconciler *reconcile.Reconciler) bool {
	if m.confirmed || m.phase == machineReleasing || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 {
		return false
	}
	return reconciler.MayHaveCapacity(m.name, m.directCalls.consecutiveUnanswered)
}

// unconfirmedCapacity sums up, by offer, the free capacity of machines that are up and not
// confirmed yet. Nothing is provisioned for tasks that fit there. Machines with less free
// capacity than minimum are left out. One slot for each machine would be more exact, but would
// cost a new leader of thousands of machines much of a small CPU share.
func (c *clusterState) unconfirmedCapacity(reconciler *reconcile.Reconciler, minimum resourceMinimum) []*capacitySlot {
	sums := map[offer]*capacitySlot{}
	c.eachUnconfirmedMachine(reconciler, func(m *machine, free capacitySlot) {
		if m.phase != machineUp || !free.hasAtLeast(minimum) {
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

// mayFitUnconfirmed reports whether a task of the job may fit on a machine that is not confirmed
// yet. If so, nothing is preempted for the task until the machine is confirmed.
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

// largestUnconfirmedCapacity returns, by offer, the largest free amount of each resource on any
// machine that is not confirmed yet.
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
