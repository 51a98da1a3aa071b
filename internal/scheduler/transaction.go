package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// transaction gathers changes for one compare-and-swap of the leader, up to its limits. It
// commits only while the leader's key has the revision of this term, so that a leader that
// has been replaced changes nothing.
type transaction struct {
	request  wire.Txn
	contents transactionContents
	bytes    int     // estimate of what its values take
	maxOps   int     // the key-value store's limit
	budget   float64 // changes that may be written now
}

// transactionContents is what has to be known of a transaction when its outcome arrives.
type transactionContents struct {
	batches     []*assignmentBatch
	jobWrites   []jobWrite
	deletedKeys []string
}

func (p *persister) newTransaction() *transaction {
	t := &transaction{maxOps: p.settings.MaxTransactionOps, budget: p.writeBudget.tokens}
	//mutation:transaction-needs-leadership
	t.expect(records.LeaderKey, p.term)
	return t
}

// canAdd reports whether n more changes are within the limits.
func (t *transaction) canAdd(n int) bool {
	//mutation:write-budget
	return t.opCount()+n <= t.maxOps && t.bytes < tuning.MaxTxnBytes && float64(t.opCount()+n) <= t.budget
}

// budgetLeft is how many more changes the write budget allows.
func (t *transaction) budgetLeft() float64 { return t.budget - float64(t.opCount()) }

func (t *transaction) opCount() int { return len(t.request.Then) }

// expect makes the transaction depend on a key's revision; 0: the key is absent.
func (t *transaction) expect(key string, modRevision uint64) {
	t.request.If = append(t.request.If, wire.Compare{Key: key, ModRevision: modRevision})
}

// set writes a value of about so many bytes.
func (t *transaction) set(key string, value any, bytes int) {
	t.request.Then = append(t.request.Then, wire.Op{Set: key, Value: value})
	t.bytes += bytes
}

func (t *transaction) delete(key string) {
	t.request.Then = append(t.request.Then, wire.Op{Delete: key})
}
