package restartsim

import (
	"fmt"
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Plan is what is to be played.
type Plan struct {
	Machines int
	// Changed is the share of machines that are not as they were when the controllers
	// come back.
	Changed  float64
	Seed     uint64
	Recovery bool // the operators' setting
}

// Orders counts what a restart needs, and what the leader ordered.
type Orders struct {
	Starts, Stops, Provisioned, Released int
}

// Result is what came of a plan. Times count from the restart; 0 means never.
type Result struct {
	Needed, Issued   Orders
	KVStoreCalls     int
	CloudCalls       int
	DirectCalls      int
	FirstStartAfter  time.Duration
	SettledAfter     time.Duration // by the leader's word
	LastTeamAfter    time.Duration // when the last team's tasks all ran
	LastMachineAfter time.Duration // when the last machine was answered, of those still there
	Violations       []string
}

// Times of a play.
const (
	fillTime            = 40 * time.Second
	outageTime          = 8 * time.Second // well within the workers' lease
	observationTime     = 90 * time.Second
	observationInterval = 100 * time.Millisecond
	// A late machine is back after one of these, counted from the restart: within the
	// lease, which it has from before the controllers ended.
	minReturnDelay = 8 * time.Second
	maxReturnDelay = 16 * time.Second
)

// Shares of the fleet that run tasks, and that jobs need which were accepted right before
// the controllers ended.
const (
	filledShare  = 0.85
	backlogShare = 0.05
)

// machineChange is what happened to a machine while the controllers were away.
type machineChange int

const (
	changeTerminated  machineChange = iota // it is gone, and no longer listed
	changeRestart                          // it lost its tasks with its session
	changeUnreachable                      // it comes back later than the others
	changeUnknownTask                      // it runs a task of a job that nobody knows

	changeCount
)

// unknownJobTeam has the jobs that no controller knows.
const unknownJobTeam = "stray"

// Run plays a plan: a fleet is filled, all controllers end, some machines change, and a
// controller comes back.
func Run(plan Plan) Result {
	f := newCluster(plan)
	slots := float64(plan.Machines) * machineCPUs / taskCPUs
	f.startTerm()
	f.run(2 * heartbeatInterval)
	filled := int(slots * filledShare)
	next := f.fill(1, filled)
	f.applyChanges()
	f.run(f.now + fillTime)

	f.scheduler = nil
	backlog := int(slots * backlogShare)
	f.fill(next, backlog)
	p := &restartRun{cluster: f, initialMachines: plan.Machines, needed: Orders{Starts: backlog}, expected: map[string]float64{}}
	for i := range teamCount {
		p.expected[teamName(i)] = f.checker.CPUsInUse(teamName(i))
	}
	for number, left := next, backlog; left > 0; number, left = number+1, left-jobTasks {
		p.expected[teamName(number)] += taskCPUs * float64(min(left, jobTasks))
	}
	p.changeMachines(plan.Changed)
	missing := float64(filled+backlog) - float64(plan.Machines-p.terminatedMachines)*machineCPUs/taskCPUs
	p.needed.Provisioned = int(max(0, math.Ceil(missing*taskCPUs/machineCPUs)))
	f.run(f.now + outageTime)
	return p.restart()
}

// fill submits jobs with that many tasks and returns the next job's number.
func (f *cluster) fill(number, tasks int) int {
	for ; tasks > 0; tasks -= jobTasks {
		f.submit(number, min(tasks, jobTasks))
		number++
	}
	return number
}

// restartRun is a restart that is being played.
type restartRun struct {
	*cluster
	needed             Orders
	terminatedMachines int                // machines
	initialMachines    int                // machines when the controllers ended
	expected           map[string]float64 // CPUs that each team uses when all of its tasks run
	result             Result
	restartedAt        time.Duration
}

// changeMachines changes a share of the machines and notes what that needs.
func (p *restartRun) changeMachines(share float64) {
	machines := len(p.machineNames)
	chosen := p.random.Perm(machines)[:int(math.Round(share*float64(machines)))]
	for i, index := range chosen {
		m := p.machines[p.machineNames[index]]
		switch machineChange(i) % changeCount {
		case changeTerminated:
			p.terminatedMachines++
			if lost := len(m.ActiveAttempts()); lost > 0 {
				p.needed.Starts += lost
				p.needed.Released++ // the proof that lets them start elsewhere
			}
			p.terminate(m.Name)
		case changeRestart:
			p.needed.Starts += len(m.ActiveAttempts())
			m.Restart(p.now)
		case changeUnreachable:
			m.partitionedUntil = p.now + outageTime + minReturnDelay + p.randomUpTo(maxReturnDelay-minReturnDelay)
		case changeUnknownTask:
			p.startUnknownTask(m, i)
		}
	}
}

// startUnknownTask starts a task on a machine whose job was never accepted.
func (p *restartRun) startUnknownTask(m *machine, number int) {
	j := &wire.Job{ID: fmt.Sprintf("run-9%05d", number), Team: unknownJobTeam, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1,
		CPUs: 0.01, MemoryGB: 0.1, Image: "img-0", ImageGB: 1}
	p.checker.AddJob(j)
	start := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(j.ID, 0), Attempt: uint64(1 + number)}
	m.HandleCommands(p.now, wire.DirectCommands{FencingToken: m.FencingToken, Incarnation: m.Incarnation, Commands: []wire.Command{start}})
	if _, runs := m.ActiveAttempts()[start.Task]; runs { // a full machine refuses it
		p.needed.Stops++
	}
}

// restart brings a controller back and watches until all is over.
func (p *restartRun) restart() Result {
	p.restartedAt, p.counts = p.now, newCounts()
	for _, m := range p.machines {
		m.firstAnsweredAt = 0
	}
	p.startTerm()
	for p.now < p.restartedAt+observationTime {
		p.run(p.now + observationInterval)
		p.observe()
	}
	r := &p.result
	r.Needed = p.needed
	r.Issued = Orders{Starts: p.counts.starts, Stops: p.counts.stops, Provisioned: p.counts.provisioned, Released: p.counts.releases}
	r.KVStoreCalls, r.CloudCalls, r.DirectCalls = p.counts.kvStoreCalls, p.counts.cloudCalls, p.counts.directCalls
	if p.counts.firstStart > 0 {
		r.FirstStartAfter = p.counts.firstStart - p.restartedAt
	}
	for _, name := range p.machineNames[:p.initialMachines] {
		if m := p.machines[name]; !m.terminated {
			r.LastMachineAfter = max(r.LastMachineAfter, m.firstAnsweredAt-p.restartedAt)
		}
	}
	r.Violations = p.checker.Violations
	return *r
}

// observe notes what has come to its end.
func (p *restartRun) observe() {
	if p.result.SettledAfter == 0 {
		p.result.SettledAfter = p.settledAfter()
	}
	whole := 0
	for i := range teamCount {
		if p.checker.CPUsInUse(teamName(i)) >= p.expected[teamName(i)]-taskCPUs/2 {
			whole++
		}
	}
	switch {
	case whole < teamCount:
		p.result.LastTeamAfter = 0
	case p.result.LastTeamAfter == 0:
		p.result.LastTeamAfter = p.now - p.restartedAt
	}
}

// settledAfter is when the recovery was settled, or 0.
func (p *restartRun) settledAfter() time.Duration {
	for _, entered := range p.scheduler.ReconciliationStatus(p.schedulerNow()).History {
		if entered.Phase == "settled" {
			return time.Duration(entered.AfterS * float64(time.Second))
		}
	}
	return 0
}
