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
	Starts, Stops, Rented, Released int
}

// Result is what came of a plan. Times count from the restart; 0 means never.
type Result struct {
	Needed, Given Orders
	StateCalls    int
	CloudCalls    int
	DirectCalls   int
	FirstStart    time.Duration
	Settled       time.Duration // by the leader's word
	WorstTeam     time.Duration // when the last team's tasks all ran
	WorstMachine  time.Duration // when the last machine was answered, of those still there
	Broken        []string
}

// Times of a play.
const (
	fillFor   = 40 * time.Second
	awayFor   = 8 * time.Second // well within the workers' lease
	playFor   = 90 * time.Second
	lookEvery = 100 * time.Millisecond
	// A late machine is back after one of these, counted from the restart: within the
	// lease, which it has from before the controllers ended.
	lateLeast = 8 * time.Second
	lateMost  = 16 * time.Second
)

// Shares of the fleet that run tasks, and that jobs need which were accepted right before
// the controllers ended.
const (
	filledShare  = 0.85
	backlogShare = 0.05
)

// change is what happened to a machine while the controllers were away.
type change int

const (
	changeGone    change = iota // it is gone, and no longer listed
	changeRestart               // it lost its tasks with its session
	changeLate                  // it comes back later than the others
	changeStray                 // it runs a task of a job that nobody knows

	changeCount
)

// strayTeam has the jobs that no controller knows.
const strayTeam = "stray"

// Play plays a plan: a fleet is filled, all controllers end, some machines change, and a
// controller comes back.
func Play(plan Plan) Result {
	f := newFleet(plan)
	slots := float64(plan.Machines) * machineCPUs / taskCPUs
	f.lead()
	f.run(2 * reportEvery)
	filled := int(slots * filledShare)
	next := f.fill(1, filled)
	f.watch()
	f.run(f.now + fillFor)

	f.leader = nil
	backlog := int(slots * backlogShare)
	f.fill(next, backlog)
	p := &play{fleet: f, present: plan.Machines, needed: Orders{Starts: backlog}, expected: map[string]float64{}}
	for i := range teamCount {
		p.expected[teamName(i)] = f.rules.InUse(teamName(i))
	}
	for number, left := next, backlog; left > 0; number, left = number+1, left-jobTasks {
		p.expected[teamName(number)] += taskCPUs * float64(min(left, jobTasks))
	}
	p.change(plan.Changed)
	missing := float64(filled+backlog) - float64(plan.Machines-p.gone)*machineCPUs/taskCPUs
	p.needed.Rented = int(max(0, math.Ceil(missing*taskCPUs/machineCPUs)))
	f.run(f.now + awayFor)
	return p.restart()
}

// fill submits jobs with that many tasks and returns the next job's number.
func (f *fleet) fill(number, tasks int) int {
	for ; tasks > 0; tasks -= jobTasks {
		f.submit(number, min(tasks, jobTasks))
		number++
	}
	return number
}

// play is a restart that is being played.
type play struct {
	*fleet
	needed   Orders
	gone     int                // machines
	present  int                // machines when the controllers ended
	expected map[string]float64 // CPUs that each team uses when all of its tasks run
	result   Result
	begun    time.Duration
}

// change changes a share of the machines and notes what that needs.
func (p *play) change(share float64) {
	machines := len(p.names)
	chosen := p.random.Perm(machines)[:int(math.Round(share*float64(machines)))]
	for i, index := range chosen {
		m := p.machines[p.names[index]]
		switch change(i) % changeCount {
		case changeGone:
			p.gone++
			if lost := len(m.Running()); lost > 0 {
				p.needed.Starts += lost
				p.needed.Released++ // the proof that lets them start elsewhere
			}
			p.remove(m.Name)
		case changeRestart:
			p.needed.Starts += len(m.Running())
			m.Restart(p.now)
		case changeLate:
			m.silentTo = p.now + awayFor + lateLeast + p.upTo(lateMost-lateLeast)
		case changeStray:
			p.stray(m, i)
		}
	}
}

// stray starts a task on a machine whose job was never accepted.
func (p *play) stray(m *machine, number int) {
	j := &wire.Job{ID: fmt.Sprintf("run-9%05d", number), Team: strayTeam, Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 1,
		CPUs: 0.01, MemoryGB: 0.1, Image: "img-0", ImageGB: 1}
	p.rules.Submit(j)
	start := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(j.ID, 0), Attempt: uint64(1 + number)}
	m.Commands(p.now, wire.DirectCommands{Token: m.Token, Session: m.Session, Commands: []wire.Command{start}})
	if _, runs := m.Running()[start.Task]; runs { // a full machine refuses it
		p.needed.Stops++
	}
}

// restart brings a controller back and watches until all is over.
func (p *play) restart() Result {
	p.begun, p.counts = p.now, newCounts()
	for _, m := range p.machines {
		m.heardAt = 0
	}
	p.lead()
	for p.now < p.begun+playFor {
		p.run(p.now + lookEvery)
		p.look()
	}
	r := &p.result
	r.Needed = p.needed
	r.Given = Orders{Starts: p.counts.starts, Stops: p.counts.stops, Rented: p.counts.rentedMachines, Released: p.counts.releases}
	r.StateCalls, r.CloudCalls, r.DirectCalls = p.counts.state, p.counts.cloud, p.counts.direct
	if p.counts.firstStart > 0 {
		r.FirstStart = p.counts.firstStart - p.begun
	}
	for _, name := range p.names[:p.present] {
		if m := p.machines[name]; !m.gone {
			r.WorstMachine = max(r.WorstMachine, m.heardAt-p.begun)
		}
	}
	r.Broken = p.rules.Broken
	return *r
}

// look notes what has come to its end.
func (p *play) look() {
	if p.result.Settled == 0 {
		p.result.Settled = p.settledAfter()
	}
	whole := 0
	for i := range teamCount {
		if p.rules.InUse(teamName(i)) >= p.expected[teamName(i)]-taskCPUs/2 {
			whole++
		}
	}
	switch {
	case whole < teamCount:
		p.result.WorstTeam = 0
	case p.result.WorstTeam == 0:
		p.result.WorstTeam = p.now - p.begun
	}
}

// settledAfter is when the recovery was settled, or 0.
func (p *play) settledAfter() time.Duration {
	for _, entered := range p.leader.RecoveryStatus(p.clock()).History {
		if entered.Phase == "settled" {
			return time.Duration(entered.AfterS * float64(time.Second))
		}
	}
	return 0
}
