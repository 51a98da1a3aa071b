package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The assignments of a placement round on many machines take one change. Attempts that still
// need a batch are written again before the batch is deleted, and no batch is left once all
// attempts are gone.
func TestAssignmentBatchesAreCompactedAndDeleted(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("n-%02d", i))
	}
	h.bringUp(names...)
	batches := func() (n int) {
		for key := range h.items {
			if strings.HasPrefix(key, records.BatchPrefix) {
				n++
			}
		}
		return n
	}
	h.submit(wire.Job{ID: "run-000001", Tasks: 20, CPUs: 8})
	if n := batches(); n != 1 || h.countRecordedAttempts() != 20 {
		t.Fatalf("%d tasks recorded in %d batches", h.countRecordedAttempts(), n)
	}
	h.answerAll(CallExecuted)
	// Releases a machine that the batch names: a new leader would wait for its heartbeat.
	var releasedMachine string
	for _, m := range h.scheduler.cluster.sortedMachines() {
		if len(m.tasks) > 0 {
			releasedMachine = m.name
		}
	}
	h.scheduler.ReleaseEnded(h.clock(), []string{releasedMachine}, ReleaseDone)
	names = slices.DeleteFunc(names, func(n string) bool { return n == releasedMachine })
	runFor := func(t time.Duration) {
		for end := h.now + t; h.now < end; {
			h.now += tuning.TickInterval
			for _, n := range names {
				h.heartbeat(n, h.runningTasks(n)...)
			}
			h.scheduler.Tick(h.clock())
			h.settle()
			h.answerStatusProbes(names)
		}
	}
	runFor(2*tuning.BatchRewriteAge + time.Second)
	for key, item := range h.items {
		if strings.HasPrefix(key, records.BatchPrefix) && strings.Contains(string(item.Value), releasedMachine) {
			t.Errorf("%s still names %s", key, releasedMachine)
		}
	}
	if n := h.countRecordedAttempts(); n != 19 && n != 20 {
		t.Errorf("%d tasks recorded", n)
	}
	for _, n := range names {
		var done []wire.TaskStatus
		for _, r := range h.runningTasks(n) {
			r.State, r.Cause = wire.TaskExited, wire.CauseDone
			done = append(done, r)
		}
		h.heartbeat(n, done...)
	}
	h.scheduler.cancelJob(h.scheduler.cluster.jobs["run-000001"])
	for range 20 {
		h.now += time.Second
		for _, n := range names {
			h.heartbeat(n)
		}
		h.scheduler.Tick(h.clock())
		h.settle()
		h.answerAll(CallExecuted)
	}
	if n := batches(); n != 0 {
		t.Errorf("%d batches are left although all attempts are gone", n)
	}
}

// Guards against names with characters that JSON escapes, and against long names of images: a user
// who submits a job with such an image must not stop all starts. The size of a batch stays within
// the limit, also for a single attempt.
func TestBatchWithNamesOfUsersFitsValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		types := []wire.MachineType{{Name: "small", CacheGB: 50}}
		scheduler := New(Now{}, Settings{}, 1, NewReplica(), nil, nil, types)
		limit := rapid.IntRange(600, 2000).Draw(t, "limit")
		encoder := newBatchEncoder(limit)
		imageName := rapid.StringOfN(rapid.RuneFrom([]rune("a<>&\"\\\x00\x1f\u007f\u00e4\u20ac\U0001F600")), 40, 200, 200)
		for i := range rapid.IntRange(1, 30).Draw(t, "machines") {
			m := scheduler.cluster.addMachine(fmt.Sprintf("n-%06d", i), "small", "zone", false, "10.1.0.232:9000")
			for range rapid.IntRange(0, tuning.MaxRecordedImages).Draw(t, "images") {
				m.addImage(imageName.Draw(t, "image"), 1)
			}
			j := &job{id: fmt.Sprintf("run-%06d", i)}
			if !encoder.add(&attempt{ref: taskRef{j.id, 0}, job: j, machine: m, number: uint64(i)}) {
				break
			}
		}
		batch := encoder.finish()
		if size := wire.JSONSize(batch); size > limit || size > encoder.size {
			t.Fatalf("%d machines take %d bytes, limit %d, estimate %d", len(batch.Machines), size, limit, encoder.size)
		}
		for _, image := range batch.Images {
			if got, bound := wire.JSONSize(image), wire.JSONTextSize(image)+len(`""`); got > bound {
				t.Fatalf("%q takes %d bytes, bound %d", image, got, bound)
			}
		}
	})
}

// The estimated size of a batch is never below its real size, whatever the batch contains, and
// a new leader restores the batch as it was written.
func TestAssignmentBatchFitsValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := New(Now{}, Settings{}, 1, NewReplica(), nil, nil, nil)
		scheduler.term = rapid.Uint64Range(1, 1<<43).Draw(t, "term")
		limit := rapid.IntRange(1500, 20000).Draw(t, "limit")
		var machines []*machine
		for i := range rapid.IntRange(1, 40).Draw(t, "machines") {
			m := scheduler.cluster.addMachine(fmt.Sprintf("n-%06d", i), rapid.SampledFrom([]string{"small", "large"}).Draw(t, "type"), "zone", i%2 == 0, "10.1.0.232:9000")
			for k := range rapid.IntRange(0, 8).Draw(t, "images") {
				m.addImage(fmt.Sprintf("img-%0*d", 1+k*20, k), 1)
			}
			machines = append(machines, m)
		}
		encoder := newBatchEncoder(limit)
		number := rapid.Uint64Range(0, 1<<62).Draw(t, "number")
		for i := range rapid.IntRange(1, 400).Draw(t, "tasks") {
			m := machines[rapid.IntRange(0, len(machines)-1).Draw(t, "on")]
			j := &job{id: fmt.Sprintf("run-%06d", rapid.IntRange(0, 5).Draw(t, "job"))}
			number += rapid.Uint64Range(1, 3).Draw(t, "step")
			if !encoder.add(&attempt{ref: taskRef{j.id, i + 99000}, job: j, machine: m, number: number}) {
				break
			}
		}
		batch := encoder.finish()
		raw, err := wire.Marshal(batch)
		if err != nil {
			t.Fatal(err)
		}
		if size := wire.JSONSize(batch); size > limit || size > encoder.size {
			t.Fatalf("%d tasks take %d bytes, limit %d, estimate %d", len(encoder.attempts), size, limit, encoder.size)
		}
		next := New(Now{}, Settings{}, scheduler.term+1, NewReplica(), nil, []wire.KeyValue{{Key: records.BatchKey(1, 1), Value: raw, ModRevision: 3}}, nil)
		for _, a := range encoder.attempts {
			m := next.cluster.machines[a.machine.name]
			if m == nil || m.machineType != a.machine.machineType || m.spot != a.machine.spot || m.address != a.machine.address {
				t.Fatalf("machine restored as %+v", m)
			}
			if got := m.tasks[a.ref]; got == nil || got.number != a.number || !got.assignment.durable {
				t.Fatalf("%v restored as %+v", a.ref, got)
			}
		}
	})
}
