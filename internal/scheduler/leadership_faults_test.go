package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Failovers, outages and partitions combined with cancellations, at random times: no rule is
// broken, and once the faults are over everything accepted runs, or is gone if it was
// cancelled. internal/mutation takes the safeguards out and sees this fail.
func TestCombinedLeadershipFaults(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		inject func(sim *simulation)
	}{
		{"all_controllers_down", func(sim *simulation) {
			// All controllers are down or paused for about a lease or longer, while
			// machines hang or are partitioned for longer than that.
			away := sim.randomDuration(9000, 20_000)
			sim.cancelHalfOfServices() // just before the last fails, which has no time for the stops
			for range 2 {
				name := sim.machineNames[sim.rng.IntN(len(sim.machineNames))]
				sim.hungUntil[name] = sim.now + sim.randomDuration(3000, 11_000)
			}
			still := sim.rng.IntN(3) == 0
			sim.after(sim.randomDuration(0, 20), func() {
				for _, c := range sim.controllers {
					if still {
						c.pausedUntil = sim.now + away + sim.randomDuration(0, 1500)
					} else {
						c.crash(away + sim.randomDuration(0, 1500))
					}
				}
			})
			sim.after(away-sim.randomDuration(0, 4000), func() {
				for range 2 {
					sim.partitionedUntil[sim.machineNames[sim.rng.IntN(len(sim.machineNames))]] = sim.now + sim.randomDuration(4000, 25_000)
				}
			})
			sim.after(away+sim.randomDuration(100, 4000), sim.cancelHalfOfServices)
		}},
		{"slow_store_then_outage", func(sim *simulation) {
			// Answers to watches take seconds, and jobs are cancelled right after they
			// were accepted, before the key-value store refuses the leader alone and
			// then everybody.
			sim.slowWatchUntil = sim.now + 10*time.Second
			for i := range 30 {
				id := fmt.Sprintf("run-%06d", 500+i)
				sim.after(sim.randomDuration(0, 6000), func() {
					sim.submit(sim.serviceJob(id, 1))
					sim.after(sim.randomDuration(50, 900), func() { sim.cancel(id) })
				})
			}
			sim.after(sim.randomDuration(3000, 5000), func() { sim.refuseLeaderThenOutage(sim.randomDuration(100, 2000)) })
		}},
		{"store_refuses_leader_then_outage", func(sim *simulation) {
			// Jobs are cancelled at the moment of the refusal, and a second later nobody
			// is served.
			sim.refuseLeaderThenOutage(sim.randomDuration(900, 1100))
			sim.after(sim.randomDuration(1, 100), sim.cancelHalfOfServices)
		}},
		{"store_outage_and_confirmer_fails", func(sim *simulation) {
			apart := sim.randomDuration(100, 5000)
			sim.refuseLeaderThenOutage(apart)
			fault := sim.rng.IntN(8) // half of the time there is none
			for range 6 {
				id := fmt.Sprintf("run-%06d", sim.rng.IntN(8))
				sim.after(sim.randomDuration(0, int(apart/time.Millisecond)), func() {
					c := sim.cancelLosingReply(id)
					if c == nil || c.scheduler != nil {
						return
					}
					sim.after(sim.randomDuration(1, 1500), func() {
						switch fault {
						case 0:
							c.crash(sim.randomDuration(1, 1000))
						case 1:
							c.crash(100 * time.Second)
						case 2:
							c.pausedUntil = sim.now + sim.randomDuration(1000, 60_000)
						case 3:
							c.isolatedUntil = sim.now + sim.randomDuration(1000, 90_000)
						}
					})
				})
			}
			if sim.rng.IntN(3) == 0 {
				// The outage ends for a moment, and another begins.
				sim.after(apart+sim.randomDuration(5000, 50_000), func() {
					sim.kvStore.EndOutage(sim.now)
					sim.after(sim.randomDuration(50, 3000), func() { sim.refuseLeaderThenOutage(sim.randomDuration(0, 1000)) })
					sim.after(sim.randomDuration(1, 3000), sim.cancelRandomService)
				})
			}
		}},
		{"repeated_failovers", func(sim *simulation) {
			// Jobs are cancelled during failovers: the leader fails, or is paused, or
			// loses its lease.
			for i := range 5 {
				sim.after(time.Duration(i)*sim.randomDuration(3500, 9000), func() {
					c := sim.currentLeader()
					if c == nil {
						return
					}
					switch sim.rng.IntN(3) {
					case 0:
						c.crash(sim.randomDuration(1, 5000))
					case 1:
						c.pausedUntil = sim.now + sim.randomDuration(2600, 9000)
					case 2:
						c.refusedByStoreUntil = sim.now + sim.randomDuration(2600, 5000)
					}
					for range 2 {
						sim.after(sim.randomDuration(0, 3500), sim.cancelRandomService)
					}
				})
			}
		}},
		{"alternating_leaders", func(sim *simulation) {
			// Two controllers lead by turns, all fail, and one returns, also within a
			// second; what they wrote may be executed late.
			sim.lossRate, sim.delayRate, sim.duplicateRate, sim.heartbeatCopyRate = 0.05, 0.1, 0.2, 0.2
			for i := range 4 {
				sim.after(time.Duration(i)*sim.randomDuration(2700, 5000), func() {
					if c := sim.currentLeader(); c != nil {
						c.crash(sim.randomDuration(1, 3000))
					}
					sim.after(sim.randomDuration(0, 1000), sim.cancelRandomService)
				})
			}
			sim.after(22*time.Second, func() {
				first := sim.rng.IntN(len(sim.controllers))
				for i, c := range sim.controllers {
					c.crash(sim.randomDuration(8000, 20_000))
					if i == first {
						c.downUntil = sim.now + sim.randomDuration(50, 1500)
						c.startedAt = c.downUntil
					}
				}
				sim.after(sim.randomDuration(0, 1000), sim.cancelRandomService)
			})
			sim.after(60*time.Second, func() { sim.lossRate, sim.delayRate, sim.duplicateRate, sim.heartbeatCopyRate = 0, 0, 0, 0 })
		}},
		{"ten_leaders", func(sim *simulation) {
			// Ten leaders in two minutes, with an outage among them.
			sim.lossRate, sim.delayRate, sim.duplicateRate, sim.heartbeatCopyRate = 0.03, 0.05, 0.1, 0.2
			for i := range 10 {
				sim.after(time.Duration(i)*11*time.Second+sim.randomDuration(0, 5000), func() {
					if c := sim.currentLeader(); c != nil {
						c.crash(sim.randomDuration(1, 4000))
					}
					sim.after(sim.randomDuration(0, 3000), sim.cancelRandomService)
					sim.partitionedUntil[sim.machineNames[sim.rng.IntN(len(sim.machineNames))]] = sim.now + sim.randomDuration(1000, 15_000)
				})
			}
			sim.after(sim.randomDuration(10_000, 40_000), func() {
				sim.kvStore.StartOutage()
				sim.after(sim.randomDuration(5000, 50_000), func() { sim.kvStore.EndOutage(sim.now) })
			})
			sim.after(118*time.Second, func() { sim.lossRate, sim.delayRate, sim.duplicateRate, sim.heartbeatCopyRate = 0, 0, 0, 0 })
		}},
		{"zone_partition", func(sim *simulation) {
			// A zone with workers and controllers is partitioned for longer than a
			// lease, with the leader in it or not, while jobs are cancelled on either
			// side.
			zone := []string{"a", "b"}[sim.rng.IntN(2)]
			if sim.rng.IntN(4) > 0 {
				sim.cloudUnresponsiveUntil = sim.now + 60*time.Second // releases prove nothing
			}
			for range 3 {
				sim.after(sim.randomDuration(0, 25_000), sim.cancelRandomService)
			}
			sim.after(sim.randomDuration(0, 2000), func() {
				until := sim.now + sim.randomDuration(13_000, 70_000)
				sim.zonePartitionedUntil[zone] = until
				for _, c := range sim.controllers {
					if sim.zoneOf(c.name) == zone {
						c.isolatedUntil = until
					}
				}
			})
			if sim.rng.IntN(2) == 0 {
				sim.after(sim.randomDuration(3000, 20_000), func() {
					if c := sim.currentLeader(); c != nil && c.reachesStore() {
						c.crash(sim.randomDuration(1, 2000))
					}
				})
			}
		}},
		{"leader_partition", func(sim *simulation) {
			// The leader is partitioned from the key-value store and its peers, not from
			// workers and users; jobs are cancelled through its successor.
			c := sim.currentLeader()
			c.isolatedUntil = sim.now + sim.randomDuration(15_000, 70_000)
			for range 3 {
				sim.after(sim.randomDuration(0, 3000), sim.cancelRandomService)
			}
			sim.after(sim.randomDuration(3000, 20_000), sim.cancelRandomService)
		}},
		{"release_unanswered", func(sim *simulation) {
			// Machines hang until they are released, and resume within their lease; the
			// cloud does not answer, and the leader's lease is in doubt.
			sim.cloudUnresponsiveUntil = sim.now + 75*time.Second
			for _, i := range sim.rng.Perm(len(sim.machineNames))[:max(1, len(sim.machineNames)/4)] {
				sim.hungUntil[sim.machineNames[i]] = sim.now + sim.randomDuration(8000, 11_000)
			}
			sim.after(sim.randomDuration(8000, 9000), func() {
				sim.refuseLeaderThenOutage(sim.randomDuration(500, 1500))
				sim.after(sim.randomDuration(1, 400), sim.cancelHalfOfServices)
			})
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(leadershipFaultSeeds) {
				sim := newSimulation(100 + seed)
				for i := range 8 {
					sim.after(time.Duration(i)*100*time.Millisecond, func() { sim.submit(sim.serviceJob(fmt.Sprintf("run-%06d", i), 3)) })
				}
				sim.submitArrays(120 * time.Second)
				sim.after(20*time.Second+sim.randomDuration(0, 2000), func() { scenario.inject(sim) })
				sim.after(150*time.Second, func() {
					sim.faultsActive = false
					sim.every(5*time.Second, func() { sim.pollAll() })
				})
				sim.run(210 * time.Second)
				if failure := sim.firstFailure(); failure != "" {
					broken++
					t.Errorf("seed %d: %s", seed, failure)
				}
			}
			if broken > 0 {
				t.Logf("%d of %d simulations fail", broken, leadershipFaultSeeds)
			}
		})
	}
}

// leadershipFaultSeeds is how many simulations each combination of faults is injected into.
const leadershipFaultSeeds = 12

// serviceJob is a job of replicas, for both teams by turns.
func (sim *simulation) serviceJob(id string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[int(id[len(id)-1])%2], Shape: wire.ShapeService,
		Priority: wire.PriorityProduction, Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1}
}

// submitArrays submits small arrays until the given time.
func (sim *simulation) submitArrays(until time.Duration) {
	i := 1000
	sim.every(4*time.Second, func() {
		if sim.now > until {
			return
		}
		i++
		sim.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray,
			Priority: wire.PriorityNormal, Tasks: 1 + sim.rng.IntN(4), CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1, Spot: true, EstimatedRunS: 8})
	})
}

// currentLeader is the controller that leads as far as the key-value store knows, or else any
// that takes itself for the leader.
func (sim *simulation) currentLeader() *simController {
	var out *simController
	for _, c := range sim.controllers {
		if c.scheduler != nil && (out == nil || c.term > out.term) {
			out = c
		}
	}
	return out
}

// refuseLeaderThenOutage has the key-value store refuse the leader alone for that long, and
// then everybody for longer than the cancellation bound.
func (sim *simulation) refuseLeaderThenOutage(alone time.Duration) {
	if c := sim.currentLeader(); c != nil {
		c.refusedByStoreUntil = sim.now + alone + time.Second
	}
	sim.after(alone, func() {
		sim.kvStore.StartOutage()
		sim.after(sim.size.cancellationBound+sim.randomDuration(5000, 25_000), func() { sim.kvStore.EndOutage(sim.now) })
	})
}

// cancelRandomService cancels one of the services.
func (sim *simulation) cancelRandomService() { sim.cancel(fmt.Sprintf("run-%06d", sim.rng.IntN(8))) }

// cancelLosingReply cancels a job at a controller, which it returns. In half of the cases the
// reply of the key-value store is lost, and a repeated request confirms the cancellation to
// the user.
func (sim *simulation) cancelLosingReply(id string) *simController {
	if sim.rng.IntN(2) == 0 {
		if it := sim.kvStore.Get(sim.now, records.JobKey(id)); it.ModRevision != 0 && sim.servingController() != nil {
			rec, err := records.DecodeJob(it)
			must(err)
			rec.Cancelled = true
			sim.kvStore.Commit(sim.now, wire.Txn{If: []wire.Compare{{Key: it.Key, ModRevision: it.ModRevision}}, Then: []wire.Op{{Set: it.Key, Value: rec}}})
			sim.after(sim.randomDuration(200, 2000), func() { sim.cancel(id) })
		}
		return nil
	}
	c := sim.servingController()
	if c != nil {
		sim.cancelAt(c, id)
	}
	return c
}

func (sim *simulation) pollAll() {
	for _, j := range sim.jobs {
		sim.pollJob(j.ID)
	}
}

// firstFailure says which rule was broken, or which job is not served once the faults are over.
func (sim *simulation) firstFailure() string {
	if len(sim.checker.Violations) > 0 {
		return strings.Join(sim.checker.Violations[:min(3, len(sim.checker.Violations))], "\n")
	}
	for _, j := range sim.jobs {
		on := sim.checker.PlacedTasks(j.ID)
		switch state := sim.pollJob(j.ID); {
		case state == wire.JobCancelled && on == 0, state == wire.JobDone && !j.Service(),
			state == wire.JobPending && j.Service() && on == j.Tasks:
		default:
			return fmt.Sprintf("%s is %s with %d of %d tasks on machines\n%s", j.ID, state, on, j.Tasks, sim.describeJob(j.ID))
		}
	}
	return ""
}
