package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// lowerStoreLimits gives the key-value store random limits below those of the settings.
func (sim *simulation) lowerStoreLimits() {
	sim.limitsLowered = true
	sim.kvStore.KVStoreLimits = simulator.KVStoreLimits{
		MaxTxnOps:     2 + sim.rng.IntN(5),
		MaxValueBytes: 700 + sim.rng.IntN(1300),
		WriteRate:     float64(15 + sim.rng.IntN(20)),
	}
}

// countBatches returns the number of stored assignment batches.
func (sim *simulation) countBatches() (count int) {
	for _, item := range sim.kvStore.Range(sim.now, records.BatchPrefix, "", 10_000).Items {
		if strings.HasPrefix(item.Key, records.BatchPrefix) {
			count++
		}
	}
	return count
}

// Guards against work that stops, is lost or runs twice when the key-value store lowers its limits
// without notice: by itself, together with the end of the leader, and within an outage, while other
// faults go on.
func TestInvariantsHoldWhenStoreLowersItsLimits(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		lower func(sim *simulation)
	}{
		{"alone", (*simulation).lowerStoreLimits},
		{"as the leader ends", func(sim *simulation) {
			sim.lowerStoreLimits()
			sim.crashLeaders(0, 4000)
		}},
		{"within an outage", func(sim *simulation) {
			sim.kvStore.StartOutage()
			sim.after(sim.randomDuration(1000, 30_000), func() {
				sim.lowerStoreLimits()
				sim.kvStore.EndOutage(sim.now)
			})
		}},
		{"and again, with leaders that end after each time", func(sim *simulation) {
			for i := range 4 {
				sim.after(time.Duration(i)*15*time.Second, sim.lowerStoreLimits)
				sim.after(time.Duration(i)*15*time.Second+sim.randomDuration(0, 8000), func() { sim.crashLeaders(0, 4000) })
			}
		}},
	} {
		t.Run(strings.ReplaceAll(scenario.name, " ", "_"), func(t *testing.T) {
			rejected := 0
			for seed := range uint64(4) {
				sim := newSimulation(seed)
				sim.lossRate, sim.delayRate = 0.02, 0.02
				sim.runUsers(140 * time.Second)
				sim.injectFaults(150 * time.Second)
				sim.checkWaitingJobs(230 * time.Second)
				sim.after(sim.randomDuration(20_000, 60_000), func() { scenario.lower(sim) })
				sim.run(450 * time.Second)
				sim.requireNoViolations(t, seed)
				sim.requireJobsSettled(t)
				if batches := sim.countBatches(); batches > tuning.BatchCompactionThreshold {
					t.Errorf("seed %d: %d batches are left", seed, batches)
				}
				rejected += sim.kvStore.RejectedTransactions()
			}
			t.Logf("%d transactions were rejected", rejected)
		})
	}
}
