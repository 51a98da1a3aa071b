package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// EffectiveCPUShare returns a process's share of a core in relation to the fleet that it serves as
// the leader: cpuShare, reduced in proportion for a fleet larger than tuning.ReferenceFleet. What a
// new leader has to do at once grows with the number of machines, so that a share that is ample for
// a thousand machines is small for five thousand.
func EffectiveCPUShare(cpuShare float64, machines int) float64 {
	//mutation:cpu-share-by-fleet
	reduction := min(1.0, tuning.ReferenceFleet/float64(max(1, machines)))
	return cpuShare * reduction
}

// isLimited reports whether a share of a core, if it is known, is so small that deferrable work is
// spread over time.
func isLimited(cpuShare float64) bool { return cpuShare > 0 && cpuShare < tuning.ReferenceCPUShare }

// isTakeoverCPULimited reports whether the process has so small a share of a core for its fleet that
// the takeover of all machines by a new leader is spread over time.
func (c *termContext) isTakeoverCPULimited(machines int) bool {
	return isLimited(EffectiveCPUShare(c.settings.CPUShare, machines))
}

// scaleByCPUShare lengthens an interval for a process that has less than the
// tuning.ReferenceCPUShare of a core that the interval is meant for. Without that, such a
// process would spend all of its time on placement rounds while hundreds of jobs wait, and fall
// behind with heartbeats, so that machines stay idle although jobs wait for them.
func (c *termContext) scaleByCPUShare(interval time.Duration) time.Duration {
	if isLimited(c.settings.CPUShare) {
		return time.Duration(float64(interval) * tuning.ReferenceCPUShare / c.settings.CPUShare)
	}
	return interval
}
