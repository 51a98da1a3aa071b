package scheduler

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// reconcileConfig is what the term's recovery depends on.
func (s Settings) reconcileConfig() reconcile.Config {
	return reconcile.Config{
		//mutation:reconciliation-enabled
		Enabled: s.Policy.ReconcileRestarts, Cold: s.ColdRestart, HeartbeatInterval: s.HeartbeatInterval, WorkerLease: s.WorkerLease,
		CollectTimeout: s.Policy.ReconcileWait, CloudRate: s.CloudRate, Trace: s.TraceOperations,
	}
}

// ControllerSurvived tells the leader that a controller was up when the one before it ended.
func (s *Scheduler) ControllerSurvived() { s.reconciler.ControllerSurvived() }

// ReconciliationStatus describes the term's recovery.
func (s *Scheduler) ReconciliationStatus(now Now) reconcile.Status {
	return s.reconciler.Status(now.Mono)
}

// ReconciliationDifferences lists what the recovery found, of a class or of all for None.
func (s *Scheduler) ReconciliationDifferences(class reconcile.Class, skip, limit int) []reconcile.DifferenceView {
	return s.reconciler.Differences(class, skip, limit)
}

// PlacementRounds is how many rounds of placement there were in this term.
func (s *Scheduler) PlacementRounds() uint64 { return s.placement.rounds }

// takeReconciliationEvents moves the recovery's events into the effects.
func (s *Scheduler) takeReconciliationEvents() {
	events := s.reconciler.TakeEvents()
	if len(events) == 0 {
		return
	}
	s.effects.Reconciliation = append(s.effects.Reconciliation, events...)
	for _, e := range events {
		if e.Kind == reconcile.PhaseEntered {
			status := s.reconciler.Status(e.At)
			s.log(false, "recovery", "phase", e.Phase, "after_s", status.AgeS, "machines", status.Machines, "unheard", status.Unconfirmed,
				"unproven", status.Unproven, "differences", status.Differences)
		}
	}
}

// countOperation counts the first order of its kind about an attempt.
func (s *Scheduler) countOperation(kind reconcile.OperationKind, a *attempt) {
	if s.reconciler.Phase() == reconcile.Settled {
		return
	}
	s.reconciler.CountOperation(s.now.Mono, reconcile.Operation{Kind: kind, Machine: a.machine.name, Task: wire.TaskName(a.ref.jobID, a.ref.index), Number: a.number})
}

// evidenceFor gathers what is known of an attempt from before the term.
func (s *Scheduler) evidenceFor(a *attempt, observation reconcile.Observation) reconcile.Evidence {
	e := reconcile.Evidence{Observation: observation, Recorded: a.reconciliation.class == reconcile.MissingUnproven}
	j := a.job
	if j == nil {
		return e
	}
	//mutation:recovered-attempt-of-cancelled-job
	e.JobIsLive = !j.cancelled && !j.archived
	//mutation:recovered-attempt-of-done-task
	e.TaskIsDone = j.progress.done.Has(a.ref.index)
	// Of two recorded attempts of a task, the first to be reported is the one that
	// stays. A third, without a record, is stopped whatever became of these.
	//mutation:recovered-attempt-duplicate
	e.HasDuplicate = s.hasDuplicate(a, e.Recorded && observation == reconcile.Active)
	if !e.Recorded && observation == reconcile.Active {
		//mutation:unrecorded-attempt-placement
		e.MachineAllowed = s.mayAdoptOn(j, a.machine)
		//mutation:unrecorded-attempt-over-limit
		e.OverQuota = s.quotaHeadroom(j, TeamQuota{}) < 1
	}
	return e
}

// hasDuplicate reports whether another attempt of the task may be on a machine; with
// reported, whether one is for certain.
func (s *Scheduler) hasDuplicate(a *attempt, reported bool) bool {
	for _, other := range a.job.active[a.ref.index] {
		//mutation:first-reported-duplicate-stays
		if other != a && (!reported || other.start.acknowledged && !other.stop.requested) {
			return true
		}
	}
	return false
}

// mayAdoptOn reports whether the job allows the machine beside its other tasks.
func (s *Scheduler) mayAdoptOn(j *job, m *machine) bool {
	return j.allowsMachine(m.machineType, m.zone, m.spot) && j.allowsZone(j.attemptsByZone(), m.zone)
}

// classifyRecorded takes the first sighting of an attempt that a record named.
func (s *Scheduler) classifyRecorded(a *attempt, observation reconcile.Observation) {
	if a.reconciliation.class != reconcile.MissingUnproven {
		return
	}
	verdict := reconcile.Classify(s.evidenceFor(a, observation))
	if verdict.Class == reconcile.MissingUnproven {
		return
	}
	if verdict.Class == reconcile.Confirmed {
		a.reconciliation.class = reconcile.Confirmed
		s.reconciler.ConfirmAttempt(s.now.Mono, a.machine.name)
		return
	}
	s.reportDifference(a, verdict, true)
	if verdict.Action == reconcile.Stop {
		s.stopAttempt(a, false, verdict.Class.String())
	}
}

// confirmActive takes the word of a report that an attempt is active. Only one under our token
// tells the recovery of it: a copy of an earlier one may list what is long gone. The
// attempt counts all the same, from when it is first seen.
func (s *Scheduler) confirmActive(a *attempt) {
	if !a.machine.heartbeats.underTerm {
		return
	}
	s.classifyRecorded(a, reconcile.Active)
	s.reportDeferredVerdict(a)
}

// deferVerdict keeps the verdict on an unexpected attempt until it is confirmed, or has ended.
func (s *Scheduler) deferVerdict(a *attempt, verdict reconcile.Verdict) {
	a.reconciliation.deferredVerdict = verdict
	if s.fromEarlierTerm(a.number) {
		s.reconciler.ExpectOperations(s.newDifference(a.machine, a.ref, a.number, verdict, false))
	}
}

// reportDeferredVerdict tells the recovery of an unexpected attempt.
func (s *Scheduler) reportDeferredVerdict(a *attempt) {
	if a.reconciliation.deferredVerdict.Class != reconcile.None {
		verdict := a.reconciliation.deferredVerdict
		a.reconciliation.deferredVerdict = reconcile.Verdict{}
		s.reportDifference(a, verdict, false)
	}
}

// stopObsoleteAttempts stops what the records alone show to be over: attempts whose job has
// ended, or has a cancellation that the last leader did not see through. No watch tells of
// these again.
func (s *Scheduler) stopObsoleteAttempts() {
	sortAttempts(s.cluster.obsoleteAttempts)
	for _, a := range s.cluster.obsoleteAttempts {
		if a.machine.tasks[a.ref] == a {
			s.classifyRecorded(a, reconcile.Unreported)
		}
	}
	s.cluster.obsoleteAttempts = nil
}

// reportDifference hands a verdict to the recovery, if the attempt is from before the term.
func (s *Scheduler) reportDifference(a *attempt, verdict reconcile.Verdict, recorded bool) {
	if !s.fromEarlierTerm(a.number) {
		return
	}
	a.reconciliation.class = verdict.Class
	if verdict.Action == reconcile.Stop {
		a.reconciliation.awaitsStop = true
		s.reconciler.AwaitStop()
	}
	s.reconciler.AddDifference(s.now.Mono, s.newDifference(a.machine, a.ref, a.number, verdict, recorded))
}

func (s *Scheduler) newDifference(m *machine, ref taskRef, number uint64, verdict reconcile.Verdict, recorded bool) reconcile.Difference {
	return reconcile.Difference{
		Attempt: reconcile.Attempt{Machine: m.name, Task: wire.TaskName(ref.jobID, ref.index), Number: number},
		Class:   verdict.Class, Action: verdict.Action, Recorded: recorded,
	}
}

// fromEarlierTerm reports whether an attempt's number is of a term before this one.
func (s *Scheduler) fromEarlierTerm(number uint64) bool { return number>>tuning.FencingBits != s.term }

// countStopProven takes note that an attempt is gone which a difference had to stop.
func (s *Scheduler) countStopProven(a *attempt) {
	if a.reconciliation.awaitsStop {
		a.reconciliation.awaitsStop = false
		s.reconciler.StopProven(s.now.Mono)
	}
}

// classifyUnknownExit takes a listed end of an attempt that is not in our picture. What is
// neither recorded nor needed is no difference: it only has to be forgotten.
func (s *Scheduler) classifyUnknownExit(m *machine, ref taskRef, report *wire.TaskStatus) {
	if report.Cause != wire.CauseDone || !s.fromEarlierTerm(report.Attempt) {
		return
	}
	a := &attempt{ref: ref, machine: m, number: report.Attempt, start: startState{acknowledged: true}}
	if j := s.cluster.jobs[ref.jobID]; j != nil && ref.index < j.spec.Tasks && !j.service {
		a.job = j
	}
	verdict := reconcile.Classify(s.evidenceFor(a, reconcile.Completed))
	if verdict.Action == reconcile.RecordDone {
		s.reconciler.AddDifference(s.now.Mono, s.newDifference(m, ref, report.Attempt, verdict, false))
	}
}

// reportSuperseded takes an attempt that runs where another attempt of its task is to
// start.
func (s *Scheduler) reportSuperseded(m *machine, ref taskRef, report *wire.TaskStatus) {
	if s.fromEarlierTerm(report.Attempt) {
		verdict := reconcile.Verdict{Class: reconcile.Superseded, Action: reconcile.Stop}
		s.reconciler.AddDifference(s.now.Mono, s.newDifference(m, ref, report.Attempt, verdict, false))
	}
}

// keepAssignmentUntilSaved keeps a completed attempt in its records until its task is durably
// done. Without a record, the next leader would take the task for one that waits and
// start it anew before the machine has reported.
func (s *Scheduler) keepAssignmentUntilSaved(a *attempt) {
	j := a.job
	if j == nil || j.service || j.archived || len(a.assignment.batches) == 0 || a.ref.index >= j.spec.Tasks || j.progress.saved.Has(a.ref.index) {
		return
	}
	if j.unsavedAttempts == nil {
		j.unsavedAttempts = map[int]*attempt{}
	}
	if j.unsavedAttempts[a.ref.index] == nil {
		j.unsavedAttempts[a.ref.index] = a
	}
}

// awaitsDurableCompletion reports whether the attempt has completed and is kept in its records.
func (a *attempt) awaitsDurableCompletion() bool {
	return a.job != nil && a.job.unsavedAttempts[a.ref.index] == a
}

// dropSavedAssignments lets go of the records of tasks that are durably done, or whose job has
// ended.
func (s *Scheduler) dropSavedAssignments(j *job) {
	for index, a := range j.unsavedAttempts {
		if !j.archived && !j.progress.saved.Has(index) {
			continue
		}
		delete(j.unsavedAttempts, index)
		s.removeFromBatches(a)
	}
}

// removeFromBatches takes an attempt out of all its batches.
func (s *Scheduler) removeFromBatches(a *attempt) {
	for _, b := range a.assignment.batches {
		s.persister.removeFromBatch(b, a)
	}
	a.assignment.batches = nil
}

// eachUnconfirmedMachine visits the machines that may turn out to have room once they report, with
// what is free there by the records.
func (s *Scheduler) eachUnconfirmedMachine(visit func(m *machine, free capacitySlot)) {
	if !s.reconciler.AwaitsCapacity() {
		return
	}
	for _, m := range s.sortedMachines() {
		if m.confirmed || m.phase == machineReleasing || m.machineSpec == nil || m.cloud.failed || m.cloud.interruptionAt > 0 || !s.reconciler.MayHaveCapacity(m.name, m.calls.unanswered > 0) {
			continue
		}
		visit(m, capacitySlot{m.machineType, m.zone, m.spot, m.machineSpec, m.machineSpec.CPUs - m.used.cpus, m.machineSpec.GPUs - m.used.gpus, m.machineSpec.MemoryGB - m.used.memoryGB})
	}
}

// unconfirmedCapacity sums up the room on machines that are up and have yet to report, by type,
// zone and kind: nothing is rented for what fits there. Machines in which not even the
// least amounts fit are left out. A slot for each machine would be more exact, and cost
// a new leader of thousands of machines a good part of a small share of the processor.
func (s *Scheduler) unconfirmedCapacity(least resourceMinimum) []*capacitySlot {
	sums := map[offer]*capacitySlot{}
	s.eachUnconfirmedMachine(func(m *machine, free capacitySlot) {
		if m.phase != machineUp || !free.hasAtLeast(least) {
			return
		}
		key := offer{m.machineType, m.zone, m.spot}
		if sums[key] == nil {
			sums[key] = &capacitySlot{machineType: m.machineType, zone: m.zone, spot: m.spot, machineSpec: m.machineSpec}
		}
		sum := sums[key]
		sum.cpus, sum.gpus, sum.memoryGB = sum.cpus+free.cpus, sum.gpus+free.gpus, sum.memoryGB+free.memoryGB
	})
	var slots []*capacitySlot
	for _, key := range slices.SortedFunc(maps.Keys(sums), offer.compare) {
		slots = append(slots, sums[key])
	}
	return slots
}

// mayFitUnconfirmed reports whether a task of the job may find room on a machine that has
// yet to report, so that nothing is stopped for it meanwhile.
func (s *Scheduler) mayFitUnconfirmed(r *placementRound, j *job) bool {
	if !s.reconciler.AwaitsCapacity() {
		return false
	}
	if r.unconfirmedCapacity == nil {
		r.unconfirmedCapacity = s.largestUnconfirmedCapacity()
	}
	for _, slot := range r.unconfirmedCapacity {
		capacity := *slot
		if capacity.reserveTask(j) {
			return true
		}
	}
	return false
}

// largestUnconfirmedCapacity gives the largest room of each resource on a machine that has yet to
// report, by type, zone and kind.
func (s *Scheduler) largestUnconfirmedCapacity() map[offer]*capacitySlot {
	largest := map[offer]*capacitySlot{}
	s.eachUnconfirmedMachine(func(m *machine, free capacitySlot) {
		key := offer{m.machineType, m.zone, m.spot}
		have := largest[key]
		if have == nil {
			largest[key] = &free
			return
		}
		have.cpus, have.gpus, have.memoryGB = max(have.cpus, free.cpus), max(have.gpus, free.gpus), max(have.memoryGB, free.memoryGB)
	})
	return largest
}
