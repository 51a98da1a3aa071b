package scheduler

import (
	"github.com/yarrowgap/yarrowgap/wire"
)

// unreachableReason is the evidence that nothing this leader sends reaches a machine whose
// heartbeats arrive.
type unreachableReason string

const (
	startNotAcknowledged       unreachableReason = "start not acknowledged"
	leaseExpiredDespiteReplies unreachableReason = "lease expired although heartbeats were answered"
)

// watchReplyDelivery checks whether replies reach the worker. A new incarnation although the
// previous one was answered within its lease shows that they do not. Such a machine gets no new
// work, and is released unless a newer fencing token in a heartbeat, or an answer to a direct
// call, shows that it is reachable.
func (d *dispatcher) watchReplyDelivery(m *machine, heartbeat *wire.Heartbeat) {
	lease, answeredAt := d.settings.WorkerLease, m.connectivity.heartbeatRepliedAt
	newIncarnation := m.heartbeats.incarnation > 0 && heartbeat.Incarnation > m.heartbeats.incarnation
	answeredWithinLease := answeredAt > 0 && d.now.Mono-answeredAt < lease*3/4
	ledForLease := d.now.Mono-d.startedAt > lease
	switch {
	case newIncarnation && answeredWithinLease && ledForLease:
		//mutation:lost-incarnation-marks-unreachable
		d.markUnreachable(m, leaseExpiredDespiteReplies)
	case TermOf(heartbeat.FencingToken) == d.term && heartbeat.FencingToken > m.fencing.highestSeenToken:
		m.connectivity.unreachableSince = 0 // the worker has received a newer token
	}
}

func (d *dispatcher) markUnreachable(m *machine, reason unreachableReason) {
	if m.connectivity.unreachableSince == 0 {
		m.connectivity.unreachableSince = d.now.Mono
		d.logInfo("machine unreachable", "machine", m.name, "reason", reason, "tasks", len(m.tasks))
	}
}
