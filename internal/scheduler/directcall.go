package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// commandCall is a direct call that is in flight.
type commandCall struct {
	machine        *machine
	fencingCounter uint64     // counter of the fencing token under which the call was sent
	starts         []*attempt // attempts whose starts the call carries
	statusProbe    bool       // the call carries no commands
}

// sendCommands makes a direct call to a machine. A call without commands is a status probe.
func (d *dispatcher) sendCommands(m *machine, commands []wire.Command, starts []*attempt) {
	d.nextEffectID++
	d.calls[d.nextEffectID] = &commandCall{machine: m, fencingCounter: m.fencing.counter, starts: starts, statusProbe: len(commands) == 0}
	m.directCalls.inFlight = true
	d.effects.DirectCalls = append(d.effects.DirectCalls, DirectCall{
		ID: d.nextEffectID, Machine: m.name, Addr: m.address,
		//mutation:direct-call-incarnation
		Body: wire.DirectCommands{FencingToken: d.fencingToken(m), Incarnation: max(1, m.heartbeats.incarnation), Commands: commands},
	})
}

// endCall removes a call from those in flight and returns it; nil if the call is not in flight.
func (d *dispatcher) endCall(id uint64) *commandCall {
	call := d.calls[id]
	if call == nil {
		return nil
	}
	delete(d.calls, id)
	call.machine.directCalls.inFlight = false
	if call.statusProbe {
		d.probes.inFlight--
	}
	for _, a := range call.starts {
		a.start.callInFlight = false
	}
	return call
}

// CallResult is the outcome of a direct call.
type CallResult int

// Outcomes of a direct call; see worker.Outcome.
const (
	// CallLost means that no answer arrived. The commands may have been executed, or may be
	// executed later.
	CallLost     CallResult = iota
	CallExecuted            // the commands were executed
	CallRefused             // no command was executed
)

// CallDone handles the outcome of a direct call, and the heartbeat in its reply if there is one.
func (s *Scheduler) CallDone(now Now, id uint64, result CallResult, heartbeat *wire.Heartbeat) {
	s.now = now
	call := s.dispatcher.endCall(id)
	if call == nil {
		return
	}
	m := call.machine
	if heartbeat != nil && s.dispatcher.supersededBy(heartbeat) {
		result, heartbeat = CallLost, nil
	}
	//mutation:direct-reply-of-another-machine
	if heartbeat != nil && heartbeat.Machine != m.name {
		result, heartbeat = CallLost, nil // another machine has this address now
	}
	m.directCalls.countResult(result)
	switch result {
	case CallLost:
		s.dispatcher.handleLostCall(call)
	case CallRefused:
		s.dispatcher.handleRefusedCall(call, heartbeat.FencingToken)
	}
	if heartbeat != nil && m.phase == machineUp {
		s.handleDirectReply(m, heartbeat)
	}
	if m.directCalls.resendWhenDone && result != CallLost {
		s.dispatcher.sendDeferredCommands(m, len(s.cluster.machines))
	}
	m.directCalls.resendWhenDone = false
}

// countResult counts the consecutive calls without an answer.
func (c *directCallState) countResult(result CallResult) {
	if result != CallLost {
		c.consecutiveUnanswered, c.unansweredSinceHeartbeat = 0, 0
		return
	}
	c.consecutiveUnanswered++
	c.unansweredSinceHeartbeat++
}

// handleLostCall handles a call without an answer, whose commands may have been executed or may
// be executed later. Its starts count as possibly executed until a heartbeat under a higher
// fencing token proves that the worker will not execute them.
func (d *dispatcher) handleLostCall(call *commandCall) {
	m := call.machine
	if len(call.starts) > 0 && m.fencing.counter == call.fencingCounter {
		m.fencing.raise()
	}
	for _, a := range call.starts {
		a.start.requiredFencingCounter = m.fencing.counter
		d.logDebug("start call unanswered", "task", a.ref.String(), "attempt", a.number, "machine", m.name)
	}
	m.markStopsDue()
}

// handleRefusedCall handles a call whose commands were not executed because the worker has seen
// a higher fencing token or has another incarnation. Its starts and all stops of tracked attempts
// are due again. The stop of an untracked attempt is queued again when the worker next lists it.
func (d *dispatcher) handleRefusedCall(call *commandCall, seenToken uint64) {
	m := call.machine
	for _, a := range call.starts {
		if !a.start.acknowledged {
			a.retry.undoDispatch(d.now.Mono)
		}
	}
	m.markStopsDue()
	if seenToken > d.fencingToken(m) {
		m.fencing.counter = counterOf(seenToken)
	}
	m.directCalls.resendWhenDone = true
}

// undoDispatch removes a start that the worker did not execute from the dispatch count, and makes
// the start due at once.
func (r *dispatchRetry) undoDispatch(now time.Duration) {
	r.nextAt = now
	r.dispatchCount = max(0, r.dispatchCount-1)
}

// markStopsDue makes all stops that were sent to the machine due again.
func (m *machine) markStopsDue() {
	for _, a := range m.tasks {
		a.stop.sentAt = 0
	}
}

// handleDirectReply handles the heartbeat in the reply to a direct call.
func (s *Scheduler) handleDirectReply(m *machine, heartbeat *wire.Heartbeat) {
	//mutation:direct-reply-counts-as-heartbeat
	s.markHeartbeatReceived(m)
	m.connectivity.unreachableSince = 0 // the machine has just answered a call
	//mutation:direct-reply-sequence
	if m.heartbeats.precedes(heartbeat) {
		s.applyHeartbeat(m, heartbeat, leaderInitiated)
	}
}

// sendDeferredCommands sends the commands that became due while a call to the machine was in
// flight, and those of a refused call. An unconfirmed machine to which nothing is sent is probed.
func (d *dispatcher) sendDeferredCommands(m *machine, fleetSize int) {
	m.directCalls.resendWhenDone = false
	d.sendDue(m)
	if !m.confirmed {
		m.directCalls.probedAt = 0
		d.probeStatus(m, fleetSize)
	}
}
