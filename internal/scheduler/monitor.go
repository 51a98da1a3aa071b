package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// monitorState follows the heartbeats of the fleet and of zones as a whole, and pauses of
// this process: what a pause delays counts as missed by nobody.
type monitorState struct {
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

// pausedFor is how long the process was paused before the tick at the given time; 0 if it
// was not. A tick that is merely late is no pause.
func (m *monitorState) pausedFor(now time.Duration) time.Duration {
	if gap := now - m.tickedAt; gap > tuning.ProcessPauseThreshold {
		return gap
	}
	return 0
}

// countIsolation adds the time since the last tick, unless a heartbeat has come since. Of a
// pause it counts little: what came meanwhile has yet to be read.
func (m *monitorState) countIsolation(now time.Duration) {
	if m.lastHeartbeatAt > m.tickedAt {
		m.isolatedFor = 0
	} else {
		m.isolatedFor += min(now-m.tickedAt, 2*tuning.TickInterval)
	}
	m.tickedAt = now
}

// resignIfIsolated gives up leadership when no worker reaches this process any more.
// Hundreds of machines send heartbeats within any second, so that few seconds tell. To wait
// for several long heartbeat intervals would cost the workers their leases, since the other
// controllers forward their heartbeats here all the while. A few machines may just be
// between two heartbeats.
func (s *Scheduler) resignIfIsolated() {
	s.monitor.countIsolation(s.now.Mono)
	machines := s.cluster.upMachineCount()
	if machines == 0 {
		// Else the first machine that the cloud lists, after a restart without records,
		// would find this process isolated for long.
		//mutation:isolation-clock-reset
		s.monitor.isolatedFor = 0
		return
	}
	limit := s.settings.HeartbeatInterval * tuning.ResignMissedHeartbeats * tuning.ResignReferenceMachines / time.Duration(max(machines, tuning.ResignReferenceMachines))
	if s.monitor.isolatedFor > max(limit, tuning.MinResignSilence) {
		s.effects.Resign = ResignNoHeartbeats
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
