// Package simulator holds stand-ins for the outside systems, written from the
// protocol: the state service, the cloud and the workers, with a checker of the
// rules. They are models that are told the time; tests drive them directly, in
// simulated time, or over HTTP.
package simulator

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// KVStore is a stand-in for the state service.
type KVStore struct {
	Revision    uint64
	Unavailable bool // refuses everything, and no lease ends
	MaxTxnOps   int
	// WriteRate is how many puts and deletes a second it takes, with a burst of one
	// second's worth; 0: any number.
	WriteRate float64

	writeBudget   float64       // puts and deletes that it takes now
	writeBudgetAt time.Duration // when room was counted
	items         map[string]wire.KeyValue
	leases        map[uint64]*lease
	lastLeaseID   uint64
	log           []wire.WatchEvent
	maxLogEntries int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// NewKVStore makes an empty service that remembers keep changes.
func NewKVStore(maxTxnOps, maxLogEntries int) *KVStore {
	return &KVStore{MaxTxnOps: maxTxnOps, items: map[string]wire.KeyValue{}, leases: map[uint64]*lease{}, maxLogEntries: maxLogEntries}
}

// SetUnavailable starts or ends an outage. After it, every lease has its full time.
func (s *KVStore) SetUnavailable(now time.Duration, unavailable bool) {
	if s.Unavailable && !unavailable {
		for _, l := range s.leases {
			l.expiresAt = now + l.ttl
		}
	}
	s.Unavailable = unavailable
}

// ExpireLeases ends the leases whose time is over.
func (s *KVStore) ExpireLeases(now time.Duration) {
	if s.Unavailable {
		return
	}
	var expired []uint64
	for id, l := range s.leases {
		// It may end up to 100 ms late, but never early.
		if now > l.expiresAt+time.Duration(id*37%101)*time.Millisecond {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.RevokeLease(id)
	}
}

// GrantLease makes a lease.
func (s *KVStore) GrantLease(now, ttl time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, now + ttl}
	return s.lastLeaseID
}

// RenewLease renews a lease, if it has not ended.
func (s *KVStore) RenewLease(now time.Duration, id uint64) bool {
	s.ExpireLeases(now)
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now + l.ttl
	return true
}

// RevokeLease ends a lease and removes its keys.
func (s *KVStore) RevokeLease(id uint64) {
	delete(s.leases, id)
	var deleted []string
	for k, it := range s.items {
		if it.Lease == id && id != 0 {
			deleted = append(deleted, k)
		}
	}
	if len(deleted) == 0 {
		return
	}
	sort.Strings(deleted)
	s.Revision++
	for _, k := range deleted {
		delete(s.items, k)
		s.appendLog(wire.WatchEvent{Delete: k, ModRevision: s.Revision})
	}
}

func (s *KVStore) appendLog(e wire.WatchEvent) {
	s.log = append(s.log, e)
	if len(s.log) > s.maxLogEntries {
		s.log = s.log[len(s.log)-s.maxLogEntries:]
	}
}

// Get reads a key; a missing one has stamp 0.
func (s *KVStore) Get(now time.Duration, key string) wire.KeyValue {
	s.ExpireLeases(now)
	return s.items[key]
}

// Range reads up to most keys with the prefix after from.
func (s *KVStore) Range(now time.Duration, prefix, from string, limit int) wire.RangeReply {
	s.ExpireLeases(now)
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.RangeReply{Items: []wire.KeyValue{}, Revision: s.Revision}
	for _, k := range keys {
		if len(p.Items) == limit {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[k])
	}
	return p
}

// Commit runs a transaction. status is the protocol's.
func (s *KVStore) Commit(now time.Duration, t wire.Txn) (status int, r wire.TxnReply) {
	s.ExpireLeases(now)
	if len(t.Then) > s.MaxTxnOps || len(t.If) > 4*s.MaxTxnOps {
		return 400, wire.TxnReply{Error: "too many operations"}
	}
	if s.WriteRate > 0 {
		s.writeBudget = min(s.WriteRate, s.writeBudget+s.WriteRate*(now-s.writeBudgetAt).Seconds())
		if s.writeBudgetAt == 0 {
			s.writeBudget = s.WriteRate
		}
		s.writeBudgetAt = now
		if float64(len(t.Then)) > s.writeBudget {
			return 429, wire.TxnReply{Error: "too many writes"}
		}
		// Those of transactions whose conditions fail count as well.
		s.writeBudget -= float64(len(t.Then))
	}
	for _, c := range t.Then {
		if c.Set != "" && c.Lease != nil && s.leases[*c.Lease] == nil {
			return 400, wire.TxnReply{Error: "no such lease"}
		}
	}
	for _, c := range t.If {
		if s.items[c.Key].ModRevision != c.ModRevision {
			r.FailedKeys = append(r.FailedKeys, c.Key)
		}
	}
	r.Revision = s.Revision
	if len(r.FailedKeys) > 0 {
		return 409, r
	}
	if len(t.Then) == 0 {
		return 200, r
	}
	s.Revision++
	r.Revision = s.Revision
	for _, c := range t.Then {
		if c.Delete != "" {
			if _, ok := s.items[c.Delete]; ok {
				delete(s.items, c.Delete)
				s.appendLog(wire.WatchEvent{Delete: c.Delete, ModRevision: s.Revision})
			}
			continue
		}
		raw, err := wire.Marshal(c.Value)
		if err != nil {
			panic(err) // a test handed in what has no CBOR form
		}
		it := wire.KeyValue{Key: c.Set, Value: raw, ModRevision: s.Revision}
		if c.Lease != nil {
			it.Lease = *c.Lease
		}
		s.items[c.Set] = it
		s.appendLog(wire.WatchEvent{Set: c.Set, Value: raw, ModRevision: s.Revision})
	}
	return 200, r
}

// Changes lists the changes with the prefix after from; ok is false if they are
// no longer kept.
func (s *KVStore) Changes(now time.Duration, prefix string, from uint64) (c wire.WatchReply, ok bool) {
	s.ExpireLeases(now)
	c = wire.WatchReply{Revision: s.Revision, Events: []wire.WatchEvent{}}
	if len(s.log) == s.maxLogEntries && from+1 < s.log[0].ModRevision {
		return c, false
	}
	for _, e := range s.log {
		if e.ModRevision > from && (strings.HasPrefix(e.Set, prefix) && e.Set != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "") {
			c.Events = append(c.Events, e)
		}
	}
	return c, true
}
