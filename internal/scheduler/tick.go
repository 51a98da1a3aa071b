package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxPlacementInterval is after how long a placement round is due in any case: the cloud
// may have capacity again, or a machine may be reachable again.
const maxPlacementInterval = time.Second

// Tick does what falls due as time passes.
func (s *Scheduler) Tick(now Now) {
	s.now = now
	s.monitor.detectPause()
	scan := s.monitor.beginScan(len(s.cluster.machines))
	if scan {
		s.scanMachines()
		//mutation:counter-check
		s.dispatcher.resignIfCountersNearLimit(s.cluster.machines)
	}
	s.monitor.resignIfIsolated(s.cluster.upMachineCount())
	if scan {
		s.scaleIn()
	}
	if s.monitor.beginLoadLog() {
		s.persister.logDelayedStarts()
		s.cluster.logLoad(now.Mono - s.EnforcedCancellationWatermark(now.Mono))
	}
	s.reconciler.Advance(now.Mono)
	s.resolveUnreadableRecords()
	s.persister.compactBatches()
	s.placement.requireRound()
	s.Settle(now)
}

// Settle does what has become due by the inputs since the last call: it places tasks,
// scales out, writes records and sends commands. It follows every input.
func (s *Scheduler) Settle(now Now) {
	s.now = now
	s.placement.wakeBackedOffJobs()
	if s.placement.beginRound(len(s.cluster.machines)) {
		s.autoscaler.scaleOut(&s.cluster, s.reconciler.Reconciler, s.placePending())
	}
	s.persister.flush()
	s.sendToMachinesDue()
}

// sendToMachinesDue sends commands to the machines that were marked for it.
func (s *Scheduler) sendToMachinesDue() {
	for name := range s.dispatcher.takeDue() {
		if m := s.cluster.machines[name]; m != nil {
			s.dispatcher.sendDue(m)
		}
	}
}

// PlacementPending reports whether a placement round waits for its interval to pass.
func (s *Scheduler) PlacementPending() bool { return s.placement.due }

// LeaseHeldUntil tells the leader how long its lease lasts unless it is renewed.
func (c *termContext) LeaseHeldUntil(until time.Duration) {
	c.leaseHeldUntil = max(c.leaseHeldUntil, until)
}

// holdsLease reports whether this process leads for certain. Calls to the cloud are neither
// conditional nor fenced: a process that was paused for longer than its lease would find
// that all machines missed their heartbeats, and release hundreds that work for its
// successor.
func (c *termContext) holdsLease() bool { return c.now.Mono < c.leaseHeldUntil }

// requireRound makes a placement round due if the last one was long ago.
func (p *placementState) requireRound() {
	if p.now.Mono-p.lastRoundAt >= maxPlacementInterval {
		p.due = true
	}
}

// beginRound reports whether a placement round is due, and notes that it begins.
func (p *placementState) beginRound(machines int) bool {
	if !p.due || p.now.Mono-p.lastRoundAt < p.interval(machines) {
		return false
	}
	p.lastRoundAt = p.now.Mono
	p.rounds++
	return true
}

// interval is the least time between two placement rounds, since each visits every machine.
func (p *placementState) interval(machines int) time.Duration {
	return tuning.MinPlacementInterval + p.scaleByCPUShare(time.Duration(machines)*tuning.PlacementIntervalPerMachine)
}

// scaleByCPUShare stretches an interval that was measured with tuning.ReferenceCPUShare of a
// core for a process that has less. It would spend all of its time on rounds while hundreds
// of jobs wait, and fall behind with heartbeats, so that machines stay idle beside them.
func (c *termContext) scaleByCPUShare(interval time.Duration) time.Duration {
	if c.isCPULimited() {
		return time.Duration(float64(interval) * tuning.ReferenceCPUShare / c.settings.CPUShare)
	}
	return interval
}

// wakeBackedOffJobs makes a placement round due for jobs whose backoff after a failed
// attempt is over.
func (p *placementState) wakeBackedOffJobs() {
	for j := range p.backingOff {
		if p.now.Mono >= j.retry.at {
			delete(p.backingOff, j)
			j.retry.at = 0
			p.due = true
		}
	}
}
