package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	maxWaitBesideCapacity = 90 * time.Second  // no job waits for longer while a machine that fits has room
	maxUnanswered         = 75 * time.Second  // a job about which no question is answered for that long is forgotten
	startBound            = 240 * time.Second // the largest jobs begin within it
)

// acceptsWrites reports whether the state service takes n more changes now.
func (sim *simulation) acceptsWrites(n int) bool {
	if sim.writeRate == 0 {
		return true
	}
	sim.writeBudget = min(sim.writeRate, sim.writeBudget+(sim.now-sim.budgetRefilledAt).Seconds()*sim.writeRate)
	sim.budgetRefilledAt = sim.now
	if sim.writeBudget < float64(n) {
		return false
	}
	sim.writeBudget -= float64(n)
	return true
}

// checkWaitingJobs checks from a moment on, once all troubles are over, that no job waits
// beside room and that each is known: those that hold no matter how others fare.
func (sim *simulation) checkWaitingJobs(from time.Duration) {
	since := map[string]map[string]time.Duration{} // by job and machine with room
	answer := map[string]time.Duration{}           // when a question about it was last answered
	type attempt struct {
		task   string
		number uint64
	}
	seen := map[attempt]bool{}
	over := map[string]bool{} // jobs
	sim.after(from-sim.now, func() {
		sim.every(time.Second, func() {
			use, fresh := map[string]float64{}, map[string]bool{}
			taken := map[string]*wire.Job{} // by machine: what its tasks take
			on := map[string]string{}       // zones of tasks that are on a machine
			for _, name := range sim.machineNames {
				sum := &wire.Job{}
				sim.workers[name].EachAttempt(func(task string, number uint64, exited bool) {
					j := sim.checker.JobOfTask(task)
					if a := (attempt{task, number}); !seen[a] {
						seen[a], fresh[j.ID] = true, true
					}
					if !exited {
						sum.CPUs, sum.MemoryGB = sum.CPUs+j.CPUs, sum.MemoryGB+j.MemoryGB
						use[j.Team] += j.CPUs
						on[task] = sim.workers[name].Zone
					}
				})
				taken[name] = sum
			}
			for _, j := range sim.jobs {
				if over[j.ID] {
					continue
				}
				state := sim.pollJob(j.ID)
				over[j.ID] = state == wire.JobDone || state == wire.JobCancelled
				if state != "" {
					answer[j.ID] = sim.now
				} else if sim.now-max(from, answer[j.ID]) > maxUnanswered {
					sim.checker.Violations = append(sim.checker.Violations, fmt.Sprintf("%v forgotten: %s", sim.now, j.ID))
				}
				task, zones := "", map[string]int{}
				for i := range j.Tasks {
					name := wire.TaskName(j.ID, i)
					if z, there := on[name]; there {
						zones[z]++
					} else if !sim.checker.IsCompleted(name) && task == "" {
						task = name
					}
				}
				// The same machine all the time: under load some has room at any moment,
				// between the end of a task and the next one's start.
				var beside []string
				if state == wire.JobPending && task != "" && !fresh[j.ID] && use[j.Team]+j.CPUs <= sim.checker.QuotaLimit(j.Team) {
					beside = sim.machinesThatFit(j, zones, taken)
				}
				waits := map[string]time.Duration{}
				for _, name := range beside {
					waits[name] = sim.now
					if at, ok := since[j.ID][name]; ok {
						waits[name] = at
					}
					if sim.now-waits[name] > maxWaitBesideCapacity {
						sim.checker.RecordLeftWaiting(sim.now, task, name, waits[name])
						waits[name] = sim.now
					}
				}
				since[j.ID] = waits
			}
		})
	})
}

// machinesThatFit lists machines that could take one more task of the job, which has tasks in
// the zones already.
func (sim *simulation) machinesThatFit(j *wire.Job, zones map[string]int, taken map[string]*wire.Job) (out []string) {
	for _, name := range sim.machineNames {
		wk := sim.workers[name]
		if wk.Terminated || wk.Spot && !j.Spot || j.Zone != "" && j.Zone != wk.Zone || zones[wk.Zone] >= j.MaxTasksPerZone() {
			continue
		}
		if j.SameZone && len(zones) > 0 && zones[wk.Zone] == 0 {
			continue
		}
		if j.Gang() && len(zones) == 0 {
			continue // room for one task is not enough
		}
		if taken[name].CPUs+j.CPUs <= wk.MachineType.CPUs && taken[name].MemoryGB+j.MemoryGB <= wk.MachineType.MemoryGB {
			out = append(out, name)
		}
	}
	return out
}

// endedState reports what became of a job for good; empty: it lives.
func (sim *simulation) endedState(id string) string {
	it := sim.kvStore.Get(sim.now, records.EndedJobKey(id))
	if it.ModRevision == 0 {
		return ""
	}
	var rec records.EndedJob
	must(wire.Unmarshal(it.Value, &rec))
	return rec.State
}

func (sim *simulation) failOnViolations(t *testing.T, seed uint64) {
	t.Helper()
	if n := len(sim.checker.Violations); n > 0 {
		t.Fatalf("seed %d: %d broken:\n%s", seed, n, strings.Join(sim.checker.Violations[:min(4, n)], "\n"))
	}
}

// The outage in which one-task jobs go on coming and ending.
const outageStart, outageEnd = 60 * time.Second, 85 * time.Second

// outageEndAround is when the outage ends that a moment falls into, or is shortly before.
func outageEndAround(at time.Duration) time.Duration {
	if at > outageStart-5*time.Second && at < outageEnd+5*time.Second {
		return outageEnd
	}
	return 0
}

// One-task jobs come four a second for two minutes, a quarter of them cancelled, at a
// state service that takes twenty changes a second, and none for a while: the leader
// keeps its share of them, jobs are accepted, start, and end.
func TestSmallJobsUnderWriteBudgetAndOutage(t *testing.T) {
	for seed := range uint64(3) {
		size := smallSimulation
		size.teamCPUs, size.writeRate, size.maxPerKind = 200, 20, 12
		sim := newSimulationOf(seed, size)
		sim.faultsActive, sim.writeRate, sim.writeBudget = false, 20, 20
		begun, over := map[string]time.Duration{}, map[string]time.Duration{}
		came := map[string]time.Duration{}
		sim.changesBySecond, sim.acceptedAt = make([]int, 201), map[string]time.Duration{}
		cancelled := map[string]bool{}
		n := 0
		sim.every(250*time.Millisecond, func() {
			if sim.now < 10*time.Second || sim.now > 130*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[n%2], Shape: wire.ShapeArray,
				Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimatedRunS: 8}
			came[j.ID] = sim.now
			if sim.rng.IntN(4) == 0 {
				cancelled[j.ID] = true
				sim.after(sim.randomDuration(100, 12_000), func() { sim.cancel(j.ID) })
			}
			sim.submit(j)
		})
		sim.every(500*time.Millisecond, func() {
			for _, name := range sim.machineNames {
				sim.workers[name].EachAttempt(func(task string, _ uint64, _ bool) {
					id, _, _ := wire.ParseTaskName(task)
					if begun[id] == 0 {
						begun[id] = sim.now
					}
				})
			}
			for _, j := range sim.jobs {
				if over[j.ID] == 0 && sim.endedState(j.ID) != "" {
					over[j.ID] = sim.now
				}
			}
		})
		// Jobs that ended in an outage are all written after it, and starts with them.
		sim.after(outageStart, func() { sim.kvStore.StartOutage() })
		sim.after(outageEnd, func() { sim.kvStore.EndOutage(sim.now) })
		sim.checkWaitingJobs(100 * time.Second)
		sim.run(200 * time.Second)
		sim.failOnViolations(t, seed)
		late, slowest := 0, time.Duration(0)
		for id := range came {
			// No start can be written in the outage.
			if wait := begun[id] - max(sim.acceptedAt[id], outageEndAround(sim.acceptedAt[id])); !cancelled[id] {
				slowest = max(slowest, wait)
				if wait > 10*time.Second {
					late++
				}
			}
			if over[id] == 0 {
				t.Fatalf("seed %d: %s, which came at %v, has not ended; it began at %v", seed, id, came[id], begun[id])
			}
		}
		if late > n/100 {
			t.Errorf("seed %d: %d of %d jobs began later than 10 s after they could, the last %v", seed, late, n, slowest)
		}
		for at := range 190 {
			sum := 0
			for _, k := range sim.changesBySecond[at : at+10] {
				sum += k
			}
			if sum > 10*16+16 { // its share of the rate, and of one second's burst
				t.Fatalf("seed %d: the leader makes %d changes in the 10 s from %d s on", seed, sum, at)
			}
		}
		for _, j := range sim.jobs {
			wait := sim.acceptedAt[j.ID] - came[j.ID]
			if out := outageEndAround(came[j.ID]) > 0; wait > 10*time.Second && !out || wait > 60*time.Second {
				t.Errorf("seed %d: %s was accepted after %v", seed, j.ID, wait)
			}
		}
		t.Logf("seed %d: %d jobs, %d late, the last after %v, the leader was refused %d times", seed, n, late, slowest, sim.refusedTransactions)
	}
}

// There is more work than room, urgent and not, over slow links: the largest jobs begin
// within four minutes, and of each class, team and of the largest at least half is served.
func TestOverloadStarvesNoJob(t *testing.T) {
	for seed := range uint64(3) {
		size := smallSimulation
		size.teamCPUs, size.maxPerKind = 60, 2
		sim := newSimulationOf(seed, size)
		sim.faultsActive, sim.maxLinkDelay = false, 400*time.Millisecond
		served, all := map[string]int{}, map[string]int{}
		of := map[string][]string{}
		begun, came := map[string]time.Duration{}, map[string]time.Duration{}
		n := 0
		sim.every(2*time.Second, func() {
			if sim.now < 5*time.Second || sim.now > 300*time.Second {
				return
			}
			n++
			due := float64(30 + sim.rng.IntN(60))
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: []string{"train", "sweep"}[n%2], Team: []string{"red", "blue"}[n/2%2], Shape: wire.ShapeArray,
				Priority: []string{wire.PriorityUrgent, wire.PriorityUrgent, wire.PriorityNormal}[n%3], Tasks: 1 + sim.rng.IntN(9), CPUs: float64(1 + sim.rng.IntN(3)), MemoryGB: 1,
				Image: fmt.Sprintf("img-%d", n%3), ImageGB: 1, EstimatedRunS: 8, DeadlineS: &due}
			groups := []string{j.Class, j.Team}
			if n%12 == 4 {
				j.Tasks, j.Priority = 30, wire.PriorityNormal
				groups = append(groups, "largest")
			}
			of[j.ID], came[j.ID] = groups, sim.now
			sim.submit(j)
		})
		sim.every(500*time.Millisecond, func() {
			for _, name := range sim.machineNames {
				sim.workers[name].EachAttempt(func(task string, _ uint64, _ bool) {
					if id, _, _ := wire.ParseTaskName(task); begun[id] == 0 {
						begun[id] = sim.now
					}
				})
			}
		})
		sim.checkWaitingJobs(20 * time.Second)
		sim.run(640 * time.Second)
		sim.failOnViolations(t, seed)
		for id, groups := range of {
			for _, g := range groups {
				all[g]++
				if sim.endedState(id) != "" {
					served[g]++
				}
				if g == "largest" && (begun[id] == 0 || begun[id]-came[id] > startBound) {
					t.Errorf("seed %d: %s, one of the largest, came at %v and began at %v", seed, id, came[id], begun[id])
				}
			}
		}
		for g := range all {
			if 2*served[g] < all[g] {
				t.Errorf("seed %d: %d of %d of %s are served", seed, served[g], all[g], g)
			}
		}
		t.Logf("seed %d: served %v of %v", seed, served, all)
	}
}

// Teams are at their limits when the leader changes, while some machines cannot be
// asked, or hang, and jobs are cancelled: what may still be there counts.
func TestQuotaLimitsHoldAcrossFailovers(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed)
		sim.lossRate, sim.delayRate = 0.02, 0.02
		n := 0
		sim.every(700*time.Millisecond, func() {
			if sim.now > 100*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[sim.rng.IntN(2)], Shape: wire.ShapeArray,
				Priority: wire.PriorityNormal, Tasks: 2 + sim.rng.IntN(6), CPUs: float64(2 + sim.rng.IntN(3)), MemoryGB: 1, Image: "img", ImageGB: 0.5, EstimatedRunS: 8, Spot: true}
			if n%4 == 0 {
				j.Shape, j.Priority, j.Tasks, j.EstimatedRunS = wire.ShapeService, wire.PriorityProduction, 1+sim.rng.IntN(2), 0
				sim.after(sim.randomDuration(20_000, 40_000), func() { sim.cancel(j.ID) })
			}
			sim.submit(j)
		})
		for i := range 5 {
			sim.after(time.Duration(15+18*i)*time.Second+sim.randomDuration(0, 3000), func() {
				long := sim.randomDuration(4000, 20_000)
				for _, name := range sim.machineNames {
					switch sim.rng.IntN(4) {
					case 0:
						sim.hungUntil[name] = sim.now + long
					case 1:
						sim.partitionedUntil[name] = sim.now + long
					}
				}
				sim.after(sim.randomDuration(0, 4000), func() {
					for _, node := range sim.controllers {
						if node.scheduler != nil {
							node.crash(sim.randomDuration(500, 6000))
						}
					}
				})
				for range 4 {
					sim.after(sim.randomDuration(0, 6000), func() { sim.cancel(sim.jobs[len(sim.jobs)-1-sim.rng.IntN(min(len(sim.jobs), 12))].ID) })
				}
			})
		}
		sim.after(125*time.Second, func() { sim.faultsActive = false })
		sim.checkWaitingJobs(160 * time.Second)
		sim.run(330 * time.Second)
		sim.failOnViolations(t, seed)
	}
}

// Jobs that are bound to a zone lose machines, some in every zone and once all of one
// zone, and leaders change: they start again where they may, and only there.
func TestZonalJobsSurviveMachineLoss(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed)
		sim.lossRate, sim.delayRate = 0.02, 0.02
		sim.settings.Teams = map[string]scheduler.TeamQuota{"red": {CPUs: 12, CPUsMax: 24}, "blue": {CPUs: 12, CPUsMax: 24}}
		n := 0
		sim.every(1500*time.Millisecond, func() {
			if sim.now > 110*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[sim.rng.IntN(2)], Shape: wire.ShapeArray,
				Priority: wire.PriorityNormal, Tasks: 2 + sim.rng.IntN(5), CPUs: float64(1 + sim.rng.IntN(2)), MemoryGB: 1, Image: "img", ImageGB: 0.5, EstimatedRunS: 8, Spot: sim.rng.IntN(2) == 0}
			switch n % 3 {
			case 0:
				j.SameZone = true
			case 1:
				j.SpreadZones = true
			default:
				j.Zone = []string{"a", "b"}[sim.rng.IntN(2)]
			}
			if sim.rng.IntN(6) == 0 {
				j.Shape, j.Tasks, j.EstimatedRunS = wire.ShapeService, 1+sim.rng.IntN(4), 0
				sim.after(sim.randomDuration(60_000, 100_000), func() { sim.cancel(j.ID) })
			}
			sim.submit(j)
		})
		for i := range 6 {
			sim.after(time.Duration(10+15*i)*time.Second+sim.randomDuration(0, 3000), func() {
				zone := []string{"a", "b", ""}[sim.rng.IntN(3)]
				for _, name := range sim.machineNames {
					if wk := sim.workers[name]; wk.Zone == zone || sim.rng.IntN(4) == 0 {
						switch sim.rng.IntN(3) {
						case 0:
							wk.Terminate() // taken without notice
						case 1:
							sim.partitionedUntil[name] = sim.now + sim.randomDuration(4000, 15_000)
						}
					}
				}
				if sim.rng.IntN(2) == 0 {
					sim.after(sim.randomDuration(0, 4000), func() {
						for _, node := range sim.controllers {
							if node.scheduler != nil {
								node.crash(sim.randomDuration(500, 4000))
							}
						}
					})
				}
			})
		}
		sim.after(130*time.Second, func() { sim.faultsActive = false })
		sim.checkWaitingJobs(170 * time.Second)
		sim.run(400 * time.Second)
		sim.failOnViolations(t, seed)
		for _, j := range sim.jobs {
			if sim.pollJob(j.ID) == wire.JobPending && !j.Service() {
				t.Fatalf("seed %d: %s of %d tasks is not done\n%s", seed, j.ID, j.Tasks, sim.describeJob(j.ID))
			}
		}
	}
}

// The checks of the added rules have to be able to fail: where leaders place nothing a
// job waits beside room, and with no node left no question about it is answered.
func TestWaitingChecksCanFail(t *testing.T) {
	for _, m := range []struct {
		name, want string
		spoil      func(sim *simulation)
	}{
		{"leaders that take the team's limit for none", "left_waiting", func(sim *simulation) {
			for _, c := range sim.controllers {
				c.crash(time.Second)
			}
			sim.settings.Teams = map[string]scheduler.TeamQuota{}
		}},
		{"no node", "forgotten", func(sim *simulation) {
			for _, c := range sim.controllers {
				c.crash(time.Hour)
			}
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			sim := newSimulation(1)
			sim.faultsActive = false
			sim.after(20*time.Second, func() {
				m.spoil(sim)
				sim.jobs = append(sim.jobs, &wire.Job{ID: "run-000001", Team: "red", Shape: wire.ShapeArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"})
				sim.checker.AddJob(sim.jobs[0])
				_, _ = sim.kvStore.Commit(sim.now, wire.Txn{Then: []wire.Op{{Set: records.JobKey("run-000001"), Value: records.Job{Job: *sim.jobs[0]}}}})
			})
			sim.checkWaitingJobs(21 * time.Second)
			sim.run(100 * time.Second)
			if len(sim.checker.Violations) > 0 && m.want == "left_waiting" {
				t.Fatalf("too early: %v", sim.checker.Violations)
			}
			sim.run(140 * time.Second)
			if b := strings.Join(sim.checker.Violations, "\n"); !strings.Contains(b, m.want) {
				t.Errorf("%s is not seen: %q", m.want, b)
			}
		})
	}
}
