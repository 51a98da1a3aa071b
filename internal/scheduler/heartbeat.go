package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeat takes a worker's heartbeat and gives the reply to it. ok is false if this leader
// may not answer any longer.
func (s *Scheduler) Heartbeat(now Now, heartbeat *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	s.now = now
	if s.dispatcher.supersededBy(heartbeat) {
		return reply, false
	}
	//mutation:heartbeat-of-released-machine
	if s.cluster.released[heartbeat.Machine] {
		// A late duplicate from a machine that was released.
		return wire.HeartbeatReply{FencingToken: newFencingToken(s.term, 0)}, true
	}
	m := s.findOrAdoptMachine(heartbeat)
	if m.phase == machineReleasing {
		return s.replyWhileReleasing(m, heartbeat), true
	}
	commands := []wire.Command{}
	// A duplicate of an earlier heartbeat, however late it comes, says nothing of the
	// machine's present state and changes nothing.
	//mutation:heartbeat-sequence
	if m.heartbeats.precedes(heartbeat) {
		commands = s.handleNewHeartbeat(m, heartbeat)
	}
	if !m.confirmed || heartbeat.FencingToken < s.fencingToken(m) && m.awaitsAcknowledgement() {
		// Its next heartbeat, under the present token, comes sooner if it is probed.
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
	return wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: commands}, true
}

// handleNewHeartbeat takes a heartbeat that is newer than all before, and gives the commands
// for its reply.
func (s *Scheduler) handleNewHeartbeat(m *machine, heartbeat *wire.Heartbeat) []wire.Command {
	s.dispatcher.watchReplyDelivery(m, heartbeat)
	m.connectivity.heartbeatRepliedAt = s.now.Mono
	s.markHeartbeatReceived(m)
	m.directCalls.unansweredSinceHeartbeat = 0
	delete(s.monitor.zoneHeartbeatAt, m.zone) // what followers received of the zone matters no more
	s.applyHeartbeat(m, heartbeat, workerInitiated)
	return s.dispatcher.heartbeatCommands(m, heartbeat, s.cluster.jobs)
}

// replyWhileReleasing answers a machine whose release the cloud has yet to answer. Its tasks
// count until then. Its lease is renewed, so that it goes on if the release fails, and is not
// released again then for missed heartbeats.
func (s *Scheduler) replyWhileReleasing(m *machine, heartbeat *wire.Heartbeat) wire.HeartbeatReply {
	reply := wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: []wire.Command{}}
	if m.heartbeats.precedes(heartbeat) {
		s.markHeartbeatReceived(m)
		m.directCalls.unansweredSinceHeartbeat = 0
		// A renewed lease has to bring stops with it: where releases go unanswered for
		// long, cancelled tasks would run on here past their bound.
		//mutation:stops-while-releasing
		reply.Commands = s.dispatcher.dueStops(m, workerInitiated)
	}
	return reply
}

// precedes reports whether the heartbeat is newer than the last one that was applied.
func (o heartbeatOrder) precedes(heartbeat *wire.Heartbeat) bool {
	return heartbeat.NewerThan(o.incarnation, o.sequence)
}

// markHeartbeatReceived notes that the machine is alive and that a worker reaches this leader.
func (s *Scheduler) markHeartbeatReceived(m *machine) {
	s.monitor.lastHeartbeatAt = s.now.Mono
	m.connectivity.lastHeartbeatAt = s.now.Mono
}

// awaitsAcknowledgement reports whether the machine has yet to list an attempt whose start
// was sent.
func (m *machine) awaitsAcknowledgement() bool {
	for _, a := range m.tasks {
		if a.start.sent && !a.start.acknowledged {
			return true
		}
	}
	return false
}

// findOrAdoptMachine finds the machine that a heartbeat comes from. One that neither the
// cloud's list nor a record has shown is adopted.
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

// applyHeartbeat brings what is known of a machine up to date.
func (s *Scheduler) applyHeartbeat(m *machine, heartbeat *wire.Heartbeat, via exchange) {
	m.heartbeats = heartbeatOrder{
		incarnation: heartbeat.Incarnation, sequence: heartbeat.Sequence,
		underCurrentTerm: TermOf(heartbeat.FencingToken) == s.term,
	}
	m.fencing.highestSeenToken = max(m.fencing.highestSeenToken, heartbeat.FencingToken)
	s.applySpotInterruption(m, heartbeat)
	listed := make(map[taskRef]bool, len(heartbeat.Tasks))
	s.applyTaskList(m, heartbeat.Tasks, listed)
	s.applyAbsences(m, heartbeat, via, listed)
	// A worker that has seen no token is new, if its machine was provisioned in this term:
	// of another it may be a late duplicate of its first heartbeat.
	//mutation:confirm-only-own-new-machines
	if !m.confirmed && (m.heartbeats.underCurrentTerm || len(m.tasks) == 0 && heartbeat.FencingToken == 0 && m.cloud.provisionedInTerm) {
		m.confirmed = true
		s.placement.due = true
		s.reconciler.ConfirmMachine(s.now.Mono, m.name)
	}
}

// applySpotInterruption takes the cloud's notice that it will take the machine away.
func (s *Scheduler) applySpotInterruption(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.InterruptionInS == nil {
		return
	}
	at := s.now.Mono + time.Duration(*heartbeat.InterruptionInS*float64(time.Second))
	if m.cloud.interruptionAt == 0 {
		s.logInfo("spot interruption announced", "machine", m.name, "in_s", *heartbeat.InterruptionInS, "tasks", len(m.tasks))
		m.cloud.interruptionAt = at
		s.drainMachine(m)
	}
	m.cloud.interruptionAt = at
}
