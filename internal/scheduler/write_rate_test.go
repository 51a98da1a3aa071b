package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against transactions that are refused for ever because they have more changes than the
// store accepts at once: it has lowered its rate without notice, below that of the settings.
func TestWorkGoesOnAfterStoreLowersItsWriteRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(3, 20).Draw(rt, "changes per second")
		jobs := rapid.IntRange(1, 30).Draw(rt, "jobs")
		h := newHarnessWith(t, harnessConfig{modifySettings: func(s *Settings) {
			s.WriteRate = 50
			s.Teams["red"] = TeamQuota{CPUs: 8, MaxCPUs: 1000}
		}})
		machines := []string{"n-1", "n-2", "n-3", "n-4"}
		h.bringUp(machines...)
		h.storeLimits = &harnessStoreLimits{maxOps: 12, maxValueBytes: 4096, writeRate: rate}
		for i := range jobs {
			h.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i+1), Tasks: 1, CPUs: 1})
		}
		// A job takes two changes for its end, and part of one for its assignment and its deletion.
		// The first 15 s are for finding the rate.
		bound := 15*time.Second + time.Duration(float64(4*jobs)/rate*float64(time.Second))
		h.storeLimits.writeBudget.refilledAt = h.now
		ended := func() (count int) {
			for i := range jobs {
				if _, ok := h.items[records.EndedJobKey(fmt.Sprintf("run-%06d", i+1))]; ok {
					count++
				}
			}
			return count
		}
		startedAt := h.now
		for h.now-startedAt < bound && ended() < jobs {
			h.completeAll(machines)
			h.advanceRunning(500*time.Millisecond, machines)
		}
		if ended() < jobs {
			rt.Errorf("%d of %d jobs ended within %v, %d transactions refused", ended(), jobs, bound, h.storeLimits.refusals)
		}
	})
}

// Guards against a transaction with more changes than the store accepts in a second, which it would
// refuse for ever.
func TestTransactionStaysWithinBurst(t *testing.T) {
	for _, c := range []struct {
		writeRate float64
		want      int
	}{{50, 12}, {12, 12}, {7.9, 7}, {1, minTransactionOps}} {
		p := newPersister(&termContext{now: Now{Mono: time.Hour}, settings: Settings{WriteRate: c.writeRate, MaxTransactionOps: 12, MaxValueBytes: 4096}})
		if got := p.maxTransactionOps(); got != c.want {
			t.Errorf("%v changes per second: transactions of %d changes, want %d", c.writeRate, got, c.want)
		}
	}
}

// Guards against a rate that stays low after a refusal that others caused, and against one that rises
// while the store still refuses every write.
func TestWriteRateFallsAndRises(t *testing.T) {
	rate := newWriteRate(40, time.Hour)
	now := time.Hour
	for range 5 { // transactions in flight that are refused together count once
		rate.lower(now)
	}
	if want := 40 * tuning.WriteRateDecrease; rate.perSecond != want {
		t.Errorf("%v after refusals at the same time, want %v", rate.perSecond, want)
	}
	for range 60 {
		now += tuning.WriteRateInterval
		rate.advance(now)
		rate.lower(now)
	}
	if rate.perSecond != tuning.MinWriteRate {
		t.Errorf("%v after a minute of refusals, want %v", rate.perSecond, tuning.MinWriteRate)
	}
	rate.accepted = true
	now += time.Minute
	if rate.advance(now); rate.perSecond != 40 {
		t.Errorf("%v after a minute of accepted writes, want 40", rate.perSecond)
	}
}
