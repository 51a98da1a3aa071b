package wire

// KeyValue is a key of the key-value store with its value. A missing key has ModRevision 0;
// Lease is 0 if the key is on no lease.
type KeyValue struct {
	Key         string `cbor:"key"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
	Lease       uint64 `cbor:"permit"`
}

// RangeReply is one page of the answer to a range read.
type RangeReply struct {
	Items    []KeyValue `cbor:"items"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"epoch"`
}

// Compare holds when the key was last modified at ModRevision; 0 means that the key does
// not exist.
type Compare struct {
	Key         string `cbor:"key"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op sets or deletes a key. A key that is set with a lease is deleted when the lease ends.
type Op struct {
	Set    string  `cbor:"set,omitempty"`
	Delete string  `cbor:"delete,omitempty"`
	Value  any     `cbor:"v,omitempty"`
	Lease  *uint64 `cbor:"permit,omitempty"`
}

// Txn is the body of POST /commit: a compare-and-swap transaction. All of Then is applied
// if all of If holds, else nothing.
type Txn struct {
	If   []Compare `cbor:"if,omitempty"`
	Then []Op      `cbor:"apply,omitempty"`
}

// TxnReply is the answer to a transaction.
type TxnReply struct {
	Revision   uint64   `cbor:"epoch"`
	FailedKeys []string `cbor:"failed"`
	Error      string   `cbor:"error"`
}

// LeaseRequest is the body of POST /holds.
type LeaseRequest struct {
	TTLMilli int64 `cbor:"ttl_ms"`
}

// LeaseReply is the answer to POST /holds.
type LeaseReply struct {
	ID uint64 `cbor:"permit"`
}

// WatchEvent is one change of a key.
type WatchEvent struct {
	Set         string `cbor:"set"`
	Delete      string `cbor:"delete"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
}

// WatchReply is the answer to a watch: the changes up to Revision.
type WatchReply struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"log"`
}
