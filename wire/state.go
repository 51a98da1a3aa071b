package wire

// Item is a key of the state service with its value.
type Item struct {
	Key    string `cbor:"key"`
	Value  Raw    `cbor:"v"`
	Stamp  uint64 `cbor:"stamp"`
	Permit uint64 `cbor:"permit"`
}

// Page is the answer to a ranged read.
type Page struct {
	Items []Item `cbor:"items"`
	More  bool   `cbor:"more"`
	Epoch uint64 `cbor:"epoch"`
}

// Condition holds when the key has the stamp; 0 means that it does not exist.
type Condition struct {
	Key   string `cbor:"key"`
	Stamp uint64 `cbor:"stamp"`
}

// Change sets or deletes a key.
type Change struct {
	Set    string  `cbor:"set,omitempty"`
	Delete string  `cbor:"delete,omitempty"`
	Value  any     `cbor:"v,omitempty"`
	Permit *uint64 `cbor:"permit,omitempty"`
}

// Txn is the body of POST /commit.
type Txn struct {
	If    []Condition `cbor:"if,omitempty"`
	Apply []Change    `cbor:"apply,omitempty"`
}

// TxnReply is the answer to a transaction.
type TxnReply struct {
	Epoch  uint64   `cbor:"epoch"`
	Failed []string `cbor:"failed"`
	Error  string   `cbor:"error"`
}

// LeaseRequest is the body of POST /holds.
type LeaseRequest struct {
	TTLMilli int64 `cbor:"ttl_ms"`
}

// Lease is the answer to POST /holds.
type Lease struct {
	Permit uint64 `cbor:"permit"`
}

// LogEntry is one change in a watch's answer.
type LogEntry struct {
	Set    string `cbor:"set"`
	Delete string `cbor:"delete"`
	Value  Raw    `cbor:"v"`
	Stamp  uint64 `cbor:"stamp"`
}

// Changes is a watch's answer.
type Changes struct {
	Epoch uint64     `cbor:"epoch"`
	Log   []LogEntry `cbor:"log"`
}
