package kvstore

import (
	"sync"
	"time"
)

// Priority orders requests under the client's budget.
type Priority int

// Priorities, highest first: the lease and the leader's transactions, then what users wait
// for, then the rest.
const (
	PriorityLeader Priority = iota
	PriorityUser
	PriorityBackground
)

// reservedShare is the share of a second's requests that each priority has to leave to the
// higher ones. The leader may run up a debt of a whole second.
var reservedShare = [...]float64{PriorityLeader: -1, PriorityUser: 0.1, PriorityBackground: 0.3}

// requestBudget is a token bucket that holds the requests of one second. It is safe for
// concurrent use.
type requestBudget struct {
	mu                sync.Mutex
	requestsPerSecond float64
	available         float64 // requests that may be sent now
	refilledAt        time.Time
}

func newRequestBudget(requestsPerSecond float64, now time.Time) *requestBudget {
	return &requestBudget{requestsPerSecond: requestsPerSecond, available: requestsPerSecond, refilledAt: now}
}

// take uses the budget for one request, or fails with ErrRateLimited.
func (b *requestBudget) take(priority Priority) error { return b.takeAt(time.Now(), priority) }

func (b *requestBudget) takeAt(now time.Time, priority Priority) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	refill := now.Sub(b.refilledAt).Seconds() * b.requestsPerSecond
	b.available = min(b.requestsPerSecond, b.available+refill)
	b.refilledAt = now
	if b.available-1 < reservedShare[priority]*b.requestsPerSecond {
		return ErrRateLimited
	}
	b.available--
	return nil
}
