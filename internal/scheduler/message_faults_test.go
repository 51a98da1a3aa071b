package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// messageFaultSeeds is the number of simulations for each combination of faults.
const messageFaultSeeds = 25

// No rule is broken when faults of heartbeats, commands and machines coincide at random times,
// and after the faults every accepted array completes and every service has all of its tasks
// running again. internal/mutation removes the safeguards and checks that this test fails then.
func TestCombinedMessageFaults(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		prepare func(sim *simulation)
		inject  func(sim *simulation, leader *simController)
	}{
		{"workers open no connections, while direct commands reach them", nil,
			func(sim *simulation, leader *simController) {
				for _, name := range sim.machineNames {
					if sim.rng.IntN(4) > 0 {
						sim.heartbeatsBlockedUntil[name] = sim.now + sim.randomDuration(5000, 40_000)
					}
				}
				sim.delayRate = 0.1
				sim.after(sim.randomDuration(0, 10_000), sim.cancelHalfOfServices)
				if sim.rng.IntN(2) == 0 {
					sim.after(sim.randomDuration(0, 10_000), func() { leader.crash(sim.randomDuration(100, 3000)) })
				}
			}},
		{"an old heartbeat reaches every controller just as a new leader begins", nil,
			func(sim *simulation, leader *simController) {
				sim.replayHeartbeatsToNewLeader(leader, 0, 20)
			}},
		{"a heartbeat is held back until a new leader has acted", nil,
			func(sim *simulation, leader *simController) {
				sim.replayHeartbeatsToNewLeader(leader, 300, 6000)
			}},
		{"an old heartbeat arrives after newer ones, from an earlier incarnation or attempt too", nil,
			func(sim *simulation, _ *simController) {
				for _, name := range sim.machineNames {
					if sim.rng.IntN(3) == 0 {
						sim.hungUntil[name] = sim.now + sim.randomDuration(3000, 20_000) // some for longer than their lease, so that a new incarnation begins
					}
				}
				for range 40 {
					sim.after(sim.randomDuration(0, 30_000), func() { sim.duplicateHeartbeats(sim.randomDuration(500, 30_000)) })
				}
				sim.after(sim.randomDuration(0, 20_000), sim.cancelHalfOfServices)
			}},
		{"a command or its answer is delayed, and the machine hangs and resumes", nil,
			func(sim *simulation, _ *simController) {
				sim.delayRate, sim.duplicateRate, sim.maxCallDelayMS = 0.2, 0.4, 700
				sim.failTasksOnHalfOfMachines()
				for i := range 12 {
					sim.after(sim.randomDuration(0, 20_000), func() { sim.submitGang(900 + i) })
				}
				for i := range 12 {
					sim.after(time.Duration(i)*3*time.Second, func() {
						name := sim.machineNames[sim.rng.IntN(len(sim.machineNames))]
						sim.hungUntil[name] = sim.now + sim.randomDuration(500, 10_000)
					})
				}
				sim.after(sim.randomDuration(0, 20_000), sim.cancelHalfOfServices)
			}},
		{"machines are up within two seconds and get work while writes lag, and the leader fails",
			func(sim *simulation) { sim.maxWriteDelayMS = 3000 },
			func(sim *simulation, leader *simController) {
				for i := range 12 {
					sim.after(sim.randomDuration(0, 2000), func() { sim.submitArray(900+i, 3) })
				}
				sim.after(sim.randomDuration(1000, 4000), func() {
					leader.crash(sim.randomDuration(100, 1000))
					for _, name := range sim.machineNames {
						if sim.rng.IntN(2) == 0 {
							sim.partitionedUntil[name] = sim.now + sim.randomDuration(4000, 11_000)
						}
					}
				})
			}},
		{"a leader fails while machines with long tasks are partitioned, one way or both", nil,
			func(sim *simulation, leader *simController) {
				for _, name := range sim.machineNames {
					until := sim.now + sim.randomDuration(3000, 30_000)
					switch sim.rng.IntN(3) {
					case 0:
						sim.unreachableUntil[name] = until
					case 1:
						sim.partitionedUntil[name] = until
					}
				}
				sim.after(sim.randomDuration(0, 3000), func() { leader.crash(sim.randomDuration(100, 5000)) })
				sim.after(sim.randomDuration(0, 8000), sim.cancelHalfOfServices)
			}},
		{"machines that nobody expected appear by their heartbeats", nil,
			func(sim *simulation, leader *simController) {
				sim.cloudDown = true // so the cloud list does not show the machines
				for range 4 {
					sim.after(sim.randomDuration(0, 15_000), func() {
						sim.bootMachine(sim.machineTypes[sim.rng.IntN(2)], []string{"a", "b"}[sim.rng.IntN(2)], sim.rng.IntN(2) == 0)
					})
				}
				sim.after(sim.randomDuration(0, 8000), func() { leader.crash(sim.randomDuration(100, 3000)) })
				sim.after(sim.randomDuration(8000, 20_000), func() { sim.cloudDown = false })
			}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			failed := 0
			firstFailure := ""
			for seed := range uint64(messageFaultSeeds) {
				sim := newSimulation(seed)
				if scenario.prepare != nil {
					scenario.prepare(sim)
				}
				for i := range 8 {
					sim.after(time.Duration(i)*100*time.Millisecond, func() {
						service := sim.serviceJob(fmt.Sprintf("run-%06d", i), 2)
						service.SpreadZones = i%3 == 0
						sim.submit(service)
					})
				}
				for i := range 30 {
					sim.after(time.Duration(i)*2*time.Second+sim.randomDuration(0, 1500), func() { sim.submitArray(100+i, 1+sim.rng.IntN(3)) })
				}
				sim.every(time.Second, sim.pollAll)
				sim.after(20*time.Second+sim.randomDuration(0, 2000), func() {
					for _, c := range sim.controllers {
						if c.scheduler != nil {
							scenario.inject(sim, c)
							return
						}
					}
				})
				sim.after(70*time.Second, func() {
					sim.faultsActive, sim.delayRate, sim.duplicateRate, sim.maxWriteDelayMS, sim.maxCallDelayMS = false, 0, 0, 0, 0
				})
				sim.run(185 * time.Second)
				if failure := sim.firstFailure(); failure != "" {
					failed++
					if firstFailure == "" {
						firstFailure = fmt.Sprintf("seed %d: %s", seed, failure)
					}
				}
			}
			if failed > 0 {
				t.Errorf("%d of %d simulations fail; the first: %s", failed, messageFaultSeeds, firstFailure)
			}
		})
	}
}

// The tasks of small jobs end at very different times across failovers, while writes are delayed
// and duplicates of heartbeats arrive late. No job becomes done early, all become done, and no
// completed task starts again.
func TestSpreadCompletionsSurviveFailovers(t *testing.T) {
	starts, repeated := 0, 0
	for seed := range uint64(messageFaultSeeds) {
		sim := newSimulation(seed)
		clear(sim.faultyMachines)
		sim.maxWriteDelayMS, sim.heartbeatCopyRate = 2500, 0.2
		for i := range 14 {
			sim.after(time.Duration(i)*time.Second, func() {
				sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray,
					Priority: wire.PriorityNormal, Tasks: 2 + i%2, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1, EstimatedRunS: 20})
			})
		}
		sim.every(time.Second, sim.pollAll)
		for i := range 6 {
			sim.after(time.Duration(8+9*i)*time.Second+sim.randomDuration(0, 4000), func() {
				for _, c := range sim.controllers {
					if c.scheduler != nil {
						c.crash(sim.randomDuration(100, 1000))
					}
				}
			})
		}
		sim.after(75*time.Second, func() { sim.maxWriteDelayMS, sim.heartbeatCopyRate = 0, 0 })
		sim.run(180 * time.Second)
		if failure := sim.firstFailure(); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
		starts, repeated = starts+sim.checker.Starts, repeated+sim.checker.RepeatedStarts
	}
	// Completed tasks do not start again, because an attempt keeps its record until its task is
	// durably recorded as done.
	t.Logf("%d starts, %d of them of completed tasks", starts, repeated)
	if repeated > 0 {
		t.Errorf("%d of %d starts are of completed tasks", repeated, starts)
	}
}

// submitArray submits an array whose tasks end at very different times in some simulations. Its
// priority, resources, image and zone constraint depend on its number.
func (sim *simulation) submitArray(number, tasks int) {
	sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Shape: wire.ShapeArray,
		Priority: []string{wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}[number%3], Tasks: tasks, CPUs: float64(1 + number%3), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", number%3), ImageGB: 1, EstimatedRunS: 8, Spot: number%4 == 0, SameZone: number%5 == 0})
}

// submitGang submits a gang of three tasks. When one of them ends, the others are stopped, also
// those whose start is still in flight.
func (sim *simulation) submitGang(number int) {
	sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", number), Class: "c", Team: []string{"red", "blue"}[number%2], Shape: wire.ShapeGang,
		Priority: wire.PriorityNormal, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: fmt.Sprintf("img-%d", number%3), ImageGB: 0.2, EstimatedRunS: 8})
}

// failTasksOnHalfOfMachines makes tasks fail on about half of the machines until the faults end.
func (sim *simulation) failTasksOnHalfOfMachines() {
	for _, name := range sim.machineNames {
		sim.faultyMachines[name] = sim.rng.IntN(2) == 0
	}
}

// replayHeartbeatsToNewLeader captures heartbeats of each machine in the seconds before the
// leader crashes. Once a new leader leads, each is delivered to every controller after a random
// delay between the bounds in milliseconds. About half of the machines are partitioned meanwhile,
// so that the new leader receives only the old heartbeats from them.
func (sim *simulation) replayHeartbeatsToNewLeader(leader *simController, minDelayMS, maxDelayMS int) {
	var captured []wire.Heartbeat
	captureHeartbeats := func() {
		for _, wk := range sim.respondingWorkers() {
			captured = append(captured, wk.Heartbeat(sim.now))
		}
	}
	crashAfter := sim.randomDuration(2000, 5000)
	for range 4 {
		sim.after(sim.randomDuration(0, int(crashAfter/time.Millisecond)), captureHeartbeats)
	}
	var replayToNewLeader func()
	replayToNewLeader = func() {
		for _, c := range sim.controllers {
			if c.scheduler == nil {
				continue
			}
			for i := range captured {
				sim.after(sim.randomDuration(minDelayMS, maxDelayMS), func() {
					for _, c := range sim.controllers {
						c.heartbeat(&captured[i])
					}
				})
			}
			return
		}
		sim.after(5*time.Millisecond, replayToNewLeader)
	}
	sim.after(crashAfter, func() {
		for _, name := range sim.machineNames {
			if sim.rng.IntN(2) == 0 {
				sim.partitionedUntil[name] = sim.now + sim.randomDuration(4000, 11_000)
			}
		}
		leader.crash(sim.randomDuration(100, 1000))
		replayToNewLeader()
	})
}

// duplicateHeartbeats delivers a copy of each machine's current heartbeat to every controller
// after the delay.
func (sim *simulation) duplicateHeartbeats(delay time.Duration) {
	for _, wk := range sim.respondingWorkers() {
		heartbeat := wk.Heartbeat(sim.now)
		sim.after(delay, func() {
			for _, c := range sim.controllers {
				c.heartbeat(&heartbeat)
			}
		})
	}
}

// respondingWorkers returns the workers that have not terminated and do not hang.
func (sim *simulation) respondingWorkers() (workers []*simulator.Worker) {
	for _, name := range sim.machineNames {
		if wk := sim.workers[name]; !wk.Terminated && sim.hungUntil[name] <= sim.now {
			workers = append(workers, wk)
		}
	}
	return workers
}
