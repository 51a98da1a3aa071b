package simulator

import (
	"slices"
	"sort"
	"time"
)

// lease is a lease of the key-value store. The keys attached to a lease are deleted when the lease
// is revoked.
type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

func (l *lease) renew(now time.Duration) { l.expiresAt = now + l.ttl }

// expiryDelay returns how long after its expiry a lease is revoked: 0 to 100 ms. It is computed
// from the lease id, so that leases have different delays, and the same delays in every run.
func expiryDelay(id uint64) time.Duration {
	const multiplier, delays = 37, 101
	return time.Duration(id*multiplier%delays) * time.Millisecond
}

// ExpireLeases revokes the leases that have expired. It does nothing during an outage.
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

// RenewLease renews a lease. It returns false if the lease does not exist, or if ExpireLeases has
// revoked it after its expiry.
func (s *KVStore) RenewLease(now time.Duration, id uint64) bool {
	s.ExpireLeases(now)
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.renew(now)
	return true
}

// RevokeLease ends a lease and deletes its keys under one new revision.
func (s *KVStore) RevokeLease(id uint64) {
	delete(s.leases, id)
	keys := s.keysWithLease(id)
	if len(keys) == 0 {
		return
	}
	s.Revision++
	for _, key := range keys {
		s.delete(key)
	}
}

func (s *KVStore) keysWithLease(id uint64) []string {
	var keys []string
	for key, item := range s.items {
		if item.Lease == id && id != 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
