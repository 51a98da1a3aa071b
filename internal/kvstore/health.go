package kvstore

import (
	"sync/atomic"
	"time"
)

// healthTracker knows when the last request that the store served was sent, and the last
// that it did not. It goes by when a request was sent, not by when its answer was read:
// after a process pause, answers of long ago are read. Safe for concurrent use.
type healthTracker struct {
	createdAt  time.Time
	lastServed atomic.Int64 // when it was sent, in nanoseconds since createdAt
	lastFailed atomic.Int64
}

func (h *healthTracker) served(sentAt time.Time) { h.advance(&h.lastServed, sentAt) }
func (h *healthTracker) failed(sentAt time.Time) { h.advance(&h.lastFailed, sentAt) }

// advance raises a time, unless a later one is known already.
func (h *healthTracker) advance(known *atomic.Int64, sentAt time.Time) {
	sent := int64(sentAt.Sub(h.createdAt))
	for {
		previous := known.Load()
		if sent <= previous || known.CompareAndSwap(previous, sent) {
			return
		}
	}
}

// unservedFor returns for how long the store has served nothing; 0 if the latest request
// that has an outcome was served.
func (h *healthTracker) unservedFor() time.Duration {
	served, failed := h.lastServed.Load(), h.lastFailed.Load()
	if failed <= served {
		return 0
	}
	return time.Since(h.createdAt) - time.Duration(served)
}
