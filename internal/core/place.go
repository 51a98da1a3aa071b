package core

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// epsilon absorbs rounding in sums of amounts.
const epsilon = 1e-6

// idleRank is the lowest rank, that of work for what is free.
var idleRank = wire.RankOrder(wire.RankIdle)

// unplaced is what was left unplaced of a job after a round.
type unplaced struct {
	j *job
	n int
}

// taskSummary is what placement asks of a machine's tasks.
type taskSummary struct {
	blocked                 bool // something is there whose size we do not know
	services                int  // tasks of services, and what they take
	serviceCPUs, serviceMem float64
	fetching                map[string]float64 // images on their way, without those of stopped tasks
}

// summarize gives the machine's taskSummary, made anew after its tasks have changed.
func (m *machine) summarize() *taskSummary {
	if m.taskSummary != nil {
		return m.taskSummary
	}
	d := &taskSummary{}
	for _, a := range m.tasks {
		if a.job == nil {
			d.blocked = true
			continue
		}
		if a.job.service {
			d.services++
			d.serviceCPUs += a.job.spec.CPUs
			d.serviceMem += a.job.spec.MemoryGB
		}
		if !a.halt && a.state != wire.TaskRunning && !m.has(a.job.spec.Image) {
			if d.fetching == nil {
				d.fetching = map[string]float64{}
			}
			d.fetching[a.job.spec.Image] = a.job.spec.ImageGB
		}
	}
	m.taskSummary = d
	return d
}

// round is one pass of placement over the waiting jobs.
type round struct {
	roomy   []*machine           // usable, with room for the smallest that waits
	claimed map[*machine]float64 // CPUs on their way to somebody through preemption
	sought  int                  // jobs for which preemption was tried, production apart
	idle    int                  // tasks of idle work on machines

	oldRoom  float64 // CPUs that old jobs may take beside those they have
	reserved bool    // room is being kept for a gang

	// unheard is the largest room on unheard machines by type, zone and kind; it is
	// made when it is first asked for.
	unheard map[offer]*slot
}

// place assigns waiting tasks to machines, in order, and says what was left.
func (l *Leader) place() []unplaced {
	l.dirtyPlace = false
	_, total := l.capacity()
	queue := l.queue(total)
	var left []unplaced
	r := &round{claimed: map[*machine]float64{}}
	for _, j := range l.jobs {
		if j.rank == idleRank {
			r.idle += j.nActive
		}
	}
	l.findRoom(r, queue)
	r.oldRoom = total * tuning.OldShare
	for _, j := range queue {
		if j.old {
			r.oldRoom -= float64(j.nActive) * j.spec.CPUs
		}
	}
	// Room under a team's limit that production waits for. Without this, lower
	// work would take what it was stopped for, and be stopped again.
	promised := map[string]Team{}
	holds := map[*job]int{}
	promise := func(j *job, n int) {
		if j.rank == 0 {
			p := promised[j.spec.Team]
			p.CPUs += float64(n-holds[j]) * j.spec.CPUs
			p.GPUs += float64(n-holds[j]) * j.spec.GPUs
			promised[j.spec.Team], holds[j] = p, n
		}
	}
	turns := len(queue)
	for i := 0; i < len(queue); i++ {
		j := queue[i]
		n := j.pending()
		if n == 0 {
			continue
		}
		if j.waitSince == 0 {
			j.waitSince = l.now.Mono
		}
		if l.inUnreadableRecord(j) {
			j.why = "a record that may be about it cannot be read"
			continue
		}
		if j.recovered && l.recovery.HoldsRecoveredWork() {
			j.why = "machines that may run it without a record have yet to report"
			continue
		}
		if l.likelyFaulty(j) && !j.spec.Gang() {
			// It is tried with one task at a time until one stays.
			if n = min(n, 1-j.nActive); n <= 0 {
				j.why = "it has failed on every machine so far"
				continue
			}
		}
		promise(j, 0) // its own room, in its second turn
		budget := l.teamRoom(j, promised[j.spec.Team])
		could := n
		if j.rank == 0 || j.spec.Gang() {
			could = l.hostable(j, n)
		}
		if budget < could {
			l.yieldTeam(j, could)
		}
		tries, bounded := min(n, budget), false
		switch {
		case j.spec.Gang() || tries == 0: // a gang runs as a whole or not at all
		case j.overdue:
			tries = min(tries, l.beginWith(j, total))
		case j.old && i < turns:
			all := tries
			tries = min(tries, int(max(0, r.oldRoom)/max(j.spec.CPUs, 0.1)))
			r.oldRoom -= float64(tries) * j.spec.CPUs
			bounded = tries < all
		}
		placed := 0
		if j.spec.Gang() {
			switch {
			case j.stopping():
				j.why = "its gang is being stopped"
				continue
			case tries < n:
				j.why = "its team is at its limit"
				promise(j, could)
				continue
			case l.placeGang(r, j, n):
				l.tellPlaced(j, n)
				j.why = ""
				continue
			}
			if j.overdue && !r.reserved {
				r.reserved = true
				l.reserve(j, n)
			}
			tries = n
		} else if tries > 0 {
			placed = l.placeTasks(r, j, tries)
		}
		l.tellPlaced(j, placed)
		rest := tries - placed
		// Not what no machine could take: its team's other work would wait with it,
		// beside room, for as long as there is no such machine.
		promise(j, max(0, could-placed))
		if bounded && rest == 0 {
			// The share of old jobs is what they get ahead of others, and no bound:
			// what these leave is theirs too. Else a task larger than the share
			// waited beside empty machines, and had none rented, for good.
			queue = append(queue, j)
			continue
		}
		if rest > 0 {
			j.why = "no machine has room"
			if i < turns && could > 0 {
				l.preempt(r, j, rest, math.Inf(1))
			}
			left = append(left, unplaced{j, min(n, budget) - placed})
		} else if n > placed {
			j.why = "its team is at its limit"
		} else {
			j.why = ""
		}
	}
	return left
}

// findRoom gathers the machines that have room for the smallest of the waiting
// tasks, so that a full cluster costs one look at each machine and not one for
// each job.
func (l *Leader) findRoom(r *round, queue []*job) {
	r.roomy = nil
	cpus, mem := math.Inf(1), math.Inf(1)
	for _, j := range queue {
		cpus, mem = min(cpus, j.spec.CPUs), min(mem, j.spec.MemoryGB)
	}
	if len(queue) == 0 {
		return
	}
	for _, m := range l.sorted() {
		if m.mt != nil && m.cpus+cpus <= m.mt.CPUs+epsilon && m.mem+mem <= m.mt.MemoryGB+epsilon && l.usable(m) && !m.summarize().blocked {
			r.roomy = append(r.roomy, m)
		}
	}
}

// placeTasks places up to n tasks of the job and says how many it did.
func (l *Leader) placeTasks(r *round, j *job, n int) int {
	p := l.newPicker(r, j)
	for placed := 0; placed < n; placed++ {
		m := p.next()
		if m == nil || l.numbersLeft() == 0 || l.holdForWarm(r, j, m, p) {
			return placed
		}
		i, ok := j.nextFree()
		if !ok {
			return placed
		}
		l.enter(j, i, m)
		p.took(m)
		l.line(true, "placed", "task", wire.TaskName(j.id, i), "machine", m.name, "warm", m.has(j.spec.Image))
	}
	return n
}

// picker hands out machines for the tasks of one job, the best first.
type picker struct {
	l    *Leader
	j    *job
	z    map[string]int
	same map[*machine]int
	heap picks
	held bool // some machine with room fetches another image
}

type pick struct {
	m     *machine
	score float64
}

type picks []pick

func (p picks) Len() int { return len(p) }
func (p picks) Less(a, b int) bool {
	return p[a].score < p[b].score || p[a].score == p[b].score && p[a].m.name < p[b].m.name
}
func (p picks) Swap(a, b int) { p[a], p[b] = p[b], p[a] }
func (p *picks) Push(x any)   { *p = append(*p, x.(pick)) }
func (p *picks) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

func (l *Leader) newPicker(r *round, j *job) *picker {
	p := &picker{l: l, j: j, z: j.zones(), same: j.machines()}
	for _, m := range r.roomy {
		if p.open(m) {
			p.heap = append(p.heap, pick{m, l.score(j, m, p.z, p.same[m])})
		}
	}
	switch {
	case len(p.heap) > 0:
	case !p.held:
		j.turnSince = 0
	case j.turnSince == 0:
		j.turnSince = l.now.Mono
	}
	heap.Init(&p.heap)
	return p
}

// open reports whether one more task of the job may go to the machine.
func (p *picker) open(m *machine) bool {
	j, l := p.j, p.l
	if m.keptFor != "" && m.keptFor != j.id && l.now.Mono < m.keptTo && j.rank > 0 {
		return false // room was made here for another job
	}
	if !m.fits(j) || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(p.z, m.zone) {
		return false
	}
	// Fetches side by side share the machine's rate: one after the other, the
	// first is there sooner and the last no later. But a job of which nothing is on any
	// machine does not wait for other jobs' turns for ever.
	if patient := j.nActive > 0 || j.turnSince == 0 || l.now.Mono-j.turnSince < tuning.FetchTurn; patient &&
		!j.service && !m.has(j.spec.Image) && m.fetchingOther(j.spec.Image) {
		p.held = true
		return false
	}
	return len(m.tasks)+len(m.exited) < tuning.MachineTasks
}

// next gives the best machine, or nil. Scores only grow as tasks are placed, so
// one that is found again as low as it was noted is the lowest.
func (p *picker) next() *machine {
	for len(p.heap) > 0 {
		top := &p.heap[0]
		if !p.open(top.m) {
			heap.Pop(&p.heap)
			continue
		}
		s := p.l.score(p.j, top.m, p.z, p.same[top.m])
		if s <= top.score+epsilon {
			return top.m
		}
		top.score = s
		heap.Fix(&p.heap, 0)
	}
	return nil
}

// took notes that a task went to the machine, which is at the top.
func (p *picker) took(m *machine) {
	p.j.turnSince = 0
	if p.z != nil {
		p.z[m.zone]++
	}
	p.same[m]++
	p.heap[0].score = p.l.score(p.j, m, p.z, p.same[m])
	heap.Fix(&p.heap, 0)
}

// machines counts the attempts of a service by machine.
func (j *job) machines() map[*machine]int {
	same := map[*machine]int{}
	if j.service {
		for _, list := range j.active {
			for _, a := range list {
				same[a.m]++
			}
		}
	}
	return same
}

// holdForWarm reports whether a production service had better wait a moment for
// room on a machine that has its image than fetch it on m: lower work is stopped
// there, which takes a few tens of milliseconds where a fetch takes seconds.
func (l *Leader) holdForWarm(r *round, j *job, m *machine, p *picker) bool {
	if !j.service || j.rank > 0 || m.has(j.spec.Image) || j.spec.ImageGB/max(m.mt.FetchGBs, 0.01) < tuning.WorthWarm {
		return false
	}
	if l.now.Mono-j.waitSince > tuning.WarmWait {
		return false
	}
	// Only where the task would then really go, or the room is made in vain,
	// again and again.
	return l.preempt(r, j, 1, l.score(j, m, p.z, p.same[m])) > 0
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

// placeGang places all waiting members of a gang, or none. Where they have to be
// together, each zone is tried: the best machine for the first of them may be in one
// that has no room for the others.
func (l *Leader) placeGang(r *round, j *job, n int) bool {
	if !j.spec.Together || j.nActive > 0 {
		return l.placeGangIn(r, j, n, "")
	}
	zones := map[string]bool{}
	for _, m := range r.roomy {
		zones[m.zone] = true
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if l.placeGangIn(r, j, n, z) {
			return true
		}
	}
	return false
}

// placeGangIn places them in one zone; empty: in any.
func (l *Leader) placeGangIn(r *round, j *job, n int, zone string) bool {
	if l.numbersLeft() < n {
		return false
	}
	var placed []*attempt
	p := l.newPicker(r, j)
	if zone != "" {
		p.heap = slices.DeleteFunc(p.heap, func(x pick) bool { return x.m.zone != zone })
		heap.Init(&p.heap)
	}
	for range n {
		m := p.next()
		if m == nil {
			break
		}
		i, ok := j.nextFree()
		if !ok {
			break
		}
		a := l.newAttempt(j, i, m)
		l.attach(a)
		p.took(m)
		placed = append(placed, a)
	}
	if len(placed) < n {
		for _, a := range placed {
			l.detach(a)
		}
		l.dirtyPlace = false // nothing has changed
		return false
	}
	for _, a := range placed {
		l.record(a)
	}
	return true
}

// reserve keeps machines free of other work, production apart, until a gang that
// waits for long fits on them together: room for all of it never comes by itself
// where smaller tasks take each slot that falls free.
func (l *Leader) reserve(j *job, n int) {
	slots := func(m *machine) int {
		cpus, mem := m.mt.CPUs, m.mt.MemoryGB
		for _, a := range m.tasks {
			if a.job != nil && (a.job.service || a.job.rank < j.rank) {
				cpus -= a.job.spec.CPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		k := wire.MaxTasks
		if j.spec.CPUs > 0 {
			k = min(k, int(cpus/j.spec.CPUs+epsilon))
		}
		if j.spec.MemoryGB > 0 {
			k = min(k, int(mem/j.spec.MemoryGB+epsilon))
		}
		return max(k, 0)
	}
	var list []*machine
	room := map[string]int{}
	for _, m := range l.sorted() {
		if l.usable(m) && !m.summarize().blocked && j.allows(m.typ, m.zone, m.spot) && slots(m) > 0 {
			list = append(list, m)
			room[m.zone] += slots(m)
		}
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(room)) {
		if best == "" || room[z] > room[best] {
			best = z
		}
	}
	fits := 0
	for z, k := range room {
		if z == best || !j.spec.Together {
			fits += min(k, j.spec.ZoneCap())
		}
	}
	if fits < n {
		return // it fits only once there are more machines: keeping these empties them in vain
	}
	// Those that are emptiest are free soonest.
	sort.SliceStable(list, func(a, b int) bool { return list[a].cpus < list[b].cpus })
	taken := map[string]int{}
	for _, m := range list {
		if j.spec.Together && m.zone != best || n <= 0 {
			continue
		}
		k := min(slots(m), j.spec.ZoneCap()-taken[m.zone])
		if k <= 0 {
			continue
		}
		taken[m.zone] += k
		n -= k
		m.keptFor, m.keptTo = j.id, l.now.Mono+tuning.KeepRoom
	}
}

// hostable is how many of n waiting tasks of the job could go to the machines that
// there are if all but production made way there. Of those that need machines yet, no
// room is kept. What is on its way is waited for, for a while.
func (l *Leader) hostable(j *job, n int) int {
	if l.now.Mono-j.waitSince < tuning.PromiseFor {
		return n
	}
	z := j.zones()
	room := map[string]int{}
	could := func() int {
		most, sum := 0, 0
		for zone, k := range room {
			most = max(most, k)
			sum += max(0, min(k, j.spec.ZoneCap()-z[zone]))
		}
		if j.spec.Together {
			sum = most
		}
		return sum
	}
	for _, m := range l.sorted() {
		if !l.usable(m) || m.summarize().blocked || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(z, m.zone) {
			continue
		}
		cpus, gpus, mem := m.mt.CPUs, m.mt.GPUs, m.mt.MemoryGB
		for _, a := range m.tasks {
			if a.job.rank == 0 || a.job == j {
				cpus -= a.job.spec.CPUs
				gpus -= a.job.spec.GPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		k := float64(n)
		for _, part := range [][2]float64{{cpus, j.spec.CPUs}, {gpus, j.spec.GPUs}, {mem, j.spec.MemoryGB}} {
			if part[1] > 0 {
				k = min(k, math.Floor(part[0]/part[1]+epsilon))
			}
		}
		if k < 1 {
			continue
		}
		room[m.zone] = min(n, room[m.zone]+int(k))
		if could() >= n {
			return n // mostly after a few machines: hundreds of jobs may ask in each round
		}
	}
	if j.spec.Gang() {
		return 0 // it runs as a whole or not at all
	}
	return could()
}

// queue orders the jobs that wait: production first, then what fits its team's
// guarantee, then by rank and by how little time is left.
func (l *Leader) queue(total float64) []*job {
	teams := map[string][]*job{}
	var out []*job
	for _, j := range l.jobs {
		if j.pending() == 0 {
			j.waitSince = 0
		}
		if j.cancelled || j.archived {
			continue
		}
		// What nothing has begun of for long gets its first tasks, whatever comes
		// after it: the order by deadlines alone gives up the largest first, and
		// under lasting overload again and again.
		j.unbegun = !j.service && l.now.Mono-j.created > tuning.BeginBy && !l.hasBegun(j) && !l.likelyFaulty(j)
		j.overdue = j.unbegun && l.beginWith(j, total) > 0
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
		// What misses all its deadlines is finished all the same, with a share of
		// the cluster if nothing else is left to it for long.
		j.old = !j.service && j.hopeless() && l.now.Mono-j.created > tuning.OldAfter
		j.slack = math.Inf(1) // without a deadline, after those that have one
		if len(j.dues) > 0 {
			j.slack = l.due(j)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if px, py := x.rank == 0, y.rank == 0; px != py {
			return px
		}
		if x.overdue != y.overdue {
			return x.overdue
		}
		if x.old != y.old {
			return x.old
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

// likelyFaulty reports whether the job seems to be submitted with a mistake: it has failed
// on several machines, and nothing of it has come to stay or now runs for longer than
// it takes to fail. A faulty machine fails others' work too, and the job's own work
// succeeds elsewhere.
func (l *Leader) likelyFaulty(j *job) bool {
	if len(j.failedOn) < tuning.JobSuspectMachines || l.hasBegun(j) {
		return false
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.halt && l.now.Mono-a.runningAt > 2*j.failsAfter+tuning.FailsWithin {
				return false
			}
		}
	}
	return true
}

// hasBegun reports whether something of the job has come to stay: a task that is
// stopped again within seconds is no beginning. Idle work of a guest would otherwise
// begin again and again, each time for a moment.
func (l *Leader) hasBegun(j *job) bool {
	if j.begun || j.nDone > 0 {
		return true
	}
	for _, list := range j.active {
		for _, a := range list {
			if a.runningAt > 0 && !a.halt && l.now.Mono-a.runningAt >= tuning.BegunAfter {
				j.begun = true
				return true
			}
		}
	}
	return false
}

// beginWith is how many more tasks a job that is overdue gets ahead of others: a
// part of the job, and of the cluster where these are beyond its team's guarantee.
func (l *Leader) beginWith(j *job, total float64) int {
	n := max(1, j.spec.Tasks/tuning.BeginPart)
	if !j.within && j.spec.CPUs > 0 {
		n = min(n, max(1, int(total*tuning.BeginShare/j.spec.CPUs)))
	}
	return max(0, n-j.nActive)
}

// beginning reports whether the attempt is of a job that has not begun for long: what
// it got ahead of others it keeps until then.
func (a *attempt) beginning() bool { return a.job != nil && a.job.unbegun }

// class orders jobs of the same standing: on time within the guarantee, on time
// beyond it, late within it, late beyond it.
func (j *job) class() int {
	c := 2 * j.hope
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

// usable reports whether tasks may be placed on the machine at all. One that did not
// answer a start has to show that it hears us first, by its token or an answer: else
// what is placed there meanwhile waits with that start.
func (l *Leader) usable(m *machine) bool {
	return (m.unanswered == 0 || m.seenToken >= l.token(m)) &&
		m.phase == up && m.confirmed && !m.failed && m.leaveBy == 0 && m.mt != nil && m.unreachableSince == 0 &&
		m.pauseTo <= l.now.Mono && l.now.Mono-m.heardAt < l.cfg.Report*3
}

func (m *machine) fits(j *job) bool {
	return m.cpus+j.spec.CPUs <= m.mt.CPUs+epsilon &&
		m.gpus+j.spec.GPUs <= m.mt.GPUs+epsilon &&
		m.mem+j.spec.MemoryGB <= m.mt.MemoryGB+epsilon
}

// hasRoom reports whether one more task of the job could go to some machine.
func (l *Leader) hasRoom(j *job) bool {
	r := &round{}
	l.findRoom(r, []*job{j})
	return l.newPicker(r, j).next() != nil
}

// fetchingOther reports whether the machine fetches an image other than this.
func (m *machine) fetchingOther(name string) bool {
	d := m.summarize()
	if _, same := d.fetching[name]; same {
		return len(d.fetching) > 1
	}
	return len(d.fetching) > 0
}

// score is how many seconds, or their worth, a task loses on the machine. z
// counts the job's tasks by zone, same those on the machine.
func (l *Leader) score(j *job, m *machine, z map[string]int, same int) float64 {
	s := 0.0
	d := m.summarize()
	if j.spec.ImageGB > 0 && !m.has(j.spec.Image) {
		fetch := j.spec.ImageGB / max(m.mt.FetchGBs, 0.01)
		others := len(d.fetching)
		if _, shared := d.fetching[j.spec.Image]; shared {
			others--
			if !j.service {
				// Shared with a fetch under way. Not for services: where all
				// that fetch gather on one machine, nothing else is warm when
				// that one is lost.
				fetch /= 2
				others = 0
			}
		}
		s += fetch * float64(1+others)
	}
	if m.suspect > l.now.Mono {
		s += 300
	}
	if j.failedOn[m.name] {
		s += 60
	}
	if j.service {
		// Replicas apart from each other, and services apart from services,
		// so that one machine's end costs little.
		s += 2*float64(same) + 0.3*float64(z[m.zone])
		if l.cfg.Thrifty {
			// Here services share machines, or each blocks one for large tasks.
			if d.services == 0 {
				s++
			}
		} else {
			s += 0.3 * float64(d.services)
		}
		if m.spot {
			s += 5
		}
	} else if m.spot && l.cfg.Thrifty {
		s -= 0.5
	} else if m.spot {
		// It may be taken, and what runs there is lost: the longer the more.
		s += tuning.SpotRisk * j.duration()
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

// enter places a task. Nothing is sent before it is recorded.
func (l *Leader) enter(j *job, index int, m *machine) *attempt {
	a := l.newAttempt(j, index, m)
	l.attach(a)
	l.record(a)
	return a
}

// counterMost is the highest value of what a leader counts in the low bits of tokens and
// of attempts' numbers. One above it would be of another term.
const counterMost = 1<<tuning.FenceBits - 1

// numbersLeft is how many more attempts this term can number.
func (l *Leader) numbersLeft() int { return counterMost - int(min(l.nextTry, counterMost)) }

// watchCounters resigns before this term's numbers are used up. The next term has all of
// them again, and an election costs a fraction of a second.
func (l *Leader) watchCounters() {
	highest := l.nextTry
	for _, m := range l.machines {
		highest = max(highest, m.fence)
	}
	if float64(highest) > counterMost*tuning.CountersUsed {
		l.out.Resign = "this term's numbers are used up"
	}
}

// newAttempt makes an attempt under a number that was never used: terms only
// grow, so it is above all earlier ones.
func (l *Leader) newAttempt(j *job, index int, m *machine) *attempt {
	l.nextTry++
	return &attempt{ref: taskRef{j.id, index}, job: j, m: m, number: l.term<<tuning.FenceBits | l.nextTry, placedAt: l.now.Mono}
}

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
