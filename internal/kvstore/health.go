package kvstore

import (
	"sync/atomic"
	"time"
)

// healthTracker records when the last request that the store served was sent, and when the last
// request that it did not serve was sent. Every usable response counts as served, except one with
// status 503. It uses the times of the requests, not those of the responses, because a process that
// was paused reads outdated responses when it resumes. It is safe for concurrent use.
type healthTracker struct {
	createdAt   time.Time
	lastSuccess atomic.Int64 // when it was sent, in nanoseconds since createdAt; 0 for none
	lastFailure atomic.Int64 // like lastSuccess
}

func (h *healthTracker) recordSuccess(sentAt time.Time) { h.advance(&h.lastSuccess, sentAt) }
func (h *healthTracker) recordFailure(sentAt time.Time) { h.advance(&h.lastFailure, sentAt) }

// advance sets latest to sentAt, unless it already holds a later time.
func (h *healthTracker) advance(latest *atomic.Int64, sentAt time.Time) {
	sentNanos := int64(sentAt.Sub(h.createdAt))
	for {
		previous := latest.Load()
		if sentNanos <= previous || latest.CompareAndSwap(previous, sentNanos) {
			return
		}
	}
}

// unavailableFor returns the time since the last request that the store served, or since createdAt
// if there is none. It returns 0 if the store served the last request whose result is known.
func (h *healthTracker) unavailableFor() time.Duration {
	lastSuccess, lastFailure := h.lastSuccess.Load(), h.lastFailure.Load()
	if lastFailure <= lastSuccess {
		return 0
	}
	return time.Since(h.createdAt) - time.Duration(lastSuccess)
}
