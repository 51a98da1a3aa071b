package scheduler

import (
	"math"

	"github.com/yarrowgap/yarrowgap/wire"
)

// quotaReservations tracks the quota that waiting production jobs reserve within their teams'
// limits for one round. Without reservations, lower-priority jobs would take the quota that was
// freed by preempting them, and would be preempted again.
type quotaReservations struct {
	byTeam map[string]TeamQuota // reserved CPUs and GPUs; the Max fields are unused
	tasks  map[*job]int         // number of tasks that each job has reserved quota for
}

func newQuotaReservations() quotaReservations {
	return quotaReservations{byTeam: map[string]TeamQuota{}, tasks: map[*job]int{}}
}

// set replaces the reservation of a production job by one for the given number of tasks. It does
// nothing for other jobs.
func (q quotaReservations) set(j *job, tasks int) {
	if !j.isProduction() {
		return
	}
	added := float64(tasks - q.tasks[j])
	reserved := q.byTeam[j.spec.Team]
	reserved.CPUs += added * j.spec.CPUs
	reserved.GPUs += added * j.spec.GPUs
	q.byTeam[j.spec.Team], q.tasks[j] = reserved, tasks
}

// quotaHeadroom returns how many more tasks of the job its team's limit allows, given the
// reserved quota. All attempts that may be on a machine count against the limit, including those
// that are saving a checkpoint and those whose start is not known to have failed.
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

// quotaShortfall returns by how much the given number of additional tasks of the job would exceed
// its team's limit. A resource within the limit is 0 or negative.
func (c *clusterState) quotaShortfall(j *job, tasks int) resources {
	limit, usage := c.settings.Teams[j.spec.Team], c.usageOf(j.spec.Team)
	return resources{
		cpus: usage.CPUs + float64(tasks)*j.spec.CPUs - limit.MaxCPUs,
		gpus: usage.GPUs + float64(tasks)*j.spec.GPUs - limit.MaxGPUs,
	}
}
