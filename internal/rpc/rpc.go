// Package rpc makes bounded CBOR calls over HTTP. The clients of the state
// service, the cloud, the workers and the peers are built on it.
package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Client calls one kind of server.
type Client struct {
	hc    *http.Client
	limit int64
}

// New makes a client with at most conns connections per host that reads at
// most limit bytes of an answer. Of connections without a call, at most idle are
// kept, to all hosts together.
func New(conns, idle int, dialTimeout time.Duration, limit int64) *Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		limit: limit,
		hc: &http.Client{
			Transport: &http.Transport{
				DialContext:           d.DialContext,
				MaxConnsPerHost:       conns,
				MaxIdleConnsPerHost:   conns,
				MaxIdleConns:          idle,
				IdleConnTimeout:       20 * time.Second,
				DisableCompression:    true,
				ResponseHeaderTimeout: 0,
				WriteBufferSize:       4 << 10,
				ReadBufferSize:        4 << 10,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ErrDecode is returned for an answer that is not what the protocol says.
var ErrDecode = errors.New("malformed answer")

// ErrTooLarge is returned for an answer over the limit.
var ErrTooLarge = errors.New("answer too large")

// Call sends in (nil for no body) and decodes the answer into out, whatever
// its status. An error means that there was no usable answer: the request may
// or may not have been carried out.
func (c *Client) Call(ctx context.Context, method, url string, in any, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := wire.Marshal(in)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
		// A request that may have been carried out is repeated by our callers,
		// who know whether that is safe, and never by the transport.
		req.GetBody = nil
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.limit+1))
	if err != nil {
		return 0, err
	}
	if int64(len(b)) > c.limit {
		return 0, ErrTooLarge
	}
	if raw, ok := out.(*wire.Raw); ok {
		*raw = b
	} else if out != nil && len(b) > 0 {
		if err := wire.Unmarshal(b, out); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrDecode, err)
		}
	}
	return resp.StatusCode, nil
}

// CloseIdle drops idle connections, so that the next call dials anew.
func (c *Client) CloseIdle() { c.hc.CloseIdleConnections() }
