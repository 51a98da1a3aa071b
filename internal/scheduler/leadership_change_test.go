package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A new leader completes a cancellation that the previous leader did not fully enforce. Its
// watch does not show the cancellation again.
func TestFailoverCompletesCancellation(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 2, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction}
	live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j, Cancelled: true}, ModRevision: 5}}
	items := []wire.KeyValue{machineRecordItem(t, "n-1", records.LegacyMachine{Type: "box", Zone: "a", Address: "n-1:1",
		Tasks: map[string][]records.LegacyAssignment{j.ID: {{Index: 0, Attempt: 9}, {Index: 1, Attempt: 10}}}})}
	h := newHarnessWith(t, harnessConfig{liveJobs: live, records: items})
	stops := 0
	for _, c := range h.pendingCalls {
		for _, command := range c.Body.Commands {
			if command.Verb == wire.VerbStop {
				stops++
			}
		}
	}
	if stops != 2 {
		t.Fatalf("%d stop commands were sent, want 2", stops)
	}
	if len(h.items) != 0 {
		t.Fatal("the job is recorded as ended before its tasks have ended")
	}
	token := h.fencingToken("n-1")
	h.heartbeatWithToken("n-1", token, exitedReport(wire.Command{Task: "run-000001/0", Attempt: 9}, wire.CauseStopped),
		exitedReport(wire.Command{Task: "run-000001/1", Attempt: 10}, wire.CauseStopped))
	if _, ok := h.items[records.EndedJobKey(j.ID)]; !ok {
		t.Fatal("the job is not recorded as ended although its tasks have ended")
	}
}

// An attempt that an earlier leader recorded blocks the placement of its task until the worker
// sends a heartbeat with this term's fencing token. Heartbeats with older tokens and cloud lists
// without the machine do not prove that the attempt is absent.
func TestRecordedAttemptBlocksPlacementUntilProvenAbsent(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal}
	live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j}, ModRevision: 5}}
	items := []wire.KeyValue{machineRecordItem(t, "n-1", records.LegacyMachine{Type: "box", Zone: "a", Address: "n-1:1",
		Tasks: map[string][]records.LegacyAssignment{j.ID: {{Index: 0, Attempt: 9}}}})}
	h := newHarnessWith(t, harnessConfig{liveJobs: live, records: items})
	h.answerAll(CallLost)
	h.bringUp("n-2")
	h.heartbeatWithToken("n-1", 3) // a fencing token of an earlier term
	h.scheduler.MachinesListed(h.clock(), nil)
	h.scheduler.MachinesListed(h.clock(), nil)
	h.advance(2*time.Second, "n-2")
	if s := h.startCommands(); len(s) != 0 {
		t.Fatalf("the task was placed while it may run elsewhere: %v", s)
	}
	h.heartbeat("n-1")
	h.advance(time.Second, "n-1", "n-2")
	if s := h.startCommands(); len(s) != 1 {
		t.Fatalf("the task was not placed after the attempt was proven absent: %v\n%+v\n%+v", s, h.scheduler.View().Job(h.clock(), j.ID), h.scheduler.View().Machines(h.clock(), "", 9))
	}
}

// A record that cannot be decoded may concern any job that was submitted before the term. Such
// jobs wait until every machine has sent a heartbeat; later jobs do not wait.
func TestUnreadableRecordBlocksEarlierJobs(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal}
	live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j}, ModRevision: 5}}
	for _, key := range []string{records.BatchKey(3, 1), records.LegacyMachineKey("n-7")} {
		h := newHarnessWith(t, harnessConfig{liveJobs: live, records: []wire.KeyValue{{Key: key, Value: wire.Raw{0xa1, 0x61}, ModRevision: 7}}})
		h.items[key] = wire.KeyValue{Key: key}
		h.bringUp("n-1")
		h.submit(wire.Job{ID: "run-000002", Tasks: 1, CPUs: 1})
		list := []wire.ListedMachine{{Name: "n-1", Type: "box", Zone: "a", Address: "n-1:1", State: wire.MachineRunning, AgeS: 500},
			{Name: "n-2", Type: "box", Zone: "a", Address: "n-2:1", State: wire.MachineRunning, AgeS: 500}}
		h.now += time.Second
		h.scheduler.MachinesListed(h.clock(), list)
		h.advance(2*time.Second, "n-1")
		if n := len(h.scheduler.cluster.jobs[j.ID].active); n != 0 {
			t.Fatal("the earlier job was placed while an unreadable record may concern it")
		}
		if n := len(h.scheduler.cluster.jobs["run-000002"].active); n != 1 {
			t.Fatal("the later job waits for the unreadable record")
		}
		h.bringUp("n-2")
		h.scheduler.MachinesListed(h.clock(), list)
		h.advance(2*time.Second, "n-1", "n-2")
		if n := len(h.scheduler.cluster.jobs[j.ID].active); n != 1 {
			t.Fatalf("the earlier job still waits after every machine has sent a heartbeat: %s", h.scheduler.cluster.jobs[j.ID].waiting.reason)
		}
		if _, left := h.items[key]; left {
			t.Error("the unreadable record was not deleted")
		}
	}
}

// While a record that may concern a cancelled job cannot be decoded, the job's tasks may be on
// any machine. The job does not end, and its cancellation does not count as enforced, before
// every machine has sent a heartbeat.
func TestCancellationWaitsForUnreadableRecord(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction}
	for _, alreadyCancelled := range []bool{true, false} {
		live := map[string]*LiveJob{j.ID: {Record: &records.Job{Job: j, Cancelled: alreadyCancelled}, ModRevision: 5}}
		h := newHarnessWith(t, harnessConfig{liveJobs: live, records: []wire.KeyValue{{Key: records.BatchKey(3, 1), Value: wire.Raw{0xa1, 0x61}, ModRevision: 7}}})
		h.bringUp("n-1")
		list := []wire.ListedMachine{{Name: "n-1", Type: "box", Zone: "a", Address: "n-1:1", State: wire.MachineRunning, AgeS: 500},
			{Name: "n-2", Type: "box", Zone: "a", Address: "n-2:1", State: wire.MachineRunning, AgeS: 500}}
		h.now += time.Second
		h.scheduler.MachinesListed(h.clock(), list)
		if !alreadyCancelled {
			h.scheduler.Cancelled(h.clock(), []string{j.ID})
		}
		h.advance(2*time.Second, "n-1")
		if _, ended := h.items[records.EndedJobKey(j.ID)]; ended {
			t.Fatalf("cancelled before the term: %v; the job ended while its task may be on an unconfirmed machine", alreadyCancelled)
		}
		if h.scheduler.EnforcedCancellationWatermark(h.now) == h.now {
			t.Errorf("cancelled before the term: %v; the cancellation counts as enforced too early", alreadyCancelled)
		}
		h.bringUp("n-2")
		h.scheduler.MachinesListed(h.clock(), list)
		h.advance(2*time.Second, "n-1", "n-2")
		if _, ended := h.items[records.EndedJobKey(j.ID)]; !ended || h.scheduler.EnforcedCancellationWatermark(h.now) != h.now {
			t.Errorf("cancelled before the term: %v; not ended or not enforced after every machine was confirmed", alreadyCancelled)
		}
	}
}

// The done bits of the largest job are stored in several values, each within the value size
// limit. They survive a failover and are deleted when the job ends.
func TestDoneBitsOfLargestJobSurviveFailover(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1")
	h.submit(wire.Job{ID: "run-000001", Tasks: wire.MaxTasks, CPUs: 1})
	j := h.scheduler.cluster.jobs["run-000001"]
	for i := range wire.MaxTasks {
		if i%10 != 9 {
			h.scheduler.markTaskDone(j, i)
		}
	}
	h.now += 2 * tuning.DoneFlushDelay
	h.advance(3*time.Second, "n-1")
	replica := NewReplica()
	var bits []wire.KeyValue
	for key, item := range h.items {
		if strings.HasPrefix(key, records.BitmapPrefix) {
			bits = append(bits, item)
		}
		if strings.HasPrefix(key, records.LiveJobPrefix) {
			record, err := records.DecodeJob(item)
			if err != nil {
				t.Fatal(err)
			}
			if size := wire.JSONSize(record); size > 4096 {
				t.Errorf("the job's record takes %d bytes as JSON, more than 4096", size)
			}
			replica.Live[record.Job.ID] = &LiveJob{Record: record, ModRevision: item.ModRevision}
		}
	}
	next := New(h.clock(), h.scheduler.settings, harnessTerm+1, replica, bits, nil, nil)
	if n := next.cluster.jobs["run-000001"].progress.doneCount; n != j.progress.doneCount || len(bits) != wire.MaxTasks/tuning.TasksPerBitmap {
		t.Fatalf("%d of %d done tasks recovered, from %d values", n, j.progress.doneCount, len(bits)+1)
	}
	for i := range wire.MaxTasks {
		h.scheduler.markTaskDone(j, i)
	}
	h.advance(3*time.Second, "n-1")
	for key := range h.items {
		if strings.HasPrefix(key, records.BitmapPrefix) || strings.HasPrefix(key, records.LiveJobPrefix) {
			t.Errorf("%s is not deleted with the job", key)
		}
	}
}

// A machine that is being released may send heartbeats again, and the release call may stay
// unanswered for long. Until it is answered, heartbeat replies renew the worker's lease, so each
// of them must stop the tasks of cancelled jobs.
func TestCancellationOnMachineBeingReleased(t *testing.T) {
	h := newHarness(t)
	h.bringUp("n-1", "n-2")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	machine := h.pendingCalls[0].Machine
	h.answerAll(CallExecuted)
	other := map[string]string{"n-1": "n-2", "n-2": "n-1"}[machine]
	for range 15 {
		h.advance(time.Second, other)
		h.answerAll(CallLost)
	}
	if len(h.releases) != 1 || h.releases[0][0] != machine {
		t.Fatalf("released machines: %v", h.releases)
	}
	tasks := h.runningTasks(machine)
	h.scheduler.Cancelled(h.clock(), []string{"run-000001"})
	h.settle()
	stops := 0
	for range 3 {
		h.scheduler.ReleaseEnded(h.clock(), h.releases[0], ReleaseUnknown)
		for _, command := range h.heartbeat(machine, tasks...).Commands {
			if command.Verb == wire.VerbStop && command.Task == tasks[0].Task && command.Attempt == tasks[0].Attempt {
				stops++
			}
		}
		h.now += tuning.StopResendInterval
	}
	if stops != 3 {
		t.Errorf("%d stops in 3 replies that renew the machine's lease", stops)
	}
	if s := h.startCommands(); len(s) != 0 {
		t.Errorf("a task was started while its job is cancelled: %v", s)
	}
	if _, ended := h.items[records.EndedJobKey("run-000001")]; ended {
		t.Error("the job is recorded as ended without proof that its task is gone")
	}
}

// A peer lists a cancellation once, possibly before an older watch reply shows the job as new.
// The job is not started then, and the cancellation is kept until the watch shows it.
func TestCancellationKnownBeforeJob(t *testing.T) {
	j := wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction, Image: "img"}
	applyWatchChange := func(h *harness, cancelled bool) {
		h.revision++
		h.scheduler.JobsChanged(h.clock(), []JobChange{{j.ID, &LiveJob{Record: &records.Job{Job: j, Cancelled: cancelled}, ModRevision: h.revision}}})
		h.now += tuning.MinPlacementInterval
		h.settle()
	}
	h := newHarness(t)
	h.bringUp("n-1", "n-2")
	h.scheduler.Cancelled(h.clock(), []string{j.ID})
	applyWatchChange(h, false)
	h.advance(2*time.Second, "n-1", "n-2")
	if s := h.startCommands(); len(s) != 0 {
		t.Fatalf("a cancelled job was started: %v", s)
	}
	applyWatchChange(h, true)
	h.advance(2*time.Second, "n-1", "n-2")
	if _, ended := h.items[records.EndedJobKey(j.ID)]; !ended {
		t.Error("the job is not recorded as ended although none of its tasks runs")
	}
	if len(h.scheduler.cancellations.pending) != 0 {
		t.Errorf("the pending cancellation is kept after the watch has shown it: %v", h.scheduler.cancellations.pending)
	}
	// The watch never shows a job that has ended. Its pending cancellation is dropped after a read
	// that was requested later than the cancellation became known.
	h.scheduler.Cancelled(h.clock(), []string{"run-000002"})
	h.scheduler.DropPendingCancellationsBefore(h.now)
	if len(h.scheduler.cancellations.pending) != 1 {
		t.Error("a pending cancellation is dropped after a read that may not include it")
	}
	h.scheduler.DropPendingCancellationsBefore(h.now + time.Millisecond)
	if len(h.scheduler.cancellations.pending) != 0 {
		t.Errorf("a pending cancellation is not dropped after a later read: %v", h.scheduler.cancellations.pending)
	}
}
