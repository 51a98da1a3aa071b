// Package cloud is the client of the cloud's API.
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

// Errors of a request, tested by errors.Is. After all but ErrOutcomeUnknown the request
// was not carried out.
var (
	// ErrNoCapacity means that there are no machines of the type and zone now.
	ErrNoCapacity = errors.New("cloud has no capacity")
	// ErrUnavailable means that the cloud's interface is down.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrRateLimited means that there were too many requests.
	ErrRateLimited = errors.New("cloud request rate exceeded")
	// ErrOutcomeUnknown means that there was no usable answer: the request may have been
	// carried out, or may yet be carried out later.
	ErrOutcomeUnknown = errors.New("cloud request has an unknown outcome")
	// ErrRejected means that the cloud rejected the request.
	ErrRejected = errors.New("cloud rejected the request")
)

// noCapacityReply tells ErrNoCapacity from ErrUnavailable, which have the same status.
const noCapacityReply = "no capacity"

// Bounds on connections to the cloud and on the size of an answer.
const (
	maxConns       = 4
	maxAnswerBytes = 4 << 20
)

// Client talks to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL string
	rpc     *rpc.Client
}

// New makes a client for the cloud at addr.
func New(addr string) *Client {
	return &Client{baseURL: "http://" + addr, rpc: rpc.New(maxConns, maxConns, tuning.CloudTimeout, maxAnswerBytes)}
}

func (c *Client) call(ctx context.Context, method, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	var raw wire.Raw
	code, err := c.rpc.Call(ctx, method, c.baseURL+path, request, &raw)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch code {
	case http.StatusOK:
		if answer == nil {
			return nil
		}
		if err := wire.Unmarshal(raw, answer); err != nil {
			return fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, err)
		}
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		var e wire.ErrorReply
		if wire.Unmarshal(raw, &e) == nil && e.Message == noCapacityReply {
			return ErrNoCapacity
		}
		return ErrUnavailable
	}
	return fmt.Errorf("%w: status %d", ErrRejected, code)
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var reply wire.MachineTypeList
	if err := c.call(ctx, http.MethodGet, "/flavors", nil, &reply); err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	for _, t := range reply.Types {
		if t.Name == "" || !(t.CPUs > 0) || !(t.MemoryGB >= 0) {
			return nil, fmt.Errorf("read machine types: %w: %w: type %q", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, t.Name)
		}
	}
	return reply.Types, nil
}

// Provision requests machines and returns their names. After ErrOutcomeUnknown they may
// have been provisioned, or may yet be.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]string, error) {
	var reply wire.MachineNames
	if err := c.call(ctx, http.MethodPost, "/rentals", request, &reply); err != nil {
		return nil, fmt.Errorf("provision %s: %w", request.RequestID, err)
	}
	return reply.Machines, nil
}

// Release releases machines. Without an error they are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	if err := c.call(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil); err != nil {
		return fmt.Errorf("release machines: %w", err)
	}
	return nil
}

// ListMachines reads the whole list of machines, which lags behind the cloud's state.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	from := ""
	for {
		query := url.Values{"most": {strconv.Itoa(tuning.MachineListPageSize)}}
		if from != "" {
			query.Set("from", from)
		}
		var page wire.MachineList
		if err := c.call(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page); err != nil {
			return nil, fmt.Errorf("list machines: %w", err)
		}
		for _, m := range page.Machines {
			if m.Name == "" || strings.ContainsAny(m.Name, " /") {
				return nil, fmt.Errorf("list machines: %w: %w: machine %q", ErrOutcomeUnknown, rpc.ErrMalformedAnswer, m.Name)
			}
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
}
