package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// When the process lags, submissions are refused first, and queries and cancellations only at a
// larger lag. Heartbeats are never refused for it.
func TestOverloadShedsSubmissionsBeforeQueriesBeforeHeartbeats(t *testing.T) {
	c := newTestController(t)
	c.replication.replica.CacheEnded("run-000001", scheduler.EndedJob{Record: records.EndedJob{State: wire.JobDone, Done: 1, Tasks: 1}})
	heartbeat := &wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1}
	for _, tc := range []struct {
		lag           time.Duration
		submit, query int
	}{
		{0, http.StatusBadRequest, http.StatusOK},
		{tuning.MaxSubmissionTickLag + 1, http.StatusServiceUnavailable, http.StatusOK},
		{tuning.MaxQueryAndCancelTickLag + 1, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		c.admission.tickLag.Store(int64(tc.lag))
		if a := c.Submit(context.Background(), []byte{0xa0}, FromUser); a.Status != tc.submit {
			t.Errorf("lag %v: submission answered %d", tc.lag, a.Status)
		}
		if a := c.Query(context.Background(), "run-000001", FromUser); a.Status != tc.query {
			t.Errorf("lag %v: query answered %d", tc.lag, a.Status)
		}
		if a := c.Heartbeat(heartbeat); a.Status != http.StatusServiceUnavailable { // no leader
			t.Errorf("lag %v: heartbeat answered %d", tc.lag, a.Status)
		}
	}
	c.admission.tickLag.Store(0)
	for range tuning.MaxSubmissionsInFlight {
		c.admission.submissionSlots <- struct{}{}
	}
	if a := c.Submit(context.Background(), []byte{0xa0}, FromUser); a.Status != http.StatusServiceUnavailable {
		t.Errorf("submission answered %d with all submission slots taken", a.Status)
	}
	if a := c.Query(context.Background(), "run-000001", FromUser); a.Status != http.StatusOK {
		t.Errorf("query answered %d with all submission slots taken", a.Status)
	}
}
