package core

import (
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A cancellation that the last leader did not see through is carried on: no
// watch tells of it again.
func TestRecoveredCancellation(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1, Team: "red", Shape: wire.ShapeService, Rank: wire.RankProduction}
	live := map[string]*LiveJob{j.ID: {Record: &store.JobRecord{Job: j, Cancelled: true}, Stamp: 5}}
	items := []wire.Item{machineItem(t, "n-1", store.MachineRecord{Type: "box", Zone: "a", Address: "n-1:1",
		Tasks: map[string][]store.Assigned{j.ID: {{Index: 0, Attempt: 9}, {Index: 1, Attempt: 10}}}})}
	d := newDesk(t, false, live, items)
	halts := 0
	for _, c := range d.calls {
		for _, o := range c.Body.Commands {
			if o.Verb == wire.VerbHalt {
				halts++
			}
		}
	}
	if halts != 2 {
		t.Fatalf("%d stops of 2", halts)
	}
	if len(d.items) != 0 {
		t.Fatal("the job was ended before its tasks were")
	}
	token := d.token("n-1")
	d.reportAs("n-1", token, exited(wire.Command{Task: "run-000001/0", Attempt: 9}, wire.CauseHalted),
		exited(wire.Command{Task: "run-000001/1", Attempt: 10}, wire.CauseHalted))
	if _, ok := d.items[store.EndedKey(j.ID)]; !ok {
		t.Fatal("the job was not ended after its tasks were")
	}
}

// What an earlier leader recorded stays put until its worker reports under our
// token, whatever other reports and lists say.
func TestRecordedTasksStayPut(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal}
	live := map[string]*LiveJob{j.ID: {Record: &store.JobRecord{Job: j}, Stamp: 5}}
	items := []wire.Item{machineItem(t, "n-1", store.MachineRecord{Type: "box", Zone: "a", Address: "n-1:1",
		Tasks: map[string][]store.Assigned{j.ID: {{Index: 0, Attempt: 9}}}})}
	d := newDesk(t, false, live, items)
	d.answerAll(CallLost)
	d.up("n-2")
	d.reportAs("n-1", 3) // from before our term
	d.l.Listed(d.clock(), nil)
	d.l.Listed(d.clock(), nil)
	d.pass(2*time.Second, "n-2")
	if s := d.starts(); len(s) != 0 {
		t.Fatalf("placed while it may run elsewhere: %v", s)
	}
	d.report("n-1")
	d.pass(time.Second, "n-1", "n-2")
	if s := d.starts(); len(s) != 1 {
		t.Fatalf("not placed once it is proven free: %v\n%+v\n%+v", s, d.l.Job(d.clock(), j.ID), d.l.Machines(d.clock(), "", 9))
	}
}

// A record that cannot be read may be about any job of before: those wait until
// every machine has reported; later jobs do not.
func TestUnreadableRecord(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal}
	live := map[string]*LiveJob{j.ID: {Record: &store.JobRecord{Job: j}, Stamp: 5}}
	for _, key := range []string{store.BatchKey(3, 1), store.MachineKey("n-7")} {
		d := newDesk(t, false, live, []wire.Item{{Key: key, Value: wire.Raw{0xa1, 0x61}, Stamp: 7}})
		d.items[key] = wire.Item{Key: key}
		d.up("n-1")
		d.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
		list := []wire.ListedMachine{{Name: "n-1", Type: "box", Zone: "a", Address: "n-1:1", State: wire.MachineRunning, AgeS: 500},
			{Name: "n-2", Type: "box", Zone: "a", Address: "n-2:1", State: wire.MachineRunning, AgeS: 500}}
		d.now += time.Second
		d.l.Listed(d.clock(), list)
		d.pass(2*time.Second, "n-1")
		if n := len(d.l.jobs[j.ID].active); n != 0 {
			t.Fatal("placed while an unreadable record may be about it")
		}
		if n := len(d.l.jobs["run-000002"].active); n != 1 {
			t.Fatal("a later job waits as well")
		}
		d.up("n-2")
		d.l.Listed(d.clock(), list)
		d.pass(2*time.Second, "n-1", "n-2")
		if n := len(d.l.jobs[j.ID].active); n != 1 {
			t.Fatalf("still waits: %s", d.l.jobs[j.ID].why)
		}
		if _, left := d.items[key]; left {
			t.Error("the unreadable record is left")
		}
	}
}

// A job that is cancelled while a record that may be about it cannot be read is not over,
// and not seen through, before every machine was heard: its tasks may be anywhere.
func TestCancelledWithAnUnreadableRecord(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Rank: wire.RankProduction}
	for _, before := range []bool{true, false} {
		live := map[string]*LiveJob{j.ID: {Record: &store.JobRecord{Job: j, Cancelled: before}, Stamp: 5}}
		d := newDesk(t, false, live, []wire.Item{{Key: store.BatchKey(3, 1), Value: wire.Raw{0xa1, 0x61}, Stamp: 7}})
		d.up("n-1")
		list := []wire.ListedMachine{{Name: "n-1", Type: "box", Zone: "a", Address: "n-1:1", State: wire.MachineRunning, AgeS: 500},
			{Name: "n-2", Type: "box", Zone: "a", Address: "n-2:1", State: wire.MachineRunning, AgeS: 500}}
		d.now += time.Second
		d.l.Listed(d.clock(), list)
		if !before {
			d.l.Cancelled(d.clock(), []string{j.ID})
		}
		d.pass(2*time.Second, "n-1")
		if _, ended := d.items[store.EndedKey(j.ID)]; ended {
			t.Fatalf("cancelled before: %v; ended while its task may be on a machine that was not heard", before)
		}
		if d.l.SettledAsOf(d.now) == d.now {
			t.Errorf("cancelled before: %v; counts as seen through", before)
		}
		d.up("n-2")
		d.l.Listed(d.clock(), list)
		d.pass(2*time.Second, "n-1", "n-2")
		if _, ended := d.items[store.EndedKey(j.ID)]; !ended || d.l.SettledAsOf(d.now) != d.now {
			t.Errorf("cancelled before: %v; not ended once every machine was heard", before)
		}
	}
}

// The largest job's done bits spread over several values, each within the
// limit, survive a change of leader, and are gone with the job's end.
func TestLargestJob(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: wire.MaxTasks, CPUs: 1})
	j := d.l.jobs["run-000001"]
	for i := range wire.MaxTasks {
		if i%10 != 9 {
			d.l.taskDone(j, i)
		}
	}
	d.now += 2 * tuning.DoneFlush
	d.pass(3*time.Second, "n-1")
	rep := NewReplica()
	var bits []wire.Item
	for key, it := range d.items {
		if strings.HasPrefix(key, store.BitsPrefix) {
			bits = append(bits, it)
		}
		if strings.HasPrefix(key, store.JobPrefix) {
			rec, err := store.DecodeJob(it)
			if err != nil {
				t.Fatal(err)
			}
			if size := wire.JSONSize(rec); size > 4096 {
				t.Errorf("the job's record takes %d bytes", size)
			}
			rep.Live[rec.Job.ID] = &LiveJob{Record: rec, Stamp: it.Stamp}
		}
	}
	next := NewLeader(d.clock(), d.l.cfg, deskTerm+1, rep, bits, nil, nil)
	if n := next.jobs["run-000001"].nDone; n != j.nDone || len(bits) != wire.MaxTasks/tuning.BitmapTasks {
		t.Fatalf("%d of %d done tasks recovered, from %d values", n, j.nDone, len(bits)+1)
	}
	for i := range wire.MaxTasks {
		d.l.taskDone(j, i)
	}
	d.pass(3*time.Second, "n-1")
	for key := range d.items {
		if strings.HasPrefix(key, store.BitsPrefix) || strings.HasPrefix(key, store.JobPrefix) {
			t.Errorf("%s is left", key)
		}
	}
}

// A machine may be given back although it reports again, and no answer to that comes
// for long. Until then its lease is kept, so its tasks of cancelled jobs are stopped.
func TestCancelledOnAMachineThatIsGivenBack(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction})
	on := d.calls[0].Machine
	d.answerAll(CallExecuted)
	other := map[string]string{"n-1": "n-2", "n-2": "n-1"}[on]
	for range 15 {
		d.pass(time.Second, other)
		d.answerAll(CallLost)
	}
	if len(d.rel) != 1 || d.rel[0][0] != on {
		t.Fatalf("released: %v", d.rel)
	}
	tasks := d.on(on)
	d.l.Cancelled(d.clock(), []string{"run-000001"})
	d.settle()
	halts := 0
	for range 3 {
		d.l.Released(d.clock(), d.rel[0], ReleaseUnknown)
		for _, o := range d.report(on, tasks...).Commands {
			if o.Verb == wire.VerbHalt && o.Task == tasks[0].Task && o.Attempt == tasks[0].Attempt {
				halts++
			}
		}
		d.now += tuning.HaltRepeat
	}
	if halts != 3 {
		t.Errorf("%d stops in 3 answers that keep the machine's lease", halts)
	}
	if s := d.starts(); len(s) != 0 {
		t.Errorf("started beside that: %v", s)
	}
	if _, ended := d.items[store.EndedKey("run-000001")]; ended {
		t.Error("the job was ended without proof that its task is gone")
	}
}

// A peer's list of cancellations comes once, and may come before an older answer of
// the watch, which has the job as new: it is not started.
func TestCancelledBeforeItIsKnown(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Rank: wire.RankProduction, Image: "img"}
	seen := func(d *desk, cancelled bool) {
		d.rev++
		d.l.JobsChanged(d.clock(), []Changed{{j.ID, &LiveJob{Record: &store.JobRecord{Job: j, Cancelled: cancelled}, Stamp: d.rev}}})
		d.now += tuning.PlaceGap
		d.settle()
	}
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2")
	d.l.Cancelled(d.clock(), []string{j.ID})
	seen(d, false)
	d.pass(2*time.Second, "n-1", "n-2")
	if s := d.starts(); len(s) != 0 {
		t.Fatalf("started though it is cancelled: %v", s)
	}
	seen(d, true)
	d.pass(2*time.Second, "n-1", "n-2")
	if _, ended := d.items[store.EndedKey(j.ID)]; !ended {
		t.Error("the job was not ended though nothing of it is left")
	}
	if len(d.l.ahead) != 0 {
		t.Errorf("kept after the watch brought it: %v", d.l.ahead)
	}
	// Of a job that is over nothing comes any more: a read that was sent later will do.
	d.l.Cancelled(d.clock(), []string{"run-000002"})
	d.l.ReadAsOf(d.now)
	if len(d.l.ahead) != 1 {
		t.Error("a cancellation is dropped for a read that may not have it")
	}
	d.l.ReadAsOf(d.now + time.Millisecond)
	if len(d.l.ahead) != 0 {
		t.Errorf("kept for good: %v", d.l.ahead)
	}
}
