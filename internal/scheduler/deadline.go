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

// minTaskDurationS is the shortest duration that a task is planned with, in seconds.
const minTaskDurationS = 0.1

// Objective is a service-level objective: by when jobs of a class should be complete.
type Objective struct {
	DeadlineMultiples []float64 // multiples of the owner's deadline that count
	WithinS           float64   // seconds from the submission; 0: no such objective
}

// deadlinesOf gives by when a job should be complete, in seconds from its submission and
// in order: by its owner's deadline, or by what the objective makes of that. A job that
// misses one may still meet the next. Without any, the job has no deadline.
func (o Objective) deadlinesOf(j *wire.Job) []float64 {
	var deadlines []float64
	if j.DeadlineS != nil && len(o.DeadlineMultiples) == 0 && o.WithinS == 0 {
		deadlines = append(deadlines, *j.DeadlineS)
	}
	if j.DeadlineS != nil {
		for _, multiple := range o.DeadlineMultiples {
			deadlines = append(deadlines, *j.DeadlineS*max(multiple, 1))
		}
	}
	if o.WithinS > 0 && j.Shape != wire.ShapeService {
		deadlines = append(deadlines, o.WithinS)
	}
	slices.Sort(deadlines)
	return slices.Compact(deadlines)
}

// taskDuration is how long a task of the job takes to run, in seconds: its owner's
// estimate, which is often wrong, until enough tasks were observed.
func (j *job) taskDuration() float64 {
	if j.runtimes.completed < tuning.MinRuntimeSamples {
		return max(j.spec.EstimatedRunS, minTaskDurationS)
	}
	return max(minTaskDurationS, j.runtimes.totalS/float64(j.runtimes.completed))
}

// remainingWork is what is left of the job, in CPU seconds. A task that runs for longer
// than expected counts with a tenth of the expected duration.
func (j *job) remainingWork(now time.Duration) float64 {
	duration := j.taskDuration()
	sum := float64(j.pendingTasks()) * duration
	for _, attempts := range j.active {
		for _, a := range attempts {
			left := duration
			if a.runningAt > 0 {
				left = max(0.1*duration, duration-(now-a.runningAt).Seconds())
			}
			sum += left
		}
	}
	return sum * max(j.spec.CPUs, 0.1)
}

// secondsToDeadline is in how many seconds the job should be complete: by the first of its
// deadlines that it can meet, or by the last.
func (j *job) secondsToDeadline(now time.Duration) float64 {
	deadline := j.plan.deadlines[min(j.plan.firstFeasible, len(j.plan.deadlines)-1)]
	return deadline - (now - j.createdAt).Seconds()
}

// missesAllDeadlines reports whether the job misses all its deadlines, by the last plan.
func (j *job) missesAllDeadlines() bool {
	return len(j.plan.deadlines) > 0 && j.plan.firstFeasible >= len(j.plan.deadlines)
}

// hasTightDeadline reports whether a task of the job that started anew now would miss the
// deadline that the job can still meet.
func (j *job) hasTightDeadline(now time.Duration) bool {
	return len(j.plan.deadlines) > 0 && !j.missesAllDeadlines() &&
		j.secondsToDeadline(now) < j.taskDuration()*tuning.DeadlineFeasibilityFactor
}

// deadlinePlanner decides which jobs can still meet which of their deadlines.
//
// It takes jobs in the order of their deadlines; when one would be late, it gives up the
// largest taken so far, which keeps as many jobs on time as possible (the Moore-Hodgson
// algorithm, with first each team's quota and then the whole cluster as the one machine).
// The jobs that were given up are tried with their next deadline, in the next tier, beside
// those that were kept. A job that misses its last deadline gets the capacity that the
// others leave.
type deadlinePlanner struct {
	now         time.Duration
	teams       map[string]TeamQuota
	serviceCPUs map[string]float64 // of services, by team
	totalCPUs   float64            // that jobs with deadlines can use
	jobs        []plannedJob
	tiers       int // the most deadlines that any job has
}

// plannedJob is a job with deadlines in a plan.
type plannedJob struct {
	job         *job
	work        float64 // in CPU seconds
	secondsLeft float64 // to the deadline of the tier
	committed   bool    // to a deadline of an earlier tier: not to be given up
}

// planDeadlines finds out for each job the first deadline that it can still meet.
func (c *clusterState) planDeadlines() {
	planner := deadlinePlanner{now: c.now.Mono, teams: c.settings.Teams, serviceCPUs: map[string]float64{}}
	planner.addJobs(c.jobs)
	if len(planner.jobs) == 0 {
		return
	}
	planner.totalCPUs = max(c.arrayCapacity(planner.largestJob()), 1)
	for tier := range planner.tiers {
		planner.planTier(tier)
	}
}

// addJobs adds the jobs that have deadlines, and counts what services take.
func (p *deadlinePlanner) addJobs(jobs map[string]*job) {
	for _, j := range jobs {
		j.plan.firstFeasible = 0
		switch {
		case !j.isOpen():
		case j.service:
			p.serviceCPUs[j.spec.Team] += float64(j.spec.Tasks) * j.spec.CPUs
		case len(j.plan.deadlines) > 0 && !j.likelyInvalid(p.now):
			p.jobs = append(p.jobs, plannedJob{job: j, work: j.remainingWork(p.now)})
			p.tiers = max(p.tiers, len(j.plan.deadlines))
		}
	}
}

// largestJob is the one with the most work left, whose tasks stand for all in what fits on
// a machine.
func (p *deadlinePlanner) largestJob() *job {
	return slices.MaxFunc(p.jobs, func(a, b plannedJob) int {
		return cmp.Or(cmp.Compare(a.work, b.work), strings.Compare(b.job.id, a.job.id))
	}).job
}

// planTier plans with each job's first deadline that was not given up in an earlier tier.
func (p *deadlinePlanner) planTier(tier int) {
	jobsByTeam := map[string][]*plannedJob{}
	for i := range p.jobs {
		planned := &p.jobs[i]
		planned.committed = planned.job.plan.firstFeasible < tier
		if planned.job.missesAllDeadlines() {
			continue
		}
		planned.secondsLeft = planned.job.secondsToDeadline(p.now)
		team := planned.job.spec.Team
		jobsByTeam[team] = append(jobsByTeam[team], planned)
	}
	var onTime []*plannedJob
	for team, jobs := range jobsByTeam {
		onTime = append(onTime, keepMostOnTime(jobs, p.cpusOf(team))...)
	}
	keepMostOnTime(onTime, p.totalCPUs)
}

// cpusOf is how many CPUs a team's jobs with deadlines can use.
func (p *deadlinePlanner) cpusOf(team string) float64 {
	quota, ok := p.teams[team]
	if !ok || quota.MaxCPUs <= 0 {
		return p.totalCPUs
	}
	return max(1, min(p.totalCPUs, quota.MaxCPUs-p.serviceCPUs[team]))
}

// keepMostOnTime moves jobs to their next deadline until the others are on time with so
// many CPUs, and returns these others.
func keepMostOnTime(jobs []*plannedJob, cpus float64) []*plannedJob {
	slices.SortFunc(jobs, func(a, b *plannedJob) int {
		return cmp.Or(cmp.Compare(a.secondsLeft, b.secondsLeft), strings.Compare(a.job.id, b.job.id))
	})
	var onTime []*plannedJob
	work := 0.0
	for _, planned := range jobs {
		if !planned.committed && planned.minSeconds(cpus)*tuning.DeadlineFeasibilityFactor > planned.secondsLeft {
			planned.giveUpDeadline()
			continue
		}
		onTime = append(onTime, planned)
		work += planned.work
		for work/cpus*tuning.DeadlineFeasibilityFactor > planned.secondsLeft {
			largest := largestUncommitted(onTime)
			if largest < 0 {
				break
			}
			onTime[largest].giveUpDeadline()
			work -= onTime[largest].work
			onTime = slices.Delete(onTime, largest, largest+1)
		}
	}
	return onTime
}

// minSeconds is how long the job takes if it has all CPUs to itself.
func (p *plannedJob) minSeconds(cpus float64) float64 {
	seconds := p.work / cpus
	if p.job.pendingTasks() > 0 {
		seconds = max(seconds, p.job.taskDuration())
	}
	return seconds
}

func (p *plannedJob) giveUpDeadline() { p.job.plan.firstFeasible++ }

// largestUncommitted gives the index of the job with the most work among those that may
// be given up, the first of several, or -1 if there is none.
func largestUncommitted(jobs []*plannedJob) int {
	largest := -1
	for i, planned := range jobs {
		if !planned.committed && (largest < 0 || planned.work > jobs[largest].work) {
			largest = i
		}
	}
	return largest
}

// arrayCapacity is how many CPUs array jobs with tasks like those of j can use: on machines
// that are up or booting, beside what services leave there. A machine with a service on it
// may have no capacity for a large task.
func (c *clusterState) arrayCapacity(j *job) float64 {
	sum := 0.0
	for _, m := range c.machines {
		if !c.countsForPlanning(m) {
			continue
		}
		free := totalResources(m.machineSpec)
		if summary := m.summarize(); summary.services > 0 {
			free.cpus -= summary.serviceCPUs
			free.memoryGB -= summary.serviceMemoryGB
		}
		// Whether there are GPUs is left to placement.
		tasks := tasksThatFit(free, resources{cpus: j.spec.CPUs, memoryGB: j.spec.MemoryGB})
		if tasks > 0 && !math.IsInf(tasks, 1) {
			sum += tasks * j.spec.CPUs
		}
	}
	return sum
}

// countsForPlanning reports whether the machine has capacity now or soon.
func (c *clusterState) countsForPlanning(m *machine) bool {
	if m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 || m.phase == machineReleasing {
		return false
	}
	return m.phase != machineUp || c.now.Mono-m.connectivity.lastHeartbeatAt <= c.missedHeartbeatsAfter()
}
