package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

func TestLongestUnansweredTimeIsThatOfOneJob(t *testing.T) {
	gaps, start := newQueryGaps(), time.Now()
	for second := range 10 {
		gaps.failed(fmt.Sprintf("run-%06d", second), start.Add(time.Duration(second)*time.Second), storeServing)
	}
	if longest := gaps.longest(); longest != 0 {
		t.Errorf("ten jobs with one failed query each are unanswered for %v", longest)
	}
	gaps.failed("run-000003", start.Add(12*time.Second), storeServing)
	if longest := gaps.longest(); longest != 9*time.Second {
		t.Errorf("a job with failed queries at 3 s and 12 s is unanswered for %v", longest)
	}
	gaps.answered("run-000003")
	gaps.failed("run-000003", start.Add(20*time.Second), storeServing)
	if longest := gaps.longest(); longest != 9*time.Second {
		t.Errorf("after an answer, the longest time is %v", longest)
	}
}

func TestUnansweredTimeEndsWhenNobodyAsks(t *testing.T) {
	gaps, start := newQueryGaps(), time.Now()
	gaps.failed("run-000001", start, storeServing)
	gaps.failed("run-000001", start.Add(tuning.QueryGapExpiry+time.Second), storeServing)
	if longest := gaps.longest(); longest != 0 {
		t.Errorf("two failed queries far apart count as unanswered for %v", longest)
	}
	gaps.takeRecent(start.Add(3 * tuning.QueryGapExpiry))
	if len(gaps.byJob) != 0 {
		t.Errorf("%d expired jobs are kept", len(gaps.byJob))
	}
}

func TestLateHealthChecksAreCounted(t *testing.T) {
	c := newTestController(t)
	c.HealthCheckAnswered(http.StatusOK, time.Millisecond)
	c.HealthCheckAnswered(http.StatusOK, tuning.HealthCheckTimeout)
	c.HealthCheckAnswered(http.StatusServiceUnavailable, time.Millisecond)
	want := HealthCheckSummary{Healthy: 2, Unhealthy: 1, Late: 1, MaxMilli: tuning.HealthCheckTimeout.Milliseconds()}
	if got := c.MetricsView().HealthChecks; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestJobUnansweredAfterAnOutageReachesLimitOnce(t *testing.T) {
	const outageS, intervalS = 60, 5
	gaps, start := newQueryGaps(), time.Now()
	var reachedAt []int
	for second := 0; second < 300; second += intervalS {
		store := storeServing
		if second < outageS {
			store = storeFailing
		}
		if gaps.failed("run-000001", start.Add(time.Duration(second)*time.Second), store) {
			reachedAt = append(reachedAt, second)
		}
	}
	want := outageS - intervalS + int(tuning.MaxUnansweredTime.Seconds())
	if len(reachedAt) != 1 || reachedAt[0] != want {
		t.Errorf("limit reached at %v, want %d", reachedAt, want)
	}
}

func TestJobUnansweredForLongViolatesInvariant(t *testing.T) {
	c := newTestController(t)
	c.reportUnanswered("run-000001")
	if violations := c.MetricsView().InvariantViolations; violations != 1 {
		t.Errorf("%d violations", violations)
	}
}
