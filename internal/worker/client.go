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
	return &Client{rpc: rpc.New(2, tuning.WorkerConnsIdle, tuning.CommandTimeout, 1<<20)}
}

// Outcome is what became of a direct call.
type Outcome int

// Executed and Refused come with the worker's report; Lost means that the
// commands may have been executed, or may yet be executed later.
const (
	Lost Outcome = iota
	Executed
	Refused
)

// Commands sends commands.
func (c *Client) Commands(ctx context.Context, addr string, d wire.DirectCommands) (Outcome, *wire.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	var r wire.Report
	code, err := c.rpc.Call(ctx, http.MethodPost, "http://"+addr+"/commands", d, &r)
	if err != nil {
		return Lost, nil, err
	}
	if code != http.StatusOK && code != http.StatusConflict {
		return Lost, nil, fmt.Errorf("status %d", code)
	}
	if err := r.Check(); err != nil {
		return Lost, nil, fmt.Errorf("%w: %v", rpc.ErrDecode, err)
	}
	if code == http.StatusConflict {
		return Refused, &r, nil
	}
	return Executed, &r, nil
}
