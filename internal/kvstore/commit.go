package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// leaseNotFoundMessage is the store's error message for a transaction with a lease that has ended.
const leaseNotFoundMessage = "no such lease"

// Commit runs a transaction and returns the revision of its changes. With ErrConflict it also
// returns the keys whose comparisons failed.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (revision uint64, failedKeys []string, err error) {
	var reply wire.TxnReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: "/commit", body: txn, response: &reply,
	})
	if err == nil {
		err = commitError(status, reply)
	}
	c.commits.add(err)
	if errors.Is(err, ErrRejected) && c.OnRejection != nil {
		c.OnRejection(newRejection(txn, err))
	}
	if err != nil && !errors.Is(err, ErrConflict) {
		return 0, nil, fmt.Errorf("commit: %w", err)
	}
	return reply.Revision, reply.FailedKeys, err
}

// commitError returns the error for the store's response to a transaction, or nil if the
// transaction was committed.
func commitError(status int, reply wire.TxnReply) error {
	switch {
	case status == http.StatusOK && reply.Revision == 0:
		return fmt.Errorf("%w: response without a revision", ErrOutcomeUnknown)
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusBadRequest && reply.Error == leaseNotFoundMessage:
		return ErrLeaseNotFound
	case status == http.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrRejected, reply.Error)
	}
	return unexpectedStatus(status)
}
