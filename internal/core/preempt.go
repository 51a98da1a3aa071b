package core

import (
	"math"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// yieldTeam makes room under its team's limit for a production job, by stopping
// lower work of the same team: on machines where the job could then start at
// once, and there what was started last.
func (l *Leader) yieldTeam(j *job, n int) {
	if !l.cfg.Policy.Preempt || j.rank > 0 || l.recovery.HoldsTeamLimits() {
		return
	}
	team := l.cfg.Teams[j.spec.Team]
	u := l.use(j.spec.Team)
	cpus := u.CPUs + float64(n)*j.spec.CPUs - team.CPUsMax
	gpus := u.GPUs + float64(n)*j.spec.GPUs - team.GPUsMax
	var victims []*attempt
	for _, v := range l.jobs {
		if v.spec.Team != j.spec.Team || v == j {
			continue
		}
		for _, a := range v.attempts() {
			if a.halt {
				cpus -= v.spec.CPUs // room on its way
				gpus -= v.spec.GPUs
			} else if v.rank > j.rank && (a.seen || !a.sent) {
				victims = append(victims, a)
			}
		}
	}
	good := func(a *attempt) bool {
		return l.usable(a.m) && j.allows(a.m.typ, a.m.zone, a.m.spot) && a.m.has(j.spec.Image)
	}
	sort.Slice(victims, func(x, y int) bool {
		a, b := victims[x], victims[y]
		if ga, gb := good(a), good(b); ga != gb {
			return ga
		}
		if a.job.hope != b.job.hope {
			return a.job.hope > b.job.hope
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
		l.count.Preempted++
		l.line(true, "preempted under its team's limit", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", a.m.name, "for", j.id)
		l.stop(a, false, "preempted for "+j.id)
	}
}

// mayPreempt reports whether the victim's end is a reason the rules know.
func (l *Leader) mayPreempt(j *job, a *attempt) bool {
	v := a.job
	if v == nil || v == j || a.halt || a.sent && !a.seen {
		return false // the last: its start is on its way, and soon acknowledged
	}
	if a.beginning() && j.rank > 0 {
		return false
	}
	if v.rank > j.rank {
		return true
	}
	if !j.within || v.spec.Team == j.spec.Team || v.rank == 0 {
		return false
	}
	guarantee := l.cfg.Teams[v.spec.Team]
	u := l.use(v.spec.Team)
	return !v.within && (u.CPUs-v.spec.CPUs >= guarantee.CPUs-epsilon || v.spec.GPUs > 0 && u.GPUs-v.spec.GPUs >= guarantee.GPUs-epsilon)
}

// tight reports whether a task of the job that started anew now would miss the
// deadline that the job can still meet.
func (l *Leader) tight(j *job) bool {
	return len(j.dues) > 0 && !j.hopeless() && l.due(j) < j.duration()*tuning.HopeFactor
}

// preemption is a search for room that stops make for one job.
type preemption struct {
	l        *Leader
	r        *round
	j        *job
	n        int // tasks that need room
	made     int // tasks that room was found for
	below    float64
	onlyIdle bool
	zones    map[string]int
	same     map[*machine]int
}

// preemptOption is a machine where stops make room for one task.
type preemptOption struct {
	m       *machine
	victims []*attempt
	cost    float64
}

// freeing is what is free on a machine once what is being stopped there is gone.
type freeing struct {
	m               *machine
	cpus, gpus, mem float64 // in use
}

func (f *freeing) stop(a *attempt) {
	f.cpus -= a.job.spec.CPUs
	f.gpus -= a.job.spec.GPUs
	f.mem -= a.job.spec.MemoryGB
}

func (f *freeing) start(j *job) {
	f.cpus += j.spec.CPUs
	f.gpus += j.spec.GPUs
	f.mem += j.spec.MemoryGB
}

func (f *freeing) fits(j *job) bool {
	return f.cpus+j.spec.CPUs <= f.m.mt.CPUs+epsilon && f.gpus+j.spec.GPUs <= f.m.mt.GPUs+epsilon && f.mem+j.spec.MemoryGB <= f.m.mt.MemoryGB+epsilon
}

// preempt makes room for up to n tasks of the job, where it may, one a machine,
// and says for how many it did: by stopping work of lower priority, or what another
// team has beyond its guarantee. What was started last is stopped first, since it
// loses least. With a finite below, only machines that have the image and score
// better than that are considered.
func (l *Leader) preempt(r *round, j *job, n int, below float64) int {
	//mutation:preemption-counts-unconfirmed-capacity
	if !l.cfg.Policy.Preempt || l.mayFitUnheard(r, j) {
		return 0
	}
	// Idle work makes room at once, for work beyond a guarantee too. Other work does
	// for what is within one, and not right away: room may come by itself, and what
	// is stopped is lost.
	onlyIdle := j.rank > 0 && (!j.within || l.now.Mono-j.created < l.cfg.GuaranteeWithin/2)
	if onlyIdle && (j.rank >= idleRank || r.idle == 0) {
		return 0
	}
	if j.rank > 0 {
		if r.sought >= tuning.PreemptJobs || j.preemptAt > 0 && l.now.Mono-j.preemptAt < tuning.PreemptGap {
			return 0 // a look at every task of the cluster is not cheap
		}
		r.sought++
		j.preemptAt = l.now.Mono
	}
	p := &preemption{l: l, r: r, j: j, n: n, below: below, onlyIdle: onlyIdle, zones: j.zones(), same: j.machines()}
	options := p.options()
	if p.made < n {
		p.carryOut(options)
	}
	return p.made
}

// options looks at all machines, claims the room that is on its way already, and gathers
// where stops would make more, until there is enough.
func (p *preemption) options() []preemptOption {
	var options []preemptOption
	for _, m := range p.l.sorted() {
		if p.made == p.n {
			return nil
		}
		if !p.eligible(m) {
			continue
		}
		free, victims := p.inspect(m)
		for p.made < p.n && free.fits(p.j) && p.j.zoneOpen(p.zones, m.zone) {
			p.claim(m) // room is on its way
			free.start(p.j)
		}
		if len(victims) == 0 {
			continue
		}
		if o, ok := p.option(free, victims); ok {
			options = append(options, o)
		}
	}
	return options
}

// eligible reports whether the job's tasks could go to the machine if it were empty.
func (p *preemption) eligible(m *machine) bool {
	l, j := p.l, p.j
	if m.mt == nil || j.spec.CPUs > m.mt.CPUs || j.spec.GPUs > m.mt.GPUs || j.spec.MemoryGB > m.mt.MemoryGB {
		return false
	}
	if !math.IsInf(p.below, 1) && (!m.has(j.spec.Image) || l.score(j, m, p.zones, p.same[m]) >= p.below) {
		return false
	}
	return l.usable(m) && j.allows(m.typ, m.zone, m.spot) && j.zoneOpen(p.zones, m.zone) && !m.summarize().blocked && m.suspect <= l.now.Mono
}

// inspect gives what is free on the machine once stops that were sent are carried out, and
// what else may be stopped there.
func (p *preemption) inspect(m *machine) (*freeing, []*attempt) {
	// What is being stopped already will make room too, once.
	claimed := p.r.claimed[m]
	free := &freeing{m, m.cpus + claimed, m.gpus, m.mem + claimed*p.j.spec.MemoryGB/max(p.j.spec.CPUs, epsilon)}
	var victims []*attempt
	for _, a := range m.tasks {
		if a.halt && a.job != nil {
			free.stop(a)
		} else if p.l.mayPreempt(p.j, a) && (!p.onlyIdle || a.job.rank == idleRank) {
			victims = append(victims, a)
		}
	}
	return free, victims
}

// claim keeps a machine's room for the job.
func (p *preemption) claim(m *machine) {
	l, j := p.l, p.j
	p.r.claimed[m] += j.spec.CPUs
	//mutation:reservation-is-kept
	if m.keptFor == j.id || m.keptTo <= l.now.Mono || j.rank == 0 {
		// Whom it is kept for already goes first. Two jobs that took it from each
		// other, each found it kept for the other once the room was there.
		m.keptFor, m.keptTo = j.id, l.now.Mono+tuning.KeepRoom
	}
	if p.zones != nil {
		p.zones[m.zone]++
	}
	p.made++
}

// option chooses what to stop for one task, what loses least first, and what that costs.
func (p *preemption) option(free *freeing, victims []*attempt) (preemptOption, bool) {
	sort.Slice(victims, func(a, b int) bool { return p.before(victims[a], victims[b]) })
	cost := 0.0
	if !free.m.has(p.j.spec.Image) {
		// A service is down while it fetches; what is stopped is only late.
		weight := 2.0
		if p.j.service {
			weight = 50
		}
		cost += weight * p.j.spec.ImageGB / max(free.m.mt.FetchGBs, 0.01)
	}
	k := 0
	for k < len(victims) && !free.fits(p.j) {
		free.stop(victims[k])
		cost += p.loss(victims[k])
		k++
	}
	return preemptOption{free.m, victims[:k], cost}, k > 0 && free.fits(p.j)
}

// before reports whether an attempt is stopped rather than another.
func (p *preemption) before(x, y *attempt) bool {
	if bx, by := x.beginning(), y.beginning(); bx != by {
		return by
	}
	if x.job.rank != y.job.rank {
		return x.job.rank > y.job.rank
	}
	if x.job.hope != y.job.hope {
		return x.job.hope > y.job.hope // late already: the delay costs nothing
	}
	if tx, ty := p.l.tight(x.job), p.l.tight(y.job); tx != ty {
		return ty
	}
	if x.placedAt != y.placedAt {
		return x.placedAt > y.placedAt
	}
	return x.number > y.number
}

// loss is what a stop costs, in CPU seconds.
func (p *preemption) loss(v *attempt) float64 {
	lost := (p.l.now.Mono - v.placedAt).Seconds() * max(1, v.job.spec.CPUs)
	switch {
	case v.job.hopeless():
		lost /= 2
	case p.l.tight(v.job):
		lost += tuning.TightCost
	}
	return lost
}

// carryOut makes the stops that cost least, for as many tasks as still need room.
func (p *preemption) carryOut(options []preemptOption) {
	sort.SliceStable(options, func(a, b int) bool { return options[a].cost < options[b].cost })
	for _, o := range options {
		if p.made == p.n {
			return
		}
		if !p.j.zoneOpen(p.zones, o.m.zone) {
			continue
		}
		p.claim(o.m)
		for _, v := range o.victims {
			p.l.count.Preempted++
			save := v.job.spec.CheckpointS > 0 && p.j.rank > 0
			p.l.line(true, "preempted", "task", wire.TaskName(v.ref.job, v.ref.index), "machine", o.m.name, "for", p.j.id)
			p.l.stop(v, save, "preempted for "+p.j.id)
		}
	}
}
