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

// dispatcher owns the way of commands to the workers: the direct calls that are in flight,
// the machines that commands are due for, the status probes, and the numbers of attempts,
// none of which is ever used twice. A machine has at most one call in flight; what falls due
// meanwhile is sent when the call is done. No start is sent before its assignment is
// durable, nor before the worker has forgotten earlier attempts of its task.
type dispatcher struct {
	*termContext

	reconciler        *reconcile.Reconciler // counts what is sent
	calls             map[uint64]*commandCall
	probes            statusProbes
	machinesDue       map[string]bool // by name; commands for them are sent at the end of the input
	lastAttemptNumber uint64          // in this term
}

func newDispatcher(context *termContext, reconciler *reconcile.Reconciler) dispatcher {
	return dispatcher{
		termContext: context,
		reconciler:  reconciler,
		calls:       map[uint64]*commandCall{},
		machinesDue: map[string]bool{},
		probes:      statusProbes{rate: tokenBucket{tokens: tuning.MinConcurrentStatusProbes, refilledAt: context.now.Mono}},
	}
}

// markDue has what is due for a machine sent at the end of the input, so that all of it
// shares one call.
func (d *dispatcher) markDue(m *machine) { d.machinesDue[m.name] = true }

// isDue reports whether commands for the machine are sent at the end of the input.
func (d *dispatcher) isDue(m *machine) bool { return d.machinesDue[m.name] }

// takeDue yields the names of the machines that commands are due for, in order. Each stays
// marked until its turn, so that no status probe goes to it before its commands.
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

// exchange says who opened the connection by which commands and a heartbeat pass.
type exchange int

const (
	// workerInitiated is a heartbeat that the worker sent by itself. Commands go in the
	// reply, which renews the worker's lease.
	workerInitiated exchange = iota
	// leaderInitiated is a direct call with commands. The heartbeat comes in its reply.
	leaderInitiated
)

// heartbeatCommands gathers the commands for the reply to a heartbeat.
func (d *dispatcher) heartbeatCommands(m *machine, heartbeat *wire.Heartbeat, jobs map[string]*job) []wire.Command {
	//mutation:stops-before-confirmation
	commands := d.dueStops(m, workerInitiated)
	if TermOf(heartbeat.FencingToken) != d.term && len(m.tasks) > 0 && !m.confirmed {
		return commands
	}
	commands = append(commands, m.takeUnexpectedStops()...)
	for _, a := range d.dueStarts(m) {
		a.start.replySequence = heartbeat.Sequence
		d.markDispatched(a)
		commands = append(commands, startCommand(a))
	}
	forgets := d.dueForgets(m, jobs)
	//mutation:forget-raises-fencing-token
	if len(forgets) > 0 && m.fencing.sentStartsDirectly {
		m.fenceBeforeForget(heartbeat.Sequence)
	}
	return append(commands, forgets...)
}

// fenceBeforeForget raises the fencing token in the reply that forgets attempts. A duplicate
// of a start that was executed may still arrive, and after the forget the worker would take
// it for a new one; under the higher token it refuses it.
func (m *machine) fenceBeforeForget(replySequence uint64) {
	m.fencing.raise()
	for _, a := range m.tasks {
		if a.start.sent && !a.start.acknowledged && a.start.replySequence != replySequence {
			a.start.requiredFencingCounter = m.fencing.counter
		}
	}
}

// sendDue sends a machine what is due for it by a direct call. While another call to it is
// in flight, this is done when that one has ended.
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

// dueStops gathers the stops that are due and notes that they are sent.
func (d *dispatcher) dueStops(m *machine, via exchange) []wire.Command {
	var due []*attempt
	for _, a := range m.tasks {
		if a.stopIsDue(d.now.Mono, via) {
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

// stopIsDue reports whether a stop of the attempt has to be sent now. The reply to a
// heartbeat renews the worker's lease, so it repeats the stops of cancelled tasks each time:
// the last one may have been lost, and if nothing reaches the machine from now on, they run
// for a whole lease.
func (a *attempt) stopIsDue(now time.Duration, via exchange) bool {
	//mutation:renewal-repeats-stops
	return a.stop.requested && a.start.sent &&
		(a.stop.sentAt == 0 || now-a.stop.sentAt >= tuning.StopResendInterval || via == workerInitiated && a.job != nil && a.job.cancelled)
}

// stopGraceS is how long a stopped attempt has to save its checkpoint, in seconds.
func (a *attempt) stopGraceS() float64 {
	if !a.stop.checkpoint || a.job == nil {
		return 0
	}
	return a.job.spec.CheckpointSaveS + 1
}

// takeUnexpectedStops gives the stops of attempts that this leader does not keep track of.
// Each is given once: the next heartbeat asks for it again if it is needed.
func (m *machine) takeUnexpectedStops() []wire.Command {
	stops := m.unexpectedStops
	m.unexpectedStops = nil
	return stops
}

// dueStarts gathers the attempts whose start has to be sent now, for the first time or again.
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

// startIsDue reports whether the attempt's start may and has to be sent now.
func (a *attempt) startIsDue(now time.Duration) bool {
	//mutation:start-after-record
	if !a.assignment.durable || a.stop.requested || a.start.acknowledged || a.start.callInFlight || a.retry.nextAt > now || a.job == nil || a.job.cancelled {
		return false
	}
	if a.start.sent && a.start.firstSentAt == 0 {
		return false // sent by an earlier leader: it has to be proven absent first
	}
	//mutation:start-after-forget
	if ended, listed := a.machine.exited[a.ref]; listed && ended.attempt != a.number {
		// An ended attempt of the same task has to be forgotten first, under a higher
		// token: else a late duplicate of its start could be taken for a new one once
		// this attempt has replaced it.
		return false
	}
	return true
}

// dueForgets gathers the ended attempts that the worker need not list any longer.
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

// mayForget reports whether nothing depends any longer on the worker's list of an ended
// attempt. Of a completed task it is the only evidence until that is durable. The job is nil
// if it is not live.
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

// countOperation counts the first operation of its kind on an attempt.
func (d *dispatcher) countOperation(kind reconcile.OperationKind, a *attempt) {
	if d.reconciler.Phase() == reconcile.Settled {
		return
	}
	d.reconciler.CountOperation(d.now.Mono, reconcile.Operation{Kind: kind, Machine: a.machine.name, Task: a.ref.String(), Number: a.number})
}
