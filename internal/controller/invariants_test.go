package controller

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// leadWithLease makes the controller lead a term whose lease is certainly held for a time.
func leadWithLease(c *Controller, remaining time.Duration) *leaderTerm {
	lost := make(chan struct{})
	c.leadership.scheduler, c.leadership.lost = scheduler.New(c.now(), c.schedulerSettings(), 9, scheduler.NewReplica(), nil, nil, nil), lost
	c.leadership.leaseHeldUntil = time.Now().Add(remaining)
	return &leaderTerm{controller: c, number: 9, lost: lost}
}

func TestEarlyEndOfRunningLeadersLeaseIsReported(t *testing.T) {
	leaseNotFound := func(_ *Controller, term *leaderTerm) { term.leaseExpired() }
	stepDownFor := func(reason stepDownReason) func(*Controller, *leaderTerm) {
		return func(c *Controller, _ *leaderTerm) { c.stepDown(c.leadership.scheduler, reason) }
	}
	for _, test := range []struct {
		name       string
		remaining  time.Duration
		end        func(*Controller, *leaderTerm)
		violations uint64
	}{
		{"lease revoked", time.Minute, leaseNotFound, 1},
		{"lease ended in time", -time.Millisecond, leaseNotFound, 0},
		{"key taken early", time.Minute, stepDownFor(stepDownReason(scheduler.ResignLeaderKeyLost)), 1},
		{"later term during the lease", time.Minute, stepDownFor(stepDownLaterTerm), 1},
		{"later term after the lease", -time.Millisecond, stepDownFor(stepDownLaterTerm), 0},
		{"stepped down by itself", time.Minute, stepDownFor(stepDownIsolated), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestController(t)
			test.end(c, leadWithLease(c, test.remaining))
			if got := c.MetricsView().InvariantViolations; got != test.violations {
				t.Errorf("%d violations reported, want %d", got, test.violations)
			}
			if c.leadership.leading() {
				t.Error("the controller still leads")
			}
		})
	}
}
