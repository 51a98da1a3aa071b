package core

import (
	"math"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// queue orders the jobs that wait: production first, then what fits its team's
// guarantee, then by rank and by how little time is left.
func (l *Leader) queue(total float64) []*job {
	teams := map[string][]*job{}
	var out []*job
	for _, j := range l.jobs {
		if j.pending() == 0 {
			j.waitSince = 0
		}
		if j.cancelled || j.archived {
			continue
		}
		// What nothing has begun of for long gets its first tasks, whatever comes
		// after it: the order by deadlines alone gives up the largest first, and
		// under lasting overload again and again.
		j.unbegun = !j.service && l.now.Mono-j.created > tuning.BeginBy && !l.hasBegun(j) && !l.likelyFaulty(j)
		//mutation:starved-jobs-first
		j.overdue = j.unbegun && l.beginWith(j, total) > 0
		teams[j.spec.Team] = append(teams[j.spec.Team], j)
		if j.pending() > 0 && l.now.Mono >= j.retryAt {
			out = append(out, j)
		}
	}
	for name, list := range teams {
		sort.Slice(list, func(a, b int) bool {
			if list[a].spec.CreatedMilli != list[b].spec.CreatedMilli {
				return list[a].spec.CreatedMilli < list[b].spec.CreatedMilli
			}
			return list[a].id < list[b].id
		})
		team := l.cfg.Teams[name]
		cpus, gpus := 0.0, 0.0
		for _, j := range list {
			n := float64(j.spec.Tasks - j.nDone)
			fits := cpus+n*j.spec.CPUs <= team.CPUs+epsilon && gpus+n*j.spec.GPUs <= team.GPUs+epsilon
			j.within = fits
			cpus += n * j.spec.CPUs
			gpus += n * j.spec.GPUs
		}
	}
	l.planDeadlines()
	for _, j := range out {
		// What misses all its deadlines is finished all the same, with a share of
		// the cluster if nothing else is left to it for long.
		j.old = !j.service && j.hopeless() && l.now.Mono-j.created > tuning.OldAfter
		j.slack = math.Inf(1) // without a deadline, after those that have one
		if len(j.dues) > 0 {
			j.slack = l.due(j)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if px, py := x.rank == 0, y.rank == 0; px != py {
			return px
		}
		if x.overdue != y.overdue {
			return x.overdue
		}
		if x.old != y.old {
			return x.old
		}
		// What can still be on time goes before what is late already, even
		// within a guarantee: of that, the start has been missed too.
		if cx, cy := x.class(), y.class(); cx != cy {
			return cx < cy
		}
		if x.rank != y.rank {
			return x.rank < y.rank
		}
		if x.slack != y.slack {
			return x.slack < y.slack
		}
		if x.created != y.created {
			return x.created < y.created
		}
		return x.id < y.id
	})
	return out
}

// likelyFaulty reports whether the job seems to be submitted with a mistake: it has failed
// on several machines, and nothing of it has come to stay or now runs for longer than
// it takes to fail. A faulty machine fails others' work too, and the job's own work
// succeeds elsewhere.
func (l *Leader) likelyFaulty(j *job) bool {
	if len(j.failedOn) < tuning.JobSuspectMachines || l.hasBegun(j) {
		return false
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.halt && l.now.Mono-a.runningAt > 2*j.failsAfter+tuning.FailsWithin {
				return false
			}
		}
	}
	return true
}

// hasBegun reports whether something of the job has come to stay: a task that is
// stopped again within seconds is no beginning. Idle work of a guest would otherwise
// begin again and again, each time for a moment.
func (l *Leader) hasBegun(j *job) bool {
	if j.begun || j.nDone > 0 {
		return true
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.halt && l.now.Mono-a.runningAt >= tuning.BegunAfter {
				j.begun = true
				return true
			}
		}
	}
	return false
}

// beginWith is how many more tasks a job that is overdue gets ahead of others: a
// part of the job, and of the cluster where these are beyond its team's guarantee.
func (l *Leader) beginWith(j *job, total float64) int {
	n := max(1, j.spec.Tasks/tuning.BeginPart)
	if !j.within && j.spec.CPUs > 0 {
		n = min(n, max(1, int(total*tuning.BeginShare/j.spec.CPUs)))
	}
	return max(0, n-j.nActive)
}

// beginning reports whether the attempt is of a job that has not begun for long: what
// it got ahead of others it keeps until then.
func (a *attempt) beginning() bool { return a.job != nil && a.job.unbegun }

// class orders jobs of the same standing: on time within the guarantee, on time
// beyond it, late within it, late beyond it.
func (j *job) class() int {
	c := 2 * j.hope
	if !j.within {
		c++
	}
	return c
}
