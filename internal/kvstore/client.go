// Package kvstore is the client of the consensus-backed key-value store: reads, watches,
// leases and compare-and-swap transactions, within a request budget of its own.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Errors of a request, tested by errors.Is.
var (
	// ErrUnavailable means that the request was not executed: the store is down or refuses
	// this controller.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrRateLimited means that the request was not executed: there were too many requests,
	// by the store's count or by the client's own budget.
	ErrRateLimited = errors.New("key-value store request rate exceeded")
	// ErrOutcomeUnknown means that there was no usable answer: the request may have been
	// executed, or may yet be executed later.
	ErrOutcomeUnknown = errors.New("key-value store request has an unknown outcome")
	// ErrConflict means that a comparison of a transaction did not hold.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the revision that a watch starts from is no longer kept.
	ErrCompacted = errors.New("revision compacted")
	// ErrMalformedRequest means that the store called the request malformed.
	ErrMalformedRequest = errors.New("key-value store calls the request malformed")
)

// leaseNotFoundReply is what the store answers to a transaction with a lease that has ended.
const leaseNotFoundReply = "no such lease"

// Client talks to the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL string
	rpc     *rpc.Client
	budget  *requestBudget
	health  healthTracker
}

// New makes a client for the store at addr that allows itself requestsPerSecond.
func New(addr string, requestsPerSecond float64) *Client {
	now := time.Now()
	return &Client{
		baseURL: "http://" + addr,
		rpc:     rpc.New(tuning.MaxStoreConns, tuning.MaxStoreConns, tuning.StoreTimeout, tuning.MaxStoreResponseBytes),
		budget:  newRequestBudget(requestsPerSecond, now),
		health:  healthTracker{createdAt: now},
	}
}

// UnservedFor returns for how long the store has not served this client; 0 if the last
// request that it is known of was served.
func (c *Client) UnservedFor() time.Duration { return c.health.unservedFor() }

// call describes one request.
type call struct {
	priority Priority
	timeout  time.Duration
	method   string
	path     string
	body     any // nil: none
	answer   any // decoded into; nil: not read
}

// do sends a request and returns the status of the answer.
func (c *Client) do(ctx context.Context, request call) (status int, err error) {
	if err = c.budget.take(request.priority); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	sentAt := time.Now()
	status, err = c.rpc.Call(ctx, request.method, c.baseURL+request.path, request.body, request.answer)
	if err == nil && request.method == http.MethodGet && time.Since(sentAt) > request.timeout {
		// A process pause: what the answer says was true long ago.
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.health.failed(sentAt)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status == http.StatusServiceUnavailable {
		c.health.failed(sentAt)
		return status, ErrUnavailable
	}
	c.health.served(sentAt)
	if status == http.StatusTooManyRequests {
		return status, ErrRateLimited
	}
	return status, nil
}

// unexpectedStatus is the error of an answer that the protocol does not have.
func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// Get reads a key. A missing one has ModRevision 0.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	status, err := c.do(ctx, call{
		priority: priority, timeout: tuning.StoreTimeout,
		method: http.MethodGet, path: "/kv/" + key, answer: &item,
	})
	switch {
	case err != nil:
		return wire.KeyValue{}, fmt.Errorf("get %s: %w", key, err)
	case status == http.StatusNotFound:
		return wire.KeyValue{Key: key}, nil
	case status != http.StatusOK || item.ModRevision == 0:
		return wire.KeyValue{}, fmt.Errorf("get %s: %w", key, unexpectedStatus(status))
	}
	return item, nil
}

// Range reads one page of at most limit keys that start with prefix, after the key from.
func (c *Client) Range(ctx context.Context, priority Priority, prefix, from string, limit int) (wire.RangeReply, error) {
	query := url.Values{"starts": {prefix}, "most": {strconv.Itoa(limit)}}
	if from != "" {
		query.Set("from", from)
	}
	var reply wire.RangeReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: 2 * tuning.StoreTimeout,
		method: http.MethodGet, path: "/kv?" + query.Encode(), answer: &reply,
	})
	if err != nil {
		return reply, fmt.Errorf("range %s: %w", prefix, err)
	}
	if status != http.StatusOK {
		return reply, fmt.Errorf("range %s: %w", prefix, unexpectedStatus(status))
	}
	return reply, nil
}

// RangeAll reads every key that starts with prefix. The revision is that of the first page:
// a watch from there misses nothing.
func (c *Client) RangeAll(ctx context.Context, priority Priority, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	from := ""
	for {
		page, err := c.Range(ctx, priority, prefix, from, tuning.StorePageSize)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// Commit runs a transaction and returns the revision of its changes. With ErrConflict it
// also returns the keys whose comparison did not hold.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (revision uint64, failedKeys []string, err error) {
	var reply wire.TxnReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: "/commit", body: txn, answer: &reply,
	})
	if err == nil {
		err = commitError(status, reply)
	}
	if err != nil && !errors.Is(err, ErrConflict) {
		return 0, nil, fmt.Errorf("commit: %w", err)
	}
	return reply.Revision, reply.FailedKeys, err
}

func commitError(status int, reply wire.TxnReply) error {
	switch {
	case status == http.StatusOK && reply.Revision == 0:
		return fmt.Errorf("%w: no revision", ErrOutcomeUnknown)
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusBadRequest && reply.Error == leaseNotFoundReply:
		return ErrLeaseNotFound
	case status == http.StatusBadRequest:
		return fmt.Errorf("%w: %s", ErrMalformedRequest, reply.Error)
	}
	return unexpectedStatus(status)
}

// GrantLease makes a lease and returns its id.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	var reply wire.LeaseReply
	status, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: "/holds", body: wire.LeaseRequest{TTLMilli: ttl.Milliseconds()}, answer: &reply,
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	if status != http.StatusOK || reply.ID == 0 {
		return 0, fmt.Errorf("grant lease: %w", unexpectedStatus(status))
	}
	return reply.ID, nil
}

// RenewLease renews a lease; ErrLeaseNotFound says that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodPost, path: fmt.Sprintf("/holds/%d/renew", lease), body: struct{}{},
	})
	switch {
	case err != nil:
		return fmt.Errorf("renew lease %d: %w", lease, err)
	case status == http.StatusNotFound:
		return fmt.Errorf("renew lease %d: %w", lease, ErrLeaseNotFound)
	case status != http.StatusOK:
		return fmt.Errorf("renew lease %d: %w", lease, unexpectedStatus(status))
	}
	return nil
}

// RevokeLease ends a lease, and with it the keys that are on it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, call{
		priority: PriorityLeader, timeout: tuning.StoreTimeout,
		method: http.MethodDelete, path: fmt.Sprintf("/holds/%d", lease),
	})
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", lease, err)
	}
	return nil
}

// Watch returns the changes of keys with the prefix after the revision from, and waits up
// to block for the first of them. ErrCompacted says that the keys have to be read again.
func (c *Client) Watch(ctx context.Context, priority Priority, prefix string, from uint64, block time.Duration) (wire.WatchReply, error) {
	query := url.Values{
		"starts":   {prefix},
		"from":     {strconv.FormatUint(from, 10)},
		"block_ms": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	timeout := tuning.StoreTimeout
	if block > 0 {
		timeout = block + tuning.WatchTimeoutMargin
	}
	var reply wire.WatchReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: timeout,
		method: http.MethodGet, path: "/changes?" + query.Encode(), answer: &reply,
	})
	switch {
	case errors.Is(err, rpc.ErrAnswerTooLarge):
		// This answer alone has no size limit. Whoever was away for thousands of
		// changes reads the keys again, in pages; else it would never catch up.
		return reply, fmt.Errorf("watch %s: %w", prefix, ErrCompacted)
	case err != nil:
		return reply, fmt.Errorf("watch %s: %w", prefix, err)
	case status == http.StatusGone:
		return reply, fmt.Errorf("watch %s: %w", prefix, ErrCompacted)
	case status != http.StatusOK:
		return reply, fmt.Errorf("watch %s: %w", prefix, unexpectedStatus(status))
	}
	return reply, nil
}
