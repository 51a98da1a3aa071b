package scheduler

import (
	"math"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// schedulingQueue orders the jobs that wait: production first, then what fits its team's
// guarantee, then by rank and by how little time is left.
func (s *Scheduler) schedulingQueue(totalCPUs float64) []*job {
	jobsByTeam := map[string][]*job{}
	var waiting []*job
	for _, j := range s.cluster.jobs {
		if j.pendingTasks() == 0 {
			j.waiting.since = 0
		}
		if j.cancelled || j.archived {
			continue
		}
		// What nothing has begun of for long gets its first tasks, whatever comes
		// after it: the order by deadlines alone gives up the largest first, and
		// under lasting overload again and again.
		j.standing.starved = !j.service && s.now.Mono-j.createdAt > tuning.ArrayStarvationBound && !s.isEstablished(j) && !s.likelyInvalid(j)
		//mutation:starved-jobs-first
		j.standing.prioritized = j.standing.starved && s.starvedTaskAllowance(j, totalCPUs) > 0
		jobsByTeam[j.spec.Team] = append(jobsByTeam[j.spec.Team], j)
		if j.pendingTasks() > 0 && s.now.Mono >= j.retry.at {
			waiting = append(waiting, j)
		}
	}
	for name, list := range jobsByTeam {
		sort.Slice(list, func(a, b int) bool {
			if list[a].spec.CreatedAtMilli != list[b].spec.CreatedAtMilli {
				return list[a].spec.CreatedAtMilli < list[b].spec.CreatedAtMilli
			}
			return list[a].id < list[b].id
		})
		team := s.settings.Teams[name]
		cpus, gpus := 0.0, 0.0
		for _, j := range list {
			n := float64(j.spec.Tasks - j.progress.doneCount)
			fits := cpus+n*j.spec.CPUs <= team.CPUs+epsilon && gpus+n*j.spec.GPUs <= team.GPUs+epsilon
			j.standing.withinGuarantee = fits
			cpus += n * j.spec.CPUs
			gpus += n * j.spec.GPUs
		}
	}
	s.planDeadlines()
	for _, j := range waiting {
		// What misses all its deadlines is finished all the same, with a share of
		// the cluster if nothing else is left to it for long.
		j.standing.aged = !j.service && j.missesAllDeadlines() && s.now.Mono-j.createdAt > tuning.AgedAfter
		j.plan.slackS = math.Inf(1) // without a deadline, after those that have one
		if len(j.plan.deadlines) > 0 {
			j.plan.slackS = s.secondsToDeadline(j)
		}
	}
	sort.Slice(waiting, func(a, b int) bool {
		x, y := waiting[a], waiting[b]
		if px, py := x.rank == 0, y.rank == 0; px != py {
			return px
		}
		if x.standing.prioritized != y.standing.prioritized {
			return x.standing.prioritized
		}
		if x.standing.aged != y.standing.aged {
			return x.standing.aged
		}
		// What can still be on time goes before what is late already, even
		// within a guarantee: of that, the start has been missed too.
		if cx, cy := x.deadlineClass(), y.deadlineClass(); cx != cy {
			return cx < cy
		}
		if x.rank != y.rank {
			return x.rank < y.rank
		}
		if x.plan.slackS != y.plan.slackS {
			return x.plan.slackS < y.plan.slackS
		}
		if x.createdAt != y.createdAt {
			return x.createdAt < y.createdAt
		}
		return x.id < y.id
	})
	return waiting
}

// likelyInvalid reports whether the job seems to be submitted with a mistake: it has failed
// on several machines, and nothing of it has come to stay or now runs for longer than
// it takes to fail. A faulty machine fails others' work too, and the job's own work
// succeeds elsewhere.
func (s *Scheduler) likelyInvalid(j *job) bool {
	if len(j.retry.failedMachines) < tuning.FaultyJobMachineThreshold || s.isEstablished(j) {
		return false
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.stop.requested && s.now.Mono-a.runningAt > 2*j.retry.longestFailedRun+tuning.FailureRuntimeMargin {
				return false
			}
		}
	}
	return true
}

// isEstablished reports whether something of the job has come to stay: a task that is
// stopped again within seconds is no beginning. Idle work of a guest would otherwise
// begin again and again, each time for a moment.
func (s *Scheduler) isEstablished(j *job) bool {
	if j.standing.established || j.progress.doneCount > 0 {
		return true
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.stop.requested && s.now.Mono-a.runningAt >= tuning.EstablishedAfter {
				j.standing.established = true
				return true
			}
		}
	}
	return false
}

// starvedTaskAllowance is how many more tasks a job that is overdue gets ahead of others: a
// part of the job, and of the cluster where these are beyond its team's guarantee.
func (s *Scheduler) starvedTaskAllowance(j *job, totalCPUs float64) int {
	n := max(1, j.spec.Tasks/tuning.StarvedArrayDivisor)
	if !j.standing.withinGuarantee && j.spec.CPUs > 0 {
		n = min(n, max(1, int(totalCPUs*tuning.StarvedJobShare/j.spec.CPUs)))
	}
	return max(0, n-j.activeCount)
}

// ofStarvedJob reports whether the attempt is of a job that has not begun for long: what
// it got ahead of others it keeps until then.
func (a *attempt) ofStarvedJob() bool { return a.job != nil && a.job.standing.starved }

// deadlineClass orders jobs of the same standing: on time within the guarantee, on time
// beyond it, late within it, late beyond it.
func (j *job) deadlineClass() int {
	c := 2 * j.plan.feasible
	if !j.standing.withinGuarantee {
		c++
	}
	return c
}
