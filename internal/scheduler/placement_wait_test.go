package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxWaitBesideCapacity is the longest time that a job may wait while a machine has capacity for
// it and its team is under its quota limit.
const maxWaitBesideCapacity = 90 * time.Second

// A job that misses all its deadlines finishes if no other job needs the capacity, even if its
// tasks are larger than the share that aged jobs get ahead of other jobs.
func TestAgedJobShareIsNoUpperBound(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 21))
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
		workers := newFakeWorkers(h, func(string, string) (time.Duration, string) {
			return time.Duration(50+rng.IntN(20)) * time.Second, wire.CauseDone
		})
		deadline := 30.0
		h.submit(wire.Job{ID: "run-000001", Tasks: 18, CPUs: float64(5 + rng.IntN(4)), EstimatedRunS: 60, DeadlineS: &deadline})
		for h.now < workers.startedAt+560*time.Second {
			workers.step()
		}
		if j := h.scheduler.cluster.jobs["run-000001"]; j != nil {
			t.Errorf("seed %d: %d of %d tasks done, %d placed; wait reason: %s", seed, j.progress.doneCount, j.spec.Tasks, j.activeCount, j.waiting.reason)
		}
	}
}

// Jobs for which tasks on the same machine are preempted do not keep replacing each other's
// reservation of the machine, even if a stop takes longer than the interval between preemption
// searches.
func TestPreemptedCapacityIsUsed(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 22))
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
		workers := newFakeWorkers(h, func(string, string) (time.Duration, string) { return time.Hour, wire.CauseDone })
		workers.checkpointTime = time.Duration(1+rng.IntN(4)) * time.Second
		h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 8, Priority: wire.PriorityIdle, EstimatedRunS: 60})
		workers.step()
		workers.step()
		for i := range 2 + rng.IntN(2) {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 2+i), Tasks: 1, CPUs: 2, EstimatedRunS: 60})
		}
		for from := h.now; h.now < from+maxWaitBesideCapacity; {
			workers.step()
		}
		for id, j := range h.scheduler.cluster.jobs {
			if j.rank != idleRank && j.activeCount == 0 {
				t.Errorf("seed %d: %s waits despite free capacity: %s", seed, id, j.waiting.reason)
			}
		}
	}
}

// A lost start is retried within half a minute, however far away the job's deadline is. The
// dispatch budget depends on the deadline, so a distant deadline must not delay retries.
func TestLostStartIsRetriedInTime(t *testing.T) {
	for _, deadline := range []float64{60, 900, 4000, 100_000} {
		h := newHarness(t)
		h.bringUp("n-1")
		h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, DeadlineS: &deadline})
		lost := 0
		for end := h.now + 300*time.Second; h.now < end; {
			last := h.now
			for len(h.startCommands()) == 0 && h.now < end {
				h.advance(time.Second, "n-1")
			}
			if wait := h.now - last; wait > maxWaitBesideCapacity/3 {
				t.Errorf("deadline in %v s: start retried after %v; lost %d times before", deadline, wait, lost)
				break
			}
			if h.scheduler.cluster.jobs["run-000001"].activeCount == 0 {
				break // the attempt was abandoned, and the task waits to be placed again
			}
			lost++
			h.startsInReplies = nil
			h.answerAll(CallLost)
			h.heartbeat("n-1")
			h.startsInReplies = nil // the reply is lost too
		}
	}
}

// A production job whose zone has no machine stops reserving quota, and its team's other jobs
// continue to run.
func TestUnplaceableProductionReservesNoQuota(t *testing.T) {
	h := newHarness(t)
	workers := newFakeWorkers(h, func(string, string) (time.Duration, string) { return 20 * time.Second, wire.CauseDone })
	h.submit(wire.Job{ID: "run-000001", Tasks: 14, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction, Zone: "b"})
	h.submit(wire.Job{ID: "run-000002", Tasks: 8, CPUs: 4, EstimatedRunS: 20})
	for h.now < workers.startedAt+maxWaitBesideCapacity {
		workers.step()
	}
	if j := h.scheduler.cluster.jobs["run-000002"]; j != nil && j.progress.doneCount == 0 && j.runningCount == 0 {
		t.Errorf("no task of the other job is running; wait reason: %s", j.waiting.reason)
	}
	preempted := h.scheduler.counters.Preempted
	for h.now < workers.startedAt+3*maxWaitBesideCapacity {
		workers.step()
	}
	if j := h.scheduler.cluster.jobs["run-000002"]; j != nil {
		t.Errorf("%d of %d tasks done", j.progress.doneCount, j.spec.Tasks)
	}
	if n := h.scheduler.counters.Preempted - preempted; n > 0 {
		t.Errorf("%d tasks were preempted for a job that cannot start", n)
	}
}

// A machine fetches the images of different jobs one after another, but the time that a job waits
// for the fetches of other jobs is bounded.
func TestWaitForOtherImageFetchesIsBounded(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 23))
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
		workers := newFakeWorkers(h, func(string, string) (time.Duration, string) { return time.Hour, wire.CauseDone })
		workers.imageFetchTime = func() time.Duration { return time.Duration(60+rng.IntN(40)) * time.Second }
		for i := range 12 {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1, CPUs: 1, EstimatedRunS: 20, Image: fmt.Sprintf("img-%d", i), ImageGB: 60})
		}
		for h.now < workers.startedAt+maxWaitBesideCapacity {
			workers.step()
		}
		for id, j := range h.scheduler.cluster.jobs {
			if j.activeCount == 0 {
				t.Errorf("seed %d: %s has no placed task: %s", seed, id, j.waiting.reason)
			}
		}
	}
}

// A gang that would not fit even on all machines together reserves none of them.
func TestGangThatCannotFitReservesNothing(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
	workers := newFakeWorkers(h, func(string, string) (time.Duration, string) { return 20 * time.Second, wire.CauseDone })
	h.submit(wire.Job{ID: "run-000001", Tasks: 4, CPUs: 8, Shape: wire.ShapeGang, EstimatedRunS: 20})
	for h.now < workers.startedAt+tuning.ArrayStarvationBound+5*time.Second {
		workers.step()
	}
	h.submit(wire.Job{ID: "run-000002", Tasks: 6, CPUs: 2, EstimatedRunS: 20})
	for from := h.now; h.now < from+maxWaitBesideCapacity; {
		workers.step()
	}
	if j := h.scheduler.cluster.jobs["run-000002"]; j != nil {
		t.Errorf("%d of 6 tasks done, %d running; wait reason: %s", j.progress.doneCount, j.runningCount, j.waiting.reason)
	}
}

// A gang that must be in a single zone is placed in the zone with capacity for all its members.
func TestGangIsPlacedInTheZoneThatFitsIt(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 1000, MaxCPUs: 1000}
		names := []string{"n-1", "n-6", "n-7"} // machines after n-5 are in zone b
		if zone == "a" {
			names = []string{"n-1", "n-2", "n-6"}
		}
		h.bringUp(names...)
		h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 8, Shape: wire.ShapeGang, SameZone: true})
		h.advance(5*time.Second, names...)
		if n := len(h.startCommands()); n != 2 {
			t.Errorf("capacity in zone %s: %d of 2 members started", zone, n)
		}
	}
}
