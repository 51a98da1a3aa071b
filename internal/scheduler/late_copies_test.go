package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// lateCopySeeds is the number of simulations for each scenario of TestLateCopiesOfStartsHaveNoEffect.
const lateCopySeeds = 6

// startPath is the way on which a start reached its worker.
type startPath string

const (
	directCall     startPath = "direct call"
	heartbeatReply startPath = "heartbeat reply"
)

// executedMessage is a message with starts that a worker has executed and answered.
type executedMessage struct {
	worker      *simulator.Worker
	path        startPath
	starts      []wire.Command
	deliverCopy func()
	copied      bool // copies were scheduled when the worker no longer listed one of the starts
}

// messageCopier delivers late copies of executed messages with starts to their workers: once a worker
// no longer lists a started attempt, and in moments that a scenario chooses.
type messageCopier struct {
	sim       *simulation
	messages  []*executedMessage
	copies    map[startPath]int // copies that had a start whose attempt the worker no longer listed
	moved     int               // such starts whose task was active on another machine
	cancelled int               // such starts of a cancelled job
	repeated  []string          // starts that were executed again
}

func newMessageCopier(sim *simulation) *messageCopier {
	return &messageCopier{sim: sim, copies: map[startPath]int{}}
}

// executed records a message that a worker has just executed. Copies of earlier messages follow if the
// worker has forgotten their attempts.
func (m *messageCopier) executed(worker *simulator.Worker, path startPath, commands []wire.Command, deliverCopy func()) {
	if m == nil {
		return
	}
	message := &executedMessage{worker: worker, path: path, deliverCopy: deliverCopy}
	for _, command := range commands {
		if command.Verb == wire.VerbRun {
			message.starts = append(message.starts, command)
		}
	}
	if len(message.starts) > 0 {
		m.messages = append(m.messages, message)
	}
	m.copyForgotten()
}

// copyForgotten schedules copies of the messages with starts that their workers no longer list.
func (m *messageCopier) copyForgotten() {
	for _, message := range m.messages {
		if message.copied || len(message.unlisted()) == 0 {
			continue
		}
		message.copied = true
		for _, delay := range []time.Duration{time.Millisecond, m.sim.randomDuration(1, 1000), m.sim.randomDuration(1000, 20_000)} {
			m.sim.after(delay, func() { m.deliver(message) })
		}
	}
}

// copyAll schedules a copy of each message so far within the given time.
func (m *messageCopier) copyAll(withinMilli int) {
	for _, message := range m.messages {
		m.sim.after(m.sim.randomDuration(0, withinMilli), func() { m.deliver(message) })
	}
}

// unlisted returns the starts whose attempts the worker does not list.
func (e *executedMessage) unlisted() (starts []wire.Command) {
	listed := map[string]bool{}
	e.worker.EachAttempt(func(task string, attempt uint64, _ bool) { listed[fmt.Sprint(task, attempt)] = true })
	for _, start := range e.starts {
		if !listed[fmt.Sprint(start.Task, start.Attempt)] {
			starts = append(starts, start)
		}
	}
	return starts
}

// deliver delivers a copy of a message. A hanging worker reads it when it resumes.
func (m *messageCopier) deliver(message *executedMessage) {
	sim, worker := m.sim, message.worker
	if worker.Terminated {
		return
	}
	if until := sim.hungUntil[worker.Name]; until > sim.now {
		sim.after(until-sim.now, func() { m.deliver(message) })
		return
	}
	worker.Advance(sim.now)
	before := message.unlisted()
	if len(before) > 0 {
		m.copies[message.path]++
	}
	for _, start := range before {
		m.countStart(worker, start)
	}
	message.deliverCopy()
	after := message.unlisted()
	for _, start := range before {
		if !slices.Contains(after, start) {
			m.repeated = append(m.repeated, fmt.Sprintf("%v: %s attempt %d by %s on %s", sim.now, start.Task, start.Attempt, message.path, worker.Name))
		}
	}
}

// countStart counts a start by what became of its task.
func (m *messageCopier) countStart(worker *simulator.Worker, start wire.Command) {
	jobID, _, _ := wire.ParseTaskName(start.Task)
	if m.sim.checker.CancellationConfirmed(jobID) {
		m.cancelled++
	}
	for name, other := range m.sim.workers {
		if _, active := other.ActiveAttempts()[start.Task]; active && name != worker.Name {
			m.moved++
			return
		}
	}
}

// lateCopyScenario is what happens between the execution of a start and its late copy.
type lateCopyScenario struct {
	name   string
	inject func(sim *simulation, copier *messageCopier)
	// isShown reports whether the simulations together had what the scenario is named for.
	isShown func(copier *messageCopier) bool
}

var lateCopyScenarios = []lateCopyScenario{
	{"after a forget", func(*simulation, *messageCopier) {}, nil},
	{"a moved task", func(sim *simulation, _ *messageCopier) {
		sim.every(10*time.Second, sim.failTasksOnHalfOfMachines)
		sim.every(10*time.Second, func() { sim.partitionedUntil[sim.randomMachine()] = sim.now + sim.randomDuration(5000, 20_000) })
	}, func(copier *messageCopier) bool { return copier.moved > 0 }},
	{"a task that is back on its machine", func(sim *simulation, _ *messageCopier) {
		// When a task of a gang fails, the others are stopped, and often placed where they were.
		for i := range 30 {
			sim.after(time.Duration(i)*2*time.Second, func() { sim.submitGang(900 + i) })
		}
		sim.every(5*time.Second, func() {
			sim.failTasksOnHalfOfMachines()
			for _, worker := range sim.workers {
				worker.KeepsOneAttempt = true
			}
		})
	}, nil},
	{"a cancelled task", func(sim *simulation, _ *messageCopier) {
		sim.every(10*time.Second, sim.cancelHalfOfServices)
	}, func(copier *messageCopier) bool { return copier.cancelled > 0 }},
	{"a new leader", func(sim *simulation, copier *messageCopier) {
		sim.every(15*time.Second, func() {
			sim.crashLeader(5 * time.Second)
			copier.copyAll(8000)
		})
	}, nil},
	{"a controller back within a second", func(sim *simulation, copier *messageCopier) {
		sim.every(8*time.Second, func() {
			for _, c := range sim.controllers {
				c.crash(sim.randomDuration(50, 950))
			}
			copier.copyAll(3000)
		})
	}, nil},
	{"a machine back within a second", func(sim *simulation, copier *messageCopier) {
		sim.every(4*time.Second, func() {
			name := sim.randomMachine()
			sim.hungUntil[name] = sim.now + sim.randomDuration(50, 950)
			if sim.rng.IntN(2) == 0 && !sim.workers[name].Terminated {
				sim.workers[name].Restart(sim.now) // as if its lease had expired before
			}
			copier.copyForgotten()
			copier.copyAll(2000)
		})
	}, nil},
}

// Guards against a task that runs on two machines, or after its cancellation: late copies of starts
// that were executed and answered reach their machines once more. No such copy is executed, whether
// the start was sent by a direct call or in the reply to a heartbeat.
func TestLateCopiesOfStartsHaveNoEffect(t *testing.T) {
	for _, scenario := range lateCopyScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			total := newMessageCopier(nil)
			for seed := range uint64(lateCopySeeds) {
				sim := newSimulation(seed)
				copier := newMessageCopier(sim)
				sim.copier = copier
				sim.maxCallDelayMS = 900 // so that some starts are sent in replies while a call is in flight
				sim.submitServicesAndArrays()
				sim.after(15*time.Second, func() { scenario.inject(sim, copier) })
				sim.run(80 * time.Second)
				if len(copier.repeated) > 0 {
					t.Fatalf("seed %d: %d late copies were executed; the first: %s", seed, len(copier.repeated), copier.repeated[0])
				}
				if len(sim.checker.Violations) > 0 {
					t.Fatalf("seed %d: %s", seed, sim.checker.Violations[0])
				}
				total.add(copier)
			}
			t.Logf("copies of starts that the worker no longer listed: %v; of tasks active elsewhere %d, of cancelled jobs %d", total.copies, total.moved, total.cancelled)
			if total.copies[directCall] == 0 || total.copies[heartbeatReply] == 0 || scenario.isShown != nil && !scenario.isShown(total) {
				t.Error("the simulations do not show the scenario")
			}
		})
	}
}

// add adds the counts of another simulation.
func (m *messageCopier) add(other *messageCopier) {
	for path, count := range other.copies {
		m.copies[path] += count
	}
	m.moved += other.moved
	m.cancelled += other.cancelled
}

// submitServicesAndArrays submits services that run until they are cancelled, and short arrays.
func (sim *simulation) submitServicesAndArrays() {
	for i := range 8 {
		sim.after(time.Duration(i)*100*time.Millisecond, func() { sim.submit(sim.serviceJob(fmt.Sprintf("run-%06d", i), 2)) })
	}
	for i := range 40 {
		sim.after(time.Duration(i)*2*time.Second, func() { sim.submitArray(100+i, 1+sim.rng.IntN(3)) })
	}
}

// randomMachine draws a machine.
func (sim *simulation) randomMachine() string {
	return sim.machineNames[sim.rng.IntN(len(sim.machineNames))]
}

// crashLeader ends the process of each controller that leads. The next process starts after d.
func (sim *simulation) crashLeader(d time.Duration) {
	for _, c := range sim.controllers {
		if c.scheduler != nil {
			c.crash(d)
		}
	}
}
