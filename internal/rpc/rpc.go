// Package rpc makes CBOR calls over HTTP with bounds on connections and on the size of an
// answer. The clients of the key-value store, the cloud, the workers and the peers are
// built on it.
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

// idleConnTimeout is how long a connection without a call is kept; bufferBytes is the size
// of each of its buffers, small since there are thousands of connections.
const (
	idleConnTimeout = 20 * time.Second
	bufferBytes     = 4 << 10
)

// Client calls one kind of server. It is safe for concurrent use.
type Client struct {
	httpClient     *http.Client
	maxAnswerBytes int64
}

// New makes a client with at most connsPerHost connections to a host, which reads at most
// maxAnswerBytes of an answer and keeps at most maxIdleConns connections without a call, to
// all hosts together.
func New(connsPerHost, maxIdleConns int, dialTimeout time.Duration, maxAnswerBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		maxAnswerBytes: maxAnswerBytes,
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext:           dialer.DialContext,
				MaxConnsPerHost:       connsPerHost,
				MaxIdleConnsPerHost:   connsPerHost,
				MaxIdleConns:          maxIdleConns,
				IdleConnTimeout:       idleConnTimeout,
				DisableCompression:    true,
				ResponseHeaderTimeout: 0,
				WriteBufferSize:       bufferBytes,
				ReadBufferSize:        bufferBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ErrMalformedAnswer is returned for an answer that is not what the protocol says.
var ErrMalformedAnswer = errors.New("malformed answer")

// ErrAnswerTooLarge is returned for an answer over the limit.
var ErrAnswerTooLarge = errors.New("answer too large")

// Call sends the request (nil for no body), decodes the answer, whatever its status, and
// returns the status. An answer of type *wire.Raw gets the undecoded body. An error means
// that there was no usable answer: the request may or may not have been carried out.
func (c *Client) Call(ctx context.Context, method, url string, request, answer any) (int, error) {
	var body io.Reader
	if request != nil {
		b, err := wire.Marshal(request)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(b)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if request != nil {
		httpRequest.Header.Set("Content-Type", wire.ContentType)
		// A request that may have been carried out is repeated by our callers,
		// who know whether that is safe, and never by the transport.
		httpRequest.GetBody = nil
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswerBytes+1))
	if err != nil {
		return 0, err
	}
	if int64(len(b)) > c.maxAnswerBytes {
		return 0, ErrAnswerTooLarge
	}
	if raw, ok := answer.(*wire.Raw); ok {
		*raw = b
	} else if answer != nil && len(b) > 0 {
		if err := wire.Unmarshal(b, answer); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
		}
	}
	return response.StatusCode, nil
}

// CloseIdleConnections closes idle connections, so that the next call dials anew.
func (c *Client) CloseIdleConnections() { c.httpClient.CloseIdleConnections() }
