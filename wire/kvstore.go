package wire

// KeyValue is a key of the key-value store with its value. ModRevision is 0 if the key does not
// exist; Lease is 0 if the key is not attached to a lease.
type KeyValue struct {
	Key         string `cbor:"key"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
	Lease       uint64 `cbor:"permit"`
}

// RangeReply is one page of the response to a range read.
type RangeReply struct {
	Items    []KeyValue `cbor:"items"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"epoch"`
}

// Compare is a condition of a transaction: the key was last modified at ModRevision. A
// ModRevision of 0 requires that the key does not exist.
type Compare struct {
	Key         string `cbor:"key"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op sets or deletes a key. A key that is set with a lease is deleted when the lease expires or
// is revoked.
type Op struct {
	Set    string  `cbor:"set,omitempty"`
	Delete string  `cbor:"delete,omitempty"`
	Value  any     `cbor:"v,omitempty"`
	Lease  *uint64 `cbor:"permit,omitempty"`
}

// Txn is the body of POST /commit: a compare-and-swap transaction. If all conditions in If hold,
// all operations in Then are applied; otherwise none is.
type Txn struct {
	If   []Compare `cbor:"if,omitempty"`
	Then []Op      `cbor:"apply,omitempty"`
}

// TxnReply is the response to a transaction. FailedKeys names the keys whose conditions failed.
type TxnReply struct {
	Revision   uint64   `cbor:"epoch"`
	FailedKeys []string `cbor:"failed"`
	Error      string   `cbor:"error"`
}

// LeaseRequest is the body of POST /holds, which creates a lease.
type LeaseRequest struct {
	TTLMilli int64 `cbor:"ttl_ms"`
}

// LeaseReply is the response to POST /holds.
type LeaseReply struct {
	ID uint64 `cbor:"permit"`
}

// WatchEvent is one change of a key. Either Set or Delete names the key.
type WatchEvent struct {
	Set         string `cbor:"set"`
	Delete      string `cbor:"delete"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
}

// WatchReply is the response to a watch: the changes up to and including Revision.
type WatchReply struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"log"`
}
