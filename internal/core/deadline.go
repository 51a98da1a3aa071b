package core

import (
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// duration is how long a task of the job takes to run, in seconds: the owner's
// estimate at first, which is often wrong, and what was seen of the job's own
// tasks as soon as enough of them have ended.
func (j *job) duration() float64 {
	est := max(j.spec.EstimateS, 0.1)
	if j.seenRuns < tuning.RunsToTrust {
		return est
	}
	return max(0.1, j.seenRunS/float64(j.seenRuns))
}

// work is what is left of the job, in CPU seconds.
func (l *Leader) work(j *job) float64 {
	d := j.duration()
	s := float64(j.pending()) * d
	for _, list := range j.active {
		for _, a := range list {
			left := d
			if a.runningAt > 0 {
				left = max(0.1*d, d-(l.now.Mono-a.runningAt).Seconds())
			}
			s += left
		}
	}
	return s * max(j.spec.CPUs, 0.1)
}

// Aim is what a deployment expects of the completion of a class of jobs.
type Aim struct {
	Times  float64 // the multiple of the owner's deadline that counts; 0: no such aim
	Within float64 // seconds from the submission; 0: no such aim
}

// dueAfter is when the job should be complete, in seconds from its submission:
// the owner's deadline, or what the deployment expects of its class. 0: never.
func (l *Leader) dueAfter(j *wire.Job) float64 {
	aim := l.cfg.Aims[j.Class]
	due := 0.0
	if j.DueS != nil && (aim.Times > 0 || aim.Within == 0) {
		due = *j.DueS * max(aim.Times, 1)
	}
	if aim.Within > 0 && j.Shape != wire.ShapeService && (due == 0 || aim.Within < due) {
		due = aim.Within
	}
	return due
}

// due is the same in seconds from now.
func (l *Leader) due(j *job) float64 {
	return j.dueAfter - (l.now.Mono - j.created).Seconds()
}

// planDeadlines decides which jobs can still meet their deadline. Jobs are
// taken in the order of their deadlines; when one would be late, the largest
// taken so far is given up, which keeps as many jobs on time as possible
// (Moore's rule, with the cluster as one machine). What is given up runs after
// the others, with whatever room they leave.
func (l *Leader) planDeadlines() {
	var list []*job
	_, capacity := l.capacity()
	for _, j := range l.jobs {
		j.hopeful = true
		if j.cancelled || j.archived {
			continue
		}
		if j.service {
			capacity -= float64(j.spec.Tasks) * j.spec.CPUs
			continue
		}
		if j.dueAfter > 0 {
			list = append(list, j)
		}
	}
	capacity = max(capacity, 1)
	sort.Slice(list, func(a, b int) bool {
		x, y := l.due(list[a]), l.due(list[b])
		if x != y {
			return x < y
		}
		return list[a].id < list[b].id
	})
	type taken struct {
		j    *job
		work float64
	}
	var set []taken
	sum := 0.0
	for _, j := range list {
		w := l.work(j)
		// Even alone it needs this long: its team's limit bounds how many of
		// its tasks run side by side.
		width := capacity
		if t, ok := l.cfg.Teams[j.spec.Team]; ok && t.CPUsMax > 0 {
			width = min(width, t.CPUsMax)
		}
		alone := max(w/width, 0)
		if j.pending() > 0 {
			alone = max(alone, j.duration())
		}
		if alone*tuning.HopeFactor > l.due(j) {
			j.hopeful = false
			continue
		}
		set = append(set, taken{j, w})
		sum += w
		if sum/capacity*tuning.HopeFactor <= l.due(j) {
			continue
		}
		worst := 0
		for i := range set {
			if set[i].work > set[worst].work {
				worst = i
			}
		}
		set[worst].j.hopeful = false
		sum -= set[worst].work
		set = append(set[:worst], set[worst+1:]...)
	}
}
