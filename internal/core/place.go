package core

import (
	"math"

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

// round is one pass of placement over the waiting jobs.
type round struct {
	roomy   []*machine           // usable, with room for the smallest that waits
	claimed map[*machine]float64 // CPUs on their way to somebody through preemption
	sought  int                  // jobs for which preemption was tried, production apart
	idle    int                  // tasks of idle work on machines
	total   float64              // CPUs of the cluster

	oldRoom  float64 // CPUs that old jobs may take beside those they have
	reserved bool    // room is being kept for a gang

	// promised is room under a team's limit that production waits for, and holds for how
	// many tasks of a job. Without this, lower work would take what it was stopped for, and
	// be stopped again.
	promised map[string]Team
	holds    map[*job]int

	// unheard is the largest room on unheard machines by type, zone and kind; it is
	// made when it is first asked for.
	unheard map[offer]*slot
}

// newRound prepares a round over the queue.
func (l *Leader) newRound(queue []*job, total float64) *round {
	r := &round{claimed: map[*machine]float64{}, total: total, promised: map[string]Team{}, holds: map[*job]int{}}
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
	return r
}

// promise keeps room under its team's limit for n tasks of a production job.
func (r *round) promise(j *job, n int) {
	if j.rank > 0 {
		return
	}
	p := r.promised[j.spec.Team]
	p.CPUs += float64(n-r.holds[j]) * j.spec.CPUs
	p.GPUs += float64(n-r.holds[j]) * j.spec.GPUs
	r.promised[j.spec.Team], r.holds[j] = p, n
}

// turn is a job's turn in a round.
type turn struct {
	j     *job
	first bool // its first turn in the round
	n     int  // tasks that wait
	could int  // of these, what machines could take if all but production made way
	// budget is how many its team's limit allows, and tries how many are tried now.
	budget, tries int
	bounded       bool // fewer are tried than could be, for the share of old jobs
}

// place assigns waiting tasks to machines, in order, and says what was left.
func (l *Leader) place() []unplaced {
	l.dirtyPlace = false
	_, total := l.capacity()
	queue := l.queue(total)
	r := l.newRound(queue, total)
	var left []unplaced
	turns := len(queue)
	for i := 0; i < len(queue); i++ {
		j := queue[i]
		t, ok := l.beginTurn(r, j, i < turns)
		if !ok {
			continue
		}
		if j.spec.Gang() && t.tries < t.n {
			j.why = "its team is at its limit"
			r.promise(j, t.could)
			continue
		}
		placed, rest := l.takeTurn(r, t)
		// Not what no machine could take: its team's other work would wait with it,
		// beside room, for as long as there is no such machine.
		r.promise(j, max(0, t.could-placed))
		//mutation:aged-share-is-no-bound
		if t.bounded && rest == 0 {
			// The share of old jobs is what they get ahead of others, and no bound:
			// what these leave is theirs too. Else a task larger than the share
			// waited beside empty machines, and had none rented, for good.
			queue = append(queue, j)
			continue
		}
		switch {
		case rest > 0:
			j.why = "no machine has room"
			//mutation:preempt-only-if-some-fit
			if t.first && t.could > 0 {
				l.preempt(r, j, rest, math.Inf(1))
			}
			left = append(left, unplaced{j, min(t.n, t.budget) - placed})
		case t.n > placed:
			j.why = "its team is at its limit"
		default:
			j.why = ""
		}
	}
	return left
}

// beginTurn says how much of a job is tried; ok is false if nothing is for now.
func (l *Leader) beginTurn(r *round, j *job, first bool) (t turn, ok bool) {
	t = turn{j: j, first: first, n: j.pending()}
	if t.n == 0 {
		return t, false
	}
	if j.waitSince == 0 {
		j.waitSince = l.now.Mono
	}
	if l.inUnreadableRecord(j) {
		j.why = "a record that may be about it cannot be read"
		return t, false
	}
	//mutation:reconciliation-holds-recovered-work
	if j.recovered && l.recovery.HoldsRecoveredWork() {
		j.why = "machines that may run it without a record have yet to report"
		return t, false
	}
	if l.likelyFaulty(j) && !j.spec.Gang() {
		// It is tried with one task at a time until one stays.
		if t.n = min(t.n, 1-j.nActive); t.n <= 0 {
			j.why = "it has failed on every machine so far"
			return t, false
		}
	}
	r.promise(j, 0) // its own room, in its second turn
	t.budget = l.teamRoom(j, r.promised[j.spec.Team])
	t.could = t.n
	if j.rank == 0 || j.spec.Gang() {
		t.could = l.hostable(j, t.n)
	}
	if t.budget < t.could {
		l.yieldTeam(j, t.could)
	}
	if j.spec.Gang() && j.stopping() {
		j.why = "its gang is being stopped"
		return t, false
	}
	l.bound(r, &t)
	return t, true
}

// bound says how many tasks are tried: fewer than the team's limit allows for what is
// overdue or old.
func (l *Leader) bound(r *round, t *turn) {
	j := t.j
	t.tries = min(t.n, t.budget)
	switch {
	case j.spec.Gang() || t.tries == 0: // a gang runs as a whole or not at all
	case j.overdue:
		t.tries = min(t.tries, l.beginWith(j, r.total))
	case j.old && t.first:
		all := t.tries
		t.tries = min(t.tries, int(max(0, r.oldRoom)/max(j.spec.CPUs, 0.1)))
		r.oldRoom -= float64(t.tries) * j.spec.CPUs
		t.bounded = t.tries < all
	}
}

// takeTurn places tasks, and says how many it did and how many found no room.
func (l *Leader) takeTurn(r *round, t turn) (placed, rest int) {
	j := t.j
	switch {
	case j.spec.Gang():
		if l.placeGang(r, j, t.n) {
			placed = t.n
		} else if j.overdue && !r.reserved {
			r.reserved = true
			l.reserve(j, t.n)
		}
	case t.tries > 0:
		placed = l.placeTasks(r, j, t.tries)
	}
	l.tellPlaced(j, placed)
	return placed, t.tries - placed
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
		//mutation:counter-check-in-round
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

// enter places a task. Nothing is sent before it is recorded.
func (l *Leader) enter(j *job, index int, m *machine) *attempt {
	a := l.newAttempt(j, index, m)
	l.attach(a)
	l.record(a)
	return a
}
