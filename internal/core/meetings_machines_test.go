package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A new leader whose machine opens no connections, while direct commands reach it: it
// asks until it is answered, goes on with the machine by its answers alone, starts and
// stops there, keeps the lead and does not give the machine back.
func TestMuteMachineUnderANewLeader(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 11))
		j := wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1, Team: "red", Shape: wire.ShapeService, Rank: wire.RankProduction, Image: "img"}
		live := map[string]*LiveJob{j.ID: {Record: &store.JobRecord{Job: j}, Stamp: 5}}
		var records []wire.Item
		on := map[string]map[string]wire.TaskReport{}
		for i, name := range []string{"n-1", "n-2"} {
			records = append(records, machineItem(t, name, store.MachineRecord{Type: "box", Zone: "a", Address: name + ":1",
				Tasks: map[string][]store.Assigned{j.ID: {{Index: i, Attempt: 9}}}}))
			task := wire.TaskName(j.ID, i)
			on[name] = map[string]wire.TaskReport{task: {Task: task, Attempt: 9, State: wire.TaskRunning}}
		}
		d := newDesk(t, false, live, records)
		lost := rng.IntN(3) // first questions to n-1 that get no answer
		spell := func(t time.Duration) {
			for end := d.now + t; d.now < end; {
				calls := d.calls
				d.calls = nil
				for _, c := range calls {
					if c.Machine == "n-1" && lost > 0 {
						lost--
						d.now += 1500 * time.Millisecond
						d.l.CallDone(d.clock(), c.ID, CallLost, nil)
						continue
					}
					for _, o := range c.Body.Commands {
						switch o.Verb {
						case wire.VerbRun:
							on[c.Machine][o.Task] = running(o)
						case wire.VerbHalt:
							on[c.Machine][o.Task] = exited(o, wire.CauseHalted)
						}
					}
					var tasks []wire.TaskReport
					for _, x := range on[c.Machine] {
						tasks = append(tasks, x)
					}
					d.l.CallDone(d.clock(), c.ID, CallExecuted, d.view(c.Machine, c.Body.Token, tasks...))
				}
				d.now += time.Duration(50+rng.IntN(150)) * time.Millisecond
				d.l.Tick(d.clock())
				d.settle() // fails the test if the leader resigns
			}
		}
		spell(15 * time.Second)
		for _, m := range d.l.machines {
			if !m.confirmed || len(m.tasks) != 1 {
				t.Fatalf("seed %d: %s is not confirmed by its answers", seed, m.name)
			}
		}
		d.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1})
		spell(3 * time.Second)
		for i := range 2 {
			if task := wire.TaskName("run-000002", i); on["n-1"][task].State != wire.TaskRunning && on["n-2"][task].State != wire.TaskRunning {
				t.Fatalf("seed %d: task %d not started directly", seed, i)
			}
		}
		d.l.Cancelled(d.clock(), []string{"run-000001", "run-000002"})
		spell(2 * time.Second)
		for _, tasks := range on {
			for name, x := range tasks {
				if x.State != wire.TaskExited {
					t.Fatalf("seed %d: %s runs on after its cancellation", seed, name)
				}
			}
		}
		d.submit(wire.Job{ID: "run-000003", Tasks: 1, CPUs: 1})
		spell(40 * time.Second)
		if len(d.rel) > 0 || len(d.l.machines) != 2 {
			t.Fatalf("seed %d: given back though it answers: %v", seed, d.rel)
		}
	}
}

// A machine that nobody expected appears by its report. It is adopted, and what it has
// with it counts from then on and is written down, or is stopped if it must not run: a
// cancelled or ended job's task, one that is done, one that is elsewhere too.
func TestUnexpectedMachine(t *testing.T) {
	done := store.NewBitmap(2)
	done.Add(1)
	job := func(id string, tasks int) wire.Job {
		return wire.Job{ID: id, Tasks: tasks, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal, Image: "img"}
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
				"run-000001": {Record: &store.JobRecord{Job: job("run-000001", 1)}, Stamp: 5},
				"run-000002": {Record: &store.JobRecord{Job: job("run-000002", 2), Cancelled: true}, Stamp: 5},
				"run-000003": {Record: &store.JobRecord{Job: job("run-000003", 2), Done: done.Encode(0)}, Stamp: 5},
				"run-000004": {Record: &store.JobRecord{Job: job("run-000004", 1)}, Stamp: 5},
			}
			d := newDesk(t, false, live, []wire.Item{machineItem(t, "n-1", store.MachineRecord{Type: "box", Zone: "a", Address: "n-1:1",
				Tasks: map[string][]store.Assigned{"run-000002": {{Index: 1, Attempt: 8}}, "run-000004": {{Index: 0, Attempt: 9}}}})})
			d.calls = nil // n-1 is silent, so the cancelled job is live on
			stops := 0
			count := func(cmds []wire.Command) {
				for _, o := range cmds {
					if o.Verb == wire.VerbHalt && o.Task == c.task && o.Attempt == 3 {
						stops++
					}
				}
			}
			x := wire.TaskReport{Task: c.task, Attempt: 3, State: c.state}
			count(d.report("n-2", x).Commands)
			m := d.l.machines["n-2"]
			if m == nil || m.phase != up || len(m.tasks) != 1 {
				t.Fatalf("not adopted with its task: %+v", m)
			}
			d.now += time.Second
			d.l.Tick(d.clock())
			d.settle()
			for _, call := range d.calls {
				if call.Machine == "n-2" {
					count(call.Body.Commands)
				}
			}
			if (stops > 0) != c.stopped {
				t.Errorf("%d stops", stops)
			}
			if id, _, _ := wire.SplitTask(c.task); !c.stopped && (d.recorded() != 1 || len(d.l.jobs[id].active[0]) != 1) {
				t.Errorf("not counted, or not written down: %d", d.recorded())
			}
			// Nothing of it is taken for gone, or placed elsewhere, by what is no newer.
			old := d.view("n-2", d.token("n-2"))
			old.Tick = 1
			before := len(m.tasks)
			if d.l.Checkin(d.clock(), old); len(m.tasks) != before {
				t.Error("a report that is no newer than the last changes something")
			}
		})
	}
	// Without tasks it is used, and given back when it is idle.
	d := newDesk(t, true, nil, nil)
	d.report("n-1")
	d.report("n-2")
	d.pass(d.l.cfg.Policy.IdleRelease+10*time.Second, "n-1", "n-2")
	if len(d.rel) == 0 {
		t.Error("idle machines that nobody expected are kept")
	}
}

// The answer of another machine, which has the address now, says nothing of ours.
func TestAnswerOfAnotherMachine(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	d.answerAll(CallExecuted)
	d.now += 10 * time.Second
	d.l.Tick(d.clock())
	d.settle()
	m := d.l.machines["n-1"]
	heard := m.heardAt
	if len(d.calls) == 0 {
		t.Fatal("not asked though it is silent")
	}
	c := d.calls[0]
	other := d.view("n-2", c.Body.Token)
	other.Address, other.Tick = m.addr, 1000
	d.l.CallDone(d.clock(), c.ID, CallExecuted, other)
	if len(m.tasks) != 1 || m.heardAt != heard || m.unansweredSinceHeard == 0 {
		t.Errorf("%d tasks, heard %v then %v, %d questions in vain", len(m.tasks), heard, m.heardAt, m.unansweredSinceHeard)
	}
}

// A worker's token of a later term ends a lead: 200 would hold the worker here while its
// lease runs out. One that no leader can have given ends none; a report under it is not
// answered, and changes nothing.
func TestOvertaken(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 13))
	for range 20 {
		d := newDesk(t, false, nil, nil)
		d.up("n-1")
		ahead := uint64(1 + rng.IntN(tuning.TermAhead))
		absurd := uint64(tuning.TermAhead + 1 + rng.IntN(1<<20))
		for _, c := range []struct {
			ahead  uint64
			direct bool
			resign bool
		}{{absurd, false, false}, {absurd, true, false}, {ahead, true, true}, {ahead, false, true}} {
			r := d.view("n-1", (deskTerm+c.ahead)<<tuning.FenceBits)
			m := d.l.machines["n-1"]
			tick := m.tick
			if c.direct {
				m.askedAt = 0
				d.l.askForReport(m)
				call := d.l.Take().Direct[0]
				d.l.CallDone(d.clock(), call.ID, CallRefused, r)
			} else if _, ok := d.l.Checkin(d.clock(), r); ok {
				t.Fatalf("a report %d terms ahead is answered", c.ahead)
			}
			if resign := d.l.Take().Resign != ""; resign != c.resign || m.tick != tick {
				t.Fatalf("%d terms ahead, direct %v: resigns %v, tick %d then %d", c.ahead, c.direct, resign, tick, m.tick)
			}
		}
	}
}

// A start that is still on its way is stopped: from then on commands bear a higher token,
// so that a worker which has seen the stop refuses the start, however late it comes.
func TestHeldStartIsRefusedAfterItsStop(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1})
	if len(d.starts()) != 1 {
		t.Fatalf("%d starts", len(d.starts()))
	}
	held := d.calls[0].Body.Token
	d.l.Cancelled(d.clock(), []string{"run-000001"})
	d.settle()
	if token := d.token("n-1"); token <= held {
		t.Fatalf("token %d after the stop of a start under %d", token, held)
	}
	d.reportAs("n-1", held) // does not list it, but under the old token
	if len(d.l.machines["n-1"].tasks) != 1 {
		t.Fatal("taken for gone while its start is on its way")
	}
}
