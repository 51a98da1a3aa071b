package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// scaleIn releases machines that have failed, are unreachable or quarantined, took too long to
// boot or are idle, and retries releases whose outcome is unknown.
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

// mayScaleIn reports whether this process certainly holds the leader lease and the cloud may be
// called now, which it may not soon after a failed release.
func (a *autoscaler) mayScaleIn(reconciler *reconcile.Reconciler) bool {
	return a.now.Mono >= a.releaseRetryAt && a.holdsLease() && reconciler.CloudCallReady(a.now.Mono)
}

// releaseUnneeded starts the release of machines that have a reason for it, and returns their
// names.
func (s *Scheduler) releaseUnneeded() []string {
	missingZones := s.monitor.zonesMissingHeartbeats(s.cluster.sortedMachines())
	var headroom *fleetHeadroom // created for the first idle machine
	var names []string
	for _, m := range s.cluster.sortedMachines() {
		if len(names) == tuning.MaxReleaseBatch {
			break
		}
		reason := s.releaseReason(m, missingZones)
		if reason == "" && s.mayReleaseIdle() && s.autoscaler.idleTimeoutExpired(m) {
			if headroom == nil {
				headroom = s.cluster.newFleetHeadroom()
			}
			if headroom.removeIfUnneeded(m) {
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

// startRelease stops using a machine whose release is about to be requested. If the cloud
// refuses the release, the machine is used again, and startRelease is called once more if there
// is still a reason.
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

// releasesToRetry returns the names of at most limit machines whose release must be requested
// again.
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

// releaseReason returns why a machine must be released regardless of the headroom, or "" if it
// need not be.
func (s *Scheduler) releaseReason(m *machine, missingZones map[string]bool) ReleaseReason {
	switch {
	case m.phase == machineReleasing:
		return ""
	case m.phase == machineBooting:
		return s.autoscaler.bootReleaseReason(m, s.cluster.bootTime(m.machineType), s.monitor.timeSinceSeen(m.firstKnownAt))
	case s.monitor.hasFailed(m):
		return ReleaseFailed
	case missingZones[m.zone]:
		return s.zoneReleaseReason(m)
	default:
		return s.monitor.releaseReason(m, s.reconciler.Reconciler)
	}
}

// bootReleaseReason returns why a machine that has not come up must be released, or "" if it
// need not be.
func (a *autoscaler) bootReleaseReason(m *machine, bootTime, knownFor time.Duration) ReleaseReason {
	if m.cloud.failed {
		return ReleaseBootFailed
	}
	bootTimeout := max(tuning.MinBootTimeout, bootTime*time.Duration(100*a.settings.Policy.BootTimeoutFactor)/100)
	// A machine may have come up before the term or during a pause of this process. Its
	// heartbeats arrive within seconds, which the grace period allows for.
	if a.now.Mono-m.cloud.provisionedAt > bootTimeout && knownFor > tuning.FirstHeartbeatGrace {
		//mutation:release-machine-that-never-came-up
		return ReleaseNeverUp
	}
	return ""
}

// hasFailed reports whether the cloud's list shows the machine as failed and it sends no
// heartbeats.
func (h *heartbeatMonitor) hasFailed(m *machine) bool {
	return m.cloud.failed && h.timeSinceSeen(m.connectivity.lastHeartbeatAt) > h.settings.HeartbeatInterval*2
}

// releaseReason returns why a machine that is up must be released for reasons of its own, not
// of its zone, or "" if it need not be.
func (h *heartbeatMonitor) releaseReason(m *machine, reconciler *reconcile.Reconciler) ReleaseReason {
	now, heartbeatAge := h.now.Mono, h.heartbeatAgeSinceZonePartition(m)
	//mutation:reconciliation-holds-release
	if m.directCalls.unansweredSinceHeartbeat >= tuning.UnansweredProbeThreshold && !reconciler.HoldsRelease(now, m.name) && heartbeatAge > h.heartbeatOverdueAfter()+tuning.CommandTimeout*tuning.UnansweredProbeThreshold && len(m.tasks) > 0 {
		// The machine's tasks can't start elsewhere before its lease ends. The answer to the
		// release proves earlier that they are gone.
		return ReleaseProbesUnanswered
	}
	if m.cloud.expectedInLists && m.cloud.consecutiveMissedLists >= tuning.MissingListThreshold && heartbeatAge > h.settings.HeartbeatInterval*2 {
		// A machine is listed until it is gone, but lists may be out of date. Only the answer
		// to the release is proof.
		return ReleaseNotListed
	}
	if m.connectivity.unreachableSince > 0 && h.timeSinceSeen(m.connectivity.unreachableSince) > h.settings.WorkerLease {
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

// heartbeatOverdueAfter returns how long after a heartbeat the next one is overdue.
func (c *termContext) heartbeatOverdueAfter() time.Duration {
	return c.settings.HeartbeatInterval*5/4 + tuning.HeartbeatGrace
}

// mayReleaseIdle reports whether idle machines may be released: no placement is due that could
// use them, and reconciliation doesn't hold them.
func (s *Scheduler) mayReleaseIdle() bool {
	return !s.placement.due && !s.reconciler.HoldsIdleReleases()
}

// idleTimeoutExpired reports whether a machine has been idle for longer than its timeout.
func (a *autoscaler) idleTimeoutExpired(m *machine) bool {
	now := a.now.Mono
	if m.phase != machineUp || len(m.tasks) > 0 || m.cloud.interruptionAt > 0 {
		return false
	}
	return now-m.connectivity.lastHeartbeatAt < a.settings.HeartbeatInterval*2 && now-max(m.idleSince, m.upAt) > a.idleTimeout(m)
}

// idleTimeout returns how long a machine may be idle. Spot machines may be idle longer, by the
// ratio of the on-demand price to the spot price.
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
	ReleaseUnknown ReleaseResult = iota // may have been executed, or may be executed later
	ReleaseDone                         // the machines are gone, and so are all their tasks
	ReleaseRefused                      // not executed
)

// ReleaseEnded handles the outcome of a release. ReleaseDone proves that the machines'
// tasks no longer run, so that they can be placed again.
func (s *Scheduler) ReleaseEnded(now Now, names []string, result ReleaseResult) {
	s.now = now
	//mutation:release-needs-proof
	if result != ReleaseDone {
		s.autoscaler.delayReleases()
		s.cluster.handleFailedRelease(names, result)
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

// delayReleases prevents further releases for a short time after one has failed.
func (a *autoscaler) delayReleases() { a.releaseRetryAt = a.now.Mono + tuning.CloudRetryDelay }

// handleFailedRelease uses machines again whose release was refused, since they may have
// recovered meanwhile. If the outcome is unknown, the release is retried.
func (c *clusterState) handleFailedRelease(names []string, result ReleaseResult) {
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

// removeMachine removes a machine that is proven gone, and fails all its attempts.
func (s *Scheduler) removeMachine(m *machine) {
	for _, a := range m.sortedAttempts() {
		s.reconcileRecordedAttempt(a, reconcile.Absent)
		s.detach(a)
		s.handleFailedAttempt(a, causeMachineReleased)
	}
	s.reconciler.MachineReleased(s.now.Mono, m.name)
	s.persister.requestBatchRewrites(m)
	delete(s.cluster.machines, m.name)
	s.cluster.machinesInNameOrder = nil
	s.placement.due = true
}
