// Package worker is a client for the endpoint at which workers accept commands outside of
// heartbeat replies.
package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Limits on the connections to one worker and on the size of a response.
const (
	connsPerWorker   = 2
	maxResponseBytes = 1 << 20
)

// ErrUnexpectedStatus means that a worker returned an HTTP status that the protocol does not
// define.
var ErrUnexpectedStatus = errors.New("worker returned an unexpected status")

// Client sends commands to workers. It is safe for concurrent use.
type Client struct{ rpc *rpc.Client }

// New returns a client.
func New() *Client {
	return &Client{rpc: rpc.New(connsPerWorker, tuning.MaxIdleWorkerConns, tuning.CommandTimeout, maxResponseBytes)}
}

// Outcome is the result of SendCommands.
type Outcome int

// Outcomes of SendCommands.
const (
	// OutcomeUnknown means that the commands may have been executed, or may still be executed
	// later.
	OutcomeUnknown Outcome = iota
	// Executed means that the worker executed the commands.
	Executed
	// Rejected means that the worker executed none of the commands: it has seen a higher
	// fencing token, or the request names another incarnation.
	Rejected
)

// SendCommands sends commands to the worker at addr. It returns the heartbeat with which the
// worker responded if the outcome is Executed or Rejected, and a nil heartbeat otherwise.
func (c *Client) SendCommands(ctx context.Context, addr string, commands wire.DirectCommands) (Outcome, *wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	status, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+"/commands", commands, &heartbeat)
	if err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("send commands to %s: %w", addr, err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return OutcomeUnknown, nil, fmt.Errorf("send commands to %s: %w: %d", addr, ErrUnexpectedStatus, status)
	}
	if err := heartbeat.Validate(); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("send commands to %s: %w: %w", addr, rpc.ErrMalformedResponse, err)
	}
	if status == http.StatusConflict {
		return Rejected, &heartbeat, nil
	}
	return Executed, &heartbeat, nil
}
