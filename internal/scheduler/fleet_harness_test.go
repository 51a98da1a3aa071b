package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// fleetHarness drives the scheduler of a large fleet. Transactions and direct calls succeed at
// once, and every machine executes all commands.
type fleetHarness struct {
	tb        testing.TB
	scheduler *Scheduler
	now       time.Duration
	cpuShare  float64 // cores available to the next leader; 0: unknown

	items    map[string]wire.KeyValue // stored items, by key
	revision uint64                   // revision of the last transaction
	liveJobs map[string]*LiveJob

	machineNames  []string
	tasks         map[string]map[string]wire.TaskStatus // by machine and task
	sequences     map[string]uint64                     // sequence number of the last heartbeat, by machine
	fencingTokens map[string]uint64                     // highest fencing token received, by machine

	directCallCount  int // direct calls so far
	statusProbeCount int // direct calls without commands so far
	writtenChanges   int // changes in committed transactions so far
}

// fleetTeams is the number of teams. They submit jobs in turn.
const fleetTeams = 12

func fleetSettings() Settings {
	teams := map[string]TeamQuota{}
	for i := range fleetTeams {
		teams[fmt.Sprintf("team-%02d", i)] = TeamQuota{CPUs: 1500, MaxCPUs: 100_000}
	}
	return Settings{
		Teams: teams, HeartbeatInterval: 5 * time.Second, WorkerLease: 26500 * time.Millisecond, CancellationBound: 46500 * time.Millisecond,
		MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: 70, GuaranteedStartWithin: 5 * time.Second, Policy: policy.Defaults(policy.CostInsensitive),
	}
}

var fleetMachineTypes = []wire.MachineType{{Name: "box", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}}}

// newFleetHarness brings machines up and fills each with two tasks of services and four of
// arrays.
func newFleetHarness(tb testing.TB, machines int) *fleetHarness {
	tb.Helper()
	f := &fleetHarness{
		tb: tb, now: time.Hour, revision: 100, items: map[string]wire.KeyValue{}, liveJobs: map[string]*LiveJob{},
		tasks: map[string]map[string]wire.TaskStatus{}, sequences: map[string]uint64{}, fencingTokens: map[string]uint64{},
	}
	for i := range machines {
		f.machineNames = append(f.machineNames, numberedMachineName(i))
		f.tasks[f.machineNames[i]] = map[string]wire.TaskStatus{}
	}
	f.startTerm(50)
	f.heartbeatAll()
	for i := range machines / 4 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-1%05d", i), Shape: wire.ShapeService, Priority: wire.PriorityProduction, Tasks: 8, CPUs: 2, MemoryGB: 3, SpreadZones: true})
	}
	deadline := 600.0
	for i := range machines / 16 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-2%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 64, CPUs: 2, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &deadline})
	}
	for range 200 {
		f.now += 100 * time.Millisecond
		f.settle()
	}
	f.heartbeatAll()
	return f
}

func (f *fleetHarness) clock() Now { return Now{Mono: f.now, Wall: f.now.Milliseconds()} }

// startTerm begins a term from the live jobs and the stored assignment batches.
func (f *fleetHarness) startTerm(term uint64) {
	replica := NewReplica()
	replica.Live = f.liveJobs
	settings := fleetSettings()
	settings.CPUShare = f.cpuShare
	f.scheduler = New(f.clock(), settings, term, replica, nil, storedBatches(f.items), fleetMachineTypes)
	f.scheduler.autoscaler.listReceived = true
	f.scheduler.ExtendLease(1000 * time.Hour)
}

// submit submits a job, of the next team unless the job names one.
func (f *fleetHarness) submit(j wire.Job) {
	j.CreatedAtMilli, j.Image, j.ImageGB = f.now.Milliseconds(), "img", 1
	if j.Team == "" {
		j.Team = fmt.Sprintf("team-%02d", len(f.liveJobs)%fleetTeams)
	}
	f.revision++
	live := &LiveJob{Record: &records.Job{Job: j}, ModRevision: f.revision}
	f.liveJobs[j.ID] = live
	f.scheduler.JobsChanged(f.clock(), []JobChange{{j.ID, live}})
}

// newHeartbeat returns the next heartbeat of a machine. The machines are in zones a and b by
// turns.
func (f *fleetHarness) newHeartbeat(name string) *wire.Heartbeat {
	f.sequences[name]++
	heartbeat := &wire.Heartbeat{
		Machine: name, Address: name + ":1", Type: "box", Zone: string("ab"[int(name[len(name)-1])%2]),
		Incarnation: 1, Sequence: f.sequences[name], FencingToken: f.fencingTokens[name],
	}
	for _, task := range f.tasks[name] {
		heartbeat.Tasks = append(heartbeat.Tasks, task)
	}
	return heartbeat
}

// executeCommands simulates a machine that executes commands.
func (f *fleetHarness) executeCommands(name string, token uint64, commands []wire.Command) {
	f.fencingTokens[name] = max(f.fencingTokens[name], token)
	tasks := f.tasks[name]
	for _, command := range commands {
		switch task, ok := tasks[command.Task]; {
		case command.Verb == wire.VerbRun && !ok:
			tasks[command.Task] = runningReport(command)
		case command.Verb == wire.VerbStop && ok && task.Attempt == command.Attempt:
			task.State, task.Cause = wire.TaskExited, wire.CauseStopped
			tasks[command.Task] = task
		case command.Verb == wire.VerbForget && ok && task.Attempt == command.Attempt:
			delete(tasks, command.Task)
		}
	}
}

// heartbeat sends a machine's heartbeat and executes the commands in the reply.
func (f *fleetHarness) heartbeat(name string) {
	f.tb.Helper()
	reply, ok := f.scheduler.Heartbeat(f.clock(), f.newHeartbeat(name))
	if !ok {
		f.tb.Fatalf("the heartbeat of %s is not answered", name)
	}
	f.executeCommands(name, reply.FencingToken, reply.Commands)
	f.settle()
}

// heartbeatAll moves the time forward by a heartbeat interval, in which every machine sends a
// heartbeat.
func (f *fleetHarness) heartbeatAll() {
	f.tb.Helper()
	for _, name := range f.machineNames {
		f.now += f.scheduler.settings.HeartbeatInterval / time.Duration(len(f.machineNames))
		f.heartbeat(name)
	}
}

// refreshHeartbeats sets the time of every machine's last heartbeat to now.
func (f *fleetHarness) refreshHeartbeats() {
	f.scheduler.monitor.lastHeartbeatAt = f.now
	for _, m := range f.scheduler.cluster.sortedMachines() {
		m.connectivity.lastHeartbeatAt = f.now
	}
}

// settle settles the scheduler and carries out its effects until there are no more.
func (f *fleetHarness) settle() {
	f.tb.Helper()
	for range 50 {
		f.scheduler.Settle(f.clock())
		effects := f.scheduler.TakeEffects()
		if effects.Resign != "" {
			f.tb.Fatalf("resigned: %s", effects.Resign)
		}
		for _, c := range effects.Commits {
			f.commit(c)
		}
		for _, call := range effects.DirectCalls {
			f.executeCall(call)
		}
		if len(effects.Commits)+len(effects.DirectCalls) == 0 {
			return
		}
	}
}

// commit stores a transaction.
func (f *fleetHarness) commit(c Commit) {
	f.tb.Helper()
	f.revision++
	f.writtenChanges += len(c.Txn.Then)
	storeTransaction(f.tb, f.items, c.Txn, f.revision)
	f.scheduler.CommitEnded(f.clock(), c.ID, CommitDone, f.revision, nil)
}

// executeCall executes a direct call on its machine and answers it.
func (f *fleetHarness) executeCall(call DirectCall) {
	f.directCallCount++
	if len(call.Body.Commands) == 0 {
		f.statusProbeCount++
	}
	f.executeCommands(call.Machine, call.Body.FencingToken, call.Body.Commands)
	f.scheduler.CallDone(f.clock(), call.ID, CallExecuted, f.newHeartbeat(call.Machine))
}
