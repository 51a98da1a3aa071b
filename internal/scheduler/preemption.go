package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Costs of a preemption, in CPU seconds.
const (
	fetchPreemptionCost        = 2.0  // for each second that the image is fetched first: what is preempted is only late
	fetchServicePreemptionCost = 50.0 // the same for a service, which is down for that time
)

// preemptWithinTeam preempts lower work of the production job's own team until the team's
// limit allows n tasks of the job.
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
				shortfall.removeTask(&other.spec) // freed soon
			} else if other.rank > j.rank && !a.startUnderWay() {
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

// compareTeamVictims orders attempts of the job's team by which is preempted first: where the
// job could then start at once, late jobs, and what was placed last.
func (r *placementRound) compareTeamVictims(j *job, a, b *attempt) int {
	startsAtOnce := func(a *attempt) bool {
		m := a.machine
		return r.cluster.schedulable(m) && j.allows(m.offer()) && m.hasImage(j.spec.Image)
	}
	if c := compareTrueFirst(startsAtOnce(a), startsAtOnce(b)); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(b.job.plan.feasible, a.job.plan.feasible),
		cmp.Compare(b.placedAt, a.placedAt),
		cmp.Compare(b.number, a.number),
	)
}

// preemptionCause is what a preemption makes way under.
type preemptionCause string

const (
	preemptedForQuota    preemptionCause = "team quota"
	preemptedForCapacity preemptionCause = "capacity"
)

// preempt stops an attempt to make way for the job. Except for production, which does not
// wait for that, the attempt may save a checkpoint first.
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

// startUnderWay reports whether a start was sent that the worker has not acknowledged yet,
// as it soon will.
func (a *attempt) startUnderWay() bool { return a.start.sent && !a.start.acknowledged }

// mayPreempt reports whether the rules allow preempting the attempt for the job: work of
// lower priority, and, for a job within its team's guarantee, what another team has beyond
// its own.
func (c *clusterState) mayPreempt(j *job, a *attempt) bool {
	victim := a.job
	if victim == nil || victim == j || a.stop.requested || a.startUnderWay() {
		return false
	}
	if a.ofStarvedJob() && !j.isProduction() {
		return false
	}
	if victim.rank > j.rank {
		return true
	}
	if !j.standing.withinGuarantee || victim.standing.withinGuarantee || victim.spec.Team == j.spec.Team || victim.isProduction() {
		return false
	}
	return c.exceedsGuarantee(victim)
}

// exceedsGuarantee reports whether the job's team keeps its guarantee without one of the
// job's tasks.
func (c *clusterState) exceedsGuarantee(j *job) bool {
	guarantee, usage := c.settings.Teams[j.spec.Team], c.usageOf(j.spec.Team)
	return usage.CPUs-j.spec.CPUs >= guarantee.CPUs-epsilon ||
		j.spec.GPUs > 0 && usage.GPUs-j.spec.GPUs >= guarantee.GPUs-epsilon
}

// preemptionScope is which work may be preempted for a job.
type preemptionScope int

const (
	preemptNothing preemptionScope = iota
	preemptIdle                    // only idle work
	preemptLower                   // all that mayPreempt allows
)

// preemptFor preempts other work for up to n tasks of the job, one task a machine.
func (r *placementRound) preemptFor(j *job, n int) {
	r.searchPreemptions(j, n, math.Inf(1))
}

// preemptOnWarmMachine preempts other work for one task of the job on a machine that has
// its image and costs less than maxCost, and reports whether there is such a machine.
func (r *placementRound) preemptOnWarmMachine(j *job, maxCost float64) bool {
	return r.searchPreemptions(j, 1, maxCost) > 0
}

// searchPreemptions preempts other work for up to n tasks of the job, and gives for how many
// it did or there will be capacity anyway. With a finite maxCost, it considers only machines
// that have the image and cost less.
func (r *placementRound) searchPreemptions(j *job, n int, maxCost float64) int {
	//mutation:preemption-counts-unconfirmed-capacity
	if !r.settings.Policy.Preempt || r.mayFitUnconfirmed(j) {
		return 0
	}
	scope := r.preemptionScope(j)
	if scope == preemptNothing || !r.takePreemptionSearch(j) {
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

// preemptionScope is which work makes way for the job. Idle work does so at once, also for
// jobs beyond their team's guarantee. Other work does so only for jobs within it, and after
// a while: capacity may become free by itself, and what is preempted loses its progress.
func (r *placementRound) preemptionScope(j *job) preemptionScope {
	if j.isProduction() || j.standing.withinGuarantee && r.now.Mono-j.createdAt >= r.settings.GuaranteedStartWithin/2 {
		return preemptLower
	}
	if j.rank >= idleRank || !r.idlePreemptable {
		return preemptNothing
	}
	return preemptIdle
}

// takePreemptionSearch reports whether a search may be made for the job now. Each looks at
// every task of the cluster; for jobs below production, their number is limited.
func (r *placementRound) takePreemptionSearch(j *job) bool {
	if j.isProduction() {
		return true
	}
	lately := j.waiting.preemptionTriedAt > 0 && r.now.Mono-j.waiting.preemptionTriedAt < tuning.MinPreemptionInterval
	if lately || r.preemptionSearches >= tuning.PreemptionJobsPerRound {
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
	found   int // tasks that capacity was found for
	scope   preemptionScope
	maxCost float64 // if finite, machines have to have the image and cost less
	costs   costModel
	spread  taskSpread
}

// preemptionOption is a machine where preempting the victims frees capacity for one task.
type preemptionOption struct {
	machine *machine
	victims []*attempt
	cost    float64 // in CPU seconds
}

// pendingCapacity is what will be in use on a machine once the attempts that are being
// stopped there are gone.
type pendingCapacity struct {
	machine *machine
	used    resources
}

func (c *pendingCapacity) fits(j *job) bool {
	return c.used.plus(j.taskResources()).within(totalResources(c.machine.machineSpec))
}

// collectOptions goes through the machines, claims capacity that is being freed already, and
// collects where preemption would free more, until there is enough.
func (p *preemptionSearch) collectOptions() []preemptionOption {
	var options []preemptionOption
	for _, m := range p.round.cluster.sortedMachines() {
		if p.found == p.wanted {
			return nil
		}
		if !p.eligible(m) {
			continue
		}
		pending, victims := p.inspect(m)
		for p.found < p.wanted && pending.fits(p.job) && p.spread.allowsZone(p.job, m.zone) {
			p.claim(m)
			pending.used.addTask(&p.job.spec)
		}
		if len(victims) == 0 {
			continue
		}
		if option, ok := p.cheapestOption(pending, victims); ok {
			options = append(options, option)
		}
	}
	return options
}

// eligible reports whether a task of the job could go to the machine if it were empty.
func (p *preemptionSearch) eligible(m *machine) bool {
	if m.machineSpec == nil || !m.machineSpec.Fits(&p.job.spec) {
		return false
	}
	if !math.IsInf(p.maxCost, 1) && (!m.hasImage(p.job.spec.Image) || p.costs.cost(p.job, m, p.spread) >= p.maxCost) {
		return false
	}
	return p.round.cluster.canHost(m, p.job) && p.spread.allowsZone(p.job, m.zone) && m.quarantine.until <= p.round.now.Mono
}

// inspect gives the machine's capacity once the stops under way have ended, and the
// attempts that may be preempted there. Capacity that another job has claimed is in use.
func (p *preemptionSearch) inspect(m *machine) (*pendingCapacity, []*attempt) {
	claimed := p.round.claimedCPUs[m]
	pending := &pendingCapacity{m, m.used.plus(resources{
		cpus:     claimed,
		memoryGB: claimed * p.job.spec.MemoryGB / max(p.job.spec.CPUs, epsilon),
	})}
	var victims []*attempt
	for _, a := range m.tasks {
		if a.stop.requested && a.job != nil {
			pending.used.removeTask(&a.job.spec)
		} else if p.round.cluster.mayPreempt(p.job, a) && (p.scope != preemptIdle || a.job.rank == idleRank) {
			victims = append(victims, a)
		}
	}
	return pending, victims
}

// claim keeps capacity for one task on the machine.
func (p *preemptionSearch) claim(m *machine) {
	p.round.claimedCPUs[m] += p.job.spec.CPUs
	// A reservation for another job stays. If two jobs took it from each other, each would
	// find the machine reserved for the other once the capacity is free.
	//mutation:reservation-is-kept
	if m.reservation.jobID == p.job.id || m.reservation.until <= p.round.now.Mono || p.job.isProduction() {
		m.reserve(p.job, p.round.now.Mono)
	}
	p.spread.add(m)
	p.found++
}

// cheapestOption chooses the attempts to preempt for one task, those that lose least first.
func (p *preemptionSearch) cheapestOption(pending *pendingCapacity, victims []*attempt) (preemptionOption, bool) {
	slices.SortFunc(victims, p.compareVictims)
	option := preemptionOption{machine: pending.machine, cost: p.fetchCost(pending.machine)}
	count := 0
	for count < len(victims) && !pending.fits(p.job) {
		pending.used.removeTask(&victims[count].job.spec)
		option.cost += p.stopCost(victims[count])
		count++
	}
	option.victims = victims[:count]
	return option, count > 0 && pending.fits(p.job)
}

// fetchCost is what it costs that the machine has to fetch the job's image.
func (p *preemptionSearch) fetchCost(m *machine) float64 {
	weight := fetchPreemptionCost
	switch {
	case m.hasImage(p.job.spec.Image):
		return 0
	case p.job.service:
		weight = fetchServicePreemptionCost
	}
	return weight * p.job.spec.ImageGB / max(m.machineSpec.FetchGBPerS, minFetchRate)
}

// compareVictims orders attempts by which is preempted first: not those of starved jobs, of
// the lowest priority, of jobs that are late already, without a tight deadline, and those
// that were placed last, which lose least.
func (p *preemptionSearch) compareVictims(a, b *attempt) int {
	if c := compareTrueFirst(b.ofStarvedJob(), a.ofStarvedJob()); c != 0 {
		return c
	}
	if c := cmp.Or(cmp.Compare(b.job.rank, a.job.rank), cmp.Compare(b.job.plan.feasible, a.job.plan.feasible)); c != 0 {
		return c
	}
	if c := compareTrueFirst(b.job.hasTightDeadline(p.round.now.Mono), a.job.hasTightDeadline(p.round.now.Mono)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(b.placedAt, a.placedAt), cmp.Compare(b.number, a.number))
}

// stopCost is what is lost with the attempt, in CPU seconds.
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

// execute carries out the options that cost least, for the tasks that still need capacity.
func (p *preemptionSearch) execute(options []preemptionOption) {
	slices.SortStableFunc(options, func(a, b preemptionOption) int { return cmp.Compare(a.cost, b.cost) })
	for _, option := range options {
		if p.found == p.wanted {
			return
		}
		if !p.spread.allowsZone(p.job, option.machine.zone) {
			continue
		}
		p.claim(option.machine)
		for _, victim := range option.victims {
			p.round.preempt(victim, p.job, preemptedForCapacity)
		}
	}
}
