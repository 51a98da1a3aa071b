// Package peer is what the controller nodes say to each other, in CBOR: pings
// that carry who leads, and users' requests that a node cannot serve itself.
package peer

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
	PingPath         = "/mesh/v1/ping"
	ForwardPath      = "/mesh/v1/forward"
	WatchProcessPath = "/mesh/v1/hold"
)

// Ping says who sends it and what it knows of the lead.
type Ping struct {
	Node           string `cbor:"node"`
	BootID         uint64 `cbor:"boot"`
	Leader         string `cbor:"leader,omitempty"`
	Term           uint64 `cbor:"term,omitempty"`
	StoreAvailable bool   `cbor:"served,omitempty"` // by the state service, lately
	// ConfirmationsSeen is up to where the sender has the list of cancellations that users were
	// told of at the receiver, in the process that ConfirmationsBootID names.
	ConfirmationsSeen   uint64 `cbor:"have,omitempty"`
	ConfirmationsBootID uint64 `cbor:"have_boot,omitempty"`
}

// Pong answers a ping. Running is sent by the leader, for display elsewhere. Told
// continues the list of cancellations: entries From+1 to From+len(Told).
type Pong struct {
	Node           string         `cbor:"node"`
	BootID         uint64         `cbor:"boot"`
	Leader         string         `cbor:"leader,omitempty"`
	Term           uint64         `cbor:"term,omitempty"`
	StoreAvailable bool           `cbor:"served,omitempty"`
	Running        map[string]int `cbor:"running,omitempty"`

	IsLeader         bool     `cbor:"leading,omitempty"` // the sender is the leader, and works
	EnforcedAgoMilli int64    `cbor:"led_ms,omitempty"`  // how long ago all cancellations were seen through, by the leader of Term
	UptimeMilli      int64    `cbor:"up_ms,omitempty"`   // for how long the sender has run
	ConfirmedFrom    uint64   `cbor:"from,omitempty"`
	Confirmed        []string `cbor:"told,omitempty"`
}

// Kinds of forwarded requests.
const (
	KindSubmit = "submit"
	KindQuery  = "query"
	KindCancel = "cancel"
)

// ForwardRequest is a user's request passed to a peer. It is never passed on again.
type ForwardRequest struct {
	Kind string `cbor:"kind"`
	ID   string `cbor:"id,omitempty"`
	Body string `cbor:"body,omitempty"` // a submission's bytes, as Latin-1 text
}

// ForwardReply is the peer's answer.
type ForwardReply struct {
	Status int                 `cbor:"status"`
	View   *wire.JobView       `cbor:"view,omitempty"`
	State  *wire.JobStateReply `cbor:"state,omitempty"`
	Error  string              `cbor:"error,omitempty"`
}

// Client talks to peers.
type Client struct{ rpc *rpc.Client }

// New makes a client.
func New() *Client { return &Client{rpc.New(8, 64, tuning.PeerTimeout, tuning.MaxPeerResponseBytes)} }

// Ping pings the peer at addr.
func (c *Client) Ping(ctx context.Context, addr string, ping Ping) (Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	var pong Pong
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+PingPath, ping, &pong)
	if err == nil && (code != http.StatusOK || pong.Node == "") {
		err = http.ErrNotSupported
	}
	return pong, err
}

// WatchProcess waits for an answer that the peer holds back. It returns early, with an
// error, when the peer's process ends.
func (c *Client) WatchProcess(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerWatchTimeout+tuning.PeerTimeout)
	defer cancel()
	_, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+WatchProcessPath, struct{}{}, nil)
	return err
}

// Forward passes a user's request to the peer at addr.
func (c *Client) Forward(ctx context.Context, addr string, request ForwardRequest, timeout time.Duration) (ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply ForwardReply
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+ForwardPath, request, &reply)
	if err == nil && (code != http.StatusOK || reply.Status == 0) {
		err = http.ErrNotSupported
	}
	return reply, err
}

// EncodeBytes carries bytes in a CBOR text, since messages have no binary data.
func EncodeBytes(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// DecodeBytes undoes Text. ok is false for a text that Text did not make.
func DecodeBytes(text string) (b []byte, ok bool) {
	b = make([]byte, 0, len(text))
	for _, r := range text {
		if r > 0xff {
			return nil, false
		}
		b = append(b, byte(r))
	}
	return b, true
}
