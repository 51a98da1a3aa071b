package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A leader that no longer receives heartbeats from any worker resigns long before the workers'
// leases expire if there are many machines. With few machines it waits for several heartbeat
// intervals. A pause of the process is not counted as silence.
func TestIsolatedLeaderResigns(t *testing.T) {
	const observedFor = 2 * time.Minute // without a resignation in this time, the leader stays
	for _, tc := range []struct {
		name             string
		machines         int
		tickEvery        time.Duration
		earliest, latest time.Duration // time from the isolation to the resignation
	}{
		{"many_machines", 400, tuning.TickInterval, 0, tuning.MinResignSilence + time.Second},
		{"two_machines", 2, tuning.TickInterval, 40 * time.Second, 41 * time.Second},
		{"paused_process", 400, time.Minute, observedFor, observedFor + time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.settings.HeartbeatInterval, h.scheduler.settings.WorkerLease = 10*time.Second, 2*time.Minute
			for i := range tc.machines {
				h.bringUp(numberedMachineName(i))
			}

			isolatedAt := h.now
			for h.now-isolatedAt < observedFor {
				h.now += tc.tickEvery
				h.scheduler.Tick(h.clock())
				if h.scheduler.TakeEffects().Resign != "" {
					break
				}
			}
			if after := h.now - isolatedAt; after < tc.earliest || after > tc.latest {
				t.Errorf("resigned after %v, want between %v and %v", after, tc.earliest, tc.latest)
			}
		})
	}
}

// activityCounts counts a scheduler's placement rounds, scans of all machines and scale-out
// plans in two seconds.
type activityCounts struct{ rounds, scans, scaleOuts int }

// countActivity runs a scheduler with the given CPU share, in a fleet where tasks wait all the
// time, and counts its periodic work.
func countActivity(t *testing.T, cpuShare float64) (counts activityCounts) {
	t.Helper()
	f := newFleetHarness(t, 400)
	f.scheduler.settings.CPUShare = cpuShare
	for i := range 40 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, Spot: true})
	}
	for range 400 {
		f.now += 5 * time.Millisecond
		lastRoundAt, lastScanAt, lastScaleOutAt := f.scheduler.placement.lastRoundAt, f.scheduler.monitor.lastScanAt, f.scheduler.autoscaler.lastScaleOutAt
		f.refreshHeartbeats()
		f.scheduler.placement.due = true
		f.scheduler.Tick(f.clock())
		f.scheduler.TakeEffects()
		if f.scheduler.placement.lastRoundAt != lastRoundAt {
			counts.rounds++
		}
		if f.scheduler.monitor.lastScanAt != lastScanAt {
			counts.scans++
		}
		if f.scheduler.autoscaler.lastScaleOutAt != lastScaleOutAt {
			counts.scaleOuts++
		}
	}
	return counts
}

// With a smaller CPU share, placement rounds, scans of all machines and scale-out plans are
// proportionally further apart. The test counts them in simulated time and measures no run time.
func TestSmallCPUShareSpacesRoundsAndScans(t *testing.T) {
	reference := countActivity(t, tuning.ReferenceCPUShare)
	if unknown := countActivity(t, 0); unknown != reference {
		t.Errorf("%+v with an unknown CPU share, %+v with the reference share", unknown, reference)
	}
	quarter := countActivity(t, tuning.ReferenceCPUShare/4)
	if quarter.rounds*5 > reference.rounds*2 || quarter.scans*3 > reference.scans || quarter.scaleOuts*3 > reference.scaleOuts {
		t.Errorf("%+v with a quarter of the reference CPU share, %+v with all of it", quarter, reference)
	}
	if quarter.rounds == 0 || quarter.scans == 0 || quarter.scaleOuts == 0 {
		t.Errorf("%+v with a quarter of the reference CPU share", quarter)
	}
}
