package scheduler

import "time"

// tokenBucket limits the rate of an operation: each one takes a token, and tokens come back
// at a steady rate up to a capacity.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens that have come back since the last refill. The rate is in tokens a
// second.
func (b *tokenBucket) refill(now time.Duration, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+(now-b.refilledAt).Seconds()*rate)
	b.refilledAt = now
}

// take takes tokens if there are that many.
func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.spend(n)
	return true
}

// spend takes tokens that the caller knows to be there.
func (b *tokenBucket) spend(n float64) { b.tokens -= n }
