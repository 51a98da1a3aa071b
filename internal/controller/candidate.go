package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// candidate acquires the leader's key in the key-value store. It is stateless.
type candidate struct {
	store  *kvstore.Client
	record records.Leader // the value that acquire writes to the leader's key
}

// acquire creates the leader's key with a new lease attached, and returns the key's revision and
// the lease's ID. It fails with kvstore.ErrConflict if the key exists.
func (c candidate) acquire(ctx context.Context, leaseTTL time.Duration) (revision, leaseID uint64, err error) {
	leaseID, err = c.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	revision, err = c.createKey(ctx, leaseID)
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		revision, err = c.readKey(ctx, leaseID, err)
	}
	if err != nil {
		_ = c.store.RevokeLease(ctx, leaseID) // on failure the lease expires
		return 0, 0, fmt.Errorf("create leader's key: %w", err)
	}
	return revision, leaseID, nil
}

func (c candidate) createKey(ctx context.Context, leaseID uint64) (revision uint64, err error) {
	revision, _, err = c.store.Commit(ctx, kvstore.PriorityLeader, wire.Txn{
		If:   []wire.Compare{{Key: records.LeaderKey}},
		Then: []wire.Op{{Set: records.LeaderKey, Value: c.record, Lease: &leaseID}},
	})
	return revision, err
}

// readKey finds out whether a write whose answer was lost has created the key. If the key is
// from this process and has its lease attached, readKey returns the key's revision, and otherwise
// writeErr. If the store applies the write only later, the key is removed with its lease.
func (c candidate) readKey(ctx context.Context, leaseID uint64, writeErr error) (revision uint64, err error) {
	current, err := c.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
	if err != nil || current.ModRevision == 0 || current.Lease != leaseID {
		return 0, writeErr
	}
	var stored records.Leader
	if wire.Unmarshal(current.Value, &stored) != nil || stored.BootID != c.record.BootID {
		return 0, writeErr
	}
	return current.ModRevision, nil
}
