package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeat handles a worker's heartbeat and returns the reply. ok is false if the heartbeat
// carries a fencing token of a later term; the reply must not be sent then.
func (s *Scheduler) Heartbeat(now Now, heartbeat *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	s.now = now
	if s.dispatcher.supersededBy(heartbeat) {
		return reply, false
	}
	//mutation:heartbeat-of-released-machine
	if s.cluster.released[heartbeat.Machine] {
		// A late duplicate of a heartbeat from a machine that was released.
		return wire.HeartbeatReply{FencingToken: newFencingToken(s.term, 0)}, true
	}
	m := s.findOrAdoptMachine(heartbeat)
	if m.phase == machineReleasing {
		return s.replyWhileReleasing(m, heartbeat), true
	}
	commands := []wire.Command{}
	// A duplicate of an earlier heartbeat does not describe the machine's current state, however
	// late it arrives, and is not applied.
	//mutation:heartbeat-sequence
	if m.heartbeats.precedes(heartbeat) {
		commands = s.handleNewHeartbeat(m, heartbeat)
	}
	if !m.confirmed || heartbeat.FencingToken < s.fencingToken(m) && m.awaitsAcknowledgement() {
		// A status probe brings a heartbeat under the current fencing token sooner.
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
	return wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: commands}, true
}

// handleNewHeartbeat applies a heartbeat that is newer than all earlier ones, and returns the
// commands for the reply.
func (s *Scheduler) handleNewHeartbeat(m *machine, heartbeat *wire.Heartbeat) []wire.Command {
	s.dispatcher.watchReplyDelivery(m, heartbeat)
	m.connectivity.heartbeatRepliedAt = s.now.Mono
	s.markHeartbeatReceived(m)
	m.directCalls.unansweredSinceHeartbeat = 0
	delete(s.monitor.zoneLastSeenAt, m.zone) // older than this heartbeat
	s.applyHeartbeat(m, heartbeat, workerInitiated)
	return s.dispatcher.heartbeatCommands(m, heartbeat, s.cluster.jobs)
}

// replyWhileReleasing answers a machine whose release the cloud has not answered yet. Its
// attempts stay attached until then. The reply renews the worker's lease, so that the machine
// keeps working if the release fails; the heartbeat is recorded, so that the machine is not
// released again for missed heartbeats.
func (s *Scheduler) replyWhileReleasing(m *machine, heartbeat *wire.Heartbeat) wire.HeartbeatReply {
	reply := wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: []wire.Command{}}
	if m.heartbeats.precedes(heartbeat) {
		s.markHeartbeatReceived(m)
		m.directCalls.unansweredSinceHeartbeat = 0
		// The reply renews the worker's lease, so it also carries the stops that are due: if the
		// cloud takes long to answer the release, cancelled tasks would otherwise run past the
		// cancellation bound.
		//mutation:stops-while-releasing
		reply.Commands = s.dispatcher.dueStops(m, workerInitiated)
	}
	return reply
}

// precedes reports whether the heartbeat is newer than the last one that was applied.
func (o heartbeatOrder) precedes(heartbeat *wire.Heartbeat) bool {
	return heartbeat.NewerThan(o.incarnation, o.sequence)
}

// markHeartbeatReceived records that the machine is alive and that a worker reaches this leader.
func (s *Scheduler) markHeartbeatReceived(m *machine) {
	s.monitor.lastHeartbeatAt = s.now.Mono
	m.connectivity.lastHeartbeatAt = s.now.Mono
}

// awaitsAcknowledgement reports whether a start was sent to the machine that its worker has not
// acknowledged yet.
func (m *machine) awaitsAcknowledgement() bool {
	for _, a := range m.tasks {
		if a.start.sent && !a.start.acknowledged {
			return true
		}
	}
	return false
}

// findOrAdoptMachine returns the machine that sent the heartbeat. A machine that appeared
// neither in the cloud's list nor in a record is added.
func (s *Scheduler) findOrAdoptMachine(heartbeat *wire.Heartbeat) *machine {
	m := s.cluster.machines[heartbeat.Machine]
	if m == nil {
		m = s.cluster.addMachine(heartbeat.Machine, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Address)
		s.logInfo("machine adopted from its heartbeat", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot)
	}
	if m.phase == machineBooting {
		s.markUp(m)
	}
	m.address = heartbeat.Address
	return m
}

func (s *Scheduler) markUp(m *machine) {
	m.phase, m.upAt, m.idleSince, m.connectivity.lastHeartbeatAt = machineUp, s.now.Mono, s.now.Mono, s.now.Mono
	s.logInfo("machine up", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot,
		"boot_s", (s.now.Mono - m.cloud.provisionedAt).Seconds())
}

// applyHeartbeat updates the state of a machine and of its attempts from a heartbeat.
func (s *Scheduler) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, initiator exchangeInitiator) {
	m.heartbeats = heartbeatOrder{
		incarnation: heartbeat.Incarnation, sequence: heartbeat.Sequence,
		underCurrentTerm: TermOf(heartbeat.FencingToken) == s.term,
	}
	m.fencing.highestSeenToken = max(m.fencing.highestSeenToken, heartbeat.FencingToken)
	s.applySpotInterruption(m, heartbeat)
	listed := make(map[taskRef]bool, len(heartbeat.Tasks))
	s.applyTaskList(m, heartbeat.Tasks, listed)
	s.applyAbsences(m, heartbeat, initiator, listed)
	// A worker without a fencing token is new if its machine was provisioned in this term. From
	// any other machine, the heartbeat may be a late duplicate of the worker's first one.
	//mutation:confirm-only-own-new-machines
	if !m.confirmed && (m.heartbeats.underCurrentTerm || len(m.tasks) == 0 && heartbeat.FencingToken == 0 && m.cloud.provisionedInTerm) {
		m.confirmed = true
		s.placement.due = true
		s.reconciler.ConfirmMachine(s.now.Mono, m.name)
	}
}

// applySpotInterruption handles the cloud's notice that it will reclaim a spot machine.
func (s *Scheduler) applySpotInterruption(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.InterruptionInS == nil {
		return
	}
	interruptionAt := s.now.Mono + time.Duration(*heartbeat.InterruptionInS*float64(time.Second))
	if m.cloud.interruptionAt == 0 {
		s.logInfo("spot interruption announced", "machine", m.name, "in_s", *heartbeat.InterruptionInS, "tasks", len(m.tasks))
		m.cloud.interruptionAt = interruptionAt
		s.drainMachine(m)
	}
	m.cloud.interruptionAt = interruptionAt
}
