package simulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// WorkerConfig describes a simulated worker and its machine.
type WorkerConfig struct {
	Name          string
	MachineType   wire.MachineType
	Zone          string
	Spot          bool
	LeaseDuration time.Duration
	Checker       *RuleChecker
	RunTime       func(task string) time.Duration // returns how long a task runs
	TaskFails     func(task string) bool          // reports whether a task fails here; nil: none does
}

// Worker simulates one machine: its agent and its tasks.
type Worker struct {
	Name, Type, Zone, Address string
	Spot                      bool
	MachineType               wire.MachineType
	FencingToken              uint64
	Incarnation, Sequence     uint64
	Terminated                bool
	// KeepsOneAttempt makes the worker drop the exited attempts of a task when another attempt of the
	// task starts. The protocol has it list them until they are forgotten.
	KeepsOneAttempt bool

	checker        *RuleChecker
	leaseDuration  time.Duration
	leaseRenewedAt time.Duration // when the incarnation began or its last accepted heartbeat was sent
	advancedUntil  time.Duration // time up to which the worker has been simulated
	interruptionAt time.Duration // announced time at which the cloud reclaims the machine; 0: none
	attempts       map[attemptID]*attemptStatus
	images         imageCache
	runTime        func(task string) time.Duration
	taskFails      func(task string) bool
}

// attemptID identifies one attempt of a task. A worker may list several attempts of a task: any
// number that exited or were refused, and at most one that is active.
type attemptID struct {
	task   string
	number uint64
}

// attemptState is the state of an attempt, in the encoding of heartbeats.
type attemptState string

const (
	attemptFetching      attemptState = wire.TaskFetching
	attemptRunning       attemptState = wire.TaskRunning
	attemptCheckpointing attemptState = wire.TaskCheckpointing
	attemptExited        attemptState = wire.TaskExited
)

// exitCause is the reason for which an attempt exited, in the encoding of heartbeats.
type exitCause string

const (
	exitDone       exitCause = wire.CauseDone
	exitStopped    exitCause = wire.CauseStopped
	exitError      exitCause = wire.CauseError
	exitNoCapacity exitCause = wire.CauseNoCapacity
	exitDuplicate  exitCause = wire.CauseDuplicate
	exitUnknown    exitCause = wire.CauseUnknown
)

// neverEnds is the endsAt of a service's attempt, which runs until it is stopped.
const neverEnds = time.Duration(1<<62 - 1)

// attemptStatus is the state of an attempt on a worker.
type attemptStatus struct {
	state        attemptState
	cause        exitCause
	checkpointed bool          // whether the attempt has saved a checkpoint
	endsAt       time.Duration // when the run, or the saving of the checkpoint, ends
}

// executing reports whether the attempt runs or saves a checkpoint.
func (s *attemptStatus) executing() bool {
	return s.state == attemptRunning || s.state == attemptCheckpointing
}

// active reports whether the attempt has not exited.
func (s *attemptStatus) active() bool { return s.state != attemptExited }

// NewWorker returns a worker whose agent starts at the time startsAt.
func NewWorker(startsAt time.Duration, config WorkerConfig) *Worker {
	taskFails := config.TaskFails
	if taskFails == nil {
		taskFails = func(string) bool { return false }
	}
	return &Worker{
		Name:           config.Name,
		Type:           config.MachineType.Name,
		Zone:           config.Zone,
		Address:        config.Name + ":9000",
		Spot:           config.Spot,
		MachineType:    config.MachineType,
		Incarnation:    1,
		checker:        config.Checker,
		leaseDuration:  config.LeaseDuration,
		leaseRenewedAt: startsAt,
		advancedUntil:  startsAt,
		attempts:       map[attemptID]*attemptStatus{},
		images:         newImageCache(),
		runTime:        config.RunTime,
		taskFails:      taskFails,
	}
}

// Advance simulates the worker up to the time now and reports whether the state of an attempt or
// fetch changed. If the lease has expired, the worker starts a new incarnation instead.
func (w *Worker) Advance(now time.Duration) (changed bool) {
	if w.Terminated {
		return false
	}
	if now > w.leaseRenewedAt+w.leaseDuration {
		w.expireLease(now)
		return true
	}
	changed = w.advanceFetches(now)
	for _, id := range w.sortedAttempts() {
		if w.advanceAttempt(id, now) {
			changed = true
		}
	}
	return changed
}

// expireLease ends all attempts and starts a new incarnation.
func (w *Worker) expireLease(now time.Duration) {
	for id, status := range w.attempts {
		if status.active() {
			w.checker.TaskRemoved(id.task, w.Name)
		}
	}
	w.attempts = map[attemptID]*attemptStatus{}
	w.images.cancelFetches()
	w.Incarnation++
	w.leaseRenewedAt, w.advancedUntil = now, now
}

// advanceAttempt marks an attempt as exited if its run or the saving of its checkpoint has ended.
func (w *Worker) advanceAttempt(id attemptID, now time.Duration) (changed bool) {
	status := w.attempts[id]
	if !status.executing() || status.endsAt > now {
		return false
	}
	if status.state == attemptRunning {
		w.checker.TaskCompleted(id.task)
		w.exit(id, status, exitDone)
	} else {
		status.checkpointed = true
		w.exit(id, status, exitStopped)
	}
	return true
}

// Pause simulates a pause of the worker's processes until the time now: tasks make no progress,
// and the lease is not checked. Tasks therefore stay on the machine after the lease has expired,
// until the next call of Advance ends them.
func (w *Worker) Pause(now time.Duration) {
	for _, status := range w.attempts {
		if status.executing() {
			status.endsAt += now - w.advancedUntil
		}
	}
	w.advancedUntil = now
}

// Restart ends all attempts and starts a new incarnation, as when the lease expires.
func (w *Worker) Restart(now time.Duration) {
	w.leaseRenewedAt = now - w.leaseDuration - time.Second
	w.Advance(now)
}

// Terminate terminates the machine and ends its attempts.
func (w *Worker) Terminate() {
	for id, status := range w.attempts {
		if status.executing() {
			w.checker.TaskRemoved(id.task, w.Name)
		}
	}
	w.attempts, w.Terminated = map[attemptID]*attemptStatus{}, true
}

// PreventLeaseExpiry sets the lease duration to one hour, longer than any test, in violation of
// the protocol. The tasks on an unreachable machine then only end when it is released.
func (w *Worker) PreventLeaseExpiry() { w.leaseDuration = time.Hour }

// AnnounceInterruption announces that the cloud reclaims the spot machine at a time.
func (w *Worker) AnnounceInterruption(at time.Duration) { w.interruptionAt = at }

// InterruptionAnnounced reports whether the cloud has announced that it reclaims the machine.
func (w *Worker) InterruptionAnnounced() bool { return w.interruptionAt > 0 }

// startAttempt starts an attempt whose image has been fetched.
func (w *Worker) startAttempt(now time.Duration, id attemptID) {
	status, job := w.attempts[id], w.checker.JobOfTask(id.task)
	w.checker.TaskStarted(now, id.task, w)
	status.state = attemptRunning
	w.images.addImage(job.Image, job.ImageGB, w.MachineType.CacheGB, w.imagesInUse())
	switch {
	case w.checker.IsCompleted(id.task):
		w.exit(id, status, exitDone)
	case w.taskFails(id.task):
		w.exit(id, status, exitError)
	case job.Service():
		status.endsAt = neverEnds
	default:
		status.endsAt = now + w.runTime(id.task)
	}
}

func (w *Worker) exit(id attemptID, status *attemptStatus, cause exitCause) {
	if status.executing() {
		w.checker.TaskRemoved(id.task, w.Name)
	}
	status.state, status.cause = attemptExited, cause
}

// sortedAttempts returns the attempts, ordered by task and number.
func (w *Worker) sortedAttempts() []attemptID {
	attempts := make([]attemptID, 0, len(w.attempts))
	for id := range w.attempts {
		attempts = append(attempts, id)
	}
	slices.SortFunc(attempts, func(a, b attemptID) int {
		return cmp.Or(strings.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return attempts
}

// FreeCapacity returns the capacity that is not used by active attempts.
func (w *Worker) FreeCapacity() FreeCapacity {
	free := FreeCapacity{w.Type, w.Zone, w.Spot, w.MachineType.CPUs, w.MachineType.GPUs, w.MachineType.MemoryGB}
	for id, status := range w.attempts {
		if status.active() {
			job := w.checker.JobOfTask(id.task)
			free.CPUs -= job.CPUs
			free.GPUs -= job.GPUs
			free.MemoryGB -= job.MemoryGB
		}
	}
	return free
}

// HasJob reports whether a job has an active attempt on the machine.
func (w *Worker) HasJob(jobID string) bool {
	for id, status := range w.attempts {
		if job, _, _ := wire.ParseTaskName(id.task); job == jobID && status.active() {
			return true
		}
	}
	return false
}

// EachAttempt calls visit for every attempt that the worker lists, ordered by task and number.
func (w *Worker) EachAttempt(visit func(task string, attempt uint64, exited bool)) {
	for _, id := range w.sortedAttempts() {
		visit(id.task, id.number, !w.attempts[id].active())
	}
}

// ActiveAttempts returns the attempt number of each task that has an active attempt.
func (w *Worker) ActiveAttempts() map[string]uint64 {
	active := map[string]uint64{}
	for id, status := range w.attempts {
		if status.active() {
			active[id.task] = id.number
		}
	}
	return active
}
