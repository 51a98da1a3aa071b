package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// waitingLimit is how long a job may wait beside free capacity that it fits, when no
// faults are injected any more.
const waitingLimit = 90 * time.Second

// waitingHistory is since when jobs wait beside free capacity.
type waitingHistory struct {
	since map[string]time.Duration // by job
}

// FreeCapacity is the free capacity of a machine.
type FreeCapacity struct {
	Type, Zone           string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64
}

// CheckWaiting checks that no job waits for too long beside free capacity. placed reports
// whether a task of a job is on a machine, or waits there for its image. It is to be
// called every few seconds.
func (c *RuleChecker) CheckWaiting(now time.Duration, free []FreeCapacity, placed func(job string) bool) {
	for id := range c.answers.acceptedAt {
		if placed(id) || !c.couldRun(c.jobs[id], free) {
			delete(c.waiting.since, id)
			continue
		}
		if _, waiting := c.waiting.since[id]; !waiting {
			c.waiting.since[id] = now
		}
		if now-c.waiting.since[id] >= waitingLimit {
			c.violationOnce(now, RuleLeftWaiting, id, "%s for 90 s beside free capacity that fits", id)
		}
	}
}

// RecordLeftWaiting records that a task waits although a machine has free capacity for it.
func (c *RuleChecker) RecordLeftWaiting(now time.Duration, task, machine string, since time.Duration) {
	c.violation(now, RuleLeftWaiting, "%s waits since %v while %s has free capacity", task, since, machine)
}

// couldRun reports whether nothing but the scheduler keeps an accepted job, of which
// nothing is on a machine, from running.
func (c *RuleChecker) couldRun(job *wire.Job, free []FreeCapacity) bool {
	_, ended := c.answers.endedAt[job.ID]
	if !c.faultsEnded || ended || c.cancellation.requested[job.ID] {
		return false
	}
	_, incomplete := c.firstIncomplete(job)
	return incomplete && c.fits(job, free)
}

// fits reports whether a task of the job fits free capacity and its team's limit; of a
// gang, all tasks have to.
func (c *RuleChecker) fits(job *wire.Job, free []FreeCapacity) bool {
	needed := 1
	if job.Gang() {
		needed = job.Tasks
	}
	if c.placement.cpusInUse[job.Team]+float64(needed)*job.CPUs > c.quotaLimits[job.Team]+quotaTolerance {
		return false
	}
	total := 0
	for _, tasks := range tasksByZone(job, free, needed) {
		if job.SameZone && tasks >= needed {
			return true
		}
		total += tasks
	}
	return !job.SameZone && total >= needed
}

// tasksByZone counts the tasks of a job that fit each zone's free capacity, up to a limit
// for each machine and to the job's own limit for each zone.
func tasksByZone(job *wire.Job, free []FreeCapacity, limit int) map[string]int {
	tasks := map[string]int{}
	for _, machine := range free {
		at := place{machine.Type, machine.Zone, machine.Spot}
		if !at.allowedFor(job) {
			continue
		}
		inZone := tasks[machine.Zone] + tasksThatFit(job, machine, limit)
		tasks[machine.Zone] = min(inZone, job.MaxTasksPerZone())
	}
	return tasks
}

// tasksThatFit counts the tasks of a job that fit a machine's free capacity, up to a limit.
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
