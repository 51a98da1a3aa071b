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

// maxFirstStartWait is how long the largest jobs may wait for the start of their first task.
const maxFirstStartWait = 240 * time.Second

// acceptsWrites reports whether the key-value store's write rate allows n more changes now, and
// if so deducts them from the budget.
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

// endedState returns the state in which a job has ended, or "" if it has not ended.
func (sim *simulation) endedState(id string) string {
	item := sim.kvStore.Get(sim.now, records.EndedJobKey(id))
	if item.ModRevision == 0 {
		return ""
	}
	var record records.EndedJob
	must(wire.Unmarshal(item.Value, &record))
	return record.State
}

func (sim *simulation) requireNoViolations(t *testing.T, seed uint64) {
	t.Helper()
	if n := len(sim.checker.Violations); n > 0 {
		t.Fatalf("seed %d: %d violations:\n%s", seed, n, strings.Join(sim.checker.Violations[:min(4, n)], "\n"))
	}
}

// The key-value store is unavailable from outageStart to outageEnd, while one-task jobs still
// arrive and end.
const outageStart, outageEnd = 60 * time.Second, 85 * time.Second

// outageEndNear returns when the outage ends if the given time is during the outage or within
// 5 s of it, and 0 otherwise.
func outageEndNear(at time.Duration) time.Duration {
	if at > outageStart-5*time.Second && at < outageEnd+5*time.Second {
		return outageEnd
	}
	return 0
}

// startTimes holds, by job ID, when a worker first listed a task of the job.
type startTimes map[string]time.Duration

// recordStarts returns start times that are updated every 500 ms as the simulation runs.
func (sim *simulation) recordStarts() startTimes {
	starts := startTimes{}
	sim.every(500*time.Millisecond, func() {
		for _, name := range sim.machineNames {
			sim.workers[name].EachAttempt(func(task string, _ uint64, _ bool) {
				if id, _, _ := wire.ParseTaskName(task); starts[id] == 0 {
					starts[id] = sim.now
				}
			})
		}
	})
	return starts
}

// smallJobs is a stream of one-task jobs, about a quarter of which are cancelled.
type smallJobs struct {
	sim         *simulation
	count       int
	submittedAt map[string]time.Duration
	cancelled   map[string]bool
}

// submitSmallJobs submits four one-task jobs per second for two minutes.
func (sim *simulation) submitSmallJobs() *smallJobs {
	jobs := &smallJobs{sim: sim, submittedAt: map[string]time.Duration{}, cancelled: map[string]bool{}}
	sim.every(250*time.Millisecond, func() {
		if sim.now < 10*time.Second || sim.now > 130*time.Second {
			return
		}
		jobs.count++
		j := &wire.Job{ID: fmt.Sprintf("run-%06d", jobs.count), Class: "c", Team: []string{"red", "blue"}[jobs.count%2], Shape: wire.ShapeArray,
			Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimatedRunS: 8}
		jobs.submittedAt[j.ID] = sim.now
		if sim.rng.IntN(4) == 0 {
			jobs.cancelled[j.ID] = true
			sim.after(sim.randomDuration(100, 12_000), func() { sim.cancel(j.ID) })
		}
		sim.submit(j)
	})
	return jobs
}

// checkStarts checks that all jobs have ended, and that at most 1% of them started more than
// 10 s after their acceptance without being cancelled. No start can be recorded during the
// outage, so for jobs accepted then the 10 s begin when it ends.
func (jobs *smallJobs) checkStarts(t *testing.T, seed uint64, starts startTimes) {
	t.Helper()
	late, longestWait := 0, time.Duration(0)
	for id, submittedAt := range jobs.submittedAt {
		acceptedAt := jobs.sim.acceptedAt[id]
		if wait := starts[id] - max(acceptedAt, outageEndNear(acceptedAt)); !jobs.cancelled[id] {
			longestWait = max(longestWait, wait)
			if wait > 10*time.Second {
				late++
			}
		}
		if jobs.sim.endedState(id) == "" {
			t.Fatalf("seed %d: %s, submitted at %v, has not ended; it started at %v", seed, id, submittedAt, starts[id])
		}
	}
	if late > jobs.count/100 {
		t.Errorf("seed %d: %d of %d jobs started more than 10 s after they could; the longest wait was %v", seed, late, jobs.count, longestWait)
	}
	t.Logf("seed %d: %d jobs, %d started late, longest wait %v, %d leader transactions refused", seed, jobs.count, late, longestWait, jobs.sim.refusedTransactions)
}

// checkAcceptance checks that submissions were accepted within 10 s, and during the outage or
// close to it within 60 s.
func (jobs *smallJobs) checkAcceptance(t *testing.T, seed uint64) {
	t.Helper()
	for _, j := range jobs.sim.jobs {
		submittedAt := jobs.submittedAt[j.ID]
		wait := jobs.sim.acceptedAt[j.ID] - submittedAt
		if inOutage := outageEndNear(submittedAt) > 0; wait > 10*time.Second && !inOutage || wait > 60*time.Second {
			t.Errorf("seed %d: %s was accepted after %v", seed, j.ID, wait)
		}
	}
}

// checkWriteRate checks that the leader stays within its share of the key-value store's write
// rate, 16 of 20 changes per second: in any 10 s of the first 200 s it makes at most the changes
// of 10 s and a burst of one second.
func (sim *simulation) checkWriteRate(t *testing.T, seed uint64) {
	t.Helper()
	for firstSecond := range 190 {
		sum := 0
		for _, changes := range sim.changesBySecond[firstSecond : firstSecond+10] {
			sum += changes
		}
		if sum > 10*16+16 {
			t.Fatalf("seed %d: the leader makes %d changes in the 10 s from second %d", seed, sum, firstSecond)
		}
	}
}

// Four one-task jobs arrive per second for two minutes, and a quarter of them are cancelled,
// while the key-value store takes 20 changes per second, and none during an outage of 25 s. The
// leader stays within its share of the write rate, and jobs are accepted, start and end in time.
func TestSmallJobsUnderWriteBudgetAndOutage(t *testing.T) {
	for seed := range uint64(3) {
		size := smallSimulation
		size.maxTeamCPUs, size.writeRate, size.maxMachinesPerKind = 200, 20, 12
		sim := newSimulationWithSize(seed, size)
		sim.faultsActive, sim.writeRate, sim.writeBudget = false, 20, 20
		sim.changesBySecond, sim.acceptedAt = make([]int, 201), map[string]time.Duration{}
		jobs := sim.submitSmallJobs()
		starts := sim.recordStarts()
		// The ends of jobs during the outage are all written after it, together with new starts.
		sim.after(outageStart, func() { sim.kvStore.StartOutage() })
		sim.after(outageEnd, func() { sim.kvStore.EndOutage(sim.now) })
		sim.checkWaitingJobs(100 * time.Second)
		sim.run(200 * time.Second)
		sim.requireNoViolations(t, seed)
		jobs.checkStarts(t, seed, starts)
		sim.checkWriteRate(t, seed)
		jobs.checkAcceptance(t, seed)
	}
}

// overloadJobs is a stream of jobs that needs more capacity than there is. Each job belongs to
// the groups of its class and its team, and the largest jobs form another group.
type overloadJobs struct {
	sim         *simulation
	groupsOf    map[string][]string
	submittedAt map[string]time.Duration
}

const largestGroup = "largest"

func (sim *simulation) submitOverload() *overloadJobs {
	jobs := &overloadJobs{sim: sim, groupsOf: map[string][]string{}, submittedAt: map[string]time.Duration{}}
	n := 0
	sim.every(2*time.Second, func() {
		if sim.now < 5*time.Second || sim.now > 300*time.Second {
			return
		}
		n++
		deadline := float64(30 + sim.rng.IntN(60))
		j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: []string{"train", "sweep"}[n%2], Team: []string{"red", "blue"}[n/2%2], Shape: wire.ShapeArray,
			Priority: []string{wire.PriorityUrgent, wire.PriorityUrgent, wire.PriorityNormal}[n%3], Tasks: 1 + sim.rng.IntN(9), CPUs: float64(1 + sim.rng.IntN(3)), MemoryGB: 1,
			Image: fmt.Sprintf("img-%d", n%3), ImageGB: 1, EstimatedRunS: 8, DeadlineS: &deadline}
		groups := []string{j.Class, j.Team}
		if n%12 == 4 {
			j.Tasks, j.Priority = 30, wire.PriorityNormal
			groups = append(groups, largestGroup)
		}
		jobs.groupsOf[j.ID], jobs.submittedAt[j.ID] = groups, sim.now
		sim.submit(j)
	})
	return jobs
}

// check checks that the largest jobs started within maxFirstStartWait, and that at least half
// of the jobs of each group have ended.
func (jobs *overloadJobs) check(t *testing.T, seed uint64, starts startTimes) {
	t.Helper()
	ended, total := map[string]int{}, map[string]int{}
	for id, groups := range jobs.groupsOf {
		for _, group := range groups {
			total[group]++
			if jobs.sim.endedState(id) != "" {
				ended[group]++
			}
			if group == largestGroup && (starts[id] == 0 || starts[id]-jobs.submittedAt[id] > maxFirstStartWait) {
				t.Errorf("seed %d: %s, one of the largest, was submitted at %v and started at %v", seed, id, jobs.submittedAt[id], starts[id])
			}
		}
	}
	for group := range total {
		if 2*ended[group] < total[group] {
			t.Errorf("seed %d: only %d of %d jobs of group %s have ended", seed, ended[group], total[group], group)
		}
	}
	t.Logf("seed %d: jobs ended by group: %v of %v", seed, ended, total)
}

// No job is starved when there is more work than capacity, urgent and normal, over slow links:
// the largest jobs start within four minutes, and at least half of the jobs of each class, of
// each team and of the largest jobs end.
func TestOverloadStarvesNoJob(t *testing.T) {
	for seed := range uint64(3) {
		size := smallSimulation
		size.maxTeamCPUs, size.maxMachinesPerKind = 60, 2
		sim := newSimulationWithSize(seed, size)
		sim.faultsActive, sim.maxLinkDelay = false, 400*time.Millisecond
		jobs := sim.submitOverload()
		starts := sim.recordStarts()
		sim.checkWaitingJobs(20 * time.Second)
		sim.run(640 * time.Second)
		sim.requireNoViolations(t, seed)
		jobs.check(t, seed, starts)
	}
}

// crashLeaders crashes the controllers that lead, each for a random time between the bounds in
// milliseconds.
func (sim *simulation) crashLeaders(minDownMS, maxDownMS int) {
	for _, c := range sim.controllers {
		if c.scheduler != nil {
			c.crash(sim.randomDuration(minDownMS, maxDownMS))
		}
	}
}

// submitQuotaFillers submits arrays, and services that are cancelled later, until the given
// time. They fill their teams' quotas.
func (sim *simulation) submitQuotaFillers(until time.Duration) {
	n := 0
	sim.every(700*time.Millisecond, func() {
		if sim.now > until {
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
}

// injectFailoverFaults makes about half of the machines hang or partitions them for 4 to 20 s,
// crashes the leader within 4 s, and cancels up to four recent jobs within 6 s.
func (sim *simulation) injectFailoverFaults() {
	duration := sim.randomDuration(4000, 20_000)
	for _, name := range sim.machineNames {
		switch sim.rng.IntN(4) {
		case 0:
			sim.hungUntil[name] = sim.now + duration
		case 1:
			sim.partitionedUntil[name] = sim.now + duration
		}
	}
	sim.after(sim.randomDuration(0, 4000), func() { sim.crashLeaders(500, 6000) })
	for range 4 {
		sim.after(sim.randomDuration(0, 6000), func() {
			recent := sim.rng.IntN(min(len(sim.jobs), 12))
			sim.cancel(sim.jobs[len(sim.jobs)-1-recent].ID)
		})
	}
}

// Teams stay within their quota limits across failovers while some machines hang or are
// partitioned and jobs are cancelled: tasks that may still run on those machines count.
func TestQuotaLimitsHoldAcrossFailovers(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed)
		sim.lossRate, sim.delayRate = 0.02, 0.02
		sim.submitQuotaFillers(100 * time.Second)
		for i := range 5 {
			sim.after(time.Duration(15+18*i)*time.Second+sim.randomDuration(0, 3000), sim.injectFailoverFaults)
		}
		sim.after(125*time.Second, func() { sim.faultsActive = false })
		sim.checkWaitingJobs(160 * time.Second)
		sim.run(330 * time.Second)
		sim.requireNoViolations(t, seed)
	}
}

// submitZonalJobs submits jobs with each kind of zone constraint until the given time. Some of
// them are services that are cancelled later.
func (sim *simulation) submitZonalJobs(until time.Duration) {
	n := 0
	sim.every(1500*time.Millisecond, func() {
		if sim.now > until {
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
}

// injectZoneFaults terminates machines without notice or partitions them. In two of three cases
// it draws a zone, whose machines are affected more often. In half of the cases the leader
// crashes as well.
func (sim *simulation) injectZoneFaults() {
	zone := []string{"a", "b", ""}[sim.rng.IntN(3)]
	for _, name := range sim.machineNames {
		if worker := sim.workers[name]; worker.Zone == zone || sim.rng.IntN(4) == 0 {
			switch sim.rng.IntN(3) {
			case 0:
				worker.Terminate()
			case 1:
				sim.partitionedUntil[name] = sim.now + sim.randomDuration(4000, 15_000)
			}
		}
	}
	if sim.rng.IntN(2) == 0 {
		sim.after(sim.randomDuration(0, 4000), func() { sim.crashLeaders(500, 4000) })
	}
}

// Jobs with zone constraints lose machines, mostly those of one zone, while leaders change. The
// jobs start again only where their constraints allow it, and the arrays complete.
func TestZonalJobsSurviveMachineLoss(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed)
		sim.lossRate, sim.delayRate = 0.02, 0.02
		sim.settings.Teams = map[string]scheduler.TeamQuota{"red": {CPUs: 12, MaxCPUs: 24}, "blue": {CPUs: 12, MaxCPUs: 24}}
		sim.submitZonalJobs(110 * time.Second)
		for i := range 6 {
			sim.after(time.Duration(10+15*i)*time.Second+sim.randomDuration(0, 3000), sim.injectZoneFaults)
		}
		sim.after(130*time.Second, func() { sim.faultsActive = false })
		sim.checkWaitingJobs(170 * time.Second)
		sim.run(400 * time.Second)
		sim.requireNoViolations(t, seed)
		for _, j := range sim.jobs {
			if sim.pollJob(j.ID) == wire.JobPending && !j.Service() {
				t.Fatalf("seed %d: %s with %d tasks is not done\n%s", seed, j.ID, j.Tasks, sim.describeJob(j.ID))
			}
		}
	}
}

// The checks of waitingChecker can fail: if leaders place nothing, a job waits beside free
// capacity, and if all controllers are down, no poll of the job is answered.
func TestWaitingChecksCanFail(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		inject     func(sim *simulation)
	}{
		{"leaders without quota settings", "left_waiting", func(sim *simulation) {
			for _, c := range sim.controllers {
				c.crash(time.Second)
			}
			sim.settings.Teams = map[string]scheduler.TeamQuota{}
		}},
		{"no controller", "forgotten", func(sim *simulation) {
			for _, c := range sim.controllers {
				c.crash(time.Hour)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(1)
			sim.faultsActive = false
			sim.after(20*time.Second, func() {
				tc.inject(sim)
				sim.jobs = append(sim.jobs, &wire.Job{ID: "run-000001", Team: "red", Shape: wire.ShapeArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"})
				sim.checker.AddJob(sim.jobs[0])
				_, _ = sim.kvStore.Commit(sim.now, wire.Txn{Then: []wire.Op{{Set: records.JobKey("run-000001"), Value: records.Job{Job: *sim.jobs[0]}}}})
			})
			sim.checkWaitingJobs(21 * time.Second)
			sim.run(100 * time.Second)
			if len(sim.checker.Violations) > 0 && tc.want == "left_waiting" {
				t.Fatalf("violations are reported too early: %v", sim.checker.Violations)
			}
			sim.run(140 * time.Second)
			if violations := strings.Join(sim.checker.Violations, "\n"); !strings.Contains(violations, tc.want) {
				t.Errorf("%s is not among the violations: %q", tc.want, violations)
			}
		})
	}
}
