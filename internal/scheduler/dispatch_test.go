package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

func TestMachinesDueAreTakenOnceAndInOrder(t *testing.T) {
	d := newDispatcher(&termContext{}, nil)
	for _, name := range []string{"n-2", "n-1", "n-2"} {
		d.markDue(&machine{name: name})
	}
	if got := slices.Collect(d.takeDue()); !slices.Equal(got, []string{"n-1", "n-2"}) {
		t.Errorf("due: %v", got)
	}
	if got := slices.Collect(d.takeDue()); len(got) != 0 {
		t.Errorf("due again: %v", got)
	}
}

func TestEndCallClearsInFlightState(t *testing.T) {
	d := newDispatcher(&termContext{}, nil)
	m := &machine{directCalls: directCallState{inFlight: true}}
	a := &attempt{machine: m, start: startState{callInFlight: true}}
	d.calls[1] = &commandCall{machine: m, starts: []*attempt{a}}
	d.calls[2] = &commandCall{machine: &machine{}, statusProbe: true}
	d.probes.inFlight = 1

	if call := d.endCall(1); call == nil || m.directCalls.inFlight || a.start.callInFlight || d.probes.inFlight != 1 {
		t.Errorf("after a call with a start: %+v, %+v, %d probes in flight", m.directCalls, a.start, d.probes.inFlight)
	}
	if d.endCall(2); d.probes.inFlight != 0 {
		t.Errorf("%d probes in flight after the only one has ended", d.probes.inFlight)
	}
	if d.endCall(1) != nil {
		t.Error("a call was ended twice")
	}
}

func TestDueStartsRequireAllConditions(t *testing.T) {
	ref := taskRef{"run-000001", 0}
	for _, c := range []struct {
		name   string
		change func(a *attempt)
		want   bool
	}{
		{"recorded and never sent", func(*attempt) {}, true},
		{"not recorded", func(a *attempt) { a.assignment.durable = false }, false},
		{"its stop is requested", func(a *attempt) { a.stop.requested = true }, false},
		{"acknowledged", func(a *attempt) { a.start.acknowledged = true }, false},
		{"in a call that is in flight", func(a *attempt) { a.start.callInFlight = true }, false},
		{"its retry is not due", func(a *attempt) { a.retry.nextAt = 2 * time.Minute }, false},
		{"its retry is due", func(a *attempt) { a.start.sent, a.start.firstSentAt = true, 1 }, true},
		{"sent by an earlier leader", func(a *attempt) { a.start.sent = true }, false},
		{"its job is not live", func(a *attempt) { a.job = nil }, false},
		{"its job is cancelled", func(a *attempt) { a.job.cancelled = true }, false},
		{"an earlier attempt is not forgotten", func(a *attempt) { a.machine.exited[ref] = taskExit{attempt: 4} }, false},
		{"its machine is not confirmed", func(a *attempt) { a.machine.confirmed = false }, false},
		{"its machine is not up", func(a *attempt) { a.machine.phase = machineBooting }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(&termContext{now: Now{Mono: time.Minute}}, nil)
			m := &machine{phase: machineUp, confirmed: true, tasks: map[taskRef]*attempt{}, exited: map[taskRef]taskExit{}}
			a := &attempt{ref: ref, number: 5, job: &job{}, machine: m, assignment: assignmentState{durable: true}}
			m.tasks[ref] = a
			c.change(a)
			if got := len(d.dueStarts(m)) == 1; got != c.want {
				t.Errorf("due: %v", got)
			}
		})
	}
}

func TestStatusProbeLimitGrowsWithFleet(t *testing.T) {
	const minProbes, maxProbes = tuning.MinConcurrentStatusProbes, tuning.MaxConcurrentStatusProbes
	for _, c := range []struct {
		fleetSize, unanswered, want int
	}{
		{1, 0, minProbes},
		{(minProbes + 3) * tuning.MachinesPerStatusProbe, 0, minProbes + 3},
		{2 * maxProbes * tuning.MachinesPerStatusProbe, 0, maxProbes},
		{1, 1, minProbes / 2},
		{2 * maxProbes * tuning.MachinesPerStatusProbe, 2, maxProbes / 2},
	} {
		d := newDispatcher(&termContext{}, nil)
		if got := d.statusProbeLimit(&machine{directCalls: directCallState{consecutiveUnanswered: c.unanswered}}, c.fleetSize); got != c.want {
			t.Errorf("%d machines, %d calls unanswered: %d, want %d", c.fleetSize, c.unanswered, got, c.want)
		}
	}
}

func TestCallOutcomeDecidesResends(t *testing.T) {
	newCall := func() (dispatcher, *commandCall, *attempt) {
		d := newDispatcher(&termContext{term: 7, now: Now{Mono: time.Minute}}, nil)
		m := &machine{tasks: map[taskRef]*attempt{}, fencing: fencingState{counter: 3}}
		a := &attempt{machine: m, start: startState{sent: true}, retry: dispatchRetry{dispatchCount: 1, nextAt: time.Hour}, stop: stopRequest{sentAt: time.Second}}
		m.tasks[a.ref] = a
		return d, &commandCall{machine: m, fencingCounter: 3, starts: []*attempt{a}}, a
	}

	d, call, a := newCall()
	d.handleLostCall(call)
	if a.machine.fencing.counter != 4 || a.start.requiredFencingCounter != 4 || a.retry.nextAt != time.Hour {
		t.Errorf("a lost call: fencing counter %d, required %d, retry at %v", a.machine.fencing.counter, a.start.requiredFencingCounter, a.retry.nextAt)
	}
	if a.stop.sentAt != 0 {
		t.Error("a lost call's stops are not sent again")
	}
	call.fencingCounter = 2 // the token was raised since
	if d.handleLostCall(call); a.machine.fencing.counter != 4 {
		t.Errorf("raised to %d although a higher token is already in use", a.machine.fencing.counter)
	}

	d, call, a = newCall()
	d.handleRefusedCall(call, newFencingToken(7, 9))
	if a.machine.fencing.counter != 9 || a.retry.dispatchCount != 0 || a.retry.nextAt != time.Minute || a.stop.sentAt != 0 || !a.machine.directCalls.resendWhenDone {
		t.Errorf("a refused call: %+v, %+v, %+v", a.machine.fencing, a.retry, a.machine.directCalls)
	}
	d.handleRefusedCall(call, newFencingToken(7, 2))
	if a.machine.fencing.counter != 9 {
		t.Errorf("fencing counter lowered to %d", a.machine.fencing.counter)
	}
}
