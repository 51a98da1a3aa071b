package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeat takes a worker's heartbeat and gives the reply to it. ok is false if this leader
// may not answer any longer.
func (s *Scheduler) Heartbeat(now Now, heartbeat *wire.Heartbeat) (reply wire.HeartbeatReply, ok bool) {
	s.now = now
	if s.supersededBy(heartbeat) {
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
		s.probeStatus(m)
	}
	return wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: commands}, true
}

// handleNewHeartbeat takes a heartbeat that is newer than all before, and gives the commands
// for its reply.
func (s *Scheduler) handleNewHeartbeat(m *machine, heartbeat *wire.Heartbeat) []wire.Command {
	s.watchReplyDelivery(m, heartbeat)
	m.connectivity.heartbeatAnsweredAt = s.now.Mono
	s.markHeartbeatReceived(m)
	m.calls.unansweredSinceHeartbeat = 0
	delete(s.monitor.zoneHeartbeatAt, m.zone) // what followers received of the zone matters no more
	s.applyHeartbeat(m, heartbeat, workerInitiated)
	return s.heartbeatCommands(m, heartbeat)
}

// replyWhileReleasing answers a machine whose release the cloud has yet to answer. Its tasks
// count until then. Its lease is renewed, so that it goes on if the release fails, and is not
// released again then for missed heartbeats.
func (s *Scheduler) replyWhileReleasing(m *machine, heartbeat *wire.Heartbeat) wire.HeartbeatReply {
	reply := wire.HeartbeatReply{FencingToken: s.fencingToken(m), Commands: []wire.Command{}}
	if m.heartbeats.precedes(heartbeat) {
		s.markHeartbeatReceived(m)
		m.calls.unansweredSinceHeartbeat = 0
		// A renewed lease has to bring stops with it: where releases go unanswered for
		// long, cancelled tasks would run on here past their bound.
		//mutation:stops-while-releasing
		reply.Commands = s.dueStops(m, workerInitiated)
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

// supersededBy reports whether a worker has seen a fencing token of a later term. Leadership
// ends then, if there can be such a term: terms are revisions of the key-value store, and one
// that is far ahead of all that were seen there is the mistake of a worker, which must not
// depose one leader after the other.
func (s *Scheduler) supersededBy(heartbeat *wire.Heartbeat) bool {
	term := TermOf(heartbeat.FencingToken)
	switch {
	case term <= s.term:
		return false
	//mutation:ignore-absurd-fencing-token
	case term > s.term+tuning.MaxTermRevisionGap:
		s.logInfo("heartbeat with an impossible fencing token", "machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "term", s.term)
	default:
		//mutation:resign-on-higher-fencing-token
		s.effects.Resign = ResignHigherFencingToken
	}
	return true
}

// unreachableReason says what shows that nothing which this leader sends reaches a machine
// whose heartbeats arrive.
type unreachableReason string

const (
	startNotAcknowledged      unreachableReason = "start not acknowledged"
	leaseExpiredThoughRenewed unreachableReason = "lease expired although heartbeats were answered"
)

// watchReplyDelivery watches whether replies reach the worker. A new incarnation although the
// one before was answered within its lease shows that they do not. Such a machine gets no new
// work, and is released unless a token that it has seen since, or its answer to a direct
// call, shows that it is reached.
func (s *Scheduler) watchReplyDelivery(m *machine, heartbeat *wire.Heartbeat) {
	lease, answeredAt := s.settings.WorkerLease, m.connectivity.heartbeatAnsweredAt
	newIncarnation := m.heartbeats.incarnation > 0 && heartbeat.Incarnation > m.heartbeats.incarnation
	answeredWithinLease := answeredAt > 0 && s.now.Mono-answeredAt < lease*3/4
	ledForLease := s.now.Mono-s.startedAt > lease
	switch {
	case newIncarnation && answeredWithinLease && ledForLease:
		//mutation:lost-incarnation-marks-unreachable
		s.markUnreachable(m, leaseExpiredThoughRenewed)
	case TermOf(heartbeat.FencingToken) == s.term && heartbeat.FencingToken > m.fencing.seenToken:
		m.connectivity.unreachableSince = 0 // it has seen a token that is new since its last heartbeat
	}
}

func (s *Scheduler) markUnreachable(m *machine, reason unreachableReason) {
	if m.connectivity.unreachableSince == 0 {
		m.connectivity.unreachableSince = s.now.Mono
		s.logInfo("machine unreachable", "machine", m.name, "reason", reason, "tasks", len(m.tasks))
	}
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
		underTerm: TermOf(heartbeat.FencingToken) == s.term,
	}
	m.fencing.seenToken = max(m.fencing.seenToken, heartbeat.FencingToken)
	s.applySpotInterruption(m, heartbeat)
	listed := make(map[taskRef]bool, len(heartbeat.Tasks))
	s.applyTaskList(m, heartbeat.Tasks, listed)
	s.applyAbsences(m, heartbeat, via, listed)
	// A worker that has seen no token is new, if its machine was provisioned in this term:
	// of another it may be a late duplicate of its first heartbeat.
	//mutation:confirm-only-own-new-machines
	if !m.confirmed && (m.heartbeats.underTerm || len(m.tasks) == 0 && heartbeat.FencingToken == 0 && m.cloud.provisionedInTerm) {
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
