package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// messageFaultSeeds is how many worlds each meeting of reports, commands and machines is
// brought about in.
const messageFaultSeeds = 25

// Meetings of reports, commands and machines, with generated times: no rule is broken
// in any world, every accepted array is completed and every service is complete again
// once the troubles are over. internal/mutation takes the guards out and sees this fail.
func TestCombinedMessageFaults(t *testing.T) {
	for _, m := range []struct {
		name string
		prep func(sim *simulation)
		meet func(sim *simulation, leader *simController)
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
		{"an old report reaches every controller just as a new leader begins", nil,
			func(sim *simulation, leader *simController) {
				sim.replayHeartbeatsToNewLeader(leader, 0, 20)
			}},
		{"a report is held back until a new leader has acted", nil,
			func(sim *simulation, leader *simController) {
				sim.replayHeartbeatsToNewLeader(leader, 300, 6000)
			}},
		{"an old report arrives after newer ones, from an earlier session or attempt too", nil,
			func(sim *simulation, _ *simController) {
				for _, name := range sim.machineNames {
					if sim.rng.IntN(3) == 0 {
						sim.hungUntil[name] = sim.now + sim.randomDuration(3000, 20_000) // some into their next session
					}
				}
				for range 40 {
					sim.after(sim.randomDuration(0, 30_000), func() { sim.duplicateHeartbeats(sim.randomDuration(500, 30_000)) })
				}
				sim.after(sim.randomDuration(0, 20_000), sim.cancelHalfOfServices)
			}},
		{"a command or its answer is held up, and the machine hangs and goes on", nil,
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
		{"machines are up within two seconds and get work while writes lag, and the leader ends",
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
		{"a leader ends while machines with long tasks can't be reached or hear no answer", nil,
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
		{"machines that nobody expected appear by their reports", nil,
			func(sim *simulation, leader *simController) {
				sim.cloudDown = true // the list does not show them
				for range 4 {
					sim.after(sim.randomDuration(0, 15_000), func() {
						sim.bootMachine(sim.machineTypes[sim.rng.IntN(2)], []string{"a", "b"}[sim.rng.IntN(2)], sim.rng.IntN(2) == 0)
					})
				}
				sim.after(sim.randomDuration(0, 8000), func() { leader.crash(sim.randomDuration(100, 3000)) })
				sim.after(sim.randomDuration(8000, 20_000), func() { sim.cloudDown = false })
			}},
	} {
		t.Run(m.name, func(t *testing.T) {
			failed := 0
			first := ""
			for seed := range uint64(messageFaultSeeds) {
				sim := newSimulation(seed)
				if m.prep != nil {
					m.prep(sim)
				}
				for i := range 8 {
					sim.after(time.Duration(i)*100*time.Millisecond, func() {
						sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeService,
							Priority: wire.PriorityProduction, Tasks: 2, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1, SpreadZones: i%3 == 0})
					})
				}
				for i := range 30 {
					sim.after(time.Duration(i)*2*time.Second+sim.randomDuration(0, 1500), func() { sim.submitArray(100+i, 1+sim.rng.IntN(3)) })
				}
				sim.every(time.Second, func() {
					for _, j := range sim.jobs {
						sim.pollJob(j.ID)
					}
				})
				sim.after(20*time.Second+sim.randomDuration(0, 2000), func() {
					for _, c := range sim.controllers {
						if c.scheduler != nil {
							m.meet(sim, c)
							return
						}
					}
				})
				sim.after(70*time.Second, func() {
					sim.faultsActive, sim.delayRate, sim.duplicateRate, sim.maxWriteDelayMS, sim.maxCallDelayMS = false, 0, 0, 0, 0
				})
				sim.run(185 * time.Second)
				if wrong := sim.firstViolation(); wrong != "" {
					failed++
					if first == "" {
						first = fmt.Sprintf("seed %d: %s", seed, wrong)
					}
				}
			}
			if failed > 0 {
				t.Errorf("%d of %d worlds; the first: %s", failed, messageFaultSeeds, first)
			}
		})
	}
}

// Jobs of two or three tasks end far apart across changes of the leader, while writes
// lag and copies of reports come late: none is called done early, all become done, and
// no task starts again that has completed.
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
		sim.every(time.Second, func() {
			for _, j := range sim.jobs {
				sim.pollJob(j.ID)
			}
		})
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
		if wrong := sim.firstViolation(); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		starts, repeated = starts+sim.checker.Starts, repeated+sim.checker.RepeatedStarts
	}
	// A completed attempt keeps its record until its task is durably done.
	t.Logf("%d starts, %d of them of tasks that had completed", starts, repeated)
	if repeated > 0 {
		t.Errorf("%d of %d starts are of tasks that had completed", repeated, starts)
	}
}

// firstViolation says which rule was broken, or what was not served once the troubles were over.
func (sim *simulation) firstViolation() string {
	if len(sim.checker.Violations) > 0 {
		return strings.Join(sim.checker.Violations[:min(3, len(sim.checker.Violations))], "\n")
	}
	for _, j := range sim.jobs {
		switch state := sim.pollJob(j.ID); {
		case state == wire.JobCancelled && sim.checker.PlacedTasks(j.ID) == 0:
		case state == wire.JobDone && !j.Service():
		case state == wire.JobPending && j.Service() && sim.checker.PlacedTasks(j.ID) == j.Tasks:
		default:
			return fmt.Sprintf("unserved: %s is %s with %d of %d tasks on machines", j.ID, state, sim.checker.PlacedTasks(j.ID), j.Tasks)
		}
	}
	return ""
}

// submitArray submits an array whose tasks end far apart from each other in some worlds.
func (sim *simulation) submitArray(i, tasks int) {
	sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray,
		Priority: []string{wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}[i%3], Tasks: tasks, CPUs: float64(1 + i%3), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", i%3), ImageGB: 1, EstimatedRunS: 8, Spot: i%4 == 0, SameZone: i%5 == 0})
}

// submitGang submits a gang: when a member ends, the others are stopped, also those
// whose start is still on its way.
func (sim *simulation) submitGang(i int) {
	sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeGang,
		Priority: wire.PriorityNormal, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: fmt.Sprintf("img-%d", i%3), ImageGB: 0.2, EstimatedRunS: 8})
}

// failTasksOnHalfOfMachines makes tasks fail on half of the machines, until the troubles are over.
func (sim *simulation) failTasksOnHalfOfMachines() {
	for _, name := range sim.machineNames {
		sim.faultyMachines[name] = sim.rng.IntN(2) == 0
	}
}

// replayHeartbeatsToNewLeader keeps reports of each machine from the seconds before the leader ends,
// until a new one has been there for some milliseconds, and then brings them to every
// controller. Half of the machines can't be reached meanwhile, so that the old report
// is all that the new leader has of them.
func (sim *simulation) replayHeartbeatsToNewLeader(leader *simController, from, to int) {
	var kept []wire.Heartbeat
	take := func() {
		for _, wk := range sim.respondingWorkers() {
			kept = append(kept, wk.Heartbeat(sim.now))
		}
	}
	ends := sim.randomDuration(2000, 5000)
	for range 4 {
		sim.after(sim.randomDuration(0, int(ends/time.Millisecond)), take)
	}
	var wait func()
	wait = func() {
		for _, c := range sim.controllers {
			if c.scheduler == nil {
				continue
			}
			for i := range kept {
				sim.after(sim.randomDuration(from, to), func() {
					for _, c := range sim.controllers {
						c.heartbeat(&kept[i])
					}
				})
			}
			return
		}
		sim.after(5*time.Millisecond, wait)
	}
	sim.after(ends, func() {
		for _, name := range sim.machineNames {
			if sim.rng.IntN(2) == 0 {
				sim.partitionedUntil[name] = sim.now + sim.randomDuration(4000, 11_000)
			}
		}
		leader.crash(sim.randomDuration(100, 1000))
		wait()
	})
}

// duplicateHeartbeats brings a report of each machine to every controller after a while.
func (sim *simulation) duplicateHeartbeats(late time.Duration) {
	for _, wk := range sim.respondingWorkers() {
		r := wk.Heartbeat(sim.now)
		sim.after(late, func() {
			for _, c := range sim.controllers {
				c.heartbeat(&r)
			}
		})
	}
}

// respondingWorkers are the workers that are there and do not hang.
func (sim *simulation) respondingWorkers() (out []*simulator.Worker) {
	for _, name := range sim.machineNames {
		if wk := sim.workers[name]; !wk.Terminated && sim.hungUntil[name] <= sim.now {
			out = append(out, wk)
		}
	}
	return out
}
