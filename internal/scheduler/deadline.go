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

// minTaskDurationS is the shortest task duration that is used for planning, in seconds.
const minTaskDurationS = 0.1

// Objective is a service-level objective for the completion time of the jobs of a class.
type Objective struct {
	DeadlineMultiples []float64 // multiples of the owner's deadline; below 1 counts as 1
	WithinS           float64   // a deadline in seconds from the submission; 0: none
}

// deadlinesFor returns the job's deadlines in ascending order, in seconds from its submission. If
// the objective has neither DeadlineMultiples nor WithinS, the owner's deadline is the only one.
// WithinS does not apply to services. A job that misses one deadline may still meet the next. The
// result is empty for a job without a deadline.
func (o Objective) deadlinesFor(j *wire.Job) []float64 {
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

// taskDuration returns the expected run time of a task of the job, in seconds. It is the
// owner's estimate, which is often wrong, until enough tasks have completed to use their mean.
func (j *job) taskDuration() float64 {
	if j.runtimes.completed < tuning.MinRuntimeSamples {
		return max(j.spec.EstimatedRunS, minTaskDurationS)
	}
	return max(minTaskDurationS, j.runtimes.totalS/float64(j.runtimes.completed))
}

// remainingCPUSeconds returns the expected work left in the job, in CPU seconds. A running task
// counts as at least a tenth of the expected duration, even if it is overdue.
func (j *job) remainingCPUSeconds(now time.Duration) float64 {
	duration := j.taskDuration()
	seconds := float64(j.pendingTasks()) * duration
	for _, attempts := range j.active {
		for _, a := range attempts {
			remaining := duration
			if a.runningAt > 0 {
				remaining = max(0.1*duration, duration-(now-a.runningAt).Seconds())
			}
			seconds += remaining
		}
	}
	return seconds * max(j.spec.CPUs, 0.1)
}

// secondsToDeadline returns the seconds until the first deadline that the job can still meet,
// or until its last deadline if it misses them all. The result is negative after the deadline.
func (j *job) secondsToDeadline(now time.Duration) float64 {
	deadline := j.plan.deadlines[min(j.plan.firstFeasible, len(j.plan.deadlines)-1)]
	return deadline - (now - j.createdAt).Seconds()
}

// missesAllDeadlines reports whether the job misses all its deadlines according to the last plan.
func (j *job) missesAllDeadlines() bool {
	return len(j.plan.deadlines) > 0 && j.plan.firstFeasible >= len(j.plan.deadlines)
}

// hasTightDeadline reports whether the job would miss the first deadline that it can still meet
// if one of its tasks was restarted now.
func (j *job) hasTightDeadline(now time.Duration) bool {
	return len(j.plan.deadlines) > 0 && !j.missesAllDeadlines() &&
		j.secondsToDeadline(now) < j.taskDuration()*tuning.DeadlineFeasibilityFactor
}

// deadlinePlanner decides which jobs can still meet which of their deadlines.
//
// It uses the Moore-Hodgson algorithm, which keeps as many jobs on time as possible: it adds
// jobs in the order of their deadlines, and when one would be late, it gives up the deadline of
// the largest job added so far. The algorithm plans for a single machine: first each team's
// quota counts as that machine, and then the whole cluster.
//
// Planning proceeds in tiers. Jobs whose deadline was given up are planned with their next
// deadline in the next tier, together with the jobs that kept theirs. A job that misses its
// last deadline gets the capacity that the other jobs leave, and a share of the cluster once it
// is aged (see updateUrgency).
type deadlinePlanner struct {
	now         time.Duration
	teams       map[string]TeamQuota
	serviceCPUs map[string]float64 // CPUs of all tasks of the services, by team
	totalCPUs   float64            // CPUs that jobs with deadlines can use
	jobs        []plannedJob
	tiers       int // number of tiers: the largest number of deadlines that any job has
}

// plannedJob is a job with deadlines in a plan.
type plannedJob struct {
	job         *job
	work        float64 // remaining CPU seconds
	secondsLeft float64 // seconds until the deadline that the job is planned with
	committed   bool    // an earlier tier kept the job's deadline, so it is not given up
}

// planDeadlines determines for each job the first deadline that it can still meet.
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

// addJobs resets the plans of all jobs. It adds the open jobs that have deadlines, except services
// and likely invalid jobs, and sums up the CPUs of services by team.
func (p *deadlinePlanner) addJobs(jobs map[string]*job) {
	for _, j := range jobs {
		j.plan.firstFeasible = 0
		switch {
		case !j.isOpen():
		case j.service:
			p.serviceCPUs[j.spec.Team] += float64(j.spec.Tasks) * j.spec.CPUs
		case len(j.plan.deadlines) > 0 && !j.likelyInvalid(p.now):
			p.jobs = append(p.jobs, plannedJob{job: j, work: j.remainingCPUSeconds(p.now)})
			p.tiers = max(p.tiers, len(j.plan.deadlines))
		}
	}
}

// largestJob returns the job with the most remaining work. The size of its tasks is used for
// all jobs when the usable capacity of the machines is computed.
func (p *deadlinePlanner) largestJob() *job {
	return slices.MaxFunc(p.jobs, func(a, b plannedJob) int {
		return cmp.Or(cmp.Compare(a.work, b.work), strings.Compare(b.job.id, a.job.id))
	}).job
}

// planTier plans each job with its first deadline that no earlier tier has given up.
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
		onTime = append(onTime, keepMostOnTime(jobs, p.teamCPUs(team))...)
	}
	keepMostOnTime(onTime, p.totalCPUs)
}

// teamCPUs returns how many CPUs a team's jobs with deadlines can use.
func (p *deadlinePlanner) teamCPUs(team string) float64 {
	quota, ok := p.teams[team]
	if !ok || quota.MaxCPUs <= 0 {
		return p.totalCPUs
	}
	return max(1, min(p.totalCPUs, quota.MaxCPUs-p.serviceCPUs[team]))
}

// keepMostOnTime gives up the current deadlines of jobs until the other jobs can be on time with
// the given number of CPUs. It returns those other jobs. Committed jobs are always among them,
// even if they would be late.
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

// minSeconds returns how long the job takes if it has all of the CPUs to itself.
func (p *plannedJob) minSeconds(cpus float64) float64 {
	seconds := p.work / cpus
	if p.job.pendingTasks() > 0 {
		seconds = max(seconds, p.job.taskDuration())
	}
	return seconds
}

func (p *plannedJob) giveUpDeadline() { p.job.plan.firstFeasible++ }

// largestUncommitted returns the index of the uncommitted job with the most work, the first one
// of equals, or -1 if there is none.
func largestUncommitted(jobs []*plannedJob) int {
	largest := -1
	for i, planned := range jobs {
		if !planned.committed && (largest < 0 || planned.work > jobs[largest].work) {
			largest = i
		}
	}
	return largest
}

// arrayCapacity returns how many CPUs jobs other than services can use, if their tasks have the
// same size as those of j. It counts the machines that have capacity now or soon, less what
// services use there. A machine that runs a service may have no capacity for a large task.
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
		// GPUs are ignored here; placement checks them.
		tasks := tasksThatFit(free, resources{cpus: j.spec.CPUs, memoryGB: j.spec.MemoryGB})
		if tasks > 0 && !math.IsInf(tasks, 1) {
			sum += tasks * j.spec.CPUs
		}
	}
	return sum
}

// countsForPlanning reports whether the machine offers capacity now or soon: it is booting, or
// up with a recent heartbeat, and the cloud has reported neither a failure nor a coming spot
// interruption.
func (c *clusterState) countsForPlanning(m *machine) bool {
	if m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 || m.phase == machineReleasing {
		return false
	}
	return m.phase != machineUp || c.now.Mono-m.connectivity.lastHeartbeatAt <= c.heartbeatTimeout()
}
