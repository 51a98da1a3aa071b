package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Ranks are priorities in their order, the highest first.
var (
	productionRank = wire.PriorityOrder(wire.PriorityProduction)
	idleRank       = wire.PriorityOrder(wire.PriorityIdle) // work for capacity that is free
)

// isOpen reports whether tasks of the job may still be placed.
func (j *job) isOpen() bool { return !j.cancelled && !j.archived }

// isProduction reports whether the job has the highest priority.
func (j *job) isProduction() bool { return j.rank == productionRank }

// schedulingQueue gives the jobs with tasks to place in the order in which a placement
// round takes them, see compareQueueOrder. It brings their standing and their deadline
// plan up to date first.
func (c *clusterState) schedulingQueue(totalCPUs float64) []*job {
	var waiting []*job
	for _, j := range c.jobs {
		if j.pendingTasks() == 0 {
			j.waiting.since = 0
		}
		if !j.isOpen() {
			continue
		}
		j.updateStarvation(c.now.Mono, totalCPUs)
		if j.pendingTasks() > 0 && c.now.Mono >= j.retry.notBefore {
			waiting = append(waiting, j)
		}
	}
	c.updateGuarantees()
	c.planDeadlines()
	for _, j := range waiting {
		j.updateUrgency(c.now.Mono)
	}
	slices.SortFunc(waiting, compareQueueOrder)
	return waiting
}

// compareQueueOrder orders waiting jobs: production first, then the first tasks of starved
// jobs, then the share of aged jobs, then by deadline feasibility, guarantee, priority and
// the time to the deadline.
func compareQueueOrder(a, b *job) int {
	if c := compareTrueFirst(a.isProduction(), b.isProduction()); c != 0 {
		return c
	}
	if c := compareTrueFirst(a.queueStatus.prioritized, b.queueStatus.prioritized); c != 0 {
		return c
	}
	if c := compareTrueFirst(a.queueStatus.aged, b.queueStatus.aged); c != 0 {
		return c
	}
	// A job that can still be on time goes before one that is late already, even if that
	// one is within its guarantee: it has missed the guaranteed start too.
	if c := cmp.Compare(a.deadlineClass(), b.deadlineClass()); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.plan.slackS, b.plan.slackS),
		cmp.Compare(a.createdAt, b.createdAt),
		strings.Compare(a.id, b.id),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// updateStarvation finds out whether the job is starved. A starved job gets its first tasks
// ahead of all but production: deadline planning sacrifices the largest job first, and
// under lasting overload it would do so in every round.
func (j *job) updateStarvation(now time.Duration, totalCPUs float64) {
	j.queueStatus.starved = !j.service && now-j.createdAt > tuning.ArrayStarvationBound && !j.isEstablished(now) && !j.likelyInvalid(now)
	//mutation:starved-jobs-first
	j.queueStatus.prioritized = j.queueStatus.starved && j.starvedTaskAllowance(totalCPUs) > 0
}

// updateUrgency sets what follows from the deadline plan. A job that misses all its
// deadlines ages, and then gets a share of the cluster: it has to finish all the same.
func (j *job) updateUrgency(now time.Duration) {
	j.queueStatus.aged = !j.service && j.missesAllDeadlines() && now-j.createdAt > tuning.AgedAfter
	j.plan.slackS = math.Inf(1) // without a deadline, after those that have one
	if len(j.plan.deadlines) > 0 {
		j.plan.slackS = j.secondsToDeadline(now)
	}
}

// updateGuarantees finds out which jobs are within their team's guarantee: it covers the
// team's oldest jobs, each with all tasks that are not done.
func (c *clusterState) updateGuarantees() {
	jobsByTeam := map[string][]*job{}
	for _, j := range c.jobs {
		if j.isOpen() {
			jobsByTeam[j.spec.Team] = append(jobsByTeam[j.spec.Team], j)
		}
	}
	for team, jobs := range jobsByTeam {
		slices.SortFunc(jobs, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.CreatedAtMilli, b.spec.CreatedAtMilli), strings.Compare(a.id, b.id))
		})
		guarantee := c.settings.Teams[team]
		cpus, gpus := 0.0, 0.0
		for _, j := range jobs {
			unfinished := float64(j.spec.Tasks - j.progress.doneCount)
			cpus += unfinished * j.spec.CPUs
			gpus += unfinished * j.spec.GPUs
			j.queueStatus.withinGuarantee = cpus <= guarantee.CPUs+epsilon && gpus <= guarantee.GPUs+epsilon
		}
	}
}

// likelyInvalid reports whether the job seems to be submitted with a mistake: it has failed
// on several machines, no task of it was ever established, and none runs for longer than
// failures take to show. On a faulty machine other jobs fail too, while the tasks of a
// valid job succeed elsewhere.
func (j *job) likelyInvalid(now time.Duration) bool {
	if len(j.retry.failedMachines) < tuning.FaultyJobMachineThreshold || j.isEstablished(now) {
		return false
	}
	return j.longestRun(now) <= 2*j.retry.longestFailedRun+tuning.FailureRuntimeMargin
}

// isEstablished reports whether a task of the job was completed or has run for long enough
// to count as started for good. Idle work of a guest team that is preempted within seconds
// of each start would otherwise never count as starved.
func (j *job) isEstablished(now time.Duration) bool {
	if j.queueStatus.established || j.progress.doneCount > 0 {
		return true
	}
	j.queueStatus.established = j.longestRun(now) >= tuning.EstablishedAfter
	return j.queueStatus.established
}

// longestRun is for how long the job's longest-running task has run, without those that
// are being stopped; 0 if none runs.
func (j *job) longestRun(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, attempts := range j.active {
		for _, a := range attempts {
			if a.runningAt > 0 && !a.stop.requested {
				longest = max(longest, now-a.runningAt)
			}
		}
	}
	return longest
}

// starvedTaskAllowance is how many more tasks the job gets ahead of others while it is
// starved: a part of the job, and, beyond its team's guarantee, of the cluster.
func (j *job) starvedTaskAllowance(totalCPUs float64) int {
	allowance := max(1, j.spec.Tasks/tuning.StarvedArrayDivisor)
	if !j.queueStatus.withinGuarantee && j.spec.CPUs > 0 {
		allowance = min(allowance, max(1, int(totalCPUs*tuning.StarvedJobShare/j.spec.CPUs)))
	}
	return max(0, allowance-j.activeCount)
}

// ofStarvedJob reports whether the attempt is of a starved job, which keeps what it got
// ahead of others until it is established.
func (a *attempt) ofStarvedJob() bool { return a.job != nil && a.job.queueStatus.starved }

// deadlineClass orders jobs by the first deadline that they can still meet, and those that
// are equal in that by whether they are within their team's guarantee.
func (j *job) deadlineClass() int {
	class := 2 * j.plan.firstFeasible
	if !j.queueStatus.withinGuarantee {
		class++
	}
	return class
}
