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
	RunTime       func(task string) time.Duration // how long a task runs
	TaskFails     func(task string) bool          // whether a task fails here; nil: none does
}

// Worker simulates the agent on one machine, and the tasks there.
type Worker struct {
	Name, Type, Zone, Address string
	Spot                      bool
	MachineType               wire.MachineType
	FencingToken              uint64
	Incarnation, Sequence     uint64
	Terminated                bool

	checker        *RuleChecker
	leaseDuration  time.Duration
	leaseRenewedAt time.Duration // when the last heartbeat with a reply was sent
	advancedTo     time.Duration // the time up to which the tasks are simulated
	interruptionAt time.Duration // when the cloud takes the machine away; 0: not announced
	tasks          map[attempt]*taskStatus
	images         imageCache
	runTime        func(task string) time.Duration
	taskFails      func(task string) bool
}

// attempt names one attempt of a task. A worker may list several of a task: those that
// exited or were refused, and at most one that is active.
type attempt struct {
	task   string
	number uint64
}

// taskState is the state of an attempt, as heartbeats have it.
type taskState string

const (
	taskFetching      taskState = wire.TaskFetching
	taskRunning       taskState = wire.TaskRunning
	taskCheckpointing taskState = wire.TaskCheckpointing
	taskExited        taskState = wire.TaskExited
)

// exitCause says why an attempt exited, as heartbeats have it.
type exitCause string

const (
	exitDone       exitCause = wire.CauseDone
	exitStopped    exitCause = wire.CauseStopped
	exitError      exitCause = wire.CauseError
	exitNoCapacity exitCause = wire.CauseNoCapacity
	exitDuplicate  exitCause = wire.CauseDuplicate
	exitUnknown    exitCause = wire.CauseUnknown
)

// neverEnds is the end of a service's run.
const neverEnds = time.Duration(1<<62 - 1)

// taskStatus is what a worker knows of an attempt.
type taskStatus struct {
	state        taskState
	cause        exitCause
	checkpointed bool
	endsAt       time.Duration // end of the run or of the checkpoint
}

// executing reports whether the attempt uses the machine's processors.
func (t *taskStatus) executing() bool {
	return t.state == taskRunning || t.state == taskCheckpointing
}

// active reports whether the attempt has not exited.
func (t *taskStatus) active() bool { return t.state != taskExited }

// NewWorker returns a worker whose agent starts at a time.
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
		advancedTo:     startsAt,
		tasks:          map[attempt]*taskStatus{},
		images:         newImageCache(),
		runTime:        config.RunTime,
		taskFails:      taskFails,
	}
}

// Advance simulates the worker up to a time and reports whether anything changed.
func (w *Worker) Advance(now time.Duration) (changed bool) {
	if w.Terminated {
		return false
	}
	if now > w.leaseRenewedAt+w.leaseDuration {
		w.expireLease(now)
		return true
	}
	changed = w.advanceFetches(now)
	for _, key := range w.sortedAttempts() {
		if w.advanceTask(key, now) {
			changed = true
		}
	}
	return changed
}

// expireLease ends all tasks and starts a new incarnation.
func (w *Worker) expireLease(now time.Duration) {
	for key, task := range w.tasks {
		if task.active() {
			w.checker.TaskRemoved(key.task, w.Name)
		}
	}
	w.tasks = map[attempt]*taskStatus{}
	w.images.cancelFetches()
	w.Incarnation++
	w.leaseRenewedAt, w.advancedTo = now, now
}

// advanceTask ends a run or a checkpoint whose time has passed.
func (w *Worker) advanceTask(key attempt, now time.Duration) (changed bool) {
	task := w.tasks[key]
	if !task.executing() || task.endsAt > now {
		return false
	}
	if task.state == taskRunning {
		w.checker.TaskCompleted(key.task)
		w.exit(key, task, exitDone)
	} else {
		task.checkpointed = true
		w.exit(key, task, exitStopped)
	}
	return true
}

// Pause simulates a process pause up to a time: nothing is executed, and the lease is not
// checked before the worker resumes. Its tasks therefore stay on the machine past the
// end of the lease, until the first thing that the resumed worker does ends them.
func (w *Worker) Pause(now time.Duration) {
	for _, task := range w.tasks {
		if task.executing() {
			task.endsAt += now - w.advancedTo
		}
	}
	w.advancedTo = now
}

// Restart ends all tasks and starts a new incarnation, as after a lease expiry.
func (w *Worker) Restart(now time.Duration) {
	w.leaseRenewedAt = now - w.leaseDuration - time.Second
	w.Advance(now)
}

// Terminate ends the machine and everything on it.
func (w *Worker) Terminate() {
	for key, task := range w.tasks {
		if task.executing() {
			w.checker.TaskRemoved(key.task, w.Name)
		}
	}
	w.tasks, w.Terminated = map[attempt]*taskStatus{}, true
}

// OutlastTest makes the worker's lease outlast any test, against the protocol: only a
// release then ends the tasks of an unreachable machine.
func (w *Worker) OutlastTest() { w.leaseDuration = time.Hour }

// AnnounceInterruption announces that the cloud takes the spot machine away at a time.
func (w *Worker) AnnounceInterruption(at time.Duration) { w.interruptionAt = at }

// InterruptionAnnounced reports whether the cloud is to take the machine away.
func (w *Worker) InterruptionAnnounced() bool { return w.interruptionAt > 0 }

// startTask starts an attempt whose image is cached.
func (w *Worker) startTask(now time.Duration, key attempt) {
	task, job := w.tasks[key], w.checker.JobOfTask(key.task)
	w.checker.TaskStarted(now, key.task, w)
	task.state = taskRunning
	w.images.add(job.Image, job.ImageGB, w.MachineType.CacheGB, w.imagesInUse())
	switch {
	case w.checker.IsCompleted(key.task):
		w.exit(key, task, exitDone)
	case w.taskFails(key.task):
		w.exit(key, task, exitError)
	case job.Service():
		task.endsAt = neverEnds
	default:
		task.endsAt = now + w.runTime(key.task)
	}
}

func (w *Worker) exit(key attempt, task *taskStatus, cause exitCause) {
	if task.executing() {
		w.checker.TaskRemoved(key.task, w.Name)
	}
	task.state, task.cause = taskExited, cause
}

// sortedAttempts lists the attempts by task and number.
func (w *Worker) sortedAttempts() []attempt {
	attempts := make([]attempt, 0, len(w.tasks))
	for key := range w.tasks {
		attempts = append(attempts, key)
	}
	slices.SortFunc(attempts, func(a, b attempt) int {
		return cmp.Or(strings.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return attempts
}

// FreeCapacity is the capacity that no active attempt uses.
func (w *Worker) FreeCapacity() FreeCapacity {
	free := FreeCapacity{w.Type, w.Zone, w.Spot, w.MachineType.CPUs, w.MachineType.GPUs, w.MachineType.MemoryGB}
	for key, task := range w.tasks {
		if task.active() {
			job := w.checker.JobOfTask(key.task)
			free.CPUs -= job.CPUs
			free.GPUs -= job.GPUs
			free.MemoryGB -= job.MemoryGB
		}
	}
	return free
}

// HasJob reports whether an attempt of a job is active on the machine.
func (w *Worker) HasJob(id string) bool {
	for key, task := range w.tasks {
		if job, _, _ := wire.ParseTaskName(key.task); job == id && task.active() {
			return true
		}
	}
	return false
}

// EachAttempt calls visit with every attempt that the worker lists, by task and number.
func (w *Worker) EachAttempt(visit func(task string, attempt uint64, exited bool)) {
	for _, key := range w.sortedAttempts() {
		visit(key.task, key.number, !w.tasks[key].active())
	}
}

// ActiveAttempts maps the tasks that have an active attempt to its number.
func (w *Worker) ActiveAttempts() map[string]uint64 {
	active := map[string]uint64{}
	for key, task := range w.tasks {
		if task.active() {
			active[key.task] = key.number
		}
	}
	return active
}
