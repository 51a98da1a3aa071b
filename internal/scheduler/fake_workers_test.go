package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// establishedTime is the run time of a task after which its job counts as established.
const establishedTime = 30 * time.Second

// fakeWorkers simulates the workers of three machines of a harness. They run the tasks that the
// scheduler starts, and report them.
type fakeWorkers struct {
	harness        *harness
	machines       []string
	tasks          map[string]map[string]*fakeTask                            // by machine and task
	runTask        func(task, machine string) (d time.Duration, cause string) // returns run time and exit cause
	checkpointTime time.Duration                                              // of a stopped task; 0: it is removed at once
	imageFetchTime func() time.Duration                                       // nil: no image is fetched

	startedAt        time.Duration
	startCount       int
	firstStartAfter  map[string]time.Duration // by job, since startedAt: first start of a task
	establishedAfter map[string]time.Duration // by job, since startedAt: a task ran for establishedTime
}

// fakeTask is a task that a fake worker runs or has run.
type fakeTask struct {
	report    wire.TaskStatus
	startedAt time.Duration
	fetchedAt time.Duration // end of the image fetch; 0: no image is fetched
	stoppedAt time.Duration // when it was told to stop; 0: it was not
	endsAt    time.Duration
	cause     string // cause of its exit
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

// step moves the time forward by half a second. Workers execute and answer the pending direct
// calls, and each sends a heartbeat.
func (w *fakeWorkers) step() {
	h := w.harness
	h.now += 500 * time.Millisecond
	calls := h.pendingCalls
	h.pendingCalls = nil
	for _, call := range calls {
		w.executeCommands(call.Machine, call.Body.Commands)
	}
	for _, call := range calls {
		h.scheduler.CallDone(h.clock(), call.ID, CallExecuted, h.newHeartbeat(call.Machine, call.Body.FencingToken, w.taskReports(call.Machine)...))
	}
	for _, machine := range w.machines {
		w.executeCommands(machine, h.heartbeat(machine, w.taskReports(machine)...).Commands)
	}
	h.scheduler.Tick(h.clock())
	h.settle()
}

// executeCommands simulates a worker that executes commands.
func (w *fakeWorkers) executeCommands(machine string, commands []wire.Command) {
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
	runTime, cause := w.runTask(command.Task, machine)
	task := &fakeTask{report: runningReport(command), startedAt: now, endsAt: now + runTime, cause: cause}
	if w.imageFetchTime != nil {
		fetchTime := w.imageFetchTime()
		task.fetchedAt = now + fetchTime
		task.endsAt += fetchTime
	}
	w.tasks[machine][command.Task] = task
	w.startCount++
	jobID, _, _ := wire.ParseTaskName(command.Task)
	if _, ok := w.firstStartAfter[jobID]; !ok {
		w.firstStartAfter[jobID] = now - w.startedAt
	}
}

// stop makes a task save a checkpoint and exit.
func (w *fakeWorkers) stop(task *fakeTask) {
	if task.stoppedAt == 0 {
		task.stoppedAt = w.harness.now
		task.endsAt = min(task.endsAt, w.harness.now+w.checkpointTime)
		task.cause = wire.CauseStopped
	}
}

// taskReports returns the current reports of all tasks of a machine.
func (w *fakeWorkers) taskReports(machine string) (reports []wire.TaskStatus) {
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
		reports = append(reports, task.report)
	}
	return reports
}
