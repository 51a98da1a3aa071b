package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// termReconciler connects the reconciler with this term's attempts: it gathers the evidence on
// them, reports the differences, and counts the operations that resolve them.
//
// After an attempt is restored from the records, only termReconciler changes
// attempt.reconciliation. Each attempt is reported once, and each stop that a difference
// requires is awaited until the attempt is gone.
type termReconciler struct {
	*termContext
	*reconcile.Reconciler
	cluster *clusterState // read only
}

// reconcileConfig returns the configuration of the term's reconciler.
func (s Settings) reconcileConfig() reconcile.Config {
	return reconcile.Config{
		//mutation:reconciliation-enabled
		Enabled: s.Policy.ReconcileRestarts, Cold: s.ColdRestart, HeartbeatInterval: s.HeartbeatInterval, WorkerLease: s.WorkerLease,
		CollectTimeout: s.Policy.ReconcileWait, CloudRate: s.CloudRate, Trace: s.TraceOperations,
	}
}

// ControllerSurvived records that a controller was running when the last leader's term ended.
func (s *Scheduler) ControllerSurvived() { s.reconciler.ControllerSurvived() }

// flushEvents moves the reconciler's events into the effects, and logs each phase that it entered.
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

// evidenceFor returns the evidence on an attempt that was restored from the records, or that a
// worker lists although this leader does not track it.
func (r *termReconciler) evidenceFor(a *attempt, observation reconcile.Observation) reconcile.Evidence {
	evidence := reconcile.Evidence{Observation: observation, Recorded: a.reconciliation.class == reconcile.MissingUnproven}
	j := a.job
	if j == nil {
		return evidence
	}
	//mutation:recovered-attempt-of-cancelled-job
	evidence.JobIsLive = !j.cancelled && !j.archived
	//mutation:recovered-attempt-of-done-task
	evidence.TaskIsDone = j.progress.done.Has(a.ref.index)
	//mutation:recovered-attempt-duplicate
	evidence.HasPreferredDuplicate = a.hasPreferredDuplicate(evidence)
	if !evidence.Recorded && observation == reconcile.Active {
		//mutation:unrecorded-attempt-placement
		evidence.MachineAllowed = j.allowsAdoptionOn(a.machine)
		//mutation:unrecorded-attempt-over-limit
		evidence.OverQuota = r.cluster.quotaHeadroom(j, TeamQuota{}) < 1
	}
	return evidence
}

// hasPreferredDuplicate reports whether another attempt of the task takes precedence. Of two
// recorded attempts, the first that a heartbeat lists is kept. An unrecorded attempt gives way
// to any other attempt, whatever is known about the latter.
func (a *attempt) hasPreferredDuplicate(evidence reconcile.Evidence) bool {
	if evidence.Recorded && evidence.Observation == reconcile.Active {
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

// hasListedDuplicate reports whether a worker has listed another attempt of the task that is not
// being stopped.
func (a *attempt) hasListedDuplicate() bool {
	for _, other := range a.job.active[a.ref.index] {
		//mutation:first-reported-duplicate-stays
		if other != a && other.start.acknowledged && !other.stop.requested {
			return true
		}
	}
	return false
}

// allowsAdoptionOn reports whether the job allows the machine, given the zones of its other
// attempts.
func (j *job) allowsAdoptionOn(m *machine) bool {
	return j.matchesOffer(m.offer()) && j.allowsZone(j.attemptsByZone(), m.zone)
}

// reconcileRecordedAttempt classifies a recorded attempt by its first observation, and stops the
// attempt if the verdict requires that.
func (s *Scheduler) reconcileRecordedAttempt(a *attempt, observation reconcile.Observation) {
	if verdict := s.reconciler.classifyRecordedAttempt(a, observation); verdict.Action == reconcile.Stop {
		s.stopNow(a, stopReasonOf(verdict.Class))
	}
}

// classifyRecordedAttempt classifies a recorded attempt by its first observation and reports the
// difference that it shows. The verdict has class reconcile.None if there is no difference.
func (r *termReconciler) classifyRecordedAttempt(a *attempt, observation reconcile.Observation) reconcile.Verdict {
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

// confirmListedAttempt reconciles an attempt that a heartbeat lists as active. Only a heartbeat
// under this term's fencing token is proof for the reconciliation: a duplicate of an earlier one
// may list attempts that are long gone. For everything else, such as placement and quotas, the
// attempt counts from its first listing.
func (s *Scheduler) confirmListedAttempt(a *attempt) {
	if !a.machine.heartbeats.underCurrentTerm {
		return
	}
	s.reconcileRecordedAttempt(a, reconcile.Active)
	s.reconciler.reportDeferredVerdict(a)
}

// deferVerdict keeps the verdict on an unexpected attempt until the attempt is confirmed or
// ends.
func (r *termReconciler) deferVerdict(a *attempt, verdict reconcile.Verdict) {
	a.reconciliation.deferredVerdict = verdict
	if r.fromEarlierTerm(a.number) {
		r.ExpectOperations(newDifference(a.machine, a.ref, a.number, verdict))
	}
}

// reportDeferredVerdict reports the verdict on an unexpected attempt that is confirmed or has
// ended.
func (r *termReconciler) reportDeferredVerdict(a *attempt) {
	verdict := a.reconciliation.deferredVerdict
	if verdict.Class == reconcile.None {
		return
	}
	a.reconciliation.deferredVerdict = reconcile.Verdict{}
	r.reportDifference(a, newDifference(a.machine, a.ref, a.number, verdict))
}

// stopObsoleteAttempts stops attempts that are obsolete according to the records alone: their
// job has ended, or was cancelled and not all of its attempts were stopped. No watch event
// reports these jobs again.
func (s *Scheduler) stopObsoleteAttempts() {
	sortAttempts(s.cluster.obsoleteAttempts)
	for _, a := range s.cluster.obsoleteAttempts {
		if a.attached() {
			s.reconcileRecordedAttempt(a, reconcile.Unreported)
		}
	}
	s.cluster.obsoleteAttempts = nil
}

// reportDifference adds a difference to the reconciler if its attempt, a, is from an earlier
// term.
func (r *termReconciler) reportDifference(a *attempt, difference reconcile.Difference) {
	if !r.fromEarlierTerm(a.number) {
		return
	}
	a.reconciliation.class = difference.Class
	if difference.Action == reconcile.Stop {
		a.reconciliation.awaitsStopProof = true
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

// countStopProven records that an attempt whose stop a difference required is gone.
func (r *termReconciler) countStopProven(a *attempt) {
	if a.reconciliation.awaitsStopProof {
		a.reconciliation.awaitsStopProof = false
		r.StopProven(r.now.Mono)
	}
}

// classifyUnknownExit handles the listed exit of an attempt that is not attached. If the
// attempt is from an earlier term and has completed a task that still had to run, that is a
// difference. Otherwise the worker only has to forget the attempt.
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

// reportSuperseded reports an attempt on a machine on which another attempt of its task was
// placed.
func (r *termReconciler) reportSuperseded(m *machine, ref taskRef, status *wire.TaskStatus) {
	if r.fromEarlierTerm(status.Attempt) {
		verdict := reconcile.Verdict{Class: reconcile.Superseded, Action: reconcile.Stop}
		r.AddDifference(r.now.Mono, newDifference(m, ref, status.Attempt, verdict))
	}
}
