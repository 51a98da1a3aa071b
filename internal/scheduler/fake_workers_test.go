package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// establishedTime is how long a task has to run for its job to count as established.
const establishedTime = 30 * time.Second

// fakeWorkers are the workers of three machines of a harness: they run what the scheduler
// starts and report it.
type fakeWorkers struct {
	harness        *harness
	machines       []string
	tasks          map[string]map[string]*fakeTask                            // by machine and task
	runTask        func(task, machine string) (d time.Duration, cause string) // how long it runs, and how it exits
	checkpointTime time.Duration                                              // how long a stopped task saves its progress; 0: it is gone at once
	imageFetchTime func() time.Duration                                       // nil: images take no time

	startedAt        time.Duration
	startCount       int
	firstStartAfter  map[string]time.Duration // when a job's first task started
	establishedAfter map[string]time.Duration // when a task of a job had run for establishedTime
}

// fakeTask is a task that a fake worker runs or has run.
type fakeTask struct {
	report    wire.TaskStatus
	startedAt time.Duration
	fetchedAt time.Duration // when it has its image; 0: at once
	stoppedAt time.Duration // 0: it was not stopped
	endsAt    time.Duration
	cause     string // of its exit
}

func newFakeWorkers(h *harness, runTask func(task, machine string) (time.Duration, string)) *fakeWorkers {
	w := &fakeWorkers{
		harness: h, startedAt: h.now, runTask: runTask, machines: []string{"n-1", "n-2", "n-3"},
		tasks: map[string]map[string]*fakeTask{}, firstStartAfter: map[string]time.Duration{}, establishedAfter: map[string]time.Duration{},
	}
	for _, machine := range w.machines {
		w.tasks[machine] = map[string]*fakeTask{}
	}
	h.bringUp(w.machines...)
	return w
}

// step lets half a second pass: workers execute the direct calls in flight, answer them and
// send a heartbeat each.
func (w *fakeWorkers) step() {
	h := w.harness
	h.now += 500 * time.Millisecond
	calls := h.calls
	h.calls = nil
	for _, call := range calls {
		w.apply(call.Machine, call.Body.Commands)
	}
	for _, call := range calls {
		h.scheduler.CallDone(h.clock(), call.ID, CallExecuted, h.newHeartbeat(call.Machine, call.Body.FencingToken, w.taskReports(call.Machine)...))
	}
	for _, machine := range w.machines {
		w.apply(machine, h.heartbeat(machine, w.taskReports(machine)...).Commands)
	}
	h.scheduler.Tick(h.clock())
	h.settle()
}

// apply has a worker execute commands.
func (w *fakeWorkers) apply(machine string, commands []wire.Command) {
	for _, command := range commands {
		task := w.tasks[machine][command.Task]
		known := task != nil && task.report.Attempt == command.Attempt
		switch {
		case command.Verb == wire.VerbRun:
			if !known {
				w.start(machine, command)
			}
		case !known:
		case command.Verb == wire.VerbStop && w.checkpointTime > 0:
			w.stop(task)
		default:
			delete(w.tasks[machine], command.Task)
		}
	}
}

func (w *fakeWorkers) start(machine string, command wire.Command) {
	now := w.harness.now
	run, cause := w.runTask(command.Task, machine)
	task := &fakeTask{report: runningReport(command), startedAt: now, endsAt: now + run, cause: cause}
	if w.imageFetchTime != nil {
		fetch := w.imageFetchTime()
		task.fetchedAt = now + fetch
		task.endsAt += fetch
	}
	w.tasks[machine][command.Task] = task
	w.startCount++
	jobID, _, _ := wire.ParseTaskName(command.Task)
	if _, ok := w.firstStartAfter[jobID]; !ok {
		w.firstStartAfter[jobID] = now - w.startedAt
	}
}

// stop has a task save its progress and exit.
func (w *fakeWorkers) stop(task *fakeTask) {
	if task.stoppedAt == 0 {
		task.stoppedAt = w.harness.now
		task.endsAt = min(task.endsAt, w.harness.now+w.checkpointTime)
		task.cause = wire.CauseStopped
	}
}

// taskReports lists the tasks of a machine as its worker reports them now.
func (w *fakeWorkers) taskReports(machine string) (out []wire.TaskStatus) {
	now := w.harness.now
	for _, name := range slices.Sorted(maps.Keys(w.tasks[machine])) {
		task := w.tasks[machine][name]
		jobID, _, _ := wire.ParseTaskName(name)
		if _, ok := w.establishedAfter[jobID]; !ok && now-task.startedAt >= establishedTime {
			w.establishedAfter[jobID] = now - w.startedAt
		}
		task.report.State = wire.TaskRunning
		if task.fetchedAt > now {
			task.report.State = wire.TaskFetching
		}
		if task.endsAt <= now {
			task.report.State, task.report.Cause = wire.TaskExited, task.cause
		}
		out = append(out, task.report)
	}
	return out
}
