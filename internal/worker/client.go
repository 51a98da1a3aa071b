// Package worker is the client of the workers' direct interface.
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

// Bounds on connections to one worker and on the size of an answer.
const (
	connsPerWorker = 2
	maxAnswerBytes = 1 << 20
)

// ErrUnexpectedStatus means that a worker's answer has a status that the protocol does not.
var ErrUnexpectedStatus = errors.New("unexpected status of a worker's answer")

// Client talks to workers. It is safe for concurrent use.
type Client struct{ rpc *rpc.Client }

// New makes a client.
func New() *Client {
	return &Client{rpc: rpc.New(connsPerWorker, tuning.MaxIdleWorkerConns, tuning.CommandTimeout, maxAnswerBytes)}
}

// Outcome is what became of a direct call.
type Outcome int

// Outcomes of a direct call.
const (
	OutcomeUnknown Outcome = iota // the commands may have been executed, or may yet be later
	Executed                      // comes with the worker's heartbeat
	Rejected                      // by the fencing token or incarnation; comes with the worker's heartbeat
)

// SendCommands sends commands to the worker at addr. The heartbeat is nil unless the
// outcome is known.
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
		return OutcomeUnknown, nil, fmt.Errorf("send commands to %s: %w: %w", addr, rpc.ErrMalformedAnswer, err)
	}
	if status == http.StatusConflict {
		return Rejected, &heartbeat, nil
	}
	return Executed, &heartbeat, nil
}
