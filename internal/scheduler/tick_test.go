package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A leader that no worker reaches any more resigns long before their leases end, where
// there are enough machines to tell. With few machines it waits for several heartbeat
// intervals, and a pause of the process does not count.
func TestIsolatedLeaderResigns(t *testing.T) {
	const never = 2 * time.Minute // as long as the leader is watched
	for _, tc := range []struct {
		name        string
		machines    int
		tickEvery   time.Duration
		least, most time.Duration // until it resigns
	}{
		{"many_machines", 400, tuning.TickInterval, 0, tuning.MinResignSilence + time.Second},
		{"two_machines", 2, tuning.TickInterval, 40 * time.Second, 41 * time.Second},
		{"paused_process", 400, time.Minute, never, never + time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.settings.HeartbeatInterval, h.scheduler.settings.WorkerLease = 10*time.Second, 2*time.Minute
			for i := range tc.machines {
				h.bringUp(machineNumber(i))
			}

			isolatedAt := h.now
			for h.now-isolatedAt < never {
				h.now += tc.tickEvery
				h.scheduler.Tick(h.clock())
				if h.scheduler.TakeEffects().Resign != "" {
					break
				}
			}
			if after := h.now - isolatedAt; after < tc.least || after > tc.most {
				t.Errorf("resigned after %v, not between %v and %v", after, tc.least, tc.most)
			}
		})
	}
}

// activityCounts counts what a scheduler did in two seconds.
type activityCounts struct{ rounds, scans, scaleOuts int }

// countActivity counts placement rounds, scans of all machines and plans to scale out, in a
// fleet that has work waiting all the time.
func countActivity(t *testing.T, cpuShare float64) (counts activityCounts) {
	t.Helper()
	f := newFleetHarness(t, 400)
	f.scheduler.settings.CPUShare = cpuShare
	for i := range 40 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, Spot: true})
	}
	for range 400 {
		f.now += 5 * time.Millisecond
		lastRoundAt, scannedAt, scaledOutAt := f.scheduler.placement.lastRoundAt, f.scheduler.monitor.scannedAt, f.scheduler.autoscaler.scaledOutAt
		f.refreshHeartbeats()
		f.scheduler.placement.due = true
		f.scheduler.Tick(f.clock())
		f.scheduler.TakeEffects()
		if f.scheduler.placement.lastRoundAt != lastRoundAt {
			counts.rounds++
		}
		if f.scheduler.monitor.scannedAt != scannedAt {
			counts.scans++
		}
		if f.scheduler.autoscaler.scaledOutAt != scaledOutAt {
			counts.scaleOuts++
		}
	}
	return counts
}

// With a smaller CPU share, placement rounds, scans of all machines and plans to scale out
// are further apart, by as much: counted here, not timed.
func TestSmallCPUShareSpacesRoundsAndScans(t *testing.T) {
	usual := countActivity(t, tuning.ReferenceCPUShare)
	if unknown := countActivity(t, 0); unknown != usual {
		t.Errorf("%+v where the share is not known, %+v with the usual one", unknown, usual)
	}
	quarter := countActivity(t, tuning.ReferenceCPUShare/4)
	if quarter.rounds*5 > usual.rounds*2 || quarter.scans*3 > usual.scans || quarter.scaleOuts*3 > usual.scaleOuts {
		t.Errorf("%+v with a quarter of the share, %+v with all of it", quarter, usual)
	}
	if quarter.rounds == 0 || quarter.scans == 0 || quarter.scaleOuts == 0 {
		t.Errorf("%+v with a quarter of the share", quarter)
	}
}
