package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Two troubles that meet, with generated times, around services that are cancelled
// meanwhile: the rules hold in each world, and in some the checker finds them broken
// once the guard that the meeting is about is taken out.
func TestCombinedFaults(t *testing.T) {
	for _, m := range []struct {
		name  string
		guard safeguard
		meet  func(sim *simulation, leader *simController)
	}{
		{"the state service refuses the leader alone, then everybody for longer than a cancellation has, and a peer starts anew", keepaliveBoundByWatermark,
			func(sim *simulation, leader *simController) {
				leader.refusedUntil = sim.now + 10*time.Second
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
		{"the same, and all peers live", peerCancellationLists,
			func(sim *simulation, leader *simController) {
				leader.refusedUntil = sim.now + 10*time.Second
				sim.after(sim.randomDuration(100, 1500), sim.cancelHalfOfServices)
				sim.after(sim.randomDuration(1600, 2200), func() { sim.kvStore.StartOutage() })
				sim.after(70*time.Second, func() { sim.kvStore.EndOutage(sim.now) })
			}},
		{"a leader that no worker reaches is then cut off from the node that they come to", enforcedWatermark,
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
							c.partitionedUntil = sim.now + 60*time.Second
						}
					}
					sim.zonePartitionedUntil[zone] = sim.now + 60*time.Second
				})
			}},
		{"a leader stands still, and is cut off with its zone when it goes on; the cloud is down", watermarkAtReading,
			func(sim *simulation, leader *simController) {
				sim.cloudDown = true // or the zone's machines would be given back in time
				leader.pausedUntil = sim.now + sim.randomDuration(4000, 9000)
				sim.after(sim.randomDuration(50, 200), func() {
					sim.zonePartitionedUntil[sim.zoneOf(leader.name)] = sim.now + 60*time.Second
					for _, c := range sim.controllers {
						if sim.zoneOf(c.name) == sim.zoneOf(leader.name) {
							c.partitionedUntil = sim.now + 60*time.Second
						}
					}
					sim.after(sim.randomDuration(10, 3000), sim.cancelHalfOfServices)
				})
			}},
	} {
		t.Run(m.name, func(t *testing.T) {
			broken := func(without safeguard, seed uint64) string {
				sim := newSimulation(seed)
				sim.disabled = without
				for i := range 8 {
					sim.after(time.Duration(i)*100*time.Millisecond, func() {
						sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeService,
							Priority: wire.PriorityProduction, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1})
					})
				}
				sim.after(20*time.Second+sim.randomDuration(0, 2000), func() {
					for _, c := range sim.controllers {
						if c.scheduler != nil {
							m.meet(sim, c)
						}
					}
				})
				sim.run(140 * time.Second)
				return strings.Join(sim.checker.Violations, "\n")
			}
			caught := 0
			for seed := range uint64(25) {
				if b := broken(noSafeguard, seed); b != "" {
					t.Fatalf("seed %d: %s", seed, b)
				}
				if broken(m.guard, seed) != "" {
					caught++
				}
			}
			if caught == 0 {
				t.Error("without its guard no world breaks a rule: the meeting shows nothing")
			}
			t.Logf("without the guard, %d of 25 worlds break a rule", caught)
		})
	}
}

// randomDuration draws a time in milliseconds.
func (sim *simulation) randomDuration(from, to int) time.Duration {
	return time.Duration(from+sim.rng.IntN(to-from)) * time.Millisecond
}

// cancelHalfOfServices cancels half of the services.
func (sim *simulation) cancelHalfOfServices() {
	for i := range 4 {
		sim.cancel(fmt.Sprintf("run-%06d", 2*i+sim.rng.IntN(2)))
	}
}
