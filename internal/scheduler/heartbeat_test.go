package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeats that contradict themselves, each other and every placement keep the aggregates of
// the cluster state consistent, and end neither the process nor its leadership.
func TestContradictoryHeartbeatsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		h.bringUp("n-1", "n-2")
		for i := range 4 {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1 + i, CPUs: float64(1 + i)})
		}
		numbers := []uint64{0, 1, h.scheduler.term<<tuning.FencingBits | 1, h.scheduler.term<<tuning.FencingBits | 2, 1<<64 - 1}
		task := rapid.Custom(func(r *rapid.T) wire.TaskStatus {
			return wire.TaskStatus{
				Task:    fmt.Sprintf("run-%06d/%d", rapid.IntRange(0, 5).Draw(r, "job"), rapid.SampledFrom([]int{0, 1, 3, 99999}).Draw(r, "index")),
				Attempt: rapid.SampledFrom(numbers).Draw(r, "attempt"),
				State:   rapid.SampledFrom([]string{"", "odd", wire.TaskFetching, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited}).Draw(r, "state"),
				Cause:   rapid.SampledFrom([]string{"", "odd", wire.CauseDone, wire.CauseError, wire.CauseStopped, wire.CauseNoCapacity, wire.CauseUnknown}).Draw(r, "cause"),
			}
		})
		for range rapid.IntRange(1, 30).Draw(r, "heartbeats") {
			heartbeat := &wire.Heartbeat{Machine: rapid.SampledFrom([]string{"n-1", "n-2", "n-9"}).Draw(r, "machine"), Address: "a:1",
				Type: rapid.SampledFrom([]string{"box", "none", ""}).Draw(r, "type"), Zone: rapid.SampledFrom([]string{"a", "b", "none"}).Draw(r, "zone"),
				Incarnation: rapid.Uint64Range(1, 4).Draw(r, "incarnation"), Sequence: rapid.Uint64Range(0, 40).Draw(r, "sequence"),
				FencingToken: rapid.SampledFrom([]uint64{0, 7, h.scheduler.term << tuning.FencingBits, h.scheduler.term<<tuning.FencingBits | 9, 1<<64 - 1}).Draw(r, "token"),
				Tasks:        rapid.SliceOfN(task, 0, 6).Draw(r, "tasks")}
			h.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
			h.heartbeat("n-4") // a valid heartbeat: a leader that receives none resigns
			if rapid.Bool().Draw(r, "direct") && len(h.pendingCalls) > 0 {
				c := h.pendingCalls[0]
				h.pendingCalls = h.pendingCalls[1:]
				h.scheduler.CallDone(h.clock(), c.ID, CallResult(rapid.IntRange(0, 2).Draw(r, "result")), heartbeat)
			} else {
				h.scheduler.Heartbeat(h.clock(), heartbeat)
			}
			h.scheduler.Tick(h.clock())
			h.settle() // fails the test if the leader resigns
			if err := h.scheduler.Audit(); err != nil {
				r.Fatal(err)
			}
		}
	})
}

// No start is sent before its assignment is recorded, and so none while the key-value store
// refuses writes.
func TestNoDispatchBeforeAssignmentIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.refuseCommits = true
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	h.advance(3*time.Second, "n-1")
	if starts := h.startCommands(); len(starts) != 0 {
		t.Fatalf("started without a record: %v", starts)
	}
	h.refuseCommits = false
	h.advance(time.Second, "n-1")
	if starts, n := h.startCommands(), h.countRecordedAttempts(); len(starts) != 2 || n != 2 {
		t.Fatalf("%d starts, %d recorded", len(starts), n)
	}
}

// A start that is not acknowledged is sent again for the same attempt, at growing intervals,
// until its deadline. Then the attempt is stopped under a higher fencing token, and the task is
// placed again only when a heartbeat under that token proves the attempt absent.
func TestUnacknowledgedDispatchIsRetriedThenFenced(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	deadlineS := 30.0
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, DeadlineS: &deadlineS})
	first := h.startCommands()[0]
	dispatchStartedAt := h.now
	var dispatchedAt []time.Duration
	startToken := uint64(0)
	for h.now < dispatchStartedAt+60*time.Second && h.scheduler.counters.DispatchGiveUps == 0 {
		for _, c := range h.pendingCalls {
			for _, command := range c.Body.Commands {
				if command.Verb == wire.VerbRun {
					if command.Attempt != first.Attempt {
						t.Fatalf("retry with another attempt: %v", command)
					}
					dispatchedAt = append(dispatchedAt, h.now-dispatchStartedAt)
					startToken = c.Body.FencingToken
				}
			}
		}
		h.answerAll(CallLost)
		h.now += tuning.TickInterval
		m := h.scheduler.cluster.machines["n-1"]
		h.scheduler.monitor.lastHeartbeatAt, m.connectivity.lastHeartbeatAt, m.connectivity.unreachableSince = h.now, h.now, 0 // the machine is neither silent nor unreachable
		h.scheduler.Tick(h.clock())
		h.settle()
	}
	if len(dispatchedAt) < 3 || len(dispatchedAt) > tuning.DispatchRetryCount+1 {
		t.Fatalf("dispatches at %v", dispatchedAt)
	}
	for i := 2; i < len(dispatchedAt); i++ {
		if dispatchedAt[i]-dispatchedAt[i-1] < dispatchedAt[i-1]-dispatchedAt[i-2] {
			t.Fatalf("dispatches at %v do not slow down", dispatchedAt)
		}
	}
	if last := dispatchedAt[len(dispatchedAt)-1]; last > 30*time.Second || h.now-dispatchStartedAt < 30*time.Second {
		t.Fatalf("last dispatch after %v, given up after %v, budget 30 s", last, h.now-dispatchStartedAt)
	}
	stopped := false
	for _, c := range h.pendingCalls {
		for _, command := range c.Body.Commands {
			stopped = stopped || command.Verb == wire.VerbStop && command.Attempt == first.Attempt && c.Body.FencingToken > startToken
		}
	}
	if !stopped {
		t.Fatalf("no stop under a higher token: %+v", h.pendingCalls)
	}
	h.answerAll(CallLost)
	h.heartbeatWithToken("n-1", startToken) // does not list the attempt, but has the earlier token
	if len(h.scheduler.cluster.machines["n-1"].tasks) != 1 {
		t.Fatal("removed without a proof of absence")
	}
	h.heartbeat("n-1")
	h.advance(time.Second, "n-1")
	starts := h.startCommands()
	if len(starts) != 1 || starts[0].Attempt <= first.Attempt {
		t.Fatalf("not placed again with a higher attempt: %v", starts)
	}
}

// The reply to a direct call may overtake the heartbeat reply that carried a start, so it does
// not prove that the attempt is absent.
func TestOvertakenReplyDoesNotProveAbsence(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	a := h.scheduler.cluster.jobs["run-000001"].active[0][0]
	a.start.callInFlight, a.start.acknowledged, a.start.replySequence, a.start.incarnation = false, false, h.sequences["n-1"]+1, 1
	directReply := h.newHeartbeat("n-1", h.fencingToken("n-1"))
	directReply.Sequence = a.start.replySequence + 1
	if h.scheduler.dispatcher.provenAbsent(a, directReply, leaderInitiated) {
		t.Error("the reply to a direct call counts as proof of absence for a start in a heartbeat reply")
	}
	if !h.scheduler.dispatcher.provenAbsent(a, directReply, workerInitiated) {
		t.Error("the next heartbeat does not count as proof")
	}
}

// The worker is told to forget a completed task only after the completion is durable, and always
// under a higher fencing token than that of the start.
func TestForgetOnlyAfterDurableCompletion(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	starts := h.startCommands()
	token := h.pendingCalls[0].Body.FencingToken
	h.answerAll(CallExecuted)
	h.refuseCommits = true
	countForgets := func(reply wire.HeartbeatReply) (n int) {
		for _, command := range reply.Commands {
			if command.Verb == wire.VerbForget {
				n++
			}
		}
		return n
	}
	tasks := []wire.TaskStatus{exitedReport(starts[0], wire.CauseDone), runningReport(starts[1])}
	for range 3 {
		h.now += time.Second
		if r := h.heartbeat("n-1", tasks...); countForgets(r) != 0 {
			t.Fatal("forgotten before the completion is durable")
		}
	}
	h.refuseCommits = false
	h.now += 2 * tuning.DoneFlushDelay
	h.scheduler.Tick(h.clock())
	h.settle()
	r := h.heartbeat("n-1", tasks...)
	if countForgets(r) != 1 || r.FencingToken <= token {
		t.Fatalf("%+v after a start under %d", r, token)
	}
}

// No new attempt is sent to a machine that still lists an ended attempt of the same task:
// otherwise a late duplicate of the earlier start could run as well.
func TestNoDispatchBesideEndedAttempt(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	starts := h.startCommands()
	h.answerAll(CallExecuted)
	h.heartbeat("n-1", exitedReport(starts[0], wire.CauseError))
	h.now += 2 * time.Second
	h.scheduler.Tick(h.clock())
	h.settle()
	h.heartbeat("n-1", exitedReport(starts[0], wire.CauseError))
	if newStarts := h.startCommands(); len(newStarts) != 0 {
		t.Fatalf("sent beside the ended attempt: %v", newStarts)
	}
	h.now += time.Second
	h.heartbeat("n-1")
	h.advance(time.Second, "n-1")
	if newStarts := h.startCommands(); len(newStarts) != 1 || newStarts[0].Attempt == starts[0].Attempt {
		t.Fatalf("not sent after the ended attempt was forgotten: %v\n%+v\n%+v", newStarts, h.scheduler.View().Job(h.clock(), "run-000001"), h.scheduler.View().Machines(h.clock(), "", 9))
	}
}

// A job that fails wherever it runs is retried at growing intervals, and no machine is
// quarantined for it. A machine on which unrelated jobs fail is quarantined.
func TestFailingJobBacksOffAndFaultyMachineIsQuarantined(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	attempts := 0
	for startedAt := h.now; h.now < startedAt+60*time.Second; {
		starts := h.startCommands()
		attempts += len(starts)
		h.answerAll(CallExecuted)
		if len(starts) > 0 {
			h.heartbeat("n-1", exitedReport(starts[0], wire.CauseError))
		}
		h.advance(tuning.TickInterval, "n-1")
	}
	if attempts < 4 || attempts > 10 {
		t.Errorf("%d attempts in a minute", attempts)
	}
	if h.scheduler.cluster.machines["n-1"].quarantine.until > h.now {
		t.Error("one failing job quarantined its machine")
	}
	h.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	for _, c := range h.pendingCalls {
		for _, command := range c.Body.Commands {
			if command.Task == "run-000002/0" {
				h.answer(c, CallExecuted)
				h.heartbeat("n-1", exitedReport(command, wire.CauseError))
			}
		}
	}
	if h.scheduler.cluster.machines["n-1"].quarantine.until <= h.now {
		t.Error("two unrelated failing jobs did not quarantine the machine")
	}
	if f := h.scheduler.View().Failures(0, 1); len(f) != 1 || f[0].Task != "run-000002/0" || f[0].Cause != wire.CauseError {
		t.Errorf("failures: %+v", f)
	}
}

// A machine whose heartbeats arrive but which nothing reaches gets no new work and is released.
// Its attempts count until they are proven absent. Otherwise every start that is placed there
// would wait until its deadline.
func TestUnreachableMachineGetsNoWorkAndIsReleased(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.now += 2 * h.scheduler.settings.WorkerLease
	h.heartbeat("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	staleToken := h.fencingToken("n-1")
	runUnreachable := func(duration time.Duration, others ...string) {
		for end := h.now + duration; h.now < end; {
			for _, c := range h.pendingCalls {
				if c.Machine == "n-1" {
					h.scheduler.CallDone(h.clock(), c.ID, CallLost, nil)
				} else {
					h.answer(c, CallExecuted)
				}
			}
			h.pendingCalls = nil
			h.now += tuning.TickInterval
			h.heartbeatWithToken("n-1", staleToken)
			for _, m := range others {
				h.heartbeat(m, h.runningTasks(m)...)
			}
			h.scheduler.Tick(h.clock())
			h.settle()
		}
	}
	runUnreachable(4 * time.Second)
	h.heartbeat("n-2")
	runUnreachable(time.Second, "n-2")
	h.submit(wire.Job{ID: "run-000002", Tasks: 4, CPUs: 1})
	runUnreachable(2*time.Second, "n-2")
	if n := len(h.scheduler.cluster.machines["n-1"].tasks); n != 1 {
		t.Fatalf("%d tasks on the unreachable machine, 1 may be there", n)
	}
	if n := len(h.scheduler.cluster.machines["n-2"].tasks); n != 4 {
		t.Errorf("%d of 4 tasks on the other", n)
	}
	runUnreachable(h.scheduler.settings.WorkerLease, "n-2")
	if len(h.releases) != 1 || h.releases[0][0] != "n-1" {
		t.Fatalf("released: %v", h.releases)
	}
	if n := len(h.scheduler.cluster.machines["n-2"].tasks); n != 4 {
		t.Error("placed again before the release was answered")
	}
	h.scheduler.ReleaseEnded(h.clock(), h.releases[0], ReleaseDone)
	h.settle()
	runUnreachable(time.Second, "n-2")
	if n := len(h.scheduler.cluster.machines["n-2"].tasks); n != 5 {
		t.Errorf("not placed again: %d tasks", n)
	}
}

// A machine that does not answer a start gets no further work until it shows that commands reach
// it, even if a heartbeat has just arrived.
func TestNoNewWorkAfterUnansweredDispatch(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	staleToken := h.fencingToken("n-1")
	h.answerAll(CallLost)
	h.heartbeatWithToken("n-1", staleToken)
	h.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	if n := len(h.scheduler.cluster.machines["n-1"].tasks); n != 1 {
		t.Fatalf("%d tasks on a machine that did not answer", n)
	}
	h.advance(time.Second, "n-1") // under the token that the worker received meanwhile
	if n := len(h.scheduler.cluster.machines["n-1"].tasks); n != 2 {
		t.Fatalf("%d tasks on a reachable machine", n)
	}
}

// If a worker's incarnation ends although its heartbeats were answered, the replies are being
// lost. The worker's answer to a direct call shows that it is reachable.
func TestLeaseExpiryDespiteRepliesMarksMachineUnreachable(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.advance(2*h.scheduler.settings.WorkerLease, "n-1")
	h.pendingCalls = nil
	r := h.newHeartbeat("n-1", h.fencingToken("n-1"))
	r.Incarnation = 2
	h.scheduler.Heartbeat(h.clock(), r)
	if m := h.scheduler.cluster.machines["n-1"]; m.connectivity.unreachableSince == 0 || h.scheduler.cluster.schedulable(m) {
		t.Fatal("schedulable although replies to it are lost")
	}
	h.scheduler.Tick(h.clock())
	h.settle()
	if len(h.pendingCalls) != 1 {
		t.Fatalf("not probed: %+v", h.pendingCalls)
	}
	answer := h.newHeartbeat("n-1", h.pendingCalls[0].Body.FencingToken)
	answer.Incarnation = 2
	h.scheduler.CallDone(h.clock(), h.pendingCalls[0].ID, CallExecuted, answer)
	if m := h.scheduler.cluster.machines["n-1"]; m.connectivity.unreachableSince != 0 {
		t.Error("still marked as unreachable")
	}
}

// Late duplicates of heartbeats prove no absence, change no state, do not show that the machine
// is alive, get no starts, and do not bring a released machine back.
func TestDuplicateLateHeartbeatsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2")
	earlyHeartbeat := h.newHeartbeat("n-1", h.fencingToken("n-1")) // before anything was placed
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
	h.answerAll(CallExecuted)
	var m *machine
	for _, x := range h.scheduler.cluster.machines {
		if len(x.tasks) > 0 {
			m = x
		}
	}
	earlyHeartbeat.Machine, earlyHeartbeat.Address = m.name, m.address
	h.heartbeat(m.name, h.runningTasks(m.name)...)
	lastHeartbeatAt, fleetLastHeartbeatAt, incarnation := m.connectivity.lastHeartbeatAt, h.scheduler.monitor.lastHeartbeatAt, m.heartbeats.incarnation
	h.now += 5 * time.Second
	for _, duplicate := range []*wire.Heartbeat{earlyHeartbeat, {Machine: m.name, Address: m.address, Type: "box", Zone: "a", Incarnation: 0, Sequence: 99, FencingToken: earlyHeartbeat.FencingToken}} {
		reply, ok := h.scheduler.Heartbeat(h.clock(), duplicate)
		if !ok || len(reply.Commands) != 0 || len(m.tasks) != 1 || m.connectivity.lastHeartbeatAt != lastHeartbeatAt || h.scheduler.monitor.lastHeartbeatAt != fleetLastHeartbeatAt || m.heartbeats.incarnation != incarnation {
			t.Errorf("a late duplicate: %+v, %d tasks, last heartbeat at %v then %v", reply, len(m.tasks), lastHeartbeatAt, m.connectivity.lastHeartbeatAt)
		}
	}
	h.scheduler.ReleaseEnded(h.clock(), []string{m.name}, ReleaseDone)
	if h.scheduler.Heartbeat(h.clock(), earlyHeartbeat); h.scheduler.cluster.machines[m.name] != nil {
		t.Error("a released machine was adopted because of a late duplicate")
	}
	// To a new leader the duplicate is the machine's first heartbeat, and the machine may exist.
	// Nothing is placed on it, and it is released when no other heartbeat follows.
	newLeader := newHarness(t)
	for i, token := range []uint64{0, (harnessTerm - 1) << tuning.FencingBits} {
		first := *earlyHeartbeat
		first.FencingToken = token
		first.Machine = []string{"n-3", "n-4"}[i]
		newLeader.scheduler.Heartbeat(newLeader.clock(), &first)
	}
	newLeader.bringUp("n-6")
	newLeader.submit(wire.Job{ID: "run-000002", Tasks: 20, CPUs: 1})
	newLeader.advance(3*newLeader.scheduler.settings.WorkerLease, "n-6")
	for _, name := range []string{"n-3", "n-4"} {
		if x := newLeader.scheduler.cluster.machines[name]; x != nil && len(x.tasks) > 0 {
			t.Errorf("placed on %s because of a late duplicate", name)
		}
	}
	if len(newLeader.releases) == 0 {
		t.Error("never released")
	}
}

// After a spot interruption is announced, tasks that may complete in time keep running, others
// are moved if there is capacity elsewhere, and shortly before the interruption all are stopped.
func TestSpotInterruptionDrainsMachine(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, EstimatedRunS: 5})
	h.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1, EstimatedRunS: 500})
	h.answerAll(CallExecuted)
	var tasks []wire.TaskStatus
	for _, a := range h.scheduler.cluster.machines["n-1"].sortedAttempts() {
		tasks = append(tasks, runningReport(wire.Command{Task: wire.TaskName(a.ref.jobID, a.ref.index), Attempt: a.number}))
	}
	announceInterruption := func(secondsLeft float64) map[string]bool {
		heartbeat := h.newHeartbeat("n-1", h.fencingToken("n-1"), tasks...)
		heartbeat.InterruptionInS = &secondsLeft
		h.scheduler.Heartbeat(h.clock(), heartbeat)
		h.scheduler.Tick(h.clock())
		h.settle()
		stopped := map[string]bool{}
		for _, a := range h.scheduler.cluster.machines["n-1"].sortedAttempts() {
			stopped[a.ref.jobID] = a.stop.requested
		}
		return stopped
	}
	if stopped := announceInterruption(15); stopped["run-000001"] || stopped["run-000002"] {
		t.Errorf("stopped without capacity elsewhere: %v", stopped)
	}
	h.now += 2 * tuning.FreeCapacityCacheTTL
	h.bringUp("n-2")
	if stopped := announceInterruption(14); stopped["run-000001"] || !stopped["run-000002"] {
		t.Errorf("with capacity elsewhere: %v", stopped)
	}
	if stopped := announceInterruption(1); !stopped["run-000001"] {
		t.Errorf("not stopped shortly before the interruption: %v", stopped)
	}
}
