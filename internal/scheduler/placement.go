package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placementState tracks when the next placement round is due and which jobs wait out a retry
// backoff.
type placementState struct {
	*termContext

	due         bool          // a change since the last round may allow a placement
	lastRoundAt time.Duration // Mono time at which the last round began
	rounds      uint64        // rounds in this term
	backingOff  map[*job]bool // jobs that are not placed before their retry time
}

// backOff counts a failed attempt of a job and delays the job's next placement.
func (p *placementState) backOff(j *job) {
	j.retry.countFailure(p.now.Mono, p.settings.Policy)
	p.backingOff[j] = true
}

// unplacedTasks counts the tasks of a job that the team's quota allows but for which a round
// found no machine.
type unplacedTasks struct {
	job   *job
	count int
}

// placementRound is one pass over the jobs with tasks to place, in the order of the
// scheduling queue. For each job it computes how many tasks the team's quota allows, assigns
// them to the machines with the lowest placement cost, preempts attempts of other jobs where
// that is allowed, and records why the remaining tasks wait.
//
// It applies each decision immediately, because later decisions depend on it: an assignment
// uses capacity and quota, and preempting an attempt whose start was never sent frees both.
// It changes attempts and reservations only through assign, undoAssignments, preempt and
// machine.reserve.
type placementRound struct {
	*termContext
	cluster    *clusterState
	dispatcher *dispatcher
	persister  *persister
	reconciler *termReconciler
	scheduler  *Scheduler // stops and detaches attempts

	totalCPUs float64    // CPUs of the cluster
	machines  []*machine // machines that may have capacity for a task of the queue

	// State of the limits on what one round does.
	agedShareCPUs      float64 // CPUs that aged jobs may still take ahead of other jobs
	preemptionSearches int     // searches made so far for jobs below production priority
	gangReserved       bool    // machines were reserved for a gang in this round
	idlePreemptable    bool    // attempts of idle-priority jobs are on machines

	quotaReservations quotaReservations
	claimedCPUs       map[*machine]float64 // CPUs that are being freed on a machine and are claimed for jobs

	// unconfirmedCapacity is the largest free capacity, by offer, on machines whose tasks are
	// not confirmed by a heartbeat in this term. It is computed on first use. See
	// mayFitUnconfirmed.
	unconfirmedCapacity map[offer]*capacitySlot

	leftoverJobs []*job // aged jobs to process again in leftoverPass
	unplaced     []unplacedTasks
}

// placementPass is the pass of a round over its jobs.
type placementPass int

const (
	// mainPass processes all waiting jobs. Aged jobs are limited to their share of the cluster.
	mainPass placementPass = iota
	// leftoverPass processes aged jobs again, without that limit, on the capacity left by
	// mainPass.
	leftoverPass
)

// jobDemand holds how many tasks of a job wait and how many of them a round may place.
type jobDemand struct {
	job          *job
	pass         placementPass
	waitingTasks int // tasks that wait and may be tried now
	// maxAfterPreemption is how many of the waiting tasks would fit on machines after
	// preemption. It is computed for production jobs and gangs; for others, it is waitingTasks.
	// See maxTasksAfterPreemption.
	maxAfterPreemption int
	quotaHeadroom      int // tasks that the team's quota limit allows
	limit              int // tasks to place in this pass

	limitedByAgedShare bool // the share of aged jobs has lowered limit
}

// placePending runs a placement round and returns the tasks for which it found no machine.
func (s *Scheduler) placePending() []unplacedTasks {
	s.placement.due = false
	_, totalCPUs := s.cluster.cpuUsage()
	queue := s.cluster.schedulingQueue(totalCPUs)
	round := s.newPlacementRound(queue, totalCPUs)
	for _, j := range queue {
		round.processJob(j, mainPass)
	}
	for _, j := range round.leftoverJobs {
		round.processJob(j, leftoverPass)
	}
	return round.unplaced
}

// newPlacementRound prepares a round over the jobs of the queue.
func (s *Scheduler) newPlacementRound(queue []*job, totalCPUs float64) *placementRound {
	r := &placementRound{
		termContext: s.termContext, cluster: &s.cluster, dispatcher: &s.dispatcher, persister: &s.persister, reconciler: &s.reconciler, scheduler: s,
		totalCPUs: totalCPUs, machines: s.cluster.machinesWithCapacity(queue),
		agedShareCPUs:     totalCPUs * tuning.AgedShare,
		quotaReservations: newQuotaReservations(), claimedCPUs: map[*machine]float64{},
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

// processJob places the waiting tasks of one job as far as possible, or records why they wait.
func (r *placementRound) processJob(j *job, pass placementPass) {
	if j.pendingTasks() == 0 {
		return
	}
	if j.waiting.since == 0 {
		j.waiting.since = r.now.Mono
	}
	if reason := r.holdReason(j); reason != NotWaiting {
		j.waiting.reason = reason
		return
	}
	demand := r.computeDemand(j, pass)
	if j.spec.Gang() && j.hasStoppingAttempt() {
		j.waiting.reason = WaitForGangStop
		return
	}
	if j.spec.Gang() && demand.limit < demand.waitingTasks {
		j.waiting.reason = WaitForQuota
		r.quotaReservations.set(j, demand.maxAfterPreemption)
		return
	}
	r.place(demand)
}

// holdReason returns why no task of the job may be placed regardless of free capacity and
// quota, or NotWaiting.
func (r *placementRound) holdReason(j *job) WaitReason {
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

// placeableTasks returns how many waiting tasks of the job may be tried now. A job that is
// likely invalid runs one task at a time.
func (r *placementRound) placeableTasks(j *job) int {
	waiting := j.pendingTasks()
	if !j.spec.Gang() && j.likelyInvalid(r.now.Mono) {
		return min(waiting, 1-j.activeCount)
	}
	return waiting
}

// computeDemand determines how many tasks of the job may be placed. If the team's quota does
// not allow all tasks of a production job that would fit on machines, it preempts lower-priority
// attempts of the team.
func (r *placementRound) computeDemand(j *job, pass placementPass) jobDemand {
	d := jobDemand{job: j, pass: pass, waitingTasks: r.placeableTasks(j)}
	r.quotaReservations.set(j, 0) // the job may use the quota that it has reserved
	d.quotaHeadroom = r.cluster.quotaHeadroom(j, r.quotaReservations.byTeam[j.spec.Team])
	d.maxAfterPreemption = d.waitingTasks
	if j.isProduction() || j.spec.Gang() {
		d.maxAfterPreemption = r.maxTasksAfterPreemption(j, d.waitingTasks)
	}
	if d.quotaHeadroom < d.maxAfterPreemption {
		r.preemptWithinTeam(j, d.maxAfterPreemption)
	}
	d.limit = min(d.waitingTasks, d.quotaHeadroom)
	r.limitStarvedAndAged(&d)
	return d
}

// limitStarvedAndAged lowers the limit of a starved or aged job, which the queue has put ahead
// of other jobs. Gangs are exempt, since all members of a gang are placed together.
func (r *placementRound) limitStarvedAndAged(d *jobDemand) {
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

// place assigns up to limit tasks of the job. For the remaining tasks it reserves quota,
// preempts other attempts where allowed, and records why they wait.
func (r *placementRound) place(d jobDemand) {
	j := d.job
	placed := r.assignTasks(d)
	r.logPlacement(j, placed)
	// After a short wait (see maxTasksAfterPreemption), quota is reserved only for tasks that
	// could run on existing machines. Otherwise the team's other jobs would wait despite free
	// capacity until this job gets a machine.
	r.quotaReservations.set(j, max(0, d.maxAfterPreemption-placed))
	withoutMachine := d.limit - placed
	//mutation:aged-share-is-no-bound
	if d.limitedByAgedShare && withoutMachine == 0 {
		// The share limits what aged jobs get ahead of other jobs, not their total. Otherwise
		// a task larger than the share would never run, even on empty machines.
		r.leftoverJobs = append(r.leftoverJobs, j)
		return
	}
	switch {
	case withoutMachine > 0:
		j.waiting.reason = WaitForCapacity
		//mutation:preempt-only-if-some-fit
		if d.pass == mainPass && d.maxAfterPreemption > 0 {
			r.preemptFor(j, withoutMachine)
		}
		r.unplaced = append(r.unplaced, unplacedTasks{j, min(d.waitingTasks, d.quotaHeadroom) - placed})
	case d.waitingTasks > placed:
		j.waiting.reason = WaitForQuota
	default:
		j.waiting.reason = NotWaiting
	}
}

// assignTasks assigns up to limit tasks of the job and returns how many it assigned. A gang is
// assigned as a whole or not at all.
func (r *placementRound) assignTasks(d jobDemand) int {
	j := d.job
	if !j.spec.Gang() {
		return r.assignIndependentTasks(j, d.limit)
	}
	if r.placeGang(j, d.waitingTasks) {
		return d.waitingTasks
	}
	if j.queueStatus.prioritized && !r.gangReserved {
		r.gangReserved = true
		r.reserveForGang(j, d.waitingTasks)
	}
	return 0
}

// assignIndependentTasks assigns up to n tasks of a job that is not a gang and returns how many
// it assigned.
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

// assign creates an attempt of a task on the machine. The caller queues the assignment to be
// recorded; the start is sent only after that.
func (r *placementRound) assign(j *job, index int, m *machine) *attempt {
	a := r.dispatcher.newAttempt(j, index, m)
	r.cluster.attach(a)
	return a
}

// waitsForWarmMachine reports whether a task of a production service should wait for capacity
// on a machine that has its image instead of being placed on m, which would have to fetch the
// image. It preempts lower-priority attempts on such a machine: a stop takes tens of
// milliseconds, a fetch takes seconds.
func (r *placementRound) waitsForWarmMachine(j *job, m *machine, picker *machinePicker) bool {
	if !j.service || !j.isProduction() || m.hasImage(j.spec.Image) || m.fetchSeconds(j) < tuning.MinFetchForPreemptionS {
		return false
	}
	if r.now.Mono-j.waiting.since > tuning.MaxWarmCapacityWait {
		return false
	}
	// Only machines that cost less than m are considered. The picker would not choose a machine
	// that costs more, so every round would preempt attempts there without placing the task.
	return r.preemptOnWarmMachine(j, picker.cost(m))
}

// logPlacement logs the first placement of a job in this term and each placement that leaves no
// task waiting. The placements in between appear only as debug messages for each task.
func (r *placementRound) logPlacement(j *job, placed int) {
	if placed == 0 || j.placedOnce && j.pendingTasks() > 0 {
		return
	}
	j.placedOnce = true
	r.logInfo("job placed", "job", j.id, "tasks", placed, "active", j.activeCount, "waiting", j.pendingTasks(),
		"after_s", (r.now.Mono - j.createdAt).Seconds())
}
