package scheduler

import (
	"cmp"
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

// harness drives one scheduler step by step. Every transaction succeeds at once unless the test
// refuses transactions, and direct calls wait until the test answers them.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration

	items         map[string]wire.KeyValue // stored items, by key
	revision      uint64                   // revision of the last transaction
	refuseCommits bool                     // refuse all transactions
	refusal       CommitResult             // what refused transactions get; CommitRefused unless set
	storeLimits   *harnessStoreLimits      // reject larger transactions; nil: none is too large

	pendingCalls      []DirectCall // direct calls without an answer yet
	provisionRequests []ProvisionRequest
	releases          [][]string        // machine names of each release request
	startsInReplies   []wire.Command    // start commands in replies to heartbeats
	sequences         map[string]uint64 // sequence number of the last heartbeat, by machine
}

// harnessTerm is the term of a new harness.
const harnessTerm = 50

// harnessConfig has the initial state and the settings of the first term of a harness.
type harnessConfig struct {
	liveJobs       map[string]*LiveJob
	records        []wire.KeyValue // stored assignments
	minimizeCost   bool
	modifySettings func(*Settings) // modifies the settings before the term begins; may be nil
}

// newHarness begins a term without jobs or records.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, harnessConfig{})
}

// newHarnessWith begins a term with the given state and settings.
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
	if config.modifySettings != nil {
		config.modifySettings(&settings)
	}
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}}}
	h.startTerm(settings, harnessTerm, config.liveJobs, config.records, types)
	return h
}

// startTerm begins a term from live jobs and stored assignment records.
func (h *harness) startTerm(settings Settings, term uint64, liveJobs map[string]*LiveJob, storedRecords []wire.KeyValue, types []wire.MachineType) {
	h.t.Helper()
	replica := NewReplica()
	for id, liveJob := range liveJobs {
		replica.Live[id] = liveJob
	}
	h.scheduler = New(h.clock(), settings, term, replica, nil, storedRecords, types)
	h.scheduler.ExtendLease(1000 * time.Hour)
	h.settle()
}

// numberedMachineName returns the name of the machine with the given number.
func numberedMachineName(number int) string { return fmt.Sprintf("n-%06d", number) }

func (h *harness) clock() Now { return Now{Mono: h.now, Wall: h.now.Milliseconds()} }

// settle settles the scheduler and commits its transactions until there are no more.
func (h *harness) settle() {
	h.t.Helper()
	for range 20 {
		h.now += 4 * time.Millisecond // the persister writes batches at intervals, see nextBatchAt
		h.scheduler.Settle(h.clock())
		effects := h.scheduler.TakeEffects()
		h.pendingCalls = append(h.pendingCalls, effects.DirectCalls...)
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

// commit stores a transaction, or refuses it if refuseCommits is set.
func (h *harness) commit(c Commit) {
	h.t.Helper()
	if h.refuseCommits {
		h.scheduler.CommitEnded(h.clock(), c.ID, cmp.Or(h.refusal, CommitRefused), 0, nil)
		return
	}
	if h.storeLimits != nil && h.storeLimits.rejects(c.Txn) {
		h.scheduler.CommitEnded(h.clock(), c.ID, CommitRejected, 0, nil)
		return
	}
	if h.storeLimits != nil && h.storeLimits.refuses(h.now, c.Txn) {
		h.scheduler.CommitEnded(h.clock(), c.ID, CommitRateLimited, 0, nil)
		return
	}
	h.revision++
	storeTransaction(h.t, h.items, c.Txn, h.revision)
	h.scheduler.CommitEnded(h.clock(), c.ID, CommitDone, h.revision, nil)
}

// harnessStoreLimits are limits of a key-value store that the scheduler's settings do not name.
type harnessStoreLimits struct {
	maxOps, maxValueBytes int
	rejectedKey           string // transactions that set it are rejected; empty: none
	rejections            int    // transactions that exceeded a limit

	writeRate   float64 // changes per second; 0: unlimited
	writeBudget tokenBucket
	refusals    int // transactions that exceeded the rate
}

// refuses reports whether a transaction exceeds the rate. Bursts of one second's changes are allowed.
func (l *harnessStoreLimits) refuses(now time.Duration, txn wire.Txn) bool {
	if l.writeRate == 0 {
		return false
	}
	l.writeBudget.refill(now, l.writeRate, l.writeRate)
	if l.writeBudget.take(float64(len(txn.Then))) {
		return false
	}
	l.refusals++
	return true
}

func (l *harnessStoreLimits) rejects(txn wire.Txn) bool {
	tooLarge := len(txn.Then) > l.maxOps || wire.JSONSize(txn) > wire.MaxBody
	for _, op := range txn.Then {
		tooLarge = tooLarge || op.Set != "" && (wire.JSONSize(op.Value) > l.maxValueBytes || op.Set == l.rejectedKey)
	}
	if tooLarge {
		l.rejections++
	}
	return tooLarge
}

// storeTransaction applies the changes of a transaction to the stored items.
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

// storedBatches returns the assignment batches among the stored items.
func storedBatches(items map[string]wire.KeyValue) (batches []wire.KeyValue) {
	for key, item := range items {
		if strings.HasPrefix(key, records.BatchPrefix) {
			batches = append(batches, item)
		}
	}
	return batches
}

// advance moves the time forward by the given duration, with ticks. At every tick the named
// machines send heartbeats and answer status probes.
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

// answerStatusProbes answers the pending status probes to the named machines.
func (h *harness) answerStatusProbes(machines []string) {
	h.t.Helper()
	calls := h.pendingCalls
	h.pendingCalls = nil
	for _, c := range calls {
		if len(c.Body.Commands) == 0 && slices.Contains(machines, c.Machine) {
			h.answer(c, CallExecuted)
		} else {
			h.pendingCalls = append(h.pendingCalls, c)
		}
	}
}

// heartbeat sends a machine's heartbeat with the machine's current fencing token.
func (h *harness) heartbeat(name string, tasks ...wire.TaskStatus) wire.HeartbeatReply {
	h.t.Helper()
	return h.heartbeatWithToken(name, h.fencingToken(name), tasks...)
}

// fencingToken returns a machine's current fencing token, or 0 for an unknown machine.
func (h *harness) fencingToken(name string) uint64 {
	if m := h.scheduler.cluster.machines[name]; m != nil {
		return h.scheduler.fencingToken(m)
	}
	return 0
}

// newHeartbeat returns the next heartbeat of a machine. Machines whose names sort up to n-5 are
// in zone a, the others in zone b.
func (h *harness) newHeartbeat(name string, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h.sequences[name]++
	zone := "a"
	if name > "n-5" {
		zone = "b"
	}
	return &wire.Heartbeat{Machine: name, Address: name + ":1", Type: "box", Zone: zone, Incarnation: 1, Sequence: h.sequences[name], FencingToken: token, Tasks: tasks}
}

// heartbeatWithToken sends a machine's heartbeat with the given fencing token.
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

// bringUp brings machines up: each sends a heartbeat, answers the status probe that follows,
// and sends another heartbeat.
func (h *harness) bringUp(names ...string) {
	h.t.Helper()
	for _, name := range names {
		h.heartbeat(name)
		h.answerAll(CallExecuted)
		h.heartbeat(name)
	}
}

// answerAll answers all pending direct calls with the given result, see answer.
func (h *harness) answerAll(result CallResult) {
	h.t.Helper()
	for len(h.pendingCalls) > 0 {
		c := h.pendingCalls[0]
		h.pendingCalls = h.pendingCalls[1:]
		h.answer(c, result)
	}
}

// answer ends a direct call with the given result. Unless the call is lost, the machine reports
// the tasks that it had acknowledged before, and the effects of the call's start and stop
// commands.
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

// tasksAfter returns the tasks of a machine after it has executed a direct call.
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

// runningStatus returns a worker's report of a running attempt.
func runningStatus(a *attempt) wire.TaskStatus {
	return wire.TaskStatus{Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number, State: wire.TaskRunning}
}

// submit submits a job, with defaults for unset fields, and runs a placement round.
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

// startCommands returns the start commands in replies to heartbeats and in pending direct calls.
func (h *harness) startCommands() (starts []wire.Command) {
	starts = append(starts, h.startsInReplies...)
	for _, c := range h.pendingCalls {
		for _, command := range c.Body.Commands {
			if command.Verb == wire.VerbRun {
				starts = append(starts, command)
			}
		}
	}
	return starts
}

// runningReport returns a worker's report of a started task that runs.
func runningReport(start wire.Command) wire.TaskStatus {
	return wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskRunning}
}

// exitedReport returns a worker's report of a started task that has exited.
func exitedReport(start wire.Command, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: start.Task, Attempt: start.Attempt, State: wire.TaskExited, Cause: cause}
}

// machineRecordItem returns a stored record in the legacy layout, which had one record per
// machine.
func machineRecordItem(t *testing.T, name string, record records.LegacyMachine) wire.KeyValue {
	t.Helper()
	encoded, err := wire.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: records.LegacyMachineKey(name), Value: encoded, ModRevision: 7}
}

// countRecordedAttempts counts the attempts in the stored assignment batches.
func (h *harness) countRecordedAttempts() (count int) {
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

// runningTasks reports all tasks as running whose start was sent to a machine.
func (h *harness) runningTasks(name string) (statuses []wire.TaskStatus) {
	for _, a := range h.scheduler.cluster.machines[name].sortedAttempts() {
		if a.start.sent {
			statuses = append(statuses, runningStatus(a))
		}
	}
	return statuses
}
