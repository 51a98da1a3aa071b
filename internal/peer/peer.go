// Package peer implements the protocol between controllers, CBOR over HTTP. Controllers ping
// each other to exchange the known leader and the cancellations that were confirmed to users,
// and forward users' requests that they cannot serve themselves. Messages must stay compatible,
// since controllers of different versions run side by side during an upgrade.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// ErrUnexpectedResponse means that a peer's response does not conform to the protocol.
var ErrUnexpectedResponse = errors.New("unexpected response from peer")

// ErrNotConnected means that no connection to a peer could be opened.
var ErrNotConnected = errors.New("not connected to peer")

// Ping identifies its sender and the leader that the sender knows of.
type Ping struct {
	Node   string `cbor:"node"`
	BootID uint64 `cbor:"boot"` // identifies the sender's process
	Leader string `cbor:"leader,omitempty"`
	Term   uint64 `cbor:"term,omitempty"`
	// StoreAvailable is set if the key-value store has recently answered the sender.
	StoreAvailable bool `cbor:"served,omitempty"`
	// ConfirmationsSeen is the number of entries that the sender has received of the
	// receiver's list of confirmed cancellations. Each process of the receiver has its own
	// list; ConfirmationsBootID identifies the process.
	ConfirmationsSeen   uint64 `cbor:"have,omitempty"`
	ConfirmationsBootID uint64 `cbor:"have_boot,omitempty"`
	// Machines is the number of machines that the sender serves as the leader. Other controllers
	// send 0.
	Machines int `cbor:"machines,omitempty"`
}

// Pong is the response to a Ping.
type Pong struct {
	Node           string `cbor:"node"`
	BootID         uint64 `cbor:"boot"` // identifies the sender's process
	Leader         string `cbor:"leader,omitempty"`
	Term           uint64 `cbor:"term,omitempty"`
	StoreAvailable bool   `cbor:"served,omitempty"`
	// Running is the number of running tasks by job ID. Only the leader sends it; the other
	// controllers need it to answer queries.
	Running map[string]int `cbor:"running,omitempty"`

	// IsLeader is set if the sender is the leader and has loaded the records.
	IsLeader bool `cbor:"leading,omitempty"`
	// EnforcedWatermarkAgeMilli is 1 plus the age of the enforced cancellation watermark: the
	// leader of Term has enforced every cancellation that was confirmed before that time. 0
	// means that the watermark is unknown or too old to be useful.
	EnforcedWatermarkAgeMilli int64 `cbor:"led_ms,omitempty"`
	// UptimeMilli is 1 plus the age of the sender's process. 0 means that the sender runs a
	// version that does not list confirmed cancellations.
	UptimeMilli int64 `cbor:"up_ms,omitempty"`
	// Confirmed holds the job IDs in entries ConfirmedFrom+1 to ConfirmedFrom+len(Confirmed)
	// of the sender's list of confirmed cancellations.
	ConfirmedFrom uint64   `cbor:"from,omitempty"`
	Confirmed     []string `cbor:"told,omitempty"`
	// Machines is the number of machines that the sender serves as the leader. Other controllers
	// send 0.
	Machines int `cbor:"machines,omitempty"`
}

// RequestKind is the kind of a forwarded request.
type RequestKind string

// Kinds of forwarded requests.
const (
	KindSubmit RequestKind = "submit"
	KindQuery  RequestKind = "query"
	KindCancel RequestKind = "cancel"
)

// ForwardRequest is a user's request that is forwarded to a peer. The peer does not forward it
// again.
type ForwardRequest struct {
	Kind RequestKind `cbor:"kind"`
	ID   string      `cbor:"id,omitempty"`   // job ID of a query or a cancellation
	Body string      `cbor:"body,omitempty"` // submission, encoded with EncodeBytes
}

// ForwardReply is the response to a ForwardRequest. Status is the HTTP status for the user. View
// is set for a successful query, State for another successful request, and Error on failure.
type ForwardReply struct {
	Status int                 `cbor:"status"`
	View   *wire.JobView       `cbor:"view,omitempty"`
	State  *wire.JobStateReply `cbor:"state,omitempty"`
	Error  string              `cbor:"error,omitempty"`
	// ReadDelayMilli is the time from the receipt of the request until the read was sent that the
	// reply is based on, rounded down.
	ReadDelayMilli int64 `cbor:"read_ms,omitempty"`
	// SettlesInMilli is 1 plus the time until the job's final state may be told to the user, rounded
	// up. 0 means that the state is not final, or that the sender runs a version without this field.
	SettlesInMilli int64 `cbor:"settles_ms,omitempty"`
}

// Limits on connections.
const (
	maxConnsPerPeer = 8
	maxIdleConns    = 64 // to all peers together
)

// Client calls peers. It is safe for concurrent use.
type Client struct{ rpc *rpc.Client }

// New returns a Client.
func New() *Client {
	return &Client{rpc.New(maxConnsPerPeer, maxIdleConns, tuning.PeerTimeout, tuning.MaxPeerResponseBytes)}
}

// Ping pings the peer at addr. If the peer refuses the connection, the error wraps
// syscall.ECONNREFUSED.
func (c *Client) Ping(ctx context.Context, addr string, ping Ping) (Pong, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	var pong Pong
	status, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+PingPath, ping, &pong)
	switch {
	case err != nil:
		return pong, fmt.Errorf("ping %s: %w", addr, err)
	case status != http.StatusOK || pong.Node == "":
		return pong, fmt.Errorf("ping %s: %w: status %d", addr, ErrUnexpectedResponse, status)
	}
	return pong, nil
}

// WatchProcess sends a request that the peer answers only after tuning.PeerWatchTimeout. If the
// peer's process ends earlier, the connection breaks and WatchProcess returns an error at once. If
// no connection could be opened, the error wraps ErrNotConnected.
func (c *Client) WatchProcess(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerWatchTimeout+tuning.PeerTimeout)
	defer cancel()
	if _, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+WatchProcessPath, struct{}{}, nil); err != nil {
		var opError *net.OpError
		if errors.As(err, &opError) && opError.Op == "dial" {
			err = errors.Join(ErrNotConnected, err)
		}
		return fmt.Errorf("watch process of %s: %w", addr, err)
	}
	return nil
}

// Forward forwards a user's request to the peer at addr.
func (c *Client) Forward(ctx context.Context, addr string, request ForwardRequest, timeout time.Duration) (ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply ForwardReply
	status, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+ForwardPath, request, &reply)
	switch {
	case err != nil:
		return reply, fmt.Errorf("forward to %s: %w", addr, err)
	case status != http.StatusOK || reply.Status == 0:
		return reply, fmt.Errorf("forward to %s: %w: status %d", addr, ErrUnexpectedResponse, status)
	}
	return reply, nil
}

// EncodeBytes converts bytes to text with one rune, U+0000 to U+00FF, per byte, since a text field
// of a message must be valid UTF-8.
func EncodeBytes(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// DecodeBytes reverses EncodeBytes. ok is false if text contains a rune that EncodeBytes does not
// produce.
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
