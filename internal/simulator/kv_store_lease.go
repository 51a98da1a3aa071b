package simulator

import (
	"slices"
	"sort"
	"time"
)

// lease is a store lease. Its keys are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

func (l *lease) renew(now time.Duration) { l.expiresAt = now + l.ttl }

// expiryDelay is how late the store notices that a lease has expired: up to 100 ms, and
// never early. It differs from lease to lease and is the same in every run.
func expiryDelay(id uint64) time.Duration {
	const multiplier, delays = 37, 101
	return time.Duration(id*multiplier%delays) * time.Millisecond
}

// ExpireLeases revokes the leases that have expired.
func (s *KVStore) ExpireLeases(now time.Duration) {
	if s.Unavailable {
		return
	}
	var expired []uint64
	for id, l := range s.leases {
		if now > l.expiresAt+expiryDelay(id) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.RevokeLease(id)
	}
}

// GrantLease creates a lease and returns its id.
func (s *KVStore) GrantLease(now, ttl time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, now + ttl}
	return s.lastLeaseID
}

// RenewLease renews a lease. It returns false if there is no such lease any more.
func (s *KVStore) RenewLease(now time.Duration, id uint64) bool {
	s.ExpireLeases(now)
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.renew(now)
	return true
}

// RevokeLease ends a lease and deletes its keys in one revision.
func (s *KVStore) RevokeLease(id uint64) {
	delete(s.leases, id)
	keys := s.keysOfLease(id)
	if len(keys) == 0 {
		return
	}
	s.Revision++
	for _, key := range keys {
		s.delete(key)
	}
}

func (s *KVStore) keysOfLease(id uint64) []string {
	var keys []string
	for key, item := range s.items {
		if item.Lease == id && id != 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
