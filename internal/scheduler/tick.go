package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxPlacementInterval is the time after which a placement round is due even without an event
// that asks for one: the cloud may have capacity again, or a machine may be reachable again.
const maxPlacementInterval = time.Second

// Tick performs the work that becomes due by the passage of time.
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
	s.placement.requestOverdueRound()
	s.Settle(now)
}

// Settle performs the work that the inputs since the last call have made due: it places tasks,
// scales out, writes records and sends commands. It has to be called after every input.
func (s *Scheduler) Settle(now Now) {
	s.now = now
	s.placement.endExpiredBackoffs()
	if s.placement.beginRound(len(s.cluster.machines)) {
		s.autoscaler.scaleOut(&s.cluster, s.reconciler.Reconciler, s.placePending())
	}
	s.persister.flush()
	s.sendToDueMachines()
}

// sendToDueMachines sends commands to the machines that markDue has marked.
func (s *Scheduler) sendToDueMachines() {
	for name := range s.dispatcher.takeDue() {
		if m := s.cluster.machines[name]; m != nil {
			s.dispatcher.sendDue(m)
		}
	}
}

// PlacementPending reports whether a placement round is due but delayed until the minimum
// interval since the last round has passed.
func (s *Scheduler) PlacementPending() bool { return s.placement.due }

// ExtendLease records that the leader holds its lease until the given time. A time before the
// recorded one has no effect.
func (c *termContext) ExtendLease(until time.Duration) {
	c.leaseHeldUntil = max(c.leaseHeldUntil, until)
}

// holdsLease reports whether this process is certain to be the leader. Cloud API calls are
// neither conditional on the leader's key nor fenced: without this check, a process that was
// paused for longer than its lease would conclude that all machines missed their heartbeats,
// and release hundreds of machines that work for its successor.
func (c *termContext) holdsLease() bool { return c.now.Mono < c.leaseHeldUntil }

// requestOverdueRound makes a placement round due if the last one began at least
// maxPlacementInterval ago.
func (p *placementState) requestOverdueRound() {
	if p.now.Mono-p.lastRoundAt >= maxPlacementInterval {
		p.due = true
	}
}

// beginRound reports whether a placement round may start now. If so, it records the start.
func (p *placementState) beginRound(machineCount int) bool {
	if !p.due || p.now.Mono-p.lastRoundAt < p.minRoundInterval(machineCount) {
		return false
	}
	p.lastRoundAt = p.now.Mono
	p.rounds++
	return true
}

// minRoundInterval returns the minimum time between two placement rounds. It grows with the
// number of machines, since each round visits every machine.
func (p *placementState) minRoundInterval(machineCount int) time.Duration {
	return tuning.MinPlacementInterval + p.scaleByCPUShare(time.Duration(machineCount)*tuning.PlacementIntervalPerMachine)
}

// endExpiredBackoffs ends the backoff of jobs whose retry time after a failed attempt has come,
// and makes a placement round due for them.
func (p *placementState) endExpiredBackoffs() {
	for j := range p.backingOff {
		if p.now.Mono >= j.retry.notBefore {
			delete(p.backingOff, j)
			j.retry.notBefore = 0
			p.due = true
		}
	}
}
