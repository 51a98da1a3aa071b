// Package cloud is a client for the cloud provider's API.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Errors that a request can return; test for them with errors.Is. Every error except
// ErrOutcomeUnknown means that the request was not executed.
var (
	// ErrNoCapacity means that the zone currently has no free machines of the requested type.
	ErrNoCapacity = errors.New("cloud has no capacity")
	// ErrUnavailable means that the cloud's API is down.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrRateLimited means that the cloud's request rate limit was exceeded.
	ErrRateLimited = errors.New("cloud request rate exceeded")
	// ErrOutcomeUnknown means that no usable response was received: the request may have been
	// executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("cloud request has an unknown outcome")
	// ErrRejected means that the cloud rejected the request with another error status.
	ErrRejected = errors.New("cloud rejected the request")
)

// noCapacityMessage is the error message that distinguishes ErrNoCapacity from ErrUnavailable:
// the cloud returns status 503 for both.
const noCapacityMessage = "no capacity"

// Limits on the connections to the cloud and on the size of a response.
const (
	maxConns         = 4
	maxResponseBytes = 4 << 20
)

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL string
	rpc     *rpc.Client
}

// New returns a client for the cloud at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, rpc: rpc.New(maxConns, maxConns, tuning.CloudTimeout, maxResponseBytes)}
}

// call sends a request and decodes the body of a successful response into response, unless
// that is nil. It returns one of the package's errors for every other response.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	var raw wire.Raw
	status, err := c.rpc.Call(ctx, method, c.baseURL+path, request, &raw)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch status {
	case http.StatusOK:
		if response == nil {
			return nil
		}
		if err := wire.Unmarshal(raw, response); err != nil {
			return fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, rpc.ErrMalformedResponse, err)
		}
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		var e wire.ErrorReply
		if wire.Unmarshal(raw, &e) == nil && e.Message == noCapacityMessage {
			return ErrNoCapacity
		}
		return ErrUnavailable
	}
	return fmt.Errorf("%w: status %d", ErrRejected, status)
}

// MachineTypes returns the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var reply wire.MachineTypeList
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &reply); err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	for _, t := range reply.Types {
		if t.Name == "" || !(t.CPUs > 0) || !(t.MemoryGB >= 0) {
			return nil, fmt.Errorf("read machine types: %w: %w: type %q", ErrOutcomeUnknown, rpc.ErrMalformedResponse, t.Name)
		}
	}
	return reply.Types, nil
}

// Provision requests machines and returns their names. After ErrOutcomeUnknown the machines
// may have been provisioned, or may still be provisioned later.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var reply wire.MachineNames
	if err := c.call(ctx, http.MethodPost, "/rentals", request, &reply); err != nil {
		return nil, fmt.Errorf("provision machines for request %s: %w", request.RequestID, err)
	}
	return reply.Machines, nil
}

// Release releases machines. When it returns nil, the machines no longer exist.
func (c *Client) Release(ctx context.Context, names []string) error {
	if err := c.call(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil); err != nil {
		return fmt.Errorf("release machines: %w", err)
	}
	return nil
}

// ListMachines returns all pages of the machine list, which lags behind the cloud's actual
// state.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	afterName := ""
	for {
		query := url.Values{"most": {strconv.Itoa(tuning.MachineListPageSize)}}
		if afterName != "" {
			query.Set("from", afterName)
		}
		var page wire.MachineList
		if err := c.call(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		for _, m := range page.Machines {
			if m.Name == "" || strings.ContainsAny(m.Name, " /") {
				return nil, fmt.Errorf("list machines: %w: %w: machine %q", ErrOutcomeUnknown, rpc.ErrMalformedResponse, m.Name)
			}
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		afterName = page.Machines[len(page.Machines)-1].Name
	}
}
