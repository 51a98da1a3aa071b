package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// What a deployment expects of a class decides when a job is due: the owner's
// deadline, a multiple of it, or a time of its own.
func TestDueFollowsTheAims(t *testing.T) {
	owner := 100.0
	for _, tc := range []struct {
		aim  Aim
		due  *float64
		want []float64
	}{
		{Aim{}, &owner, []float64{100}},
		{Aim{}, nil, nil},
		{Aim{Times: []float64{1}}, &owner, []float64{100}},
		{Aim{Times: []float64{1.5, 1}}, &owner, []float64{100, 150}},
		{Aim{Within: 300}, &owner, []float64{300}},
		{Aim{Within: 300}, nil, []float64{300}},
		{Aim{Times: []float64{1}, Within: 60}, &owner, []float64{60, 100}},
	} {
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Aims = map[string]Aim{"c": tc.aim}
		if got := d.l.dues(&wire.Job{Class: "c", Shape: wire.ShapeArray, DueS: tc.due}); !slices.Equal(got, tc.want) {
			t.Errorf("%+v: due after %v, want %v", tc.aim, got, tc.want)
		}
	}
}

// One more job than fits in time: the largest is given up, not the smallest ones.
func TestDeadlinePlanKeepsTheMostJobs(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 8, CPUsMax: 1000}
	d.up("n-1") // 8 CPUs
	due := 25.0
	for i, tasks := range []int{4, 16, 4, 4} {
		d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: tasks, CPUs: 1, EstimateS: 10, DueS: &due})
	}
	d.l.planDeadlines()
	for id, want := range map[string]int{"run-000000": 0, "run-000001": 1, "run-000002": 0, "run-000003": 0} {
		if got := d.l.jobs[id].hope; got != want {
			t.Errorf("%s misses %d deadlines", id, got)
		}
	}
	// What cannot meet its deadline may meet the next, if that spoils nobody's.
	d.l.cfg.Aims = map[string]Aim{"": {Times: []float64{1, 2}}}
	for _, j := range d.l.jobs {
		j.dues = d.l.dues(&j.spec)
	}
	d.l.planDeadlines()
	if j := d.l.jobs["run-000001"]; j.hope != 1 || j.hopeless() {
		t.Errorf("misses %d of its deadlines %v", j.hope, j.dues)
	}
}
