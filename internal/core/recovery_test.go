package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

const restartedJob = "run-000001"

// coldRestart sets what a leader has that is the first after all were away.
func coldRestart(s *Settings) { s.Policy.Recovery, s.ColdRestart = true, true }

func liveJobs(jobs ...wire.Job) map[string]*LiveJob {
	live := map[string]*LiveJob{}
	for _, j := range jobs {
		if j.Shape == "" {
			j.Shape = wire.ShapeArray
		}
		j.Team, j.Rank, j.Image, j.CreatedMilli = "red", wire.RankNormal, "img", time.Hour.Milliseconds()
		live[j.ID] = &LiveJob{Record: &store.JobRecord{Job: j}, Stamp: 5}
	}
	return live
}

// recordOn is a record of one attempt of the restarted job's first task.
func recordOn(t *testing.T, machine string, attempt uint64) wire.Item {
	return machineItem(t, machine, store.MachineRecord{Type: "box", Zone: "a", Address: machine + ":1",
		Tasks: map[string][]store.Assigned{restartedJob: {{Index: 0, Attempt: attempt}}}})
}

func taskOn(attempt uint64, state string) wire.TaskReport {
	r := wire.TaskReport{Task: restartedJob + "/0", Attempt: attempt, State: state}
	if state == wire.TaskExited {
		r.Cause = wire.CauseDone
	}
	return r
}

// stopsOf lists the stops in an answer and among the calls to a machine.
func (d *desk) stopsOf(machine string, reply wire.CheckinReply) (attempts []uint64) {
	commands := slices.Clone(reply.Commands)
	for _, c := range d.calls {
		if c.Machine == machine {
			commands = append(commands, c.Body.Commands...)
		}
	}
	for _, c := range commands {
		if c.Verb == wire.VerbHalt && !slices.Contains(attempts, c.Attempt) {
			attempts = append(attempts, c.Attempt)
		}
	}
	return attempts
}

func (d *desk) classes() map[string]int {
	return maps.Collect(func(yield func(string, int) bool) {
		for class, n := range d.l.RecoveryStatus(d.clock()).Classes {
			if n > 0 && !yield(class, n) {
				return
			}
		}
	})
}

// A task completes, its attempt is over, and the controllers end before it is recorded as
// done. The next leader does not start it anew on another machine before the one that
// ran it has reported. The record is let go of once the task is durably done.
func TestCompletedTaskKeepsItsRecordUntilItIsSaved(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: restartedJob, Tasks: 2, CPUs: 8})
	first := d.starts()[0]
	d.answerAll(CallExecuted)
	d.up("n-2") // the second task has a batch of its own
	d.pass(time.Second, "n-2")
	d.answerAll(CallExecuted)
	live := map[string]*LiveJob{restartedJob: {Record: &store.JobRecord{Job: d.l.jobs[restartedJob].spec}, Stamp: d.rev}}
	d.report("n-1", exited(first, wire.CauseDone))
	d.pass(tuning.DoneFlush / 2)
	if n := d.recorded(); n != 2 {
		t.Fatalf("%d attempts are recorded before the task is durably done, not 2", n)
	}
	next := newDesk(t, false, nil, nil)
	next.lead(d.l.cfg, deskTerm+10, live, slices.Collect(maps.Values(d.items)), []wire.MachineType{*d.l.types["box"]})
	next.up("n-3")
	next.pass(2*time.Second, "n-3")
	if s := next.starts(); len(s) > 0 {
		t.Errorf("started anew: %+v", s)
	}
	next.answerAll(CallLost)
	next.report("n-1", exited(first, wire.CauseDone))
	next.report("n-1", exited(first, wire.CauseDone))
	if j := next.l.jobs[restartedJob]; j.nDone != 1 || next.classes()[recovery.FinishedUnrecorded.String()] != 1 {
		t.Errorf("%d done, classes %v", j.nDone, next.classes())
	}
	d.pass(tuning.DoneFlush+2*time.Second, "n-2")
	if n := d.recorded(); n != 1 {
		t.Errorf("%d attempts are recorded after the task was saved, not 1", n)
	}
}

// A machine reports a task that no record names. It is adopted where that breaks no rule,
// else stopped; and no second copy starts before it is proven gone.
func TestUnrecordedTask(t *testing.T) {
	const attempt = 7
	for _, tc := range []struct {
		name    string
		job     wire.Job
		change  func(*store.JobRecord)
		records []wire.Item
		class   recovery.Class
		stopped bool
	}{
		{name: "of a live job", job: wire.Job{Tasks: 1, CPUs: 1}, class: recovery.Unrecorded},
		{name: "of a cancelled job", job: wire.Job{Tasks: 1, CPUs: 1}, change: func(r *store.JobRecord) { r.Cancelled = true },
			records: []wire.Item{recordOn(t, "n-2", 5)}, class: recovery.Obsolete, stopped: true},
		{name: "of a job that is over", job: wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1}, class: recovery.Obsolete, stopped: true},
		{name: "that is done", job: wire.Job{Tasks: 2, CPUs: 1}, change: func(r *store.JobRecord) {
			done := store.NewBitmap(2)
			done.Add(0)
			r.Done = done.Encode(0)
		}, class: recovery.Obsolete, stopped: true},
		{name: "recorded on another machine", job: wire.Job{Tasks: 1, CPUs: 1}, records: []wire.Item{recordOn(t, "n-2", 5)}, class: recovery.Superseded, stopped: true},
		{name: "while its team is at its limit", job: wire.Job{Tasks: 1, CPUs: 17}, class: recovery.Unrecorded, stopped: true},
		{name: "where its job does not allow it", job: wire.Job{Tasks: 1, CPUs: 1, Zone: "b"}, class: recovery.Unrecorded, stopped: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.job.ID == "" {
				tc.job.ID = restartedJob
			}
			live := liveJobs(tc.job)
			if tc.change != nil {
				tc.change(live[restartedJob].Record)
			}
			d := newDeskWith(t, false, live, tc.records, coldRestart)
			d.calls = nil
			reply := d.report("n-1", taskOn(attempt, wire.TaskRunning))
			if stopped := slices.Contains(d.stopsOf("n-1", reply), attempt); stopped != tc.stopped {
				t.Errorf("stopped: %v", stopped)
			}
			d.answerQuestions([]string{"n-1"})
			d.calls = nil
			d.report("n-1", taskOn(attempt, wire.TaskRunning)) // under our token
			if d.classes()[tc.class.String()] == 0 {
				t.Errorf("classes: %v", d.classes())
			}
			if !tc.stopped && d.recorded() != 1 {
				t.Errorf("adopted without a record: %d", d.recorded())
			}
			d.up("n-3")
			d.report("n-1", taskOn(attempt, wire.TaskRunning))
			d.pass(time.Second, "n-3")
			for _, s := range d.starts() {
				if s.Task == restartedJob+"/0" {
					t.Errorf("started beside it: %+v", s)
				}
			}
		})
	}
}

// Of two machines that report the same recorded task the first keeps it.
func TestTwoMachinesReportTheSameTask(t *testing.T) {
	d := newDeskWith(t, false, liveJobs(wire.Job{ID: restartedJob, Tasks: 1, CPUs: 1}), []wire.Item{recordOn(t, "n-1", 5), recordOn(t, "n-2", 6)}, coldRestart)
	d.calls = nil
	first := d.stopsOf("n-2", d.report("n-2", taskOn(6, wire.TaskRunning)))
	second := d.stopsOf("n-1", d.report("n-1", taskOn(5, wire.TaskRunning)))
	if len(first) > 0 || !slices.Equal(second, []uint64{5}) {
		t.Errorf("stops: %v, %v", first, second)
	}
	if c := d.classes(); c[recovery.Confirmed.String()] != 1 || c[recovery.Superseded.String()] != 1 {
		t.Errorf("classes: %v", c)
	}
}

// A record of a job that is over: what runs of it is stopped, and blocks the machine no
// longer than that.
func TestRecordOfAJobThatIsOver(t *testing.T) {
	d := newDeskWith(t, false, nil, []wire.Item{recordOn(t, "n-1", 5)}, coldRestart)
	if stops := d.stopsOf("n-1", wire.CheckinReply{}); !slices.Equal(stops, []uint64{5}) {
		t.Fatalf("stops: %v", stops)
	}
	d.calls = nil
	ended := taskOn(5, wire.TaskExited)
	ended.Cause = wire.CauseHalted
	d.report("n-1", taskOn(5, wire.TaskRunning))
	d.report("n-1", ended)
	d.l.Listed(d.clock(), nil)
	if m := d.l.machines["n-1"]; len(m.tasks) > 0 || d.l.recovery.Phase() != recovery.Settled {
		t.Errorf("%d tasks, %v", len(m.tasks), d.l.recovery.Phase())
	}
}

// Room on machines that have yet to report is not rented, and nothing is stopped for it;
// with the bound, or without the setting, it is.
func TestNothingIsRentedOrStoppedForUnheardRoom(t *testing.T) {
	for i := range 4 {
		enabled, recorded := i%2 == 0, i/2 == 0
		var records []wire.Item
		if recorded {
			records = append(records, machineItem(t, "n-2", store.MachineRecord{Type: "box", Zone: "a", Address: "n-2:1"}))
		}
		d := newDeskWith(t, false, nil, records, func(s *Settings) { coldRestart(s); s.Policy.Recovery, s.Policy.SpareShare = enabled, 0 })
		d.answerAll(CallLost)
		d.l.Listed(d.clock(), []wire.ListedMachine{{Name: "n-2", Address: "n-2:1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900}})
		d.up("n-1")
		d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 8, Team: "blue", Rank: wire.RankIdle})
		d.answerAll(CallExecuted)
		idle := d.on("n-1")
		d.submit(wire.Job{ID: "run-000003", Tasks: 1, CPUs: 8})
		d.now += time.Second
		stops := d.stopsOf("n-1", d.report("n-1", idle...))
		d.l.Tick(d.clock())
		d.settle()
		if held := len(stops) == 0 && len(d.rents) == 0; held != enabled {
			t.Errorf("recorded %v, with recovery %v: stops %v, rented %d", recorded, enabled, stops, len(d.rents))
		}
		for end := d.now + d.l.recovery.Config().CollectWait(); d.now < end; {
			d.report("n-1", idle...)
			d.pass(tuning.TickEvery)
			d.calls = nil
		}
		if m := d.l.machines["n-1"]; len(d.rents) == 0 && !slices.ContainsFunc(m.list(), func(a *attempt) bool { return a.halt }) {
			t.Errorf("with recovery %v: still held after the bound", enabled)
		}
	}
}

// A machine that is late after a cold restart keeps its work for as long as its lease may
// last; then it is given back, and what ran there starts elsewhere by that proof alone.
func TestLateMachine(t *testing.T) {
	begin := func(enabled bool) *desk {
		d := newDeskWith(t, false, liveJobs(wire.Job{ID: restartedJob, Tasks: 1, CPUs: 1}), []wire.Item{recordOn(t, "n-1", 5)},
			func(s *Settings) { coldRestart(s); s.Policy.Recovery = enabled })
		d.answerAll(CallLost) // the question to n-1
		d.up("n-2")
		return d
	}
	late := func(d *desk, wait time.Duration) {
		for end := d.now + wait; d.now < end; {
			d.pass(tuning.TickEvery, "n-2")
			d.answerAll(CallLost)
		}
	}
	const soon = 10 * time.Second
	if d := begin(false); true {
		if late(d, soon); len(d.rel) == 0 {
			t.Error("kept without the setting: the test shows nothing")
		}
	}
	back := func(name string, view func(*wire.Report), started bool, class recovery.Class) {
		d := begin(true)
		late(d, soon)
		if len(d.rel)+len(d.starts()) > 0 {
			t.Fatalf("%s: given back %v, started %v while its lease may last", name, d.rel, d.starts())
		}
		r := d.view("n-1", d.token("n-1"))
		view(r)
		if _, ok := d.l.Checkin(d.clock(), r); !ok {
			t.Fatalf("%s: not answered", name)
		}
		d.settle()
		d.report("n-1", r.Tasks...)
		d.pass(time.Second, "n-2")
		if got := len(d.starts()) > 0; got != started {
			t.Errorf("%s: started anew: %v", name, got)
		}
		if d.classes()[class.String()] != 1 {
			t.Errorf("%s: classes %v", name, d.classes())
		}
	}
	back("with the same session", func(r *wire.Report) { r.Tasks = []wire.TaskReport{taskOn(5, wire.TaskRunning)} }, false, recovery.Confirmed)
	back("with its task finished", func(r *wire.Report) { r.Tasks = []wire.TaskReport{taskOn(5, wire.TaskExited)} }, false, recovery.FinishedUnrecorded)
	back("with a later session", func(r *wire.Report) { r.Session = 2 }, true, recovery.MissingProven)

	d := begin(true)
	newer := d.view("n-1", (deskTerm+3)<<tuning.FenceBits)
	if _, ok := d.l.Checkin(d.clock(), newer); ok || d.l.Take().Resign == "" {
		t.Error("under a newer token: still led")
	}

	d = begin(true)
	late(d, d.l.cfg.Lease)
	if len(d.rel) != 1 || d.rel[0][0] != "n-1" || len(d.starts()) > 0 {
		t.Fatalf("after its lease: given back %v, started %v", d.rel, d.starts())
	}
	d.l.Released(d.clock(), d.rel[0], ReleaseDone)
	d.pass(time.Second, "n-2")
	if len(d.starts()) != 1 {
		t.Fatalf("after the release: started %v", d.starts())
	}
	d.calls = nil
	if reply := d.report("n-1", taskOn(5, wire.TaskRunning)); len(reply.Commands) > 0 || d.l.machines["n-1"] != nil {
		t.Errorf("minutes later: commands %v", reply.Commands)
	}
}

// After a task without a record was reported, others of jobs from before wait for the
// machines that have yet to report; jobs that were submitted since do not.
func TestUnrecordedTaskHoldsWorkFromBefore(t *testing.T) {
	d := newDeskWith(t, false, liveJobs(wire.Job{ID: restartedJob, Tasks: 3, CPUs: 1}), []wire.Item{machineItem(t, "n-4", store.MachineRecord{Type: "box", Zone: "a", Address: "n-4:1"})}, coldRestart)
	d.calls = nil
	d.report("n-1", taskOn(7, wire.TaskRunning))
	d.answerQuestions([]string{"n-1"})
	if s := d.starts(); len(s) > 0 {
		t.Errorf("started: %+v", s)
	}
	d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
	if s := d.starts(); len(s) != 1 || s[0].Task != "run-000002/0" {
		t.Errorf("new work: %+v", s)
	}
	d.calls = nil
	d.up("n-2")
	d.pass(d.l.recovery.Config().CollectWait(), "n-2")
	if s := d.starts(); len(s) != 2 {
		t.Errorf("after the bound: %+v", s)
	}
}

// Half of a fleet is gone: its machines are given back and replaced at a pace that the
// cloud takes.
func TestReplacementIsPaced(t *testing.T) {
	const machines, rate, seconds = 1200, 1.0, 6
	for _, enabled := range []bool{false, true} {
		var records []wire.Item
		var list []wire.ListedMachine
		for i := range machines {
			name := fmt.Sprintf("n-%06d", i)
			records = append(records, machineItem(t, name, store.MachineRecord{Type: "box", Zone: "a", Address: name + ":1",
				Tasks: map[string][]store.Assigned{restartedJob: {{Index: i, Attempt: uint64(i + 1)}}}}))
			if i%2 == 0 {
				list = append(list, wire.ListedMachine{Name: name, Address: name + ":1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900})
			}
		}
		d := newDeskWith(t, false, liveJobs(wire.Job{ID: restartedJob, Tasks: machines, CPUs: 8}), records, func(s *Settings) {
			coldRestart(s)
			s.Policy.Recovery, s.CloudRate, s.Lease = enabled, rate, time.Minute
			s.Teams["red"] = Team{CPUs: 8 * machines, CPUsMax: 8 * machines}
		})
		d.calls = nil
		for range 2 * tuning.MissingLists {
			d.l.Listed(d.clock(), list)
		}
		calls := 0
		for range seconds * int(time.Second/tuning.TickEvery) {
			d.now += tuning.TickEvery
			for _, it := range list {
				d.l.heardAny, d.l.machines[it.Name].heardAt = d.now, d.now
			}
			d.l.Tick(d.clock())
			d.settle()
			d.calls = nil
			calls += len(d.rel) + len(d.rents)
			for _, names := range d.rel {
				d.l.Released(d.clock(), names, ReleaseDone)
			}
			d.rel, d.rents = nil, nil
		}
		most := (seconds+1)/2 + tuning.RecoveryCloudBurst // at half of the rate
		if paced := calls <= most; paced != enabled || calls < 6 {
			t.Errorf("with recovery %v: %d calls to the cloud in %d s, paced at most %d", enabled, calls, seconds, most)
		}
	}
}

// Time in which no machine was up is no silence of machines: the first one that the
// cloud lists, after a restart without records, does not end the lead.
func TestNoSilenceBeforeTheFirstMachine(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.pass(30 * time.Second)
	list := []wire.ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900}}
	d.l.Listed(d.clock(), list)
	d.pass(2 * d.l.cfg.Report)
	d.l.Listed(d.clock(), list)
	d.pass(time.Second) // the desk fails if the leader resigns
	if d.l.machinesUp() != 1 {
		t.Error("the machine is not up: the test shows nothing")
	}
}

// 6000 machines with six tasks each through a start, a change of leader and a burst: what
// is sent, written and read is in proportion to what there is to do.
func TestSixThousandMachines(t *testing.T) {
	if testing.Short() {
		t.Skip("half a minute")
	}
	const machines, tasks = 6000, 6 * 6000
	f := newFleet(t, machines)
	within := func(what string, got, most int) {
		t.Helper()
		if got > most {
			t.Errorf("%s: %d, at most %d", what, got, most)
		}
	}
	// A batch holds dozens of attempts and is deleted once.
	within("direct calls to fill the fleet", f.calls, 2*machines+tasks/2)
	within("changes to fill the fleet", f.puts, tasks/10)
	within("pages of records", len(f.items)/tuning.ReadPage+1, 4)

	f.calls, f.asked, f.puts = 0, 0, 0
	f.lead(900)
	f.now += tuning.TickEvery
	f.all()
	within("questions after the election", f.asked, machines)
	within("direct calls after the election", f.calls, machines)
	within("changes after the election", f.puts, machines/100)
	status := f.l.RecoveryStatus(f.clock())
	if status.Classes[recovery.Confirmed.String()] != tasks || status.Unheard != 0 {
		t.Errorf("recovered: %+v", status)
	}
	if orders := status.Orders[recovery.OrderStart.String()].Total + status.Orders[recovery.OrderStop.String()].Total; orders != 0 {
		t.Errorf("%d starts and stops in a recovery without differences", orders)
	}

	f.calls, f.puts = 0, 0
	const burst = 4000
	for i := range burst / 400 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-4%05d", i), Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 400, CPUs: 1, MemoryGB: 1, EstimateS: 40})
	}
	for range 100 {
		f.now += 100 * time.Millisecond
		f.settle()
	}
	within("direct calls of a burst", f.calls, burst+machines/10)
	within("changes of a burst", f.puts, burst/10)
	if err := f.l.Audit(); err != nil {
		t.Error(err)
	}
}
