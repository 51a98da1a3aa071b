package scheduler

import (
	"github.com/yarrowgap/yarrowgap/wire"
)

// provenAbsent reports whether an attempt that the heartbeat does not list is neither on the
// machine nor can be started there by anything that was sent before. An attempt leaves the
// scheduler's state on this proof alone, or with its machine.
func (d *dispatcher) provenAbsent(a *attempt, heartbeat *wire.Heartbeat, via exchange) bool {
	start := &a.start
	// The worker has not seen the token under which it refuses the start.
	//mutation:absence-needs-fencing-token
	mayPassFencing := heartbeat.FencingToken < newFencingToken(d.term, start.requiredFencingCounter)
	// Commands to an earlier incarnation are dropped.
	isForEarlierIncarnation := start.incarnation != 0 && heartbeat.Incarnation > start.incarnation
	// A direct call may be executed after the heartbeat was sent.
	//mutation:absence-needs-finished-call
	mayArriveInDirectCall := start.callInFlight
	// Only the worker's next heartbeat shows that the reply to the last one was executed or
	// dropped: the reply to a direct call may overtake it.
	//mutation:absence-needs-next-heartbeat
	mayArriveInHeartbeatReply := start.replySequence != 0 && !(via == workerInitiated && heartbeat.Sequence > start.replySequence)

	switch {
	case start.acknowledged:
		return true // it was there
	case !start.sent, mayPassFencing:
		return false
	case isForEarlierIncarnation:
		return true
	}
	return !mayArriveInDirectCall && !mayArriveInHeartbeatReply
}
