// Package kvstore is the client of the state service, and holds the formats of
// the records kept there.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// What can become of a request besides an answer.
var (
	// ErrUnavailable means that the request was not executed: the service is down
	// or refuses this node.
	ErrUnavailable = errors.New("state service refused")
	// ErrRateLimited means that the request was not executed: too many requests.
	ErrRateLimited = errors.New("state service limits requests")
	// ErrOutcomeUnknown means that there was no usable answer: the request may have
	// been executed, or may yet be executed later.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("conflict")
	// ErrLeaseNotFound means that the lease of a write has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch's start is no longer kept.
	ErrCompacted = errors.New("revision too old")
	// ErrMalformedRequest means that the service called the request malformed.
	ErrMalformedRequest = errors.New("state service calls the request malformed")
)

// Priority orders requests under the rate limit.
type Priority int

// Ranks, highest first: the lease and the leader's writes, then what users
// wait for, then the rest.
const (
	PriorityLeader Priority = iota
	PriorityUser
	PriorityBackground
)

// Client talks to the state service.
type Client struct {
	baseURL           string
	rpc               *rpc.Client
	mu                sync.Mutex
	availableRequests float64 // requests that may be sent now
	refilledAt        time.Time
	requestsPerSecond float64

	// When the last request that the service answered was sent, and the last that it
	// did not, in nanoseconds since epoch. Not when the answer was read: a process
	// that stood still reads answers of long ago.
	createdAt                  time.Time
	lastServedAt, lastFailedAt atomic.Int64
}

// New makes a client for the service at addr; rps is the request rate that
// this node allows itself.
func New(addr string, requestsPerSecond float64) *Client {
	c := &Client{
		baseURL:           "http://" + addr,
		rpc:               rpc.New(tuning.MaxStoreConns, tuning.MaxStoreConns, tuning.StoreTimeout, tuning.MaxStoreResponseBytes),
		availableRequests: requestsPerSecond, requestsPerSecond: requestsPerSecond, refilledAt: time.Now(),
	}
	c.createdAt = c.refilledAt
	return c
}

// UnservedFor says for how long the service has not served this node; 0 if it has
// since it last did not.
func (c *Client) UnservedFor() time.Duration {
	servedAt, failedAt := c.lastServedAt.Load(), c.lastFailedAt.Load()
	if failedAt <= servedAt {
		return 0
	}
	return time.Since(c.createdAt) - time.Duration(servedAt)
}

// advance notes a moment, unless a later one is noted.
func (c *Client) advance(to *atomic.Int64, at time.Time) {
	for now := int64(at.Sub(c.createdAt)); ; {
		previous := to.Load()
		if now <= previous || to.CompareAndSwap(previous, now) {
			return
		}
	}
}

// takeRequest asks the node's own budget for one request. The first rank always gets
// it; the others find it refused while the level is under their reserve.
func (c *Client) takeRequest(priority Priority) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.availableRequests = min(c.requestsPerSecond, c.availableRequests+now.Sub(c.refilledAt).Seconds()*c.requestsPerSecond)
	c.refilledAt = now
	reserve := []float64{-c.requestsPerSecond, 0.1 * c.requestsPerSecond, 0.3 * c.requestsPerSecond}[priority]
	if c.availableRequests-1 < reserve {
		return ErrRateLimited
	}
	c.availableRequests--
	return nil
}

func (c *Client) call(ctx context.Context, priority Priority, timeout time.Duration, method, path string, request, answer any) (int, error) {
	if err := c.takeRequest(priority); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	code, err := c.rpc.Call(ctx, method, c.baseURL+path, request, answer)
	if err == nil && method == http.MethodGet && time.Since(sentAt) > timeout {
		// The process stood still meanwhile: what the answer says was true long ago.
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.advance(&c.lastFailedAt, sentAt)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if code == http.StatusServiceUnavailable {
		c.advance(&c.lastFailedAt, sentAt)
		return code, ErrUnavailable
	}
	c.advance(&c.lastServedAt, sentAt)
	switch code {
	case http.StatusTooManyRequests:
		return code, ErrRateLimited
	}
	return code, nil
}

// Get reads a key. A missing one has stamp 0.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	code, err := c.call(ctx, priority, tuning.StoreTimeout, http.MethodGet, "/kv/"+key, nil, &item)
	switch {
	case err != nil:
		return wire.KeyValue{}, err
	case code == http.StatusNotFound:
		return wire.KeyValue{Key: key}, nil
	case code != http.StatusOK || item.ModRevision == 0:
		return wire.KeyValue{}, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
	}
	return item, nil
}

// Range reads one page of the keys that start with prefix, after the key from.
func (c *Client) Range(ctx context.Context, priority Priority, prefix, from string, limit int) (wire.RangeReply, error) {
	query := url.Values{"starts": {prefix}, "most": {fmt.Sprint(limit)}}
	if from != "" {
		query.Set("from", from)
	}
	var reply wire.RangeReply
	code, err := c.call(ctx, priority, 2*tuning.StoreTimeout, http.MethodGet, "/kv?"+query.Encode(), nil, &reply)
	if err != nil {
		return reply, err
	}
	if code != http.StatusOK {
		return reply, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
	}
	return reply, nil
}

// RangeAll reads every key that starts with prefix. The epoch is that of the first
// page: a watch from there misses nothing.
func (c *Client) RangeAll(ctx context.Context, priority Priority, prefix string) ([]wire.KeyValue, uint64, error) {
	var items []wire.KeyValue
	var revision uint64
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

// Commit runs a transaction and returns the revision of its changes. With
// ErrConflict it also returns the keys that had another stamp.
func (c *Client) Commit(ctx context.Context, priority Priority, txn wire.Txn) (uint64, []string, error) {
	var reply wire.TxnReply
	code, err := c.call(ctx, priority, tuning.StoreTimeout, http.MethodPost, "/commit", txn, &reply)
	if err != nil {
		return 0, nil, err
	}
	switch code {
	case http.StatusOK:
		if reply.Revision == 0 {
			return 0, nil, fmt.Errorf("%w: no epoch", ErrOutcomeUnknown)
		}
		return reply.Revision, nil, nil
	case http.StatusConflict:
		return reply.Revision, reply.FailedKeys, ErrConflict
	case http.StatusBadRequest:
		if reply.Error == "no such lease" {
			return 0, nil, ErrLeaseNotFound
		}
		return 0, nil, fmt.Errorf("%w: %s", ErrMalformedRequest, reply.Error)
	}
	return 0, nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var reply wire.LeaseReply
	code, err := c.call(ctx, PriorityLeader, tuning.StoreTimeout, http.MethodPost, "/holds", wire.LeaseRequest{TTLMilli: ttl.Milliseconds()}, &reply)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK || reply.ID == 0 {
		return 0, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
	}
	return reply.ID, nil
}

// RenewLease renews a lease; ErrLeaseNotFound says that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	code, err := c.call(ctx, PriorityLeader, tuning.StoreTimeout, http.MethodPost, fmt.Sprintf("/holds/%d/renew", lease), struct{}{}, nil)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrLeaseNotFound
	case code != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
	}
	return nil
}

// RevokeLease ends a lease.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, PriorityLeader, tuning.StoreTimeout, http.MethodDelete, fmt.Sprintf("/holds/%d", lease), nil, nil)
	return err
}

// Watch waits up to block for changes of keys with the prefix after from.
func (c *Client) Watch(ctx context.Context, priority Priority, prefix string, from uint64, block time.Duration) (wire.WatchReply, error) {
	query := url.Values{"starts": {prefix}, "from": {fmt.Sprint(from)}, "block_ms": {fmt.Sprint(block.Milliseconds())}}
	timeout := tuning.StoreTimeout
	if block > 0 {
		timeout = block + tuning.WatchTimeoutMargin
	}
	var reply wire.WatchReply
	code, err := c.call(ctx, priority, timeout, http.MethodGet, "/changes?"+query.Encode(), nil, &reply)
	switch {
	case errors.Is(err, rpc.ErrAnswerTooLarge):
		// This answer alone has no size limit. Whoever was away for thousands of
		// changes reads the keys again, in pages; else it would never catch up.
		return reply, ErrCompacted
	case err != nil:
		return reply, err
	case code == http.StatusGone:
		return reply, ErrCompacted
	case code != http.StatusOK:
		return reply, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, code)
	}
	return reply, nil
}
