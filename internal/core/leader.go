// Package core decides. It is a state machine without I/O, goroutines, clock or
// randomness of its own: inputs come in with the time at which they came, and
// what is to be sent, written and answered comes out as Effects.
//
// The guarantees rest on three habits. A task is written into its machine's
// record before any start is sent there; it leaves our picture only on proof
// that it is gone and cannot come back (see provenAbsent and Released); and
// every write is conditioned on the leader's key, so that a leader who has been
// replaced can change nothing.
package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Now is the time of an input: Mono since the process started, Wall in
// milliseconds of the time of day.
type Now struct {
	Mono time.Duration
	Wall int64
}

// Team is a team's guarantee and limit.
type Team struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Settings are what the leader needs of the deployment and of the operators.
type Settings struct {
	Teams      map[string]Team
	Report     time.Duration
	Lease      time.Duration
	Cancel     time.Duration // within which a cancelled job's tasks are gone
	TxnOps     int
	ValueBytes int
	WriteRate  float64
	CloudRate  float64 // requests a second that the cloud takes; 0: not known
	CPUShare   float64 // of a core, that this process has; 0: not known
	Thrifty    bool
	Aims       map[string]Aim // by class
	// GuaranteeWithin is how soon work within a guarantee should start.
	GuaranteeWithin time.Duration
	ListLag         time.Duration // by which the cloud's list is old
	// ColdRestart is whether no controller is known to have outlived the last leader.
	ColdRestart bool
	TraceOrders bool // have an event for each order in a recovery
	Policy      policy.Settings
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
	ProbeRetry, ProbeGiveUp, Retried uint64
	Started, Finished, Preempted     uint64
	Rented, Returned                 uint64
	// Of recoveries: orders until they were settled, those of them that a difference
	// asked for, and differences, late ones included.
	RecoveryOrders, RecoveryTraced, Differences uint64
}

// Leader is the state of a leader during one term.
type Leader struct {
	cfg   Settings
	term  uint64
	now   Now
	out   Effects
	count Counters

	machines map[string]*machine
	jobs     map[string]*job
	types    map[string]*wire.MachineType
	usage    map[string]*Team // in use by team, in CPUs and GPUs

	// AckLatency receives the time from a start to its acknowledgement.
	AckLatency func(time.Duration)

	failures []Failure
	recovery *recovery.Reconciler
	rounds   uint64     // of placement
	obsolete []*attempt // recorded ones whose job is over or cancelled, until they are stopped

	nextID   uint64
	nextTry  uint64
	nextHire uint64
	commits  map[uint64]*commitState
	calls    map[uint64]*callState
	rentals  map[string]*rentalState
	noCap    map[offer]time.Duration

	byName    []*machine // by name; nil after a machine came or went
	batches   map[string]*batch
	toRecord  []*attempt
	nextBatch time.Duration // no batch until then
	dark      []string      // records that could not be read
	dirtyJobs map[*job]bool // with something to write
	pausing   map[*job]bool // after a failed attempt
	questions questions
	rentAt    time.Duration // when machines were last asked for
	listedAt  time.Duration // when the cloud's list last came
	budget    float64
	budgetAt  time.Duration
	holdOff   time.Duration // no writes until then: the state service refused

	dirtyPlace     bool
	placedAt       time.Duration
	loadAt         time.Duration
	listed         bool // the cloud's list was read in this term
	heardAny       time.Duration
	zoneHeard      map[string]time.Duration // see ZoneHeard
	zoneBack       map[string]time.Duration // when a zone was last silent as a whole
	knewAsOf       time.Duration            // see KnowsAsOf
	ahead          map[string]time.Duration // cancelled jobs that the watch has yet to bring, and since when
	heldTo         time.Duration            // until then the lead is ours for certain
	tickAt         time.Duration            // last tick
	lookedAt       time.Duration            // when a tick last looked at all machines
	resumedAt      time.Duration            // when this process last went on after it stood still
	alone          time.Duration            // for how long ticks have found that no worker was heard
	startedAt      time.Duration
	obsoleteKeys   []string        // keys to delete when there is time
	gone           map[string]bool // given back in this term; names are never used again
	releaseRetryAt time.Duration
	pushDue        map[string]bool // machines for which a stop waits to be sent
}

type commitState struct {
	batches []*batch
	jobs    []jobWrite
	deleted []string // keys deleted
}

type jobWrite struct {
	j       *job
	ended   bool
	chunks  []int
	saved   store.Bitmap
	touched bool // the job's own key was written
}

type callState struct {
	m     *machine
	fence uint64
	runs  []*attempt
	poll  bool // only a question
}

type offer struct {
	typ, zone string
	spot      bool
}

type rentalState struct {
	offer offer
	count int
	at    time.Duration
}

// NewLeader starts a term. records are those under store.BatchPrefix and
// store.MachinePrefix.
func NewLeader(now Now, cfg Settings, term uint64, rep *Replica, bits []wire.Item, records []wire.Item, types []wire.MachineType) *Leader {
	l := &Leader{
		cfg: cfg, term: term, now: now,
		machines: map[string]*machine{}, jobs: map[string]*job{},
		types: map[string]*wire.MachineType{}, usage: map[string]*Team{},
		commits: map[uint64]*commitState{}, calls: map[uint64]*callState{},
		rentals: map[string]*rentalState{}, noCap: map[offer]time.Duration{},
		gone: map[string]bool{}, zoneHeard: map[string]time.Duration{}, zoneBack: map[string]time.Duration{}, pushDue: map[string]bool{}, batches: map[string]*batch{},
		dirtyJobs: map[*job]bool{}, pausing: map[*job]bool{}, ahead: map[string]time.Duration{},
		budget: cfg.WriteRate, budgetAt: now.Mono, questions: questions{budget: tuning.QuestionsOut, budgetAt: now.Mono},
		heardAny: now.Mono, tickAt: now.Mono, startedAt: now.Mono, dirtyPlace: true, placedAt: now.Mono - time.Second,
	}
	l.recovery = recovery.New(now.Mono, cfg.recovery())
	l.SetTypes(now, types)
	for _, lj := range rep.Live {
		l.addJob(lj).recovered = true
	}
	for _, it := range bits {
		l.addBits(it)
	}
	//mutation:recovery-reads-assignments
	for _, it := range records {
		//mutation:recovery-reads-each-assignment
		l.addRecord(it)
	}
	//mutation:stop-obsolete-attempts
	l.stopObsolete()
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.finish(l.jobs[id])
	}
	l.line(false, "recovered", "jobs", len(l.jobs), "machines", len(l.machines), "cold", cfg.ColdRestart)
	for _, m := range l.sorted() {
		if l.pushDue[m.name] {
			l.push(m) // its answer is the report that we ask the others for
		}
		l.askForReport(m)
	}
	return l
}

// JobsChanged tells the leader what a watch saw.
func (l *Leader) JobsChanged(now Now, touched []Changed) {
	l.now = now
	for _, c := range touched {
		j := l.jobs[c.ID]
		if c.Live == nil || c.Live.Record.Cancelled {
			delete(l.ahead, c.ID)
		}
		switch {
		case c.Live == nil && j != nil:
			l.dropJob(j)
		case c.Live != nil && j == nil:
			j = l.addJob(c.Live)
			// An answer of the watch may be older than a peer's list, which is told
			// once: a job that it has as new may have been cancelled since.
			_, cancelled := l.ahead[c.ID]
			//mutation:pending-cancellations
			j.cancelled = j.cancelled || cancelled
			l.finish(j)
			l.dirtyPlace = true
			l.line(true, "job seen", "job", j.id, "class", j.spec.Class, "tasks", j.spec.Tasks, "team", j.spec.Team, "estimate_s", j.spec.EstimateS, "due_s", j.dues)
		case c.Live != nil && c.Live.Stamp > j.stamp:
			j.stamp = c.Live.Stamp
			l.mergeDone(j, 0, c.Live.Record.Done)
			l.releaseSaved(j)
			if c.Live.Record.Cancelled && !j.cancelled {
				l.cancelJob(j)
			}
		}
	}
}

// JobsReset tells the leader that the replica was read anew.
func (l *Leader) JobsReset(now Now, rep *Replica) {
	var touched []Changed
	for id := range l.jobs {
		if rep.Live[id] == nil {
			touched = append(touched, Changed{id, nil})
		}
	}
	for id, lj := range rep.Live {
		touched = append(touched, Changed{id, lj})
	}
	sort.Slice(touched, func(a, b int) bool { return touched[a].ID < touched[b].ID })
	l.JobsChanged(now, touched)
}
