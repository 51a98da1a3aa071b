// Package peer is the protocol between controllers, in CBOR over HTTP: pings that carry who
// leads and which cancellations were confirmed, and users' requests that a controller
// cannot serve itself. Controllers of different versions run side by side during an
// upgrade, so messages keep their form.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Paths of the protocol.
const (
	PingPath         = "/mesh/v1/ping"
	ForwardPath      = "/mesh/v1/forward"
	WatchProcessPath = "/mesh/v1/hold"
)

// ErrUnexpectedAnswer means that a peer's answer is not what the protocol has.
var ErrUnexpectedAnswer = errors.New("unexpected answer of a peer")

// Ping says who sends it, and what it knows of the leader.
type Ping struct {
	Node   string `cbor:"node"`
	BootID uint64 `cbor:"boot"` // of the sender's process
	Leader string `cbor:"leader,omitempty"`
	Term   uint64 `cbor:"term,omitempty"`
	// StoreAvailable says that the key-value store has served the sender lately.
	StoreAvailable bool `cbor:"served,omitempty"`
	// ConfirmationsSeen is how many entries the sender has of the receiver's list of
	// confirmed cancellations, in the process that ConfirmationsBootID names.
	ConfirmationsSeen   uint64 `cbor:"have,omitempty"`
	ConfirmationsBootID uint64 `cbor:"have_boot,omitempty"`
}

// Pong answers a ping.
type Pong struct {
	Node           string `cbor:"node"`
	BootID         uint64 `cbor:"boot"` // of the sender's process
	Leader         string `cbor:"leader,omitempty"`
	Term           uint64 `cbor:"term,omitempty"`
	StoreAvailable bool   `cbor:"served,omitempty"`
	// Running has the number of running tasks of each job. Only the leader sends it, so that
	// others can answer queries.
	Running map[string]int `cbor:"running,omitempty"`

	// IsLeader says that the sender leads and has loaded the records.
	IsLeader bool `cbor:"leading,omitempty"`
	// EnforcedAgoMilli is one more than for how long the leader of Term has enforced all
	// cancellations; 0: not known.
	EnforcedAgoMilli int64 `cbor:"led_ms,omitempty"`
	// UptimeMilli is one more than the age of the sender's process; 0: the sender is of a
	// version that lists no confirmations.
	UptimeMilli int64 `cbor:"up_ms,omitempty"`
	// Confirmed continues the sender's list of confirmed cancellations: entries
	// ConfirmedFrom+1 to ConfirmedFrom+len(Confirmed).
	ConfirmedFrom uint64   `cbor:"from,omitempty"`
	Confirmed     []string `cbor:"told,omitempty"`
}

// RequestKind is what a forwarded request asks for.
type RequestKind string

// Kinds of forwarded requests.
const (
	KindSubmit RequestKind = "submit"
	KindQuery  RequestKind = "query"
	KindCancel RequestKind = "cancel"
)

// ForwardRequest is a user's request passed to a peer. It is never passed on again.
type ForwardRequest struct {
	Kind RequestKind `cbor:"kind"`
	ID   string      `cbor:"id,omitempty"`
	Body string      `cbor:"body,omitempty"` // a submission's bytes, see EncodeBytes
}

// ForwardReply is the answer to a ForwardRequest. It has the view of a query or the state of
// another request, or an error.
type ForwardReply struct {
	Status int                 `cbor:"status"`
	View   *wire.JobView       `cbor:"view,omitempty"`
	State  *wire.JobStateReply `cbor:"state,omitempty"`
	Error  string              `cbor:"error,omitempty"`
}

// Connections to peers: at most so many to each, and idle ones to all together.
const (
	connsPerPeer = 8
	maxIdleConns = 64
)

// Client talks to peers. It is safe for concurrent use.
type Client struct{ rpc *rpc.Client }

// New makes a client.
func New() *Client {
	return &Client{rpc.New(connsPerPeer, maxIdleConns, tuning.PeerTimeout, tuning.MaxPeerResponseBytes)}
}

// Ping pings the peer at addr. A refused connection is syscall.ECONNREFUSED.
func (c *Client) Ping(ctx context.Context, addr string, ping Ping) (Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	var pong Pong
	status, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+PingPath, ping, &pong)
	switch {
	case err != nil:
		return pong, fmt.Errorf("ping %s: %w", addr, err)
	case status != http.StatusOK || pong.Node == "":
		return pong, fmt.Errorf("ping %s: %w: status %d", addr, ErrUnexpectedAnswer, status)
	}
	return pong, nil
}

// WatchProcess waits for an answer that the peer holds back. It returns early, with an
// error, when the peer's process ends.
func (c *Client) WatchProcess(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerWatchTimeout+tuning.PeerTimeout)
	defer cancel()
	if _, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+WatchProcessPath, struct{}{}, nil); err != nil {
		return fmt.Errorf("watch process of %s: %w", addr, err)
	}
	return nil
}

// Forward passes a user's request to the peer at addr.
func (c *Client) Forward(ctx context.Context, addr string, request ForwardRequest, timeout time.Duration) (ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply ForwardReply
	status, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+ForwardPath, request, &reply)
	switch {
	case err != nil:
		return reply, fmt.Errorf("forward to %s: %w", addr, err)
	case status != http.StatusOK || reply.Status == 0:
		return reply, fmt.Errorf("forward to %s: %w: status %d", addr, ErrUnexpectedAnswer, status)
	}
	return reply, nil
}

// EncodeBytes writes bytes as Latin-1 text, since messages have no binary data.
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
