package scheduler

import (
	"math"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// preemptWithinTeam makes room under its team's limit for a production job, by stopping
// lower work of the same team: on machines where the job could then start at
// once, and there what was started last.
func (s *Scheduler) preemptWithinTeam(j *job, n int) {
	if !s.settings.Policy.Preempt || j.rank > 0 || s.reconciler.HoldsTeamLimits() {
		return
	}
	team := s.settings.Teams[j.spec.Team]
	u := s.teamUsage(j.spec.Team)
	cpus := u.CPUs + float64(n)*j.spec.CPUs - team.CPUsMax
	gpus := u.GPUs + float64(n)*j.spec.GPUs - team.GPUsMax
	var victims []*attempt
	for _, v := range s.cluster.jobs {
		if v.spec.Team != j.spec.Team || v == j {
			continue
		}
		for _, a := range v.sortedAttempts() {
			if a.stop.requested {
				cpus -= v.spec.CPUs // room on its way
				gpus -= v.spec.GPUs
			} else if v.rank > j.rank && (a.start.acknowledged || !a.start.sent) {
				victims = append(victims, a)
			}
		}
	}
	good := func(a *attempt) bool {
		return s.schedulable(a.machine) && j.allowsMachine(a.machine.machineType, a.machine.zone, a.machine.spot) && a.machine.hasImage(j.spec.Image)
	}
	sort.Slice(victims, func(x, y int) bool {
		a, b := victims[x], victims[y]
		if ga, gb := good(a), good(b); ga != gb {
			return ga
		}
		if a.job.plan.feasible != b.job.plan.feasible {
			return a.job.plan.feasible > b.job.plan.feasible
		}
		if a.placedAt != b.placedAt {
			return a.placedAt > b.placedAt
		}
		return a.number > b.number
	})
	for _, a := range victims {
		if cpus <= epsilon && gpus <= epsilon {
			return
		}
		cpus -= a.job.spec.CPUs
		gpus -= a.job.spec.GPUs
		s.counters.Preempted++
		s.log(true, "preempted under its team's limit", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", a.machine.name, "for", j.id)
		s.stopAttempt(a, false, "preempted for "+j.id)
	}
}

// mayPreempt reports whether the victim's end is a reason the rules know.
func (s *Scheduler) mayPreempt(j *job, a *attempt) bool {
	v := a.job
	if v == nil || v == j || a.stop.requested || a.start.sent && !a.start.acknowledged {
		return false // the last: its start is on its way, and soon acknowledged
	}
	if a.ofStarvedJob() && j.rank > 0 {
		return false
	}
	if v.rank > j.rank {
		return true
	}
	if !j.standing.withinGuarantee || v.spec.Team == j.spec.Team || v.rank == 0 {
		return false
	}
	guarantee := s.settings.Teams[v.spec.Team]
	u := s.teamUsage(v.spec.Team)
	return !v.standing.withinGuarantee && (u.CPUs-v.spec.CPUs >= guarantee.CPUs-epsilon || v.spec.GPUs > 0 && u.GPUs-v.spec.GPUs >= guarantee.GPUs-epsilon)
}

// hasTightDeadline reports whether a task of the job that started anew now would miss the
// deadline that the job can still meet.
func (s *Scheduler) hasTightDeadline(j *job) bool {
	return len(j.plan.deadlines) > 0 && !j.missesAllDeadlines() && s.secondsToDeadline(j) < j.taskDuration()*tuning.DeadlineFeasibilityFactor
}

// preemptionSearch is a search for room that stops make for one job.
type preemptionSearch struct {
	scheduler         *Scheduler
	round             *placementRound
	job               *job
	wanted            int // tasks that need room
	found             int // tasks that room was found for
	belowCost         float64
	onlyIdle          bool
	attemptsByZone    map[string]int
	replicasByMachine map[*machine]int
}

// preemptionOption is a machine where stops make room for one task.
type preemptionOption struct {
	machine *machine
	victims []*attempt
	cost    float64
}

// pendingCapacity is what is free on a machine once what is being stopped there is gone.
type pendingCapacity struct {
	machine                          *machine
	usedCPUs, usedGPUs, usedMemoryGB float64 // in use
}

func (f *pendingCapacity) remove(a *attempt) {
	f.usedCPUs -= a.job.spec.CPUs
	f.usedGPUs -= a.job.spec.GPUs
	f.usedMemoryGB -= a.job.spec.MemoryGB
}

func (f *pendingCapacity) add(j *job) {
	f.usedCPUs += j.spec.CPUs
	f.usedGPUs += j.spec.GPUs
	f.usedMemoryGB += j.spec.MemoryGB
}

func (f *pendingCapacity) fits(j *job) bool {
	return f.usedCPUs+j.spec.CPUs <= f.machine.machineSpec.CPUs+epsilon && f.usedGPUs+j.spec.GPUs <= f.machine.machineSpec.GPUs+epsilon && f.usedMemoryGB+j.spec.MemoryGB <= f.machine.machineSpec.MemoryGB+epsilon
}

// preemptFor makes room for up to n tasks of the job, where it may, one a machine,
// and says for how many it did: by stopping work of lower priority, or what another
// team has beyond its guarantee. What was started last is stopped first, since it
// loses least. With a finite below, only machines that have the image and score
// better than that are considered.
func (s *Scheduler) preemptFor(r *placementRound, j *job, n int, below float64) int {
	//mutation:preemption-counts-unconfirmed-capacity
	if !s.settings.Policy.Preempt || s.mayFitUnconfirmed(r, j) {
		return 0
	}
	// Idle work makes room at once, for work beyond a guarantee too. Other work does
	// for what is within one, and not right away: room may come by itself, and what
	// is stopped is lost.
	onlyIdle := j.rank > 0 && (!j.standing.withinGuarantee || s.now.Mono-j.createdAt < s.settings.GuaranteedStartWithin/2)
	if onlyIdle && (j.rank >= idleRank || r.idleTasks == 0) {
		return 0
	}
	if j.rank > 0 {
		if r.preemptionSearches >= tuning.PreemptionJobsPerRound || j.waiting.preemptionTriedAt > 0 && s.now.Mono-j.waiting.preemptionTriedAt < tuning.MinPreemptionInterval {
			return 0 // a look at every task of the cluster is not cheap
		}
		r.preemptionSearches++
		j.waiting.preemptionTriedAt = s.now.Mono
	}
	p := &preemptionSearch{scheduler: s, round: r, job: j, wanted: n, belowCost: below, onlyIdle: onlyIdle, attemptsByZone: j.attemptsByZone(), replicasByMachine: j.replicasByMachine()}
	options := p.collectOptions()
	if p.found < n {
		p.execute(options)
	}
	return p.found
}

// collectOptions looks at all machines, claims the room that is on its way already, and gathers
// where stops would make more, until there is enough.
func (p *preemptionSearch) collectOptions() []preemptionOption {
	var options []preemptionOption
	for _, m := range p.scheduler.sortedMachines() {
		if p.found == p.wanted {
			return nil
		}
		if !p.eligible(m) {
			continue
		}
		free, victims := p.inspect(m)
		for p.found < p.wanted && free.fits(p.job) && p.job.allowsZone(p.attemptsByZone, m.zone) {
			p.claim(m) // room is on its way
			free.add(p.job)
		}
		if len(victims) == 0 {
			continue
		}
		if o, ok := p.cheapestOption(free, victims); ok {
			options = append(options, o)
		}
	}
	return options
}

// eligible reports whether the job's tasks could go to the machine if it were empty.
func (p *preemptionSearch) eligible(m *machine) bool {
	l, j := p.scheduler, p.job
	if m.machineSpec == nil || j.spec.CPUs > m.machineSpec.CPUs || j.spec.GPUs > m.machineSpec.GPUs || j.spec.MemoryGB > m.machineSpec.MemoryGB {
		return false
	}
	if !math.IsInf(p.belowCost, 1) && (!m.hasImage(j.spec.Image) || l.placementCost(j, m, p.attemptsByZone, p.replicasByMachine[m]) >= p.belowCost) {
		return false
	}
	return l.schedulable(m) && j.allowsMachine(m.machineType, m.zone, m.spot) && j.allowsZone(p.attemptsByZone, m.zone) && !m.summarize().hasUnknownTask && m.quarantine.until <= l.now.Mono
}

// inspect gives what is free on the machine once stops that were sent are carried out, and
// what else may be stopped there.
func (p *preemptionSearch) inspect(m *machine) (*pendingCapacity, []*attempt) {
	// What is being stopped already will make room too, once.
	claimed := p.round.claimedCPUs[m]
	free := &pendingCapacity{m, m.used.cpus + claimed, m.used.gpus, m.used.memoryGB + claimed*p.job.spec.MemoryGB/max(p.job.spec.CPUs, epsilon)}
	var victims []*attempt
	for _, a := range m.tasks {
		if a.stop.requested && a.job != nil {
			free.remove(a)
		} else if p.scheduler.mayPreempt(p.job, a) && (!p.onlyIdle || a.job.rank == idleRank) {
			victims = append(victims, a)
		}
	}
	return free, victims
}

// claim keeps a machine's room for the job.
func (p *preemptionSearch) claim(m *machine) {
	l, j := p.scheduler, p.job
	p.round.claimedCPUs[m] += j.spec.CPUs
	//mutation:reservation-is-kept
	if m.reservation.jobID == j.id || m.reservation.until <= l.now.Mono || j.rank == 0 {
		// Whom it is kept for already goes first. Two jobs that took it from each
		// other, each found it kept for the other once the room was there.
		m.reservation.jobID, m.reservation.until = j.id, l.now.Mono+tuning.PreemptionReservationTTL
	}
	if p.attemptsByZone != nil {
		p.attemptsByZone[m.zone]++
	}
	p.found++
}

// cheapestOption chooses what to stop for one task, what loses least first, and what that costs.
func (p *preemptionSearch) cheapestOption(free *pendingCapacity, victims []*attempt) (preemptionOption, bool) {
	sort.Slice(victims, func(a, b int) bool { return p.stopsBefore(victims[a], victims[b]) })
	cost := 0.0
	if !free.machine.hasImage(p.job.spec.Image) {
		// A service is down while it fetches; what is stopped is only late.
		weight := 2.0
		if p.job.service {
			weight = 50
		}
		cost += weight * p.job.spec.ImageGB / max(free.machine.machineSpec.FetchGBPerS, 0.01)
	}
	k := 0
	for k < len(victims) && !free.fits(p.job) {
		free.remove(victims[k])
		cost += p.stopCost(victims[k])
		k++
	}
	return preemptionOption{free.machine, victims[:k], cost}, k > 0 && free.fits(p.job)
}

// stopsBefore reports whether an attempt is stopped rather than another.
func (p *preemptionSearch) stopsBefore(x, y *attempt) bool {
	if bx, by := x.ofStarvedJob(), y.ofStarvedJob(); bx != by {
		return by
	}
	if x.job.rank != y.job.rank {
		return x.job.rank > y.job.rank
	}
	if x.job.plan.feasible != y.job.plan.feasible {
		return x.job.plan.feasible > y.job.plan.feasible // late already: the delay costs nothing
	}
	if tx, ty := p.scheduler.hasTightDeadline(x.job), p.scheduler.hasTightDeadline(y.job); tx != ty {
		return ty
	}
	if x.placedAt != y.placedAt {
		return x.placedAt > y.placedAt
	}
	return x.number > y.number
}

// stopCost is what a stop costs, in CPU seconds.
func (p *preemptionSearch) stopCost(v *attempt) float64 {
	lost := (p.scheduler.now.Mono - v.placedAt).Seconds() * max(1, v.job.spec.CPUs)
	switch {
	case v.job.missesAllDeadlines():
		lost /= 2
	case p.scheduler.hasTightDeadline(v.job):
		lost += tuning.DeadlineMissCost
	}
	return lost
}

// execute makes the stops that cost least, for as many tasks as still need room.
func (p *preemptionSearch) execute(options []preemptionOption) {
	sort.SliceStable(options, func(a, b int) bool { return options[a].cost < options[b].cost })
	for _, o := range options {
		if p.found == p.wanted {
			return
		}
		if !p.job.allowsZone(p.attemptsByZone, o.machine.zone) {
			continue
		}
		p.claim(o.machine)
		for _, v := range o.victims {
			p.scheduler.counters.Preempted++
			save := v.job.spec.CheckpointIntervalS > 0 && p.job.rank > 0
			p.scheduler.log(true, "preempted", "task", wire.TaskName(v.ref.jobID, v.ref.index), "machine", o.machine.name, "for", p.job.id)
			p.scheduler.stopAttempt(v, save, "preempted for "+p.job.id)
		}
	}
}
