package scheduler

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

func TestTransactionCanAddWithinLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		transaction transaction
		existing    int // number of changes already added
		additional  int // number of changes passed to canAdd
		want        bool
	}{
		{"far from all limits", transaction{maxOps: 10, budget: 10}, 3, 2, true},
		{"at the limit on changes", transaction{maxOps: 5, budget: 10}, 3, 2, true},
		{"over the limit on changes", transaction{maxOps: 4, budget: 10}, 3, 2, false},
		{"at the write budget", transaction{maxOps: 10, budget: 5}, 3, 2, true},
		{"over the write budget", transaction{maxOps: 10, budget: 4.9}, 3, 2, false},
		{"at the limit on value bytes", transaction{maxOps: 10, budget: 10, valueBytes: tuning.MaxTxnBytes}, 3, 1, false},
	} {
		for range c.existing {
			c.transaction.delete("key")
		}
		if got := c.transaction.canAdd(c.additional); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
