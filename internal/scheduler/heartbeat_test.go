package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeats that contradict themselves, each other and all that was ever placed leave the
// sums of the cluster's state right, and end neither the process nor leadership.
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
			h.heartbeat("n-4") // a sound one: a leader without heartbeats resigns
			if rapid.Bool().Draw(r, "direct") && len(h.calls) > 0 {
				c := h.calls[0]
				h.calls = h.calls[1:]
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

// Nothing is started before a record has it, and nothing at all while the key-value store
// takes no writes.
func TestNoDispatchBeforeAssignmentIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.refuseCommits = true
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	h.advance(3*time.Second, "n-1")
	if s := h.startCommands(); len(s) != 0 {
		t.Fatalf("started without a record: %v", s)
	}
	h.refuseCommits = false
	h.advance(time.Second, "n-1")
	if s, n := h.startCommands(), h.recordedAttempts(); len(s) != 2 || n != 2 {
		t.Fatalf("%d starts, %d recorded", len(s), n)
	}
}

// A start that is not acknowledged is sent again, with the same attempt, at growing
// intervals, until the deadline for it; then it is stopped under a higher fencing token, and
// placed again only when a heartbeat under that token proves it absent.
func TestUnacknowledgedDispatchIsRetriedThenFenced(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	due := 30.0
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, DeadlineS: &due})
	first := h.startCommands()[0]
	begun := h.now
	var at []time.Duration
	token := uint64(0)
	for h.now < begun+60*time.Second && h.scheduler.counters.DispatchGiveUps == 0 {
		for _, c := range h.calls {
			for _, o := range c.Body.Commands {
				if o.Verb == wire.VerbRun {
					if o.Attempt != first.Attempt {
						t.Fatalf("retry with another attempt: %v", o)
					}
					at = append(at, h.now-begun)
					token = c.Body.FencingToken
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
	if len(at) < 3 || len(at) > tuning.DispatchRetryCount+1 {
		t.Fatalf("dispatches at %v", at)
	}
	for i := 2; i < len(at); i++ {
		if at[i]-at[i-1] < at[i-1]-at[i-2] {
			t.Fatalf("dispatches at %v do not slow down", at)
		}
	}
	if last := at[len(at)-1]; last > 30*time.Second || h.now-begun < 30*time.Second {
		t.Fatalf("last dispatch after %v, given up after %v, budget 30 s", last, h.now-begun)
	}
	stopped := false
	for _, c := range h.calls {
		for _, o := range c.Body.Commands {
			stopped = stopped || o.Verb == wire.VerbStop && o.Attempt == first.Attempt && c.Body.FencingToken > token
		}
	}
	if !stopped {
		t.Fatalf("no stop under a higher token: %+v", h.calls)
	}
	h.answerAll(CallLost)
	h.heartbeatWithToken("n-1", token) // does not list it, but under the token before
	if len(h.scheduler.cluster.machines["n-1"].tasks) != 1 {
		t.Fatal("removed without a proof of absence")
	}
	h.heartbeat("n-1")
	h.advance(time.Second, "n-1")
	s := h.startCommands()
	if len(s) != 1 || s[0].Attempt <= first.Attempt {
		t.Fatalf("not placed again with a higher attempt: %v", s)
	}
}

// A heartbeat that overtakes the reply which carried a start proves nothing.
func TestOvertakenReplyDoesNotProveAbsence(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	a := h.scheduler.cluster.jobs["run-000001"].active[0][0]
	a.start.callInFlight, a.start.acknowledged, a.start.replySequence, a.start.incarnation = false, false, h.sequences["n-1"]+1, 1
	direct := h.newHeartbeat("n-1", h.fencingToken("n-1"))
	direct.Sequence = a.start.replySequence + 1
	if h.scheduler.dispatcher.provenAbsent(a, direct, leaderInitiated) {
		t.Error("the reply to a direct call counts as proof against a start in a heartbeat's reply")
	}
	if !h.scheduler.dispatcher.provenAbsent(a, direct, workerInitiated) {
		t.Error("the next heartbeat does not count as proof")
	}
}

// The worker is told to forget a done task only when that is durable, and always under a
// higher token than the start had.
func TestForgetOnlyAfterDurableCompletion(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	s := h.startCommands()
	token := h.calls[0].Body.FencingToken
	h.answerAll(CallExecuted)
	h.refuseCommits = true
	forgets := func(r wire.HeartbeatReply) (n int) {
		for _, o := range r.Commands {
			if o.Verb == wire.VerbForget {
				n++
			}
		}
		return n
	}
	tasks := []wire.TaskStatus{exitedReport(s[0], wire.CauseDone), runningReport(s[1])}
	for range 3 {
		h.now += time.Second
		if r := h.heartbeat("n-1", tasks...); forgets(r) != 0 {
			t.Fatal("forgotten before it is durable")
		}
	}
	h.refuseCommits = false
	h.now += 2 * tuning.DoneFlushDelay
	h.scheduler.Tick(h.clock())
	h.settle()
	r := h.heartbeat("n-1", tasks...)
	if forgets(r) != 1 || r.FencingToken <= token {
		t.Fatalf("%+v after a start under %d", r, token)
	}
}

// A new attempt is not sent to a machine that still lists an ended one of the same task: a
// late duplicate of the earlier start could run beside it elsewhere.
func TestNoDispatchBesideEndedAttempt(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	s := h.startCommands()
	h.answerAll(CallExecuted)
	h.heartbeat("n-1", exitedReport(s[0], wire.CauseError))
	h.now += 2 * time.Second
	h.scheduler.Tick(h.clock())
	h.settle()
	h.heartbeat("n-1", exitedReport(s[0], wire.CauseError))
	if again := h.startCommands(); len(again) != 0 {
		t.Fatalf("sent beside the ended attempt: %v", again)
	}
	h.now += time.Second
	h.heartbeat("n-1")
	h.advance(time.Second, "n-1")
	if again := h.startCommands(); len(again) != 1 || again[0].Attempt == s[0].Attempt {
		t.Fatalf("not sent after the old one was forgotten: %v\n%+v\n%+v", again, h.scheduler.View().Job(h.clock(), "run-000001"), h.scheduler.View().Machines(h.clock(), "", 9))
	}
}

// A job that fails wherever it runs is retried at growing intervals and puts no machine in
// quarantine; a machine on which unrelated jobs fail goes there.
func TestFailingJobBacksOffAndFaultyMachineIsQuarantined(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	tries := 0
	for begun := h.now; h.now < begun+60*time.Second; {
		s := h.startCommands()
		tries += len(s)
		h.answerAll(CallExecuted)
		if len(s) > 0 {
			h.heartbeat("n-1", exitedReport(s[0], wire.CauseError))
		}
		h.advance(tuning.TickInterval, "n-1")
	}
	if tries < 4 || tries > 10 {
		t.Errorf("%d attempts in a minute", tries)
	}
	if h.scheduler.cluster.machines["n-1"].quarantine.until > h.now {
		t.Error("one failing job put its machine in quarantine")
	}
	h.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	for _, c := range h.calls {
		for _, o := range c.Body.Commands {
			if o.Task == "run-000002/0" {
				h.answer(c, CallExecuted)
				h.heartbeat("n-1", exitedReport(o, wire.CauseError))
			}
		}
	}
	if h.scheduler.cluster.machines["n-1"].quarantine.until <= h.now {
		t.Error("two unrelated failing jobs did not put it in quarantine")
	}
	if f := h.scheduler.View().Failures(0, 1); len(f) != 1 || f[0].Task != "run-000002/0" || f[0].Cause != wire.CauseError {
		t.Errorf("failures: %+v", f)
	}
}

// A machine whose heartbeats arrive while nothing reaches it gets no new work; what was
// placed there counts until it is proven absent, and the machine is released. Else every
// start that goes there would wait until its deadline.
func TestUnreachableMachineGetsNoWorkAndIsReleased(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.now += 2 * h.scheduler.settings.WorkerLease
	h.heartbeat("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	staleToken := h.fencingToken("n-1")
	runUnreachable := func(t time.Duration, others ...string) {
		for end := h.now + t; h.now < end; {
			for _, c := range h.calls {
				if c.Machine == "n-1" {
					h.scheduler.CallDone(h.clock(), c.ID, CallLost, nil)
				} else {
					h.answer(c, CallExecuted)
				}
			}
			h.calls = nil
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
	h.scheduler.Released(h.clock(), h.releases[0], ReleaseDone)
	h.settle()
	runUnreachable(time.Second, "n-2")
	if n := len(h.scheduler.cluster.machines["n-2"].tasks); n != 5 {
		t.Errorf("not placed again: %d tasks", n)
	}
}

// A machine that does not answer a start gets no more until it shows that commands reach it,
// though a heartbeat has just arrived.
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
	h.advance(time.Second, "n-1") // under the token that it got meanwhile
	if n := len(h.scheduler.cluster.machines["n-1"].tasks); n != 2 {
		t.Fatalf("%d tasks on a machine that is reached", n)
	}
}

// A worker's incarnation that ends although its heartbeats were answered shows that the
// replies are lost; its answer to a direct call shows that it is reached.
func TestLeaseExpiryDespiteRepliesMarksMachineUnreachable(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.advance(2*h.scheduler.settings.WorkerLease, "n-1")
	h.calls = nil
	r := h.newHeartbeat("n-1", h.fencingToken("n-1"))
	r.Incarnation = 2
	h.scheduler.Heartbeat(h.clock(), r)
	if m := h.scheduler.cluster.machines["n-1"]; m.connectivity.unreachableSince == 0 || h.scheduler.cluster.schedulable(m) {
		t.Fatal("usable though replies to it are lost")
	}
	h.scheduler.Tick(h.clock())
	h.settle()
	if len(h.calls) != 1 {
		t.Fatalf("not probed: %+v", h.calls)
	}
	answer := h.newHeartbeat("n-1", h.calls[0].Body.FencingToken)
	answer.Incarnation = 2
	h.scheduler.CallDone(h.clock(), h.calls[0].ID, CallExecuted, answer)
	if m := h.scheduler.cluster.machines["n-1"]; m.connectivity.unreachableSince != 0 {
		t.Error("still taken for unreachable")
	}
}

// Duplicates of heartbeats that come late prove nothing, change nothing, do not show that the
// machine is alive, get no starts, and bring no released machine back.
func TestDuplicateLateHeartbeatsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2")
	early := h.newHeartbeat("n-1", h.fencingToken("n-1")) // before anything was placed
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
	h.answerAll(CallExecuted)
	var m *machine
	for _, x := range h.scheduler.cluster.machines {
		if len(x.tasks) > 0 {
			m = x
		}
	}
	early.Machine, early.Address = m.name, m.address
	h.heartbeat(m.name, h.runningTasks(m.name)...)
	heard, anyHeard, session := m.connectivity.lastHeartbeatAt, h.scheduler.monitor.lastHeartbeatAt, m.heartbeats.incarnation
	h.now += 5 * time.Second
	for _, copy := range []*wire.Heartbeat{early, {Machine: m.name, Address: m.address, Type: "box", Zone: "a", Incarnation: 0, Sequence: 99, FencingToken: early.FencingToken}} {
		reply, ok := h.scheduler.Heartbeat(h.clock(), copy)
		if !ok || len(reply.Commands) != 0 || len(m.tasks) != 1 || m.connectivity.lastHeartbeatAt != heard || h.scheduler.monitor.lastHeartbeatAt != anyHeard || m.heartbeats.incarnation != session {
			t.Errorf("a late duplicate: %+v, %d tasks, last heartbeat at %v then %v", reply, len(m.tasks), heard, m.connectivity.lastHeartbeatAt)
		}
	}
	h.scheduler.Released(h.clock(), []string{m.name}, ReleaseDone)
	if h.scheduler.Heartbeat(h.clock(), early); h.scheduler.cluster.machines[m.name] != nil {
		t.Error("a released machine is adopted for a late duplicate")
	}
	// To a new leader it is the first from that machine, which may be there; but nothing
	// is placed on it, and it is released when nothing follows.
	e := newHarness(t)
	for i, token := range []uint64{0, (harnessTerm - 1) << tuning.FencingBits} {
		first := *early
		first.FencingToken = token
		first.Machine = []string{"n-3", "n-4"}[i]
		e.scheduler.Heartbeat(e.clock(), &first)
	}
	e.bringUp("n-6")
	e.submit(wire.Job{ID: "run-000002", Tasks: 20, CPUs: 1})
	e.advance(3*e.scheduler.settings.WorkerLease, "n-6")
	for _, name := range []string{"n-3", "n-4"} {
		if x := e.scheduler.cluster.machines[name]; x != nil && len(x.tasks) > 0 {
			t.Errorf("placed on %s for a late duplicate", name)
		}
	}
	if len(e.releases) == 0 {
		t.Error("never released")
	}
}

// On a machine whose interruption is announced, what may complete in time runs on; what may
// not is moved if there is capacity elsewhere; shortly before the end everything is stopped.
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
	notice := func(left float64) map[string]bool {
		r := h.newHeartbeat("n-1", h.fencingToken("n-1"), tasks...)
		r.InterruptionInS = &left
		h.scheduler.Heartbeat(h.clock(), r)
		h.scheduler.Tick(h.clock())
		h.settle()
		stopped := map[string]bool{}
		for _, a := range h.scheduler.cluster.machines["n-1"].sortedAttempts() {
			stopped[a.ref.jobID] = a.stop.requested
		}
		return stopped
	}
	if s := notice(15); s["run-000001"] || s["run-000002"] {
		t.Errorf("stopped without capacity elsewhere: %v", s)
	}
	h.now += 2 * tuning.FreeCapacityCacheTTL
	h.bringUp("n-2")
	if s := notice(14); s["run-000001"] || !s["run-000002"] {
		t.Errorf("with capacity elsewhere: %v", s)
	}
	if s := notice(1); !s["run-000001"] {
		t.Errorf("not stopped before the end: %v", s)
	}
}
