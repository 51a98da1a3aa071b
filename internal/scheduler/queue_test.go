package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// Each job precedes the next one in the queue, by the first criterion of compareQueueOrder in
// which they differ.
func TestQueueOrder(t *testing.T) {
	queued := func(id string, rank int, change func(*job)) *job {
		j := &job{id: id, rank: rank, queueStatus: jobQueueStatus{withinGuarantee: true}, plan: deadlinePlan{slackS: 60}}
		if change != nil {
			change(j)
		}
		return j
	}
	ordered := []*job{
		queued("production, late and beyond its guarantee", productionRank, func(j *job) {
			j.plan.firstFeasible, j.queueStatus.withinGuarantee = 1, false
		}),
		queued("starved", normalRank, func(j *job) { j.queueStatus.prioritized, j.plan.firstFeasible = true, 1 }),
		queued("aged", normalRank, func(j *job) { j.queueStatus.aged, j.plan.firstFeasible = true, 1 }),
		queued("urgent", urgentRank, nil),
		queued("less time to the deadline", normalRank, func(j *job) { j.plan.slackS = 10 }),
		queued("older", normalRank, func(j *job) { j.createdAt = -time.Second }),
		queued("same criteria, a", normalRank, nil),
		queued("same criteria, b", normalRank, nil),
		queued("beyond its guarantee", urgentRank, func(j *job) { j.queueStatus.withinGuarantee = false }),
		queued("late", urgentRank, func(j *job) { j.plan.firstFeasible = 1 }),
		queued("late and beyond its guarantee", urgentRank, func(j *job) {
			j.plan.firstFeasible, j.queueStatus.withinGuarantee = 1, false
		}),
	}
	for i, a := range ordered {
		for k, b := range ordered {
			if got, want := compareQueueOrder(a, b), cmp.Compare(i, k); got != want {
				t.Errorf("%q against %q: %d, want %d", a.id, b.id, got, want)
			}
		}
	}
}

// The guarantee of a team covers its oldest jobs until it is used up.
func TestGuaranteeCoversTheOldestJobs(t *testing.T) {
	s := newEmptyScheduler(Now{}, Settings{Teams: map[string]TeamQuota{"red": {CPUs: 8, MaxCPUs: 100}}}, 1)
	for i, id := range []string{"run-000003", "run-000001", "run-000002"} {
		j := &job{id: id}
		j.spec.Team, j.spec.CPUs, j.spec.Tasks, j.spec.CreatedAtMilli = "red", 1, 4, int64(i)
		s.cluster.jobs[id] = j
	}
	s.cluster.updateGuarantees()
	var within []string
	for id, j := range s.cluster.jobs {
		if j.queueStatus.withinGuarantee {
			within = append(within, id)
		}
	}
	slices.Sort(within)
	if want := []string{"run-000001", "run-000003"}; !slices.Equal(within, want) {
		t.Errorf("within the guarantee: %v, want %v", within, want)
	}
}
