// Package scheduler decides what runs where. It is a state machine without I/O,
// goroutines, clock or randomness of its own: inputs come in with the time at which they
// came, and what is to be sent, written and answered comes out as Effects. Use it by
// calling New once a term has begun, an input method (Heartbeat, JobsChanged, CommitEnded,
// Tick, ...) for each event, then Settle, and TakeEffects for what follows.
//
// The guarantees rest on three rules. A task's assignment is durable before any start is
// sent to its machine; an attempt is forgotten only on proof that it is gone and cannot
// come back (see provenAbsent and Released); and every write is conditioned on the
// leader's key, so that a leader that has been replaced can change nothing.
//
// Scheduler routes inputs to its parts, each with a state type of its own: the cluster
// (machines, jobs, attempts and the sums over them), placement with preemption,
// autoscaling, dispatch with fencing, persistence, cancellations, and the monitoring of
// heartbeats.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Now is the time of an input: Mono since the process started, Wall in
// milliseconds of the time of day.
type Now struct {
	Mono time.Duration
	Wall int64
}

// Scheduler is the state of a leader during one term. It routes inputs to its parts, each
// of which owns its state.
type Scheduler struct {
	*termContext

	// ObserveAckLatency, if set, receives the time from a start to its acknowledgement.
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

// New starts a term with what the key-value store has: the live jobs by the replica,
// their further done bits (items under records.BitmapPrefix) and the assignments (items
// under records.BatchPrefix and records.LegacyMachinePrefix).
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

// newEmptyScheduler makes a scheduler that knows of nothing yet.
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

// probeRestoredMachines asks all machines for a heartbeat under this term's token.
func (s *Scheduler) probeRestoredMachines() {
	for _, m := range s.cluster.sortedMachines() {
		if s.dispatcher.isDue(m) {
			s.dispatcher.sendDue(m) // its reply is such a heartbeat
		}
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
}
