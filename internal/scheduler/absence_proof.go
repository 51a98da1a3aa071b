package scheduler

import (
	"github.com/yarrowgap/yarrowgap/wire"
)

// provenAbsent reports whether a heartbeat that does not list an attempt proves that the attempt
// is not on the machine and cannot be started there by a command that was sent earlier. An
// attempt whose start was sent, and whose end the worker has not reported, is removed from the
// scheduler's state only on this proof, together with its machine, or because the worker, which
// has listed the attempt before, now lists another attempt of the same task.
func (d *dispatcher) provenAbsent(a *attempt, heartbeat *wire.Heartbeat, initiator exchangeInitiator) bool {
	start := &a.start
	// A worker that has only seen lower fencing tokens does not refuse the start.
	//mutation:absence-needs-fencing-token
	mayPassFencing := heartbeat.FencingToken < newFencingToken(d.term, start.requiredFencingCounter)
	// Workers drop commands that were sent to an earlier incarnation.
	isForEarlierIncarnation := start.incarnation != 0 && heartbeat.Incarnation > start.incarnation
	// The worker may execute a direct call after it has sent the heartbeat.
	//mutation:absence-needs-finished-call
	mayArriveInDirectCall := start.callInFlight
	// Only the next heartbeat that the worker initiates shows that it has executed or dropped the
	// heartbeat reply that carried the start. A heartbeat in the reply to a direct call may be
	// sent before the worker has received that heartbeat reply.
	//mutation:absence-needs-next-heartbeat
	mayArriveInHeartbeatReply := start.replySequence != 0 && !(initiator == workerInitiated && heartbeat.Sequence > start.replySequence)

	switch {
	case start.acknowledged:
		return true // the worker listed it before, so it has ended since
	case !start.sent, mayPassFencing:
		return false
	case isForEarlierIncarnation:
		return true
	}
	return !mayArriveInDirectCall && !mayArriveInHeartbeatReply
}
