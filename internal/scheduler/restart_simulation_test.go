package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// restartSeeds is the number of simulations of each restart fault.
const restartSeeds = 12

// restartFault is a fault that is injected when all controllers crash, and that affects their
// restart.
type restartFault struct {
	name   string
	inject func(sim *simulation, downFor time.Duration)
}

var restartFaults = []restartFault{
	{"killed_while_collecting", func(sim *simulation, downFor time.Duration) {
		sim.crashLeaderAfter(downFor + sim.randomDuration(50, 900))
	}},
	{"killed_while_reconciling", func(sim *simulation, downFor time.Duration) {
		sim.isolateMachines(downFor + sim.randomDuration(6000, 9000))
		sim.crashLeaderAfter(downFor + sim.randomDuration(2000, 7000))
	}},
	{"killed_repeatedly", func(sim *simulation, downFor time.Duration) {
		for i := range 5 {
			sim.crashLeaderAfter(downFor + time.Duration(i)*sim.randomDuration(400, 1500))
		}
	}},
	{"leadership_moves_while_collecting", func(sim *simulation, downFor time.Duration) {
		sim.after(downFor+sim.randomDuration(300, 1200), func() {
			if c := sim.currentLeader(); c != nil {
				sim.kvStore.RevokeLease(c.storeLease)
			}
		})
	}},
	{"kvstore_outage_while_loading", func(sim *simulation, downFor time.Duration) {
		sim.after(downFor/2, func() { sim.kvStore.StartOutage() })
		sim.after(downFor+sim.randomDuration(500, 6000), func() { sim.kvStore.EndOutage(sim.now) })
	}},
	{"kvstore_slow_and_loses_replies", func(sim *simulation, downFor time.Duration) {
		sim.after(downFor, func() { sim.lossRate, sim.maxWriteDelayMS, sim.slowWatchUntil = 0.2, 1500, sim.now+15*time.Second })
		sim.after(downFor+20*time.Second, func() { sim.lossRate, sim.maxWriteDelayMS = 0, 0 })
	}},
	{"cloud_down_throughout", func(sim *simulation, downFor time.Duration) {
		sim.cloudDown = true
		sim.after(downFor+50*time.Second, func() { sim.cloudDown = false })
	}},
	{"half_of_the_machines_gone", func(sim *simulation, _ time.Duration) {
		for i, name := range sim.machineNames {
			if i%2 == 0 {
				sim.workers[name].Terminate()
			}
		}
	}},
	{"machines_late_by_minutes_and_delayed_heartbeats", func(sim *simulation, downFor time.Duration) {
		sim.heartbeatCopyRate = 0.3
		sim.isolateMachines(downFor + sim.randomDuration(20_000, 60_000))
		sim.after(downFor+20*time.Second, func() { sim.heartbeatCopyRate = 0 })
	}},
}

// All controllers crash while services and arrays run, and restart during further faults. No
// invariant is violated, and in the end all accepted jobs are served. In simulations in which
// every worker kept its incarnation, no completed task is started again.
func TestRestartsOfAllControllersKeepInvariants(t *testing.T) {
	for _, fault := range restartFaults {
		t.Run(fault.name, func(t *testing.T) {
			starts, repeated, withoutLoss := 0, 0, 0
			for seed := range uint64(restartSeeds) {
				sim := runRestart(t, seed, fault)
				starts += sim.checker.Starts
				if !sim.lostIncarnations() {
					withoutLoss++
					repeated += sim.checker.RepeatedStarts
				}
			}
			t.Logf("%d starts; %d simulations lost no worker incarnation and had %d repeated starts of completed tasks", starts, withoutLoss, repeated)
			if starts < 50*restartSeeds || repeated > 0 {
				t.Errorf("%d starts, %d repeated starts of completed tasks", starts, repeated)
			}
		})
	}
}

// runRestart simulates one restart of all controllers. It fails the test on any violation.
func runRestart(t *testing.T, seed uint64, fault restartFault) *simulation {
	t.Helper()
	sim := newSimulation(seed)
	clear(sim.faultyMachines)
	sim.settings.Policy.ReconcileRestarts = true
	sim.settings.CloudRate = 5
	for i := range 6 {
		sim.after(time.Duration(i)*200*time.Millisecond, func() { sim.submit(sim.serviceJob(fmt.Sprintf("run-%06d", i), 2)) })
	}
	sim.submitArrays(70 * time.Second)
	sim.every(time.Second, sim.pollAll)
	sim.after(20*time.Second+sim.randomDuration(0, 3000), func() {
		downFor := sim.randomDuration(200, 9000)
		for _, c := range sim.controllers {
			// Some restart within a fraction of a second of each other.
			c.crash(downFor + sim.randomDuration(0, 1+int(downFor/time.Millisecond)/4))
		}
		fault.inject(sim, downFor)
	})
	sim.after(100*time.Second, func() { sim.faultsActive = false })
	sim.run(190 * time.Second)
	if failure := sim.firstFailure(); failure != "" {
		t.Fatalf("seed %d: %s", seed, failure)
	}
	return sim
}

// lostIncarnations reports whether any worker has lost its tasks, including the completed ones.
func (sim *simulation) lostIncarnations() bool {
	for _, worker := range sim.workers {
		if worker.Terminated || worker.Incarnation > 1 {
			return true
		}
	}
	return false
}

// crashLeaderAfter crashes the controller that leads after d. It restarts within 1.5 s.
func (sim *simulation) crashLeaderAfter(d time.Duration) {
	sim.after(d, func() {
		if c := sim.currentLeader(); c != nil {
			c.crash(sim.randomDuration(100, 1500))
		}
	})
}

// isolateMachines partitions a third of the machines from all controllers for the duration d.
func (sim *simulation) isolateMachines(d time.Duration) {
	for i, name := range sim.machineNames {
		if i%3 == 0 {
			sim.partitionedUntil[name] = sim.now + d
		}
	}
}
