package api_test

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// What a transaction is, by its conditions and writes.

// writesPrefix reports whether a transaction sets a key with the prefix.
func writesPrefix(txn wire.Txn, prefix string) bool {
	for _, operation := range txn.Then {
		if strings.HasPrefix(operation.Set, prefix) {
			return true
		}
	}
	return false
}

// isLeaderTxn reports whether a transaction is the leader's own.
func isLeaderTxn(txn wire.Txn) bool {
	return len(txn.If) > 0 && txn.If[0].Key == records.LeaderKey && txn.If[0].ModRevision != 0
}

// isCancellation reports whether a transaction is a cancellation, which names the live job's
// mod revision and comes from no leader.
func isCancellation(txn wire.Txn, id string) bool {
	return writesPrefix(txn, records.JobKey(id)) && !isLeaderTxn(txn) && !isSubmission(txn, id)
}

// isSubmission reports whether a transaction is a submission, with or without conditions.
func isSubmission(txn wire.Txn, id string) bool {
	for _, operation := range txn.Then {
		raw, ok := operation.Value.(wire.Raw)
		if !ok || operation.Set != records.JobKey(id) {
			continue
		}
		var job records.Job
		if wire.Unmarshal(raw, &job) == nil {
			return !isLeaderTxn(txn) && !job.Cancelled
		}
	}
	return false
}

// Held transactions are committed later, and never answered.

const allMatching = math.MaxInt

// holdTransactions holds transactions that match, up to a number of them.
func (c *cluster) holdTransactions(limit int, matches func(wire.Txn) bool) {
	var mu sync.Mutex
	held := 0
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		mu.Lock()
		defer mu.Unlock()
		if !matches(txn) || held >= limit {
			return simulator.TransactionFault{}
		}
		held++
		return simulator.TransactionFault{Held: true}
	})
}

func (c *cluster) waitUntilHeld(what string) {
	c.tb.Helper()
	c.eventually(what, func() bool { return c.simulation.HeldTransactionCount() > 0 })
}

// expectAllRejected commits what is held; all of it has to be rejected.
func (c *cluster) expectAllRejected(t *testing.T) {
	t.Helper()
	statuses := c.simulation.CommitHeldTransactions()
	if len(statuses) == 0 {
		t.Error("nothing was held")
	}
	for _, status := range statuses {
		if status != http.StatusConflict {
			t.Errorf("a delayed write was committed: %v", statuses)
		}
	}
}

// expectFirstRejected commits what is held; the first of it has to be rejected.
func (c *cluster) expectFirstRejected(t *testing.T) {
	t.Helper()
	if statuses := c.simulation.CommitHeldTransactions(); len(statuses) == 0 || statuses[0] != http.StatusConflict {
		t.Errorf("a delayed write was committed: %v", statuses)
	}
}
