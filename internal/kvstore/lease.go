package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// GrantLease creates a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error) {
	var reply wire.LeaseReply
	status, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: "/holds", body: wire.LeaseRequest{TTLMilli: ttl.Milliseconds()}, response: &reply,
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	if status != http.StatusOK || reply.ID == 0 {
		return 0, fmt.Errorf("grant lease: %w", unexpectedStatus(status))
	}
	return reply.ID, nil
}

// RenewLease renews a lease. It returns ErrLeaseNotFound if the lease has ended.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	status, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: fmt.Sprintf("/holds/%d/renew", leaseID), body: struct{}{},
	})
	switch {
	case err != nil:
		return fmt.Errorf("renew lease %d: %w", leaseID, err)
	case status == http.StatusNotFound:
		return fmt.Errorf("renew lease %d: %w", leaseID, ErrLeaseNotFound)
	case status != http.StatusOK:
		return fmt.Errorf("renew lease %d: %w", leaseID, unexpectedStatus(status))
	}
	return nil
}

// RevokeLease ends a lease, which deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodDelete, path: fmt.Sprintf("/holds/%d", leaseID),
	})
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", leaseID, err)
	}
	return nil
}
