package scheduler

import (
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placementState says when the next placement round is due.
type placementState struct {
	due         bool // something changed that a round may act on
	lastRoundAt time.Duration
	rounds      uint64
	backingOff  map[*job]bool // jobs that wait out a delay after failed attempts
}

// epsilon absorbs rounding in sums of amounts.
const epsilon = 1e-6

// idleRank is the lowest rank, that of work for what is free.
var idleRank = wire.PriorityOrder(wire.PriorityIdle)

// unplacedTasks is what was left unplaced of a job after a round.
type unplacedTasks struct {
	job   *job
	count int
}

// placementRound is one pass of placement over the waiting jobs.
type placementRound struct {
	withCapacity       []*machine           // usable, with room for the smallest that waits
	claimedCPUs        map[*machine]float64 // CPUs on their way to somebody through preemption
	preemptionSearches int                  // jobs for which preemption was tried, production apart
	idleTasks          int                  // tasks of idle work on machines
	totalCPUs          float64              // CPUs of the cluster

	agedShareCPUs float64 // CPUs that old jobs may take beside those they have
	gangReserved  bool    // room is being kept for a gang

	// reservedQuota is room under a team's limit that production waits for, and holds for how
	// many tasks of a job. Without this, lower work would take what it was stopped for, and
	// be stopped again.
	reservedQuota map[string]TeamQuota
	tasksReserved map[*job]int

	// unconfirmedCapacity is the largest room on unheard machines by type, zone and kind; it is
	// made when it is first asked for.
	unconfirmedCapacity map[offer]*capacitySlot
}

// newPlacementRound prepares a round over the queue.
func (s *Scheduler) newPlacementRound(queue []*job, total float64) *placementRound {
	r := &placementRound{claimedCPUs: map[*machine]float64{}, totalCPUs: total, reservedQuota: map[string]TeamQuota{}, tasksReserved: map[*job]int{}}
	for _, j := range s.cluster.jobs {
		if j.rank == idleRank {
			r.idleTasks += j.activeCount
		}
	}
	s.findCapacity(r, queue)
	r.agedShareCPUs = total * tuning.AgedShare
	for _, j := range queue {
		if j.standing.aged {
			r.agedShareCPUs -= float64(j.activeCount) * j.spec.CPUs
		}
	}
	return r
}

// reserveQuota keeps room under its team's limit for n tasks of a production job.
func (r *placementRound) reserveQuota(j *job, n int) {
	if j.rank > 0 {
		return
	}
	p := r.reservedQuota[j.spec.Team]
	p.CPUs += float64(n-r.tasksReserved[j]) * j.spec.CPUs
	p.GPUs += float64(n-r.tasksReserved[j]) * j.spec.GPUs
	r.reservedQuota[j.spec.Team], r.tasksReserved[j] = p, n
}

// jobPlacement is a job's turn in a round.
type jobPlacement struct {
	job       *job
	firstPass bool // its first turn in the round
	waiting   int  // tasks that wait
	hostable  int  // of these, what machines could take if all but production made way
	// budget is how many its team's limit allows, and tries how many are tried now.
	quotaHeadroom, limit int
	limitedByAgedShare   bool // fewer are tried than could be, for the share of old jobs
}

// placePending assigns waiting tasks to machines, in order, and says what was left.
func (s *Scheduler) placePending() []unplacedTasks {
	s.placement.due = false
	_, total := s.cpuUsage()
	queue := s.schedulingQueue(total)
	r := s.newPlacementRound(queue, total)
	var left []unplacedTasks
	turns := len(queue)
	for i := 0; i < len(queue); i++ {
		j := queue[i]
		t, ok := s.beginJob(r, j, i < turns)
		if !ok {
			continue
		}
		if j.spec.Gang() && t.limit < t.waiting {
			j.waiting.reason = "its team is at its limit"
			r.reserveQuota(j, t.hostable)
			continue
		}
		placed, rest := s.placeJob(r, t)
		// Not what no machine could take: its team's other work would wait with it,
		// beside room, for as long as there is no such machine.
		r.reserveQuota(j, max(0, t.hostable-placed))
		//mutation:aged-share-is-no-bound
		if t.limitedByAgedShare && rest == 0 {
			// The share of old jobs is what they get ahead of others, and no bound:
			// what these leave is theirs too. Else a task larger than the share
			// waited beside empty machines, and had none rented, for good.
			queue = append(queue, j)
			continue
		}
		switch {
		case rest > 0:
			j.waiting.reason = "no machine has room"
			//mutation:preempt-only-if-some-fit
			if t.firstPass && t.hostable > 0 {
				s.preemptFor(r, j, rest, math.Inf(1))
			}
			left = append(left, unplacedTasks{j, min(t.waiting, t.quotaHeadroom) - placed})
		case t.waiting > placed:
			j.waiting.reason = "its team is at its limit"
		default:
			j.waiting.reason = ""
		}
	}
	return left
}

// beginJob says how much of a job is tried; ok is false if nothing is for now.
func (s *Scheduler) beginJob(r *placementRound, j *job, first bool) (t jobPlacement, ok bool) {
	t = jobPlacement{job: j, firstPass: first, waiting: j.pendingTasks()}
	if t.waiting == 0 {
		return t, false
	}
	if j.waiting.since == 0 {
		j.waiting.since = s.now.Mono
	}
	if s.persister.mayBeInUnreadableRecord(j) {
		j.waiting.reason = "a record that may be about it cannot be read"
		return t, false
	}
	//mutation:reconciliation-holds-recovered-work
	if j.recovered && s.reconciler.HoldsRecoveredWork() {
		j.waiting.reason = "machines that may run it without a record have yet to report"
		return t, false
	}
	if s.likelyInvalid(j) && !j.spec.Gang() {
		// It is tried with one task at a time until one stays.
		if t.waiting = min(t.waiting, 1-j.activeCount); t.waiting <= 0 {
			j.waiting.reason = "it has failed on every machine so far"
			return t, false
		}
	}
	r.reserveQuota(j, 0) // its own room, in its second turn
	t.quotaHeadroom = s.quotaHeadroom(j, r.reservedQuota[j.spec.Team])
	t.hostable = t.waiting
	if j.rank == 0 || j.spec.Gang() {
		t.hostable = s.hostableTasks(j, t.waiting)
	}
	if t.quotaHeadroom < t.hostable {
		s.preemptWithinTeam(j, t.hostable)
	}
	if j.spec.Gang() && j.hasStoppingAttempt() {
		j.waiting.reason = "its gang is being stopped"
		return t, false
	}
	s.limitTasks(r, &t)
	return t, true
}

// limitTasks says how many tasks are tried: fewer than the team's limit allows for what is
// overdue or old.
func (s *Scheduler) limitTasks(r *placementRound, t *jobPlacement) {
	j := t.job
	t.limit = min(t.waiting, t.quotaHeadroom)
	switch {
	case j.spec.Gang() || t.limit == 0: // a gang runs as a whole or not at all
	case j.standing.prioritized:
		t.limit = min(t.limit, s.starvedTaskAllowance(j, r.totalCPUs))
	case j.standing.aged && t.firstPass:
		all := t.limit
		t.limit = min(t.limit, int(max(0, r.agedShareCPUs)/max(j.spec.CPUs, 0.1)))
		r.agedShareCPUs -= float64(t.limit) * j.spec.CPUs
		t.limitedByAgedShare = t.limit < all
	}
}

// placeJob places tasks, and says how many it did and how many found no room.
func (s *Scheduler) placeJob(r *placementRound, t jobPlacement) (placed, rest int) {
	j := t.job
	switch {
	case j.spec.Gang():
		if s.placeGang(r, j, t.waiting) {
			placed = t.waiting
		} else if j.standing.prioritized && !r.gangReserved {
			r.gangReserved = true
			s.reserveForGang(j, t.waiting)
		}
	case t.limit > 0:
		placed = s.placeTasks(r, j, t.limit)
	}
	s.logPlacement(j, placed)
	return placed, t.limit - placed
}

// findCapacity gathers the machines that have room for the smallest of the waiting
// tasks, so that a full cluster costs one look at each machine and not one for
// each job.
func (s *Scheduler) findCapacity(r *placementRound, queue []*job) {
	r.withCapacity = nil
	cpus, mem := math.Inf(1), math.Inf(1)
	for _, j := range queue {
		cpus, mem = min(cpus, j.spec.CPUs), min(mem, j.spec.MemoryGB)
	}
	if len(queue) == 0 {
		return
	}
	for _, m := range s.sortedMachines() {
		if m.machineSpec != nil && m.used.cpus+cpus <= m.machineSpec.CPUs+epsilon && m.used.memoryGB+mem <= m.machineSpec.MemoryGB+epsilon && s.schedulable(m) && !m.summarize().hasUnknownTask {
			r.withCapacity = append(r.withCapacity, m)
		}
	}
}

// placeTasks places up to n tasks of the job and says how many it did.
func (s *Scheduler) placeTasks(r *placementRound, j *job, n int) int {
	p := s.newMachinePicker(r, j)
	for placed := 0; placed < n; placed++ {
		m := p.best()
		//mutation:counter-check-in-round
		if m == nil || s.attemptNumbersLeft() == 0 || s.waitsForWarmMachine(r, j, m, p) {
			return placed
		}
		i, ok := j.takeFreeIndex()
		if !ok {
			return placed
		}
		s.assign(j, i, m)
		p.recordAssignment(m)
		s.log(true, "placed", "task", wire.TaskName(j.id, i), "machine", m.name, "warm", m.hasImage(j.spec.Image))
	}
	return n
}

// logPlacement logs a job's first placement and the one that leaves nothing
// waiting; those in between are at debug, task by task.
func (s *Scheduler) logPlacement(j *job, placed int) {
	if placed == 0 || j.placedOnce && j.pendingTasks() > 0 {
		return
	}
	j.placedOnce = true
	s.log(false, "job placed", "job", j.id, "tasks", placed, "active", j.activeCount, "waiting", j.pendingTasks(),
		"after_s", (s.now.Mono - j.createdAt).Seconds())
}

// quotaHeadroom is how many more tasks of the job its team's limit allows. All that
// may be on a machine counts, saving and unproven starts too.
func (s *Scheduler) quotaHeadroom(j *job, promised TeamQuota) int {
	team, ok := s.settings.Teams[j.spec.Team]
	if !ok {
		return 0
	}
	u := s.teamUsage(j.spec.Team)
	n := math.Inf(1)
	if j.spec.CPUs > 0 {
		n = min(n, math.Floor((team.CPUsMax-u.CPUs-promised.CPUs+epsilon)/j.spec.CPUs))
	}
	if j.spec.GPUs > 0 {
		n = min(n, math.Floor((team.GPUsMax-u.GPUs-promised.GPUs+epsilon)/j.spec.GPUs))
	}
	return int(max(0, min(n, wire.MaxTasks)))
}

// assign places a task. Nothing is sent before it is recorded.
func (s *Scheduler) assign(j *job, index int, m *machine) *attempt {
	a := s.newAttempt(j, index, m)
	s.attach(a)
	s.persister.queueAssignment(a)
	return a
}
