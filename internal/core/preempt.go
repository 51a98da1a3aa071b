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

// preempt makes room for up to n tasks of the job, where it may, one a machine,
// and says for how many it did: by stopping work of lower priority, or what another
// team has beyond its guarantee. What was started last is stopped first, since it
// loses least. With a finite below, only machines that have the image and score
// better than that are considered.
func (l *Leader) preempt(r *round, j *job, n int, below float64) int {
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
	z, same := j.zones(), j.machines()
	type option struct {
		m       *machine
		victims []*attempt
		cost    float64
	}
	var options []option
	made := 0
	claim := func(m *machine) {
		r.claimed[m] += j.spec.CPUs
		if m.keptFor == j.id || m.keptTo <= l.now.Mono || j.rank == 0 {
			// Whom it is kept for already goes first. Two jobs that took it from each
			// other, each found it kept for the other once the room was there.
			m.keptFor, m.keptTo = j.id, l.now.Mono+tuning.KeepRoom
		}
		if z != nil {
			z[m.zone]++
		}
		made++
	}
	for _, m := range l.sorted() {
		if made == n {
			return made
		}
		if m.mt == nil || j.spec.CPUs > m.mt.CPUs || j.spec.GPUs > m.mt.GPUs || j.spec.MemoryGB > m.mt.MemoryGB {
			continue
		}
		if !math.IsInf(below, 1) && (!m.has(j.spec.Image) || l.score(j, m, z, same[m]) >= below) {
			continue
		}
		if !l.usable(m) || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(z, m.zone) || m.summarize().blocked || m.suspect > l.now.Mono {
			continue
		}
		// What is being stopped already will make room too, once.
		cpus, gpus, mem := m.cpus+r.claimed[m], m.gpus, m.mem+r.claimed[m]*j.spec.MemoryGB/max(j.spec.CPUs, epsilon)
		var victims []*attempt
		for _, a := range m.tasks {
			if a.halt && a.job != nil {
				cpus -= a.job.spec.CPUs
				gpus -= a.job.spec.GPUs
				mem -= a.job.spec.MemoryGB
			} else if l.mayPreempt(j, a) && (!onlyIdle || a.job.rank == idleRank) {
				victims = append(victims, a)
			}
		}
		fits := func() bool {
			return cpus+j.spec.CPUs <= m.mt.CPUs+epsilon && gpus+j.spec.GPUs <= m.mt.GPUs+epsilon && mem+j.spec.MemoryGB <= m.mt.MemoryGB+epsilon
		}
		for made < n && fits() && j.zoneOpen(z, m.zone) {
			claim(m) // room is on its way
			cpus += j.spec.CPUs
			gpus += j.spec.GPUs
			mem += j.spec.MemoryGB
		}
		if len(victims) == 0 {
			continue
		}
		sort.Slice(victims, func(a, b int) bool {
			x, y := victims[a], victims[b]
			if bx, by := x.beginning(), y.beginning(); bx != by {
				return by
			}
			if x.job.rank != y.job.rank {
				return x.job.rank > y.job.rank
			}
			if x.job.hope != y.job.hope {
				return x.job.hope > y.job.hope // late already: the delay costs nothing
			}
			if tx, ty := l.tight(x.job), l.tight(y.job); tx != ty {
				return ty
			}
			if x.placedAt != y.placedAt {
				return x.placedAt > y.placedAt
			}
			return x.number > y.number
		})
		cost := 0.0
		if !m.has(j.spec.Image) {
			// A service is down while it fetches; what is stopped is only late.
			weight := 2.0
			if j.service {
				weight = 50
			}
			cost += weight * j.spec.ImageGB / max(m.mt.FetchGBs, 0.01)
		}
		k := 0
		for k < len(victims) && !fits() {
			v := victims[k]
			cpus -= v.job.spec.CPUs
			gpus -= v.job.spec.GPUs
			mem -= v.job.spec.MemoryGB
			lost := (l.now.Mono - v.placedAt).Seconds() * max(1, v.job.spec.CPUs)
			switch {
			case v.job.hopeless():
				lost /= 2
			case l.tight(v.job):
				lost += tuning.TightCost
			}
			cost += lost
			k++
		}
		if fits() && k > 0 {
			options = append(options, option{m, victims[:k], cost})
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].cost < options[b].cost })
	for _, o := range options {
		if made == n {
			break
		}
		if !j.zoneOpen(z, o.m.zone) {
			continue
		}
		claim(o.m)
		for _, v := range o.victims {
			l.count.Preempted++
			save := v.job.spec.CheckpointS > 0 && j.rank > 0
			l.line(true, "preempted", "task", wire.TaskName(v.ref.job, v.ref.index), "machine", o.m.name, "for", j.id)
			l.stop(v, save, "preempted for "+j.id)
		}
	}
	return made
}
