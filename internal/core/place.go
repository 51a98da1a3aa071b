package core

import (
	"math"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// epsilon absorbs rounding in sums of amounts.
const epsilon = 1e-6

// want is what was left unplaced of a job after a round.
type want struct {
	j *job
	n int
}

// place assigns waiting tasks to machines, in order, and says what was left.
func (l *Leader) place() []want {
	l.dirtyPlace = false
	queue := l.queue()
	var left []want
	claimed := map[*machine]float64{} // CPUs on their way to somebody through preemption
	// Room under a team's limit that production waits for. Without this, lower
	// work would take what it was stopped for, and be stopped again.
	promised := map[string]Team{}
	for _, j := range queue {
		n := j.pending()
		if j.waitSince == 0 {
			j.waitSince = l.now.Mono
		}
		budget := l.teamRoom(j, promised[j.spec.Team])
		if budget < n {
			l.yieldTeam(j, n)
		}
		tries := min(n, budget)
		placed := 0
		if j.spec.Gang() {
			switch {
			case j.stopping():
				j.why = "its gang is being stopped"
				continue
			case tries < n:
				j.why = "its team is at its limit"
				if j.rank == 0 {
					p := promised[j.spec.Team]
					p.CPUs += float64(n) * j.spec.CPUs
					p.GPUs += float64(n) * j.spec.GPUs
					promised[j.spec.Team] = p
				}
				continue
			case l.placeGang(j, n):
				l.tellPlaced(j, n)
				j.why = ""
				continue
			}
			tries = n
		}
		for placed < tries && !j.spec.Gang() {
			m := l.choose(j)
			if m == nil || l.holdForWarm(j, m, claimed) {
				break
			}
			i, ok := j.nextFree()
			if !ok {
				break
			}
			l.assign(j, i, m)
			placed++
		}
		l.tellPlaced(j, placed)
		rest := tries - placed
		if j.rank == 0 && n > placed {
			p := promised[j.spec.Team]
			p.CPUs += float64(n-placed) * j.spec.CPUs
			p.GPUs += float64(n-placed) * j.spec.GPUs
			promised[j.spec.Team] = p
		}
		if rest > 0 {
			j.why = "no machine has room"
			for k := 0; k < rest; k++ {
				if !l.preempt(j, claimed, math.Inf(1)) {
					break
				}
			}
			left = append(left, want{j, rest})
		} else if n > placed {
			j.why = "its team is at its limit"
		} else {
			j.why = ""
		}
	}
	return left
}

// holdForWarm reports whether a production service had better wait a moment for
// room on a machine that has its image than fetch it on m: lower work is stopped
// there, which takes a few tens of milliseconds where a fetch takes seconds.
func (l *Leader) holdForWarm(j *job, m *machine, claimed map[*machine]float64) bool {
	if !j.service || j.rank > 0 || m.has(j.spec.Image) || j.spec.ImageGB/max(m.mt.FetchGBs, 0.01) < tuning.WorthWarm {
		return false
	}
	if l.now.Mono-j.waitSince > tuning.WarmWait {
		return false
	}
	// Only where the task would then really go, or the room is made in vain,
	// again and again.
	return l.preempt(j, claimed, l.score(j, m, j.zones()))
}

// tellPlaced logs a job's first placement and the one that leaves nothing
// waiting; those in between are at debug, task by task.
func (l *Leader) tellPlaced(j *job, placed int) {
	if placed == 0 || j.placedOnce && j.pending() > 0 {
		return
	}
	j.placedOnce = true
	l.line(false, "job placed", "job", j.id, "tasks", placed, "active", j.nActive, "waiting", j.pending(),
		"after_s", (l.now.Mono - j.created).Seconds())
}

// stopping reports whether any attempt of the job is being stopped.
func (j *job) stopping() bool {
	for _, list := range j.active {
		for _, a := range list {
			if a.halt {
				return true
			}
		}
	}
	return false
}

// placeGang places all waiting members of a gang, or none.
func (l *Leader) placeGang(j *job, n int) bool {
	var placed []*attempt
	for range n {
		m := l.choose(j)
		if m == nil {
			break
		}
		i, ok := j.nextFree()
		if !ok {
			break
		}
		placed = append(placed, l.enter(j, i, m))
	}
	if len(placed) < n {
		for _, a := range placed {
			l.detach(a)
		}
		l.dirtyPlace = false // nothing has changed
		return false
	}
	for _, a := range placed {
		l.touch(a.m, true)
	}
	return true
}

// queue orders the jobs that wait: production first, then what fits its team's
// guarantee, then by rank and by how little time is left.
func (l *Leader) queue() []*job {
	teams := map[string][]*job{}
	var out []*job
	for _, j := range l.jobs {
		if j.pending() == 0 {
			j.waitSince = 0
		}
		if j.cancelled || j.archived {
			continue
		}
		teams[j.spec.Team] = append(teams[j.spec.Team], j)
		if j.pending() > 0 && l.now.Mono >= j.retryAt {
			out = append(out, j)
		}
	}
	for name, list := range teams {
		sort.Slice(list, func(a, b int) bool {
			if list[a].spec.CreatedMilli != list[b].spec.CreatedMilli {
				return list[a].spec.CreatedMilli < list[b].spec.CreatedMilli
			}
			return list[a].id < list[b].id
		})
		team := l.cfg.Teams[name]
		cpus, gpus := 0.0, 0.0
		for _, j := range list {
			n := float64(j.spec.Tasks - j.nDone)
			fits := cpus+n*j.spec.CPUs <= team.CPUs+epsilon && gpus+n*j.spec.GPUs <= team.GPUs+epsilon
			j.within = fits
			cpus += n * j.spec.CPUs
			gpus += n * j.spec.GPUs
		}
	}
	l.planDeadlines()
	for _, j := range out {
		j.slack = math.Inf(1) // without a deadline, after those that have one
		if j.dueAfter > 0 {
			j.slack = l.due(j)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if px, py := x.rank == 0, y.rank == 0; px != py {
			return px
		}
		// What can still be on time goes before what is late already, even
		// within a guarantee: of that, the start has been missed too.
		if cx, cy := x.class(), y.class(); cx != cy {
			return cx < cy
		}
		if x.rank != y.rank {
			return x.rank < y.rank
		}
		if x.slack != y.slack {
			return x.slack < y.slack
		}
		if x.created != y.created {
			return x.created < y.created
		}
		return x.id < y.id
	})
	return out
}

// class orders jobs of the same standing: on time within the guarantee, on time
// beyond it, late within it, late beyond it.
func (j *job) class() int {
	c := 0
	if !j.hopeful {
		c += 2
	}
	if !j.within {
		c++
	}
	return c
}

// teamRoom is how many more tasks of the job its team's limit allows. All that
// may be on a machine counts, saving and unproven starts too.
func (l *Leader) teamRoom(j *job, promised Team) int {
	team, ok := l.cfg.Teams[j.spec.Team]
	if !ok {
		return 0
	}
	u := l.use(j.spec.Team)
	n := math.Inf(1)
	if j.spec.CPUs > 0 {
		n = min(n, math.Floor((team.CPUsMax-u.CPUs-promised.CPUs+epsilon)/j.spec.CPUs))
	}
	if j.spec.GPUs > 0 {
		n = min(n, math.Floor((team.GPUsMax-u.GPUs-promised.GPUs+epsilon)/j.spec.GPUs))
	}
	return int(max(0, min(n, wire.MaxTasks)))
}

// allows reports whether the job may use a machine of this description.
func (j *job) allows(typ, zone string, spot bool) bool {
	if spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != zone {
		return false
	}
	if j.spec.Types == nil {
		return true
	}
	for _, t := range j.spec.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// zones counts the job's attempts by zone: all that may be there.
func (j *job) zones() map[string]int {
	if !j.spec.Together && !j.spec.Scatter {
		return nil
	}
	z := map[string]int{}
	for _, list := range j.active {
		for _, a := range list {
			z[a.m.zone]++
		}
	}
	return z
}

// zoneOpen reports whether one more task of the job may go to the zone.
func (j *job) zoneOpen(z map[string]int, zone string) bool {
	if j.spec.Together {
		for other, n := range z {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return z[zone] < j.spec.ZoneCap()
}

// usable reports whether tasks may be placed on the machine at all.
func (l *Leader) usable(m *machine) bool {
	return m.phase == up && m.confirmed && !m.failed && m.leaveBy == 0 && m.mt != nil && !m.reading &&
		m.pauseTo <= l.now.Mono && l.now.Mono-m.heardAt < l.cfg.Report*3
}

func (m *machine) fits(j *job) bool {
	return m.cpus+j.spec.CPUs <= m.mt.CPUs+epsilon &&
		m.gpus+j.spec.GPUs <= m.mt.GPUs+epsilon &&
		m.mem+j.spec.MemoryGB <= m.mt.MemoryGB+epsilon
}

// blocked: something is there whose size we do not know.
func (m *machine) blocked() bool {
	for _, a := range m.tasks {
		if a.job == nil {
			return true
		}
	}
	return false
}

// choose finds the best machine for one more task of the job.
func (l *Leader) choose(j *job) *machine {
	var best *machine
	bestScore := math.Inf(1)
	z := j.zones()
	for _, m := range l.machines {
		if m.keptFor != "" && m.keptFor != j.id && l.now.Mono < m.keptTo && j.rank > 0 {
			continue // room was made here for another job
		}
		if !l.usable(m) || !m.fits(j) || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(z, m.zone) || m.blocked() || !l.recordRoom(m) {
			continue
		}
		if !j.service && !m.has(j.spec.Image) && m.fetchingOther(j.spec.Image) {
			// Fetches side by side share the machine's rate: one after the
			// other, the first is there sooner and the last no later.
			continue
		}
		s := l.score(j, m, z)
		if s < bestScore || s == bestScore && m.name < best.name {
			best, bestScore = m, s
		}
	}
	return best
}

// fetchingOther reports whether the machine fetches an image other than this.
func (m *machine) fetchingOther(name string) bool {
	for _, a := range m.tasks {
		if a.job != nil && !a.halt && a.state != wire.TaskRunning && a.job.spec.Image != name && !m.has(a.job.spec.Image) {
			return true
		}
	}
	return false
}

// score is how many seconds, or their worth, a task loses on the machine.
func (l *Leader) score(j *job, m *machine, z map[string]int) float64 {
	s := 0.0
	if !m.has(j.spec.Image) && j.spec.ImageGB > 0 {
		rate := max(m.mt.FetchGBs, 0.01)
		fetch := j.spec.ImageGB / rate
		others := map[string]bool{}
		for _, a := range m.tasks {
			if a.job == nil || a.state == wire.TaskRunning || a.halt {
				continue
			}
			if a.job.spec.Image == j.spec.Image && !j.service {
				// Shared with a fetch under way. Not for services: where all
				// that fetch gather on one machine, nothing else is warm when
				// that one is lost.
				fetch /= 2
				break
			}
			if !m.has(a.job.spec.Image) {
				others[a.job.spec.Image] = true
			}
		}
		s += fetch * float64(1+len(others))
	}
	if m.suspect > l.now.Mono {
		s += 300
	}
	if j.failedOn[m.name] {
		s += 60
	}
	same, services := 0, 0
	for _, a := range m.tasks {
		if a.job == j {
			same++
		}
		if a.job != nil && a.job.service {
			services++
		}
	}
	if j.service {
		// Replicas apart from each other, and services apart from services,
		// so that one machine's end costs little.
		s += 2*float64(same) + 0.3*float64(z[m.zone])
		if l.cfg.Thrifty {
			// Here services share machines, or each blocks one for large tasks.
			if services == 0 {
				s++
			}
		} else {
			s += 0.3 * float64(services)
		}
		if m.spot {
			s += 5
		}
	} else if m.spot && l.cfg.Thrifty {
		s -= 0.5
	}
	// A full machine is better than two half full ones; without a thrifty aim
	// the difference only breaks ties.
	free := 1 - (m.cpus+j.spec.CPUs)/m.mt.CPUs
	if l.cfg.Thrifty {
		s += 0.5 * free
	} else {
		s += 0.05 * free
	}
	return s
}

// assign places a task. Nothing is sent before the machine's record has it.
func (l *Leader) assign(j *job, index int, m *machine) {
	l.enter(j, index, m)
	l.touch(m, true)
	l.line(true, "placed", "task", wire.TaskName(j.id, index), "machine", m.name, "warm", m.has(j.spec.Image))
}

func (l *Leader) enter(j *job, index int, m *machine) *attempt {
	l.nextTry++
	a := &attempt{
		ref: taskRef{j.id, index}, job: j, m: m,
		// Terms only grow, so an attempt's number is above all earlier ones.
		number:   l.term<<tuning.FenceBits | l.nextTry,
		placedAt: l.now.Mono,
	}
	l.attach(a)
	return a
}

// yieldTeam makes room under its team's limit for a production job, by stopping
// lower work of the same team: on machines where the job could then start at
// once, and there what was started last.
func (l *Leader) yieldTeam(j *job, n int) {
	if !l.cfg.Policy.Preempt || j.rank > 0 {
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
		if a.job.hopeful != b.job.hopeful {
			return b.job.hopeful
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
		l.line(false, "preempted under its team's limit", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", a.m.name, "for", j.id)
		l.stop(a, false, "preempted for "+j.id)
	}
}

// mayPreempt reports whether the victim's end is a reason the rules know.
func (l *Leader) mayPreempt(j *job, a *attempt) bool {
	v := a.job
	if v == nil || v == j || a.halt || a.sent && !a.seen {
		return false // the last: its start is on its way, and soon acknowledged
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

// preempt makes room for one task of the job, where it may: work of lower
// priority, or what another team has beyond its guarantee. What was started
// last is stopped first, since it loses least. With a finite below, only machines
// that have the image and score better than that are considered.
func (l *Leader) preempt(j *job, claimed map[*machine]float64, below float64) bool {
	if !l.cfg.Policy.Preempt || !j.within && j.rank > 0 {
		return false
	}
	if j.rank > 0 && l.now.Mono-j.created < l.cfg.GuaranteeWithin/2 {
		return false // room may come by itself, and what is stopped is lost
	}
	z := j.zones()
	var best *machine
	var bestVictims []*attempt
	bestCost := math.Inf(1)
	for _, m := range l.sorted() {
		if !l.usable(m) || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(z, m.zone) || m.blocked() || m.suspect > l.now.Mono {
			continue
		}
		if !math.IsInf(below, 1) && (!m.has(j.spec.Image) || l.score(j, m, z) >= below) {
			continue
		}
		if j.spec.CPUs > m.mt.CPUs || j.spec.GPUs > m.mt.GPUs || j.spec.MemoryGB > m.mt.MemoryGB {
			continue
		}
		// What is being stopped already will make room too, once.
		cpus, gpus, mem := m.cpus+claimed[m], m.gpus, m.mem+claimed[m]*j.spec.MemoryGB/max(j.spec.CPUs, epsilon)
		var victims []*attempt
		for _, a := range m.list() {
			if a.halt && a.job != nil {
				cpus -= a.job.spec.CPUs
				gpus -= a.job.spec.GPUs
				mem -= a.job.spec.MemoryGB
			} else if l.mayPreempt(j, a) {
				victims = append(victims, a)
			}
		}
		fits := func() bool {
			return cpus+j.spec.CPUs <= m.mt.CPUs+epsilon && gpus+j.spec.GPUs <= m.mt.GPUs+epsilon && mem+j.spec.MemoryGB <= m.mt.MemoryGB+epsilon
		}
		if fits() {
			claimed[m] += j.spec.CPUs
			m.keptFor, m.keptTo = j.id, l.now.Mono+tuning.KeepRoom
			return true // room is on its way
		}
		sort.SliceStable(victims, func(a, b int) bool {
			if victims[a].job.rank != victims[b].job.rank {
				return victims[a].job.rank > victims[b].job.rank
			}
			if victims[a].job.hopeful != victims[b].job.hopeful {
				return victims[b].job.hopeful // late already: the delay costs nothing
			}
			return victims[a].placedAt > victims[b].placedAt
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
		n := 0
		for n < len(victims) && !fits() {
			v := victims[n]
			cpus -= v.job.spec.CPUs
			gpus -= v.job.spec.GPUs
			mem -= v.job.spec.MemoryGB
			lost := (l.now.Mono - v.placedAt).Seconds() * max(1, v.job.spec.CPUs)
			if !v.job.hopeful {
				lost /= 2
			}
			cost += lost
			n++
		}
		if fits() && cost < bestCost {
			best, bestVictims, bestCost = m, victims[:n], cost
		}
	}
	if best == nil {
		return false
	}
	claimed[best] += j.spec.CPUs
	best.keptFor, best.keptTo = j.id, l.now.Mono+tuning.KeepRoom
	for _, v := range bestVictims {
		l.count.Preempted++
		save := v.job.spec.CheckpointS > 0 && j.rank > 0
		l.line(false, "preempted", "task", wire.TaskName(v.ref.job, v.ref.index), "machine", best.name, "for", j.id)
		l.stop(v, save, "preempted for "+j.id)
	}
	return true
}
