// Package worker is the client of the workers' direct interface.
package worker

import (
	"context"
	"fmt"
	"net/http"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Client talks to workers.
type Client struct{ rpc *rpc.Client }

// New makes a client.
func New() *Client {
	return &Client{rpc: rpc.New(2, tuning.MaxIdleWorkerConns, tuning.CommandTimeout, 1<<20)}
}

// Outcome is what became of a direct call.
type Outcome int

// Executed and Refused come with the worker's report; Lost means that the
// commands may have been executed, or may yet be executed later.
const (
	OutcomeUnknown Outcome = iota
	Executed
	Rejected
)

// SendCommands sends commands.
func (c *Client) SendCommands(ctx context.Context, addr string, commands wire.DirectCommands) (Outcome, *wire.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+"/commands", commands, &heartbeat)
	if err != nil {
		return OutcomeUnknown, nil, err
	}
	if code != http.StatusOK && code != http.StatusConflict {
		return OutcomeUnknown, nil, fmt.Errorf("status %d", code)
	}
	if err := heartbeat.Validate(); err != nil {
		return OutcomeUnknown, nil, fmt.Errorf("%w: %v", rpc.ErrMalformedAnswer, err)
	}
	if code == http.StatusConflict {
		return Rejected, &heartbeat, nil
	}
	return Executed, &heartbeat, nil
}
