package scheduler

import (
	"github.com/yarrowgap/yarrowgap/wire"
)

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
func (d *dispatcher) watchReplyDelivery(m *machine, heartbeat *wire.Heartbeat) {
	lease, answeredAt := d.settings.WorkerLease, m.connectivity.heartbeatRepliedAt
	newIncarnation := m.heartbeats.incarnation > 0 && heartbeat.Incarnation > m.heartbeats.incarnation
	answeredWithinLease := answeredAt > 0 && d.now.Mono-answeredAt < lease*3/4
	ledForLease := d.now.Mono-d.startedAt > lease
	switch {
	case newIncarnation && answeredWithinLease && ledForLease:
		//mutation:lost-incarnation-marks-unreachable
		d.markUnreachable(m, leaseExpiredThoughRenewed)
	case TermOf(heartbeat.FencingToken) == d.term && heartbeat.FencingToken > m.fencing.highestSeenToken:
		m.connectivity.unreachableSince = 0 // it has seen a token that is new since its last heartbeat
	}
}

func (d *dispatcher) markUnreachable(m *machine, reason unreachableReason) {
	if m.connectivity.unreachableSince == 0 {
		m.connectivity.unreachableSince = d.now.Mono
		d.logInfo("machine unreachable", "machine", m.name, "reason", reason, "tasks", len(m.tasks))
	}
}
