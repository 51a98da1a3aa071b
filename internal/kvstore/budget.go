package kvstore

import (
	"sync"
	"time"
)

// Priority determines how much of the client's request budget a request may use.
type Priority int

// Priorities, highest first.
const (
	// PriorityLeader is for the leader: its election, lease, reads and transactions.
	PriorityLeader Priority = iota
	// PriorityUser is for requests whose result a user waits for.
	PriorityUser
	// PriorityBackground is for all other requests.
	PriorityBackground
)

// minRemainingShare is the share of the bucket's capacity that a request of each priority has to
// leave for higher priorities. The negative share of PriorityLeader lets the leader overdraw the
// bucket by the requests of one second.
var minRemainingShare = [...]float64{PriorityLeader: -1, PriorityUser: 0.1, PriorityBackground: 0.3}

// requestBudget is a token bucket with the capacity of one second's requests. Each request takes
// one token. It is safe for concurrent use.
type requestBudget struct {
	mu                sync.Mutex
	requestsPerSecond float64
	tokens            float64 // negative while PriorityLeader has overdrawn the bucket
	refilledAt        time.Time
}

func newRequestBudget(requestsPerSecond float64, now time.Time) *requestBudget {
	return &requestBudget{requestsPerSecond: requestsPerSecond, tokens: requestsPerSecond, refilledAt: now}
}

// take takes a token for one request. It returns ErrOverBudget if the priority does not allow
// that now.
func (b *requestBudget) take(priority Priority) error { return b.takeAt(time.Now(), priority) }

func (b *requestBudget) takeAt(now time.Time, priority Priority) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	refill := now.Sub(b.refilledAt).Seconds() * b.requestsPerSecond
	b.tokens = min(b.requestsPerSecond, b.tokens+refill)
	b.refilledAt = now
	if b.tokens-1 < minRemainingShare[priority]*b.requestsPerSecond {
		return ErrOverBudget
	}
	b.tokens--
	return nil
}
