package kvstore

import (
	"errors"
	"testing"
	"time"
)

// Each priority leaves a share of the budget to the higher ones, and the leader may run up a
// debt of a second.
func TestBudgetReservesSharesForHigherPriorities(t *testing.T) {
	const requestsPerSecond = 100
	for _, test := range []struct {
		priority Priority
		granted  int
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
		if granted != test.granted {
			t.Errorf("priority %v: %d requests at once, not %d", test.priority, granted, test.granted)
		}
		if err := budget.takeAt(now, test.priority); !errors.Is(err, ErrRateLimited) {
			t.Errorf("priority %v: %v", test.priority, err)
		}
		if err := budget.takeAt(now.Add(2*time.Second/requestsPerSecond), test.priority); err != nil {
			t.Errorf("priority %v: %v after a refill", test.priority, err)
		}
	}
}
