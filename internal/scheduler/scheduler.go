// Package scheduler decides which task runs on which machine. It is a state machine without
// I/O, goroutines, a clock or randomness: each input carries the time at which it arrived, and
// the calls, writes and log lines that result are returned as Effects. Call New at the start of
// a term. For each event, call the input method (Heartbeat, JobsChanged, CommitEnded, Tick, ...),
// then Settle, then TakeEffects.
//
// Its guarantees rest on three rules. A task's assignment is durable before any start is sent
// to its machine. An attempt is removed from the state only on proof that it no longer exists
// and cannot be started by a delayed command (see provenAbsent and ReleaseEnded). Every write is
// conditional on the leader's key, so that a leader that has been replaced can change nothing.
//
// Scheduler routes inputs to its parts, each with its own state type: the cluster (machines,
// jobs, attempts and the totals over them), placement with preemption, autoscaling, dispatch
// with fencing, persistence, cancellations, heartbeat monitoring, and reconciliation at the
// start of a term.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Now is the time of an input. Mono is the monotonic time since the process started. Wall is
// the time of day as a Unix time in milliseconds.
type Now struct {
	Mono time.Duration
	Wall int64
}

// Scheduler holds the state of a leader during one term. It routes inputs to its parts, each
// of which owns its own state.
type Scheduler struct {
	*termContext

	// ObserveAckLatency, if set, is called with the time from each start to its acknowledgement.
	ObserveAckLatency func(time.Duration)

	cluster       clusterState
	placement     placementState
	autoscaler    autoscaler
	dispatcher    dispatcher
	persister     persister
	cancellations cancellationState
	monitor       heartbeatMonitor
	reconciler    termReconciler
}

// New starts a term from the contents of the key-value store: the live jobs in the replica,
// the done bits that are stored outside job records (items under records.BitmapPrefix) and the
// assignments (items under records.BatchPrefix and records.LegacyMachinePrefix).
func New(now Now, settings Settings, term uint64, replica *Replica, doneBits []wire.KeyValue, assignments []wire.KeyValue, types []wire.MachineType) *Scheduler {
	s := newEmptyScheduler(now, settings, term)
	s.SetMachineTypes(now, types)
	s.restoreJobs(replica, doneBits)
	//mutation:recovery-reads-assignments
	for _, item := range assignments {
		//mutation:recovery-reads-each-assignment
		s.restoreAssignments(item)
	}
	//mutation:stop-obsolete-attempts
	s.stopObsoleteAttempts()
	for _, id := range slices.Sorted(maps.Keys(s.cluster.jobs)) {
		s.persister.markDirtyIfReadyToArchive(s.cluster.jobs[id])
	}
	s.logInfo("scheduler started", "term", term, "jobs", len(s.cluster.jobs), "machines", len(s.cluster.machines), "cold", settings.ColdRestart)
	s.probeRestoredMachines()
	return s
}

// newEmptyScheduler returns a scheduler that knows no machines, machine types or jobs.
func newEmptyScheduler(now Now, settings Settings, term uint64) *Scheduler {
	context := &termContext{settings: settings, term: term, now: now, startedAt: now.Mono}
	reconciler := reconcile.New(now.Mono, settings.reconcileConfig())
	s := &Scheduler{
		termContext: context,
		cluster: clusterState{
			termContext: context,
			machines:    map[string]*machine{}, machineTypes: map[string]*wire.MachineType{}, jobs: map[string]*job{},
			usage: map[string]*teamUsage{}, released: map[string]bool{},
		},
		placement:     placementState{termContext: context, due: true, lastRoundAt: now.Mono - time.Second, backingOff: map[*job]bool{}},
		autoscaler:    newAutoscaler(context),
		dispatcher:    newDispatcher(context, reconciler),
		persister:     newPersister(context),
		cancellations: cancellationState{termContext: context, pending: map[string]time.Duration{}},
		monitor:       newHeartbeatMonitor(context),
	}
	s.reconciler = termReconciler{context, reconciler, &s.cluster}
	return s
}

// restoreJobs adds the jobs that were live before the term.
func (s *Scheduler) restoreJobs(replica *Replica, doneBits []wire.KeyValue) {
	for _, live := range replica.Live {
		s.cluster.addJob(live).recovered = true
	}
	for _, item := range doneBits {
		s.restoreDoneBits(item)
	}
}

// probeRestoredMachines asks every machine for a heartbeat under this term's fencing token.
func (s *Scheduler) probeRestoredMachines() {
	for _, m := range s.cluster.sortedMachines() {
		if s.dispatcher.isDue(m) {
			s.dispatcher.sendDue(m) // the reply contains such a heartbeat
		}
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
}
