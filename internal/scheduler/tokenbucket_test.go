package scheduler

import (
	"testing"
	"time"
)

func TestTokenBucketRefillsAtItsRateUpToItsCapacity(t *testing.T) {
	const rate, capacity = 4, 10
	for _, c := range []struct {
		name    string
		initial float64
		after   time.Duration
		want    float64
	}{
		{"no time has passed", 3, 0, 3},
		{"half a second", 3, 500 * time.Millisecond, 5},
		{"long enough to fill it", 3, time.Minute, capacity},
		{"initially above its capacity", 50, 0, capacity},
	} {
		bucket := tokenBucket{tokens: c.initial, refilledAt: time.Second}
		bucket.refill(time.Second+c.after, rate, capacity)
		if bucket.tokens != c.want {
			t.Errorf("%s: %v tokens, want %v", c.name, bucket.tokens, c.want)
		}
	}
}

func TestTokenBucketGivesNoMoreThanItHas(t *testing.T) {
	bucket := tokenBucket{tokens: 2.5}
	for i, want := range []bool{true, true, false} {
		if got := bucket.take(1); got != want {
			t.Errorf("take %d: %v, want %v", i+1, got, want)
		}
	}
	if bucket.tokens != 0.5 {
		t.Errorf("%v tokens are left, want 0.5", bucket.tokens)
	}
}
