package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against transactions that are tried again at the same size for ever, so that nothing
// starts or ends: the store lowers its limits, without notice, below those of the settings.
func TestWorkGoesOnAfterStoreLowersItsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
		var machines []string
		for i := range 30 {
			machines = append(machines, fmt.Sprintf("n-%02d", i))
		}
		h.bringUp(machines...)
		h.storeLimits = &harnessStoreLimits{
			maxOps:        rapid.IntRange(minTransactionOps, 12).Draw(rt, "max operations"),
			maxValueBytes: rapid.IntRange(600, 4096).Draw(rt, "max value bytes"),
		}
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		tasks := rapid.IntRange(1, 20).Draw(rt, "tasks of a job")
		cpus := rapid.SampledFrom([]int{1, 8}).Draw(rt, "CPUs of a task")
		h.refuseCommits = true // in an outage, so that the assignments of all jobs wait for one batch
		for i := range jobs {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i+1), Tasks: tasks, CPUs: float64(cpus)})
		}
		h.refuseCommits = false
		wanted := min(jobs*tasks, len(machines)*8/cpus)
		for second := 0; second < 60 && h.countRunning(machines) < wanted; second++ {
			h.advanceRunning(time.Second, machines)
		}
		if started := h.countRunning(machines); started < wanted {
			rt.Errorf("%d of %d tasks started within a minute", started, wanted)
		}
		for range 300 {
			if h.countRunning(machines) == 0 {
				break
			}
			h.completeAll(machines)
			h.advanceRunning(time.Second, machines)
		}
		h.advanceRunning(20*time.Second, machines)
		for i := range jobs {
			if _, ended := h.items[records.EndedJobKey(fmt.Sprintf("run-%06d", i+1))]; !ended {
				rt.Errorf("the end of job %d is not recorded", i+1)
			}
		}
		if batches := len(h.scheduler.persister.batches); batches > 0 {
			rt.Errorf("%d batches are kept in memory although no task is left", batches)
		}
		if left := len(storedBatches(h.items)); left > 0 {
			rt.Errorf("%d batches are left in the store", left)
		}
		// Halving a limit of 12 operations or 4 KiB takes a few steps, with up to
		// maxTransactionsInFlight transactions in flight at each.
		if h.storeLimits.rejections > 8*maxTransactionsInFlight {
			rt.Errorf("%d transactions were rejected", h.storeLimits.rejections)
		}
	})
}

// advanceRunning moves the time forward while the machines report all started tasks as running and
// answer all direct calls.
func (h *harness) advanceRunning(duration time.Duration, machines []string) {
	for end := h.now + duration; h.now < end; {
		h.now += tuning.TickInterval
		for _, machine := range machines {
			h.heartbeat(machine, h.runningTasks(machine)...)
		}
		h.scheduler.Tick(h.clock())
		h.settle()
		h.answerAll(CallExecuted)
	}
}

// countRunning counts the tasks that the machines run.
func (h *harness) countRunning(machines []string) (count int) {
	for _, machine := range machines {
		count += len(h.runningTasks(machine))
	}
	return count
}

// completeAll reports all running tasks as completed.
func (h *harness) completeAll(machines []string) {
	for _, machine := range machines {
		statuses := h.runningTasks(machine)
		for i := range statuses {
			statuses[i].State, statuses[i].Cause = wire.TaskExited, wire.CauseDone
		}
		h.heartbeat(machine, statuses...)
	}
}

// Guards against a record that is too large by itself holding up all other writes: its next tries
// are delayed more and more, and the others go on.
func TestRecordRejectedAloneDelaysNoOtherWrite(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
	machines := []string{"n-1" + strings.Repeat("x", 500), "n-2", "n-3"}
	h.bringUp(machines...)
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 900}
	h.submit(wire.Job{ID: "run-000001", Tasks: 24, CPUs: 1})
	for range 60 {
		h.advanceRunning(time.Second, machines)
	}
	if started := h.countRunning(machines[1:]); started != 16 {
		t.Errorf("%d of 16 tasks started on the machines whose assignments fit", started)
	}
	if started := h.countRunning(machines[:1]); started != 0 {
		t.Errorf("%d tasks started without a record", started)
	}
	rejected := h.storeLimits.rejections
	for range 60 {
		h.advanceRunning(time.Second, machines)
	}
	// Eight attempts, each tried again at most once in tuning.MaxRejectionBackoff by then.
	if more := h.storeLimits.rejections - rejected; more > 8*2 {
		t.Errorf("%d more transactions were rejected in a minute", more)
	}
}

// Guards against memory that grows with each refused write: what a refused transaction would have
// written is kept once, however often it is refused.
func TestRefusedWritesAreNotKept(t *testing.T) {
	for name, refusal := range map[string]CommitResult{"unavailable": CommitRefused, "rate": CommitRateLimited, "size": CommitRejected} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
			machines := []string{"n-1", "n-2", "n-3", "n-4", "n-6", "n-7"}
			h.bringUp(machines...)
			h.submit(wire.Job{ID: "run-000001", Tasks: 8, CPUs: 1})
			h.answerAll(CallExecuted)
			h.refuseCommits, h.refusal = true, refusal
			h.completeAll(machines)
			h.submit(wire.Job{ID: "run-000002", Tasks: 40, CPUs: 1})
			p := &h.scheduler.persister
			h.advanceRunning(5*time.Second, machines)
			attempts, batches, deletions := len(p.unrecorded), len(p.batches), len(p.obsoleteKeys)
			h.advanceRunning(5*time.Minute, machines)
			if len(p.unrecorded) != attempts || len(p.batches) > batches || len(p.obsoleteKeys) > deletions || len(p.dirtyJobs) > 1 {
				t.Errorf("after 5 s and 5 min: %d and %d queued attempts, %d and %d batches, %d and %d deletions; %d jobs",
					attempts, len(p.unrecorded), batches, len(p.batches), deletions, len(p.obsoleteKeys), len(p.dirtyJobs))
			}
			h.refuseCommits = false
			h.advanceRunning(2*tuning.MaxRejectionBackoff, machines)
			if started := h.countRunning(machines); started != 40 {
				t.Errorf("%d of 40 tasks started after the refusals had ended", started)
			}
		})
	}
}

// Guards against limits that stay low for the rest of a term after the store has rejected everything
// for a while, and against frequent rejections while the store keeps lower limits.
func TestLoweredLimitsRiseAgain(t *testing.T) {
	settings := Settings{MaxTransactionOps: 12, MaxValueBytes: 32 << 10}
	limits := newStoreLimits(settings)
	now := time.Hour
	for range 30 {
		now += tuning.StoreRetryDelay
		limits.lower(now, &transactionContents{deletedKeys: make([]string, limits.maxOps), operations: limits.maxOps})
		limits.lower(now, &transactionContents{deletedKeys: []string{"key"}, operations: 1, largestValueBytes: limits.maxValueBytes})
	}
	if limits.maxOps != minTransactionOps || limits.maxValueBytes != minValueBytes {
		t.Errorf("after rejections of everything: %d operations, values of %d bytes", limits.maxOps, limits.maxValueBytes)
	}
	lowered := limits
	for range 7 { // doublings from 256 bytes to 32 KiB
		now += tuning.LimitRaiseDelay
		limits.raise(now)
	}
	if limits.maxOps != settings.MaxTransactionOps || limits.maxValueBytes != settings.MaxValueBytes {
		t.Errorf("%d operations, values of %d bytes after the rejections had ended", limits.maxOps, limits.maxValueBytes)
	}

	rejections := 0
	const storeMaxOps = 4
	for end := now + 24*time.Hour; now < end; now += time.Second {
		lowered.raise(now)
		if lowered.maxOps > storeMaxOps {
			rejections++
			lowered.lower(now, &transactionContents{deletedKeys: make([]string, lowered.maxOps), operations: lowered.maxOps})
		}
	}
	// At most one in each MaxLimitRaiseDelay, and a few until the delay has grown to that.
	if most := int(24*time.Hour/tuning.MaxLimitRaiseDelay) + 10; rejections > most {
		t.Errorf("%d transactions were rejected in a day, at most %d expected", rejections, most)
	}
}

// Guards against one record that the store rejects for ever making the transactions of all others
// small.
func TestRecordRejectedForEverLowersNoLimit(t *testing.T) {
	h := newHarness(t)
	h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
	var machines []string
	for i := range 20 {
		machines = append(machines, fmt.Sprintf("n-%02d", i))
	}
	h.bringUp(machines...)
	h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 4096, rejectedKey: records.EndedJobKey("run-000001")}
	for i := range 60 { // jobs that end, one after another
		h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i+1), Tasks: 20, CPUs: 8})
		h.advanceRunning(2*time.Second, machines)
		h.completeAll(machines)
		h.advanceRunning(2*time.Second, machines)
	}
	if h.storeLimits.rejections == 0 {
		t.Error("no transaction was rejected")
	}
	if limits := h.scheduler.persister.limits; limits.maxValueBytes < 4096 || limits.maxOps < 12 {
		t.Errorf("limits lowered to values of %d bytes and %d operations", limits.maxValueBytes, limits.maxOps)
	}
	for i := range 60 {
		_, ended := h.items[records.EndedJobKey(fmt.Sprintf("run-%06d", i+1))]
		if ended != (i > 0) {
			t.Errorf("end of job %d recorded: %v", i+1, ended)
		}
	}
}

// Guards against limits that fall with each rejection of a record that is at fault by itself, and
// against limits that never fall because the store once accepted more.
func TestRejectionOfAcceptedSizeLowersLimitsTheSecondTime(t *testing.T) {
	together := &transactionContents{deletedKeys: make([]string, 12), operations: 12}
	alone := &transactionContents{jobWrites: []jobWrite{{job: &job{}, ended: true}}, operations: 2, largestValueBytes: 3000}
	limits := newStoreLimits(Settings{MaxTransactionOps: 12, MaxValueBytes: 4096})
	limits.accepted(together)
	limits.accepted(alone)
	limits.lower(time.Hour, together)
	limits.lower(time.Hour, alone)
	if limits.maxOps != 12 || limits.maxValueBytes != 4096 {
		t.Errorf("after the first rejections: %d operations, values of %d bytes", limits.maxOps, limits.maxValueBytes)
	}
	if !limits.isolated(time.Hour) {
		t.Error("the writes are not isolated")
	}
	limits.lower(time.Hour, together)
	limits.lower(time.Hour, alone)
	if limits.maxOps != 6 || limits.maxValueBytes != 1500 {
		t.Errorf("after the second rejections: %d operations, values of %d bytes", limits.maxOps, limits.maxValueBytes)
	}
}
