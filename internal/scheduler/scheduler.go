// Package scheduler decides. It is a state machine without I/O, goroutines, clock or
// randomness of its own: inputs come in with the time at which they came, and
// what is to be sent, written and answered comes out as Effects.
//
// The guarantees rest on three habits. A task is written into its machine's
// record before any start is sent there; it leaves our picture only on proof
// that it is gone and cannot come back (see provenAbsent and Released); and
// every write is conditioned on the leader's key, so that a leader who has been
// replaced can change nothing.
package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Now is the time of an input: Mono since the process started, Wall in
// milliseconds of the time of day.
type Now struct {
	Mono time.Duration
	Wall int64
}

// TeamQuota is a team's guarantee and limit.
type TeamQuota struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Settings are what the leader needs of the deployment and of the operators.
type Settings struct {
	Teams             map[string]TeamQuota
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	CancellationBound time.Duration // within which a cancelled job's tasks are gone
	MaxTransactionOps int
	MaxValueBytes     int
	WriteRate         float64
	CloudRate         float64 // requests a second that the cloud takes; 0: not known
	CPUShare          float64 // of a core, that this process has; 0: not known
	MinimizeCost      bool
	Objectives        map[string]Objective // by class
	// GuaranteedStartWithin is how soon work within a guarantee should start.
	GuaranteedStartWithin time.Duration
	CloudListLag          time.Duration // by which the cloud's list is old
	// ColdRestart is whether no controller is known to have outlived the last leader.
	ColdRestart     bool
	TraceOperations bool // have an event for each order in a recovery
	Policy          policy.Settings
}

// Failure is an ended attempt, kept for people to ask about.
type Failure struct {
	Task    string `cbor:"task" json:"task"`
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	Machine string `cbor:"machine" json:"machine"`
	Cause   string `cbor:"cause" json:"cause"`
	At      int64  `cbor:"at_ms" json:"at_ms"`
}

// Counters are the leader's running totals.
type Counters struct {
	DispatchRetries, DispatchGiveUps, TaskRetries uint64
	Started, Finished, Preempted                  uint64
	MachinesProvisioned, MachinesReleased         uint64
	// Of recoveries: orders until they were settled, those of them that a difference
	// asked for, and differences, late ones included.
	ReconcileOperations, ReconcileAttributed, Differences uint64
}

// Scheduler is the state of a leader during one term.
type Scheduler struct {
	settings  Settings
	term      uint64
	startedAt time.Duration // of the term
	now       Now
	effects   Effects
	counters  Counters

	// ObserveAckLatency receives the time from a start to its acknowledgement.
	ObserveAckLatency func(time.Duration)

	nextEffectID   uint64
	leaseHeldUntil time.Duration // until then leadership is ours for certain

	cluster       clusterState
	placement     placementState
	autoscaler    autoscalerState
	dispatcher    dispatchState
	persister     persistState
	cancellations cancellationState
	monitor       monitorState
	reconciler    *reconcile.Reconciler
}

type offer struct {
	machineType, zone string
	spot              bool
}

type pendingRequest struct {
	offer  offer
	count  int
	sentAt time.Duration
}

// New starts a term. records are those under records.BatchPrefix and
// records.LegacyMachinePrefix.
func New(now Now, settings Settings, term uint64, replica *Replica, doneBits []wire.KeyValue, storedRecords []wire.KeyValue, types []wire.MachineType) *Scheduler {
	s := &Scheduler{
		settings: settings, term: term, now: now, startedAt: now.Mono,
		cluster: clusterState{
			machines: map[string]*machine{}, machineTypes: map[string]*wire.MachineType{}, jobs: map[string]*job{},
			usage: map[string]*TeamQuota{}, released: map[string]bool{},
		},
		placement:     placementState{due: true, lastRoundAt: now.Mono - time.Second, backingOff: map[*job]bool{}},
		autoscaler:    autoscalerState{pending: map[string]*pendingRequest{}, unavailableUntil: map[offer]time.Duration{}},
		dispatcher:    newDispatchState(now.Mono),
		persister:     newPersistState(now.Mono, settings.WriteRate),
		cancellations: cancellationState{pending: map[string]time.Duration{}},
		monitor: monitorState{
			lastHeartbeatAt: now.Mono, tickedAt: now.Mono,
			zoneHeartbeatAt: map[string]time.Duration{}, zoneMissingAt: map[string]time.Duration{},
		},
	}
	s.reconciler = reconcile.New(now.Mono, settings.reconcileConfig())
	s.SetMachineTypes(now, types)
	for _, live := range replica.Live {
		s.addJob(live).recovered = true
	}
	for _, item := range doneBits {
		s.addDoneBits(item)
	}
	//mutation:recovery-reads-assignments
	for _, item := range storedRecords {
		//mutation:recovery-reads-each-assignment
		s.restoreAssignments(item)
	}
	//mutation:stop-obsolete-attempts
	s.stopObsoleteAttempts()
	for _, id := range slices.Sorted(maps.Keys(s.cluster.jobs)) {
		s.markDirtyIfComplete(s.cluster.jobs[id])
	}
	s.log(false, "recovered", "jobs", len(s.cluster.jobs), "machines", len(s.cluster.machines), "cold", settings.ColdRestart)
	for _, m := range s.sortedMachines() {
		if s.dispatcher.machinesDue[m.name] {
			s.sendDue(m) // its answer is the report that we ask the others for
		}
		s.probeStatus(m)
	}
	return s
}

// JobsChanged tells the leader what a watch saw.
func (s *Scheduler) JobsChanged(now Now, changes []JobChange) {
	s.now = now
	for _, change := range changes {
		j := s.cluster.jobs[change.ID]
		if change.Live == nil || change.Live.Record.Cancelled {
			delete(s.cancellations.pending, change.ID)
		}
		switch {
		case change.Live == nil && j != nil:
			s.archiveJob(j)
		case change.Live != nil && j == nil:
			j = s.addJob(change.Live)
			// An answer of the watch may be older than a peer's list, which is told
			// once: a job that it has as new may have been cancelled since.
			_, cancelled := s.cancellations.pending[change.ID]
			//mutation:pending-cancellations
			j.cancelled = j.cancelled || cancelled
			s.markDirtyIfComplete(j)
			s.placement.due = true
			s.log(true, "job seen", "job", j.id, "class", j.spec.Class, "tasks", j.spec.Tasks, "team", j.spec.Team, "estimate_s", j.spec.EstimatedRunS, "due_s", j.plan.deadlines)
		case change.Live != nil && change.Live.ModRevision > j.modRevision:
			j.modRevision = change.Live.ModRevision
			s.mergeDoneBits(j, 0, change.Live.Record.Done)
			s.dropSavedAssignments(j)
			if change.Live.Record.Cancelled && !j.cancelled {
				s.cancelJob(j)
			}
		}
	}
}

// JobsReset tells the leader that the replica was read anew.
func (s *Scheduler) JobsReset(now Now, replica *Replica) {
	var changes []JobChange
	for id := range s.cluster.jobs {
		if replica.Live[id] == nil {
			changes = append(changes, JobChange{id, nil})
		}
	}
	for id, live := range replica.Live {
		changes = append(changes, JobChange{id, live})
	}
	sort.Slice(changes, func(a, b int) bool { return changes[a].ID < changes[b].ID })
	s.JobsChanged(now, changes)
}
