package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// epsilon is the tolerance for rounding errors in sums of resources.
const epsilon = 1e-6

// missedHeartbeatLimit is the number of heartbeat intervals without a heartbeat after which a
// machine gets no new tasks.
const missedHeartbeatLimit = 3

// taskResources returns the resources that a task of the job uses.
func (j *job) taskResources() resources {
	return resources{j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB}
}

// totalResources returns the resources of an empty machine of the type.
func totalResources(machineSpec *wire.MachineType) resources {
	return resources{machineSpec.CPUs, machineSpec.GPUs, machineSpec.MemoryGB}
}

func (r resources) plus(other resources) resources {
	return resources{r.cpus + other.cpus, r.gpus + other.gpus, r.memoryGB + other.memoryGB}
}

// within reports whether each resource is at most that of total.
func (r resources) within(total resources) bool {
	return r.cpus <= total.cpus+epsilon && r.gpus <= total.gpus+epsilon && r.memoryGB <= total.memoryGB+epsilon
}

// tasksThatFit returns how many tasks fit in the free resources. The result is a whole number. It
// is negative if resources are overcommitted and +Inf for a task that uses no resources.
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

// heartbeatTimeout returns how long a machine may be without a heartbeat before it gets no new
// tasks.
func (c *termContext) heartbeatTimeout() time.Duration {
	return missedHeartbeatLimit * c.settings.HeartbeatInterval
}

// schedulable reports whether tasks may be placed on the machine at all. A machine that left a
// direct call unanswered is excluded until a reply, or a heartbeat with the current fencing token,
// shows that messages reach it again. Otherwise the starts of new tasks might not reach it either.
func (c *clusterState) schedulable(m *machine) bool {
	if m.directCalls.consecutiveUnanswered > 0 && m.fencing.highestSeenToken < c.fencingToken(m) {
		return false
	}
	if m.phase != machineUp || !m.confirmed || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt != 0 {
		return false
	}
	return m.connectivity.unreachableSince == 0 && m.quarantine.placementPausedUntil <= c.now.Mono &&
		c.now.Mono-m.connectivity.lastHeartbeatAt < c.heartbeatTimeout()
}

// canHost reports whether tasks of the job may be placed on the machine, regardless of its free
// capacity and of the job's zone rules. A machine with a task of unknown size is excluded.
func (c *clusterState) canHost(m *machine, j *job) bool {
	return c.schedulable(m) && !m.summarize().hasUnknownTask && j.matchesOffer(m.offer())
}

// machinesWithCapacity returns the machines that may have capacity for a task of any of the jobs.
// It compares free CPUs and memory with the smallest amounts that any of the tasks uses. In a full
// cluster, a round then scans the machines once instead of once for each job.
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
		if m.machineSpec != nil && m.hasFree(smallest) && c.schedulable(m) && !m.summarize().hasUnknownTask {
			machines = append(machines, m)
		}
	}
	return machines
}

// hasFree reports whether the machine has the given CPUs and memory free. It ignores GPUs.
func (m *machine) hasFree(amount resources) bool {
	return m.used.cpus+amount.cpus <= m.machineSpec.CPUs+epsilon && m.used.memoryGB+amount.memoryGB <= m.machineSpec.MemoryGB+epsilon
}
