// Package kvstore is a client for the consensus-backed key-value store. It provides reads,
// watches, leases and compare-and-swap transactions, and limits its own request rate.
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

// Errors that a request can return; test for them with errors.Is.
var (
	// ErrUnavailable means that the request was not executed: the store is down or refuses
	// this controller.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrRateLimited means that the request was not executed: the store's rate limit or the
	// client's own request budget was exceeded.
	ErrRateLimited = errors.New("key-value store request rate exceeded")
	// ErrOverBudget is the ErrRateLimited of a request that was not sent, because it exceeded the
	// client's own request budget.
	ErrOverBudget = fmt.Errorf("%w: over the client's budget", ErrRateLimited)
	// ErrOutcomeUnknown means that no usable response was received: the request may have been
	// executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("key-value store request has an unknown outcome")
	// ErrConflict means that a comparison of a transaction failed, so nothing was changed.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that a watch cannot return all changes since its start revision: the
	// store no longer keeps them, or they exceed the limit on the size of a response.
	ErrCompacted = errors.New("revision compacted")
	// ErrRejected means that the transaction was not executed: it exceeds one of the store's size
	// limits, or is malformed.
	ErrRejected = errors.New("key-value store rejected the transaction as too large or malformed")
)

// Client sends requests to the key-value store. It is safe for concurrent use.
type Client struct {
	// OnRejection is called for each transaction that the store rejects with ErrRejected. It may
	// be nil, and must be set before the first call of Commit.
	OnRejection func(Rejection)

	baseURL string
	rpc     *rpc.Client
	budget  *requestBudget
	health  healthTracker
	commits commitCounter
}

// New returns a client for the store at addr that sends at most requestsPerSecond on average.
func New(addr string, requestsPerSecond float64) *Client {
	now := time.Now()
	return &Client{
		baseURL: "http://" + addr,
		rpc:     rpc.New(tuning.MaxStoreConns, tuning.MaxStoreConns, tuning.StoreTimeout, tuning.MaxStoreResponseBytes),
		budget:  newRequestBudget(requestsPerSecond, now),
		health:  healthTracker{createdAt: now},
	}
}

// UnavailableFor returns how long the store has not served this client: the time since the last
// request that it served, or since New if there is none. It is 0 if the store served the last
// request whose result is known.
func (c *Client) UnavailableFor() time.Duration { return c.health.unavailableFor() }

// CommitCounts returns how many transactions of this client had each outcome.
func (c *Client) CommitCounts() CommitCounts { return c.commits.counts() }

// call holds the parameters of one request.
type call struct {
	priority Priority
	timeout  time.Duration
	method   string
	path     string
	body     any // nil for none
	response any // what the response's body is decoded into; nil to discard it
}

// do sends a request and returns the HTTP status of the response.
func (c *Client) do(ctx context.Context, request call) (status int, err error) {
	if err = c.budget.take(request.priority); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	sentAt := time.Now()
	status, err = c.rpc.Call(ctx, request.method, c.baseURL+request.path, request.body, request.response)
	if err == nil && request.method == http.MethodGet && time.Since(sentAt) > request.timeout {
		// The process was paused, so the response to a read is outdated.
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.health.recordFailure(sentAt)
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status == http.StatusServiceUnavailable {
		c.health.recordFailure(sentAt)
		return status, ErrUnavailable
	}
	c.health.recordSuccess(sentAt)
	if status == http.StatusTooManyRequests {
		return status, ErrRateLimited
	}
	return status, nil
}

// unexpectedStatus returns the error for an HTTP status that the protocol does not define.
func unexpectedStatus(status int) error {
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// Get returns a key and its value. A missing key has ModRevision 0.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	status, err := c.do(ctx, call{
		priority: priority, timeout: tuning.StoreTimeout,
		method: http.MethodGet, path: "/kv/" + key, response: &item,
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

// Range returns a page of at most limit keys that start with prefix and are greater than afterKey.
func (c *Client) Range(ctx context.Context, priority Priority, prefix, afterKey string, limit int) (wire.RangeReply, error) {
	query := url.Values{"starts": {prefix}, "most": {strconv.Itoa(limit)}}
	if afterKey != "" {
		query.Set("from", afterKey)
	}
	var reply wire.RangeReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: 2 * tuning.StoreTimeout,
		method: http.MethodGet, path: "/kv?" + query.Encode(), response: &reply,
	})
	if err != nil {
		return reply, fmt.Errorf("range %s: %w", prefix, err)
	}
	if status != http.StatusOK {
		return reply, fmt.Errorf("range %s: %w", prefix, unexpectedStatus(status))
	}
	return reply, nil
}

// FullRange is the result of RangeAll. Revision is that of the first page, so that a watch from it
// misses no change made while later pages were read.
type FullRange struct {
	Items    []wire.KeyValue
	Revision uint64
	Pages    int
}

// RangeAll returns all keys that start with prefix.
func (c *Client) RangeAll(ctx context.Context, priority Priority, prefix string) (FullRange, error) {
	var result FullRange
	afterKey := ""
	for {
		page, err := c.Range(ctx, priority, prefix, afterKey, tuning.StorePageSize)
		if err != nil {
			return FullRange{Pages: result.Pages}, err
		}
		if afterKey == "" {
			result.Revision = page.Revision
		}
		result.Pages++
		result.Items = append(result.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return result, nil
		}
		afterKey = page.Items[len(page.Items)-1].Key
	}
}

// Watch returns the changes after afterRevision to keys that start with prefix. If there are none
// yet, it waits up to maxWait for the first. It returns ErrCompacted if the caller has to read the
// keys again.
func (c *Client) Watch(ctx context.Context, priority Priority, prefix string, afterRevision uint64, maxWait time.Duration) (wire.WatchReply, error) {
	query := url.Values{
		"starts":   {prefix},
		"from":     {strconv.FormatUint(afterRevision, 10)},
		"block_ms": {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	timeout := tuning.StoreTimeout
	if maxWait > 0 {
		timeout = maxWait + tuning.WatchTimeoutMargin
	}
	var reply wire.WatchReply
	status, err := c.do(ctx, call{
		priority: priority, timeout: timeout,
		method: http.MethodGet, path: "/changes?" + query.Encode(), response: &reply,
	})
	switch {
	case errors.Is(err, rpc.ErrResponseTooLarge):
		// The store limits the size of every response except that of a watch. A caller that
		// has missed thousands of changes reads the keys again, page by page. It would never
		// catch up by repeating the watch.
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
