package scheduler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// dispatcher sends commands to the workers. It owns the direct calls in flight, the set of
// machines with commands due, the status probes, and the attempt numbers, none of which is ever
// used twice. A machine has at most one call in flight; commands that become due meanwhile are
// sent when the call is answered. If no answer arrives, they are sent in the reply to the
// machine's next heartbeat or with the next call, whichever comes first. A start is sent only after
// its assignment is durable and the worker has forgotten earlier attempts of the task.
type dispatcher struct {
	*termContext

	reconciler        *reconcile.Reconciler   // counts the operations that are sent
	calls             map[uint64]*commandCall // in flight, by effect ID
	probes            statusProbeLimiter
	machinesDue       map[string]bool // by name; see markDue
	lastAttemptNumber uint64          // counter of the last attempt number in this term
}

func newDispatcher(context *termContext, reconciler *reconcile.Reconciler) dispatcher {
	return dispatcher{
		termContext: context,
		reconciler:  reconciler,
		calls:       map[uint64]*commandCall{},
		machinesDue: map[string]bool{},
		probes:      statusProbeLimiter{budget: tokenBucket{tokens: tuning.MinConcurrentStatusProbes, refilledAt: context.now.Mono}},
	}
}

// markDue marks a machine whose due commands are sent after the current input is handled, so
// that all of them share one call.
func (d *dispatcher) markDue(m *machine) { d.machinesDue[m.name] = true }

// isDue reports whether the machine is marked by markDue.
func (d *dispatcher) isDue(m *machine) bool { return d.machinesDue[m.name] }

// takeDue yields the names of the machines marked by markDue, in order. Each stays marked until
// its turn, so that no status probe is sent to it before its commands.
func (d *dispatcher) takeDue() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, name := range slices.Sorted(maps.Keys(d.machinesDue)) {
			delete(d.machinesDue, name)
			if !yield(name) {
				return
			}
		}
	}
}

// exchangeInitiator is the side that opened the connection over which a heartbeat and commands
// are exchanged.
type exchangeInitiator int

const (
	// workerInitiated means that the worker sent a heartbeat on its own. The commands go in the
	// reply, which renews the worker's lease.
	workerInitiated exchangeInitiator = iota
	// leaderInitiated means that the leader sent commands in a direct call. The heartbeat comes
	// in its reply.
	leaderInitiated
)

// heartbeatCommands returns the commands for the reply to a heartbeat.
func (d *dispatcher) heartbeatCommands(m *machine, heartbeat *wire.Heartbeat, jobs map[string]*job) []wire.Command {
	//mutation:stops-before-confirmation
	commands := d.dueStops(m, workerInitiated)
	if TermOf(heartbeat.FencingToken) != d.term && len(m.tasks) > 0 && !m.confirmed {
		return commands
	}
	commands = append(commands, m.takeUnexpectedStops()...)
	starts := d.dueStarts(m)
	for _, a := range starts {
		a.start.replySequence = heartbeat.Sequence
		d.markDispatched(a)
		commands = append(commands, startCommand(a))
	}
	forgets := d.dueForgets(m, jobs)
	//mutation:forget-raises-fencing-token
	if len(forgets) > 0 && m.fencing.startCopyMayArrive(d.now.Mono) {
		m.fenceBeforeForget(heartbeat.Sequence)
	}
	if len(starts) > 0 {
		m.fencing.repliesReadUntil = d.now.Mono + tuning.WorkerHeartbeatTimeout
	}
	return append(commands, forgets...)
}

// fenceBeforeForget raises the fencing token of a reply that makes the worker forget attempts. A
// duplicate of a start that was executed may still arrive, and a worker that has forgotten the
// attempt would execute it again; under the higher token it refuses the duplicate.
func (m *machine) fenceBeforeForget(replySequence uint64) {
	m.fencing.raise()
	for _, a := range m.tasks {
		if a.start.sent && !a.start.acknowledged && a.start.replySequence != replySequence {
			a.start.requiredFencingCounter = m.fencing.counter
		}
	}
}

// sendDue sends a machine its due commands in a direct call. If another call to the machine is
// in flight, they are sent once that call is answered.
func (d *dispatcher) sendDue(m *machine) {
	if m.phase != machineUp || m.address == "" {
		return
	}
	if m.directCalls.inFlight {
		m.directCalls.resendWhenDone = true
		return
	}
	commands := d.dueStops(m, leaderInitiated)
	commands = append(commands, m.takeUnexpectedStops()...)
	starts := d.dueStarts(m)
	for _, a := range starts {
		d.markDispatched(a)
		a.start.callInFlight = true
		commands = append(commands, startCommand(a))
	}
	if len(commands) == 0 {
		return
	}
	if len(starts) > 0 {
		m.fencing.sentStartsDirectly = true
	}
	d.sendCommands(m, commands, starts)
}

// dueStops returns the stops that are due, and records them as sent.
func (d *dispatcher) dueStops(m *machine, initiator exchangeInitiator) []wire.Command {
	var due []*attempt
	for _, a := range m.tasks {
		if a.stopIsDue(d.now.Mono, initiator) {
			due = append(due, a)
		}
	}
	sortAttempts(due)
	commands := []wire.Command{}
	for _, a := range due {
		if !a.stop.sent {
			a.stop.sent = true
			d.countOperation(reconcile.StopOperation, a)
		}
		a.stop.sentAt = d.now.Mono
		commands = append(commands, stopCommand(a.ref, a.number, a.stopGraceS()))
	}
	return commands
}

// stopIsDue reports whether the attempt's stop must be sent now. The reply to a heartbeat renews
// the worker's lease, so each reply repeats the stops of cancelled tasks: the last stop may have
// been lost, and if nothing reaches the machine after this reply, the tasks run for a whole
// lease.
func (a *attempt) stopIsDue(now time.Duration, initiator exchangeInitiator) bool {
	//mutation:renewal-repeats-stops
	return a.stop.requested && a.start.sent &&
		(a.stop.sentAt == 0 || now-a.stop.sentAt >= tuning.StopResendInterval || initiator == workerInitiated && a.job != nil && a.job.cancelled)
}

// stopGraceS returns the time that a stopped attempt has to save its checkpoint, in seconds.
func (a *attempt) stopGraceS() float64 {
	if !a.stop.checkpoint || a.job == nil {
		return 0
	}
	return a.job.spec.CheckpointSaveS + 1
}

// takeUnexpectedStops removes and returns the queued stops of attempts that this leader does not
// track. Each is sent once: if the worker still lists the attempt in its next heartbeat, the
// stop is queued again.
func (m *machine) takeUnexpectedStops() []wire.Command {
	stops := m.unexpectedStops
	m.unexpectedStops = nil
	return stops
}

// dueStarts returns the attempts whose start must be sent now, for the first time or again.
func (d *dispatcher) dueStarts(m *machine) []*attempt {
	if !m.confirmed || m.phase != machineUp {
		return nil
	}
	var due []*attempt
	for _, a := range m.tasks {
		if a.startIsDue(d.now.Mono) {
			due = append(due, a)
		}
	}
	sortAttempts(due)
	return due
}

// startIsDue reports whether the attempt's start is due and allowed to be sent now.
func (a *attempt) startIsDue(now time.Duration) bool {
	//mutation:start-after-record
	if !a.assignment.durable || a.stop.requested || a.start.acknowledged || a.start.callInFlight || a.retry.nextAt > now || a.job == nil || a.job.cancelled {
		return false
	}
	if a.start.sent && a.start.firstSentAt == 0 {
		return false // sent by an earlier leader: the attempt must be proven absent first
	}
	//mutation:start-after-forget
	if ended, listed := a.machine.exited[a.ref]; listed && ended.attempt != a.number {
		// The worker must first forget the ended attempt of the same task, under a higher
		// fencing token. Otherwise it could execute a late duplicate of that attempt's start
		// after this attempt has replaced it.
		return false
	}
	return true
}

// dueForgets returns the commands to forget ended attempts that the worker no longer needs to
// list.
func (d *dispatcher) dueForgets(m *machine, jobs map[string]*job) []wire.Command {
	var commands []wire.Command
	for ref, ended := range m.exited {
		if !m.mayForget(ref, ended, jobs[ref.jobID]) {
			continue
		}
		task := ref.String()
		d.reconciler.CountOperation(d.now.Mono, reconcile.Operation{Kind: reconcile.ForgetOperation, Machine: m.name, Task: task, Number: ended.attempt})
		commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: task, Attempt: ended.attempt})
	}
	sortCommands(commands)
	return commands
}

// mayForget reports whether nothing depends any longer on the worker listing an ended attempt.
// For a completed task, the list is the only evidence until the completion is durable. j is nil
// if the job is not live.
func (m *machine) mayForget(ref taskRef, ended taskExit, j *job) bool {
	if a := m.tasks[ref]; a != nil && a.number == ended.attempt {
		return false
	}
	if !ended.done || j == nil || ref.index >= j.spec.Tasks || j.service || j.cancelled {
		return true
	}
	//mutation:forget-after-durable-end
	return j.progress.saved.Has(ref.index)
}

func startCommand(a *attempt) wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: a.ref.String(), Attempt: a.number}
}

func stopCommand(ref taskRef, number uint64, graceS float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: ref.String(), Attempt: number, GracePeriodS: &graceS}
}

// countOperation counts an operation on an attempt while reconciliation is not settled. It is
// called only for the first operation of each kind on the attempt.
func (d *dispatcher) countOperation(kind reconcile.OperationKind, a *attempt) {
	if d.reconciler.Phase() == reconcile.Settled {
		return
	}
	d.reconciler.CountOperation(d.now.Mono, reconcile.Operation{Kind: kind, Machine: a.machine.name, Task: a.ref.String(), Number: a.number})
}
