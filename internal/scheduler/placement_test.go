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

// Under lasting overload the largest job, which a plan by deadlines gives up
// first, begins within four minutes and is finished; so is a gang that fits only
// on machines that are kept free for it.
func TestLargestJobsFinishUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t, false, nil, nil)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, CPUsMax: 1000}
		workers := newFakeWorkers(h, func(string, string) (time.Duration, string) {
			return time.Duration(4+rng.IntN(9)) * time.Second, wire.CauseDone
		})
		due := 30.0
		h.submit(wire.Job{ID: "run-900000", Tasks: 120, CPUs: 2, EstimatedRunS: 8, DeadlineS: &due})
		for n := 0; h.now < workers.startedAt+900*time.Second; n++ {
			if n == 40 {
				h.submit(wire.Job{ID: "run-900001", Tasks: 2, CPUs: 8, EstimatedRunS: 8, DeadlineS: &due, Shape: wire.ShapeGang})
			}
			if rng.IntN(2) == 0 { // some two and a half times what fits
				h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 2 + rng.IntN(9), CPUs: 2, EstimatedRunS: 8, DeadlineS: &due})
			}
			workers.step()
		}
		for _, id := range []string{"run-900000", "run-900001"} {
			if at, ok := workers.firstStartAfter[id]; !ok || at > 240*time.Second {
				t.Fatalf("%s begins after %v", id, at)
			}
			if j := h.scheduler.cluster.jobs[id]; j != nil {
				t.Fatalf("%s: %d of %d done after 15 minutes", id, j.progress.doneCount, j.spec.Tasks)
			}
		}
	}
}

// Idle work of a guest, in a cluster that work within other teams' guarantees keeps
// full, comes to stay within four minutes: it began again and again, and each time
// lost its room within seconds, which counts as no beginning.
func TestIdleGuestJobIsEstablishedUnderLoad(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, CPUsMax: 1000}
	h.scheduler.settings.Teams["guest"] = TeamQuota{CPUsMax: math.Inf(1)}
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
		if use := h.scheduler.cluster.usageOf("guest").CPUs; h.now > workers.startedAt+tuning.ArrayStarvationBound+10*time.Second && use > 4 {
			t.Fatalf("the guest has %v of 24 CPUs that others are guaranteed", use)
		}
	}
	if at, ok := workers.establishedAfter["run-900000"]; !ok || at > 240*time.Second {
		t.Errorf("the guest's job comes to stay after %v", at)
	}
}

// A service whose replicas failed on three machines over time, and run on others, is
// no job with a mistake: its missing replicas are placed at once. One stayed missing.
func TestServiceSurvivesFaultyMachines(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	fail := map[string]bool{}
	workers := newFakeWorkers(h, func(_, m string) (time.Duration, string) {
		if fail[m] {
			return time.Second, wire.CauseError
		}
		return time.Hour, wire.CauseDone
	})
	h.submit(wire.Job{ID: "run-000001", Tasks: 6, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	for i, m := range workers.machines {
		for range 40 {
			workers.step()
		}
		fail[m] = true
		for _, x := range workers.tasks[m] {
			x.endsAt, x.cause = h.now, wire.CauseError
		}
		for range 8 {
			workers.step()
		}
		fail[m] = false
		if n := h.scheduler.cluster.jobs["run-000001"]; n.activeCount != 6 && n.retry.at <= h.now {
			t.Errorf("after the failures on %d machines %d of 6 replicas are placed", i+1, n.activeCount)
		}
	}
	for range 40 {
		workers.step()
	}
	if n := h.scheduler.cluster.jobs["run-000001"].runningCount; n != 6 {
		t.Errorf("%d of 6 replicas run: %+v", n, h.scheduler.Job(h.clock(), "run-000001"))
	}
}

// What a job that waited for long gets ahead of others is no bound: with room for all
// of it, all of it runs. It had to wait until its first tasks had run for a while.
func TestStarvedJobIsNotCappedWhereCapacityIsFree(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, CPUsMax: 1000}
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
		t.Errorf("%d of 20 tasks run where there is room for all", n)
	}
}

// A job that was submitted with a mistake fails wherever it runs: it is tried with one
// task at a time, holds nothing against machines and does not slow others. A machine
// that is faulty is avoided, since several jobs fail there that succeed elsewhere.
func TestInvalidJobsAreThrottledAndFaultyMachinesQuarantined(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, CPUsMax: 1000}
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
	tried := workers.startCount
	came := map[string]time.Duration{}
	for n := range 30 {
		came[fmt.Sprintf("run-%06d", 100+n)] = h.now - workers.startedAt
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 100+n), Tasks: 2, CPUs: 2, EstimatedRunS: 4})
		for range 4 {
			workers.step()
		}
	}
	for h.now < workers.startedAt+240*time.Second {
		workers.step()
	}
	if again := workers.startCount - tried - 60; again > 5*10 {
		t.Errorf("jobs with a mistake were started %d times in three minutes", again)
	}
	for _, m := range h.scheduler.cluster.machines {
		if m.quarantine.until > h.now {
			t.Errorf("%s counts as faulty", m.name)
		}
	}
	for id, at := range came {
		if begun, ok := workers.firstStartAfter[id]; !ok || h.scheduler.cluster.jobs[id] != nil || begun-at > 2*time.Second {
			t.Errorf("%s, which came at %v, began at %v", id, at, begun)
		}
	}
	if l := h.scheduler; l.cluster.jobs["run-000001"].likelyInvalid(h.scheduler.now.Mono) != true {
		t.Error("a job that fails everywhere is not doubted")
	}
	faulty = true
	for n := range 8 {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 200+n), Tasks: 6, CPUs: 2, EstimatedRunS: 4})
		for range 10 {
			workers.step()
		}
	}
	for name, m := range h.scheduler.cluster.machines {
		if avoided := m.quarantine.until > h.now; avoided != (name == "n-2") {
			t.Errorf("%s avoided: %v", name, avoided)
		}
	}
}

// A production service gets room under its team's limit from its own team's
// lower work, and that room is not taken by others meanwhile.
func TestProductionPreemptsWithinItsTeamLimit(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.bringUp("n-1", "n-2", "n-3")
	h.submit(wire.Job{ID: "run-000001", Tasks: 30, CPUs: 1})
	h.answerAll(CallExecuted)
	if u := h.scheduler.cluster.usageOf("red").CPUs; u != 16 {
		t.Fatalf("team uses %v of 16", u)
	}
	h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	for range 5 {
		h.answerAll(CallExecuted)
		h.now += tuning.MinPlacementInterval
		h.settle()
	}
	if j := h.scheduler.cluster.jobs["run-000002"]; j.runningCount != 2 {
		t.Fatalf("%d of 2 replicas run", j.runningCount)
	}
	if h.scheduler.counters.Preempted != 2 || h.scheduler.cluster.usageOf("red").CPUs > 16 {
		t.Fatalf("%d stops, team uses %v", h.scheduler.counters.Preempted, h.scheduler.cluster.usageOf("red").CPUs)
	}
}

// A gang is placed as a whole or not at all, and one member's end stops it.
func TestGangIsPlacedAndStoppedAsAWhole(t *testing.T) {
	h := newHarness(t, false, nil, nil)
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
	var lost wire.Command
	var where string
	for _, c := range h.calls {
		lost, where = c.Body.Commands[0], c.Machine
	}
	h.answerAll(CallExecuted)
	h.heartbeat(where, exitedReport(lost, wire.CauseError))
	left := 0
	for _, a := range h.scheduler.cluster.jobs["run-000001"].sortedAttempts() {
		if !a.stop.requested {
			left++
		}
	}
	if left != 0 {
		t.Fatalf("%d members go on without the failed one", left)
	}
}
