package scheduler

import (
	"maps"
	"slices"
)

// eachUnconfirmedMachine visits the machines that may turn out to have free capacity once
// they are confirmed, with what is free there by the records.
func (s *Scheduler) eachUnconfirmedMachine(visit func(m *machine, free capacitySlot)) {
	if !s.reconciler.AwaitsCapacity() {
		return
	}
	for _, m := range s.cluster.sortedMachines() {
		if s.mayHaveUnconfirmedCapacity(m) {
			visit(m, capacitySlot{m.machineType, m.zone, m.spot, m.machineSpec, m.machineSpec.CPUs - m.used.cpus, m.machineSpec.GPUs - m.used.gpus, m.machineSpec.MemoryGB - m.used.memoryGB})
		}
	}
}

// mayHaveUnconfirmedCapacity reports whether a heartbeat of the machine may yet show that
// it has free capacity.
func (s *Scheduler) mayHaveUnconfirmedCapacity(m *machine) bool {
	if m.confirmed || m.phase == machineReleasing || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 {
		return false
	}
	return s.reconciler.MayHaveCapacity(m.name, m.calls.unanswered)
}

// unconfirmedCapacity sums up the free capacity of machines that are up and not confirmed
// yet, by offer: nothing is provisioned for what fits there. Machines that have less than
// the least amounts are left out. A slot for each machine would be more exact, and would
// cost a new leader of thousands of machines much of a small CPU share.
func (s *Scheduler) unconfirmedCapacity(least resourceMinimum) []*capacitySlot {
	sums := map[offer]*capacitySlot{}
	s.eachUnconfirmedMachine(func(m *machine, free capacitySlot) {
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
func (s *Scheduler) mayFitUnconfirmed(r *placementRound, j *job) bool {
	if !s.reconciler.AwaitsCapacity() {
		return false
	}
	if r.unconfirmedCapacity == nil {
		r.unconfirmedCapacity = s.largestUnconfirmedCapacity()
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
func (s *Scheduler) largestUnconfirmedCapacity() map[offer]*capacitySlot {
	largest := map[offer]*capacitySlot{}
	s.eachUnconfirmedMachine(func(m *machine, free capacitySlot) {
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
