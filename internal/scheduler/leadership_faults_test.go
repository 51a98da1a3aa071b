package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// No rule is broken when failovers, outages and partitions coincide with cancellations at random
// times, and after the faults every accepted job is done or runs, or has no task left if it was
// cancelled. internal/mutation removes the safeguards and checks that this test fails then.
func TestCombinedLeadershipFaults(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		inject func(sim *simulation)
	}{
		{"all_controllers_down", func(sim *simulation) {
			// All controllers are down or paused for about a worker's lease or longer.
			// Machines hang or are partitioned meanwhile, some for longer than a lease.
			downtime := sim.randomDuration(9000, 20_000)
			sim.cancelHalfOfServices() // just before the controllers fail, too late for the stops to be sent
			for range 2 {
				name := sim.machineNames[sim.rng.IntN(len(sim.machineNames))]
				sim.hungUntil[name] = sim.now + sim.randomDuration(3000, 11_000)
			}
			pauseOnly := sim.rng.IntN(3) == 0
			sim.after(sim.randomDuration(0, 20), func() {
				for _, c := range sim.controllers {
					if pauseOnly {
						c.pausedUntil = sim.now + downtime + sim.randomDuration(0, 1500)
					} else {
						c.crash(downtime + sim.randomDuration(0, 1500))
					}
				}
			})
			sim.after(downtime-sim.randomDuration(0, 4000), func() {
				for range 2 {
					sim.partitionedUntil[sim.machineNames[sim.rng.IntN(len(sim.machineNames))]] = sim.now + sim.randomDuration(4000, 25_000)
				}
			})
			sim.after(downtime+sim.randomDuration(100, 4000), sim.cancelHalfOfServices)
		}},
		{"slow_store_then_outage", func(sim *simulation) {
			// Watch replies take seconds, and jobs are cancelled right after they were
			// accepted, before the key-value store refuses the leader alone and then
			// every controller.
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
			// Jobs are cancelled as the key-value store begins to refuse the leader, and
			// about a second later it refuses every controller.
			sim.refuseLeaderThenOutage(sim.randomDuration(900, 1100))
			sim.after(sim.randomDuration(1, 100), sim.cancelHalfOfServices)
		}},
		{"store_outage_and_confirmer_fails", func(sim *simulation) {
			refusalDuration := sim.randomDuration(100, 5000)
			sim.refuseLeaderThenOutage(refusalDuration)
			fault := sim.rng.IntN(8) // values from 4 on: no fault
			for range 6 {
				id := fmt.Sprintf("run-%06d", sim.rng.IntN(8))
				sim.after(sim.randomDuration(0, int(refusalDuration/time.Millisecond)), func() {
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
				// The outage ends, and another begins up to 3 s later.
				sim.after(refusalDuration+sim.randomDuration(5000, 50_000), func() {
					sim.kvStore.EndOutage(sim.now)
					sim.after(sim.randomDuration(50, 3000), func() { sim.refuseLeaderThenOutage(sim.randomDuration(0, 1000)) })
					sim.after(sim.randomDuration(1, 3000), sim.cancelRandomService)
				})
			}
		}},
		{"repeated_failovers", func(sim *simulation) {
			// Jobs are cancelled during failovers: the leader crashes, is paused or loses
			// its lease.
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
			// Leadership alternates between controllers, then all crash, and one restarts
			// within 1.5 s. Messages may be lost, delayed or duplicated, so that commands of
			// an earlier leader may be executed late.
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
				firstToRestart := sim.rng.IntN(len(sim.controllers))
				for i, c := range sim.controllers {
					c.crash(sim.randomDuration(8000, 20_000))
					if i == firstToRestart {
						c.downUntil = sim.now + sim.randomDuration(50, 1500)
						c.startedAt = c.downUntil
					}
				}
				sim.after(sim.randomDuration(0, 1000), sim.cancelRandomService)
			})
			sim.after(60*time.Second, func() { sim.lossRate, sim.delayRate, sim.duplicateRate, sim.heartbeatCopyRate = 0, 0, 0, 0 })
		}},
		{"ten_leaders", func(sim *simulation) {
			// Ten leader crashes in two minutes, with an outage of the key-value store meanwhile.
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
			// worker's lease, with or without the leader, while jobs are cancelled on
			// either side.
			zone := []string{"a", "b"}[sim.rng.IntN(2)]
			if sim.rng.IntN(4) > 0 {
				sim.cloudUnresponsiveUntil = sim.now + 60*time.Second // no release is carried out, so none proves tasks absent
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
			// The leader is partitioned from the key-value store and its peers, but not
			// from workers and users. Jobs are cancelled through its successor.
			c := sim.currentLeader()
			c.isolatedUntil = sim.now + sim.randomDuration(15_000, 70_000)
			for range 3 {
				sim.after(sim.randomDuration(0, 3000), sim.cancelRandomService)
			}
			sim.after(sim.randomDuration(3000, 20_000), sim.cancelRandomService)
		}},
		{"release_unanswered", func(sim *simulation) {
			// Machines hang until the leader releases them, and resume within their lease.
			// The cloud does not answer, and the key-value store refuses the leader.
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
			failedSeeds := 0
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
					failedSeeds++
					t.Errorf("seed %d: %s", seed, failure)
				}
			}
			if failedSeeds > 0 {
				t.Logf("%d of %d simulations fail", failedSeeds, leadershipFaultSeeds)
			}
		})
	}
}

// leadershipFaultSeeds is the number of simulations for each combination of faults.
const leadershipFaultSeeds = 12

// serviceJob returns a service. Its team depends on the last digit of the job ID.
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

// currentLeader returns the controller that leads in the highest term, or nil if none leads.
func (sim *simulation) currentLeader() *simController {
	var leader *simController
	for _, c := range sim.controllers {
		if c.scheduler != nil && (leader == nil || c.term > leader.term) {
			leader = c
		}
	}
	return leader
}

// refuseLeaderThenOutage makes the key-value store refuse the leader alone for the given time,
// and then every controller for longer than the cancellation bound.
func (sim *simulation) refuseLeaderThenOutage(refusalDuration time.Duration) {
	if c := sim.currentLeader(); c != nil {
		c.refusedByStoreUntil = sim.now + refusalDuration + time.Second
	}
	sim.after(refusalDuration, func() {
		sim.kvStore.StartOutage()
		sim.after(sim.size.cancellationBound+sim.randomDuration(5000, 25_000), func() { sim.kvStore.EndOutage(sim.now) })
	})
}

// cancelRandomService cancels one of the eight services.
func (sim *simulation) cancelRandomService() { sim.cancel(fmt.Sprintf("run-%06d", sim.rng.IntN(8))) }

// cancelLosingReply cancels a job. In half of the cases it cancels it at a controller, which it
// returns. In the other half the cancellation commits but the key-value store's reply is lost,
// so that only a repeated request confirms the cancellation to the user; it returns nil then.
func (sim *simulation) cancelLosingReply(id string) *simController {
	if sim.rng.IntN(2) == 0 {
		if item := sim.kvStore.Get(sim.now, records.JobKey(id)); item.ModRevision != 0 && sim.servingController() != nil {
			record, err := records.DecodeJob(item)
			must(err)
			record.Cancelled = true
			sim.kvStore.Commit(sim.now, wire.Txn{If: []wire.Compare{{Key: item.Key, ModRevision: item.ModRevision}}, Then: []wire.Op{{Set: item.Key, Value: record}}})
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

// firstFailure describes the first rule violations, or a job that is in the wrong state after
// the faults have ended. It returns "" if there is no failure.
func (sim *simulation) firstFailure() string {
	if len(sim.checker.Violations) > 0 {
		return strings.Join(sim.checker.Violations[:min(3, len(sim.checker.Violations))], "\n")
	}
	for _, j := range sim.jobs {
		placedTasks := sim.checker.PlacedTasks(j.ID)
		switch state := sim.pollJob(j.ID); {
		case state == wire.JobCancelled && placedTasks == 0, state == wire.JobDone && !j.Service(),
			state == wire.JobPending && j.Service() && placedTasks == j.Tasks:
		default:
			return fmt.Sprintf("%s is %s with %d of %d tasks on machines\n%s", j.ID, state, placedTasks, j.Tasks, sim.describeJob(j.ID))
		}
	}
	return ""
}
