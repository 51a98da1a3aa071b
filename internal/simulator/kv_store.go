package simulator

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// maxComparesPerOp is the ratio of the maximum number of compares in a transaction to the maximum
// number of its operations.
const maxComparesPerOp = 4

// KVStoreLimits are the limits of a key-value store, which may change while it runs.
type KVStoreLimits struct {
	MaxTxnOps int // maximum number of operations in a transaction
	// MaxValueBytes is the maximum size of a value in JSON. 0 means no limit.
	MaxValueBytes int
	// WriteRate is the maximum number of puts and deletes per second. The maximum burst is what
	// the rate allows in one second. 0 means no limit.
	WriteRate float64
}

// KVStore simulates the key-value store.
type KVStore struct {
	Revision    uint64 // revision of the last change
	Unavailable bool   // whether there is an outage: callers refuse requests, and no lease expires
	KVStoreLimits

	rejected             int           // transactions that exceeded a limit on sizes
	writeBudget          float64       // puts and deletes that WriteRate allows at writeBudgetUpdatedAt
	writeBudgetUpdatedAt time.Duration // when writeBudget was last computed
	items                map[string]wire.KeyValue
	leases               map[uint64]*lease
	lastLeaseID          uint64
	log                  []wire.WatchEvent
	maxLogEntries        int
}

// NewKVStore returns an empty store that keeps the last maxLogEntries changes for watches.
func NewKVStore(maxTxnOps, maxLogEntries int) *KVStore {
	return &KVStore{
		KVStoreLimits: KVStoreLimits{MaxTxnOps: maxTxnOps},
		items:         map[string]wire.KeyValue{},
		leases:        map[uint64]*lease{},
		maxLogEntries: maxLogEntries,
	}
}

// StartOutage marks the store as unavailable. No lease expires before EndOutage.
func (s *KVStore) StartOutage() { s.Unavailable = true }

// EndOutage marks the store as available again and renews all leases.
func (s *KVStore) EndOutage(now time.Duration) {
	if s.Unavailable {
		for _, l := range s.leases {
			l.renew(now)
		}
	}
	s.Unavailable = false
}

// Get returns the value of a key. The ModRevision of a missing key is 0.
func (s *KVStore) Get(now time.Duration, key string) wire.KeyValue {
	s.ExpireLeases(now)
	return s.items[key]
}

// Range returns at most limit keys with the prefix that sort after the key from, in order.
func (s *KVStore) Range(now time.Duration, prefix, from string, limit int) wire.RangeReply {
	s.ExpireLeases(now)
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	reply := wire.RangeReply{Items: []wire.KeyValue{}, Revision: s.Revision}
	if len(keys) > limit {
		keys, reply.More = keys[:limit], true
	}
	for _, key := range keys {
		reply.Items = append(reply.Items, s.items[key])
	}
	return reply
}

// Commit runs a transaction and returns the HTTP status and the reply that the protocol specifies.
func (s *KVStore) Commit(now time.Duration, txn wire.Txn) (status int, reply wire.TxnReply) {
	s.ExpireLeases(now)
	if problem := s.exceededLimit(txn); problem != "" {
		s.rejected++
		return http.StatusBadRequest, wire.TxnReply{Error: problem}
	}
	if !s.consumeWriteBudget(now, len(txn.Then)) {
		return http.StatusTooManyRequests, wire.TxnReply{Error: "too many writes"}
	}
	if !s.leasesExist(txn.Then) {
		return http.StatusBadRequest, wire.TxnReply{Error: "no such lease"}
	}
	if failed := s.failedCompares(txn.If); len(failed) > 0 {
		return http.StatusConflict, wire.TxnReply{Revision: s.Revision, FailedKeys: failed}
	}
	if len(txn.Then) > 0 {
		s.applyOps(txn.Then)
	}
	return http.StatusOK, wire.TxnReply{Revision: s.Revision}
}

// RejectedTransactions returns the number of transactions that exceeded a limit on sizes.
func (s *KVStore) RejectedTransactions() int { return s.rejected }

// exceededLimit describes which limit on sizes a transaction exceeds, or returns "" if there is
// none. Limits on bytes refer to the JSON encoding.
func (s *KVStore) exceededLimit(txn wire.Txn) string {
	if len(txn.Then) > s.MaxTxnOps || len(txn.If) > maxComparesPerOp*s.MaxTxnOps {
		return "too many operations"
	}
	bytes := 0
	for _, compare := range txn.If {
		bytes += wire.JSONSize(compare)
	}
	for _, op := range txn.Then {
		valueBytes := valueSize(op.Value)
		if s.MaxValueBytes > 0 && valueBytes > s.MaxValueBytes {
			return "the value is too large"
		}
		bytes += len(op.Set) + len(op.Delete) + valueBytes
	}
	if bytes > wire.MaxBody {
		return "the transaction is too large"
	}
	return ""
}

// consumeWriteBudget subtracts a number of operations from the write budget, or returns false if
// the budget is too small. The operations of a transaction whose compares fail count as well.
func (s *KVStore) consumeWriteBudget(now time.Duration, operations int) bool {
	if s.WriteRate <= 0 {
		return true
	}
	s.writeBudget = min(s.WriteRate, s.writeBudget+s.WriteRate*(now-s.writeBudgetUpdatedAt).Seconds())
	if s.writeBudgetUpdatedAt == 0 {
		s.writeBudget = s.WriteRate
	}
	s.writeBudgetUpdatedAt = now
	if float64(operations) > s.writeBudget {
		return false
	}
	s.writeBudget -= float64(operations)
	return true
}

func (s *KVStore) leasesExist(ops []wire.Op) bool {
	for _, op := range ops {
		if op.Set != "" && op.Lease != nil && s.leases[*op.Lease] == nil {
			return false
		}
	}
	return true
}

func (s *KVStore) failedCompares(compares []wire.Compare) (failed []string) {
	for _, compare := range compares {
		if s.items[compare.Key].ModRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// applyOps applies the operations of a transaction under one new revision.
func (s *KVStore) applyOps(ops []wire.Op) {
	s.Revision++
	for _, op := range ops {
		if op.Delete != "" {
			s.delete(op.Delete)
		} else {
			s.set(op)
		}
	}
}

func (s *KVStore) set(op wire.Op) {
	value, err := wire.Marshal(op.Value)
	if err != nil {
		panic(err) // a test passed a value that cannot be encoded as CBOR
	}
	item := wire.KeyValue{Key: op.Set, Value: value, ModRevision: s.Revision}
	if op.Lease != nil {
		item.Lease = *op.Lease
	}
	s.items[op.Set] = item
	s.appendLog(wire.WatchEvent{Set: op.Set, Value: value, ModRevision: s.Revision})
}

func (s *KVStore) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.appendLog(wire.WatchEvent{Delete: key, ModRevision: s.Revision})
}
