package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// scaleIn releases machines that are broken, lost, too slow to come up or idle, and asks
// again for releases whose outcome is unknown.
func (s *Scheduler) scaleIn() {
	if s.now.Mono < s.autoscaler.releaseRetryAt || !s.holdsLease() || !s.reconciler.CloudCallReady(s.now.Mono) {
		return
	}
	names := s.releaseUnneeded()
	names = append(names, s.releasesToRetry(tuning.MaxReleaseBatch-len(names))...)
	if len(names) > 0 {
		s.reconciler.TakeCloudCall(s.now.Mono)
		s.effects.Release = append(s.effects.Release, names)
	}
}

// releaseUnneeded starts the release of machines for which there is a reason and gives
// their names.
func (s *Scheduler) releaseUnneeded() []string {
	missingZones := s.monitor.zonesMissingHeartbeats(s.cluster.sortedMachines())
	var headroom *fleetHeadroom // counted only if a machine is idle
	var names []string
	for _, m := range s.sortedMachines() {
		if len(names) == tuning.MaxReleaseBatch {
			break
		}
		reason := s.releaseReason(m, missingZones)
		if reason == "" && s.idleLongEnough(m) {
			if headroom == nil {
				headroom = s.cluster.newFleetHeadroom()
			}
			if headroom.removeIfDispensable(m) {
				reason = ReleaseIdle
			}
		}
		if reason != "" {
			s.startRelease(m, reason)
			names = append(names, m.name)
		}
	}
	return names
}

// startRelease stops all use of a machine whose release is about to be asked for. While
// the cloud refuses to release it, it is back in use, and this happens again.
func (s *Scheduler) startRelease(m *machine, reason ReleaseReason) {
	log := s.logInfo
	if m.release.reason == reason {
		log = s.logDebug
	}
	log("machine release requested", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "reason", string(reason), "tasks", len(m.tasks))
	if m.release.reason == "" {
		s.reconciler.CountOperation(s.now.Mono, reconcile.Operation{Kind: reconcile.ReleaseOperation, Machine: m.name})
	}
	m.phase, m.release.reason = machineReleasing, reason
	for _, a := range m.sortedAttempts() {
		//mutation:release-detaches-unsent-only
		if !a.start.sent {
			s.detach(a)
		}
	}
}

// releasesToRetry gives the names of at most limit machines whose release has to be asked
// for once more.
func (s *Scheduler) releasesToRetry(limit int) []string {
	var names []string
	for _, m := range s.sortedMachines() {
		if m.phase == machineReleasing && m.release.retryDue && len(names) < limit {
			m.release.retryDue = false
			names = append(names, m.name)
		}
	}
	return names
}

// releaseReason is why a machine has to be released, whatever the headroom; empty if it
// has not.
func (s *Scheduler) releaseReason(m *machine, missingZones map[string]bool) ReleaseReason {
	switch m.phase {
	case machineReleasing:
		return ""
	case machineBooting:
		return s.bootReleaseReason(m)
	default:
		return s.upReleaseReason(m, missingZones)
	}
}

// bootReleaseReason is why a machine that has not come up has to be released.
func (s *Scheduler) bootReleaseReason(m *machine) ReleaseReason {
	if m.cloud.failed {
		return ReleaseBootFailed
	}
	now := s.now.Mono
	bootTimeout := max(tuning.MinBootTimeout, s.cluster.bootTime(m.machineType)*time.Duration(100*s.settings.Policy.BootTimeoutFactor)/100)
	// The grace is for machines that came up before the term or during a pause of this
	// process: their heartbeats arrive within seconds.
	if now-m.cloud.provisionedAt > bootTimeout && s.monitor.age(m.knownAt) > tuning.FirstHeartbeatGrace {
		//mutation:release-machine-that-never-came-up
		return ReleaseNeverUp
	}
	return ""
}

// upReleaseReason is why a machine that has come up has to be released.
func (s *Scheduler) upReleaseReason(m *machine, missingZones map[string]bool) ReleaseReason {
	now := s.now.Mono
	if m.cloud.failed && s.monitor.age(m.connectivity.lastHeartbeatAt) > s.settings.HeartbeatInterval*2 {
		return ReleaseFailed
	}
	if missingZones[m.zone] {
		return s.zoneReleaseReason(m)
	}
	heartbeatAge := s.monitor.ownHeartbeatAge(m)
	//mutation:reconciliation-holds-release
	if m.calls.unansweredSinceHeartbeat >= tuning.UnansweredProbeThreshold && !s.reconciler.HoldsRelease(now, m.name) && heartbeatAge > s.heartbeatOverdueAfter()+tuning.CommandTimeout*tuning.UnansweredProbeThreshold && len(m.tasks) > 0 {
		// Until its lease ends, its tasks could start nowhere else; the answer to the
		// release proves them gone at once.
		return ReleaseProbesUnanswered
	}
	if m.cloud.listed && m.cloud.missedLists >= tuning.MissingListThreshold && heartbeatAge > s.settings.HeartbeatInterval*2 {
		// A machine stays listed until it is gone, but lists may be old: only the
		// answer to the release is proof.
		return ReleaseNotListed
	}
	if m.connectivity.unreachableSince > 0 && s.monitor.age(m.connectivity.unreachableSince) > s.settings.WorkerLease {
		return ReleaseUnreachable
	}
	if heartbeatAge > s.settings.WorkerLease-tuning.EarlyReleaseMargin {
		return ReleaseLeaseExpired
	}
	if len(m.tasks) == 0 && m.cloud.interruptionAt == 0 && m.quarantine.until > now {
		return ReleaseQuarantined
	}
	return ""
}

// heartbeatOverdueAfter is how old the last heartbeat has to be for the next to be overdue.
func (c *termContext) heartbeatOverdueAfter() time.Duration {
	return c.settings.HeartbeatInterval*5/4 + tuning.HeartbeatGrace
}

// idleLongEnough reports whether a machine has been idle for its timeout while nothing
// that waits may still be placed on it.
func (s *Scheduler) idleLongEnough(m *machine) bool {
	now := s.now.Mono
	if m.phase != machineUp || len(m.tasks) > 0 || m.cloud.interruptionAt > 0 {
		return false
	}
	if s.placement.due || s.reconciler.HoldsIdleReleases() || now-m.connectivity.lastHeartbeatAt >= s.settings.HeartbeatInterval*2 {
		return false
	}
	return now-max(m.idleSince, m.upAt) > s.idleTimeout(m)
}

// idleTimeout is how long a machine may be idle: a spot machine longer, by the ratio of
// the prices.
func (c *termContext) idleTimeout(m *machine) time.Duration {
	timeout := c.settings.Policy.IdleTimeout
	if m.spot && m.machineSpec != nil && m.machineSpec.SpotPrice > 0 {
		timeout = time.Duration(float64(timeout) * max(1, m.machineSpec.Price/m.machineSpec.SpotPrice))
	}
	return timeout
}

// ReleaseResult is the outcome of a release.
type ReleaseResult int

// Outcomes of a release.
const (
	ReleaseUnknown ReleaseResult = iota // carried out, or not, or later
	ReleaseDone                         // the machines are gone, with all that ran there
	ReleaseRefused                      // not carried out
)

// Released takes the outcome of a release. ReleaseDone is the proof that lets the tasks
// that were there be placed again.
func (s *Scheduler) Released(now Now, names []string, result ReleaseResult) {
	s.now = now
	//mutation:release-needs-proof
	if result != ReleaseDone {
		s.autoscaler.releaseRetryAt = now.Mono + tuning.CloudRetryDelay
		s.releaseFailed(names, result)
		return
	}
	for _, name := range names {
		s.cluster.released[name] = true
		if m := s.cluster.machines[name]; m != nil {
			s.counters.MachinesReleased++
			s.removeMachine(m)
		}
	}
}

// releaseFailed puts machines back in use whose release was refused, since they may have
// recovered meanwhile, and has a release without a known outcome asked for again.
func (s *Scheduler) releaseFailed(names []string, result ReleaseResult) {
	for _, name := range names {
		m := s.cluster.machines[name]
		switch {
		case m == nil:
		case result != ReleaseRefused:
			m.release.retryDue = true
		case m.address == "":
			m.phase = machineBooting
		default:
			m.phase = machineUp
		}
	}
}

// removeMachine ends a machine that is proven gone, and all its attempts with it.
func (s *Scheduler) removeMachine(m *machine) {
	for _, a := range m.sortedAttempts() {
		s.classifyRecorded(a, reconcile.Absent)
		s.detach(a)
		s.handleFailedAttempt(a, "machine gone")
	}
	s.reconciler.MachineReleased(s.now.Mono, m.name)
	for batch := range m.batches {
		batch.namesReleasedMachine = true
	}
	delete(s.cluster.machines, m.name)
	s.cluster.machinesByName = nil
	s.placement.due = true
}
