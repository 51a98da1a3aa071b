package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// taskDuration is how long a task of the job takes to run, in seconds: the owner's
// estimate at first, which is often wrong, and what was seen of the job's own
// tasks as soon as enough of them have ended.
func (j *job) taskDuration() float64 {
	estimate := max(j.spec.EstimatedRunS, 0.1)
	if j.runtimes.completed < tuning.MinRuntimeSamples {
		return estimate
	}
	return max(0.1, j.runtimes.totalS/float64(j.runtimes.completed))
}

// remainingWork is what is left of the job, in CPU seconds.
func (s *Scheduler) remainingWork(j *job) float64 {
	duration := j.taskDuration()
	sum := float64(j.pendingTasks()) * duration
	for _, list := range j.active {
		for _, a := range list {
			left := duration
			if a.runningAt > 0 {
				left = max(0.1*duration, duration-(s.now.Mono-a.runningAt).Seconds())
			}
			sum += left
		}
	}
	return sum * max(j.spec.CPUs, 0.1)
}

// Objective is what a deployment expects of the completion of a class of jobs.
type Objective struct {
	DeadlineMultiples []float64 // multiples of the owner's deadline that count
	WithinS           float64   // seconds from the submission; 0: no such aim
}

// deadlinesOf are by when the job should be complete, in seconds from its submission,
// the earliest first: by the owner's deadline, or by what the deployment expects
// of its class. Who misses one may still make the next. Empty: no deadline.
func (s *Scheduler) deadlinesOf(j *wire.Job) []float64 {
	objective := s.settings.Objectives[j.Class]
	var deadlines []float64
	if j.DeadlineS != nil && len(objective.DeadlineMultiples) == 0 && objective.WithinS == 0 {
		deadlines = append(deadlines, *j.DeadlineS)
	}
	if j.DeadlineS != nil {
		for _, t := range objective.DeadlineMultiples {
			deadlines = append(deadlines, *j.DeadlineS*max(t, 1))
		}
	}
	if objective.WithinS > 0 && j.Shape != wire.ShapeService {
		deadlines = append(deadlines, objective.WithinS)
	}
	slices.Sort(deadlines)
	return slices.Compact(deadlines)
}

// secondsToDeadline is in how many seconds the job should be complete: by the first of its
// deadlines that it can meet, or by the last.
func (s *Scheduler) secondsToDeadline(j *job) float64 {
	return j.plan.deadlines[min(j.plan.feasible, len(j.plan.deadlines)-1)] - (s.now.Mono - j.createdAt).Seconds()
}

// arrayCapacity is how many CPUs arrays with tasks like j's can use: on machines
// that are in reach or on their way, beside what services leave there. A machine
// that a service is on may have no room for a large task.
func (s *Scheduler) arrayCapacity(j *job) float64 {
	sum := 0.0
	for _, m := range s.cluster.machines {
		if m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 || m.phase == machineReleasing || m.phase == machineUp && s.now.Mono-m.connectivity.lastHeartbeatAt > s.settings.HeartbeatInterval*3 {
			continue
		}
		cpus, mem := m.machineSpec.CPUs, m.machineSpec.MemoryGB
		if d := m.summarize(); d.services > 0 {
			cpus -= d.serviceCPUs
			mem -= d.serviceMemoryGB
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

// plannedJob is a job with deadlines in a plan.
type plannedJob struct {
	job         *job
	work        float64
	secondsLeft float64
	committed   bool // by an earlier pass: not to be given up
}

// planDeadlines decides which jobs can still meet which of their deadlines. Jobs
// are taken in the order of their deadlines; when one would be late, the largest
// taken so far is given up, which keeps as many jobs on time as possible (Moore's
// rule, with the cluster as one machine, after each team's limit as one). What is
// given up is tried with its next deadline, beside what was kept; what misses the
// last runs after the others, with whatever room they leave.
func (s *Scheduler) planDeadlines() {
	var planned []plannedJob
	services := map[string]float64{} // CPUs by team
	tiers := 0
	var typical *job // the one with the most work says what fits on a machine
	mostWork := 0.0
	for _, j := range s.cluster.jobs {
		j.plan.feasible = 0
		if j.cancelled || j.archived {
			continue
		}
		if j.service {
			services[j.spec.Team] += float64(j.spec.Tasks) * j.spec.CPUs
		}
		if j.service || len(j.plan.deadlines) == 0 || s.likelyInvalid(j) {
			continue
		}
		work := s.remainingWork(j)
		planned = append(planned, plannedJob{job: j, work: work})
		tiers = max(tiers, len(j.plan.deadlines))
		if typical == nil || work > mostWork || work == mostWork && j.id < typical.id {
			typical, mostWork = j, work
		}
	}
	if typical == nil {
		return
	}
	capacity := max(s.arrayCapacity(typical), 1)
	for tier := range tiers {
		teams := map[string][]*plannedJob{}
		for i := range planned {
			entry := &planned[i]
			entry.committed = entry.job.plan.feasible < tier
			if entry.job.missesAllDeadlines() {
				continue
			}
			entry.secondsLeft = s.secondsToDeadline(entry.job)
			teams[entry.job.spec.Team] = append(teams[entry.job.spec.Team], entry)
		}
		var onTime []*plannedJob
		for name, list := range teams {
			cpus := capacity
			if t, ok := s.settings.Teams[name]; ok && t.CPUsMax > 0 {
				cpus = max(1, min(cpus, t.CPUsMax-services[name]))
			}
			onTime = append(onTime, keepMostOnTime(list, cpus)...)
		}
		keepMostOnTime(onTime, capacity)
	}
}

// keepMostOnTime gives up jobs until the others are on time on a machine of the given
// width, and returns these.
func keepMostOnTime(list []*plannedJob, cpus float64) []*plannedJob {
	slices.SortFunc(list, func(a, b *plannedJob) int {
		if c := cmp.Compare(a.secondsLeft, b.secondsLeft); c != 0 {
			return c
		}
		return strings.Compare(a.job.id, b.job.id)
	})
	var onTime []*plannedJob
	sum := 0.0
	for _, e := range list {
		alone := e.work / cpus // even alone it needs this long
		if e.job.pendingTasks() > 0 {
			alone = max(alone, e.job.taskDuration())
		}
		if !e.committed && alone*tuning.DeadlineFeasibilityFactor > e.secondsLeft {
			e.job.plan.feasible++
			continue
		}
		onTime = append(onTime, e)
		sum += e.work
		for sum/cpus*tuning.DeadlineFeasibilityFactor > e.secondsLeft {
			largest := -1
			for i, x := range onTime {
				if !x.committed && (largest < 0 || x.work > onTime[largest].work) {
					largest = i
				}
			}
			if largest < 0 {
				break
			}
			onTime[largest].job.plan.feasible++
			sum -= onTime[largest].work
			onTime = slices.Delete(onTime, largest, largest+1)
		}
	}
	return onTime
}

// missesAllDeadlines reports whether the job misses all its deadlines, by the last plan.
func (j *job) missesAllDeadlines() bool {
	return len(j.plan.deadlines) > 0 && j.plan.feasible >= len(j.plan.deadlines)
}
