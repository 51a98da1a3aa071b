// Package rpc provides a client for CBOR over HTTP that limits the number of connections and
// the size of a response. The clients of the key-value store, the cloud, the workers and the
// peer controllers use it.
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

const (
	// idleConnTimeout is how long an unused connection stays open.
	idleConnTimeout = 20 * time.Second
	// connBufferBytes is the size of a connection's read buffer and of its write buffer. The
	// buffers are small because there are thousands of connections.
	connBufferBytes = 4 << 10
)

// Client calls servers of one kind. It is safe for concurrent use.
type Client struct {
	httpClient       *http.Client
	maxResponseBytes int64
}

// New returns a client that opens at most connsPerHost connections to each host, keeps at most
// maxIdleConns idle connections to all hosts together, and rejects responses with a body of
// more than maxResponseBytes.
func New(connsPerHost, maxIdleConns int, dialTimeout time.Duration, maxResponseBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		maxResponseBytes: maxResponseBytes,
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext:           dialer.DialContext,
				MaxConnsPerHost:       connsPerHost,
				MaxIdleConnsPerHost:   connsPerHost,
				MaxIdleConns:          maxIdleConns,
				IdleConnTimeout:       idleConnTimeout,
				DisableCompression:    true,
				ResponseHeaderTimeout: 0,
				WriteBufferSize:       connBufferBytes,
				ReadBufferSize:        connBufferBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ErrMalformedResponse means that a response does not conform to the protocol.
var ErrMalformedResponse = errors.New("malformed response")

// ErrResponseTooLarge means that a response exceeds the client's size limit.
var ErrResponseTooLarge = errors.New("response too large")

// Call sends request as the CBOR body of an HTTP request, or no body if request is nil. It
// decodes the body of the response into response, whatever the HTTP status, and returns that
// status. If response is a *wire.Raw, it receives the undecoded body; if it is nil, the body is
// discarded. An error means that no usable response was received: the request may or may not
// have been executed.
func (c *Client) Call(ctx context.Context, method, url string, request, response any) (int, error) {
	var body io.Reader
	if request != nil {
		b, err := wire.Marshal(request)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if request != nil {
		httpRequest.Header.Set("Content-Type", wire.ContentType)
		// Prevents the transport from retrying a request that may have been executed. Only
		// the callers know whether a retry is safe.
		httpRequest.GetBody = nil
	}
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer httpResponse.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, c.maxResponseBytes+1))
	if err != nil {
		return 0, err
	}
	if int64(len(responseBody)) > c.maxResponseBytes {
		return 0, ErrResponseTooLarge
	}
	if raw, ok := response.(*wire.Raw); ok {
		*raw = responseBody
	} else if response != nil && len(responseBody) > 0 {
		if err := wire.Unmarshal(responseBody, response); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformedResponse, err)
		}
	}
	return httpResponse.StatusCode, nil
}

// CloseIdleConnections closes idle connections, so that the next call opens a new one.
func (c *Client) CloseIdleConnections() { c.httpClient.CloseIdleConnections() }
