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
