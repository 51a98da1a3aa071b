package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// longJob returns a job whose record takes several KiB: users may list many machine types.
func longJob(id string, tasks, types int) wire.Job {
	job := wire.Job{ID: id, Tasks: tasks, CPUs: 1, MachineTypes: []string{"box"}}
	for i := range types {
		job.MachineTypes = append(job.MachineTypes, fmt.Sprintf("%03d%s", i, strings.Repeat("x", 190)))
	}
	return job
}

// runHalf runs all tasks of a job on one machine and reports every second one as completed.
func (h *harness) runHalf(machine string) {
	h.t.Helper()
	h.answerAll(CallExecuted)
	statuses := h.runningTasks(machine)
	for i := range statuses {
		if i%2 == 0 {
			statuses[i].State, statuses[i].Cause = wire.TaskExited, wire.CauseDone
		}
	}
	h.heartbeat(machine, statuses...)
}

// Guards against progress that is lost because the job's record is larger than the store's limit:
// the record was stored under a higher limit.
func TestProgressOfJobOverValueLimitIsStored(t *testing.T) {
	h := newHarnessWith(t, harnessConfig{modifySettings: func(s *Settings) { s.MaxValueBytes = 2 << 10 }})
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 2 << 10}
	h.bringUp("n-1")
	job := longJob("run-000001", 8, 20)
	h.submit(job)
	h.runHalf("n-1")
	h.advance(tuning.DoneFlushDelay+time.Second, "n-1")

	if h.storeLimits.rejections > 0 {
		t.Errorf("%d transactions were rejected", h.storeLimits.rejections)
	}
	chunk, stored := h.items[records.BitmapKey(job.ID, 0)]
	if !stored {
		t.Fatal("the completed tasks are not stored")
	}
	replica := NewReplica()
	replica.Live[job.ID] = &LiveJob{Record: &records.Job{Job: job}, ModRevision: 3}
	next := New(h.clock(), h.scheduler.settings, harnessTerm+1, replica, []wire.KeyValue{chunk}, nil, nil)
	if done := next.cluster.jobs[job.ID].progress.savedCount; done != 4 {
		t.Errorf("the next leader knows %d completed tasks of 4", done)
	}
}

// Guards against transactions over the store's 64 KiB: the sizes of jobs' records were estimated,
// and the progress of several long jobs in one transaction was rejected for ever.
func TestProgressOfLongJobsFitsTransactionLimit(t *testing.T) {
	h := newHarnessWith(t, harnessConfig{modifySettings: func(s *Settings) { s.MaxValueBytes = 32 << 10 }})
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 32 << 10}
	var machines []string
	for i := range 10 {
		machines = append(machines, fmt.Sprintf("n-%02d", i))
	}
	h.bringUp(machines...)
	for i := range machines {
		h.submit(longJob(fmt.Sprintf("run-%06d", i+1), 8, 64))
	}
	for _, machine := range machines {
		h.runHalf(machine)
	}
	h.advance(tuning.DoneFlushDelay+5*time.Second, machines...)
	if h.storeLimits.rejections > 0 {
		t.Errorf("%d transactions were rejected", h.storeLimits.rejections)
	}
	for _, j := range h.scheduler.cluster.jobs {
		if j.progress.unsaved() {
			t.Errorf("the progress of %s is not stored", j.id)
		}
	}
}

// Guards against one job whose progress fits no value holding up the progress of all others, or its
// own end.
func TestTooLargeProgressDelaysNoOtherJob(t *testing.T) {
	h := newHarnessWith(t, harnessConfig{modifySettings: func(s *Settings) { s.MaxValueBytes = 1 << 10 }})
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 1 << 10}
	for i, tasks := range []int{tuning.TasksPerBitmap, 8} {
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i+1), Tasks: tasks, CPUs: 1})
	}
	large, small := h.scheduler.cluster.jobs["run-000001"], h.scheduler.cluster.jobs["run-000002"]
	for task := range large.spec.Tasks - 1 {
		large.progress.add(task)
	}
	small.progress.add(3)
	h.scheduler.persister.markDirty(large)
	h.now += time.Millisecond
	h.scheduler.persister.markDirty(small)
	h.advance(tuning.DoneFlushDelay + 5*time.Second)
	if small.progress.unsaved() {
		t.Error("the progress of the other job is not stored")
	}
	if !large.progress.unsaved() {
		t.Error("progress over the limit counts as stored")
	}
	large.progress.add(large.spec.Tasks - 1)
	h.scheduler.persister.markDirtyIfReadyToArchive(large)
	h.advance(time.Second)
	if _, ended := h.items[records.EndedJobKey(large.id)]; !ended {
		t.Error("the end of the job waits for its progress")
	}
	if h.storeLimits.rejections > 0 {
		t.Errorf("%d transactions were rejected", h.storeLimits.rejections)
	}
}

// Guards against a completed job that is never called done, because the record of its end is larger
// than the store's limit on values.
func TestEndOfJobWithLongClassIsStored(t *testing.T) {
	h := newHarnessWith(t, harnessConfig{modifySettings: func(s *Settings) { s.MaxValueBytes = 1 << 10 }})
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 1 << 10}
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Class: strings.Repeat("<", 200), Tasks: 2, CPUs: 1})
	h.answerAll(CallExecuted)
	h.completeAll([]string{"n-1"})
	h.advance(tuning.DoneFlushDelay+time.Second, "n-1")
	if _, ended := h.items[records.EndedJobKey("run-000001")]; !ended || h.storeLimits.rejections > 0 {
		t.Errorf("end recorded: %v, %d transactions rejected", ended, h.storeLimits.rejections)
	}
}

// Guards against a job whose completed tasks take many records counting as one that is too large,
// when the store takes fewer operations in a transaction.
func TestProgressInManyRecordsIsDivided(t *testing.T) {
	h := newHarness(t)
	h.storeLimits = &harnessStoreLimits{maxOps: minTransactionOps, maxValueBytes: 4096}
	h.submit(wire.Job{ID: "run-000001", Tasks: wire.MaxTasks, CPUs: 1})
	j := h.scheduler.cluster.jobs["run-000001"]
	for task := 0; task < wire.MaxTasks; task += 1000 {
		j.progress.add(task)
	}
	h.scheduler.persister.markDirty(j)
	h.advance(30 * time.Second)
	if j.progress.unsaved() {
		t.Errorf("%d of %d completed tasks are stored", j.progress.savedCount, j.progress.doneCount)
	}
	if limit := h.scheduler.persister.limits.maxValueBytes; limit < 4096 {
		t.Errorf("the limit on values was lowered to %d bytes", limit)
	}
}
