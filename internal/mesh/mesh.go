// Package mesh is what the controller nodes say to each other, in CBOR: pings
// that carry who leads, and users' requests that a node cannot serve itself.
package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Paths of the mesh interface.
const (
	PingPath    = "/mesh/v1/ping"
	ForwardPath = "/mesh/v1/forward"
	HoldPath    = "/mesh/v1/hold"
)

// Ping says who sends it and what it knows of the lead.
type Ping struct {
	Node   string `cbor:"node"`
	Boot   uint64 `cbor:"boot"`
	Leader string `cbor:"leader,omitempty"`
	Term   uint64 `cbor:"term,omitempty"`
	Served bool   `cbor:"served,omitempty"` // by the state service, lately
	// Have is up to where the sender has the list of cancellations that users were
	// told of at the receiver, in the process that HaveBoot names.
	Have     uint64 `cbor:"have,omitempty"`
	HaveBoot uint64 `cbor:"have_boot,omitempty"`
}

// Pong answers a ping. Running is sent by the leader, for display elsewhere. Told
// continues the list of cancellations: entries From+1 to From+len(Told).
type Pong struct {
	Node    string         `cbor:"node"`
	Boot    uint64         `cbor:"boot"`
	Leader  string         `cbor:"leader,omitempty"`
	Term    uint64         `cbor:"term,omitempty"`
	Served  bool           `cbor:"served,omitempty"`
	Running map[string]int `cbor:"running,omitempty"`

	Leading   bool     `cbor:"leading,omitempty"` // the sender is the leader, and works
	LedMilli  int64    `cbor:"led_ms,omitempty"`  // how long ago all cancellations were seen through, by the leader of Term
	UpMilli   int64    `cbor:"up_ms,omitempty"`   // for how long the sender has run
	From      uint64   `cbor:"from,omitempty"`
	Confirmed []string `cbor:"told,omitempty"`
}

// Kinds of forwarded requests.
const (
	Submit = "submit"
	Query  = "query"
	Cancel = "cancel"
)

// Forward is a user's request passed to a peer. It is never passed on again.
type Forward struct {
	Kind string `cbor:"kind"`
	ID   string `cbor:"id,omitempty"`
	Body string `cbor:"body,omitempty"` // a submission's bytes, as Latin-1 text
}

// Forwarded is the peer's answer.
type Forwarded struct {
	Status int            `cbor:"status"`
	View   *wire.JobView  `cbor:"view,omitempty"`
	State  *wire.JobState `cbor:"state,omitempty"`
	Error  string         `cbor:"error,omitempty"`
}

// Client talks to peers.
type Client struct{ rpc *rpc.Client }

// New makes a client.
func New() *Client { return &Client{rpc.New(8, 64, tuning.PeerTimeout, tuning.PeerAnswer)} }

// Ping pings the peer at addr.
func (c *Client) Ping(ctx context.Context, addr string, p Ping) (Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	var out Pong
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+PingPath, p, &out)
	if err == nil && (code != http.StatusOK || out.Node == "") {
		err = http.ErrNotSupported
	}
	return out, err
}

// Hold waits for an answer that the peer holds back. It returns early, with an
// error, when the peer's process ends.
func (c *Client) Hold(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.HoldFor+tuning.PeerTimeout)
	defer cancel()
	_, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+HoldPath, struct{}{}, nil)
	return err
}

// Forward passes a user's request to the peer at addr.
func (c *Client) Forward(ctx context.Context, addr string, f Forward, timeout time.Duration) (Forwarded, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out Forwarded
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+ForwardPath, f, &out)
	if err == nil && (code != http.StatusOK || out.Status == 0) {
		err = http.ErrNotSupported
	}
	return out, err
}

// Text carries bytes in a CBOR text, since messages have no binary data.
func Text(b []byte) string {
	r := make([]rune, len(b))
	for i, c := range b {
		r[i] = rune(c)
	}
	return string(r)
}

// Bytes undoes Text. ok is false for a text that Text did not make.
func Bytes(s string) (b []byte, ok bool) {
	b = make([]byte, 0, len(s))
	for _, r := range s {
		if r > 0xff {
			return nil, false
		}
		b = append(b, byte(r))
	}
	return b, true
}
