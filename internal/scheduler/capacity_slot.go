package scheduler

import (
	"math"

	"github.com/yarrowgap/yarrowgap/wire"
)

// capacitySlot is free capacity that tasks are expected to get without another request: that of
// a machine that is booting, was requested, or has yet to confirm its tasks in this term, or the
// sum over several such machines of one offer.
type capacitySlot struct {
	machineType, zone    string
	spot                 bool
	machineSpec          *wire.MachineType
	cpus, gpus, memoryGB float64
}

// newCapacitySlot returns the slot of an empty machine.
func newCapacitySlot(o offer, machineSpec *wire.MachineType) *capacitySlot {
	return &capacitySlot{o.machineType, o.zone, o.spot, machineSpec, machineSpec.CPUs, machineSpec.GPUs, machineSpec.MemoryGB}
}

// reserveTask reserves capacity for one task of the job and reports whether it fits.
func (s *capacitySlot) reserveTask(job *job) bool {
	if !job.matchesOffer(offer{s.machineType, s.zone, s.spot}) {
		return false
	}
	if s.cpus+epsilon < job.spec.CPUs || s.gpus+epsilon < job.spec.GPUs || s.memoryGB+epsilon < job.spec.MemoryGB {
		return false
	}
	s.cpus -= job.spec.CPUs
	s.gpus -= job.spec.GPUs
	s.memoryGB -= job.spec.MemoryGB
	return true
}

// reserveUpTo reserves capacity for up to count tasks of the job and returns how many did not
// fit.
func (s *capacitySlot) reserveUpTo(job *job, count int) int {
	for count > 0 && s.reserveTask(job) {
		count--
	}
	return count
}

// hasAtLeast reports whether the slot's free capacity reaches the minimum.
func (s *capacitySlot) hasAtLeast(minimum resourceMinimum) bool {
	return s.cpus+epsilon >= minimum.cpus && s.memoryGB+epsilon >= minimum.memoryGB
}

// resourceMinimum holds the smallest CPU demand and the smallest memory demand of a set of tasks.
// None of the tasks fits in a slot with less free CPUs or memory.
type resourceMinimum struct{ cpus, memoryGB float64 }

// minimumOf returns the smallest demands of the unplaced tasks.
func minimumOf(unplaced []unplacedTasks) resourceMinimum {
	minimum := resourceMinimum{math.Inf(1), math.Inf(1)}
	for _, waiting := range unplaced {
		minimum.cpus = min(minimum.cpus, waiting.job.spec.CPUs)
		minimum.memoryGB = min(minimum.memoryGB, waiting.job.spec.MemoryGB)
	}
	return minimum
}
