package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A new leader has a machine that opens no connections, while direct calls reach it: it
// probes until it is answered, goes on with the replies alone, starts and stops tasks there,
// keeps leadership and does not release the machine.
func TestMachineWithoutHeartbeatsIsDrivenByStatusProbes(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 11))
		j := wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction, Image: "img"}
		live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j}, ModRevision: 5}}
		var storedRecords []wire.KeyValue
		on := map[string]map[string]wire.TaskStatus{}
		for i, name := range []string{"n-1", "n-2"} {
			storedRecords = append(storedRecords, machineRecordItem(t, name, records.LegacyMachine{Type: "box", Zone: "a", Address: name + ":1",
				Tasks: map[string][]records.AssignedTask{j.ID: {{Index: i, Attempt: 9}}}}))
			task := wire.TaskName(j.ID, i)
			on[name] = map[string]wire.TaskStatus{task: {Task: task, Attempt: 9, State: wire.TaskRunning}}
		}
		h := newHarnessWith(t, harnessConfig{liveJobs: live, records: storedRecords})
		lost := rng.IntN(3) // first status probes of n-1 that get no answer
		spell := func(t time.Duration) {
			for end := h.now + t; h.now < end; {
				calls := h.pendingCalls
				h.pendingCalls = nil
				for _, c := range calls {
					if c.Machine == "n-1" && lost > 0 {
						lost--
						h.now += 1500 * time.Millisecond
						h.scheduler.CallDone(h.clock(), c.ID, CallLost, nil)
						continue
					}
					for _, o := range c.Body.Commands {
						switch o.Verb {
						case wire.VerbRun:
							on[c.Machine][o.Task] = runningReport(o)
						case wire.VerbStop:
							on[c.Machine][o.Task] = exitedReport(o, wire.CauseStopped)
						}
					}
					var tasks []wire.TaskStatus
					for _, x := range on[c.Machine] {
						tasks = append(tasks, x)
					}
					h.scheduler.CallDone(h.clock(), c.ID, CallExecuted, h.newHeartbeat(c.Machine, c.Body.FencingToken, tasks...))
				}
				h.now += time.Duration(50+rng.IntN(150)) * time.Millisecond
				h.scheduler.Tick(h.clock())
				h.settle() // fails the test if the leader resigns
			}
		}
		spell(15 * time.Second)
		for _, m := range h.scheduler.cluster.machines {
			if !m.confirmed || len(m.tasks) != 1 {
				t.Fatalf("seed %d: %s is not confirmed by its replies", seed, m.name)
			}
		}
		h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1})
		spell(3 * time.Second)
		for i := range 2 {
			if task := wire.TaskName("run-000002", i); on["n-1"][task].State != wire.TaskRunning && on["n-2"][task].State != wire.TaskRunning {
				t.Fatalf("seed %d: task %d not started directly", seed, i)
			}
		}
		h.scheduler.Cancelled(h.clock(), []string{"run-000001", "run-000002"})
		spell(2 * time.Second)
		for _, tasks := range on {
			for name, x := range tasks {
				if x.State != wire.TaskExited {
					t.Fatalf("seed %d: %s runs on after its cancellation", seed, name)
				}
			}
		}
		h.submit(wire.Job{ID: "run-000003", Tasks: 1, CPUs: 1})
		spell(40 * time.Second)
		if len(h.releases) > 0 || len(h.scheduler.cluster.machines) != 2 {
			t.Fatalf("seed %d: released though it answers: %v", seed, h.releases)
		}
	}
}

// A machine that nobody expected appears by its heartbeat. It is adopted. What runs on it
// counts from then on and is recorded, or is stopped if it must not run: a task of a
// cancelled or ended job, one that is done, one that is elsewhere too.
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
		{"a task that nothing else has", "run-000001/0", wire.TaskRunning, false},
		{"one that has yet to fetch", "run-000001/0", wire.TaskFetching, false},
		{"of a cancelled job", "run-000002/0", wire.TaskRunning, true},
		{"of no live job", "run-000009/0", wire.TaskRunning, true},
		{"that is done", "run-000003/1", wire.TaskFetching, true},
		{"beyond its job's tasks", "run-000001/7", wire.TaskRunning, true},
		{"that is elsewhere too", "run-000004/0", wire.TaskRunning, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			live := map[string]*LiveJob{
				"run-000001": {Record: &records.Job{Job: job("run-000001", 1)}, ModRevision: 5},
				"run-000002": {Record: &records.Job{Job: job("run-000002", 2), Cancelled: true}, ModRevision: 5},
				"run-000003": {Record: &records.Job{Job: job("run-000003", 2), Done: done.EncodeChunk(0)}, ModRevision: 5},
				"run-000004": {Record: &records.Job{Job: job("run-000004", 1)}, ModRevision: 5},
			}
			h := newHarnessWith(t, harnessConfig{liveJobs: live, records: []wire.KeyValue{machineRecordItem(t, "n-1", records.LegacyMachine{Type: "box", Zone: "a", Address: "n-1:1",
				Tasks: map[string][]records.AssignedTask{"run-000002": {{Index: 1, Attempt: 8}}, "run-000004": {{Index: 0, Attempt: 9}}}})}})
			h.pendingCalls = nil // n-1 sends no heartbeat, so the cancelled job stays live
			stops := 0
			count := func(cmds []wire.Command) {
				for _, o := range cmds {
					if o.Verb == wire.VerbStop && o.Task == c.task && o.Attempt == 3 {
						stops++
					}
				}
			}
			x := wire.TaskStatus{Task: c.task, Attempt: 3, State: c.state}
			count(h.heartbeat("n-2", x).Commands)
			m := h.scheduler.cluster.machines["n-2"]
			if m == nil || m.phase != machineUp || len(m.tasks) != 1 {
				t.Fatalf("not adopted with its task: %+v", m)
			}
			h.now += time.Second
			h.scheduler.Tick(h.clock())
			h.settle()
			for _, call := range h.pendingCalls {
				if call.Machine == "n-2" {
					count(call.Body.Commands)
				}
			}
			if (stops > 0) != c.stopped {
				t.Errorf("%d stops", stops)
			}
			if id, _, _ := wire.ParseTaskName(c.task); !c.stopped && (h.countRecordedAttempts() != 1 || len(h.scheduler.cluster.jobs[id].active[0]) != 1) {
				t.Errorf("not counted, or not recorded: %d", h.countRecordedAttempts())
			}
			// A heartbeat that is no newer removes nothing of it and has nothing placed elsewhere.
			old := h.newHeartbeat("n-2", h.fencingToken("n-2"))
			old.Sequence = 1
			before := len(m.tasks)
			if h.scheduler.Heartbeat(h.clock(), old); len(m.tasks) != before {
				t.Error("a heartbeat that is no newer than the last changes something")
			}
		})
	}
	// Without tasks it is used, and released when it is idle.
	h := newHarnessWith(t, harnessConfig{minimizeCost: true})
	h.heartbeat("n-1")
	h.heartbeat("n-2")
	h.advance(h.scheduler.settings.Policy.IdleTimeout+10*time.Second, "n-1", "n-2")
	if len(h.releases) == 0 {
		t.Error("idle machines that nobody expected are kept")
	}
}

// The reply of another machine, which has the address now, says nothing of the one called.
func TestReplyFromReusedAddressIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	h.answerAll(CallExecuted)
	h.now += 10 * time.Second
	h.scheduler.Tick(h.clock())
	h.settle()
	m := h.scheduler.cluster.machines["n-1"]
	heard := m.connectivity.lastHeartbeatAt
	if len(h.pendingCalls) == 0 {
		t.Fatal("not probed though its heartbeats are overdue")
	}
	c := h.pendingCalls[0]
	other := h.newHeartbeat("n-2", c.Body.FencingToken)
	other.Address, other.Sequence = m.address, 1000
	h.scheduler.CallDone(h.clock(), c.ID, CallExecuted, other)
	if len(m.tasks) != 1 || m.connectivity.lastHeartbeatAt != heard || m.directCalls.unansweredSinceHeartbeat == 0 {
		t.Errorf("%d tasks, last heartbeat at %v then %v, %d unanswered calls", len(m.tasks), heard, m.connectivity.lastHeartbeatAt, m.directCalls.unansweredSinceHeartbeat)
	}
}

// A worker's fencing token of a later term ends leadership: an answer would keep the worker
// at this leader while its lease runs out. A token that no leader can have given does not; a
// heartbeat under it is not answered, and changes nothing.
func TestHigherFencingTokenEndsLeadership(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 13))
	for range 20 {
		h := newHarness(t)
		h.bringUp("n-1")
		ahead := uint64(1 + rng.IntN(tuning.MaxTermRevisionGap))
		absurd := uint64(tuning.MaxTermRevisionGap + 1 + rng.IntN(1<<20))
		for _, c := range []struct {
			ahead  uint64
			direct bool
			resign bool
		}{{absurd, false, false}, {absurd, true, false}, {ahead, true, true}, {ahead, false, true}} {
			r := h.newHeartbeat("n-1", (harnessTerm+c.ahead)<<tuning.FencingBits)
			m := h.scheduler.cluster.machines["n-1"]
			tick := m.heartbeats.sequence
			if c.direct {
				m.directCalls.probedAt = 0
				h.scheduler.dispatcher.probeStatus(m, len(h.scheduler.cluster.machines))
				call := h.scheduler.TakeEffects().DirectCalls[0]
				h.scheduler.CallDone(h.clock(), call.ID, CallRefused, r)
			} else if _, ok := h.scheduler.Heartbeat(h.clock(), r); ok {
				t.Fatalf("a heartbeat %d terms ahead is answered", c.ahead)
			}
			if resign := h.scheduler.TakeEffects().Resign != ""; resign != c.resign || m.heartbeats.sequence != tick {
				t.Fatalf("%d terms ahead, direct %v: resigns %v, sequence %d then %d", c.ahead, c.direct, resign, tick, m.heartbeats.sequence)
			}
		}
	}
}

// A start that is still in flight is stopped: from then on commands bear a higher fencing
// token, so that a worker which has seen the stop refuses the start, however late it comes.
func TestDelayedStartIsFencedAfterStop(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	if len(h.startCommands()) != 1 {
		t.Fatalf("%d starts", len(h.startCommands()))
	}
	held := h.pendingCalls[0].Body.FencingToken
	h.scheduler.Cancelled(h.clock(), []string{"run-000001"})
	h.settle()
	if token := h.fencingToken("n-1"); token <= held {
		t.Fatalf("token %d after the stop of a start under %d", token, held)
	}
	h.heartbeatWithToken("n-1", held) // does not list it, but under the token before
	if len(h.scheduler.cluster.machines["n-1"].tasks) != 1 {
		t.Fatal("removed while its start is in flight")
	}
}
