package kvstore

import (
	"errors"
	"testing"
	"time"
)

// Each priority leaves a share of the budget for higher priorities, and the leader may overdraw
// the budget by the requests of one second.
func TestBudgetReservesSharesForHigherPriorities(t *testing.T) {
	const requestsPerSecond = 100
	for _, test := range []struct {
		priority    Priority
		wantGranted int
	}{
		{PriorityBackground, 70},
		{PriorityUser, 90},
		{PriorityLeader, 200},
	} {
		now := time.Now()
		budget := newRequestBudget(requestsPerSecond, now)
		granted := 0
		for budget.takeAt(now, test.priority) == nil {
			granted++
		}
		if granted != test.wantGranted {
			t.Errorf("priority %v: %d requests granted at once, want %d", test.priority, granted, test.wantGranted)
		}
		if err := budget.takeAt(now, test.priority); !errors.Is(err, ErrRateLimited) {
			t.Errorf("priority %v: got error %v from an exhausted budget", test.priority, err)
		}
		if err := budget.takeAt(now.Add(2*time.Second/requestsPerSecond), test.priority); err != nil {
			t.Errorf("priority %v: got error %v after a refill", test.priority, err)
		}
	}
}
