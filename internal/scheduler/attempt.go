package scheduler

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// taskRef names a task.
type taskRef struct {
	jobID string
	index int
}

// attempt is one try of a task on one machine.
type attempt struct {
	ref     taskRef
	job     *job // nil if the job is not live
	machine *machine
	number  uint64

	state string

	placedAt  time.Duration
	runningAt time.Duration

	assignment     assignmentState
	start          startState
	retry          dispatchRetry
	stop           stopRequest
	reconciliation reconciliationState
}

// attach enters an attempt everywhere that counts it.
func (s *Scheduler) attach(a *attempt) {
	a.machine.tasks[a.ref] = a
	a.machine.taskSummary = nil
	if a.job == nil {
		return
	}
	j := a.job
	if len(j.active[a.ref.index]) == 0 {
		j.activeCount++
	}
	j.active[a.ref.index] = append(j.active[a.ref.index], a)
	a.machine.used.cpus += j.spec.CPUs
	a.machine.used.gpus += j.spec.GPUs
	a.machine.used.memoryGB += j.spec.MemoryGB
	u := s.teamUsage(j.spec.Team)
	u.CPUs += j.spec.CPUs
	u.GPUs += j.spec.GPUs
}

func (s *Scheduler) teamUsage(team string) *TeamQuota {
	u := s.cluster.usage[team]
	if u == nil {
		u = &TeamQuota{}
		s.cluster.usage[team] = u
	}
	return u
}

// detach removes an attempt that is proven gone.
func (s *Scheduler) detach(a *attempt) {
	m := a.machine
	if m.tasks[a.ref] != a {
		return
	}
	delete(m.tasks, a.ref)
	m.taskSummary = nil
	s.countStopProven(a)
	if len(m.tasks) == 0 {
		m.idleSince = s.now.Mono
		m.used.cpus, m.used.gpus, m.used.memoryGB = 0, 0, 0 // sheds rounding
	}
	if !a.awaitsDurableCompletion() {
		s.removeFromBatches(a)
	}
	s.placement.due = true
	j := a.job
	if j == nil {
		return
	}
	if a.state == wire.TaskRunning {
		j.runningCount--
	}
	if len(m.tasks) > 0 {
		m.used.cpus -= j.spec.CPUs
		m.used.gpus -= j.spec.GPUs
		m.used.memoryGB -= j.spec.MemoryGB
	}
	u := s.teamUsage(j.spec.Team)
	u.CPUs -= j.spec.CPUs
	u.GPUs -= j.spec.GPUs
	list := j.active[a.ref.index]
	for i, x := range list {
		if x == a {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) > 0 {
		j.active[a.ref.index] = list
		return
	}
	delete(j.active, a.ref.index)
	j.activeCount--
	if j.archived && j.activeCount == 0 {
		delete(s.cluster.jobs, j.id)
	}
	if !j.progress.done.Has(a.ref.index) {
		j.indices.freed = append(j.indices.freed, a.ref.index)
	}
}

// stopAttempt asks for an attempt's end and sends that at once. An attempt that was
// never sent simply ends.
func (s *Scheduler) stopAttempt(a *attempt, checkpoint bool, reason string) {
	if !a.stop.requested {
		a.stop.reason = reason
		s.log(true, "stop", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", a.machine.name, "why", reason)
	}
	if a.stop.requested && (checkpoint || !a.stop.checkpoint) {
		return
	}
	a.stop.requested, a.stop.checkpoint, a.stop.sentAt = true, checkpoint, 0
	a.machine.taskSummary = nil
	//mutation:stop-detaches-unsent-only
	if !a.start.sent {
		s.detach(a)
		return
	}
	if !a.start.acknowledged {
		// The start may still be on its way: only a report under a higher token
		// will show that it is not.
		//mutation:stop-raises-fencing-token
		a.machine.fencing.raise()
		a.start.requiredFence = a.machine.fencing.counter
	}
	//mutation:stop-is-sent-at-once
	s.dispatcher.markDue(a.machine) // with all other stops of this input
}

func sortAttempts(list []*attempt) {
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.ref.jobID != y.ref.jobID {
			return x.ref.jobID < y.ref.jobID
		}
		if x.ref.index != y.ref.index {
			return x.ref.index < y.ref.index
		}
		return x.number < y.number
	})
}

func sortCommands(list []wire.Command) {
	sort.Slice(list, func(a, b int) bool {
		if list[a].Task != list[b].Task {
			return list[a].Task < list[b].Task
		}
		return list[a].Attempt < list[b].Attempt
	})
}

// assignmentState says which durable records name an attempt.
type assignmentState struct {
	durable bool
	queued  bool // to be written with the next batch
	batches []*assignmentBatch
}

// startState is what is known of an attempt's latest start: all that has to be known
// before it counts as not executed. See provenAbsent.
type startState struct {
	sent          bool   // it has been or may have been sent
	acknowledged  bool   // the worker has listed the attempt
	incarnation   uint64 // of the worker to which it was sent
	replySequence uint64 // of the heartbeat in whose reply it went; 0 if none
	requiredFence uint64 // fencing counter below which it may still be executed late
	callInFlight  bool   // a direct call with it
	firstSentAt   time.Duration
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
	checkpoint bool // save progress first
	reason     string
	sentAt     time.Duration // last time
}

// reconciliationState is that of an attempt from before the term.
type reconciliationState struct {
	class           reconcile.Class
	deferredVerdict reconcile.Verdict // on an unexpected one, until a heartbeat under our token shows it
	awaitsStop      bool              // a difference asked for its stop
}
