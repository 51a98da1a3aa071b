package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// heartbeatMonitor owns when heartbeats of the fleet and of zones as a whole came and
// stopped to come, how long this leader has been isolated, when this process was paused,
// and when ticks last scanned all machines.
//
// What a pause delays counts as missed by nobody: see age. The time without any heartbeat
// counts from tick to tick, so that the first heartbeat ends it.
type heartbeatMonitor struct {
	*termContext

	lastHeartbeatAt time.Duration            // of any machine
	zoneHeartbeatAt map[string]time.Duration // before this term, see ZoneLastSeen
	zoneMissingAt   map[string]time.Duration // when a whole zone last missed its heartbeats
	isolatedFor     time.Duration            // for how long ticks have found no new heartbeat
	tickedAt        time.Duration
	scannedAt       time.Duration // when a tick last scanned all machines
	resumedAt       time.Duration // when this process last resumed after a pause
	loadLoggedAt    time.Duration
}

func newHeartbeatMonitor(context *termContext) heartbeatMonitor {
	return heartbeatMonitor{
		termContext:     context,
		lastHeartbeatAt: context.now.Mono, tickedAt: context.now.Mono,
		zoneHeartbeatAt: map[string]time.Duration{}, zoneMissingAt: map[string]time.Duration{},
	}
}

// notePause notes that the process was paused since the last tick, if it was. A tick that
// is merely late is no pause.
func (h *heartbeatMonitor) notePause() {
	if gap := h.now.Mono - h.tickedAt; gap > tuning.ProcessPauseThreshold {
		h.resumedAt = h.now.Mono
		h.logInfo("process paused", "paused_s", gap.Seconds())
	}
}

// age is how long ago a machine was last seen, less what went by before the process
// resumed after a pause: heartbeats that did not come meanwhile have yet to be read, or
// went to another controller.
func (h *heartbeatMonitor) age(seenAt time.Duration) time.Duration {
	return h.now.Mono - max(seenAt, h.resumedAt)
}

// beginScan reports whether a scan of all machines is due, and notes that it begins.
func (h *heartbeatMonitor) beginScan(machines int) bool {
	interval := h.scaleByCPUShare(time.Duration(machines) * tuning.ScanIntervalPerMachine)
	if h.now.Mono-h.scannedAt < interval {
		return false
	}
	h.scannedAt = h.now.Mono
	return true
}

// beginLoadLog reports whether the load is to be logged, and notes that it is.
func (h *heartbeatMonitor) beginLoadLog() bool {
	if h.now.Mono-h.loadLoggedAt < tuning.LoadLogInterval {
		return false
	}
	h.loadLoggedAt = h.now.Mono
	return true
}

// countIsolation adds the time since the last tick, unless a heartbeat has come since. Of a
// pause it counts little: what came meanwhile has yet to be read.
func (h *heartbeatMonitor) countIsolation() {
	if h.lastHeartbeatAt > h.tickedAt {
		h.isolatedFor = 0
	} else {
		h.isolatedFor += min(h.now.Mono-h.tickedAt, 2*tuning.TickInterval)
	}
	h.tickedAt = h.now.Mono
}

// resignIfIsolated gives up leadership when no worker reaches this process any more.
// Hundreds of machines send heartbeats within any second, so that few seconds tell. To wait
// for several long heartbeat intervals would cost the workers their leases, since the other
// controllers forward their heartbeats here all the while. A few machines may just be
// between two heartbeats.
func (h *heartbeatMonitor) resignIfIsolated(upMachines int) {
	h.countIsolation()
	if upMachines == 0 {
		// Else the first machine that the cloud lists, after a restart without records,
		// would find this process isolated for long.
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
