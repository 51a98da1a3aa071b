package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Reports that contradict themselves, each other and all that was ever placed change
// nothing that the books could not bear, and end neither the process nor the lead.
func TestContradictoryReports(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newDesk(t, false, nil, nil)
		d.up("n-1", "n-2")
		for i := range 4 {
			d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1 + i, CPUs: float64(1 + i)})
		}
		numbers := []uint64{0, 1, d.l.term<<tuning.FenceBits | 1, d.l.term<<tuning.FenceBits | 2, 1<<64 - 1}
		task := rapid.Custom(func(r *rapid.T) wire.TaskReport {
			return wire.TaskReport{
				Task:    fmt.Sprintf("run-%06d/%d", rapid.IntRange(0, 5).Draw(r, "job"), rapid.SampledFrom([]int{0, 1, 3, 99999}).Draw(r, "index")),
				Attempt: rapid.SampledFrom(numbers).Draw(r, "attempt"),
				State:   rapid.SampledFrom([]string{"", "odd", wire.TaskFetching, wire.TaskRunning, wire.TaskSaving, wire.TaskExited}).Draw(r, "state"),
				Cause:   rapid.SampledFrom([]string{"", "odd", wire.CauseDone, wire.CauseError, wire.CauseHalted, wire.CauseFull, wire.CauseUnknown}).Draw(r, "cause"),
			}
		})
		for range rapid.IntRange(1, 30).Draw(r, "reports") {
			rep := &wire.Report{Machine: rapid.SampledFrom([]string{"n-1", "n-2", "n-9"}).Draw(r, "machine"), Address: "a:1",
				Type: rapid.SampledFrom([]string{"box", "none", ""}).Draw(r, "type"), Zone: rapid.SampledFrom([]string{"a", "b", "none"}).Draw(r, "zone"),
				Session: rapid.Uint64Range(1, 4).Draw(r, "session"), Tick: rapid.Uint64Range(0, 40).Draw(r, "tick"),
				Token: rapid.SampledFrom([]uint64{0, 7, d.l.term << tuning.FenceBits, d.l.term<<tuning.FenceBits | 9, 1<<64 - 1}).Draw(r, "token"),
				Tasks: rapid.SliceOfN(task, 0, 6).Draw(r, "tasks")}
			d.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
			d.report("n-4") // a sound one: a leader that hears nothing new resigns
			if rapid.Bool().Draw(r, "direct") && len(d.calls) > 0 {
				c := d.calls[0]
				d.calls = d.calls[1:]
				d.l.CallDone(d.clock(), c.ID, CallResult(rapid.IntRange(0, 2).Draw(r, "result")), rep)
			} else {
				d.l.Checkin(d.clock(), rep)
			}
			d.l.Tick(d.clock())
			d.settle() // fails the test if the leader resigns
			if err := d.l.Audit(); err != nil {
				r.Fatal(err)
			}
		}
	})
}

// Nothing is started before its machine's record has it, and nothing at all
// while the state service takes no writes.
func TestNoStartBeforeTheRecord(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.fail = true
	d.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	d.pass(3*time.Second, "n-1")
	if s := d.starts(); len(s) != 0 {
		t.Fatalf("started without a record: %v", s)
	}
	d.fail = false
	d.pass(time.Second, "n-1")
	if s, n := d.starts(), d.recorded(); len(s) != 2 || n != 2 {
		t.Fatalf("%d starts, %d recorded", len(s), n)
	}
}

// An unacknowledged start is sent again, with the same attempt, at growing
// intervals, until the budget is spent; then it is stopped under a higher token
// and placed again only when a report under that token shows it gone.
func TestUnacknowledgedStart(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	due := 30.0
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, DueS: &due})
	first := d.starts()[0]
	begun := d.now
	var at []time.Duration
	token := uint64(0)
	for d.now < begun+60*time.Second && d.l.count.ProbeGiveUp == 0 {
		for _, c := range d.calls {
			for _, o := range c.Body.Commands {
				if o.Verb == wire.VerbRun {
					if o.Attempt != first.Attempt {
						t.Fatalf("probe with another attempt: %v", o)
					}
					at = append(at, d.now-begun)
					token = c.Body.Token
				}
			}
		}
		d.answerAll(CallLost)
		d.now += tuning.TickEvery
		m := d.l.machines["n-1"]
		d.l.heardAny, m.heardAt, m.unreachableSince = d.now, d.now, 0 // neither silence nor deafness is the matter here
		d.l.Tick(d.clock())
		d.settle()
	}
	if len(at) < 3 || len(at) > tuning.ProbeCount+1 {
		t.Fatalf("probes at %v", at)
	}
	for i := 2; i < len(at); i++ {
		if at[i]-at[i-1] < at[i-1]-at[i-2] {
			t.Fatalf("probes at %v do not slow down", at)
		}
	}
	if last := at[len(at)-1]; last > 30*time.Second || d.now-begun < 30*time.Second {
		t.Fatalf("last probe after %v, given up after %v, budget 30 s", last, d.now-begun)
	}
	stopped := false
	for _, c := range d.calls {
		for _, o := range c.Body.Commands {
			stopped = stopped || o.Verb == wire.VerbHalt && o.Attempt == first.Attempt && c.Body.Token > token
		}
	}
	if !stopped {
		t.Fatalf("no stop under a higher token: %+v", d.calls)
	}
	d.answerAll(CallLost)
	d.reportAs("n-1", token) // does not list it, but under the old token
	if len(d.l.machines["n-1"].tasks) != 1 {
		t.Fatal("taken for gone without proof")
	}
	d.report("n-1")
	d.pass(time.Second, "n-1")
	s := d.starts()
	if len(s) != 1 || s[0].Attempt <= first.Attempt {
		t.Fatalf("not placed again with a higher attempt: %v", s)
	}
}

// A report that overtakes the answer which carried a start proves nothing.
func TestReplyOvertaken(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	a := d.l.jobs["run-000001"].active[0][0]
	a.calling, a.seen, a.replyTick, a.session = false, false, d.ticks["n-1"]+1, 1
	direct := d.view("n-1", d.token("n-1"))
	direct.Tick = a.replyTick + 1
	if d.l.provenAbsent(a, direct, false) {
		t.Error("a direct answer counts as proof against a start in a report's answer")
	}
	if !d.l.provenAbsent(a, direct, true) {
		t.Error("the next report does not count as proof")
	}
}

// A done task is forgotten only when it is durably done, and always under a
// higher token than its start had.
func TestForgetAfterDurable(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1})
	s := d.starts()
	token := d.calls[0].Body.Token
	d.answerAll(CallExecuted)
	d.fail = true
	forgets := func(r wire.CheckinReply) (n int) {
		for _, o := range r.Commands {
			if o.Verb == wire.VerbForget {
				n++
			}
		}
		return n
	}
	tasks := []wire.TaskReport{exited(s[0], wire.CauseDone), running(s[1])}
	for range 3 {
		d.now += time.Second
		if r := d.report("n-1", tasks...); forgets(r) != 0 {
			t.Fatal("forgotten before it is durable")
		}
	}
	d.fail = false
	d.now += 2 * tuning.DoneFlush
	d.l.Tick(d.clock())
	d.settle()
	r := d.report("n-1", tasks...)
	if forgets(r) != 1 || r.Token <= token {
		t.Fatalf("%+v after a start under %d", r, token)
	}
}

// A new attempt is not sent to a machine that still lists an ended one of the
// same task: a late copy of the old start could run beside it elsewhere.
func TestNoStartBesideAnEndedAttempt(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	s := d.starts()
	d.answerAll(CallExecuted)
	d.report("n-1", exited(s[0], wire.CauseError))
	d.now += 2 * time.Second
	d.l.Tick(d.clock())
	d.settle()
	d.report("n-1", exited(s[0], wire.CauseError))
	if again := d.starts(); len(again) != 0 {
		t.Fatalf("sent beside the ended attempt: %v", again)
	}
	d.now += time.Second
	d.report("n-1")
	d.pass(time.Second, "n-1")
	if again := d.starts(); len(again) != 1 || again[0].Attempt == s[0].Attempt {
		t.Fatalf("not sent after the old one was forgotten: %v\n%+v\n%+v", again, d.l.Job(d.clock(), "run-000001"), d.l.Machines(d.clock(), "", 9))
	}
}

// A job that fails wherever it runs is tried at growing intervals and blames no
// machine for good; a machine on which unrelated jobs fail is avoided.
func TestFailures(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	tries := 0
	for begun := d.now; d.now < begun+60*time.Second; {
		s := d.starts()
		tries += len(s)
		d.answerAll(CallExecuted)
		if len(s) > 0 {
			d.report("n-1", exited(s[0], wire.CauseError))
		}
		d.pass(tuning.TickEvery, "n-1")
	}
	if tries < 4 || tries > 10 {
		t.Errorf("%d tries in a minute", tries)
	}
	if d.l.machines["n-1"].suspect > d.now {
		t.Error("one failing job made its machine suspect")
	}
	d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	for _, c := range d.calls {
		for _, o := range c.Body.Commands {
			if o.Task == "run-000002/0" {
				d.answer(c, CallExecuted)
				d.report("n-1", exited(o, wire.CauseError))
			}
		}
	}
	if d.l.machines["n-1"].suspect <= d.now {
		t.Error("two unrelated failing jobs did not")
	}
	if f := d.l.Failures(0, 1); len(f) != 1 || f[0].Task != "run-000002/0" || f[0].Cause != wire.CauseError {
		t.Errorf("failures: %+v", f)
	}
}

// A machine whose reports arrive while nothing reaches it gets no new work; what
// was placed there counts until it is proven gone, and it is given back. Without
// the guard, every start that goes there waits out its whole budget.
func TestDeafMachine(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.now += 2 * d.l.cfg.Lease
	d.report("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	old := d.token("n-1")
	deaf := func(t time.Duration, others ...string) {
		for end := d.now + t; d.now < end; {
			for _, c := range d.calls {
				if c.Machine == "n-1" {
					d.l.CallDone(d.clock(), c.ID, CallLost, nil)
				} else {
					d.answer(c, CallExecuted)
				}
			}
			d.calls = nil
			d.now += tuning.TickEvery
			d.reportAs("n-1", old)
			for _, m := range others {
				d.report(m, d.on(m)...)
			}
			d.l.Tick(d.clock())
			d.settle()
		}
	}
	deaf(4 * time.Second)
	d.report("n-2")
	deaf(time.Second, "n-2")
	d.submit(wire.Job{ID: "run-000002", Tasks: 4, CPUs: 1})
	deaf(2*time.Second, "n-2")
	if n := len(d.l.machines["n-1"].tasks); n != 1 {
		t.Fatalf("%d tasks on the deaf machine, 1 may be there", n)
	}
	if n := len(d.l.machines["n-2"].tasks); n != 4 {
		t.Errorf("%d of 4 tasks on the other", n)
	}
	deaf(d.l.cfg.Lease, "n-2")
	if len(d.rel) != 1 || d.rel[0][0] != "n-1" {
		t.Fatalf("given back: %v", d.rel)
	}
	if n := len(d.l.machines["n-2"].tasks); n != 4 {
		t.Error("placed again before the release was answered")
	}
	d.l.Released(d.clock(), d.rel[0], ReleaseDone)
	d.settle()
	deaf(time.Second, "n-2")
	if n := len(d.l.machines["n-2"].tasks); n != 5 {
		t.Errorf("not placed again: %d tasks", n)
	}
}

// A machine that does not answer a start gets no more until it shows that it hears
// us, though it reported just now.
func TestNoMoreWorkAfterAnUnansweredStart(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	old := d.token("n-1")
	d.answerAll(CallLost)
	d.reportAs("n-1", old)
	d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	if n := len(d.l.machines["n-1"].tasks); n != 1 {
		t.Fatalf("%d tasks on a machine that did not answer", n)
	}
	d.pass(time.Second, "n-1") // under the token that it was told meanwhile
	if n := len(d.l.machines["n-1"].tasks); n != 2 {
		t.Fatalf("%d tasks on a machine that hears us", n)
	}
}

// A worker's session that ends although it was answered says that the answers are
// lost; a direct call that it answers says otherwise.
func TestSessionLostThoughAnswered(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.pass(2*d.l.cfg.Lease, "n-1")
	d.calls = nil
	r := d.view("n-1", d.token("n-1"))
	r.Session = 2
	d.l.Checkin(d.clock(), r)
	if m := d.l.machines["n-1"]; m.unreachableSince == 0 || d.l.usable(m) {
		t.Fatal("usable though its answers are lost")
	}
	d.l.Tick(d.clock())
	d.settle()
	if len(d.calls) != 1 {
		t.Fatalf("not asked directly: %+v", d.calls)
	}
	answer := d.view("n-1", d.calls[0].Body.Token)
	answer.Session = 2
	d.l.CallDone(d.clock(), d.calls[0].ID, CallExecuted, answer)
	if m := d.l.machines["n-1"]; m.unreachableSince != 0 {
		t.Error("still taken for deaf")
	}
}

// Copies of reports that come late prove nothing, change nothing, are no sign of
// life, get no starts, and bring no machine back that was given back.
func TestLateCopiesOfReports(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2")
	early := d.view("n-1", d.token("n-1")) // before it had anything
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
	d.answerAll(CallExecuted)
	var m *machine
	for _, x := range d.l.machines {
		if len(x.tasks) > 0 {
			m = x
		}
	}
	early.Machine, early.Address = m.name, m.addr
	d.report(m.name, d.on(m.name)...)
	heard, any, session := m.heardAt, d.l.heardAny, m.session
	d.now += 5 * time.Second
	for _, copy := range []*wire.Report{early, {Machine: m.name, Address: m.addr, Type: "box", Zone: "a", Session: 0, Tick: 99, Token: early.Token}} {
		reply, ok := d.l.Checkin(d.clock(), copy)
		if !ok || len(reply.Commands) != 0 || len(m.tasks) != 1 || m.heardAt != heard || d.l.heardAny != any || m.session != session {
			t.Errorf("a late copy: %+v, %d tasks, heard %v then %v", reply, len(m.tasks), heard, m.heardAt)
		}
	}
	d.l.Released(d.clock(), []string{m.name}, ReleaseDone)
	if d.l.Checkin(d.clock(), early); d.l.machines[m.name] != nil {
		t.Error("a machine that was given back is adopted by a late copy")
	}
	// To a new leader it is the first it hears: the machine may be there, but
	// nothing is placed on it, and it goes back when nothing follows.
	e := newDesk(t, false, nil, nil)
	for i, token := range []uint64{0, (deskTerm - 1) << tuning.FenceBits} {
		first := *early
		first.Token = token
		first.Machine = []string{"n-3", "n-4"}[i]
		e.l.Checkin(e.clock(), &first)
	}
	e.up("n-6")
	e.submit(wire.Job{ID: "run-000002", Tasks: 20, CPUs: 1})
	e.pass(3*e.l.cfg.Lease, "n-6")
	for _, name := range []string{"n-3", "n-4"} {
		if x := e.l.machines[name]; x != nil && len(x.tasks) > 0 {
			t.Errorf("placed on %s on the word of a late copy", name)
		}
	}
	if len(e.rel) == 0 {
		t.Error("never given back")
	}
}

// On a machine that will be taken, what may complete in time runs on; what may
// not moves if there is room; shortly before the end everything is stopped.
func TestEvacuation(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, EstimateS: 5})
	d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1, EstimateS: 500})
	d.answerAll(CallExecuted)
	var tasks []wire.TaskReport
	for _, a := range d.l.machines["n-1"].list() {
		tasks = append(tasks, running(wire.Command{Task: wire.TaskName(a.ref.job, a.ref.index), Attempt: a.number}))
	}
	notice := func(left float64) map[string]bool {
		r := d.view("n-1", d.token("n-1"), tasks...)
		r.RecallS = &left
		d.l.Checkin(d.clock(), r)
		d.l.Tick(d.clock())
		d.settle()
		stopped := map[string]bool{}
		for _, a := range d.l.machines["n-1"].list() {
			stopped[a.ref.job] = a.halt
		}
		return stopped
	}
	if s := notice(15); s["run-000001"] || s["run-000002"] {
		t.Errorf("stopped without room elsewhere: %v", s)
	}
	d.now += 2 * tuning.RoomLately
	d.up("n-2")
	if s := notice(14); s["run-000001"] || !s["run-000002"] {
		t.Errorf("with room elsewhere: %v", s)
	}
	if s := notice(1); !s["run-000001"] {
		t.Errorf("not stopped before the end: %v", s)
	}
}
