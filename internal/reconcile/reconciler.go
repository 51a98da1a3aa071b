// Package reconcile compares what a new leader has read from its records with what the
// machines report, and holds back what would only be needed if unheard machines were
// gone. It is a state machine without I/O, clock or goroutines, like package core, whose
// leader consults it. docs/recovery.md has the ways that were weighed.
package reconcile

import (
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Phase is how far a recovery is.
type Phase uint8

// Phases, in their order. A node that has been elected and reads the records is Loading;
// a Reconciler begins with Collecting.
const (
	Loading Phase = iota
	Collecting
	Reconciling
	Settled

	phaseCount
)

var phaseNames = [phaseCount]string{"loading", "collecting", "reconciling", "settled"}

func (p Phase) String() string { return phaseNames[p] }

// Config is what a recovery depends on.
type Config struct {
	// Enabled is whether anything is held back. Without it differences are still
	// found, counted and shown.
	Enabled bool
	// Cold is whether all controllers were away: machines are then late for a reason
	// that is not theirs.
	Cold                           bool
	HeartbeatInterval, WorkerLease time.Duration
	// CollectTimeout bounds the collecting phase; 0: it follows from Report and Lease.
	CollectTimeout time.Duration
	CloudRate      float64 // requests a second that the cloud takes; 0: not known
	Trace          bool    // have an event for each machine that is heard and each order
}

// CollectBound is how long after the records are read machines may take to report: a
// report that hangs at a dead controller until it times out, the pause before the next
// try, a report interval, and the report that follows a new token.
func (c Config) CollectBound() time.Duration {
	if c.CollectTimeout > 0 {
		return min(c.CollectTimeout, c.WorkerLease)
	}
	return min(c.HeartbeatInterval*5/4+tuning.WorkerHeartbeatTimeout+2*tuning.WorkerRetryDelay, c.WorkerLease)
}

// machineState is what is known of a machine from before the term.
type machineState struct {
	confirmed bool
	unproven  int // attempts in class MissingUnproven
}

// Reconciler is the state of one recovery, that of one term.
type Reconciler struct {
	config         Config
	startedAt      time.Duration
	phase          Phase
	phaseStartedAt [phaseCount]time.Duration // when each phase began

	machines           map[string]*machineState
	unconfirmed        int              // machines that have not reported under this term's token
	cloudListed        bool             // the cloud's list was read in this term
	unproven           int              // attempts in class MissingUnproven
	pendingStops       int              // attempts to be stopped that are not proven gone yet
	unrecordedAttempts map[Attempt]bool // attempts without a record that were found
	recordsIncomplete  bool             // a task ran that no record named: there may be more

	counts             [classCount]int
	differences        []Difference
	droppedDifferences int // differences beyond tuning.MaxListedDifferences
	operations         operationLedger
	cloudLimiter       *rate.Limiter // nil: not bounded
	events             []Event
}

// New begins a recovery, when the records have been read.
func New(now time.Duration, config Config) *Reconciler {
	r := &Reconciler{config: config, startedAt: now, phase: Collecting, machines: map[string]*machineState{},
		unrecordedAttempts: map[Attempt]bool{}, operations: newOperationLedger()}
	r.phaseStartedAt[Collecting] = now
	if config.CloudRate > 0 {
		r.cloudLimiter = rate.NewLimiter(rate.Limit(config.CloudRate*tuning.ReconcileCloudRateShare), tuning.ReconcileCloudBurst)
	}
	return r
}

// ControllerSurvived takes note that some controller outlived the change of leader, so that silent
// machines are silent on their own account.
func (r *Reconciler) ControllerSurvived() { r.config.Cold = false }

// ExpectMachine adds a machine from before the term, by a record or the cloud's list.
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

// ConfirmMachine takes note that a machine has reported under this term's token.
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

// MachineReleased takes note that a machine is released: nothing is awaited from it.
func (r *Reconciler) MachineReleased(now time.Duration, machine string) {
	r.ConfirmMachine(now, machine)
}

// AddDifference takes the verdict on an attempt, one for each: of a recorded one it is the first
// that is not MissingUnproven, and one without a record is found when it is first
// reported. It says whether the attempt is new.
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

// ConfirmAttempt takes note that a recorded attempt was reported: as Found would, without a
// difference to keep. That is most of them, and thousands come in the seconds in which a
// new leader has most to do.
func (r *Reconciler) ConfirmAttempt(now time.Duration, machine string) {
	r.resolveAttempt(machine)
	r.counts[MissingUnproven]--
	r.counts[Confirmed]++
	if r.unproven == 0 {
		r.Advance(now)
	}
}

// ExpectOperations takes note of the orders that a difference leads to, for an attempt that is found
// only later.
func (r *Reconciler) ExpectOperations(d Difference) {
	if r.phase != Settled {
		r.operations.expect(d)
	}
}

// AwaitStop takes note that an attempt is being stopped for a difference, and Stopped
// that it is proven gone.
func (r *Reconciler) AwaitStop() { r.pendingStops++ }

// StopProven is the end of an AwaitStop.
func (r *Reconciler) StopProven(now time.Duration) {
	r.pendingStops--
	r.Advance(now)
}

// Advance moves on to the phase that is due.
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

// settleUntil bounds the recovery: by then leases that nobody renewed have ended, and
// the machines have been given back. What is open then is ordinary business.
func (r *Reconciler) settleUntil() time.Duration {
	return r.startedAt + r.config.WorkerLease + tuning.SettleGrace
}

// Config is what the recovery depends on.
func (r *Reconciler) Config() Config { return r.config }

// Phase is how far the recovery is.
func (r *Reconciler) Phase() Phase { return r.phase }

// MayHaveCapacity reports whether a machine may yet report with room for work, so that none
// is rented and nothing stopped for that work. One that left a question unanswered
// counts only where all machines are late.
func (r *Reconciler) MayHaveCapacity(machine string, unanswered bool) bool {
	if !r.config.Enabled || r.phase != Collecting || unanswered && !r.config.Cold {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// AwaitsCapacity reports whether MayHaveCapacity can hold for any machine.
func (r *Reconciler) AwaitsCapacity() bool {
	return r.config.Enabled && r.phase == Collecting && r.unconfirmed > 0
}

// HoldsRelease reports whether a machine is kept although questions to it stay
// unanswered: after a cold restart it is late, and only its lease tells that it is gone.
func (r *Reconciler) HoldsRelease(now time.Duration, machine string) bool {
	if !r.config.Enabled || !r.config.Cold || now >= r.startedAt+r.config.WorkerLease-tuning.EarlyReleaseMargin {
		return false
	}
	m := r.machines[machine]
	return m != nil && !m.confirmed
}

// HoldsIdleReleases reports whether idle machines are kept: what they may be needed for
// is not known before the others are heard.
func (r *Reconciler) HoldsIdleReleases() bool { return r.config.Enabled && r.phase == Collecting }

// HoldsTeamLimits reports whether nobody is stopped for room under a team's limit: after
// a cold restart, part of what counts there may turn out to be gone.
func (r *Reconciler) HoldsTeamLimits() bool {
	return r.config.Enabled && r.config.Cold && r.phase == Collecting && r.unproven > 0
}

// HoldsRecoveredWork reports whether tasks from before the term that no record places
// have to wait: a machine has reported a task without a record, so that unheard ones may
// have others.
func (r *Reconciler) HoldsRecoveredWork() bool {
	return r.config.Enabled && r.recordsIncomplete && r.phase == Collecting
}

// CloudCallReady reports whether a call to the cloud may be made now. Until the recovery
// is settled they are paced, since half of a fleet may need to be replaced.
func (r *Reconciler) CloudCallReady(now time.Duration) bool {
	return !r.pacesCloudCalls() || r.cloudLimiter.TokensAt(limiterTime(now)) >= 1
}

// TakeCloudCall takes the place of one call to the cloud, if there is one now.
func (r *Reconciler) TakeCloudCall(now time.Duration) bool {
	return !r.pacesCloudCalls() || r.cloudLimiter.AllowN(limiterTime(now), 1)
}

func (r *Reconciler) pacesCloudCalls() bool {
	//mutation:replacement-pace
	return r.config.Enabled && r.phase != Settled && r.cloudLimiter != nil
}

// limiterTime puts a time since the process's start onto the limiter's scale.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// UnconfirmedMachines lists the machines that have not reported, by name after from.
func (r *Reconciler) UnconfirmedMachines(from string, limit int) []string {
	var names []string
	for name, m := range r.machines {
		if !m.confirmed && name > from {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names[:min(len(names), limit)]
}
