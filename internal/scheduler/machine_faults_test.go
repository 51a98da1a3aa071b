package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Machines open no connections to a new leader, but direct calls reach them. The leader sends
// status probes until they are answered, manages the machines by the replies alone, starts and
// stops tasks there, keeps its leadership and releases no machine.
func TestMachineWithoutHeartbeatsIsDrivenByStatusProbes(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 11))
		j := wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction, Image: "img"}
		live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j}, ModRevision: 5}}
		var storedRecords []wire.KeyValue
		tasksOnMachine := map[string]map[string]wire.TaskStatus{}
		for i, name := range []string{"n-1", "n-2"} {
			storedRecords = append(storedRecords, machineRecordItem(t, name, records.LegacyMachine{Type: "box", Zone: "a", Address: name + ":1",
				Tasks: map[string][]records.LegacyAssignment{j.ID: {{Index: i, Attempt: 9}}}}))
			task := wire.TaskName(j.ID, i)
			tasksOnMachine[name] = map[string]wire.TaskStatus{task: {Task: task, Attempt: 9, State: wire.TaskRunning}}
		}
		h := newHarnessWith(t, harnessConfig{liveJobs: live, records: storedRecords})
		probesToLose := rng.IntN(3) // number of the first status probes of n-1 that get no answer
		runFor := func(duration time.Duration) {
			for end := h.now + duration; h.now < end; {
				calls := h.pendingCalls
				h.pendingCalls = nil
				for _, c := range calls {
					if c.Machine == "n-1" && probesToLose > 0 {
						probesToLose--
						h.now += 1500 * time.Millisecond
						h.scheduler.CallDone(h.clock(), c.ID, CallLost, nil)
						continue
					}
					for _, command := range c.Body.Commands {
						switch command.Verb {
						case wire.VerbRun:
							tasksOnMachine[c.Machine][command.Task] = runningReport(command)
						case wire.VerbStop:
							tasksOnMachine[c.Machine][command.Task] = exitedReport(command, wire.CauseStopped)
						}
					}
					var tasks []wire.TaskStatus
					for _, status := range tasksOnMachine[c.Machine] {
						tasks = append(tasks, status)
					}
					h.scheduler.CallDone(h.clock(), c.ID, CallExecuted, h.newHeartbeat(c.Machine, c.Body.FencingToken, tasks...))
				}
				h.now += time.Duration(50+rng.IntN(150)) * time.Millisecond
				h.scheduler.Tick(h.clock())
				h.settle() // fails the test if the leader resigns
			}
		}
		runFor(15 * time.Second)
		for _, m := range h.scheduler.cluster.machines {
			if !m.confirmed || len(m.tasks) != 1 {
				t.Fatalf("seed %d: %s is not confirmed by its replies", seed, m.name)
			}
		}
		h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1})
		runFor(3 * time.Second)
		for i := range 2 {
			if task := wire.TaskName("run-000002", i); tasksOnMachine["n-1"][task].State != wire.TaskRunning && tasksOnMachine["n-2"][task].State != wire.TaskRunning {
				t.Fatalf("seed %d: task %d was not started by a direct call", seed, i)
			}
		}
		h.scheduler.Cancelled(h.clock(), []string{"run-000001", "run-000002"})
		runFor(2 * time.Second)
		for _, tasks := range tasksOnMachine {
			for name, status := range tasks {
				if status.State != wire.TaskExited {
					t.Fatalf("seed %d: task %s still runs after its cancellation", seed, name)
				}
			}
		}
		h.submit(wire.Job{ID: "run-000003", Tasks: 1, CPUs: 1})
		runFor(40 * time.Second)
		if len(h.releases) > 0 || len(h.scheduler.cluster.machines) != 2 {
			t.Fatalf("seed %d: a machine that answers was released: %v", seed, h.releases)
		}
	}
}

// A machine that no leader expected is adopted when it sends a heartbeat. Its tasks count from
// then on and are recorded. Tasks that must not run are stopped: those of a cancelled or ended
// job, those that are done or out of range, and those that are on another machine too.
func TestUnexpectedMachineIsAdopted(t *testing.T) {
	done := records.NewBitmap(2)
	done.Add(1)
	job := func(id string, tasks int) wire.Job {
		return wire.Job{ID: id, Tasks: tasks, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Image: "img"}
	}
	for _, c := range []struct {
		name, task string
		state      string
		stopped    bool
	}{
		{"a task that is on no other machine", "run-000001/0", wire.TaskRunning, false},
		{"a task that is fetching its image", "run-000001/0", wire.TaskFetching, false},
		{"a task of a cancelled job", "run-000002/0", wire.TaskRunning, true},
		{"a task of no live job", "run-000009/0", wire.TaskRunning, true},
		{"a task that is done", "run-000003/1", wire.TaskFetching, true},
		{"a task index that the job does not have", "run-000001/7", wire.TaskRunning, true},
		{"a task that is on another machine too", "run-000004/0", wire.TaskRunning, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			live := map[string]*LiveJob{
				"run-000001": {Record: &records.Job{Job: job("run-000001", 1)}, ModRevision: 5},
				"run-000002": {Record: &records.Job{Job: job("run-000002", 2), Cancelled: true}, ModRevision: 5},
				"run-000003": {Record: &records.Job{Job: job("run-000003", 2), Done: done.EncodeChunk(0)}, ModRevision: 5},
				"run-000004": {Record: &records.Job{Job: job("run-000004", 1)}, ModRevision: 5},
			}
			h := newHarnessWith(t, harnessConfig{liveJobs: live, records: []wire.KeyValue{machineRecordItem(t, "n-1", records.LegacyMachine{Type: "box", Zone: "a", Address: "n-1:1",
				Tasks: map[string][]records.LegacyAssignment{"run-000002": {{Index: 1, Attempt: 8}}, "run-000004": {{Index: 0, Attempt: 9}}}})}})
			h.pendingCalls = nil // n-1 sends no heartbeat, so the cancelled job stays live
			stops := 0
			countStops := func(commands []wire.Command) {
				for _, command := range commands {
					if command.Verb == wire.VerbStop && command.Task == c.task && command.Attempt == 3 {
						stops++
					}
				}
			}
			status := wire.TaskStatus{Task: c.task, Attempt: 3, State: c.state}
			countStops(h.heartbeat("n-2", status).Commands)
			m := h.scheduler.cluster.machines["n-2"]
			if m == nil || m.phase != machineUp || len(m.tasks) != 1 {
				t.Fatalf("the machine is not adopted with its task: %+v", m)
			}
			h.now += time.Second
			h.scheduler.Tick(h.clock())
			h.settle()
			for _, call := range h.pendingCalls {
				if call.Machine == "n-2" {
					countStops(call.Body.Commands)
				}
			}
			if (stops > 0) != c.stopped {
				t.Errorf("%d stop commands were sent for the task", stops)
			}
			if id, _, _ := wire.ParseTaskName(c.task); !c.stopped && (h.countRecordedAttempts() != 1 || len(h.scheduler.cluster.jobs[id].active[0]) != 1) {
				t.Errorf("the task is not counted or not recorded: %d recorded attempts", h.countRecordedAttempts())
			}
			// A heartbeat that is no newer than the last one does not remove the machine's tasks.
			staleHeartbeat := h.newHeartbeat("n-2", h.fencingToken("n-2"))
			staleHeartbeat.Sequence = 1
			before := len(m.tasks)
			if h.scheduler.Heartbeat(h.clock(), staleHeartbeat); len(m.tasks) != before {
				t.Error("a heartbeat that is no newer than the last one changes the tasks")
			}
		})
	}
	// Unexpected machines without tasks are adopted, and released when they are idle.
	h := newHarnessWith(t, harnessConfig{minimizeCost: true})
	h.heartbeat("n-1")
	h.heartbeat("n-2")
	h.advance(h.scheduler.settings.Policy.IdleTimeout+10*time.Second, "n-1", "n-2")
	if len(h.releases) == 0 {
		t.Error("idle unexpected machines are not released")
	}
}

// A reply from another machine that has taken over the address is no evidence about the machine
// that was called, and is ignored.
func TestReplyFromReusedAddressIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	h.answerAll(CallExecuted)
	h.now += 10 * time.Second
	h.scheduler.Tick(h.clock())
	h.settle()
	m := h.scheduler.cluster.machines["n-1"]
	lastHeartbeatAt := m.connectivity.lastHeartbeatAt
	if len(h.pendingCalls) == 0 {
		t.Fatal("the machine is not probed although its heartbeats are overdue")
	}
	c := h.pendingCalls[0]
	otherHeartbeat := h.newHeartbeat("n-2", c.Body.FencingToken)
	otherHeartbeat.Address, otherHeartbeat.Sequence = m.address, 1000
	h.scheduler.CallDone(h.clock(), c.ID, CallExecuted, otherHeartbeat)
	if len(m.tasks) != 1 || m.connectivity.lastHeartbeatAt != lastHeartbeatAt || m.directCalls.unansweredSinceHeartbeat == 0 {
		t.Errorf("%d tasks, last heartbeat at %v then %v, %d unanswered calls", len(m.tasks), lastHeartbeatAt, m.connectivity.lastHeartbeatAt, m.directCalls.unansweredSinceHeartbeat)
	}
}

// A heartbeat with a fencing token of a later term makes the leader resign: a reply would keep
// the worker sending to this leader while its lease runs out. A token that no leader can have
// issued does not: a heartbeat with it is not answered and changes nothing.
func TestHigherFencingTokenEndsLeadership(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 13))
	for range 20 {
		h := newHarness(t)
		h.bringUp("n-1")
		plausibleGap := uint64(1 + rng.IntN(tuning.MaxTermRevisionGap))
		impossibleGap := uint64(tuning.MaxTermRevisionGap + 1 + rng.IntN(1<<20))
		for _, c := range []struct {
			termsAhead uint64
			direct     bool
			resign     bool
		}{{impossibleGap, false, false}, {impossibleGap, true, false}, {plausibleGap, true, true}, {plausibleGap, false, true}} {
			heartbeat := h.newHeartbeat("n-1", (harnessTerm+c.termsAhead)<<tuning.FencingBits)
			m := h.scheduler.cluster.machines["n-1"]
			sequenceBefore := m.heartbeats.sequence
			if c.direct {
				m.directCalls.probedAt = 0
				h.scheduler.dispatcher.probeStatus(m, len(h.scheduler.cluster.machines))
				call := h.scheduler.TakeEffects().DirectCalls[0]
				h.scheduler.CallDone(h.clock(), call.ID, CallRefused, heartbeat)
			} else if _, ok := h.scheduler.Heartbeat(h.clock(), heartbeat); ok {
				t.Fatalf("a heartbeat with a token %d terms ahead is answered", c.termsAhead)
			}
			if resign := h.scheduler.TakeEffects().Resign != ""; resign != c.resign || m.heartbeats.sequence != sequenceBefore {
				t.Fatalf("token %d terms ahead, direct call %v: resigned %v, heartbeat sequence %d then %d", c.termsAhead, c.direct, resign, sequenceBefore, m.heartbeats.sequence)
			}
		}
	}
}

// After the stop of a start that is still in flight, commands carry a higher fencing token. A
// worker that has received the stop then rejects the start, however late it arrives.
func TestDelayedStartIsFencedAfterStop(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	if len(h.startCommands()) != 1 {
		t.Fatalf("%d start commands, want 1", len(h.startCommands()))
	}
	startToken := h.pendingCalls[0].Body.FencingToken
	h.scheduler.Cancelled(h.clock(), []string{"run-000001"})
	h.settle()
	if token := h.fencingToken("n-1"); token <= startToken {
		t.Fatalf("fencing token %d after the stop is not above the token %d of the start", token, startToken)
	}
	h.heartbeatWithToken("n-1", startToken) // does not list the task, but carries the token of the start
	if len(h.scheduler.cluster.machines["n-1"].tasks) != 1 {
		t.Fatal("the attempt was removed while its start is in flight")
	}
}
