// Package reconcile compares what a new leader has read from its records with what
// machines list in their heartbeats, and holds back what would be needed only if the
// machines without a heartbeat in this term were gone. Like package scheduler, which
// consults it, it is a state machine without I/O, clock or goroutines.
// docs/recovery.md has the alternatives that were weighed.
package reconcile

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Phase is how far a reconciliation is.
type Phase uint8

// Phases, in their order. A leader that still reads the records is Loading; a Reconciler
// begins with Collecting.
const (
	Loading     Phase = iota
	Collecting        // waits for a heartbeat of each machine
	Reconciling       // waits for what the differences lead to
	Settled           // holds nothing back any more

	phaseCount
)

var phaseNames = [phaseCount]string{"loading", "collecting", "reconciling", "settled"}

func (p Phase) String() string { return phaseNames[p] }

// Config is what a reconciliation depends on.
type Config struct {
	// Enabled is whether anything is held back. Without it differences are still
	// found, counted and shown.
	Enabled bool
	// Cold is whether all controllers were down: machines without a heartbeat are then
	// late for a reason that is not theirs.
	Cold                           bool
	HeartbeatInterval, WorkerLease time.Duration
	// CollectTimeout bounds the collecting phase; 0: it follows from the heartbeat
	// interval and the worker lease.
	CollectTimeout time.Duration
	CloudRate      float64 // requests a second that the cloud takes; 0: unknown
	Trace          bool    // have an event for each machine that is confirmed and each operation
}

// CollectBound is how long machines may take for a heartbeat once the records are read:
// one that hangs at a dead controller until it times out, the delay before the retry, a
// heartbeat interval, and the heartbeat that follows a new token.
func (c Config) CollectBound() time.Duration {
	if c.CollectTimeout > 0 {
		return min(c.CollectTimeout, c.WorkerLease)
	}
	return min(c.HeartbeatInterval*5/4+tuning.WorkerHeartbeatTimeout+2*tuning.WorkerRetryDelay, c.WorkerLease)
}

// machineState is what is known of a machine that was there before the term.
type machineState struct {
	confirmed bool // it needs no heartbeat any more
	unproven  int  // attempts in class MissingUnproven
}

// Reconciler is the state of the reconciliation of one term.
type Reconciler struct {
	config         Config
	startedAt      time.Duration
	phase          Phase
	phaseStartedAt [phaseCount]time.Duration // when each phase began

	machines           map[string]*machineState
	unconfirmed        int              // machines without a heartbeat under this term's token
	cloudListed        bool             // the cloud's list was read in this term
	unproven           int              // attempts in class MissingUnproven
	pendingStops       int              // attempts that a difference has stopped, not proven to be gone yet
	unrecordedAttempts map[Attempt]bool // attempts without a record that were found
	recordsIncomplete  bool             // a task without a record ran: there may be more

	counts             [classCount]int
	differences        []Difference
	droppedDifferences int // those beyond tuning.MaxListedDifferences
	operations         operationLedger
	cloudLimiter       *rate.Limiter // nil: calls are not paced
	events             []Event
}

// New begins a reconciliation, once the records have been read.
func New(now time.Duration, config Config) *Reconciler {
	r := &Reconciler{config: config, startedAt: now, phase: Collecting, machines: map[string]*machineState{},
		unrecordedAttempts: map[Attempt]bool{}, operations: newOperationLedger()}
	r.phaseStartedAt[Collecting] = now
	if config.CloudRate > 0 {
		r.cloudLimiter = rate.NewLimiter(rate.Limit(config.CloudRate*tuning.ReconcileCloudRateShare), tuning.ReconcileCloudBurst)
	}
	return r
}

// ControllerSurvived takes note that some controller was up throughout the change of
// leader, so that machines which miss heartbeats do so for reasons of their own.
func (r *Reconciler) ControllerSurvived() { r.config.Cold = false }

// ExpectMachine adds a machine from before the term that a record or the cloud's list
// names.
func (r *Reconciler) ExpectMachine(machine string) {
	if r.machines[machine] == nil {
		r.machines[machine] = &machineState{}
		r.unconfirmed++
	}
}

// ExpectAttempt adds an attempt that a record names.
func (r *Reconciler) ExpectAttempt(machine string) {
	r.ExpectMachine(machine)
	r.machines[machine].unproven++
	r.unproven++
	r.counts[MissingUnproven]++
}

// CloudListed takes note that the cloud's list was read, with all its machines expected.
func (r *Reconciler) CloudListed(now time.Duration) {
	r.cloudListed = true
	r.Advance(now)
}

// UnexpectAttempt takes an attempt back that a later record of the same machine replaces.
func (r *Reconciler) UnexpectAttempt(machine string) {
	r.resolveAttempt(machine)
	r.counts[MissingUnproven]--
}

func (r *Reconciler) resolveAttempt(machine string) {
	r.unproven--
	if m := r.machines[machine]; m != nil {
		m.unproven--
	}
}

// ConfirmMachine takes note of a machine's first heartbeat under this term's token.
func (r *Reconciler) ConfirmMachine(now time.Duration, machine string) {
	if m := r.machines[machine]; m != nil && !m.confirmed {
		m.confirmed = true
		r.unconfirmed--
		if r.config.Trace {
			r.events = append(r.events, Event{Kind: MachineConfirmed, At: now, Operation: Operation{Machine: machine}})
		}
		r.Advance(now)
	}
}

// MachineReleased takes note that a machine is gone: no heartbeat of it is awaited.
func (r *Reconciler) MachineReleased(now time.Duration, machine string) {
	r.ConfirmMachine(now, machine)
}

// AddDifference takes the verdict on an attempt, one for each: for a recorded one the
// first that is not MissingUnproven, and for one without a record that on its first
// listing. It reports whether the attempt is new.
func (r *Reconciler) AddDifference(now time.Duration, d Difference) bool {
	d.At = now
	d.Late = r.phase == Settled
	switch {
	case d.Recorded:
		r.resolveAttempt(d.Machine)
		r.counts[MissingUnproven]--
	//mutation:duplicate-inventory
	case r.unrecordedAttempts[d.Attempt]:
		return false
	default:
		r.unrecordedAttempts[d.Attempt] = true
	}
	r.counts[d.Class]++
	if d.Class == Unrecorded {
		r.recordsIncomplete = true
	}
	r.recordDifference(d)
	r.Advance(now)
	return true
}

// ConfirmAttempt takes note that a heartbeat lists a recorded attempt, as AddDifference
// would, without a difference to keep. That is most of them, and thousands come in the
// seconds in which a new leader has most to do.
func (r *Reconciler) ConfirmAttempt(now time.Duration, machine string) {
	r.resolveAttempt(machine)
	r.counts[MissingUnproven]--
	r.counts[Confirmed]++
	if r.unproven == 0 {
		r.Advance(now)
	}
}

// ExpectOperations takes note of the operations that a difference will lead to, ahead of
// AddDifference.
func (r *Reconciler) ExpectOperations(d Difference) {
	if r.phase != Settled {
		r.operations.expect(d)
	}
}

// AwaitStop takes note that an attempt is being stopped because of a difference, and
// StopProven that it is proven to be gone.
func (r *Reconciler) AwaitStop() { r.pendingStops++ }

// StopProven is the end of an AwaitStop.
func (r *Reconciler) StopProven(now time.Duration) {
	r.pendingStops--
	r.Advance(now)
}

// Advance enters the phases that are due.
func (r *Reconciler) Advance(now time.Duration) {
	if r.phase == Collecting && (r.unconfirmed == 0 && r.cloudListed || now >= r.collectUntil()) {
		r.enterPhase(now, Reconciling)
	}
	if r.phase == Reconciling && (r.unconfirmed == 0 && r.unproven == 0 && r.pendingStops == 0 || now >= r.settleUntil()) {
		r.enterPhase(now, Settled)
	}
}

func (r *Reconciler) enterPhase(now time.Duration, phase Phase) {
	r.phase, r.phaseStartedAt[phase] = phase, now
	if phase == Settled {
		r.operations.expectedStops, r.operations.expectedStarts = nil, nil
	}
	r.events = append(r.events, Event{Kind: PhaseEntered, At: now, Phase: phase})
}

// collectUntil bounds the collecting phase.
func (r *Reconciler) collectUntil() time.Duration { return r.startedAt + r.config.CollectBound() }

// settleUntil bounds the reconciliation: by then leases that nobody renewed have expired,
// and their machines have been released. What is unproven then is ordinary business.
func (r *Reconciler) settleUntil() time.Duration {
	return r.startedAt + r.config.WorkerLease + tuning.SettleGrace
}

// Config is what the reconciliation depends on.
func (r *Reconciler) Config() Config { return r.config }

// Phase is how far the reconciliation is.
func (r *Reconciler) Phase() Phase { return r.phase }
