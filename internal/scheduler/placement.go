package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placementState says when the next placement round is due. A job that failed is in
// backingOff for as long as its retry time keeps it from placement.
type placementState struct {
	*termContext

	due         bool // something changed that a round may act on
	lastRoundAt time.Duration
	rounds      uint64
	backingOff  map[*job]bool // jobs that wait out a delay after failed attempts
}

// backOff keeps a job that has failed once more from placement for a while.
func (p *placementState) backOff(j *job) {
	j.retry.countFailure(p.now.Mono, p.settings.Policy)
	p.backingOff[j] = true
}

// unplacedTasks is how many tasks of a job found no machine in a round.
type unplacedTasks struct {
	job   *job
	count int
}

// placementRound is one pass over the jobs with tasks to place, in the order of the
// scheduling queue. For each job it finds out how many tasks its team's quota allows,
// assigns them to the machines with the least cost, preempts other work where that is
// allowed, and notes why the rest waits.
//
// It applies each decision at once, since the next one depends on it: an assignment takes
// capacity and quota, and a preempted attempt that was never sent frees both. It changes
// the cluster only through assign, undoAssignments, preempt and machine.reserve.
type placementRound struct {
	*termContext
	cluster    *clusterState
	dispatcher *dispatcher
	persister  *persister
	reconciler *termReconciler
	scheduler  *Scheduler // sees to what follows from stops and ends of attempts

	totalCPUs float64    // of the cluster
	machines  []*machine // with capacity for the smallest task that waits

	// Limits on what the round does, and what of them is left.
	agedShareCPUs      float64 // that aged jobs may take ahead of others
	preemptionSearches int     // those for production apart
	gangReserved       bool    // machines were reserved for a gang
	idlePreemptable    bool    // idle work is on machines

	quota       quotaReservations
	claimedCPUs map[*machine]float64 // that preemption frees and that were promised to a job

	// unconfirmedCapacity is the largest free capacity on machines without a heartbeat in
	// this term; computed when it is first needed. See mayFitUnconfirmed.
	unconfirmedCapacity map[offer]*capacitySlot

	secondPass []*job // aged jobs that get what others left
	unplaced   []unplacedTasks
}

// placementPass tells the first visit to a job in a round from the second.
type placementPass int

const (
	// mainPass visits all waiting jobs; aged ones get their share of the cluster.
	mainPass placementPass = iota
	// leftoverPass visits aged jobs again, for the capacity that others have left.
	leftoverPass
)

// jobDemand is what a round may do for a job.
type jobDemand struct {
	job           *job
	pass          placementPass
	waiting       int // tasks to place
	hostable      int // of these, the most that machines could take if lower work made way
	quotaHeadroom int // tasks that the team's limit allows
	limit         int // tasks to place now

	limitedByAgedShare bool // the limit is lower for the share of aged jobs
}

// placePending assigns waiting tasks to machines, and gives those that found none.
func (s *Scheduler) placePending() []unplacedTasks {
	s.placement.due = false
	_, totalCPUs := s.cluster.cpuUsage()
	queue := s.cluster.schedulingQueue(totalCPUs)
	round := s.newPlacementRound(queue, totalCPUs)
	for _, j := range queue {
		round.visit(j, mainPass)
	}
	for _, j := range round.secondPass {
		round.visit(j, leftoverPass)
	}
	return round.unplaced
}

// newPlacementRound prepares a round over the queue.
func (s *Scheduler) newPlacementRound(queue []*job, totalCPUs float64) *placementRound {
	r := &placementRound{
		termContext: s.termContext, cluster: &s.cluster, dispatcher: &s.dispatcher, persister: &s.persister, reconciler: &s.reconciler, scheduler: s,
		totalCPUs: totalCPUs, machines: s.cluster.machinesWithCapacity(queue),
		agedShareCPUs: totalCPUs * tuning.AgedShare,
		quota:         newQuotaReservations(), claimedCPUs: map[*machine]float64{},
	}
	for _, j := range s.cluster.jobs {
		if j.rank == idleRank && j.activeCount > 0 {
			r.idlePreemptable = true
		}
	}
	for _, j := range queue {
		if j.queueStatus.aged {
			r.agedShareCPUs -= float64(j.activeCount) * j.spec.CPUs
		}
	}
	return r
}

// visit does for one job what can be done now.
func (r *placementRound) visit(j *job, pass placementPass) {
	if j.pendingTasks() == 0 {
		return
	}
	if j.waiting.since == 0 {
		j.waiting.since = r.now.Mono
	}
	if reason := r.heldBack(j); reason != NotWaiting {
		j.waiting.reason = reason
		return
	}
	demand := r.newDemand(j, pass)
	if j.spec.Gang() && j.hasStoppingAttempt() {
		j.waiting.reason = WaitForGangStop
		return
	}
	if j.spec.Gang() && demand.limit < demand.waiting {
		j.waiting.reason = WaitForQuota
		r.quota.set(j, demand.hostable)
		return
	}
	r.place(demand)
}

// heldBack is why nothing of the job may be placed, whatever machines and quota there are.
func (r *placementRound) heldBack(j *job) WaitReason {
	if r.persister.mayBeInUnreadableRecord(j) {
		return WaitForRecords
	}
	//mutation:reconciliation-holds-recovered-work
	if j.recovered && r.reconciler.HoldsRecoveredWork() {
		return WaitForHeartbeats
	}
	if r.placeableTasks(j) <= 0 {
		return WaitFailedEverywhere
	}
	return NotWaiting
}

// placeableTasks is how many tasks of the job wait and may be tried. A job that was likely
// submitted with a mistake is tried with one task at a time.
func (r *placementRound) placeableTasks(j *job) int {
	waiting := j.pendingTasks()
	if !j.spec.Gang() && j.likelyInvalid(r.now.Mono) {
		return min(waiting, 1-j.activeCount)
	}
	return waiting
}

// newDemand finds out how many tasks of the job may be placed. A production job for which
// its team's quota does not suffice preempts other work of its team.
func (r *placementRound) newDemand(j *job, pass placementPass) jobDemand {
	d := jobDemand{job: j, pass: pass, waiting: r.placeableTasks(j)}
	r.quota.set(j, 0) // what it reserved for itself is its own to use
	d.quotaHeadroom = r.cluster.quotaHeadroom(j, r.quota.byTeam[j.spec.Team])
	d.hostable = d.waiting
	if j.isProduction() || j.spec.Gang() {
		d.hostable = r.hostableTasks(j, d.waiting)
	}
	if d.quotaHeadroom < d.hostable {
		r.preemptWithinTeam(j, d.hostable)
	}
	d.limit = min(d.waiting, d.quotaHeadroom)
	r.limitAheadOfOthers(&d)
	return d
}

// limitAheadOfOthers lowers the limit of a job that the queue has put ahead of others. A gang
// runs as a whole or not at all.
func (r *placementRound) limitAheadOfOthers(d *jobDemand) {
	j := d.job
	switch {
	case j.spec.Gang() || d.limit == 0:
	case j.queueStatus.prioritized:
		d.limit = min(d.limit, j.starvedTaskAllowance(r.totalCPUs))
	case j.queueStatus.aged && d.pass == mainPass:
		share := int(max(0, r.agedShareCPUs) / max(j.spec.CPUs, 0.1))
		d.limitedByAgedShare = share < d.limit
		d.limit = min(d.limit, share)
		r.agedShareCPUs -= float64(d.limit) * j.spec.CPUs
	}
}

// place assigns up to the limit of the job's tasks, and sees to those that are left.
func (r *placementRound) place(d jobDemand) {
	j := d.job
	placed := r.assignTasks(d)
	r.logPlacement(j, placed)
	// Only for tasks that machines could take: else the team's other work would wait beside
	// free capacity for as long as there is no machine for this job.
	r.quota.set(j, max(0, d.hostable-placed))
	withoutMachine := d.limit - placed
	//mutation:aged-share-is-no-bound
	if d.limitedByAgedShare && withoutMachine == 0 {
		// The share is what aged jobs get ahead of others, and no upper bound. Otherwise a
		// task larger than the share would wait beside empty machines for ever.
		r.secondPass = append(r.secondPass, j)
		return
	}
	switch {
	case withoutMachine > 0:
		j.waiting.reason = WaitForCapacity
		//mutation:preempt-only-if-some-fit
		if d.pass == mainPass && d.hostable > 0 {
			r.preemptFor(j, withoutMachine)
		}
		r.unplaced = append(r.unplaced, unplacedTasks{j, min(d.waiting, d.quotaHeadroom) - placed})
	case d.waiting > placed:
		j.waiting.reason = WaitForQuota
	default:
		j.waiting.reason = NotWaiting
	}
}

// assignTasks assigns up to the limit of the job's tasks, and gives how many it did.
func (r *placementRound) assignTasks(d jobDemand) int {
	j := d.job
	if !j.spec.Gang() {
		return r.assignIndependentTasks(j, d.limit)
	}
	if r.placeGang(j, d.waiting) {
		return d.waiting
	}
	if j.queueStatus.prioritized && !r.gangReserved {
		r.gangReserved = true
		r.reserveForGang(j, d.waiting)
	}
	return 0
}

// assignIndependentTasks assigns up to n tasks of the job, each for itself, and gives how
// many it did.
func (r *placementRound) assignIndependentTasks(j *job, n int) int {
	if n == 0 {
		return 0
	}
	picker := r.newMachinePicker(j)
	for placed := range n {
		m := picker.best()
		//mutation:counter-check-in-round
		if m == nil || r.dispatcher.attemptNumbersLeft() == 0 || r.waitsForWarmMachine(j, m, picker) {
			return placed
		}
		index, ok := j.takeFreeIndex()
		if !ok {
			return placed
		}
		a := r.assign(j, index, m)
		r.persister.queueAssignment(a)
		picker.recordAssignment(m)
		r.logDebug("task placed", "task", wire.TaskName(j.id, index), "attempt", a.number, "machine", m.name, "has_image", m.hasImage(j.spec.Image))
	}
	return n
}

func (r *placementRound) newMachinePicker(j *job) *machinePicker {
	return r.cluster.newMachinePicker(j, r.machines)
}

// assign makes a new attempt of a task on the machine. No start is sent before the
// assignment is recorded, for which it has to be queued.
func (r *placementRound) assign(j *job, index int, m *machine) *attempt {
	a := r.dispatcher.newAttempt(j, index, m)
	r.cluster.attach(a)
	return a
}

// waitsForWarmMachine reports whether a production service had better wait a moment for
// capacity on a machine that has its image than fetch it on m. It preempts lower work
// there: that takes some tens of milliseconds, and a fetch takes seconds.
func (r *placementRound) waitsForWarmMachine(j *job, m *machine, picker *machinePicker) bool {
	if !j.service || !j.isProduction() || m.hasImage(j.spec.Image) || m.fetchSeconds(j) < tuning.MinFetchForPreemptionS {
		return false
	}
	if r.now.Mono-j.waiting.since > tuning.MaxWarmCapacityWait {
		return false
	}
	// Only where the task would then really go, or capacity would be freed in vain in round
	// after round.
	return r.preemptOnWarmMachine(j, picker.cost(m))
}

// logPlacement logs a job's first placement and the one that leaves nothing waiting; those
// in between are logged for debugging, task by task.
func (r *placementRound) logPlacement(j *job, placed int) {
	if placed == 0 || j.placedOnce && j.pendingTasks() > 0 {
		return
	}
	j.placedOnce = true
	r.logInfo("job placed", "job", j.id, "tasks", placed, "active", j.activeCount, "waiting", j.pendingTasks(),
		"after_s", (r.now.Mono - j.createdAt).Seconds())
}
