package scheduler

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// A new reservation of a job replaces its previous one, and only production jobs reserve quota.
func TestQuotaReservations(t *testing.T) {
	production := &job{rank: productionRank, spec: wire.Job{Team: "red", CPUs: 2, GPUs: 1}}
	other := &job{rank: productionRank, spec: wire.Job{Team: "red", CPUs: 4}}
	idle := &job{rank: idleRank, spec: wire.Job{Team: "red", CPUs: 8}}
	reservations := newQuotaReservations()
	for _, step := range []struct {
		job   *job
		tasks int
		want  TeamQuota
	}{
		{production, 3, TeamQuota{CPUs: 6, GPUs: 3}},
		{other, 1, TeamQuota{CPUs: 10, GPUs: 3}},
		{idle, 5, TeamQuota{CPUs: 10, GPUs: 3}},
		{production, 1, TeamQuota{CPUs: 6, GPUs: 1}},
		{production, 0, TeamQuota{CPUs: 4}},
	} {
		reservations.set(step.job, step.tasks)
		if got := reservations.byTeam["red"]; got != step.want {
			t.Errorf("after %d tasks: %+v reserved, want %+v", step.tasks, got, step.want)
		}
	}
}

// The headroom is the team's limit less usage and reservations, in whole tasks.
func TestQuotaHeadroom(t *testing.T) {
	for _, tc := range []struct {
		name            string
		spec            wire.Job
		usage, reserved TeamQuota
		want            int
	}{
		{"all of the limit", wire.Job{CPUs: 3}, TeamQuota{}, TeamQuota{}, 5},
		{"less usage", wire.Job{CPUs: 3}, TeamQuota{CPUs: 5}, TeamQuota{}, 3},
		{"less usage and reservations", wire.Job{CPUs: 3}, TeamQuota{CPUs: 5}, TeamQuota{CPUs: 5}, 2},
		{"over the limit", wire.Job{CPUs: 3}, TeamQuota{CPUs: 20}, TeamQuota{}, 0},
		{"limited by GPUs", wire.Job{CPUs: 1, GPUs: 1}, TeamQuota{}, TeamQuota{GPUs: 1}, 3},
		{"tasks that use no resources", wire.Job{}, TeamQuota{}, TeamQuota{}, wire.MaxTasks},
	} {
		s := newEmptyScheduler(Now{}, Settings{Teams: map[string]TeamQuota{"red": {MaxCPUs: 16, MaxGPUs: 4}}}, 1)
		usage := s.cluster.usageOf("red")
		usage.CPUs, usage.GPUs = tc.usage.CPUs, tc.usage.GPUs
		tc.spec.Team = "red"
		if got := s.cluster.quotaHeadroom(&job{spec: tc.spec}, tc.reserved); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
	if got := newEmptyScheduler(Now{}, Settings{}, 1).cluster.quotaHeadroom(&job{spec: wire.Job{Team: "unknown", CPUs: 1}}, TeamQuota{}); got != 0 {
		t.Errorf("a team without quota settings: %d, want 0", got)
	}
}
