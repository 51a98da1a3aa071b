package scheduler

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The attempt numbers and fencing tokens of a term never reach those of the next term: a leader
// whose counters are nearly used up resigns, and until then it creates no attempt without a
// unique number.
func TestFencingCountersStayWithinTerm(t *testing.T) {
	resigns := func(h *harness) bool {
		h.now += tuning.TickInterval
		h.scheduler.Tick(h.clock())
		return h.scheduler.TakeEffects().Resign != ""
	}
	maxValue := float64(maxCounter)
	for _, used := range []float64{0, maxValue * tuning.MaxFencingCounterShare, maxValue*tuning.MaxFencingCounterShare + 1, maxValue} {
		want := used > maxValue*tuning.MaxFencingCounterShare
		h := newHarness(t)
		h.bringUp("n-1")
		h.scheduler.dispatcher.lastAttemptNumber = uint64(used)
		if got := resigns(h); got != want {
			t.Errorf("%v attempts: resigned %v", used, got)
		}
		h = newHarness(t)
		h.bringUp("n-1")
		h.scheduler.cluster.machines["n-1"].fencing.counter = uint64(used)
		if got := resigns(h); got != want {
			t.Errorf("fencing counter %v: resigned %v", used, got)
		}
	}

	h := newHarness(t)
	h.bringUp("n-1")
	h.scheduler.dispatcher.lastAttemptNumber = maxCounter - 2
	h.submit(wire.Job{ID: "run-000001", Tasks: 5, CPUs: 1})
	h.submit(wire.Job{ID: "run-000002", Tasks: 3, CPUs: 1, Shape: wire.ShapeGang, Team: "blue"})
	h.now += time.Second
	if s := h.startCommands(); len(s) != 2 || s[0].Attempt == s[1].Attempt || TermOf(s[0].Attempt) != harnessTerm || TermOf(s[1].Attempt) != harnessTerm {
		t.Errorf("starts with two attempt numbers left: %+v", s)
	}
	m := h.scheduler.cluster.machines["n-1"]
	m.fencing.counter = maxCounter
	if m.fencing.raise(); TermOf(h.scheduler.fencingToken(m)) != harnessTerm {
		t.Errorf("raised into term %d", TermOf(h.scheduler.fencingToken(m)))
	}
}
