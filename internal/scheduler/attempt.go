package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// taskRef names a task.
type taskRef struct {
	jobID string
	index int
}

// String gives the task's name on the wire.
func (ref taskRef) String() string { return wire.TaskName(ref.jobID, ref.index) }

// attempt is one attempt at running a task, on one machine.
type attempt struct {
	ref     taskRef
	job     *job // nil if the job is not live
	machine *machine
	number  uint64

	state     string // as its worker last listed it; empty: not listed yet
	placedAt  time.Duration
	runningAt time.Duration // when it was first seen running; 0: not yet

	assignment     assignmentState
	start          startState
	retry          dispatchRetry
	stop           stopRequest
	reconciliation reconciliationState
}

// assignmentState says which durable records name an attempt.
type assignmentState struct {
	durable bool
	queued  bool // to be written with the next batch
	batches []*assignmentBatch
}

// startState is what is known of an attempt's latest start, and what has to be known
// before the start counts as not executed. See provenAbsent.
type startState struct {
	sent                   bool   // it has been or may have been sent
	acknowledged           bool   // the worker has listed the attempt
	incarnation            uint64 // of the worker to which it was sent
	replySequence          uint64 // of the heartbeat in whose reply it went; 0: in none
	requiredFencingCounter uint64 // fencing counter below which it may still be executed late
	callInFlight           bool   // a direct call with it
	firstSentAt            time.Duration
}

// dispatchRetry plans when a start that is not acknowledged is sent again.
type dispatchRetry struct {
	count     int
	nextAt    time.Duration
	abandoned bool
}

// stopRequest is that of an attempt that has to stop. Once requested it stays so; a stop
// without a checkpoint replaces one with.
type stopRequest struct {
	requested  bool
	sent       bool
	checkpoint bool          // it may save its progress first
	sentAt     time.Duration // last time; 0: due now
}

// reconciliationState is that of an attempt from before the term.
type reconciliationState struct {
	class           reconcile.Class
	deferredVerdict reconcile.Verdict // on an unexpected one, until a heartbeat under this term's token lists it
	awaitsStopProof bool              // a difference asked for its stop
}

// attached reports whether the attempt counts as being on its machine.
func (a *attempt) attached() bool { return a.machine.tasks[a.ref] == a }

// setState takes the state that the worker lists for the attempt, and counts it among
// those of its job that run.
func (a *attempt) setState(state string) {
	if a.job != nil {
		if a.state == wire.TaskRunning {
			a.job.runningCount--
		}
		if state == wire.TaskRunning {
			a.job.runningCount++
		}
	}
	a.state = state
	a.machine.taskSummary = nil
}

// detach removes an attempt that is proven to be gone, with what was kept because of it.
func (s *Scheduler) detach(a *attempt) {
	if !a.attached() {
		return
	}
	s.cluster.detach(a)
	s.reconciler.countStopProven(a)
	if !a.awaitsDurableCompletion() {
		s.persister.removeFromBatches(a)
	}
	s.placement.due = true
}

// stopNow asks for an attempt's end. An earlier request that left the time for a
// checkpoint is replaced.
func (s *Scheduler) stopNow(a *attempt, reason StopReason) {
	if !a.stop.requested || a.stop.checkpoint {
		s.requestStop(a, stopRequest{requested: true}, reason)
	}
}

// stopAfterCheckpoint asks for an attempt's end, and leaves it the time for a checkpoint.
func (s *Scheduler) stopAfterCheckpoint(a *attempt, reason StopReason) {
	if !a.stop.requested {
		s.requestStop(a, stopRequest{requested: true, checkpoint: true}, reason)
	}
}

// requestStop has a stop sent at once. An attempt whose start was never sent simply ends.
func (s *Scheduler) requestStop(a *attempt, request stopRequest, reason StopReason) {
	if !a.stop.requested {
		s.logDebug("task stop requested", "task", a.ref.String(), "machine", a.machine.name, "reason", reason)
	}
	request.sent = a.stop.sent
	a.stop = request
	a.machine.taskSummary = nil
	//mutation:stop-detaches-unsent-only
	if !a.start.sent {
		s.detach(a)
		return
	}
	if !a.start.acknowledged {
		// The start may still be in flight. Only a heartbeat under a higher token will
		// show that it is not.
		//mutation:stop-raises-fencing-token
		a.machine.fencing.raise()
		a.start.requiredFencingCounter = a.machine.fencing.counter
	}
	//mutation:stop-is-sent-at-once
	s.dispatcher.markDue(a.machine) // with all other stops of this input
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.ref.jobID, b.ref.jobID), cmp.Compare(a.ref.index, b.ref.index), cmp.Compare(a.number, b.number))
	})
}

func sortCommands(list []wire.Command) {
	slices.SortFunc(list, func(a, b wire.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
