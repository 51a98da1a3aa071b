package scheduler_test

import (
	"fmt"
	"testing"
	"time"
)

// restartSeeds is how many worlds each way of coming back is tried in.
const restartSeeds = 12

// All controllers end while services and arrays run, and come back in a way that is hard.
// No rule is broken, and in the end everything accepted runs. Where every machine kept
// its session, nothing that had completed is started again.
func TestRestartsOfAllControllersKeepInvariants(t *testing.T) {
	for _, tc := range []struct {
		name string
		back func(sim *simulation, away time.Duration)
	}{
		{"killed_while_collecting", func(sim *simulation, away time.Duration) { sim.crashLeaderAfter(away + sim.randomDuration(50, 900)) }},
		{"killed_while_reconciling", func(sim *simulation, away time.Duration) {
			sim.isolateMachines(away + sim.randomDuration(6000, 9000))
			sim.crashLeaderAfter(away + sim.randomDuration(2000, 7000))
		}},
		{"killed_again_and_again", func(sim *simulation, away time.Duration) {
			for i := range 5 {
				sim.crashLeaderAfter(away + time.Duration(i)*sim.randomDuration(400, 1500))
			}
		}},
		{"lead_moves_while_collecting", func(sim *simulation, away time.Duration) {
			sim.after(away+sim.randomDuration(300, 1200), func() {
				if c := sim.currentLeader(); c != nil {
					sim.kvStore.RevokeLease(c.storeLease)
				}
			})
		}},
		{"state_service_out_while_loading", func(sim *simulation, away time.Duration) {
			sim.after(away/2, func() { sim.kvStore.SetUnavailable(sim.now, true) })
			sim.after(away+sim.randomDuration(500, 6000), func() { sim.kvStore.SetUnavailable(sim.now, false) })
		}},
		{"state_service_slow_and_loses_answers", func(sim *simulation, away time.Duration) {
			sim.after(away, func() { sim.lossRate, sim.maxWriteDelayMS, sim.slowWatchUntil = 0.2, 1500, sim.now+15*time.Second })
			sim.after(away+20*time.Second, func() { sim.lossRate, sim.maxWriteDelayMS = 0, 0 })
		}},
		{"cloud_down_throughout", func(sim *simulation, away time.Duration) {
			sim.cloudDown = true
			sim.after(away+50*time.Second, func() { sim.cloudDown = false })
		}},
		{"half_of_the_fleet_gone", func(sim *simulation, away time.Duration) {
			for i, name := range sim.machineNames {
				if i%2 == 0 {
					sim.workers[name].Terminate()
				}
			}
		}},
		{"machines_late_by_minutes_and_old_reports", func(sim *simulation, away time.Duration) {
			sim.heartbeatCopyRate = 0.3
			sim.isolateMachines(away + sim.randomDuration(20_000, 60_000))
			sim.after(away+20*time.Second, func() { sim.heartbeatCopyRate = 0 })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			starts, repeated, whole := 0, 0, 0
			for seed := range uint64(restartSeeds) {
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
					away := sim.randomDuration(200, 9000)
					for _, c := range sim.controllers {
						// Some are back within a fraction of a second of each other.
						c.crash(away + sim.randomDuration(0, 1+int(away/time.Millisecond)/4))
					}
					tc.back(sim, away)
				})
				sim.after(100*time.Second, func() { sim.faultsActive = false })
				sim.run(190 * time.Second)
				if fault := sim.firstFailure(); fault != "" {
					t.Fatalf("seed %d: %s", seed, fault)
				}
				starts += sim.checker.Starts
				if !sim.lostIncarnations() {
					whole++
					repeated += sim.checker.RepeatedStarts
				}
			}
			t.Logf("%d starts; in %d worlds that lost no session %d of tasks that had completed", starts, whole, repeated)
			if starts < 50*restartSeeds || repeated > 0 {
				t.Errorf("%d starts, %d of tasks that had completed", starts, repeated)
			}
		})
	}
}

// lostIncarnations reports whether any machine lost its tasks, and what they had completed.
func (sim *simulation) lostIncarnations() bool {
	for _, wk := range sim.workers {
		if wk.Terminated || wk.Incarnation > 1 {
			return true
		}
	}
	return false
}

// crashLeaderAfter ends whoever leads then, for a moment.
func (sim *simulation) crashLeaderAfter(d time.Duration) {
	sim.after(d, func() {
		if c := sim.currentLeader(); c != nil {
			c.crash(sim.randomDuration(100, 1500))
		}
	})
}

// isolateMachines keeps a third of the machines from reaching any node, and any node from
// reaching them, for that long.
func (sim *simulation) isolateMachines(d time.Duration) {
	for i, name := range sim.machineNames {
		if i%3 == 0 {
			sim.partitionedUntil[name] = sim.now + d
		}
	}
}
