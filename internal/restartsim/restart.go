package restartsim

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
)

// Plan describes a simulated restart of all controllers.
type Plan struct {
	Machines int // number of machines
	// ChangedShare is the share of the machines that change while no controller runs, from 0 to 1.
	ChangedShare float64
	Seed         uint64
	Recovery     bool // the operators' setting recovery
}

// Result is the outcome of a simulated restart. Operations and calls are counted from the restart
// on. Times are relative to the restart; 0 means never.
type Result struct {
	Needed, Issued     simulator.OperationCounts // numbers of operations
	KVStoreCalls       int
	CloudCalls         int
	DirectCalls        int
	FirstStartAfter    time.Duration // when the first start was issued
	SettledAfter       time.Duration // when the scheduler reported its reconciliation as settled
	TeamsCompleteAfter time.Duration // when the tasks of all teams were running
	// MachinesAnsweredAfter is when the last of the initial machines first handled a direct call or
	// had a heartbeat accepted. Terminated machines and those that never did are ignored.
	MachinesAnsweredAfter time.Duration
	Violations            []string
}

// Durations of the parts of a simulation.
const (
	fillTime            = 40 * time.Second // time for the tasks to start before the outage
	outageTime          = 8 * time.Second  // much shorter than the workers' lease
	observationTime     = 90 * time.Second // from the restart to the end of the simulation
	observationInterval = 100 * time.Millisecond
)

// Shares of the machines' capacity: filledShare is used by tasks that run before the outage, and
// backlogShare is needed by tasks of jobs that are accepted at its start.
const (
	filledShare  = 0.85
	backlogShare = 0.05
)

// Run simulates a plan: tasks start on the machines, all controllers end, some machines change, and
// a controller starts again.
func Run(plan Plan) Result {
	c := newCluster(plan)
	taskSlots := float64(plan.Machines) * machineCPUs / taskCPUs
	filledTasks, backlogTasks := int(taskSlots*filledShare), int(taskSlots*backlogShare)

	c.startTerm()
	c.runUntil(2 * heartbeatInterval)
	nextJobNumber := c.submitTasks(1, filledTasks)
	c.applyChanges()
	c.runUntil(c.now + fillTime)

	c.scheduler = nil
	c.submitTasks(nextJobNumber, backlogTasks)
	r := &restartRun{cluster: c, initialMachines: plan.Machines, needed: simulator.OperationCounts{Starts: backlogTasks}}
	r.setExpectedUsage(nextJobNumber, backlogTasks)
	r.changeMachines(plan.ChangedShare)
	r.needed.Provisioned = machinesNeeded(filledTasks+backlogTasks) - (plan.Machines - r.terminatedMachines)
	r.needed.Provisioned = max(0, r.needed.Provisioned)
	c.runUntil(c.now + outageTime)
	return r.restart()
}

// machinesNeeded returns the number of machines that a number of tasks needs.
func machinesNeeded(tasks int) int {
	return int(math.Ceil(float64(tasks) * taskCPUs / machineCPUs))
}

// restartRun is the part of a simulation that begins when the controllers end.
type restartRun struct {
	*cluster
	initialMachines    int
	terminatedMachines int
	expectedCPUs       map[string]float64 // by team, when all tasks of the team run
	needed             simulator.OperationCounts
	restartedAt        time.Duration
	result             Result
}

// setExpectedUsage sets expectedCPUs to the CPUs in use now plus those of the backlog. The jobs of
// the backlog are numbered from firstJobNumber.
func (r *restartRun) setExpectedUsage(firstJobNumber, backlogTasks int) {
	r.expectedCPUs = map[string]float64{}
	for team := range teamCount {
		r.expectedCPUs[teamName(team)] = r.checker.CPUsInUse(teamName(team))
	}
	for jobNumber, remaining := firstJobNumber, backlogTasks; remaining > 0; jobNumber, remaining = jobNumber+1, remaining-tasksPerJob {
		r.expectedCPUs[teamName(jobNumber)] += taskCPUs * float64(min(remaining, tasksPerJob))
	}
}

// restart starts a controller, observes the cluster for observationTime and returns the result.
func (r *restartRun) restart() Result {
	r.restartedAt, r.counts = r.now, newCounts()
	for _, m := range r.machines {
		m.firstAnsweredAt = 0
	}
	r.startTerm()
	for r.now < r.restartedAt+observationTime {
		r.runUntil(r.now + observationInterval)
		r.observe()
	}
	r.completeResult()
	return r.result
}

// observe records when the reconciliation settled and when all teams became complete. If a team is
// no longer complete, the latter is reset.
func (r *restartRun) observe() {
	if r.result.SettledAfter == 0 {
		r.result.SettledAfter = r.settledAfter()
	}
	switch {
	case !r.allTeamsComplete():
		r.result.TeamsCompleteAfter = 0
	case r.result.TeamsCompleteAfter == 0:
		r.result.TeamsCompleteAfter = r.now - r.restartedAt
	}
}

// allTeamsComplete reports whether each team uses its expected CPUs, with a tolerance of half a
// task.
func (r *restartRun) allTeamsComplete() bool {
	const tolerance = taskCPUs / 2
	for team, expected := range r.expectedCPUs {
		if r.checker.CPUsInUse(team) < expected-tolerance {
			return false
		}
	}
	return true
}

// settledAfter returns the time from the start of the reconciliation until it settled, or 0 if it
// has not settled.
func (r *restartRun) settledAfter() time.Duration {
	for _, entry := range r.scheduler.View().ReconciliationStatus(r.schedulerNow()).History {
		if entry.Phase == reconcile.Settled.String() {
			return time.Duration(entry.AfterS * float64(time.Second))
		}
	}
	return 0
}

// completeResult sets the counts and the remaining times of the result.
func (r *restartRun) completeResult() {
	result := &r.result
	result.Needed, result.Issued = r.needed, r.counts.operations.Counts
	result.KVStoreCalls, result.CloudCalls, result.DirectCalls = r.counts.kvStoreCalls, r.counts.cloudCalls, r.counts.directCalls
	if r.counts.firstStartAt > 0 {
		result.FirstStartAfter = r.counts.firstStartAt - r.restartedAt
	}
	for _, name := range r.machineNames[:r.initialMachines] {
		if m := r.machines[name]; !m.terminated {
			result.MachinesAnsweredAfter = max(result.MachinesAnsweredAfter, m.firstAnsweredAt-r.restartedAt)
		}
	}
	result.Violations = r.checker.Violations
}
