package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Under lasting overload, the largest job, whose deadline the plan gives up first, starts within
// four minutes and finishes within 15 minutes. So does a gang that fits only on machines that
// are reserved for it.
func TestLargestJobsFinishUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
		workers := newFakeWorkers(h, func(string, string) (time.Duration, string) {
			return time.Duration(4+rng.IntN(9)) * time.Second, wire.CauseDone
		})
		deadline := 30.0
		h.submit(wire.Job{ID: "run-900000", Tasks: 120, CPUs: 2, EstimatedRunS: 8, DeadlineS: &deadline})
		for n := 0; h.now < workers.startedAt+900*time.Second; n++ {
			if n == 40 {
				h.submit(wire.Job{ID: "run-900001", Tasks: 2, CPUs: 8, EstimatedRunS: 8, DeadlineS: &deadline, Shape: wire.ShapeGang})
			}
			if rng.IntN(2) == 0 { // the load is about two and a half times the capacity
				h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 2 + rng.IntN(9), CPUs: 2, EstimatedRunS: 8, DeadlineS: &deadline})
			}
			workers.step()
		}
		for _, id := range []string{"run-900000", "run-900001"} {
			if at, ok := workers.firstStartAfter[id]; !ok || at > 240*time.Second {
				t.Fatalf("%s started after %v (0s: never), want within 4 minutes", id, at)
			}
			if j := h.scheduler.cluster.jobs[id]; j != nil {
				t.Fatalf("%s: %d of %d done after 15 minutes", id, j.progress.doneCount, j.spec.Tasks)
			}
		}
	}
}

// An idle-priority job of a team without a guarantee is established within four minutes while
// jobs within another team's guarantee keep the cluster full. Starts that are preempted within
// seconds don't count. Once the starvation bound has passed, the team uses at most 4 CPUs.
func TestIdleGuestJobIsEstablishedUnderLoad(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
	h.scheduler.settings.Teams["guest"] = TeamQuota{MaxCPUs: math.Inf(1)}
	rng := rand.New(rand.NewPCG(1, 1))
	workers := newFakeWorkers(h, func(task, _ string) (time.Duration, string) {
		if strings.HasPrefix(task, "run-900000/") {
			return 300 * time.Second, wire.CauseDone
		}
		return time.Duration(4+rng.IntN(9)) * time.Second, wire.CauseDone
	})
	h.submit(wire.Job{ID: "run-900000", Team: "guest", Priority: wire.PriorityIdle, Tasks: 40, CPUs: 1, EstimatedRunS: 300, CheckpointIntervalS: 30, CheckpointSaveS: 3})
	for n := 0; h.now < workers.startedAt+280*time.Second; n++ {
		if n%3 > 0 {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 2 + rng.IntN(9), CPUs: 2, EstimatedRunS: 8})
		}
		workers.step()
		if cpus := h.scheduler.cluster.usageOf("guest").CPUs; h.now > workers.startedAt+tuning.ArrayStarvationBound+10*time.Second && cpus > 4 {
			t.Fatalf("the guest team uses %v of 24 CPUs that are guaranteed to another team", cpus)
		}
	}
	if at, ok := workers.establishedAfter["run-900000"]; !ok || at > 240*time.Second {
		t.Errorf("the guest team's job was established after %v (0s: never), want within 4 minutes", at)
	}
}

// A service whose replicas failed on three machines over time, and run on other machines, does
// not count as invalid. Its missing replicas are placed without waiting for each other.
func TestServiceSurvivesFaultyMachines(t *testing.T) {
	h := newHarness(t)
	faulty := map[string]bool{}
	workers := newFakeWorkers(h, func(_, m string) (time.Duration, string) {
		if faulty[m] {
			return time.Second, wire.CauseError
		}
		return time.Hour, wire.CauseDone
	})
	h.submit(wire.Job{ID: "run-000001", Tasks: 6, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	for i, m := range workers.machines {
		for range 40 {
			workers.step()
		}
		faulty[m] = true
		for _, task := range workers.tasks[m] {
			task.endsAt, task.cause = h.now, wire.CauseError
		}
		for range 8 {
			workers.step()
		}
		faulty[m] = false
		if j := h.scheduler.cluster.jobs["run-000001"]; j.activeCount != 6 && j.retry.notBefore <= h.now {
			t.Errorf("after failures on %d machines, %d of 6 replicas are placed", i+1, j.activeCount)
		}
	}
	for range 40 {
		workers.step()
	}
	if n := h.scheduler.cluster.jobs["run-000001"].runningCount; n != 6 {
		t.Errorf("%d of 6 replicas are running: %+v", n, h.scheduler.View().Job(h.clock(), "run-000001"))
	}
}

// The number of tasks that a starved job gets ahead of other jobs does not limit the job: with
// capacity for all its tasks, all of them are placed at once.
func TestStarvedJobIsNotCappedWhereCapacityIsFree(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
	workers := newFakeWorkers(h, func(string, string) (time.Duration, string) {
		return tuning.ArrayStarvationBound + 10*time.Second, wire.CauseDone
	})
	h.submit(wire.Job{ID: "run-000001", Tasks: 24, CPUs: 1, EstimatedRunS: 100})
	workers.step()
	h.submit(wire.Job{ID: "run-000002", Tasks: 20, CPUs: 1, EstimatedRunS: 100})
	for h.now < workers.startedAt+tuning.ArrayStarvationBound+15*time.Second {
		workers.step()
	}
	if n := h.scheduler.cluster.jobs["run-000002"].activeCount; n != 20 {
		t.Errorf("%d of 20 tasks are placed although there is capacity for all", n)
	}
}

// An invalid job fails on every machine. It runs one task at a time, causes no quarantine of
// machines and does not delay other jobs. A faulty machine is quarantined, since several jobs
// fail there that succeed elsewhere.
func TestInvalidJobsAreThrottledAndFaultyMachinesQuarantined(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
	faulty := false
	workers := newFakeWorkers(h, func(task, m string) (time.Duration, string) {
		if task < "run-000005" || faulty && m == "n-2" {
			return time.Second, wire.CauseError
		}
		return 4 * time.Second, wire.CauseDone
	})
	for n := range 5 {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 60, CPUs: 1, EstimatedRunS: 8})
	}
	for h.now < workers.startedAt+60*time.Second {
		workers.step()
	}
	startsBefore := workers.startCount
	submittedAfter := map[string]time.Duration{}
	for n := range 30 {
		submittedAfter[fmt.Sprintf("run-%06d", 100+n)] = h.now - workers.startedAt
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 100+n), Tasks: 2, CPUs: 2, EstimatedRunS: 4})
		for range 4 {
			workers.step()
		}
	}
	for h.now < workers.startedAt+240*time.Second {
		workers.step()
	}
	if starts := workers.startCount - startsBefore - 60; starts > 5*10 {
		t.Errorf("invalid jobs were started %d times in three minutes", starts)
	}
	for _, m := range h.scheduler.cluster.machines {
		if m.quarantine.until > h.now {
			t.Errorf("%s is quarantined because of invalid jobs", m.name)
		}
	}
	for id, at := range submittedAfter {
		if started, ok := workers.firstStartAfter[id]; !ok || h.scheduler.cluster.jobs[id] != nil || started-at > 2*time.Second {
			t.Errorf("%s, submitted at %v, started at %v or is unfinished", id, at, started)
		}
	}
	if !h.scheduler.cluster.jobs["run-000001"].likelyInvalid(h.scheduler.now.Mono) {
		t.Error("a job that fails on every machine does not count as invalid")
	}
	faulty = true
	for n := range 8 {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 200+n), Tasks: 6, CPUs: 2, EstimatedRunS: 4})
		for range 10 {
			workers.step()
		}
	}
	for name, m := range h.scheduler.cluster.machines {
		if quarantined := m.quarantine.until > h.now; quarantined != (name == "n-2") {
			t.Errorf("%s quarantined: %v", name, quarantined)
		}
	}
}

// A production service whose team is at its quota limit preempts lower-priority tasks of its own
// team, and no other job takes the freed quota.
func TestProductionPreemptsWithinItsTeamLimit(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2", "n-3")
	h.submit(wire.Job{ID: "run-000001", Tasks: 30, CPUs: 1})
	h.answerAll(CallExecuted)
	if cpus := h.scheduler.cluster.usageOf("red").CPUs; cpus != 16 {
		t.Fatalf("the team uses %v of 16 CPUs", cpus)
	}
	h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	for range 5 {
		h.answerAll(CallExecuted)
		h.now += tuning.MinPlacementInterval
		h.settle()
	}
	if j := h.scheduler.cluster.jobs["run-000002"]; j.runningCount != 2 {
		t.Fatalf("%d of 2 replicas are running", j.runningCount)
	}
	if h.scheduler.counters.Preempted != 2 || h.scheduler.cluster.usageOf("red").CPUs > 16 {
		t.Fatalf("%d preemptions, the team uses %v CPUs", h.scheduler.counters.Preempted, h.scheduler.cluster.usageOf("red").CPUs)
	}
}

// A gang is placed as a whole or not at all, and all members are stopped when one fails.
func TestGangIsPlacedAndStoppedAsAWhole(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 4, Shape: wire.ShapeGang})
	if len(h.startCommands()) != 0 || h.scheduler.cluster.jobs["run-000001"].activeCount != 0 {
		t.Fatal("part of a gang was placed")
	}
	h.bringUp("n-2")
	h.advance(time.Second, "n-1", "n-2")
	if n := len(h.startCommands()); n != 3 {
		t.Fatalf("%d of 3 members started", n)
	}
	var failed wire.Command
	var machine string
	for _, call := range h.pendingCalls {
		failed, machine = call.Body.Commands[0], call.Machine
	}
	h.answerAll(CallExecuted)
	h.heartbeat(machine, exitedReport(failed, wire.CauseError))
	remaining := 0
	for _, a := range h.scheduler.cluster.jobs["run-000001"].sortedAttempts() {
		if !a.stop.requested {
			remaining++
		}
	}
	if remaining != 0 {
		t.Fatalf("%d members were not stopped after another member failed", remaining)
	}
}
