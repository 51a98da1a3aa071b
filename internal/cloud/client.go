// Package cloud is the client of the cloud's API.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// What can become of a call besides an answer.
var (
	ErrNoCapacity     = errors.New("no capacity")
	ErrUnavailable    = errors.New("cloud in trouble")
	ErrRateLimited    = errors.New("cloud limits requests")
	ErrOutcomeUnknown = errors.New("cloud did not answer")
	ErrRejected       = errors.New("cloud refused the request")
)

// Client talks to the cloud.
type Client struct {
	baseURL string
	rpc     *rpc.Client
}

// New makes a client for the cloud at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, rpc: rpc.New(4, 4, tuning.CloudTimeout, 4<<20)}
}

func (c *Client) call(ctx context.Context, method, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	var raw wire.Raw
	code, err := c.rpc.Call(ctx, method, c.baseURL+path, request, &raw)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	switch code {
	case http.StatusOK:
		if answer == nil {
			return nil
		}
		if err := wire.Unmarshal(raw, answer); err != nil {
			return fmt.Errorf("%w: %w: %v", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, err)
		}
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		var e wire.ErrorReply
		if wire.Unmarshal(raw, &e) == nil && e.Message == "no capacity" {
			return ErrNoCapacity
		}
		return ErrUnavailable
	}
	return fmt.Errorf("%w: status %d", ErrRejected, code)
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var out wire.MachineTypeList
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &out); err != nil {
		return nil, err
	}
	for _, t := range out.Types {
		if t.Name == "" || !(t.CPUs > 0) || !(t.MemoryGB >= 0) {
			return nil, fmt.Errorf("%w: %w: type %q", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, t.Name)
		}
	}
	return out.Types, nil
}

// Provision rents machines. After ErrOutcomeUnknown they may have been rented, now or later.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/rentals", request, &out)
	return out.Machines, err
}

// Release gives machines back. Without an error they are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// ListMachines reads the whole list of machines, as it was a while ago.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	from := ""
	for {
		q := url.Values{"most": {fmt.Sprint(tuning.MachineListPageSize)}}
		if from != "" {
			q.Set("from", from)
		}
		var p wire.MachineList
		if err := c.call(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &p); err != nil {
			return nil, err
		}
		for _, m := range p.Machines {
			if m.Name == "" || strings.ContainsAny(m.Name, " /") {
				return nil, fmt.Errorf("%w: %w: machine %q", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, m.Name)
			}
		}
		all = append(all, p.Machines...)
		if !p.More || len(p.Machines) == 0 {
			return all, nil
		}
		from = p.Machines[len(p.Machines)-1].Name
	}
}
