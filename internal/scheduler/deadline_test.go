package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// What a deployment expects of a class decides when a job is due: the owner's
// deadline, a multiple of it, or a time of its own.
func TestDeadlinesFollowObjectives(t *testing.T) {
	owner := 100.0
	for _, tc := range []struct {
		aim  Objective
		due  *float64
		want []float64
	}{
		{Objective{}, &owner, []float64{100}},
		{Objective{}, nil, nil},
		{Objective{DeadlineMultiples: []float64{1}}, &owner, []float64{100}},
		{Objective{DeadlineMultiples: []float64{1.5, 1}}, &owner, []float64{100, 150}},
		{Objective{WithinS: 300}, &owner, []float64{300}},
		{Objective{WithinS: 300}, nil, []float64{300}},
		{Objective{DeadlineMultiples: []float64{1}, WithinS: 60}, &owner, []float64{60, 100}},
	} {
		h := newHarness(t, false, nil, nil)
		h.scheduler.settings.Objectives = map[string]Objective{"c": tc.aim}
		if got := tc.aim.deadlinesOf(&wire.Job{Class: "c", Shape: wire.ShapeArray, DeadlineS: tc.due}); !slices.Equal(got, tc.want) {
			t.Errorf("%+v: due after %v, want %v", tc.aim, got, tc.want)
		}
	}
}

// One more job than fits in time: the largest is given up, not the smallest ones.
func TestDeadlinePlanKeepsMostJobsOnTime(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, CPUsMax: 1000}
	h.bringUp("n-1") // 8 CPUs
	due := 25.0
	for i, tasks := range []int{4, 16, 4, 4} {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: tasks, CPUs: 1, EstimatedRunS: 10, DeadlineS: &due})
	}
	h.scheduler.planDeadlines()
	for id, want := range map[string]int{"run-000000": 0, "run-000001": 1, "run-000002": 0, "run-000003": 0} {
		if got := h.scheduler.cluster.jobs[id].plan.feasible; got != want {
			t.Errorf("%s misses %d deadlines", id, got)
		}
	}
	// What cannot meet its deadline may meet the next, if that spoils nobody's.
	h.scheduler.settings.Objectives = map[string]Objective{"": {DeadlineMultiples: []float64{1, 2}}}
	for _, j := range h.scheduler.cluster.jobs {
		j.plan.deadlines = h.scheduler.settings.Objectives[j.spec.Class].deadlinesOf(&j.spec)
	}
	h.scheduler.planDeadlines()
	if j := h.scheduler.cluster.jobs["run-000001"]; j.plan.feasible != 1 || j.missesAllDeadlines() {
		t.Errorf("misses %d of its deadlines %v", j.plan.feasible, j.plan.deadlines)
	}
}
