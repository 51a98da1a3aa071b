package wire

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key         string `cbor:"key"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
	Lease       uint64 `cbor:"permit"`
}

// RangeReply is the answer to a ranged read.
type RangeReply struct {
	Items    []KeyValue `cbor:"items"`
	More     bool       `cbor:"more"`
	Revision uint64     `cbor:"epoch"`
}

// Compare holds when the key has the stamp; 0 means that it does not exist.
type Compare struct {
	Key         string `cbor:"key"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op sets or deletes a key.
type Op struct {
	Set    string  `cbor:"set,omitempty"`
	Delete string  `cbor:"delete,omitempty"`
	Value  any     `cbor:"v,omitempty"`
	Lease  *uint64 `cbor:"permit,omitempty"`
}

// Txn is the body of POST /commit.
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

// WatchEvent is one change in a watch's answer.
type WatchEvent struct {
	Set         string `cbor:"set"`
	Delete      string `cbor:"delete"`
	Value       Raw    `cbor:"v"`
	ModRevision uint64 `cbor:"stamp"`
}

// WatchReply is a watch's answer.
type WatchReply struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"log"`
}
