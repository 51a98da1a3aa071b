package core

import (
	"cmp"
	"math"
	"slices"
	"strings"

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
	Times  []float64 // multiples of the owner's deadline that count
	Within float64   // seconds from the submission; 0: no such aim
}

// dues are by when the job should be complete, in seconds from its submission,
// the earliest first: by the owner's deadline, or by what the deployment expects
// of its class. Who misses one may still make the next. Empty: no deadline.
func (l *Leader) dues(j *wire.Job) []float64 {
	aim := l.cfg.Aims[j.Class]
	var dues []float64
	if j.DueS != nil && len(aim.Times) == 0 && aim.Within == 0 {
		dues = append(dues, *j.DueS)
	}
	if j.DueS != nil {
		for _, t := range aim.Times {
			dues = append(dues, *j.DueS*max(t, 1))
		}
	}
	if aim.Within > 0 && j.Shape != wire.ShapeService {
		dues = append(dues, aim.Within)
	}
	slices.Sort(dues)
	return slices.Compact(dues)
}

// due is in how many seconds the job should be complete: by the first of its
// deadlines that it can meet, or by the last.
func (l *Leader) due(j *job) float64 {
	return j.dues[min(j.hope, len(j.dues)-1)] - (l.now.Mono - j.created).Seconds()
}

// arrayCapacity is how many CPUs arrays with tasks like j's can use: on machines
// that are in reach or on their way, beside what services leave there. A machine
// that a service is on may have no room for a large task.
func (l *Leader) arrayCapacity(j *job) float64 {
	sum := 0.0
	for _, m := range l.machines {
		if m.mt == nil || m.failed || m.leaveBy > 0 || m.phase == releasing || m.phase == up && l.now.Mono-m.heardAt > l.cfg.Report*3 {
			continue
		}
		cpus, mem := m.mt.CPUs, m.mt.MemoryGB
		if d := m.summarize(); d.services > 0 {
			cpus -= d.serviceCPUs
			mem -= d.serviceMem
		}
		n := math.Inf(1)
		if j.spec.CPUs > 0 {
			n = math.Floor(cpus/j.spec.CPUs + epsilon)
		}
		if j.spec.MemoryGB > 0 {
			n = min(n, math.Floor(mem/j.spec.MemoryGB+epsilon))
		}
		if n > 0 && !math.IsInf(n, 1) {
			sum += n * j.spec.CPUs
		}
	}
	return sum
}

// planned is a job with deadlines in a plan.
type planned struct {
	j    *job
	work float64
	due  float64
	kept bool // by an earlier pass: not to be given up
}

// planDeadlines decides which jobs can still meet which of their deadlines. Jobs
// are taken in the order of their deadlines; when one would be late, the largest
// taken so far is given up, which keeps as many jobs on time as possible (Moore's
// rule, with the cluster as one machine, after each team's limit as one). What is
// given up is tried with its next deadline, beside what was kept; what misses the
// last runs after the others, with whatever room they leave.
func (l *Leader) planDeadlines() {
	var all []planned
	services := map[string]float64{} // CPUs by team
	tiers := 0
	var typical *job // the one with the most work says what fits on a machine
	most := 0.0
	for _, j := range l.jobs {
		j.hope = 0
		if j.cancelled || j.archived {
			continue
		}
		if j.service {
			services[j.spec.Team] += float64(j.spec.Tasks) * j.spec.CPUs
		}
		if j.service || len(j.dues) == 0 || l.likelyFaulty(j) {
			continue
		}
		w := l.work(j)
		all = append(all, planned{j: j, work: w})
		tiers = max(tiers, len(j.dues))
		if typical == nil || w > most || w == most && j.id < typical.id {
			typical, most = j, w
		}
	}
	if typical == nil {
		return
	}
	capacity := max(l.arrayCapacity(typical), 1)
	for tier := range tiers {
		teams := map[string][]*planned{}
		for i := range all {
			e := &all[i]
			e.kept = e.j.hope < tier
			if e.j.hopeless() {
				continue
			}
			e.due = l.due(e.j)
			teams[e.j.spec.Team] = append(teams[e.j.spec.Team], e)
		}
		var left []*planned
		for name, list := range teams {
			width := capacity
			if t, ok := l.cfg.Teams[name]; ok && t.CPUsMax > 0 {
				width = max(1, min(width, t.CPUsMax-services[name]))
			}
			left = append(left, moore(list, width)...)
		}
		moore(left, capacity)
	}
}

// moore gives up jobs until the others are on time on a machine of the given
// width, and returns these.
func moore(list []*planned, width float64) []*planned {
	slices.SortFunc(list, func(a, b *planned) int {
		if c := cmp.Compare(a.due, b.due); c != 0 {
			return c
		}
		return strings.Compare(a.j.id, b.j.id)
	})
	var set []*planned
	sum := 0.0
	for _, e := range list {
		alone := e.work / width // even alone it needs this long
		if e.j.pending() > 0 {
			alone = max(alone, e.j.duration())
		}
		if !e.kept && alone*tuning.HopeFactor > e.due {
			e.j.hope++
			continue
		}
		set = append(set, e)
		sum += e.work
		for sum/width*tuning.HopeFactor > e.due {
			worst := -1
			for i, x := range set {
				if !x.kept && (worst < 0 || x.work > set[worst].work) {
					worst = i
				}
			}
			if worst < 0 {
				break
			}
			set[worst].j.hope++
			sum -= set[worst].work
			set = slices.Delete(set, worst, worst+1)
		}
	}
	return set
}

// hopeless reports whether the job misses all its deadlines, by the last plan.
func (j *job) hopeless() bool { return len(j.dues) > 0 && j.hope >= len(j.dues) }
