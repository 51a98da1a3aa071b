package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Costs of having to fetch an image before the task can start on freed capacity, in CPU seconds
// per second of fetching.
const (
	fetchWeight        = 2.0  // a task that is not part of a service is only delayed
	serviceFetchWeight = 50.0 // a service is down while the image is fetched
)

// preemptWithinTeam preempts lower-priority attempts of the production job's own team until the
// team's quota limit allows n more tasks of the job.
func (r *placementRound) preemptWithinTeam(j *job, n int) {
	if !r.settings.Policy.Preempt || !j.isProduction() || r.reconciler.HoldsQuotaPreemption() {
		return
	}
	shortfall := r.cluster.quotaShortfall(j, n)
	var victims []*attempt
	for _, other := range r.cluster.jobs {
		if other.spec.Team != j.spec.Team || other == j {
			continue
		}
		for _, a := range other.sortedAttempts() {
			if a.stop.requested {
				shortfall.removeTask(&other.spec) // its quota is freed soon
			} else if other.rank > j.rank && !a.startUnacknowledged() {
				victims = append(victims, a)
			}
		}
	}
	slices.SortFunc(victims, func(a, b *attempt) int { return r.compareTeamVictims(j, a, b) })
	for _, a := range victims {
		if shortfall.cpus <= epsilon && shortfall.gpus <= epsilon {
			return
		}
		shortfall.removeTask(&a.job.spec)
		r.preempt(a, j, preemptedForQuota)
	}
}

// compareTeamVictims orders attempts of the job's team for preemption. Attempts on machines where
// the job could start without fetching its image come first, then attempts of jobs that miss more
// of their deadlines, then those that were placed last.
func (r *placementRound) compareTeamVictims(j *job, a, b *attempt) int {
	startsAtOnce := func(a *attempt) bool {
		m := a.machine
		return r.cluster.schedulable(m) && j.matchesOffer(m.offer()) && m.hasImage(j.spec.Image)
	}
	if c := compareTrueFirst(startsAtOnce(a), startsAtOnce(b)); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(b.job.plan.firstFeasible, a.job.plan.firstFeasible),
		cmp.Compare(b.placedAt, a.placedAt),
		cmp.Compare(b.number, a.number),
	)
}

// preemptionCause is the limit that a preemption resolves. It appears in the log.
type preemptionCause string

const (
	preemptedForQuota    preemptionCause = "team quota"
	preemptedForCapacity preemptionCause = "capacity"
)

// preempt stops an attempt in favor of the job. An attempt of a job with checkpoints may save one
// first, unless it is preempted for a production job.
func (r *placementRound) preempt(victim *attempt, j *job, cause preemptionCause) {
	r.counters.Preempted++
	r.logDebug("task preempted", "task", wire.TaskName(victim.ref.jobID, victim.ref.index), "attempt", victim.number,
		"machine", victim.machine.name, "for_job", j.id, "reason", string(cause))
	if victim.job.spec.CheckpointIntervalS > 0 && !j.isProduction() {
		r.scheduler.stopAfterCheckpoint(victim, StopPreempted)
	} else {
		r.scheduler.stopNow(victim, StopPreempted)
	}
}

// startUnacknowledged reports whether a start was sent that the worker has not acknowledged yet.
// Such an attempt is not preempted, since the acknowledgment is expected soon.
func (a *attempt) startUnacknowledged() bool { return a.start.sent && !a.start.acknowledged }

// mayPreempt reports whether the attempt may be preempted for the job. The attempt must have a
// lower priority, or, for a job within its team's guarantee, must belong to a job of another team
// that is not production, is beyond that team's guarantee and passes exceedsGuarantee. Attempts
// with an unacknowledged start, attempts that are being stopped and, except for a production job,
// attempts of starved jobs are excluded.
func (c *clusterState) mayPreempt(j *job, a *attempt) bool {
	victim := a.job
	if victim == nil || victim == j || a.stop.requested || a.startUnacknowledged() {
		return false
	}
	if a.belongsToStarvedJob() && !j.isProduction() {
		return false
	}
	if victim.rank > j.rank {
		return true
	}
	if !j.queueStatus.withinGuarantee || victim.queueStatus.withinGuarantee || victim.spec.Team == j.spec.Team || victim.isProduction() {
		return false
	}
	return c.exceedsGuarantee(victim)
}

// exceedsGuarantee reports whether, after losing one of the job's tasks, the job's team would still
// use at least its guaranteed CPUs or, if the job uses GPUs, at least its guaranteed GPUs.
func (c *clusterState) exceedsGuarantee(j *job) bool {
	guarantee, usage := c.settings.Teams[j.spec.Team], c.usageOf(j.spec.Team)
	return usage.CPUs-j.spec.CPUs >= guarantee.CPUs-epsilon ||
		j.spec.GPUs > 0 && usage.GPUs-j.spec.GPUs >= guarantee.GPUs-epsilon
}

// preemptionScope determines which attempts may be preempted for a job.
type preemptionScope int

const (
	preemptNothing preemptionScope = iota
	preemptIdle                    // only attempts of idle-priority jobs
	preemptAllowed                 // all attempts that mayPreempt allows
)

// preemptFor preempts other attempts for up to n tasks of the job, for at most one task per
// machine.
func (r *placementRound) preemptFor(j *job, n int) {
	r.searchPreemptions(j, n, math.Inf(1))
}

// preemptOnWarmMachine preempts other attempts for one task of the job on a machine that has the
// job's image and a placement cost below maxCost. It reports whether capacity was found on such
// a machine.
func (r *placementRound) preemptOnWarmMachine(j *job, maxCost float64) bool {
	return r.searchPreemptions(j, 1, maxCost) > 0
}

// searchPreemptions finds capacity for up to n tasks of the job, in capacity that is already being
// freed and by preempting other attempts, and returns for how many tasks it found capacity. With
// a finite maxCost, it considers only machines that have the job's image and a lower placement
// cost.
func (r *placementRound) searchPreemptions(j *job, n int, maxCost float64) int {
	//mutation:preemption-counts-unconfirmed-capacity
	if !r.settings.Policy.Preempt || r.mayFitUnconfirmed(j) {
		return 0
	}
	scope := r.preemptionScope(j)
	if scope == preemptNothing || !r.allowPreemptionSearch(j) {
		return 0
	}
	search := &preemptionSearch{
		round: r, job: j, wanted: n, scope: scope, maxCost: maxCost,
		costs: r.newCostModel(), spread: j.taskSpread(),
	}
	options := search.collectOptions()
	if search.found < n {
		search.execute(options)
	}
	return search.found
}

// preemptionScope returns which attempts may be preempted for the job. For production, that is
// always everything that mayPreempt allows. For other jobs above idle priority, idle-priority
// attempts may be preempted at once. Everything that mayPreempt allows may be preempted for jobs
// within their team's guarantee, but only after half of the guaranteed start time: capacity may
// become free by then, and a preempted attempt loses its progress unless it saves a checkpoint.
func (r *placementRound) preemptionScope(j *job) preemptionScope {
	if j.isProduction() || j.queueStatus.withinGuarantee && r.now.Mono-j.createdAt >= r.settings.GuaranteedStartWithin/2 {
		return preemptAllowed
	}
	if j.rank >= idleRank || !r.idlePreemptable {
		return preemptNothing
	}
	return preemptIdle
}

// allowPreemptionSearch reports whether a preemption search may run for the job now, and counts
// it. A search examines every task of the cluster, so jobs below production are limited to
// tuning.PreemptionJobsPerRound searches per round and one per tuning.MinPreemptionInterval for
// each job.
func (r *placementRound) allowPreemptionSearch(j *job) bool {
	if j.isProduction() {
		return true
	}
	searchedRecently := j.waiting.preemptionTriedAt > 0 && r.now.Mono-j.waiting.preemptionTriedAt < tuning.MinPreemptionInterval
	if searchedRecently || r.preemptionSearches >= tuning.PreemptionJobsPerRound {
		return false
	}
	r.preemptionSearches++
	j.waiting.preemptionTriedAt = r.now.Mono
	return true
}

// preemptionSearch looks for attempts to preempt for one job.
type preemptionSearch struct {
	round   *placementRound
	job     *job
	wanted  int // tasks that need capacity
	found   int // tasks for which capacity was found
	scope   preemptionScope
	maxCost float64 // if finite, only machines with the image and a lower placement cost qualify
	costs   costModel
	spread  taskSpread
}

// preemptionOption is a machine where preempting the victims frees capacity for one task.
type preemptionOption struct {
	machine *machine
	victims []*attempt
	cost    float64 // in CPU seconds
}

// projectedUsage holds the resources that will be in use on a machine once the attempts that are
// being stopped there have ended.
type projectedUsage struct {
	machine *machine
	used    resources
}

func (u *projectedUsage) fits(j *job) bool {
	return u.used.plus(j.taskResources()).within(totalResources(u.machine.machineSpec))
}

// collectOptions claims capacity that is already being freed and returns the machines where
// preemption would free more. It stops once the claimed capacity suffices, since no option is
// needed then.
func (p *preemptionSearch) collectOptions() []preemptionOption {
	var options []preemptionOption
	for _, m := range p.round.cluster.sortedMachines() {
		if p.found == p.wanted {
			return nil
		}
		if !p.eligible(m) {
			continue
		}
		projected, victims := p.usageAndVictims(m)
		for p.found < p.wanted && projected.fits(p.job) && p.spread.allowsZone(p.job, m.zone) {
			p.claimSlot(m)
			projected.used.addTask(&p.job.spec)
		}
		if len(victims) == 0 {
			continue
		}
		if option, ok := p.chooseVictims(projected, victims); ok {
			options = append(options, option)
		}
	}
	return options
}

// eligible reports whether a task of the job could be placed on the machine if it were empty.
// Quarantined machines are excluded and, with a finite maxCost, so are machines that do not have
// the job's image or cost too much.
func (p *preemptionSearch) eligible(m *machine) bool {
	if m.machineSpec == nil || !m.machineSpec.Fits(&p.job.spec) {
		return false
	}
	if !math.IsInf(p.maxCost, 1) && (!m.hasImage(p.job.spec.Image) || p.costs.cost(p.job, m, p.spread) >= p.maxCost) {
		return false
	}
	return p.round.cluster.canHost(m, p.job) && p.spread.allowsZone(p.job, m.zone) && m.quarantine.until <= p.round.now.Mono
}

// usageAndVictims returns the projected usage of the machine and the attempts that may be preempted
// there. Capacity that was claimed earlier in the round counts as used. Only its CPUs are known;
// its memory is estimated by this job's ratio of memory to CPUs, and its GPUs are ignored.
func (p *preemptionSearch) usageAndVictims(m *machine) (*projectedUsage, []*attempt) {
	claimed := p.round.claimedCPUs[m]
	projected := &projectedUsage{m, m.used.plus(resources{
		cpus:     claimed,
		memoryGB: claimed * p.job.spec.MemoryGB / max(p.job.spec.CPUs, epsilon),
	})}
	var victims []*attempt
	for _, a := range m.tasks {
		if a.stop.requested && a.job != nil {
			projected.used.removeTask(&a.job.spec)
		} else if p.round.cluster.mayPreempt(p.job, a) && (p.scope != preemptIdle || a.job.rank == idleRank) {
			victims = append(victims, a)
		}
	}
	return projected, victims
}

// claimSlot claims capacity for one task of the job on the machine.
func (p *preemptionSearch) claimSlot(m *machine) {
	p.round.claimedCPUs[m] += p.job.spec.CPUs
	// A valid reservation for another job is kept; only a production job replaces it. If two
	// jobs replaced each other's reservations, each would find the machine reserved for the
	// other when the capacity becomes free.
	//mutation:reservation-is-kept
	if m.reservation.jobID == p.job.id || m.reservation.until <= p.round.now.Mono || p.job.isProduction() {
		m.reserve(p.job, p.round.now.Mono)
	}
	p.spread.add(m)
	p.found++
}

// chooseVictims chooses the attempts to preempt for one task of the job, in the order of
// compareVictims. It reports whether preempting them frees enough capacity.
func (p *preemptionSearch) chooseVictims(projected *projectedUsage, victims []*attempt) (preemptionOption, bool) {
	slices.SortFunc(victims, p.compareVictims)
	option := preemptionOption{machine: projected.machine, cost: p.fetchCost(projected.machine)}
	count := 0
	for count < len(victims) && !projected.fits(p.job) {
		projected.used.removeTask(&victims[count].job.spec)
		option.cost += p.stopCost(victims[count])
		count++
	}
	option.victims = victims[:count]
	return option, count > 0 && projected.fits(p.job)
}

// fetchCost returns the cost of fetching the job's image on the machine, in CPU seconds.
func (p *preemptionSearch) fetchCost(m *machine) float64 {
	weight := fetchWeight
	switch {
	case m.hasImage(p.job.spec.Image):
		return 0
	case p.job.service:
		weight = serviceFetchWeight
	}
	return weight * p.job.spec.ImageGB / max(m.machineSpec.FetchGBPerS, minFetchGBPerS)
}

// compareVictims orders attempts for preemption: attempts of starved jobs come last. Otherwise, the
// order is by priority, lowest first, then by the number of deadlines that their jobs miss, most
// first. Of equals, attempts of jobs without a tight deadline come first, then those that were
// placed last, which lose the least progress.
func (p *preemptionSearch) compareVictims(a, b *attempt) int {
	if c := compareTrueFirst(b.belongsToStarvedJob(), a.belongsToStarvedJob()); c != 0 {
		return c
	}
	if c := cmp.Or(cmp.Compare(b.job.rank, a.job.rank), cmp.Compare(b.job.plan.firstFeasible, a.job.plan.firstFeasible)); c != 0 {
		return c
	}
	if c := compareTrueFirst(b.job.hasTightDeadline(p.round.now.Mono), a.job.hasTightDeadline(p.round.now.Mono)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.placedAt, a.placedAt), cmp.Compare(b.number, a.number))
}

// stopCost returns the cost of preempting the attempt, in CPU seconds: the work that is lost, and
// a surcharge if the job would then miss a deadline. The work counts half if the job misses all
// its deadlines anyway.
func (p *preemptionSearch) stopCost(a *attempt) float64 {
	lost := (p.round.now.Mono - a.placedAt).Seconds() * max(1, a.job.spec.CPUs)
	switch {
	case a.job.missesAllDeadlines():
		return lost / 2
	case a.job.hasTightDeadline(p.round.now.Mono):
		return lost + tuning.DeadlineMissCost
	}
	return lost
}

// execute carries out the cheapest options for the tasks that still need capacity.
func (p *preemptionSearch) execute(options []preemptionOption) {
	slices.SortStableFunc(options, func(a, b preemptionOption) int { return cmp.Compare(a.cost, b.cost) })
	for _, option := range options {
		if p.found == p.wanted {
			return
		}
		if !p.spread.allowsZone(p.job, option.machine.zone) {
			continue
		}
		p.claimSlot(option.machine)
		for _, victim := range option.victims {
			p.round.preempt(victim, p.job, preemptedForCapacity)
		}
	}
}
