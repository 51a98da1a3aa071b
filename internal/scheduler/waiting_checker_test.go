package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	maxWaitBesideCapacity = 90 * time.Second // no job waits for longer while a machine that fits has free capacity
	maxUnanswered         = 75 * time.Second // a job counts as forgotten if no poll of it is answered for longer
)

// waitingChecker checks rules that hold for each job, however the others fare: none waits
// beside free capacity for long, and each is known to some controller.
type waitingChecker struct {
	sim           *simulation
	from          time.Duration
	answeredAt    map[string]time.Duration            // by job: the last poll that was answered
	capacitySince map[string]map[string]time.Duration // by job and machine with capacity for it
	seen          map[observedAttempt]bool
	ended         map[string]bool // jobs
}

// observedAttempt is an attempt that a worker has listed.
type observedAttempt struct {
	task   string
	number uint64
}

// observedTasks is what is on the machines at one moment.
type observedTasks struct {
	zoneOf  map[string]string   // by task that has not exited
	used    map[string]wire.Job // by machine: the sum of CPUs and memory
	cpusOf  map[string]float64  // by team
	started map[string]bool     // jobs of which an attempt is seen for the first time
}

// checkWaitingJobs applies the waitingChecker from a moment on, when all faults are over.
func (sim *simulation) checkWaitingJobs(from time.Duration) {
	c := &waitingChecker{
		sim: sim, from: from, answeredAt: map[string]time.Duration{}, capacitySince: map[string]map[string]time.Duration{},
		seen: map[observedAttempt]bool{}, ended: map[string]bool{},
	}
	sim.after(from-sim.now, func() { sim.every(time.Second, c.check) })
}

func (c *waitingChecker) check() {
	tasks := c.observe()
	for _, j := range c.sim.jobs {
		if !c.ended[j.ID] {
			c.checkJob(j, tasks)
		}
	}
}

func (c *waitingChecker) observe() *observedTasks {
	tasks := &observedTasks{zoneOf: map[string]string{}, used: map[string]wire.Job{}, cpusOf: map[string]float64{}, started: map[string]bool{}}
	for _, machine := range c.sim.machineNames {
		used := wire.Job{}
		c.sim.workers[machine].EachAttempt(func(task string, number uint64, exited bool) {
			j := c.sim.checker.JobOfTask(task)
			if a := (observedAttempt{task, number}); !c.seen[a] {
				c.seen[a], tasks.started[j.ID] = true, true
			}
			if !exited {
				used.CPUs, used.MemoryGB = used.CPUs+j.CPUs, used.MemoryGB+j.MemoryGB
				tasks.cpusOf[j.Team] += j.CPUs
				tasks.zoneOf[task] = c.sim.workers[machine].Zone
			}
		})
		tasks.used[machine] = used
	}
	return tasks
}

func (c *waitingChecker) checkJob(j *wire.Job, tasks *observedTasks) {
	state := c.sim.pollJob(j.ID)
	c.ended[j.ID] = state == wire.JobDone || state == wire.JobCancelled
	if state != "" {
		c.answeredAt[j.ID] = c.sim.now
	} else if c.sim.now-max(c.from, c.answeredAt[j.ID]) > maxUnanswered {
		c.sim.checker.Violations = append(c.sim.checker.Violations, fmt.Sprintf("%v forgotten: %s", c.sim.now, j.ID))
	}
	waitingTask, tasksByZone := "", map[string]int{}
	for i := range j.Tasks {
		task := wire.TaskName(j.ID, i)
		if zone, there := tasks.zoneOf[task]; there {
			tasksByZone[zone]++
		} else if !c.sim.checker.IsCompleted(task) && waitingTask == "" {
			waitingTask = task
		}
	}
	var machines []string
	underQuotaLimit := tasks.cpusOf[j.Team]+j.CPUs <= c.sim.checker.QuotaLimit(j.Team)
	if state == wire.JobPending && waitingTask != "" && !tasks.started[j.ID] && underQuotaLimit {
		machines = c.machinesThatFit(j, tasksByZone, tasks.used)
	}
	c.checkWait(j, waitingTask, machines)
}

// checkWait notes which machines have capacity for the task, and for how long each has had
// it without a break: under load some machine has capacity at any moment, between the end
// of a task and the start of the next.
func (c *waitingChecker) checkWait(j *wire.Job, task string, machines []string) {
	since := map[string]time.Duration{}
	for _, machine := range machines {
		since[machine] = c.sim.now
		if at, ok := c.capacitySince[j.ID][machine]; ok {
			since[machine] = at
		}
		if c.sim.now-since[machine] > maxWaitBesideCapacity {
			c.sim.checker.RecordLeftWaiting(c.sim.now, task, machine, since[machine])
			since[machine] = c.sim.now
		}
	}
	c.capacitySince[j.ID] = since
}

// machinesThatFit lists the machines that could take one more task of the job, which has
// tasks in the zones already.
func (c *waitingChecker) machinesThatFit(j *wire.Job, tasksByZone map[string]int, used map[string]wire.Job) (machines []string) {
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
		if used[name].CPUs+j.CPUs <= worker.MachineType.CPUs && used[name].MemoryGB+j.MemoryGB <= worker.MachineType.MemoryGB {
			machines = append(machines, name)
		}
	}
	return machines
}
