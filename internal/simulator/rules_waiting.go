package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// maxWaitingTime is how long a job may wait although free capacity for it exists, once fault
// injection has ended.
const maxWaitingTime = 90 * time.Second

// waitingHistory holds since when jobs have been waiting although free capacity for them exists.
type waitingHistory struct {
	fittingSince map[string]time.Duration // by job id
}

// FreeCapacity is the kind and the free capacity of a machine.
type FreeCapacity struct {
	Type, Zone           string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64
}

// CheckWaiting checks that no job waits for too long although free capacity for it exists.
// hasActiveAttempt reports whether a task of a job is on a machine, or waits there for its image.
// CheckWaiting must be called every few seconds.
func (c *RuleChecker) CheckWaiting(now time.Duration, free []FreeCapacity, hasActiveAttempt func(job string) bool) {
	for id := range c.answers.acceptedAt {
		if hasActiveAttempt(id) || !c.couldRun(c.jobs[id], free) {
			delete(c.waiting.fittingSince, id)
			continue
		}
		if _, waiting := c.waiting.fittingSince[id]; !waiting {
			c.waiting.fittingSince[id] = now
		}
		if now-c.waiting.fittingSince[id] >= maxWaitingTime {
			c.recordViolationOnce(now, RuleLeftWaiting, id, "%s waits for 90 s although it fits the free capacity", id)
		}
	}
}

// RecordLeftWaiting records that a task has been waiting since a time although a machine has free
// capacity for it.
func (c *RuleChecker) RecordLeftWaiting(now time.Duration, task, machine string, since time.Duration) {
	c.recordViolation(now, RuleLeftWaiting, "%s has been waiting since %v while %s has free capacity for it", task, since, machine)
}

// couldRun reports whether the scheduler could start a task of an accepted job that has no task on
// a machine: fault injection has ended, the job has neither ended nor been requested to be
// cancelled, and it fits the free capacity.
func (c *RuleChecker) couldRun(job *wire.Job, free []FreeCapacity) bool {
	_, ended := c.answers.endedAt[job.ID]
	if !c.faultsEnded || ended || c.cancellation.requested[job.ID] {
		return false
	}
	_, incomplete := c.firstIncompleteTask(job)
	return incomplete && c.fitsFreeCapacity(job, free)
}

// fitsFreeCapacity reports whether one task of the job, or all tasks of a gang, fit the free
// capacity and the limit of the team.
func (c *RuleChecker) fitsFreeCapacity(job *wire.Job, free []FreeCapacity) bool {
	needed := 1
	if job.Gang() {
		needed = job.Tasks
	}
	if c.placement.cpusInUse[job.Team]+float64(needed)*job.CPUs > c.quotaLimits[job.Team]+quotaTolerance {
		return false
	}
	total := 0
	for _, fittingTasks := range tasksByZone(job, free, needed) {
		if job.SameZone && fittingTasks >= needed {
			return true
		}
		total += fittingTasks
	}
	return !job.SameZone && total >= needed
}

// tasksByZone returns how many tasks of a job fit the free capacity of each zone: at most limit
// tasks per machine, and at most the number that the job allows per zone.
func tasksByZone(job *wire.Job, free []FreeCapacity, limit int) map[string]int {
	tasks := map[string]int{}
	for _, machine := range free {
		kind := machineKind{machine.Type, machine.Zone, machine.Spot}
		if !kind.allowedFor(job) {
			continue
		}
		inZone := tasks[machine.Zone] + tasksThatFit(job, machine, limit)
		tasks[machine.Zone] = min(inZone, job.MaxTasksPerZone())
	}
	return tasks
}

// tasksThatFit returns how many tasks of a job, up to a limit, fit the free capacity of a machine.
func tasksThatFit(job *wire.Job, free FreeCapacity, limit int) int {
	count := 0
	for count < limit && free.CPUs >= job.CPUs && free.GPUs >= job.GPUs && free.MemoryGB >= job.MemoryGB {
		free.CPUs -= job.CPUs
		free.GPUs -= job.GPUs
		free.MemoryGB -= job.MemoryGB
		count++
	}
	return count
}
