package scheduler

import (
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// transaction collects changes, up to several limits, for one compare-and-swap transaction of
// the leader. It is executed only while the leader's key has the revision of this term, so that
// a replaced leader can't change anything.
type transaction struct {
	request  wire.Txn
	contents transactionContents
	bytes    int     // upper bound of the transaction's size in JSON
	maxOps   int     // the key-value store's limit on changes per transaction
	isolated bool    // the transaction has at most one write
	budget   float64 // changes that the write budget allows now
}

// Upper bounds in bytes of what a transaction in JSON contains beside its keys and values.
const (
	compareBytes = 48 // with twenty digits for the revision
	opBytes      = 32
)

// transactionContents lists what a transaction writes, for the handling of its outcome.
type transactionContents struct {
	batches     []*assignmentBatch
	jobWrites   []jobWrite
	deletedKeys []string

	operations        int
	largestValueBytes int // upper bound of the size of the largest value; 0: there are only deletions
}

// writeCount returns the number of batches, records of jobs and deletions, which can be written
// separately.
func (c *transactionContents) writeCount() int {
	count := len(c.batches) + len(c.deletedKeys)
	for i := range c.jobWrites {
		count += c.jobWrites[i].recordCount()
	}
	return count
}

// rejectedBefore reports whether the transaction has a write that cannot be made smaller and was
// rejected before although it was alone.
func (c *transactionContents) rejectedBefore() bool {
	return slices.ContainsFunc(c.batches, (*assignmentBatch).rejectedBefore) ||
		slices.ContainsFunc(c.jobWrites, func(write jobWrite) bool { return write.rejection().rejections > 0 })
}

func (p *persister) newTransaction() *transaction {
	t := &transaction{maxOps: p.maxTransactionOps(), isolated: p.limits.isolated(p.now.Mono), budget: p.writeBudget.tokens}
	//mutation:transaction-needs-leadership
	t.expect(records.LeaderKey, p.term)
	return t
}

// canAdd reports whether the transaction stays within its limits with n more changes, whose values
// have the given size.
func (t *transaction) canAdd(n, valueBytes int) bool {
	if t.isolated && t.opCount() > 0 {
		return false
	}
	//mutation:write-budget
	return t.opCount()+n <= t.maxOps && t.bytes+valueBytes <= tuning.MaxTxnBytes && float64(t.opCount()+n) <= t.budget
}

// budgetLeft returns how many more changes the write budget allows.
func (t *transaction) budgetLeft() float64 { return t.budget - float64(t.opCount()) }

func (t *transaction) opCount() int { return len(t.request.Then) }

// expect makes the transaction conditional on the revision of a key; 0 means that it is absent.
func (t *transaction) expect(key string, modRevision uint64) {
	t.request.If = append(t.request.If, wire.Compare{Key: key, ModRevision: modRevision})
	t.bytes += len(key) + compareBytes
}

// set adds a write of a value whose size in JSON is at most valueBytes.
func (t *transaction) set(key string, value any, valueBytes int) {
	t.request.Then = append(t.request.Then, wire.Op{Set: key, Value: value})
	t.bytes += len(key) + opBytes + valueBytes
	t.contents.largestValueBytes = max(t.contents.largestValueBytes, valueBytes)
}

func (t *transaction) delete(key string) {
	t.request.Then = append(t.request.Then, wire.Op{Delete: key})
	t.bytes += len(key) + opBytes
}
