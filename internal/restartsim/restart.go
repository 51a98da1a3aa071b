package restartsim

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
)

// Plan describes a restart.
type Plan struct {
	Machines int
	// Changed is the share of machines that change while no controller runs.
	Changed  float64
	Seed     uint64
	Recovery bool // the operators' setting
}

// Result is the outcome of a plan. Times count from the restart; 0 means never.
type Result struct {
	Needed, Issued   simulator.OperationCounts
	KVStoreCalls     int
	CloudCalls       int
	DirectCalls      int
	FirstStartAfter  time.Duration
	SettledAfter     time.Duration // as the scheduler reports it
	LastTeamAfter    time.Duration // when all tasks of the last team ran
	LastMachineAfter time.Duration // when the last machine was first answered, of those still there
	Violations       []string
}

// Times of a run.
const (
	fillTime            = 40 * time.Second
	outageTime          = 8 * time.Second // well within the workers' lease
	observationTime     = 90 * time.Second
	observationInterval = 100 * time.Millisecond
)

// Shares of the machines' capacity: what jobs use before the outage, and what jobs need
// that are accepted right before it.
const (
	filledShare  = 0.85
	backlogShare = 0.05
)

// Run simulates a plan: machines are filled, all controllers end, some machines change,
// and a controller comes back.
func Run(plan Plan) Result {
	c := newCluster(plan)
	slots := float64(plan.Machines) * machineCPUs / taskCPUs
	filled, backlog := int(slots*filledShare), int(slots*backlogShare)

	c.startTerm()
	c.run(2 * heartbeatInterval)
	nextJob := c.submitTasks(1, filled)
	c.applyChanges()
	c.run(c.now + fillTime)

	c.scheduler = nil
	c.submitTasks(nextJob, backlog)
	r := &restartRun{cluster: c, initialMachines: plan.Machines, needed: simulator.OperationCounts{Starts: backlog}}
	r.expectUsage(nextJob, backlog)
	r.changeMachines(plan.Changed)
	r.needed.Provisioned = machinesFor(filled+backlog) - (plan.Machines - r.terminatedMachines)
	r.needed.Provisioned = max(0, r.needed.Provisioned)
	c.run(c.now + outageTime)
	return r.restart()
}

// machinesFor is how many machines hold that many tasks.
func machinesFor(tasks int) int {
	return int(math.Ceil(float64(tasks) * taskCPUs / machineCPUs))
}

// restartRun is the part of a run from the end of the controllers.
type restartRun struct {
	*cluster
	initialMachines    int
	terminatedMachines int
	expectedCPUs       map[string]float64 // by team, when all of its tasks run
	needed             simulator.OperationCounts
	restartedAt        time.Duration
	result             Result
}

// expectUsage sets what each team uses when all of its tasks run: what it uses now, and
// its part of the backlog, whose first job is given.
func (r *restartRun) expectUsage(firstJob, backlog int) {
	r.expectedCPUs = map[string]float64{}
	for team := range teamCount {
		r.expectedCPUs[teamName(team)] = r.checker.CPUsInUse(teamName(team))
	}
	for job, left := firstJob, backlog; left > 0; job, left = job+1, left-tasksPerJob {
		r.expectedCPUs[teamName(job)] += taskCPUs * float64(min(left, tasksPerJob))
	}
}

// restart brings a controller back and observes what it does.
func (r *restartRun) restart() Result {
	r.restartedAt, r.counts = r.now, newCounts()
	for _, m := range r.machines {
		m.firstAnsweredAt = 0
	}
	r.startTerm()
	for r.now < r.restartedAt+observationTime {
		r.run(r.now + observationInterval)
		r.observe()
	}
	r.collect()
	return r.result
}

// observe notes what has been reached since the last observation.
func (r *restartRun) observe() {
	if r.result.SettledAfter == 0 {
		r.result.SettledAfter = r.settledAfter()
	}
	switch {
	case !r.allTeamsComplete():
		r.result.LastTeamAfter = 0
	case r.result.LastTeamAfter == 0:
		r.result.LastTeamAfter = r.now - r.restartedAt
	}
}

func (r *restartRun) allTeamsComplete() bool {
	const tolerance = taskCPUs / 2
	for team, expected := range r.expectedCPUs {
		if r.checker.CPUsInUse(team) < expected-tolerance {
			return false
		}
	}
	return true
}

// settledAfter is when the reconciliation was settled, or 0.
func (r *restartRun) settledAfter() time.Duration {
	for _, entered := range r.scheduler.View().ReconciliationStatus(r.schedulerNow()).History {
		if entered.Phase == reconcile.Settled.String() {
			return time.Duration(entered.AfterS * float64(time.Second))
		}
	}
	return 0
}

// collect completes the result.
func (r *restartRun) collect() {
	result := &r.result
	result.Needed, result.Issued = r.needed, r.counts.orders.Counts
	result.KVStoreCalls, result.CloudCalls, result.DirectCalls = r.counts.kvStoreCalls, r.counts.cloudCalls, r.counts.directCalls
	if r.counts.firstStartAt > 0 {
		result.FirstStartAfter = r.counts.firstStartAt - r.restartedAt
	}
	for _, name := range r.machineNames[:r.initialMachines] {
		if m := r.machines[name]; !m.terminated {
			result.LastMachineAfter = max(result.LastMachineAfter, m.firstAnsweredAt-r.restartedAt)
		}
	}
	result.Violations = r.checker.Violations
}
