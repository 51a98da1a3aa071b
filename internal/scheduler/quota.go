package scheduler

import (
	"math"

	"github.com/yarrowgap/yarrowgap/wire"
)

// quotaReservations is what waiting production jobs reserve of their teams' limits for a
// round. Without it, work of lower priority would take the quota that it was preempted
// for, and be preempted again.
type quotaReservations struct {
	byTeam map[string]TeamQuota // CPUs and GPUs
	tasks  map[*job]int         // for how many tasks each job has reserved
}

func newQuotaReservations() quotaReservations {
	return quotaReservations{byTeam: map[string]TeamQuota{}, tasks: map[*job]int{}}
}

// set has a production job reserve for so many tasks, in place of what it had reserved.
func (q quotaReservations) set(j *job, tasks int) {
	if !j.isProduction() {
		return
	}
	more := float64(tasks - q.tasks[j])
	reserved := q.byTeam[j.spec.Team]
	reserved.CPUs += more * j.spec.CPUs
	reserved.GPUs += more * j.spec.GPUs
	q.byTeam[j.spec.Team], q.tasks[j] = reserved, tasks
}

// quotaHeadroom is how many more tasks of the job its team's limit allows, beside what is
// reserved. All attempts that may be on a machine count against the limit: also those that
// save a checkpoint, and those whose start is not known to have failed.
func (c *clusterState) quotaHeadroom(j *job, reserved TeamQuota) int {
	limit, ok := c.settings.Teams[j.spec.Team]
	if !ok {
		return 0
	}
	usage := c.usageOf(j.spec.Team)
	count := math.Inf(1)
	if j.spec.CPUs > 0 {
		count = min(count, math.Floor((limit.MaxCPUs-usage.CPUs-reserved.CPUs+epsilon)/j.spec.CPUs))
	}
	if j.spec.GPUs > 0 {
		count = min(count, math.Floor((limit.MaxGPUs-usage.GPUs-reserved.GPUs+epsilon)/j.spec.GPUs))
	}
	return int(max(0, min(count, wire.MaxTasks)))
}

// quotaShortfall is what so many tasks of the job would take beyond its team's limit.
func (c *clusterState) quotaShortfall(j *job, tasks int) resources {
	limit, usage := c.settings.Teams[j.spec.Team], c.usageOf(j.spec.Team)
	return resources{
		cpus: usage.CPUs + float64(tasks)*j.spec.CPUs - limit.MaxCPUs,
		gpus: usage.GPUs + float64(tasks)*j.spec.GPUs - limit.MaxGPUs,
	}
}
