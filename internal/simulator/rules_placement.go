package simulator

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// placementHistory holds which tasks are on which machines, and which tasks have completed.
type placementHistory struct {
	machinesByTask map[string]map[string]*Worker // by task and machine name
	tasksByJob     map[string]map[string]bool    // tasks on machines, by job id and task
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

// add records that a task of a job is on a machine.
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

// remove records that a task of a job is no longer on a machine.
func (h *placementHistory) remove(job *wire.Job, task, machine string) {
	delete(h.machinesByTask[task], machine)
	h.cpusInUse[job.Team] -= job.CPUs
	if len(h.machinesByTask[task]) == 0 {
		delete(h.machinesByTask, task)
		delete(h.tasksByJob[job.ID], task)
	}
}

// machinesWithTask returns the sorted names of the machines that have a task.
func (h *placementHistory) machinesWithTask(task string) []string {
	return slices.Sorted(maps.Keys(h.machinesByTask[task]))
}

// countOtherTasks counts the placements of a job's other tasks on machines in a zone and in other
// zones.
func (h *placementHistory) countOtherTasks(job *wire.Job, task, zone string) (inZone, elsewhere int) {
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

// TaskStarted records that a task is on a machine from now on, and checks that it may be there.
func (c *RuleChecker) TaskStarted(now time.Duration, task string, worker *Worker) {
	c.Starts++
	if c.placement.completed[task] {
		c.RepeatedStarts++
	}
	job := c.JobOfTask(task)
	c.checkRunsOnce(now, task, worker)
	c.checkPlacement(now, job, task, worker)
	c.checkStartAfterCancellation(now, job, task)
	c.placement.add(job, task, worker)
	c.checkQuota(now, job.Team)
}

func (c *RuleChecker) checkRunsOnce(now time.Duration, task string, worker *Worker) {
	if machines := c.placement.machinesWithTask(task); len(machines) > 0 {
		c.recordViolation(now, RuleRanTwice, "%s starts on %s while on %v", task, worker.Name, machines)
	}
}

func (c *RuleChecker) checkPlacement(now time.Duration, job *wire.Job, task string, worker *Worker) {
	kind := machineKind{worker.Type, worker.Zone, worker.Spot}
	if !kind.allowedFor(job) {
		c.recordViolation(now, RuleWrongPlace, "%s on %s, which its job does not allow", task, worker.Name)
	}
	othersInZone, elsewhere := c.placement.countOtherTasks(job, task, worker.Zone)
	inZone := othersInZone + 1
	if job.SameZone && elsewhere > 0 || inZone > job.MaxTasksPerZone() {
		c.recordViolation(now, RuleWrongPlace, "%s in zone %s, with %d tasks of its job in this zone and %d in others", task, worker.Zone, inZone, elsewhere)
	}
}

func (c *RuleChecker) checkQuota(now time.Duration, team string) {
	if used := c.placement.cpusInUse[team]; used > c.quotaLimits[team]+quotaTolerance {
		c.recordViolation(now, RuleQuota, "team %s uses %v CPUs", team, used)
	}
}

// TaskRemoved records that a task is no longer on a machine.
func (c *RuleChecker) TaskRemoved(task, machine string) {
	if c.placement.machinesByTask[task][machine] != nil {
		c.placement.remove(c.JobOfTask(task), task, machine)
	}
}

// TaskCompleted records that a task has completed.
func (c *RuleChecker) TaskCompleted(task string) { c.placement.completed[task] = true }

// IsCompleted reports whether a task has completed.
func (c *RuleChecker) IsCompleted(task string) bool { return c.placement.completed[task] }

// CPUsInUse returns the number of CPUs that a team's tasks use on all machines.
func (c *RuleChecker) CPUsInUse(team string) float64 { return c.placement.cpusInUse[team] }

// PlacedTasks returns the number of a job's tasks on machines. A task that is on several machines
// counts once for each of them.
func (c *RuleChecker) PlacedTasks(job string) int {
	count := 0
	for task := range c.placement.tasksByJob[job] {
		count += len(c.placement.machinesByTask[task])
	}
	return count
}

// firstIncompleteTask returns the index of the first task of a job that has not completed. ok is
// false if all tasks have completed.
func (c *RuleChecker) firstIncompleteTask(job *wire.Job) (index int, ok bool) {
	for index := range job.Tasks {
		if !c.placement.completed[wire.TaskName(job.ID, index)] {
			return index, true
		}
	}
	return 0, false
}
