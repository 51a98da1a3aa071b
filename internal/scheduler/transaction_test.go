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
		valueBytes  int // size of their values
		want        bool
	}{
		{"far from all limits", transaction{maxOps: 10, budget: 10}, 3, 2, 0, true},
		{"at the limit on changes", transaction{maxOps: 5, budget: 10}, 3, 2, 0, true},
		{"over the limit on changes", transaction{maxOps: 4, budget: 10}, 3, 2, 0, false},
		{"at the write budget", transaction{maxOps: 10, budget: 5}, 3, 2, 0, true},
		{"over the write budget", transaction{maxOps: 10, budget: 4.9}, 3, 2, 0, false},
		{"at the limit on bytes", transaction{maxOps: 10, budget: 10, bytes: tuning.MaxTxnBytes - 100}, 0, 1, 100, true},
		{"over the limit on bytes", transaction{maxOps: 10, budget: 10, bytes: tuning.MaxTxnBytes - 100}, 0, 1, 101, false},
		{"over the limit on bytes by the keys", transaction{maxOps: 10, budget: 10, bytes: tuning.MaxTxnBytes - 100}, 3, 1, 0, false},
		{"first write of an isolated transaction", transaction{maxOps: 10, budget: 10, isolated: true}, 0, 2, 0, true},
		{"second write of an isolated transaction", transaction{maxOps: 10, budget: 10, isolated: true}, 2, 1, 0, false},
	} {
		for range c.existing {
			c.transaction.delete("key")
		}
		if got := c.transaction.canAdd(c.additional, c.valueBytes); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
