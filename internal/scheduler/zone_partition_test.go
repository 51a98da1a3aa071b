package scheduler

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Of a zone that misses its heartbeats as a whole, machines whose replicas may have no more
// capacity elsewhere are kept for longer: they are there, with their images, when the zone
// is back. A new leader counts from when its process last saw the zone.
func TestPartitionedZoneKeepsMachinesWhoseTasksCannotMove(t *testing.T) {
	for _, tc := range []struct {
		name          string
		spread        bool          // the replicas may not all be in one zone
		seenBefore    time.Duration // before the partition, by the process; 0: never
		heartbeatSeen bool          // in the term
		least, most   time.Duration // until the first release
	}{
		{name: "replicas_that_can_move", least: 21 * time.Second, most: 24 * time.Second},
		{name: "replicas_that_cannot_move", spread: true, least: 29 * time.Second, most: 32 * time.Second},
		{name: "seen_10s_before_the_term", seenBefore: 10 * time.Second, most: 14 * time.Second},
		{name: "seen_in_the_term", seenBefore: 10 * time.Second, heartbeatSeen: true, least: 21 * time.Second, most: 2 * time.Minute},
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
			if tc.seenBefore > 0 {
				h.scheduler.ZoneLastSeen("b", h.now-tc.seenBefore)
			}
			if tc.heartbeatSeen {
				h.heartbeat("n-6", h.runningTasks("n-6")...)
			}

			partitionedAt := h.now
			for len(h.releases) == 0 && h.now-partitionedAt < time.Minute {
				h.advance(tuning.TickInterval, "n-1", "n-2")
				h.answerAll(CallLost)
			}
			if after := h.now - partitionedAt; after < tc.least || after > tc.most {
				t.Errorf("released after %v, not between %v and %v", after, tc.least, tc.most)
			}
		})
	}
}

// When a zone is back, heartbeats of its machines come one by one: those that are a little
// later are not released meanwhile.
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

// A zone whose machines all miss their heartbeats but for a new one is partitioned, not
// dead: its machines are not released with what runs there.
func TestPartitionedZoneWithNewMachineIsKept(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2", "n-6", "n-7", "n-8") // from n-6 on in zone b
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
