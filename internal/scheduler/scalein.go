package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// scaleIn releases machines that are broken, lost, too slow to come up or idle, and asks
// again for releases whose outcome is unknown.
func (s *Scheduler) scaleIn() {
	if !s.autoscaler.mayScaleIn(s.reconciler.Reconciler) {
		return
	}
	names := s.releaseUnneeded()
	names = append(names, s.cluster.releasesToRetry(tuning.MaxReleaseBatch-len(names))...)
	if len(names) > 0 {
		s.reconciler.TakeCloudCall(s.now.Mono)
		s.effects.Release = append(s.effects.Release, names)
	}
}

// mayScaleIn reports whether this process leads for certain, and whether the cloud may be
// called: not too soon after a release that failed.
func (a *autoscaler) mayScaleIn(reconciler *reconcile.Reconciler) bool {
	return a.now.Mono >= a.releaseRetryAt && a.holdsLease() && reconciler.CloudCallReady(a.now.Mono)
}

// releaseUnneeded starts the release of machines for which there is a reason and gives
// their names.
func (s *Scheduler) releaseUnneeded() []string {
	missingZones := s.monitor.zonesMissingHeartbeats(s.cluster.sortedMachines())
	var headroom *fleetHeadroom // counted only if a machine is idle
	var names []string
	for _, m := range s.cluster.sortedMachines() {
		if len(names) == tuning.MaxReleaseBatch {
			break
		}
		reason := s.releaseReason(m, missingZones)
		if reason == "" && s.mayReleaseIdle() && s.autoscaler.idleLongEnough(m) {
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
func (c *clusterState) releasesToRetry(limit int) []string {
	var names []string
	for _, m := range c.sortedMachines() {
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
	switch {
	case m.phase == machineReleasing:
		return ""
	case m.phase == machineBooting:
		return s.autoscaler.bootReleaseReason(m, s.cluster.bootTime(m.machineType), s.monitor.age(m.firstKnownAt))
	case s.monitor.hasFailed(m):
		return ReleaseFailed
	case missingZones[m.zone]:
		return s.zoneReleaseReason(m)
	default:
		return s.monitor.releaseReason(m, s.reconciler.Reconciler)
	}
}

// bootReleaseReason is why a machine that has not come up has to be released.
func (a *autoscaler) bootReleaseReason(m *machine, bootTime, knownFor time.Duration) ReleaseReason {
	if m.cloud.failed {
		return ReleaseBootFailed
	}
	bootTimeout := max(tuning.MinBootTimeout, bootTime*time.Duration(100*a.settings.Policy.BootTimeoutFactor)/100)
	// The grace is for machines that came up before the term or during a pause of this
	// process: their heartbeats arrive within seconds.
	if a.now.Mono-m.cloud.provisionedAt > bootTimeout && knownFor > tuning.FirstHeartbeatGrace {
		//mutation:release-machine-that-never-came-up
		return ReleaseNeverUp
	}
	return ""
}

// hasFailed reports whether a machine has failed by the cloud's list and sends no heartbeats.
func (h *heartbeatMonitor) hasFailed(m *machine) bool {
	return m.cloud.failed && h.age(m.connectivity.lastHeartbeatAt) > h.settings.HeartbeatInterval*2
}

// releaseReason is why a machine that is up has to be released by itself, not with its zone.
func (h *heartbeatMonitor) releaseReason(m *machine, reconciler *reconcile.Reconciler) ReleaseReason {
	now, heartbeatAge := h.now.Mono, h.ownHeartbeatAge(m)
	//mutation:reconciliation-holds-release
	if m.directCalls.unansweredSinceHeartbeat >= tuning.UnansweredProbeThreshold && !reconciler.HoldsRelease(now, m.name) && heartbeatAge > h.heartbeatOverdueAfter()+tuning.CommandTimeout*tuning.UnansweredProbeThreshold && len(m.tasks) > 0 {
		// Until its lease ends, its tasks could start nowhere else; the answer to the
		// release proves them gone at once.
		return ReleaseProbesUnanswered
	}
	if m.cloud.listedInTerm && m.cloud.consecutiveMissedLists >= tuning.MissingListThreshold && heartbeatAge > h.settings.HeartbeatInterval*2 {
		// A machine stays listed until it is gone, but lists may be old: only the
		// answer to the release is proof.
		return ReleaseNotListed
	}
	if m.connectivity.unreachableSince > 0 && h.age(m.connectivity.unreachableSince) > h.settings.WorkerLease {
		return ReleaseUnreachable
	}
	if heartbeatAge > h.settings.WorkerLease-tuning.EarlyReleaseMargin {
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

// mayReleaseIdle reports whether nothing that waits may still be placed on idle machines.
func (s *Scheduler) mayReleaseIdle() bool {
	return !s.placement.due && !s.reconciler.HoldsIdleReleases()
}

// idleLongEnough reports whether a machine has been idle for its timeout.
func (a *autoscaler) idleLongEnough(m *machine) bool {
	now := a.now.Mono
	if m.phase != machineUp || len(m.tasks) > 0 || m.cloud.interruptionAt > 0 {
		return false
	}
	return now-m.connectivity.lastHeartbeatAt < a.settings.HeartbeatInterval*2 && now-max(m.idleSince, m.upAt) > a.idleTimeout(m)
}

// idleTimeout is how long a machine may be idle: a spot machine longer, by the ratio of
// the prices.
func (a *autoscaler) idleTimeout(m *machine) time.Duration {
	timeout := a.settings.Policy.IdleTimeout
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
		s.autoscaler.delayReleases()
		s.cluster.releaseFailed(names, result)
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

// delayReleases has nothing released for a while, after a release that failed.
func (a *autoscaler) delayReleases() { a.releaseRetryAt = a.now.Mono + tuning.CloudRetryDelay }

// releaseFailed puts machines back in use whose release was refused, since they may have
// recovered meanwhile, and has a release without a known outcome asked for again.
func (c *clusterState) releaseFailed(names []string, result ReleaseResult) {
	for _, name := range names {
		m := c.machines[name]
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
		s.observeRecorded(a, reconcile.Absent)
		s.detach(a)
		s.handleFailedAttempt(a, causeMachineReleased)
	}
	s.reconciler.MachineReleased(s.now.Mono, m.name)
	s.persister.noteMachineReleased(m)
	delete(s.cluster.machines, m.name)
	s.cluster.machinesInNameOrder = nil
	s.placement.due = true
}
