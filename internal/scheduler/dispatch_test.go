package scheduler

import (
	"slices"
	"testing"
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

func TestEndedCallFreesItsMachineAndItsStarts(t *testing.T) {
	d := newDispatcher(&termContext{}, nil)
	m := &machine{calls: callStatus{inFlight: true}}
	a := &attempt{machine: m, start: startState{callInFlight: true}}
	d.calls[1] = &commandCall{machine: m, starts: []*attempt{a}}
	d.calls[2] = &commandCall{machine: &machine{}, statusProbe: true}
	d.probes.inFlight = 1

	if call := d.endCall(1); call == nil || m.calls.inFlight || a.start.callInFlight || d.probes.inFlight != 1 {
		t.Errorf("after a call with a start: %+v, %+v, %d probes in flight", m.calls, a.start, d.probes.inFlight)
	}
	if d.endCall(2); d.probes.inFlight != 0 {
		t.Errorf("%d probes in flight after the only one has ended", d.probes.inFlight)
	}
	if d.endCall(1) != nil {
		t.Error("a call ends twice")
	}
}
