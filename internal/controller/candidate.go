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

// candidate acquires the leader's key in the key-value store. It has no state.
type candidate struct {
	store  *kvstore.Client
	record records.Leader // written when it wins
}

// acquire creates the leader's key on a new lease, and returns the revision of that and the
// lease. It fails with kvstore.ErrConflict where the key exists.
func (c candidate) acquire(ctx context.Context, leaseTTL time.Duration) (revision, lease uint64, err error) {
	lease, err = c.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	revision, err = c.createKey(ctx, lease)
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		revision, err = c.readKey(ctx, lease, err)
	}
	if err != nil {
		_ = c.store.RevokeLease(ctx, lease) // else it expires
		return 0, 0, fmt.Errorf("create leader's key: %w", err)
	}
	return revision, lease, nil
}

func (c candidate) createKey(ctx context.Context, lease uint64) (revision uint64, err error) {
	revision, _, err = c.store.Commit(ctx, kvstore.PriorityLeader, wire.Txn{
		If:   []wire.Compare{{Key: records.LeaderKey}},
		Then: []wire.Op{{Set: records.LeaderKey, Value: c.record, Lease: &lease}},
	})
	return revision, err
}

// readKey returns the key's revision if it is ours, after a write whose answer was lost, or
// else that write's error. Should the write be carried out later still, the key ends with
// its lease.
func (c candidate) readKey(ctx context.Context, lease uint64, writeErr error) (revision uint64, err error) {
	item, err := c.store.Get(ctx, kvstore.PriorityLeader, records.LeaderKey)
	if err != nil || item.ModRevision == 0 || item.Lease != lease {
		return 0, writeErr
	}
	var stored records.Leader
	if wire.Unmarshal(item.Value, &stored) != nil || stored.BootID != c.record.BootID {
		return 0, writeErr
	}
	return item.ModRevision, nil
}
