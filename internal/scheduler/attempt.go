package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// taskRef identifies a task by its job and its index within the job.
type taskRef struct {
	jobID string
	index int
}

// String returns the task's name on the wire.
func (ref taskRef) String() string { return wire.TaskName(ref.jobID, ref.index) }

// attempt is one attempt at running a task, on one machine.
type attempt struct {
	ref     taskRef
	job     *job // nil if the job was not known as live when the attempt was added
	machine *machine
	number  uint64

	state     string        // state that the worker last listed; empty: not listed yet
	placedAt  time.Duration // when the attempt was placed, or became known in this term
	runningAt time.Duration // when the worker first listed it as running; 0: not yet

	assignment     assignmentState
	start          startState
	retry          dispatchRetry
	stop           stopRequest
	reconciliation reconciliationState
}

// assignmentState tracks the durable records that contain an attempt's assignment.
type assignmentState struct {
	durable bool               // a stored batch contains the attempt
	queued  bool               // the attempt waits for the next batch to be written
	batches []*assignmentBatch // batches that contain the attempt
	// rejection delays the next batch with the attempt if the store has rejected one with it alone.
	rejection rejectionBackoff
}

// startState tracks the latest start command of an attempt, with the conditions under which a
// heartbeat proves that it was not executed. See provenAbsent.
type startState struct {
	sent          bool   // the start was sent, or may have been sent by an earlier leader
	acknowledged  bool   // the worker has listed the attempt
	incarnation   uint64 // incarnation of the worker to which the start was sent; 0: unknown
	replySequence uint64 // sequence of the heartbeat whose reply carried the start; 0: none
	// requiredFencingCounter is the lowest fencing counter that rules out a late execution: a
	// worker that has only seen tokens with lower counters may still execute the start.
	requiredFencingCounter uint64
	callInFlight           bool          // a direct call that carries the start is in flight
	firstSentAt            time.Duration // when a start was first sent; 0: not in this term
}

// dispatchRetry schedules the retries of a start that is not acknowledged.
type dispatchRetry struct {
	dispatchCount int           // starts sent, without those that the worker refused
	nextAt        time.Duration // when the next retry is due
	abandoned     bool          // the dispatch deadline has passed; there are no more retries
}

// stopRequest tracks the stop of an attempt. A stop is never withdrawn. A stop without a
// checkpoint replaces a stop with one.
type stopRequest struct {
	requested  bool
	sent       bool          // a stop has been sent
	checkpoint bool          // the task may write a checkpoint first
	sentAt     time.Duration // when the stop was last sent; 0: due now
}

// reconciliationState is the reconciliation status of an attempt from an earlier term.
type reconciliationState struct {
	class reconcile.Class
	// deferredVerdict is the verdict on an unexpected attempt. It is not reported until a
	// heartbeat under this term's fencing token lists the attempt, or the attempt ends.
	deferredVerdict reconcile.Verdict
	awaitsStopProof bool // a difference requires the attempt's stop, which is not proven yet
}

// attached reports whether the attempt is among its machine's tasks.
func (a *attempt) attached() bool { return a.machine.tasks[a.ref] == a }

// setState sets the state that the worker lists for the attempt, and updates its job's count of
// running attempts.
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

// detach removes an attempt that is proven to be gone. If it completed its task, its
// assignment record stays until the completion is durable.
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

// stopNow requests the stop of an attempt without a checkpoint. It replaces an earlier request
// that allowed one.
func (s *Scheduler) stopNow(a *attempt, reason StopReason) {
	if !a.stop.requested || a.stop.checkpoint {
		s.requestStop(a, stopRequest{requested: true}, reason)
	}
}

// stopAfterCheckpoint requests the stop of an attempt and allows it to write a checkpoint
// first. It has no effect if a stop was requested before.
func (s *Scheduler) stopAfterCheckpoint(a *attempt, reason StopReason) {
	if !a.stop.requested {
		s.requestStop(a, stopRequest{requested: true, checkpoint: true}, reason)
	}
}

// requestStop makes a stop due, which is sent after the current input is handled. An attempt
// whose start was never sent is detached instead.
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
		// The start may still be in flight. Only a heartbeat under a higher fencing token
		// proves that the worker will not execute it.
		//mutation:stop-raises-fencing-token
		a.machine.fencing.raise()
		a.start.requiredFencingCounter = a.machine.fencing.counter
	}
	//mutation:stop-is-sent-at-once
	s.dispatcher.markDue(a.machine) // all stops that this input causes share one call
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
