package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// harness drives one scheduler step by step: every transaction succeeds at once, and direct
// calls wait until the test answers them.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration

	items         map[string]wire.KeyValue // what is stored, by key
	revision      uint64                   // of the last transaction
	refuseCommits bool

	calls             []DirectCall // in flight
	provisionRequests []ProvisionRequest
	releases          [][]string
	startsInReplies   []wire.Command
	sequences         map[string]uint64 // of the last heartbeat, by machine
}

// harnessTerm is the term of a new harness.
const harnessTerm = 50

// harnessConfig is what a term of a harness begins with.
type harnessConfig struct {
	live         map[string]*LiveJob
	records      []wire.KeyValue // stored assignments
	minimizeCost bool
	change       func(*Settings) // changes the settings before the term begins; nil: it does not
}

// newHarness begins a term without jobs or records.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, harnessConfig{})
}

// newHarnessWith begins a term.
func newHarnessWith(t *testing.T, config harnessConfig) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Hour, revision: 100, items: map[string]wire.KeyValue{}, sequences: map[string]uint64{}}
	quota := TeamQuota{CPUs: 8, MaxCPUs: 16}
	settings := Settings{
		Teams:             map[string]TeamQuota{"red": quota, "blue": quota},
		HeartbeatInterval: time.Second, WorkerLease: 12 * time.Second, GuaranteedStartWithin: 2 * time.Second,
		MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: 1000,
		MinimizeCost: config.minimizeCost, Policy: policy.Defaults(policy.CostSensitivity(config.minimizeCost)),
	}
	if config.change != nil {
		config.change(&settings)
	}
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}}}
	h.startTerm(settings, harnessTerm, config.live, config.records, types)
	return h
}

// startTerm begins a term from what is stored.
func (h *harness) startTerm(settings Settings, term uint64, live map[string]*LiveJob, storedRecords []wire.KeyValue, types []wire.MachineType) {
	h.t.Helper()
	replica := NewReplica()
	for id, liveJob := range live {
		replica.Live[id] = liveJob
	}
	h.scheduler = New(h.clock(), settings, term, replica, nil, storedRecords, types)
	h.scheduler.ExtendLease(1000 * time.Hour)
	h.settle()
}

// machineNumber is the name of a machine.
func machineNumber(number int) string { return fmt.Sprintf("n-%06d", number) }

func (h *harness) clock() Now { return Now{Mono: h.now, Wall: h.now.Milliseconds()} }

// settle settles the scheduler and commits its transactions until there are no more.
func (h *harness) settle() {
	h.t.Helper()
	for range 20 {
		h.now += 4 * time.Millisecond // assignment batches are spaced
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
			h.commit(c)
		}
	}
}

// commit carries a transaction out, or refuses it.
func (h *harness) commit(c Commit) {
	h.t.Helper()
	if h.refuseCommits {
		h.scheduler.CommitEnded(h.clock(), c.ID, CommitRefused, 0, nil)
		return
	}
	h.revision++
	storeTransaction(h.t, h.items, c.Txn, h.revision)
	h.scheduler.CommitEnded(h.clock(), c.ID, CommitDone, h.revision, nil)
}

// storeTransaction carries out the changes of a transaction on what is stored.
func storeTransaction(tb testing.TB, items map[string]wire.KeyValue, transaction wire.Txn, revision uint64) {
	tb.Helper()
	for _, op := range transaction.Then {
		if op.Delete != "" {
			delete(items, op.Delete)
			continue
		}
		encoded, err := wire.Marshal(op.Value)
		if err != nil {
			tb.Fatal(err)
		}
		items[op.Set] = wire.KeyValue{Key: op.Set, Value: encoded, ModRevision: revision}
	}
}

// storedBatches are the assignment batches among what is stored.
func storedBatches(items map[string]wire.KeyValue) (batches []wire.KeyValue) {
	for key, item := range items {
		if strings.HasPrefix(key, records.BatchPrefix) {
			batches = append(batches, item)
		}
	}
	return batches
}

// advance lets time pass, with ticks, while the named machines send heartbeats and answer
// status probes.
func (h *harness) advance(duration time.Duration, machines ...string) {
	h.t.Helper()
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

// answerStatusProbes answers the status probes of the named machines.
func (h *harness) answerStatusProbes(machines []string) {
	h.t.Helper()
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

// heartbeat sends a machine's heartbeat, under the fencing token that is now used with it.
func (h *harness) heartbeat(name string, tasks ...wire.TaskStatus) wire.HeartbeatReply {
	h.t.Helper()
	return h.heartbeatWithToken(name, h.fencingToken(name), tasks...)
}

// fencingToken is the fencing token that is now used with a machine; 0: it is not known.
func (h *harness) fencingToken(name string) uint64 {
	if m := h.scheduler.cluster.machines[name]; m != nil {
		return h.scheduler.fencingToken(m)
	}
	return 0
}

// newHeartbeat is the next heartbeat of a machine. Machines up to n-5 are in zone a, the
// others in zone b.
func (h *harness) newHeartbeat(name string, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h.sequences[name]++
	zone := "a"
	if name > "n-5" {
		zone = "b"
	}
	return &wire.Heartbeat{Machine: name, Address: name + ":1", Type: "box", Zone: zone, Incarnation: 1, Sequence: h.sequences[name], FencingToken: token, Tasks: tasks}
}

// heartbeatWithToken sends a machine's heartbeat under the given fencing token.
func (h *harness) heartbeatWithToken(name string, token uint64, tasks ...wire.TaskStatus) wire.HeartbeatReply {
	h.t.Helper()
	reply, ok := h.scheduler.Heartbeat(h.clock(), h.newHeartbeat(name, token, tasks...))
	if !ok {
		h.t.Fatalf("the heartbeat of %s is not answered", name)
	}
	for _, command := range reply.Commands {
		if command.Verb == wire.VerbRun {
			h.startsInReplies = append(h.startsInReplies, command)
		}
	}
	h.settle()
	return reply
}

// bringUp brings machines up: they send a heartbeat, and answer the status probe that
// follows.
func (h *harness) bringUp(names ...string) {
	h.t.Helper()
	for _, name := range names {
		h.heartbeat(name)
		h.answerAll(CallExecuted)
		h.heartbeat(name)
	}
}

// answerAll ends all direct calls that are in flight, as answer does.
func (h *harness) answerAll(result CallResult) {
	h.t.Helper()
	for len(h.calls) > 0 {
		c := h.calls[0]
		h.calls = h.calls[1:]
		h.answer(c, result)
	}
}

// answer ends a direct call. Unless it is lost, the machine has done what it was told, and
// lists the tasks that it had acknowledged before and those that were started or stopped.
func (h *harness) answer(call DirectCall, result CallResult) {
	h.t.Helper()
	var heartbeat *wire.Heartbeat
	if result != CallLost {
		tasks := h.tasksAfter(call)
		heartbeat = h.newHeartbeat(call.Machine, call.Body.FencingToken, tasks...)
	}
	h.scheduler.CallDone(h.clock(), call.ID, result, heartbeat)
	h.settle()
}

// tasksAfter lists the tasks of a machine after it has executed a direct call.
func (h *harness) tasksAfter(call DirectCall) (tasks []wire.TaskStatus) {
	for _, a := range h.scheduler.cluster.machines[call.Machine].sortedAttempts() {
		if a.start.acknowledged {
			tasks = append(tasks, runningStatus(a))
		}
	}
	for _, command := range call.Body.Commands {
		if command.Verb == wire.VerbRun {
			tasks = append(tasks, runningReport(command))
		}
		for i := range tasks {
			if command.Verb == wire.VerbStop && tasks[i].Task == command.Task {
				tasks[i].State, tasks[i].Cause = wire.TaskExited, wire.CauseStopped
			}
		}
	}
	return tasks
}

// runningStatus is how a worker reports a running attempt.
func runningStatus(a *attempt) wire.TaskStatus {
	return wire.TaskStatus{Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number, State: wire.TaskRunning}
}

// submit submits a job, with defaults for what it does not say, and lets a placement round
// follow.
func (h *harness) submit(j wire.Job) {
	h.t.Helper()
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

// startCommands lists the starts in replies to heartbeats and in calls that are in flight.
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

// runningReport is how a worker reports the task of a start, once it runs.
func runningReport(start wire.Command) wire.TaskStatus {
	return wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskRunning}
}

// exitedReport is how a worker reports the task of a start, once it has exited.
func exitedReport(start wire.Command, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskExited, Cause: cause}
}

// machineRecordItem is a stored record of the layout that had one for each machine.
func machineRecordItem(t *testing.T, name string, record records.LegacyMachine) wire.KeyValue {
	t.Helper()
	encoded, err := wire.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: records.LegacyMachineKey(name), Value: encoded, ModRevision: 7}
}

// recordedAttempts counts the attempts in stored assignment batches.
func (h *harness) recordedAttempts() (count int) {
	h.t.Helper()
	for _, item := range storedBatches(h.items) {
		batch, err := records.DecodeBatch(item.Value)
		if err != nil {
			h.t.Fatal(err)
		}
		for _, m := range batch.Machines {
			for _, run := range m.Runs {
				count += int(run[2])
			}
		}
	}
	return count
}

// runningTasks lists all tasks that were started on a machine as running.
func (h *harness) runningTasks(name string) (out []wire.TaskStatus) {
	for _, a := range h.scheduler.cluster.machines[name].sortedAttempts() {
		if a.start.sent {
			out = append(out, runningStatus(a))
		}
	}
	return out
}
