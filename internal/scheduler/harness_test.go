package scheduler

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// harness drives one leader by hand: every commit succeeds at once, and direct
// calls wait until the test answers them.
type harness struct {
	t                 *testing.T
	scheduler         *Scheduler
	now               time.Duration
	revision          uint64
	items             map[string]wire.KeyValue
	calls             []DirectCall
	provisionRequests []ProvisionRequest
	releases          [][]string
	sequences         map[string]uint64
	refuseCommits     bool // commits are refused

	startsInReplies []wire.Command // starts in answers to reports
}

const harnessTerm = 50

func newHarness(t *testing.T, thrifty bool, live map[string]*LiveJob, machines []wire.KeyValue) *harness {
	return newHarnessWith(t, thrifty, live, machines, func(*Settings) {})
}

// newHarnessWith changes the settings before the term begins.
func newHarnessWith(t *testing.T, thrifty bool, live map[string]*LiveJob, machines []wire.KeyValue, change func(*Settings)) *harness {
	h := &harness{t: t, now: time.Hour, revision: 100, items: map[string]wire.KeyValue{}, sequences: map[string]uint64{}}
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}}}
	settings := Settings{Teams: map[string]TeamQuota{"red": {CPUs: 8, CPUsMax: 16}, "blue": {CPUs: 8, CPUsMax: 16}},
		HeartbeatInterval: time.Second, WorkerLease: 12 * time.Second, MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: 1000, MinimizeCost: thrifty,
		GuaranteedStartWithin: 2 * time.Second, Policy: policy.Defaults(thrifty)}
	change(&settings)
	h.startTerm(settings, harnessTerm, live, machines, types)
	return h
}

// startTerm begins a term.
func (h *harness) startTerm(settings Settings, term uint64, live map[string]*LiveJob, storedRecords []wire.KeyValue, types []wire.MachineType) {
	replica := NewReplica()
	for id, liveJob := range live {
		replica.Live[id] = liveJob
	}
	h.scheduler = New(h.clock(), settings, term, replica, nil, storedRecords, types)
	h.scheduler.LeaseHeldUntil(1000 * time.Hour)
	h.settle()
}

func (h *harness) clock() Now { return Now{Mono: h.now, Wall: h.now.Milliseconds()} }

func (h *harness) settle() {
	for range 20 {
		h.now += 4 * time.Millisecond // batches are spaced
		h.scheduler.Settle(h.clock())
		effects := h.scheduler.TakeEffects()
		h.calls = append(h.calls, effects.DirectCalls...)
		h.provisionRequests = append(h.provisionRequests, effects.Provision...)
		h.releases = append(h.releases, effects.Release...)
		if effects.Resign != "" {
			h.t.Fatalf("resigned: %s", effects.Resign)
		}
		if len(effects.Commits) == 0 {
			return
		}
		for _, c := range effects.Commits {
			if h.refuseCommits {
				h.scheduler.CommitDone(h.clock(), c.ID, CommitRefused, 0, nil)
				continue
			}
			h.revision++
			for _, change := range c.Txn.Then {
				raw, err := wire.Marshal(change.Value)
				if err != nil {
					h.t.Fatal(err)
				}
				if change.Delete != "" {
					delete(h.items, change.Delete)
				} else {
					h.items[change.Set] = wire.KeyValue{Key: change.Set, Value: raw, ModRevision: h.revision}
				}
			}
			h.scheduler.CommitDone(h.clock(), c.ID, CommitDone, h.revision, nil)
		}
	}
}

// advance lets time go by, with ticks, while the named machines keep reporting.
func (h *harness) advance(duration time.Duration, machines ...string) {
	for end := h.now + duration; h.now < end; {
		h.now += tuning.TickInterval
		for _, machine := range machines {
			h.heartbeat(machine)
		}
		h.scheduler.Tick(h.clock())
		h.settle()
		h.answerStatusProbes(machines)
	}
}

// answerStatusProbes answers the calls without commands for the named machines.
func (h *harness) answerStatusProbes(machines []string) {
	calls := h.calls
	h.calls = nil
	for _, c := range calls {
		if len(c.Body.Commands) == 0 && slices.Contains(machines, c.Machine) {
			h.answer(c, CallExecuted)
		} else {
			h.calls = append(h.calls, c)
		}
	}
}

// heartbeat sends a machine's report, under the token it was last told.
func (h *harness) heartbeat(name string, tasks ...wire.TaskStatus) wire.HeartbeatReply {
	return h.heartbeatWithToken(name, h.fencingToken(name), tasks...)
}

func (h *harness) fencingToken(name string) uint64 {
	if m := h.scheduler.cluster.machines[name]; m != nil {
		return h.scheduler.fencingToken(m)
	}
	return 0
}

func (h *harness) newHeartbeat(name string, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h.sequences[name]++
	zone := "a"
	if name > "n-5" {
		zone = "b"
	}
	return &wire.Heartbeat{Machine: name, Address: name + ":1", Type: "box", Zone: zone, Incarnation: 1, Sequence: h.sequences[name], FencingToken: token, Tasks: tasks}
}

func (h *harness) heartbeatWithToken(name string, token uint64, tasks ...wire.TaskStatus) wire.HeartbeatReply {
	reply, ok := h.scheduler.Heartbeat(h.clock(), h.newHeartbeat(name, token, tasks...))
	if !ok {
		h.t.Fatal("not answered")
	}
	for _, command := range reply.Commands {
		if command.Verb == wire.VerbRun {
			h.startsInReplies = append(h.startsInReplies, command)
		}
	}
	h.settle()
	return reply
}

// bringUp brings machines up: they report, and answer the question that follows.
func (h *harness) bringUp(names ...string) {
	for _, n := range names {
		h.heartbeat(n)
		h.answerAll(CallExecuted)
		h.heartbeat(n)
	}
}

// answerAll answers all direct calls that are out with what was asked for.
func (h *harness) answerAll(result CallResult) {
	for len(h.calls) > 0 {
		c := h.calls[0]
		h.calls = h.calls[1:]
		h.answer(c, result)
	}
}

func (h *harness) answer(c DirectCall, result CallResult) {
	var heartbeat *wire.Heartbeat
	if result != CallLost {
		var tasks []wire.TaskStatus
		m := h.scheduler.cluster.machines[c.Machine]
		for _, a := range m.sortedAttempts() {
			if a.start.acknowledged {
				tasks = append(tasks, wire.TaskStatus{Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number, State: wire.TaskRunning})
			}
		}
		for _, command := range c.Body.Commands {
			if command.Verb == wire.VerbRun {
				tasks = append(tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning})
			}
			for i := range tasks {
				if command.Verb == wire.VerbStop && tasks[i].Task == command.Task {
					tasks[i].State, tasks[i].Cause = wire.TaskExited, wire.CauseStopped
				}
			}
		}
		heartbeat = h.newHeartbeat(c.Machine, c.Body.FencingToken, tasks...)
	}
	h.scheduler.CallDone(h.clock(), c.ID, result, heartbeat)
	h.settle()
}

func (h *harness) submit(j wire.Job) {
	j.CreatedAtMilli = h.now.Milliseconds()
	if j.Team == "" {
		j.Team = "red"
	}
	if j.Shape == "" {
		j.Shape = wire.ShapeArray
	}
	if j.Priority == "" {
		j.Priority = wire.PriorityNormal
	}
	if j.Image == "" {
		j.Image = "img"
	}
	h.revision++
	h.scheduler.JobsChanged(h.clock(), []JobChange{{j.ID, &LiveJob{Record: &records.Job{Job: j}, ModRevision: h.revision}}})
	h.now += tuning.MinPlacementInterval
	h.settle()
}

// startCommands lists the start commands in answers and among the calls that are out.
func (h *harness) startCommands() (out []wire.Command) {
	out = append(out, h.startsInReplies...)
	for _, c := range h.calls {
		for _, command := range c.Body.Commands {
			if command.Verb == wire.VerbRun {
				out = append(out, command)
			}
		}
	}
	return out
}

func runningReport(o wire.Command) wire.TaskStatus {
	return wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.TaskRunning}
}

func exitedReport(o wire.Command, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, State: wire.TaskExited, Cause: cause}
}

func machineRecordItem(t *testing.T, name string, rec records.LegacyMachine) wire.KeyValue {
	raw, err := wire.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: records.LegacyMachineKey(name), Value: raw, ModRevision: 7}
}

// recordedAttempts counts the attempts in the batches.
func (h *harness) recordedAttempts() (n int) {
	for key, it := range h.items {
		if !strings.HasPrefix(key, records.BatchPrefix) {
			continue
		}
		rec, err := records.DecodeBatch(it.Value)
		if err != nil {
			h.t.Fatal(err)
		}
		for _, m := range rec.Machines {
			for _, r := range m.Runs {
				n += int(r[2])
			}
		}
	}
	return n
}

// runningTasks lists what a machine would report: all that is placed there, running.
func (h *harness) runningTasks(name string) (out []wire.TaskStatus) {
	for _, a := range h.scheduler.cluster.machines[name].sortedAttempts() {
		if a.start.sent {
			out = append(out, wire.TaskStatus{Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number, State: wire.TaskRunning})
		}
	}
	return out
}

// fakeWorkers stands for the machines of a desk: it runs what the leader starts.
type fakeWorkers struct {
	harness                           *harness
	startedAt                         time.Duration
	runTask                           func(task, machine string) (time.Duration, string) // for how long, and how it ends
	machines                          []string
	tasks                             map[string]map[string]*fakeTask
	firstStartAfter, establishedAfter map[string]time.Duration // when a job's first task started, and had run for 30 s
	startCount                        int
	checkpointTime                    time.Duration        // how long a stopped task saves
	imageFetchTime                    func() time.Duration // how long an image takes; nil: no time
}

type fakeTask struct {
	report               wire.TaskStatus
	startedAt, endsAt    time.Duration
	cause                string
	fetchedAt, stoppedAt time.Duration // has its image from then on; was stopped
}

func newFakeWorkers(h *harness, runTask func(task, machine string) (time.Duration, string)) *fakeWorkers {
	workers := &fakeWorkers{harness: h, startedAt: h.now, runTask: runTask, machines: []string{"n-1", "n-2", "n-3"},
		tasks: map[string]map[string]*fakeTask{}, firstStartAfter: map[string]time.Duration{}, establishedAfter: map[string]time.Duration{}}
	for _, machine := range workers.machines {
		workers.tasks[machine] = map[string]*fakeTask{}
	}
	h.bringUp(workers.machines...)
	return workers
}

// step lets half a second go by.
func (workers *fakeWorkers) step() {
	h := workers.harness
	h.now += 500 * time.Millisecond
	calls := h.calls
	h.calls = nil
	for _, call := range calls {
		workers.apply(call.Machine, call.Body.Commands)
	}
	for _, call := range calls {
		h.scheduler.CallDone(h.clock(), call.ID, CallExecuted, h.newHeartbeat(call.Machine, call.Body.FencingToken, workers.taskReports(call.Machine)...))
	}
	for _, machine := range workers.machines {
		workers.apply(machine, h.heartbeat(machine, workers.taskReports(machine)...).Commands)
	}
	h.scheduler.Tick(h.clock())
	h.settle()
}

func (workers *fakeWorkers) apply(machine string, commands []wire.Command) {
	for _, command := range commands {
		switch running := workers.tasks[machine][command.Task]; {
		case command.Verb == wire.VerbRun && (running == nil || running.report.Attempt != command.Attempt):
			run, cause := workers.runTask(command.Task, machine)
			task := &fakeTask{report: runningReport(command), startedAt: workers.harness.now, endsAt: workers.harness.now + run, cause: cause}
			if workers.imageFetchTime != nil {
				task.fetchedAt = workers.harness.now + workers.imageFetchTime()
				task.endsAt += task.fetchedAt - workers.harness.now
			}
			workers.tasks[machine][command.Task] = task
			workers.startCount++
			id, _, _ := wire.ParseTaskName(command.Task)
			if _, ok := workers.firstStartAfter[id]; !ok {
				workers.firstStartAfter[id] = workers.harness.now - workers.startedAt
			}
		case command.Verb == wire.VerbStop && running != nil && running.report.Attempt == command.Attempt && workers.checkpointTime > 0:
			if running.stoppedAt == 0 {
				running.stoppedAt, running.endsAt, running.cause = workers.harness.now, min(running.endsAt, workers.harness.now+workers.checkpointTime), wire.CauseStopped
			}
		case command.Verb != wire.VerbRun && running != nil && running.report.Attempt == command.Attempt:
			delete(workers.tasks[machine], command.Task)
		}
	}
}

func (workers *fakeWorkers) taskReports(machine string) (out []wire.TaskStatus) {
	for _, name := range slices.Sorted(maps.Keys(workers.tasks[machine])) {
		task := workers.tasks[machine][name]
		id, _, _ := wire.ParseTaskName(name)
		if _, ok := workers.establishedAfter[id]; !ok && workers.harness.now-task.startedAt >= 30*time.Second {
			workers.establishedAfter[id] = workers.harness.now - workers.startedAt
		}
		task.report.State = wire.TaskRunning
		if task.fetchedAt > workers.harness.now {
			task.report.State = wire.TaskFetching
		}
		if task.endsAt <= workers.harness.now {
			task.report.State, task.report.Cause = wire.TaskExited, task.cause
		}
		out = append(out, task.report)
	}
	return out
}
