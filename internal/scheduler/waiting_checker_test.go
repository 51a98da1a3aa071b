package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	// maxWaitWithFreeCapacity is the longest wait of a job while a machine has capacity for it.
	maxWaitWithFreeCapacity = 90 * time.Second
	// maxTimeWithoutAnswer is the time after which a job counts as forgotten if no poll of the
	// job is answered.
	maxTimeWithoutAnswer = 75 * time.Second
)

// waitingChecker checks rules that hold for every single job: no job waits for long while a
// machine has free capacity for it, and a controller answers polls of every job.
type waitingChecker struct {
	sim           *simulation
	from          time.Duration                       // start of the checks
	answeredAt    map[string]time.Duration            // by job: time of the last answered poll
	capacitySince map[string]map[string]time.Duration // by job and machine with capacity for the job
	seenAttempts  map[observedAttempt]bool
	endedJobs     map[string]bool // by job
}

// observedAttempt is an attempt that a worker has listed.
type observedAttempt struct {
	task   string
	number uint64
}

// observedTasks summarizes the tasks on all machines at one time.
type observedTasks struct {
	zoneByTask    map[string]string   // by task: zone of a task that has not exited
	usedByMachine map[string]wire.Job // by machine: sum of its tasks' CPUs and memory
	cpusByTeam    map[string]float64  // by team: sum of its tasks' CPUs
	newlyStarted  map[string]bool     // by job: an attempt is seen for the first time
}

// checkWaitingJobs runs a waitingChecker every second from the given time on, which must be
// after the end of all faults.
func (sim *simulation) checkWaitingJobs(from time.Duration) {
	c := &waitingChecker{
		sim: sim, from: from, answeredAt: map[string]time.Duration{}, capacitySince: map[string]map[string]time.Duration{},
		seenAttempts: map[observedAttempt]bool{}, endedJobs: map[string]bool{},
	}
	sim.after(from-sim.now, func() { sim.every(time.Second, c.check) })
}

func (c *waitingChecker) check() {
	tasks := c.observeTasks()
	for _, j := range c.sim.jobs {
		if !c.endedJobs[j.ID] {
			c.checkJob(j, tasks)
		}
	}
}

func (c *waitingChecker) observeTasks() *observedTasks {
	tasks := &observedTasks{zoneByTask: map[string]string{}, usedByMachine: map[string]wire.Job{}, cpusByTeam: map[string]float64{}, newlyStarted: map[string]bool{}}
	for _, machine := range c.sim.machineNames {
		used := wire.Job{}
		c.sim.workers[machine].EachAttempt(func(task string, number uint64, exited bool) {
			j := c.sim.checker.JobOfTask(task)
			if a := (observedAttempt{task, number}); !c.seenAttempts[a] {
				c.seenAttempts[a], tasks.newlyStarted[j.ID] = true, true
			}
			if !exited {
				used.CPUs, used.MemoryGB = used.CPUs+j.CPUs, used.MemoryGB+j.MemoryGB
				tasks.cpusByTeam[j.Team] += j.CPUs
				tasks.zoneByTask[task] = c.sim.workers[machine].Zone
			}
		})
		tasks.usedByMachine[machine] = used
	}
	return tasks
}

func (c *waitingChecker) checkJob(j *wire.Job, tasks *observedTasks) {
	state := c.sim.pollJob(j.ID)
	c.endedJobs[j.ID] = state == wire.JobDone || state == wire.JobCancelled
	if state != "" {
		c.answeredAt[j.ID] = c.sim.now
	} else if c.sim.now-max(c.from, c.answeredAt[j.ID]) > maxTimeWithoutAnswer {
		c.sim.checker.Violations = append(c.sim.checker.Violations, fmt.Sprintf("%v forgotten: %s", c.sim.now, j.ID))
	}
	waitingTask, tasksByZone := "", map[string]int{}
	for i := range j.Tasks {
		task := wire.TaskName(j.ID, i)
		if zone, onMachine := tasks.zoneByTask[task]; onMachine {
			tasksByZone[zone]++
		} else if !c.sim.checker.IsCompleted(task) && waitingTask == "" {
			waitingTask = task
		}
	}
	var machines []string
	underQuotaLimit := tasks.cpusByTeam[j.Team]+j.CPUs <= c.sim.checker.QuotaLimit(j.Team)
	if state == wire.JobPending && waitingTask != "" && !tasks.newlyStarted[j.ID] && underQuotaLimit {
		machines = c.machinesThatFit(j, tasksByZone, tasks.usedByMachine)
	}
	c.checkWait(j, waitingTask, machines)
}

// checkWait records for how long each machine has had capacity for the task without
// interruption. The time counts per machine because under load some machine has capacity at any
// time, between the end of a task and the start of the next one.
func (c *waitingChecker) checkWait(j *wire.Job, task string, machines []string) {
	since := map[string]time.Duration{}
	for _, machine := range machines {
		since[machine] = c.sim.now
		if at, ok := c.capacitySince[j.ID][machine]; ok {
			since[machine] = at
		}
		if c.sim.now-since[machine] > maxWaitWithFreeCapacity {
			c.sim.checker.RecordLeftWaiting(c.sim.now, task, machine, since[machine])
			since[machine] = c.sim.now
		}
	}
	c.capacitySince[j.ID] = since
}

// machinesThatFit returns the machines that could run one more task of a job. tasksByZone
// counts the tasks that the job has on machines already.
func (c *waitingChecker) machinesThatFit(j *wire.Job, tasksByZone map[string]int, usedByMachine map[string]wire.Job) (machines []string) {
	if j.Gang() && len(tasksByZone) == 0 {
		return nil // capacity for one task is not enough
	}
	for _, name := range c.sim.machineNames {
		worker := c.sim.workers[name]
		if worker.Terminated || worker.Spot && !j.Spot || j.Zone != "" && j.Zone != worker.Zone || tasksByZone[worker.Zone] >= j.MaxTasksPerZone() {
			continue
		}
		if j.SameZone && len(tasksByZone) > 0 && tasksByZone[worker.Zone] == 0 {
			continue
		}
		if usedByMachine[name].CPUs+j.CPUs <= worker.MachineType.CPUs && usedByMachine[name].MemoryGB+j.MemoryGB <= worker.MachineType.MemoryGB {
			machines = append(machines, name)
		}
	}
	return machines
}
