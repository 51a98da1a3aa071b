package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// termReconciler is the reconciler with what ties it to this term's attempts: it gathers the
// evidence on them, reports the differences, and counts what is done about them.
//
// Once an attempt is restored from the records, it alone changes attempt.reconciliation. An
// attempt is reported once, and each stop that a difference asked for is awaited until the
// attempt is gone.
type termReconciler struct {
	*termContext
	*reconcile.Reconciler
	cluster *clusterState // read only
}

// reconcileConfig is what the term's reconciliation depends on.
func (s Settings) reconcileConfig() reconcile.Config {
	return reconcile.Config{
		//mutation:reconciliation-enabled
		Enabled: s.Policy.ReconcileRestarts, Cold: s.ColdRestart, HeartbeatInterval: s.HeartbeatInterval, WorkerLease: s.WorkerLease,
		CollectTimeout: s.Policy.ReconcileWait, CloudRate: s.CloudRate, Trace: s.TraceOperations,
	}
}

// ControllerSurvived takes note that a controller was up when the last leader ended.
func (s *Scheduler) ControllerSurvived() { s.reconciler.ControllerSurvived() }

// flushEvents moves the reconciler's events into the effects.
func (r *termReconciler) flushEvents() {
	events := r.TakeEvents()
	if len(events) == 0 {
		return
	}
	r.effects.Reconciliation = append(r.effects.Reconciliation, events...)
	for _, event := range events {
		if event.Kind == reconcile.PhaseEntered {
			status := r.Status(event.At)
			r.logInfo("reconciliation phase entered", "phase", event.Phase, "after_s", status.AgeS, "machines", status.Machines,
				"unconfirmed", status.Unconfirmed, "unproven", status.Unproven, "differences", status.Differences)
		}
	}
}

// evidenceFor gathers what is known of an attempt from before the term.
func (r *termReconciler) evidenceFor(a *attempt, observation reconcile.Observation) reconcile.Evidence {
	e := reconcile.Evidence{Observation: observation, Recorded: a.reconciliation.class == reconcile.MissingUnproven}
	j := a.job
	if j == nil {
		return e
	}
	//mutation:recovered-attempt-of-cancelled-job
	e.JobIsLive = !j.cancelled && !j.archived
	//mutation:recovered-attempt-of-done-task
	e.TaskIsDone = j.progress.done.Has(a.ref.index)
	//mutation:recovered-attempt-duplicate
	e.HasPreferredDuplicate = a.hasConflictingAttempt(e)
	if !e.Recorded && observation == reconcile.Active {
		//mutation:unrecorded-attempt-placement
		e.MachineAllowed = j.mayAdoptOn(a.machine)
		//mutation:unrecorded-attempt-over-limit
		e.OverQuota = r.cluster.quotaHeadroom(j, TeamQuota{}) < 1
	}
	return e
}

// hasConflictingAttempt reports whether another attempt of the task has the better claim.
// Of two recorded ones, the first that a heartbeat lists stays. One that is not recorded
// is stopped beside them, whatever became of them.
func (a *attempt) hasConflictingAttempt(e reconcile.Evidence) bool {
	if e.Recorded && e.Observation == reconcile.Active {
		return a.hasListedDuplicate()
	}
	return a.mayHaveDuplicate()
}

// mayHaveDuplicate reports whether another attempt of the task may be on a machine.
func (a *attempt) mayHaveDuplicate() bool {
	for _, other := range a.job.active[a.ref.index] {
		if other != a {
			return true
		}
	}
	return false
}

// hasListedDuplicate reports whether a worker has listed another attempt of the task, and
// that one is not being stopped.
func (a *attempt) hasListedDuplicate() bool {
	for _, other := range a.job.active[a.ref.index] {
		//mutation:first-reported-duplicate-stays
		if other != a && other.start.acknowledged && !other.stop.requested {
			return true
		}
	}
	return false
}

// mayAdoptOn reports whether the job allows the machine beside its other tasks.
func (j *job) mayAdoptOn(m *machine) bool {
	return j.allows(m.offer()) && j.allowsZone(j.attemptsByZone(), m.zone)
}

// observeRecorded takes the first observation of an attempt that a record names, and stops
// the attempt if it must not go on.
func (s *Scheduler) observeRecorded(a *attempt, observation reconcile.Observation) {
	if verdict := s.reconciler.classifyRecorded(a, observation); verdict.Action == reconcile.Stop {
		s.stopNow(a, stopReasonOf(verdict.Class))
	}
}

// classifyRecorded takes the first observation of an attempt that a record names, and gives
// the difference that it shows; reconcile.None if there is none.
func (r *termReconciler) classifyRecorded(a *attempt, observation reconcile.Observation) reconcile.Verdict {
	if a.reconciliation.class != reconcile.MissingUnproven {
		return reconcile.Verdict{}
	}
	verdict := reconcile.Classify(r.evidenceFor(a, observation))
	if verdict.Class == reconcile.MissingUnproven {
		return reconcile.Verdict{}
	}
	if verdict.Class == reconcile.Confirmed {
		a.reconciliation.class = reconcile.Confirmed
		r.ConfirmAttempt(r.now.Mono, a.machine.name)
		return reconcile.Verdict{}
	}
	difference := newDifference(a.machine, a.ref, a.number, verdict)
	difference.Recorded = true
	r.reportDifference(a, difference)
	return verdict
}

// confirmActive takes an attempt that a heartbeat lists as active. It is proof to the
// reconciliation only under this term's token: a copy of an earlier heartbeat may list
// what is long gone. The attempt counts from its first listing all the same.
func (s *Scheduler) confirmActive(a *attempt) {
	if !a.machine.heartbeats.underTerm {
		return
	}
	s.observeRecorded(a, reconcile.Active)
	s.reconciler.reportDeferredVerdict(a)
}

// deferVerdict keeps the verdict on an unexpected attempt until it is confirmed or ends.
func (r *termReconciler) deferVerdict(a *attempt, verdict reconcile.Verdict) {
	a.reconciliation.deferredVerdict = verdict
	if r.fromEarlierTerm(a.number) {
		r.ExpectOperations(newDifference(a.machine, a.ref, a.number, verdict))
	}
}

// reportDeferredVerdict reports an unexpected attempt that is confirmed or has ended.
func (r *termReconciler) reportDeferredVerdict(a *attempt) {
	verdict := a.reconciliation.deferredVerdict
	if verdict.Class == reconcile.None {
		return
	}
	a.reconciliation.deferredVerdict = reconcile.Verdict{}
	r.reportDifference(a, newDifference(a.machine, a.ref, a.number, verdict))
}

// stopObsoleteAttempts stops what is over by the records alone: attempts whose job has
// ended, or was cancelled without all of its attempts being stopped. No watch shows these
// again.
func (s *Scheduler) stopObsoleteAttempts() {
	sortAttempts(s.cluster.obsoleteAttempts)
	for _, a := range s.cluster.obsoleteAttempts {
		if a.attached() {
			s.observeRecorded(a, reconcile.Unreported)
		}
	}
	s.cluster.obsoleteAttempts = nil
}

// reportDifference hands a difference to the reconciler if its attempt, a, is from before
// the term.
func (r *termReconciler) reportDifference(a *attempt, difference reconcile.Difference) {
	if !r.fromEarlierTerm(a.number) {
		return
	}
	a.reconciliation.class = difference.Class
	if difference.Action == reconcile.Stop {
		a.reconciliation.awaitsStop = true
		r.AwaitStop()
	}
	r.AddDifference(r.now.Mono, difference)
}

func newDifference(m *machine, ref taskRef, number uint64, verdict reconcile.Verdict) reconcile.Difference {
	return reconcile.Difference{
		Attempt: reconcile.Attempt{Machine: m.name, Task: ref.String(), Number: number},
		Class:   verdict.Class, Action: verdict.Action,
	}
}

// fromEarlierTerm reports whether an attempt's number is of a term before this one.
func (c *termContext) fromEarlierTerm(number uint64) bool {
	return number>>tuning.FencingBits != c.term
}

// countStopProven takes note that an attempt is gone, if a difference asked for its stop.
func (r *termReconciler) countStopProven(a *attempt) {
	if a.reconciliation.awaitsStop {
		a.reconciliation.awaitsStop = false
		r.StopProven(r.now.Mono)
	}
}

// classifyUnknownExit takes the end of an attempt that is not attached, as a worker lists
// it. One that is neither recorded nor needed is no difference: its worker only has to
// forget it.
func (r *termReconciler) classifyUnknownExit(m *machine, ref taskRef, status *wire.TaskStatus) {
	if status.Cause != wire.CauseDone || !r.fromEarlierTerm(status.Attempt) {
		return
	}
	a := &attempt{ref: ref, machine: m, number: status.Attempt, start: startState{acknowledged: true}}
	if j := r.cluster.jobs[ref.jobID]; j != nil && ref.index < j.spec.Tasks && !j.service {
		a.job = j
	}
	verdict := reconcile.Classify(r.evidenceFor(a, reconcile.Completed))
	if verdict.Action == reconcile.RecordDone {
		r.AddDifference(r.now.Mono, newDifference(m, ref, status.Attempt, verdict))
	}
}

// reportSuperseded takes an attempt that runs where another attempt of its task is to
// start.
func (r *termReconciler) reportSuperseded(m *machine, ref taskRef, status *wire.TaskStatus) {
	if r.fromEarlierTerm(status.Attempt) {
		verdict := reconcile.Verdict{Class: reconcile.Superseded, Action: reconcile.Stop}
		r.AddDifference(r.now.Mono, newDifference(m, ref, status.Attempt, verdict))
	}
}
