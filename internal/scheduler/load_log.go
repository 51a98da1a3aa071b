package scheduler

import (
	"maps"
	"slices"
	"time"
)

// logLoad logs the cluster's utilization, how many tasks wait for capacity, for quota and without
// a determined reason, and the lag of the cancellations that are not fully enforced yet.
func (c *clusterState) logLoad(cancellationLag time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.usage)) {
		if usage := c.usage[name]; usage.CPUs > 0 {
			c.logDebug("team usage", "team", name, "cpus_used", usage.CPUs, "cpus_limit", c.settings.Teams[name].MaxCPUs)
		}
	}
	waiting := map[WaitReason]int{}
	for _, j := range c.jobs {
		if tasks := j.pendingTasks(); tasks > 0 {
			waiting[j.waiting.reason] += tasks
		}
	}
	used, total := c.cpuUsage()
	c.logDebug("cluster load", "cpus_used", used, "cpus_total", total, "machines", len(c.machines), "jobs", len(c.jobs),
		"waiting_for_capacity", waiting[WaitForCapacity], "waiting_for_quota", waiting[WaitForQuota], "waiting_otherwise", waiting[NotWaiting],
		"cancellation_lag_s", cancellationLag.Seconds())
}
