//go:build review

package standin2

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	keptChanges   = 10_000
	maxPageItems  = 1000
	expiryTick    = 10 * time.Millisecond
	refusedByRate = "too many requests"
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS, WriteRPS float64
	TxnOps        int
	ValueKB       float64
}

// State is the state service.
type State struct {
	limits StateLimits
	record *Record

	mu        sync.Mutex
	epoch     uint64
	items     map[string]wire.KeyValue
	holds     map[uint64]*hold
	lastHold  uint64
	log       []wire.WatchEvent
	changed   chan struct{} // closed with the next change
	refused   map[string]bool
	requests  bucket
	writes    bucket
	onRenewal func(node string)
}

// Txn is a transaction as received, with undecoded values.
type Txn struct {
	If    []wire.Compare `cbor:"if"`
	Apply []TxnOp        `cbor:"apply"`
}

// TxnOp is a change in a transaction.
type TxnOp struct {
	Set    string   `cbor:"set"`
	Delete string   `cbor:"delete"`
	Value  wire.Raw `cbor:"v"`
	Hold   *uint64  `cbor:"permit"`
}

type hold struct {
	ttl     time.Duration
	expires time.Time
}

// bucket limits a rate, with bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func newBucket(rate, burst float64) bucket {
	return bucket{rate: rate, tokens: burst, at: time.Now()}
}

func (b *bucket) take(n, burst float64) bool {
	now := time.Now()
	b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// NewState returns an empty state service.
func NewState(limits StateLimits, record *Record) *State {
	s := &State{
		limits: limits, record: record, items: map[string]wire.KeyValue{}, holds: map[uint64]*hold{},
		changed: make(chan struct{}), refused: map[string]bool{},
		requests: newBucket(limits.RPS, limits.RPS), writes: newBucket(limits.WriteRPS, limits.WriteRPS),
	}
	go s.expireHolds()
	return s
}

// OnRenewal sets a function that is called for each renewal of a lease. It must not call the state
// service.
func (s *State) OnRenewal(call func(node string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRenewal = call
}

// Refuse makes the state service answer 503 to one controller alone, or serve it again.
func (s *State) Refuse(node string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refuse
}

// Value decodes the value of a key, and returns its revision and lease; 0 if there is no such key.
func (s *State) Value(key string, value any) (stamp, permit uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok || wire.Unmarshal(item.Value, value) != nil {
		return 0, 0
	}
	return item.ModRevision, item.Lease
}

// Handler returns the handler for one controller.
func (s *State) Handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", s.serve(node, s.list))
	mux.HandleFunc("GET /kv/", s.serve(node, s.get))
	mux.HandleFunc("POST /commit", s.serve(node, s.commit))
	mux.HandleFunc("POST /holds", s.serve(node, s.grant))
	mux.HandleFunc("POST /holds/{id}/renew", s.serve(node, s.renew(node)))
	mux.HandleFunc("DELETE /holds/{id}", s.serve(node, s.end(node)))
	mux.HandleFunc("GET /changes", s.changes(node))
	return mux
}

// serve returns a handler that answers 503 and 429 where due, and else runs with the lock held.
func (s *State) serve(node string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.admit(w, node) {
			return
		}
		handler(w, r)
	}
}

func (s *State) admit(w http.ResponseWriter, node string) bool {
	if s.refused[node] {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return false
	}
	if !s.requests.take(1, s.limits.RPS) {
		writeError(w, http.StatusTooManyRequests, refusedByRate)
		return false
	}
	return true
}

func (s *State) get(w http.ResponseWriter, r *http.Request) {
	item, ok := s.items[strings.TrimPrefix(r.URL.Path, "/kv/")]
	if !ok {
		writeMessage(w, http.StatusNotFound, wire.TxnReply{Revision: s.epoch})
		return
	}
	writeMessage(w, http.StatusOK, item)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, from := query.Get("starts"), query.Get("from")
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most < 1 {
		most = maxPageItems
	}
	reply := wire.RangeReply{Items: []wire.KeyValue{}, Revision: s.epoch}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= from {
			continue
		}
		if len(reply.Items) == min(most, maxPageItems) {
			reply.More = true
			break
		}
		reply.Items = append(reply.Items, s.items[key])
	}
	writeMessage(w, http.StatusOK, reply)
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var txn Txn
	if err := readMessage(r, &txn); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	status, reply := s.apply(&txn)
	writeMessage(w, status, reply)
}

// apply runs a transaction.
func (s *State) apply(txn *Txn) (status int, reply wire.TxnReply) {
	reply.FailedKeys = []string{}
	if len(txn.Apply) > s.limits.TxnOps || len(txn.If) > 4*s.limits.TxnOps {
		reply.Error = "too many operations"
		return http.StatusBadRequest, reply
	}
	for _, op := range txn.Apply {
		// The limit is on the JSON form, which is larger than the CBOR form: this is lenient.
		if float64(len(op.Value)) > s.limits.ValueKB*1024 {
			reply.Error = "value too large"
			return http.StatusBadRequest, reply
		}
	}
	if !s.writes.take(float64(len(txn.Apply)), s.limits.WriteRPS) {
		reply.Error = refusedByRate
		return http.StatusTooManyRequests, reply
	}
	for _, op := range txn.Apply {
		if op.Set != "" && op.Hold != nil && s.holds[*op.Hold] == nil {
			reply.Error = "no such lease"
			return http.StatusBadRequest, reply
		}
	}
	reply.Revision = s.epoch
	for _, compare := range txn.If {
		if s.items[compare.Key].ModRevision != compare.ModRevision {
			reply.FailedKeys = append(reply.FailedKeys, compare.Key)
		}
	}
	if len(reply.FailedKeys) > 0 {
		return http.StatusConflict, reply
	}
	s.change(txn.Apply)
	reply.Revision = s.epoch
	return http.StatusOK, reply
}

// change applies changes under one revision.
func (s *State) change(ops []TxnOp) {
	if len(ops) == 0 {
		return
	}
	s.epoch++
	for _, op := range ops {
		if op.Delete != "" {
			if _, ok := s.items[op.Delete]; ok {
				delete(s.items, op.Delete)
				s.log = append(s.log, wire.WatchEvent{Delete: op.Delete, ModRevision: s.epoch})
			}
			continue
		}
		item := wire.KeyValue{Key: op.Set, Value: op.Value, ModRevision: s.epoch}
		if op.Hold != nil {
			item.Lease = *op.Hold
		}
		s.items[op.Set] = item
		s.log = append(s.log, wire.WatchEvent{Set: op.Set, Value: op.Value, ModRevision: s.epoch})
	}
	if len(s.log) > keptChanges {
		s.log = s.log[len(s.log)-keptChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) grant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if readMessage(r, &request) != nil || request.TTLMilli < 100 || request.TTLMilli > 600_000 {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	ttl := time.Duration(request.TTLMilli) * time.Millisecond
	s.lastHold++
	s.holds[s.lastHold] = &hold{ttl: ttl, expires: time.Now().Add(ttl)}
	writeMessage(w, http.StatusOK, wire.LeaseReply{ID: s.lastHold})
}

func holdID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0 // never the id of a lease
	}
	return id
}

func (s *State) renew(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := holdID(r)
		h := s.holds[id]
		if h == nil {
			writeError(w, http.StatusNotFound, "no such lease")
			return
		}
		h.expires = time.Now().Add(h.ttl)
		if s.onRenewal != nil {
			s.onRenewal(node)
		}
		writeMessage(w, http.StatusOK, wire.LeaseReply{ID: id})
	}
}

func (s *State) end(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := holdID(r)
		if s.holds[id] == nil {
			writeError(w, http.StatusNotFound, "no such lease")
			return
		}
		s.endHold(id, "ended by "+node)
		writeMessage(w, http.StatusOK, wire.LeaseReply{ID: id})
	}
}

// endHold ends a lease and removes the keys attached to it.
func (s *State) endHold(id uint64, why string) {
	delete(s.holds, id)
	var ops []TxnOp
	for key, item := range s.items {
		if item.Lease == id {
			ops = append(ops, TxnOp{Delete: key})
		}
	}
	slices.SortFunc(ops, func(a, b TxnOp) int { return cmp.Compare(a.Delete, b.Delete) })
	if len(ops) > 0 {
		s.record.Printf("state: lease %d %s, removes %v", id, why, ops[0].Delete)
	}
	s.change(ops)
}

func (s *State) expireHolds() {
	for {
		time.Sleep(expiryTick)
		s.mu.Lock()
		for id, h := range s.holds {
			if time.Now().After(h.expires) {
				s.endHold(id, "expired")
			}
		}
		s.mu.Unlock()
	}
}

// changes waits for changes. While the controller is refused, its open watches wait.
func (s *State) changes(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		from, err := strconv.ParseUint(query.Get("from"), 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
		blockMilli, err := strconv.Atoi(cmp.Or(query.Get("block_ms"), "0"))
		if err != nil || blockMilli < 0 || blockMilli > 60_000 {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
		s.mu.Lock()
		admitted := s.admit(w, node)
		s.mu.Unlock()
		if !admitted {
			return
		}
		deadline := time.After(time.Duration(blockMilli) * time.Millisecond)
		for last := blockMilli == 0; ; {
			reply, status, changed := s.changesSince(node, query.Get("starts"), from)
			if status != http.StatusServiceUnavailable && (status != http.StatusOK || len(reply.Events) > 0) || last {
				if status == http.StatusOK {
					writeMessage(w, status, reply)
				} else {
					writeError(w, status, "no changes")
				}
				return
			}
			select {
			case <-changed:
			case <-deadline:
				last = true
			case <-r.Context().Done():
				return
			}
		}
	}
}

func (s *State) changesSince(node, prefix string, from uint64) (reply wire.WatchReply, status int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = wire.WatchReply{Revision: s.epoch, Events: []wire.WatchEvent{}}
	if s.refused[node] {
		return reply, http.StatusServiceUnavailable, s.changed
	}
	if len(s.log) == keptChanges && from+1 < s.log[0].ModRevision {
		return reply, http.StatusGone, s.changed
	}
	for _, event := range s.log {
		if event.ModRevision > from && strings.HasPrefix(event.Set+event.Delete, prefix) {
			reply.Events = append(reply.Events, event)
		}
	}
	return reply, http.StatusOK, s.changed
}
