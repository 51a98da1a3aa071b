package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// heartbeatMonitor tracks the last heartbeats of the fleet and of whole zones, how long this
// leader has been isolated, when this process was paused, and when ticks last scanned all
// machines.
//
// Heartbeats that a pause of this process delays do not count as missed: see timeSinceSeen. The
// isolated time grows from tick to tick, and the first tick after a heartbeat resets it.
type heartbeatMonitor struct {
	*termContext

	lastHeartbeatAt   time.Duration            // from any machine
	zoneLastSeenAt    map[string]time.Duration // by zone, before this term: see ZoneLastSeen
	zonePartitionedAt map[string]time.Duration // by zone, when most machines' heartbeats were last overdue
	isolatedFor       time.Duration            // time over which ticks have found no new heartbeat
	lastTickAt        time.Duration
	lastScanAt        time.Duration // when a tick last scanned all machines
	resumedAt         time.Duration // when this process last resumed after a pause
	loadLoggedAt      time.Duration
}

func newHeartbeatMonitor(context *termContext) heartbeatMonitor {
	return heartbeatMonitor{
		termContext:     context,
		lastHeartbeatAt: context.now.Mono, lastTickAt: context.now.Mono,
		zoneLastSeenAt: map[string]time.Duration{}, zonePartitionedAt: map[string]time.Duration{},
	}
}

// detectPause detects a pause of the process by the time since the last tick. A gap of up to
// tuning.ProcessPauseThreshold is only a late tick.
func (h *heartbeatMonitor) detectPause() {
	if gap := h.now.Mono - h.lastTickAt; gap > tuning.ProcessPauseThreshold {
		h.resumedAt = h.now.Mono
		h.logInfo("process paused", "paused_s", gap.Seconds())
	}
}

// timeSinceSeen returns the time since a machine was last seen, or since the process last
// resumed after a pause if that is shorter: heartbeats that were sent during the pause have yet
// to be read, or went to another controller.
func (h *heartbeatMonitor) timeSinceSeen(seenAt time.Duration) time.Duration {
	return h.now.Mono - max(seenAt, h.resumedAt)
}

// beginScan reports whether a scan of all machines is due, and if so records that it begins.
func (h *heartbeatMonitor) beginScan(machineCount int) bool {
	interval := h.scaleByCPUShare(time.Duration(machineCount) * tuning.ScanIntervalPerMachine)
	if h.now.Mono-h.lastScanAt < interval {
		return false
	}
	h.lastScanAt = h.now.Mono
	return true
}

// beginLoadLog reports whether the load is due to be logged, and if so records the time.
func (h *heartbeatMonitor) beginLoadLog() bool {
	if h.now.Mono-h.loadLoggedAt < tuning.LoadLogInterval {
		return false
	}
	h.loadLoggedAt = h.now.Mono
	return true
}

// updateIsolation adds the time since the last tick to isolatedFor, or resets it if a heartbeat
// has arrived since. A tick adds at most two tick intervals: after a longer pause, heartbeats
// that arrived meanwhile have yet to be read.
func (h *heartbeatMonitor) updateIsolation() {
	if h.lastHeartbeatAt > h.lastTickAt {
		h.isolatedFor = 0
	} else {
		h.isolatedFor += min(h.now.Mono-h.lastTickAt, 2*tuning.TickInterval)
	}
	h.lastTickAt = h.now.Mono
}

// resignIfIsolated resigns leadership when no worker reaches this process any more. In a large
// fleet hundreds of machines send heartbeats every second, so a few seconds without any are
// sufficient evidence. Waiting for several long heartbeat intervals would cost the workers their
// leases, since the other controllers keep forwarding their heartbeats to this process. A small
// fleet gets more time, since its machines may just be between two heartbeats.
func (h *heartbeatMonitor) resignIfIsolated(upMachines int) {
	h.updateIsolation()
	if upMachines == 0 {
		// Time without machines must not count as isolation: otherwise this process would resign
		// as soon as the cloud lists the first machine after a restart without records.
		//mutation:isolation-clock-reset
		h.isolatedFor = 0
		return
	}
	limit := h.settings.HeartbeatInterval * tuning.ResignMissedHeartbeats * tuning.ResignReferenceMachines / time.Duration(max(upMachines, tuning.ResignReferenceMachines))
	if h.isolatedFor > max(limit, tuning.MinResignSilence) {
		h.effects.Resign = ResignNoHeartbeats
	}
}

// upMachineCount counts the machines that are up.
func (c *clusterState) upMachineCount() int {
	count := 0
	for _, m := range c.machines {
		if m.phase == machineUp {
			count++
		}
	}
	return count
}
