package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// No rule is broken when two faults coincide at random times while services are cancelled.
// With the scenario's safeguard disabled, the rule checker finds a violation in at least one
// of the same simulations, which shows that the scenario exercises the safeguard.
func TestCombinedFaults(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		safeguard safeguard
		inject    func(sim *simulation, leader *simController)
	}{
		{"the key-value store refuses the leader alone, then everybody for longer than the cancellation bound, and a peer restarts", keepaliveBoundByWatermark,
			func(sim *simulation, leader *simController) {
				leader.refusedByStoreUntil = sim.now + 10*time.Second
				sim.after(sim.randomDuration(1000, 1500), func() {
					sim.cancelHalfOfServices()
					sim.kvStore.StartOutage()
					for _, c := range sim.controllers {
						if c != leader {
							c.crash(time.Second)
						}
					}
				})
				sim.after(70*time.Second, func() { sim.kvStore.EndOutage(sim.now) })
			}},
		{"the key-value store refuses the leader alone, then everybody for longer than the cancellation bound, and all peers stay up", peerCancellationLists,
			func(sim *simulation, leader *simController) {
				leader.refusedByStoreUntil = sim.now + 10*time.Second
				sim.after(sim.randomDuration(100, 1500), sim.cancelHalfOfServices)
				sim.after(sim.randomDuration(1600, 2200), func() { sim.kvStore.StartOutage() })
				sim.after(70*time.Second, func() { sim.kvStore.EndOutage(sim.now) })
			}},
		{"a leader that no worker reaches is then partitioned from the controller that they reach", keepaliveFromEnforcement,
			func(sim *simulation, leader *simController) {
				leader.workersUnreachableUntil = sim.now + 60*time.Second
				sim.after(sim.randomDuration(50, 200), sim.cancelHalfOfServices)
				sim.after(sim.randomDuration(4800, 5900), func() {
					zone := "a"
					if sim.zoneOf(leader.name) == "a" {
						zone = "b"
					}
					for _, c := range sim.controllers {
						if sim.zoneOf(c.name) == zone {
							c.isolatedUntil = sim.now + 60*time.Second
						}
					}
					sim.zonePartitionedUntil[zone] = sim.now + 60*time.Second
				})
			}},
		{"a leader is paused, and partitioned with its zone when it resumes; the cloud is down", keepaliveFromWatermark,
			func(sim *simulation, leader *simController) {
				sim.cloudDown = true // otherwise the zone's machines would be released in time
				leader.pausedUntil = sim.now + sim.randomDuration(4000, 9000)
				sim.after(sim.randomDuration(50, 200), func() {
					sim.zonePartitionedUntil[sim.zoneOf(leader.name)] = sim.now + 60*time.Second
					for _, c := range sim.controllers {
						if sim.zoneOf(c.name) == sim.zoneOf(leader.name) {
							c.isolatedUntil = sim.now + 60*time.Second
						}
					}
					sim.after(sim.randomDuration(10, 3000), sim.cancelHalfOfServices)
				})
			}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			runWithout := func(disabled safeguard, seed uint64) string {
				sim := newSimulation(seed)
				sim.disabled = disabled
				for i := range 8 {
					sim.after(time.Duration(i)*100*time.Millisecond, func() {
						sim.submit(sim.serviceJob(fmt.Sprintf("run-%06d", i), 3))
					})
				}
				sim.after(20*time.Second+sim.randomDuration(0, 2000), func() {
					for _, c := range sim.controllers {
						if c.scheduler != nil {
							scenario.inject(sim, c)
						}
					}
				})
				sim.run(140 * time.Second)
				return strings.Join(sim.checker.Violations, "\n")
			}
			detected := 0
			for seed := range uint64(25) {
				if violations := runWithout(noSafeguard, seed); violations != "" {
					t.Fatalf("seed %d: %s", seed, violations)
				}
				if runWithout(scenario.safeguard, seed) != "" {
					detected++
				}
			}
			if detected == 0 {
				t.Error("no simulation breaks a rule without the safeguard: the scenario does not exercise it")
			}
			t.Logf("without the safeguard, %d of 25 simulations break a rule", detected)
		})
	}
}

// randomDuration draws a whole number of milliseconds that is at least fromMS and below toMS.
func (sim *simulation) randomDuration(fromMS, toMS int) time.Duration {
	return time.Duration(fromMS+sim.rng.IntN(toMS-fromMS)) * time.Millisecond
}

// cancelHalfOfServices cancels four of the eight services, one drawn from each pair of successive
// numbers.
func (sim *simulation) cancelHalfOfServices() {
	for i := range 4 {
		sim.cancel(fmt.Sprintf("run-%06d", 2*i+sim.rng.IntN(2)))
	}
}
