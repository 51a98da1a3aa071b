// Package store is the client of the state service, and holds the formats of
// the records kept there.
package store

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
	// ErrRefused means that the request was not executed: the service is down
	// or refuses this node.
	ErrRefused = errors.New("state service refused")
	// ErrLimited means that the request was not executed: too many requests.
	ErrLimited = errors.New("state service limits requests")
	// ErrUnknown means that there was no usable answer: the request may have
	// been executed, or may yet be executed later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrConflict means that a condition of a transaction did not hold.
	ErrConflict = errors.New("conflict")
	// ErrNoLease means that the lease of a write has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrTooOld means that a watch's start is no longer kept.
	ErrTooOld = errors.New("revision too old")
	// ErrMalformed means that the service called the request malformed.
	ErrMalformed = errors.New("state service calls the request malformed")
)

// Rank orders requests under the rate limit.
type Rank int

// Ranks, highest first: the lease and the leader's writes, then what users
// wait for, then the rest.
const (
	First Rank = iota
	Second
	Third
)

// Client talks to the state service.
type Client struct {
	base  string
	rpc   *rpc.Client
	mu    sync.Mutex
	level float64 // requests that may be sent now
	at    time.Time
	rate  float64

	// When the last request that the service answered was sent, and the last that it
	// did not, in nanoseconds since epoch. Not when the answer was read: a process
	// that stood still reads answers of long ago.
	epoch          time.Time
	served, failed atomic.Int64
}

// New makes a client for the service at addr; rps is the request rate that
// this node allows itself.
func New(addr string, rps float64) *Client {
	c := &Client{
		base:  "http://" + addr,
		rpc:   rpc.New(tuning.StateConns, tuning.StateConns, tuning.StateTimeout, tuning.StateAnswer),
		level: rps, rate: rps, at: time.Now(),
	}
	c.epoch = c.at
	return c
}

// Without says for how long the service has not served this node; 0 if it has
// since it last did not.
func (c *Client) Without() time.Duration {
	served, failed := c.served.Load(), c.failed.Load()
	if failed <= served {
		return 0
	}
	return time.Since(c.epoch) - time.Duration(served)
}

// raise notes a moment, unless a later one is noted.
func (c *Client) raise(to *atomic.Int64, at time.Time) {
	for now := int64(at.Sub(c.epoch)); ; {
		was := to.Load()
		if now <= was || to.CompareAndSwap(was, now) {
			return
		}
	}
}

// take asks the node's own budget for one request. The first rank always gets
// it; the others find it refused while the level is under their reserve.
func (c *Client) take(r Rank) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.level = min(c.rate, c.level+now.Sub(c.at).Seconds()*c.rate)
	c.at = now
	reserve := []float64{-c.rate, 0.1 * c.rate, 0.3 * c.rate}[r]
	if c.level-1 < reserve {
		return ErrLimited
	}
	c.level--
	return nil
}

func (c *Client) call(ctx context.Context, r Rank, timeout time.Duration, method, path string, in, out any) (int, error) {
	if err := c.take(r); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	code, err := c.rpc.Call(ctx, method, c.base+path, in, out)
	if err == nil && method == http.MethodGet && time.Since(begun) > timeout {
		// The process stood still meanwhile: what the answer says was true long ago.
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.raise(&c.failed, begun)
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if code == http.StatusServiceUnavailable {
		c.raise(&c.failed, begun)
		return code, ErrRefused
	}
	c.raise(&c.served, begun)
	switch code {
	case http.StatusTooManyRequests:
		return code, ErrLimited
	}
	return code, nil
}

// Get reads a key. A missing one has stamp 0.
func (c *Client) Get(ctx context.Context, r Rank, key string) (wire.Item, error) {
	var it wire.Item
	code, err := c.call(ctx, r, tuning.StateTimeout, http.MethodGet, "/kv/"+key, nil, &it)
	switch {
	case err != nil:
		return wire.Item{}, err
	case code == http.StatusNotFound:
		return wire.Item{Key: key}, nil
	case code != http.StatusOK || it.Stamp == 0:
		return wire.Item{}, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return it, nil
}

// Page reads one page of the keys that start with prefix, after the key from.
func (c *Client) Page(ctx context.Context, r Rank, prefix, from string, most int) (wire.Page, error) {
	q := url.Values{"starts": {prefix}, "most": {fmt.Sprint(most)}}
	if from != "" {
		q.Set("from", from)
	}
	var p wire.Page
	code, err := c.call(ctx, r, 2*tuning.StateTimeout, http.MethodGet, "/kv?"+q.Encode(), nil, &p)
	if err != nil {
		return p, err
	}
	if code != http.StatusOK {
		return p, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return p, nil
}

// All reads every key that starts with prefix. The epoch is that of the first
// page: a watch from there misses nothing.
func (c *Client) All(ctx context.Context, r Rank, prefix string) ([]wire.Item, uint64, error) {
	var items []wire.Item
	var epoch uint64
	from := ""
	for {
		p, err := c.Page(ctx, r, prefix, from, tuning.ReadPage)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			epoch = p.Epoch
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return items, epoch, nil
		}
		from = p.Items[len(p.Items)-1].Key
	}
}

// Commit runs a transaction and returns the revision of its changes. With
// ErrConflict it also returns the keys that had another stamp.
func (c *Client) Commit(ctx context.Context, r Rank, t wire.Txn) (uint64, []string, error) {
	var out wire.TxnReply
	code, err := c.call(ctx, r, tuning.StateTimeout, http.MethodPost, "/commit", t, &out)
	if err != nil {
		return 0, nil, err
	}
	switch code {
	case http.StatusOK:
		if out.Epoch == 0 {
			return 0, nil, fmt.Errorf("%w: no epoch", ErrUnknown)
		}
		return out.Epoch, nil, nil
	case http.StatusConflict:
		return out.Epoch, out.Failed, ErrConflict
	case http.StatusBadRequest:
		if out.Error == "no such lease" {
			return 0, nil, ErrNoLease
		}
		return 0, nil, fmt.Errorf("%w: %s", ErrMalformed, out.Error)
	}
	return 0, nil, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var out wire.Lease
	code, err := c.call(ctx, First, tuning.StateTimeout, http.MethodPost, "/holds", wire.LeaseRequest{TTLMilli: ttl.Milliseconds()}, &out)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK || out.Permit == 0 {
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out.Permit, nil
}

// Renew renews a lease; ErrNoLease says that it has ended.
func (c *Client) Renew(ctx context.Context, permit uint64) error {
	code, err := c.call(ctx, First, tuning.StateTimeout, http.MethodPost, fmt.Sprintf("/holds/%d/renew", permit), struct{}{}, nil)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrNoLease
	case code != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, permit uint64) error {
	_, err := c.call(ctx, First, tuning.StateTimeout, http.MethodDelete, fmt.Sprintf("/holds/%d", permit), nil, nil)
	return err
}

// Changes waits up to block for changes of keys with the prefix after from.
func (c *Client) Changes(ctx context.Context, r Rank, prefix string, from uint64, block time.Duration) (wire.Changes, error) {
	q := url.Values{"starts": {prefix}, "from": {fmt.Sprint(from)}, "block_ms": {fmt.Sprint(block.Milliseconds())}}
	timeout := tuning.StateTimeout
	if block > 0 {
		timeout = block + tuning.WatchSlack
	}
	var out wire.Changes
	code, err := c.call(ctx, r, timeout, http.MethodGet, "/changes?"+q.Encode(), nil, &out)
	switch {
	case errors.Is(err, rpc.ErrTooLarge):
		// This answer alone has no size limit. Whoever was away for thousands of
		// changes reads the keys again, in pages; else it would never catch up.
		return out, ErrTooOld
	case err != nil:
		return out, err
	case code == http.StatusGone:
		return out, ErrTooOld
	case code != http.StatusOK:
		return out, fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return out, nil
}
