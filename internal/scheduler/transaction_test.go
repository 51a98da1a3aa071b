package scheduler

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

func TestTransactionKeepsToEachOfItsLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		transaction transaction
		added       int // changes that it has
		more        int
		want        bool
	}{
		{"all limits are far", transaction{maxOps: 10, budget: 10}, 3, 2, true},
		{"up to the most changes", transaction{maxOps: 5, budget: 10}, 3, 2, true},
		{"over the most changes", transaction{maxOps: 4, budget: 10}, 3, 2, false},
		{"up to the write budget", transaction{maxOps: 10, budget: 5}, 3, 2, true},
		{"over the write budget", transaction{maxOps: 10, budget: 4.9}, 3, 2, false},
		{"its values are as large as they may be", transaction{maxOps: 10, budget: 10, bytes: tuning.MaxTxnBytes}, 3, 1, false},
	} {
		for range c.added {
			c.transaction.delete("key")
		}
		if got := c.transaction.canAdd(c.more); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
