package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// epsilon absorbs rounding in sums of resources.
const epsilon = 1e-6

// missedHeartbeats is after how many heartbeat intervals without one a machine counts as
// silent.
const missedHeartbeats = 3

// taskResources is what a task of the job takes.
func (j *job) taskResources() resources {
	return resources{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB}
}

// totalResources is what a machine of the type has.
func totalResources(machineSpec *wire.MachineType) resources {
	return resources{machineSpec.CPUs, machineSpec.GPUs, machineSpec.MemoryGB}
}

func (r resources) plus(other resources) resources {
	return resources{r.cpus + other.cpus, r.gpus + other.gpus, r.memoryGB + other.memoryGB}
}

// within reports whether no resource exceeds that of the total.
func (r resources) within(total resources) bool {
	return r.cpus <= total.cpus+epsilon && r.gpus <= total.gpus+epsilon && r.memoryGB <= total.memoryGB+epsilon
}

// tasksThatFit is for how many tasks the free resources suffice: a whole number, which is
// negative if resources are overcommitted, and +Inf for a task that takes nothing.
func tasksThatFit(free, task resources) float64 {
	count := math.Inf(1)
	if task.cpus > 0 {
		count = min(count, math.Floor(free.cpus/task.cpus+epsilon))
	}
	if task.gpus > 0 {
		count = min(count, math.Floor(free.gpus/task.gpus+epsilon))
	}
	if task.memoryGB > 0 {
		count = min(count, math.Floor(free.memoryGB/task.memoryGB+epsilon))
	}
	return count
}

// hasCapacityFor reports whether one more task of the job fits on the machine.
func (m *machine) hasCapacityFor(j *job) bool {
	return m.used.plus(j.taskResources()).within(totalResources(m.machineSpec))
}

// missedHeartbeatsAfter is how long after its last heartbeat a machine counts as silent.
func (c *termContext) missedHeartbeatsAfter() time.Duration {
	return missedHeartbeats * c.settings.HeartbeatInterval
}

// schedulable reports whether tasks may be placed on the machine at all. One that left a
// start unanswered has to show by its fencing token or by an answer that it receives
// messages again, or else tasks placed there would wait together with that start.
func (c *clusterState) schedulable(m *machine) bool {
	if m.directCalls.consecutiveUnanswered > 0 && m.fencing.highestSeenToken < c.fencingToken(m) {
		return false
	}
	if m.phase != machineUp || !m.confirmed || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt != 0 {
		return false
	}
	return m.connectivity.unreachableSince == 0 && m.quarantine.startsPausedUntil <= c.now.Mono &&
		c.now.Mono-m.connectivity.lastHeartbeatAt < c.missedHeartbeatsAfter()
}

// canHost reports whether tasks of the job may be placed on the machine, apart from its free
// capacity and from limits on zones.
func (c *clusterState) canHost(m *machine, j *job) bool {
	return c.schedulable(m) && !m.summarize().hasUnknownTask && j.allows(m.offer())
}

// machinesWithCapacity gives the machines that may have capacity for one of the jobs' tasks:
// for the smallest amounts that any of these takes. A full cluster then costs one scan of
// the machines for each round, and not one for each job.
func (c *clusterState) machinesWithCapacity(jobs []*job) []*machine {
	if len(jobs) == 0 {
		return nil
	}
	smallest := resources{cpus: math.Inf(1), memoryGB: math.Inf(1)}
	for _, j := range jobs {
		smallest.cpus, smallest.memoryGB = min(smallest.cpus, j.spec.CPUs), min(smallest.memoryGB, j.spec.MemoryGB)
	}
	var machines []*machine
	for _, m := range c.sortedMachines() {
		if m.machineSpec != nil && m.hasAtLeast(smallest) && c.schedulable(m) && !m.summarize().hasUnknownTask {
			machines = append(machines, m)
		}
	}
	return machines
}

// hasAtLeast reports whether so much is free on the machine, GPUs aside.
func (m *machine) hasAtLeast(amount resources) bool {
	return m.used.cpus+amount.cpus <= m.machineSpec.CPUs+epsilon && m.used.memoryGB+amount.memoryGB <= m.machineSpec.MemoryGB+epsilon
}
