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
