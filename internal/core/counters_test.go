package core

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Attempts' numbers and tokens of a term never reach those of the next: a leader that has
// counted far resigns, and until then it numbers no more attempts than there are.
func TestCountersStayWithinTheTerm(t *testing.T) {
	resigns := func(d *desk) bool {
		d.now += tuning.TickEvery
		d.l.Tick(d.clock())
		return d.l.Take().Resign != ""
	}
	most := float64(counterMost)
	for _, used := range []float64{0, most * tuning.CountersUsed, most*tuning.CountersUsed + 1, most} {
		want := used > most*tuning.CountersUsed
		d := newDesk(t, false, nil, nil)
		d.up("n-1")
		d.l.nextTry = uint64(used)
		if got := resigns(d); got != want {
			t.Errorf("%v attempts: resigned %v", used, got)
		}
		d = newDesk(t, false, nil, nil)
		d.up("n-1")
		d.l.machines["n-1"].fence = uint64(used)
		if got := resigns(d); got != want {
			t.Errorf("fence %v: resigned %v", used, got)
		}
	}

	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.l.nextTry = counterMost - 2
	d.submit(wire.Job{ID: "run-000001", Tasks: 5, CPUs: 1})
	d.submit(wire.Job{ID: "run-000002", Tasks: 3, CPUs: 1, Shape: wire.ShapeGang, Team: "blue"})
	d.now += time.Second
	if s := d.starts(); len(s) != 2 || s[0].Attempt == s[1].Attempt || Term(s[0].Attempt) != deskTerm || Term(s[1].Attempt) != deskTerm {
		t.Errorf("starts at the end of the numbers: %+v", s)
	}
	m := d.l.machines["n-1"]
	m.fence = counterMost
	if d.l.raise(m); Term(d.l.token(m)) != deskTerm {
		t.Errorf("raised into term %d", Term(d.l.token(m)))
	}
}
