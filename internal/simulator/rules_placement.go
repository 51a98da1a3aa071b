package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// placementHistory is where tasks are, and which have completed.
type placementHistory struct {
	machinesByTask map[string]map[string]*Worker // by task and machine
	tasksByJob     map[string]map[string]bool    // the tasks of a job that are on machines
	cpusInUse      map[string]float64            // by team
	completed      map[string]bool               // by task
}

func newPlacementHistory() placementHistory {
	return placementHistory{
		machinesByTask: map[string]map[string]*Worker{},
		tasksByJob:     map[string]map[string]bool{},
		cpusInUse:      map[string]float64{},
		completed:      map[string]bool{},
	}
}

// add notes that a task of a job is on a machine.
func (h *placementHistory) add(job *wire.Job, task string, worker *Worker) {
	if h.machinesByTask[task] == nil {
		h.machinesByTask[task] = map[string]*Worker{}
	}
	if h.machinesByTask[task][worker.Name] == nil {
		h.cpusInUse[job.Team] += job.CPUs
	}
	h.machinesByTask[task][worker.Name] = worker
	if h.tasksByJob[job.ID] == nil {
		h.tasksByJob[job.ID] = map[string]bool{}
	}
	h.tasksByJob[job.ID][task] = true
}

// remove notes that a task of a job is no longer on a machine.
func (h *placementHistory) remove(job *wire.Job, task, machine string) {
	delete(h.machinesByTask[task], machine)
	h.cpusInUse[job.Team] -= job.CPUs
	if len(h.machinesByTask[task]) == 0 {
		delete(h.machinesByTask, task)
		delete(h.tasksByJob[job.ID], task)
	}
}

// machinesOf lists the machines that have a task, in order.
func (h *placementHistory) machinesOf(task string) []string {
	return slices.Sorted(maps.Keys(h.machinesByTask[task]))
}

// othersOfJob counts the machines that have other tasks of a job, in a zone and elsewhere.
func (h *placementHistory) othersOfJob(job *wire.Job, task, zone string) (inZone, elsewhere int) {
	for other := range h.tasksByJob[job.ID] {
		if other == task {
			continue
		}
		for _, worker := range h.machinesByTask[other] {
			if worker.Zone == zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	return inZone, elsewhere
}

// TaskStarted notes that a task is on a machine from now on.
func (c *RuleChecker) TaskStarted(now time.Duration, task string, worker *Worker) {
	c.Starts++
	if c.placement.completed[task] {
		c.RepeatedStarts++
	}
	job := c.JobOfTask(task)
	c.checkRunsOnce(now, task, worker)
	c.checkPlace(now, job, task, worker)
	c.checkStartAfterCancellation(now, job, task)
	c.placement.add(job, task, worker)
	c.checkQuota(now, job.Team)
}

func (c *RuleChecker) checkRunsOnce(now time.Duration, task string, worker *Worker) {
	if machines := c.placement.machinesOf(task); len(machines) > 0 {
		c.violation(now, RuleRanTwice, "%s starts on %s while on %v", task, worker.Name, machines)
	}
}

func (c *RuleChecker) checkPlace(now time.Duration, job *wire.Job, task string, worker *Worker) {
	at := place{worker.Type, worker.Zone, worker.Spot}
	if !at.allowedFor(job) {
		c.violation(now, RuleWrongPlace, "%s on %s", task, worker.Name)
	}
	othersInZone, elsewhere := c.placement.othersOfJob(job, task, worker.Zone)
	inZone := othersInZone + 1
	if job.SameZone && elsewhere > 0 || inZone > job.MaxTasksPerZone() {
		c.violation(now, RuleWrongPlace, "%s in zone %s, %d there, %d elsewhere", task, worker.Zone, inZone, elsewhere)
	}
}

func (c *RuleChecker) checkQuota(now time.Duration, team string) {
	if used := c.placement.cpusInUse[team]; used > c.quotaLimits[team]+quotaTolerance {
		c.violation(now, RuleQuota, "team %s uses %v", team, used)
	}
}

// TaskRemoved notes that a task is no longer on a machine.
func (c *RuleChecker) TaskRemoved(task, machine string) {
	if c.placement.machinesByTask[task][machine] != nil {
		c.placement.remove(c.JobOfTask(task), task, machine)
	}
}

// TaskCompleted notes that a task has completed.
func (c *RuleChecker) TaskCompleted(task string) { c.placement.completed[task] = true }

// IsCompleted reports whether a task has completed.
func (c *RuleChecker) IsCompleted(task string) bool { return c.placement.completed[task] }

// CPUsInUse is what a team's tasks use on all machines.
func (c *RuleChecker) CPUsInUse(team string) float64 { return c.placement.cpusInUse[team] }

// PlacedTasks counts the tasks of a job that are on machines, one for each machine.
func (c *RuleChecker) PlacedTasks(job string) int {
	count := 0
	for task := range c.placement.tasksByJob[job] {
		count += len(c.placement.machinesByTask[task])
	}
	return count
}

// firstIncomplete is the index of the first task of a job that has not completed. ok is
// false if all have.
func (c *RuleChecker) firstIncomplete(job *wire.Job) (index int, ok bool) {
	for index := range job.Tasks {
		if !c.placement.completed[wire.TaskName(job.ID, index)] {
			return index, true
		}
	}
	return 0, false
}
