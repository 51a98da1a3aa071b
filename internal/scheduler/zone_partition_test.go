package scheduler

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// In a zone that misses its heartbeats as a whole, machines whose replicas cannot run elsewhere
// are kept for longer: they still exist and have their images when the zone is reachable again.
// A new leader counts from when its process last reached the zone.
func TestPartitionedZoneKeepsMachinesWhoseTasksCannotMove(t *testing.T) {
	for _, tc := range []struct {
		name                           string
		spread                         bool          // the replicas may not all be in one zone
		seenBeforePartition            time.Duration // time since this process last reached the zone; 0: never
		heartbeatInTerm                bool          // the zone sent a heartbeat in this term
		earliestRelease, latestRelease time.Duration // bounds on the time until the first release
	}{
		{name: "replicas_that_can_move", earliestRelease: 21 * time.Second, latestRelease: 24 * time.Second},
		{name: "replicas_that_cannot_move", spread: true, earliestRelease: 29 * time.Second, latestRelease: 32 * time.Second},
		{name: "seen_10s_before_the_term", seenBeforePartition: 10 * time.Second, latestRelease: 14 * time.Second},
		{name: "seen_in_the_term", seenBeforePartition: 10 * time.Second, heartbeatInTerm: true, earliestRelease: 21 * time.Second, latestRelease: 2 * time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.settings.CancellationBound = 24 * time.Second
			h.bringUp("n-1", "n-2", "n-6", "n-7")
			h.submit(wire.Job{ID: "run-000001", Tasks: 4, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction, SpreadZones: tc.spread})
			h.answerAll(CallExecuted)
			machines := h.scheduler.cluster.machines
			if machines["n-6"].tasks == nil || len(machines["n-6"].tasks)+len(machines["n-7"].tasks) != 2 {
				t.Fatal("the replicas are not spread")
			}
			if tc.seenBeforePartition > 0 {
				h.scheduler.ZoneLastSeen("b", h.now-tc.seenBeforePartition)
			}
			if tc.heartbeatInTerm {
				h.heartbeat("n-6", h.runningTasks("n-6")...)
			}

			partitionedAt := h.now
			for len(h.releases) == 0 && h.now-partitionedAt < time.Minute {
				h.advance(tuning.TickInterval, "n-1", "n-2")
				h.answerAll(CallLost)
			}
			if after := h.now - partitionedAt; after < tc.earliestRelease || after > tc.latestRelease {
				t.Errorf("released after %v, not between %v and %v", after, tc.earliestRelease, tc.latestRelease)
			}
		})
	}
}

// After a partition, the heartbeats of a zone's machines return one by one. Machines whose
// heartbeats return a little later than others are not released meanwhile.
func TestMachinesOfRecoveredZoneAreNotReleased(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2", "n-6", "n-7", "n-8")
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 8})
	h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 8, Team: "blue"})
	h.answerAll(CallExecuted)
	if len(h.scheduler.cluster.machines["n-8"].tasks)+len(h.scheduler.cluster.machines["n-7"].tasks) == 0 {
		t.Fatal("nothing runs in the zone")
	}
	heartbeatsFrom := func(duration time.Duration, names ...string) {
		t.Helper()
		for end := h.now + duration; h.now < end; {
			h.now += tuning.TickInterval
			for _, name := range names {
				h.heartbeat(name, h.runningTasks(name)...)
			}
			h.scheduler.Tick(h.clock())
			h.settle()
			h.answerAll(CallLost)
		}
	}

	lease := h.scheduler.settings.WorkerLease
	heartbeatsFrom(lease+5*time.Second, "n-1", "n-2")
	heartbeatsFrom(3*time.Second, "n-1", "n-2", "n-6", "n-7")
	if len(h.releases) != 0 {
		t.Fatalf("released: %v", h.releases)
	}
	heartbeatsFrom(lease, "n-1", "n-2", "n-6", "n-7")
	if len(h.releases) != 1 || h.releases[0][0] != "n-8" {
		t.Errorf("released: %v", h.releases)
	}
}

// A zone in which all machines but a new one miss their heartbeats counts as partitioned: its
// machines and their tasks are kept until the partition limit.
func TestPartitionedZoneWithNewMachineIsKept(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2", "n-6", "n-7", "n-8") // n-6 and higher are in zone b
	lease := h.scheduler.settings.WorkerLease

	h.advance(lease-time.Second, "n-1", "n-2")
	h.scheduler.MachinesListed(h.clock(), []wire.ListedMachine{{Name: "n-9", Type: "box", Zone: "b", Address: "n-9:1", State: wire.MachineRunning}})
	h.advance(5*time.Second, "n-1", "n-2")
	if len(h.releases) != 0 {
		t.Errorf("released: %v", h.releases)
	}
	h.advance(time.Duration(float64(lease)*tuning.ZonePartitionLeaseMultiple), "n-1", "n-2")
	if len(h.releases) == 0 {
		t.Error("never released")
	}
}
