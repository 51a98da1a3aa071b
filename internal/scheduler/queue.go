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

// Ranks of the highest and the lowest priority. The highest priority has rank 0.
var (
	productionRank = wire.PriorityOrder(wire.PriorityProduction)
	idleRank       = wire.PriorityOrder(wire.PriorityIdle) // uses capacity that no other job needs
)

// isOpen reports whether tasks of the job may still be placed.
func (j *job) isOpen() bool { return !j.cancelled && !j.archived }

// isProduction reports whether the job has the highest priority.
func (j *job) isProduction() bool { return j.rank == productionRank }

// schedulingQueue returns the jobs with tasks to place, except jobs in a retry backoff, in the
// order in which a placement round processes them; see compareQueueOrder. It updates the queue
// status and the deadline plans of all open jobs, but jobQueueStatus.aged and deadlinePlan.slackS
// only for the returned jobs.
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

// compareQueueOrder orders waiting jobs: production jobs first, then starved jobs whose first
// tasks are prioritized, then aged jobs, then the others. Within each of these groups, the order
// is by the first deadline that a job can meet, team guarantee, priority, time to the deadline,
// age (oldest first) and ID.
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
	// A job that can still meet its deadline precedes a job that is expected to miss it, even if
	// the late job is within its team's guarantee: usually, the late job has also missed the
	// guaranteed start time.
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

// updateStarvation determines whether the job is starved: not a service, older than
// tuning.ArrayStarvationBound, and neither established nor likely invalid. The first tasks of a
// starved job are placed ahead of all jobs except production jobs: deadline planning gives up the
// deadline of the largest job first, and under lasting overload it would do so in every round.
func (j *job) updateStarvation(now time.Duration, totalCPUs float64) {
	j.queueStatus.starved = !j.service && now-j.createdAt > tuning.ArrayStarvationBound && !j.isEstablished(now) && !j.likelyInvalid(now)
	//mutation:starved-jobs-first
	j.queueStatus.prioritized = j.queueStatus.starved && j.starvedTaskAllowance(totalCPUs) > 0
}

// updateUrgency sets whether the job is aged, and its slack, from the deadline plan. A job other
// than a service that misses all its deadlines counts as aged when tuning.AgedAfter has passed
// since its submission. Aged jobs get a share of the cluster, so that they still finish.
func (j *job) updateUrgency(now time.Duration) {
	j.queueStatus.aged = !j.service && j.missesAllDeadlines() && now-j.createdAt > tuning.AgedAfter
	j.plan.slackS = math.Inf(1) // jobs without a deadline follow those that have one
	if len(j.plan.deadlines) > 0 {
		j.plan.slackS = j.secondsToDeadline(now)
	}
}

// updateGuarantees determines which jobs are within their team's guarantee. The guarantee is
// used up by the team's jobs from oldest to newest, each with all its unfinished tasks.
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

// likelyInvalid reports whether the job fails because of an error in the job rather than
// faulty machines: it has failed on several machines, none of its tasks was ever established,
// and none has been running for clearly longer than the failed tasks ran. On a faulty machine
// other jobs fail too, while the tasks of a valid job succeed elsewhere.
func (j *job) likelyInvalid(now time.Duration) bool {
	if len(j.retry.failedMachines) < tuning.FaultyJobMachineThreshold || j.isEstablished(now) {
		return false
	}
	return j.longestRun(now) <= 2*j.retry.longestFailedRun+tuning.FailureRuntimeMargin
}

// isEstablished reports whether a task of the job has completed or has run for at least
// tuning.EstablishedAfter. Shorter runs don't count: otherwise an idle job of a team without a
// guarantee whose tasks are preempted within seconds of each start would never be starved.
func (j *job) isEstablished(now time.Duration) bool {
	if j.queueStatus.established || j.progress.doneCount > 0 {
		return true
	}
	j.queueStatus.established = j.longestRun(now) >= tuning.EstablishedAfter
	return j.queueStatus.established
}

// longestRun returns how long the job's longest-running task has been running, or 0 if none
// runs. Tasks that are being stopped don't count.
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

// starvedTaskAllowance returns how many more tasks the job gets ahead of other jobs while it is
// starved. The allowance is a fraction of the job's tasks; for a job beyond its team's
// guarantee, it is also bounded by a fraction of the cluster's CPUs. It is at least one task, and
// tasks with an attempt count against it.
func (j *job) starvedTaskAllowance(totalCPUs float64) int {
	allowance := max(1, j.spec.Tasks/tuning.StarvedArrayDivisor)
	if !j.queueStatus.withinGuarantee && j.spec.CPUs > 0 {
		allowance = min(allowance, max(1, int(totalCPUs*tuning.StarvedJobShare/j.spec.CPUs)))
	}
	return max(0, allowance-j.activeCount)
}

// belongsToStarvedJob reports whether the attempt's job is starved. Only production jobs
// preempt such attempts, until the job is established.
func (a *attempt) belongsToStarvedJob() bool { return a.job != nil && a.job.queueStatus.starved }

// deadlineClass returns a sort key, lowest first: the index of the first deadline that the job
// can still meet, then whether the job is within its team's guarantee.
func (j *job) deadlineClass() int {
	class := 2 * j.plan.firstFeasible
	if !j.queueStatus.withinGuarantee {
		class++
	}
	return class
}
