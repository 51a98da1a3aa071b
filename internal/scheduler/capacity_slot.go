package scheduler

import (
	"math"

	"github.com/yarrowgap/yarrowgap/wire"
)

// capacitySlot is the free capacity of a machine that tasks may be counted on for: one
// that is booting, is being provisioned, or has yet to confirm its tasks in this term.
type capacitySlot struct {
	machineType, zone    string
	spot                 bool
	machineSpec          *wire.MachineType
	cpus, gpus, memoryGB float64
}

// newCapacitySlot is the slot of an empty machine.
func newCapacitySlot(o offer, machineSpec *wire.MachineType) *capacitySlot {
	return &capacitySlot{o.machineType, o.zone, o.spot, machineSpec, machineSpec.CPUs, machineSpec.GPUs, machineSpec.MemoryGB}
}

// reserveTask takes the capacity for one task of the job, if there is enough.
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

// reserveUpTo takes the capacity for up to count tasks of the job and returns how many
// tasks are left.
func (s *capacitySlot) reserveUpTo(job *job, count int) int {
	for count > 0 && s.reserveTask(job) {
		count--
	}
	return count
}

// hasAtLeast reports whether any of the jobs behind the minimum could have a task here.
func (s *capacitySlot) hasAtLeast(minimum resourceMinimum) bool {
	return s.cpus+epsilon >= minimum.cpus && s.memoryGB+epsilon >= minimum.memoryGB
}

// resourceMinimum is the least that any task of some jobs takes of each resource that all
// machines have: a slot with less fits none of them.
type resourceMinimum struct{ cpus, memoryGB float64 }

// minimumOf is the minimum of the jobs with unplaced tasks.
func minimumOf(unplaced []unplacedTasks) resourceMinimum {
	minimum := resourceMinimum{math.Inf(1), math.Inf(1)}
	for _, waiting := range unplaced {
		minimum.cpus = min(minimum.cpus, waiting.job.spec.CPUs)
		minimum.memoryGB = min(minimum.memoryGB, waiting.job.spec.MemoryGB)
	}
	return minimum
}
