package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// The objective of a job's class determines the job's deadlines: the owner's deadline, multiples
// of it, or a fixed time after the submission.
func TestDeadlinesFollowObjectives(t *testing.T) {
	owner := 100.0
	for _, tc := range []struct {
		objective     Objective
		ownerDeadline *float64
		want          []float64
	}{
		{Objective{}, &owner, []float64{100}},
		{Objective{}, nil, nil},
		{Objective{DeadlineMultiples: []float64{1}}, &owner, []float64{100}},
		{Objective{DeadlineMultiples: []float64{1.5, 1}}, &owner, []float64{100, 150}},
		{Objective{WithinS: 300}, &owner, []float64{300}},
		{Objective{WithinS: 300}, nil, []float64{300}},
		{Objective{DeadlineMultiples: []float64{1}, WithinS: 60}, &owner, []float64{60, 100}},
	} {
		h := newHarness(t)
		h.scheduler.settings.Objectives = map[string]Objective{"c": tc.objective}
		h.submit(wire.Job{ID: "run-000001", Class: "c", Tasks: 1, CPUs: 1, DeadlineS: tc.ownerDeadline})
		if got := h.scheduler.cluster.jobs["run-000001"].plan.deadlines; !slices.Equal(got, tc.want) {
			t.Errorf("%+v: deadlines %v, want %v", tc.objective, got, tc.want)
		}
	}
}

// If one of the jobs cannot be on time, the largest one misses its deadline instead of any of the
// small ones.
func TestDeadlinePlanKeepsMostJobsOnTime(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
	h.bringUp("n-1") // 8 CPUs
	deadline := 25.0
	for i, tasks := range []int{4, 16, 4, 4} {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: tasks, CPUs: 1, EstimatedRunS: 10, DeadlineS: &deadline})
	}
	h.scheduler.cluster.planDeadlines()
	for id, want := range map[string]int{"run-000000": 0, "run-000001": 1, "run-000002": 0, "run-000003": 0} {
		if got := h.scheduler.cluster.jobs[id].plan.firstFeasible; got != want {
			t.Errorf("%s misses %d deadlines, want %d", id, got, want)
		}
	}
	// The job that misses its first deadline meets the next one, while all others stay on time.
	h.scheduler.settings.Objectives = map[string]Objective{"": {DeadlineMultiples: []float64{1, 2}}}
	for _, j := range h.scheduler.cluster.jobs {
		j.plan.deadlines = h.scheduler.settings.Objectives[j.spec.Class].deadlinesFor(&j.spec)
	}
	h.scheduler.cluster.planDeadlines()
	if j := h.scheduler.cluster.jobs["run-000001"]; j.plan.firstFeasible != 1 || j.missesAllDeadlines() {
		t.Errorf("misses %d of its deadlines %v", j.plan.firstFeasible, j.plan.deadlines)
	}
}
