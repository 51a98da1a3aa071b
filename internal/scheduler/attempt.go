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

	recorded bool // durably
	queued   bool // to be written with the next batch
	batches  []*assignmentBatch
	sent     bool // a start has been or may have been sent
	seen     bool // the worker has listed it: the start is acknowledged
	state    string

	// The latest start: what has to be known before it counts as not executed.
	session   uint64 // worker's session to which it was sent
	replyTick uint64 // report in whose answer it went; 0 if none
	needFence uint64 // fence below which it may still be executed late
	calling   bool   // a direct call with it is out

	probes    int
	firstSent time.Duration
	nextProbe time.Duration
	giveUp    bool

	class      reconcile.Class   // of one from before the term
	pending    reconcile.Verdict // on one that was unexpected, until a report under our token shows it
	awaitsStop bool              // a difference asked for its stop

	halt     bool
	haltSent bool
	haltSave bool
	haltWhy  string
	haltedAt time.Duration // last time that a stop was sent

	placedAt  time.Duration
	runningAt time.Duration
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
	a.machine.cpus += j.spec.CPUs
	a.machine.gpus += j.spec.GPUs
	a.machine.mem += j.spec.MemoryGB
	u := s.teamUsage(j.spec.Team)
	u.CPUs += j.spec.CPUs
	u.GPUs += j.spec.GPUs
}

func (s *Scheduler) teamUsage(team string) *TeamQuota {
	u := s.usage[team]
	if u == nil {
		u = &TeamQuota{}
		s.usage[team] = u
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
		m.cpus, m.gpus, m.mem = 0, 0, 0 // sheds rounding
	}
	if !a.awaitsDurableCompletion() {
		s.removeFromBatches(a)
	}
	s.dirtyPlace = true
	j := a.job
	if j == nil {
		return
	}
	if a.state == wire.TaskRunning {
		j.runningCount--
	}
	if len(m.tasks) > 0 {
		m.cpus -= j.spec.CPUs
		m.gpus -= j.spec.GPUs
		m.mem -= j.spec.MemoryGB
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
		delete(s.jobs, j.id)
	}
	if !j.done.Has(a.ref.index) {
		j.returned = append(j.returned, a.ref.index)
	}
}

// stop asks for an attempt's end and sends that at once. An attempt that was
// never sent simply ends.
func (s *Scheduler) stopAttempt(a *attempt, checkpoint bool, reason string) {
	if !a.halt {
		a.haltWhy = reason
		s.log(true, "stop", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", a.machine.name, "why", reason)
	}
	if a.halt && (checkpoint || !a.haltSave) {
		return
	}
	a.halt, a.haltSave, a.haltedAt = true, checkpoint, 0
	a.machine.taskSummary = nil
	//mutation:stop-detaches-unsent-only
	if !a.sent {
		s.detach(a)
		return
	}
	if !a.seen {
		// The start may still be on its way: only a report under a higher token
		// will show that it is not.
		//mutation:stop-raises-fencing-token
		s.raiseFencingToken(a.machine)
		a.needFence = a.machine.fence
	}
	//mutation:stop-is-sent-at-once
	s.pushDue[a.machine.name] = true // with all other stops of this input
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
