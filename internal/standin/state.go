// Package standin holds stand-ins for the outside systems, written from the
// protocol: the state service, the cloud and the workers, with a checker of the
// rules. They are models that are told the time; tests drive them directly, in
// simulated time, or over HTTP.
package standin

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// State is a stand-in for the state service.
type State struct {
	Epoch  uint64
	Down   bool // refuses everything, and no lease ends
	TxnOps int
	// Writes is how many puts and deletes a second it takes, with a burst of one
	// second's worth; 0: any number.
	Writes float64

	room   float64       // puts and deletes that it takes now
	roomAt time.Duration // when room was counted
	items  map[string]wire.Item
	leases map[uint64]*lease
	nextID uint64
	log    []wire.LogEntry
	keep   int
}

type lease struct {
	ttl time.Duration
	end time.Duration
}

// NewState makes an empty service that remembers keep changes.
func NewState(txnOps, keep int) *State {
	return &State{TxnOps: txnOps, items: map[string]wire.Item{}, leases: map[uint64]*lease{}, keep: keep}
}

// SetDown starts or ends an outage. After it, every lease has its full time.
func (s *State) SetDown(now time.Duration, down bool) {
	if s.Down && !down {
		for _, l := range s.leases {
			l.end = now + l.ttl
		}
	}
	s.Down = down
}

// Expire ends the leases whose time is over.
func (s *State) Expire(now time.Duration) {
	if s.Down {
		return
	}
	var over []uint64
	for id, l := range s.leases {
		// It may end up to 100 ms late, but never early.
		if now > l.end+time.Duration(id*37%101)*time.Millisecond {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		s.Revoke(id)
	}
}

// Grant makes a lease.
func (s *State) Grant(now, ttl time.Duration) uint64 {
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, now + ttl}
	return s.nextID
}

// Renew renews a lease, if it has not ended.
func (s *State) Renew(now time.Duration, id uint64) bool {
	s.Expire(now)
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.end = now + l.ttl
	return true
}

// Revoke ends a lease and removes its keys.
func (s *State) Revoke(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, it := range s.items {
		if it.Permit == id && id != 0 {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.Epoch++
	for _, k := range gone {
		delete(s.items, k)
		s.note(wire.LogEntry{Delete: k, Stamp: s.Epoch})
	}
}

func (s *State) note(e wire.LogEntry) {
	s.log = append(s.log, e)
	if len(s.log) > s.keep {
		s.log = s.log[len(s.log)-s.keep:]
	}
}

// Get reads a key; a missing one has stamp 0.
func (s *State) Get(now time.Duration, key string) wire.Item {
	s.Expire(now)
	return s.items[key]
}

// Range reads up to most keys with the prefix after from.
func (s *State) Range(now time.Duration, prefix, from string, most int) wire.Page {
	s.Expire(now)
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := wire.Page{Items: []wire.Item{}, Epoch: s.Epoch}
	for _, k := range keys {
		if len(p.Items) == most {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[k])
	}
	return p
}

// Commit runs a transaction. status is the protocol's.
func (s *State) Commit(now time.Duration, t wire.Txn) (status int, r wire.TxnReply) {
	s.Expire(now)
	if len(t.Apply) > s.TxnOps || len(t.If) > 4*s.TxnOps {
		return 400, wire.TxnReply{Error: "too many operations"}
	}
	if s.Writes > 0 {
		s.room = min(s.Writes, s.room+s.Writes*(now-s.roomAt).Seconds())
		if s.roomAt == 0 {
			s.room = s.Writes
		}
		s.roomAt = now
		if float64(len(t.Apply)) > s.room {
			return 429, wire.TxnReply{Error: "too many writes"}
		}
		// Those of transactions whose conditions fail count as well.
		s.room -= float64(len(t.Apply))
	}
	for _, c := range t.Apply {
		if c.Set != "" && c.Permit != nil && s.leases[*c.Permit] == nil {
			return 400, wire.TxnReply{Error: "no such lease"}
		}
	}
	for _, c := range t.If {
		if s.items[c.Key].Stamp != c.Stamp {
			r.Failed = append(r.Failed, c.Key)
		}
	}
	r.Epoch = s.Epoch
	if len(r.Failed) > 0 {
		return 409, r
	}
	if len(t.Apply) == 0 {
		return 200, r
	}
	s.Epoch++
	r.Epoch = s.Epoch
	for _, c := range t.Apply {
		if c.Delete != "" {
			if _, ok := s.items[c.Delete]; ok {
				delete(s.items, c.Delete)
				s.note(wire.LogEntry{Delete: c.Delete, Stamp: s.Epoch})
			}
			continue
		}
		raw, err := wire.Marshal(c.Value)
		if err != nil {
			panic(err) // a test handed in what has no CBOR form
		}
		it := wire.Item{Key: c.Set, Value: raw, Stamp: s.Epoch}
		if c.Permit != nil {
			it.Permit = *c.Permit
		}
		s.items[c.Set] = it
		s.note(wire.LogEntry{Set: c.Set, Value: raw, Stamp: s.Epoch})
	}
	return 200, r
}

// Changes lists the changes with the prefix after from; ok is false if they are
// no longer kept.
func (s *State) Changes(now time.Duration, prefix string, from uint64) (c wire.Changes, ok bool) {
	s.Expire(now)
	c = wire.Changes{Epoch: s.Epoch, Log: []wire.LogEntry{}}
	if len(s.log) == s.keep && from+1 < s.log[0].Stamp {
		return c, false
	}
	for _, e := range s.log {
		if e.Stamp > from && (strings.HasPrefix(e.Set, prefix) && e.Set != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "") {
			c.Log = append(c.Log, e)
		}
	}
	return c, true
}
