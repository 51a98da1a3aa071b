// Package reconcile compares the records that a new leader has read with the tasks that machines
// list in their heartbeats. Until machines without a heartbeat in this term are proven to be
// gone, it holds back operations that would be needed only if they were. Like package scheduler,
// which uses it, the package is a state machine without I/O, clock or goroutines.
// docs/recovery.md describes the alternatives that were considered.
package reconcile

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Phase is a phase of a reconciliation.
type Phase uint8

// Phases, in order. Loading is the phase of a leader that is still reading the records; a
// Reconciler starts in Collecting.
const (
	Loading     Phase = iota
	Collecting        // waits for a heartbeat from each machine
	Reconciling       // waits for the remaining machines, unproven attempts and pending stops
	Settled           // holds nothing back

	phaseCount
)

var phaseNames = [phaseCount]string{"loading", "collecting", "reconciling", "settled"}

func (p Phase) String() string { return phaseNames[p] }

// Config configures a reconciliation.
type Config struct {
	// Enabled sets whether operations are held back. Differences are found, counted and
	// listed in any case.
	Enabled bool
	// Cold is set after a cold restart: all controllers were down, so that machines are late
	// with their heartbeats for no fault of their own.
	Cold                           bool
	HeartbeatInterval, WorkerLease time.Duration
	// CollectTimeout is the maximum duration of the Collecting phase. If it is 0, the maximum
	// is derived from the heartbeat interval and the worker lease.
	CollectTimeout time.Duration
	CloudRate      float64 // requests per second that the cloud accepts; 0: unknown, calls are not limited
	Trace          bool    // emit an event for each confirmed machine and each operation
}

// MaxCollectTime returns the maximum duration of the Collecting phase, which starts once the
// records have been read. By default it leaves time for a heartbeat that hangs at a dead
// controller until it times out, the delay before the retry, a heartbeat interval, and the
// heartbeat that follows a new token. It is at most the worker lease.
func (c Config) MaxCollectTime() time.Duration {
	if c.CollectTimeout > 0 {
		return min(c.CollectTimeout, c.WorkerLease)
	}
	return min(c.HeartbeatInterval*5/4+tuning.WorkerHeartbeatTimeout+2*tuning.WorkerRetryDelay, c.WorkerLease)
}

// machineState is the state of a machine that existed before this term.
type machineState struct {
	confirmed bool // a heartbeat has arrived, or the machine was released
	unproven  int  // attempts on the machine in class MissingUnproven
}

// Reconciler holds the state of the reconciliation in one term. All times are durations since the
// start of the process.
type Reconciler struct {
	config         Config
	startedAt      time.Duration
	phase          Phase
	phaseStartedAt [phaseCount]time.Duration // zero for phases that have not started

	machines           map[string]*machineState
	unconfirmed        int              // number of machines that are not confirmed
	cloudListed        bool             // the cloud's list of machines was read in this term
	unproven           int              // number of attempts in class MissingUnproven
	pendingStops       int              // number of attempts stopped because of a difference and not proven gone
	unrecordedAttempts map[Attempt]bool // attempts without a record found so far
	recordsIncomplete  bool             // an Unrecorded attempt was found, so that there may be more

	counts             [classCount]int
	differences        []Difference
	droppedDifferences int // number of differences beyond tuning.MaxListedDifferences, not kept
	operations         operationTracker
	cloudLimiter       *rate.Limiter // nil: calls are not limited
	events             []Event
}

// New starts a reconciliation. It is called once the records have been read.
func New(now time.Duration, config Config) *Reconciler {
	r := &Reconciler{config: config, startedAt: now, phase: Collecting, machines: map[string]*machineState{},
		unrecordedAttempts: map[Attempt]bool{}, operations: newOperationTracker()}
	r.phaseStartedAt[Collecting] = now
	if config.CloudRate > 0 {
		r.cloudLimiter = rate.NewLimiter(rate.Limit(config.CloudRate*tuning.ReconcileCloudRateShare), tuning.ReconcileCloudBurst)
	}
	return r
}

// ControllerSurvived records that a controller stayed up throughout the change of leader, so that
// this is no cold restart: machines that miss heartbeats do so because of their own faults.
func (r *Reconciler) ControllerSurvived() { r.config.Cold = false }

// ExpectMachine adds a machine from before the term that is named by a record or the cloud's list.
func (r *Reconciler) ExpectMachine(machine string) {
	if r.machines[machine] == nil {
		r.machines[machine] = &machineState{}
		r.unconfirmed++
	}
}

// ExpectAttempt adds a recorded attempt on the machine, in class MissingUnproven.
func (r *Reconciler) ExpectAttempt(machine string) {
	r.ExpectMachine(machine)
	r.machines[machine].unproven++
	r.unproven++
	r.counts[MissingUnproven]++
}

// CloudListed records that the cloud's list was read and ExpectMachine was called for all machines
// in it.
func (r *Reconciler) CloudListed(now time.Duration) {
	r.cloudListed = true
	r.Advance(now)
}

// RemoveExpectedAttempt reverts ExpectAttempt for an attempt that a later record of the same
// machine replaces.
func (r *Reconciler) RemoveExpectedAttempt(machine string) {
	r.resolveAttempt(machine)
	r.counts[MissingUnproven]--
}

func (r *Reconciler) resolveAttempt(machine string) {
	r.unproven--
	if m := r.machines[machine]; m != nil {
		m.unproven--
	}
}

// ConfirmMachine records a machine's first heartbeat under this term's fencing token.
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

// MachineReleased records that a machine is gone, so that no heartbeat from it is awaited.
func (r *Reconciler) MachineReleased(now time.Duration, machine string) {
	r.ConfirmMachine(now, machine)
}

// AddDifference adds a difference. It is called once for each recorded attempt, with its first
// verdict other than MissingUnproven. For an attempt without a record, only the first call
// counts, with the verdict on its first listing. AddDifference reports whether the attempt was
// new.
func (r *Reconciler) AddDifference(now time.Duration, d Difference) bool {
	d.FoundAt = now
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

// ConfirmAttempt records that a heartbeat lists a recorded attempt. It does the same as
// AddDifference, but keeps no difference. Most attempts are confirmed, and thousands of them
// arrive in the first seconds of a new leader, when its load is highest.
func (r *Reconciler) ConfirmAttempt(now time.Duration, machine string) {
	r.resolveAttempt(machine)
	r.counts[MissingUnproven]--
	r.counts[Confirmed]++
	if r.unproven == 0 {
		r.Advance(now)
	}
}

// ExpectOperations registers the operations that a difference will cause, before the difference
// is added by AddDifference.
func (r *Reconciler) ExpectOperations(d Difference) {
	if r.phase != Settled {
		r.operations.expect(d)
	}
}

// AwaitStop records that an attempt is being stopped because of a difference. StopProven must
// follow once the attempt is proven to be gone.
func (r *Reconciler) AwaitStop() { r.pendingStops++ }

// StopProven records that an attempt for which AwaitStop was called is proven to be gone.
func (r *Reconciler) StopProven(now time.Duration) {
	r.pendingStops--
	r.Advance(now)
}

// Advance enters the next phases whose conditions are met or whose deadlines have passed.
func (r *Reconciler) Advance(now time.Duration) {
	if r.phase == Collecting && (r.unconfirmed == 0 && r.cloudListed || now >= r.collectDeadline()) {
		r.enterPhase(now, Reconciling)
	}
	if r.phase == Reconciling && (r.unconfirmed == 0 && r.unproven == 0 && r.pendingStops == 0 || now >= r.settleDeadline()) {
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

// collectDeadline returns the latest end of the Collecting phase.
func (r *Reconciler) collectDeadline() time.Duration { return r.startedAt + r.config.MaxCollectTime() }

// settleDeadline returns the latest end of the reconciliation. By then, worker leases that were
// not renewed have expired and their machines have been released. Attempts that are still
// unproven are left to the scheduler's regular handling.
func (r *Reconciler) settleDeadline() time.Duration {
	return r.startedAt + r.config.WorkerLease + tuning.SettleGrace
}

// Config returns the reconciliation's configuration.
func (r *Reconciler) Config() Config { return r.config }

// Phase returns the current phase.
func (r *Reconciler) Phase() Phase { return r.phase }
