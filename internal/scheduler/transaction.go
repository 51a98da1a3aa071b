package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// transaction collects changes, up to several limits, for one compare-and-swap transaction of
// the leader. It is executed only while the leader's key has the revision of this term, so that
// a replaced leader can't change anything.
type transaction struct {
	request    wire.Txn
	contents   transactionContents
	valueBytes int     // estimated size of the values
	maxOps     int     // the key-value store's limit on changes per transaction
	isolated   bool    // the transaction has at most one write
	budget     float64 // changes that the write budget allows now
}

// transactionContents lists what a transaction writes, for the handling of its outcome.
type transactionContents struct {
	batches     []*assignmentBatch
	jobWrites   []jobWrite
	deletedKeys []string

	operations        int
	largestValueBytes int // estimated size of the largest value; 0: there are only deletions
}

// writeCount returns the number of batches, jobs and deletions, which can be written separately.
func (c *transactionContents) writeCount() int {
	return len(c.batches) + len(c.jobWrites) + len(c.deletedKeys)
}

func (p *persister) newTransaction() *transaction {
	t := &transaction{maxOps: p.limits.maxOps, isolated: p.limits.isolated(p.now.Mono), budget: p.writeBudget.tokens}
	//mutation:transaction-needs-leadership
	t.expect(records.LeaderKey, p.term)
	return t
}

// canAdd reports whether the transaction stays within its limits with n more changes.
func (t *transaction) canAdd(n int) bool {
	if t.isolated && t.opCount() > 0 {
		return false
	}
	//mutation:write-budget
	return t.opCount()+n <= t.maxOps && t.valueBytes < tuning.MaxTxnBytes && float64(t.opCount()+n) <= t.budget
}

// budgetLeft returns how many more changes the write budget allows.
func (t *transaction) budgetLeft() float64 { return t.budget - float64(t.opCount()) }

func (t *transaction) opCount() int { return len(t.request.Then) }

// expect makes the transaction conditional on the revision of a key; 0 means that it is absent.
func (t *transaction) expect(key string, modRevision uint64) {
	t.request.If = append(t.request.If, wire.Compare{Key: key, ModRevision: modRevision})
}

// set adds a write of a value with the given estimated size in bytes.
func (t *transaction) set(key string, value any, bytes int) {
	t.request.Then = append(t.request.Then, wire.Op{Set: key, Value: value})
	t.valueBytes += bytes
	t.contents.largestValueBytes = max(t.contents.largestValueBytes, bytes)
}

func (t *transaction) delete(key string) {
	t.request.Then = append(t.request.Then, wire.Op{Delete: key})
}
