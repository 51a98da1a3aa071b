package scheduler

import "time"

// tokenBucket limits the rate of an operation: each operation takes tokens, which are refilled
// at a steady rate up to a capacity.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens for the time since the last refill, up to the capacity. The rate is in
// tokens per second.
func (b *tokenBucket) refill(now time.Duration, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+(now-b.refilledAt).Seconds()*rate)
	b.refilledAt = now
}

// take removes n tokens and reports true, or reports false if there are fewer.
func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.spend(n)
	return true
}

// spend removes n tokens. The caller ensures that they are available.
func (b *tokenBucket) spend(n float64) { b.tokens -= n }
