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

// The following functions classify transactions by their conditions and writes.

// writesPrefix reports whether a transaction sets a key with the prefix.
func writesPrefix(txn wire.Txn, prefix string) bool {
	for _, operation := range txn.Then {
		if strings.HasPrefix(operation.Set, prefix) {
			return true
		}
	}
	return false
}

// isLeaderTxn reports whether a transaction is sent by the leader: its first condition is that the
// leader's key has not changed since the election.
func isLeaderTxn(txn wire.Txn) bool {
	return len(txn.If) > 0 && txn.If[0].Key == records.LeaderKey && txn.If[0].ModRevision != 0
}

// isCancellation reports whether a transaction is a cancellation: it writes the job's live record,
// on the condition that the record's mod revision is unchanged, and is not sent by the leader.
func isCancellation(txn wire.Txn, id string) bool {
	return writesPrefix(txn, records.JobKey(id)) && !isLeaderTxn(txn) && !isSubmission(txn, id)
}

// isSubmission reports whether a transaction is the submission of a job, whatever its conditions.
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

// The following functions hold transactions, which get no reply and are committed later by the test.

// allMatching is the limit for holdTransactions to hold all matching transactions.
const allMatching = math.MaxInt

// holdTransactions holds up to limit transactions that match.
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

func (c *cluster) waitUntilHeld(description string) {
	c.tb.Helper()
	c.eventually(description, func() bool { return c.simulation.HeldTransactionCount() > 0 })
}

// expectAllRejected commits the held transactions and checks that all of them are rejected.
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

// expectFirstRejected commits the held transactions and checks that the first one is rejected.
func (c *cluster) expectFirstRejected(t *testing.T) {
	t.Helper()
	if statuses := c.simulation.CommitHeldTransactions(); len(statuses) == 0 || statuses[0] != http.StatusConflict {
		t.Errorf("a delayed write was committed: %v", statuses)
	}
}
