package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A round's starts on many machines take one change; what is left of batches is
// written again elsewhere before they are deleted, and nothing is left in the end.
func TestBatchesAreFewAndEnd(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 8, CPUsMax: 1000}
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("n-%02d", i))
	}
	d.up(names...)
	batches := func() (n int) {
		for key := range d.items {
			if strings.HasPrefix(key, store.BatchPrefix) {
				n++
			}
		}
		return n
	}
	d.submit(wire.Job{ID: "run-000001", Tasks: 20, CPUs: 8})
	if n := batches(); n != 1 || d.recorded() != 20 {
		t.Fatalf("%d tasks recorded in %d values", d.recorded(), n)
	}
	d.answerAll(CallExecuted)
	// A machine of the batch goes: a new leader would look for it.
	var gone string
	for _, m := range d.l.sorted() {
		if len(m.tasks) > 0 {
			gone = m.name
		}
	}
	d.l.Released(d.clock(), []string{gone}, ReleaseDone)
	names = slices.DeleteFunc(names, func(n string) bool { return n == gone })
	keep := func(t time.Duration) {
		for end := d.now + t; d.now < end; {
			d.now += tuning.TickEvery
			for _, n := range names {
				d.report(n, d.on(n)...)
			}
			d.l.Tick(d.clock())
			d.settle()
			d.answerQuestions(names)
		}
	}
	keep(2*tuning.RecordFlush + time.Second)
	for key, it := range d.items {
		if strings.HasPrefix(key, store.BatchPrefix) && strings.Contains(string(it.Value), gone) {
			t.Errorf("%s still names %s", key, gone)
		}
	}
	if n := d.recorded(); n != 19 && n != 20 {
		t.Errorf("%d tasks recorded", n)
	}
	for _, n := range names {
		var done []wire.TaskReport
		for _, r := range d.on(n) {
			r.State, r.Cause = wire.TaskExited, wire.CauseDone
			done = append(done, r)
		}
		d.report(n, done...)
	}
	d.l.cancelJob(d.l.jobs["run-000001"])
	for range 20 {
		d.now += time.Second
		for _, n := range names {
			d.report(n)
		}
		d.l.Tick(d.clock())
		d.settle()
		d.answerAll(CallExecuted)
	}
	if n := batches(); n != 0 {
		t.Errorf("%d batches are left of nothing", n)
	}
}

// The estimate of a batch's size is never below its size, whatever is in it, and
// what was written is read back as it was.
func TestBatchFitsTheValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLeader(Now{}, Settings{}, 1, NewReplica(), nil, nil, nil)
		l.term = rapid.Uint64Range(1, 1<<43).Draw(t, "term")
		limit := rapid.IntRange(1500, 20000).Draw(t, "limit")
		var machines []*machine
		for i := range rapid.IntRange(1, 40).Draw(t, "machines") {
			m := l.addMachine(fmt.Sprintf("n-%06d", i), rapid.SampledFrom([]string{"small", "large"}).Draw(t, "type"), "zone", i%2 == 0, "10.1.0.232:9000")
			for k := range rapid.IntRange(0, 8).Draw(t, "images") {
				m.fetched(fmt.Sprintf("img-%0*d", 1+k*20, k), 1)
			}
			machines = append(machines, m)
		}
		w := newBatchWriter(limit)
		number := rapid.Uint64Range(0, 1<<62).Draw(t, "number")
		for i := range rapid.IntRange(1, 400).Draw(t, "tasks") {
			m := machines[rapid.IntRange(0, len(machines)-1).Draw(t, "on")]
			j := &job{id: fmt.Sprintf("run-%06d", rapid.IntRange(0, 5).Draw(t, "job"))}
			number += rapid.Uint64Range(1, 3).Draw(t, "step")
			if !w.add(&attempt{ref: taskRef{j.id, i + 99000}, job: j, m: m, number: number}) {
				break
			}
		}
		raw, err := wire.Marshal(w.finish())
		if err != nil {
			t.Fatal(err)
		}
		if size := wire.JSONSize(w.rec); size > limit || size > w.size {
			t.Fatalf("%d tasks take %d bytes of %d, thought %d", len(w.list), size, limit, w.size)
		}
		next := NewLeader(Now{}, Settings{}, l.term+1, NewReplica(), nil, []wire.Item{{Key: store.BatchKey(1, 1), Value: raw, Stamp: 3}}, nil)
		for _, a := range w.list {
			m := next.machines[a.m.name]
			if m == nil || m.typ != a.m.typ || m.spot != a.m.spot || m.addr != a.m.addr {
				t.Fatalf("machine read back as %+v", m)
			}
			if got := m.tasks[a.ref]; got == nil || got.number != a.number || !got.recorded {
				t.Fatalf("%v read back as %+v", a.ref, got)
			}
		}
	})
}
