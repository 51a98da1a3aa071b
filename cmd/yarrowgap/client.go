package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

const (
	// queryTimeout leaves a controller time to ask another one.
	queryTimeout = 2 * tuning.ForwardTimeout
	// maxReplyBytes bounds a controller's reply.
	maxReplyBytes = 8 << 20
)

// controllerFlags say which controller is asked, and how its reply is printed.
type controllerFlags struct {
	Addr string `required:"" placeholder:"HOST:PORT" env:"YARROWGAP_ADDR" help:"A controller's address for users (bind)."`
	JSON bool   `help:"Print JSON."`
}

// pageFlags select a part of a list that is ordered by name.
type pageFlags struct {
	From string `placeholder:"NAME" help:"List what comes after this name."`
	Most int    `default:"100" help:"How many at most."`
}

func (p pageFlags) params() url.Values {
	return url.Values{"from": {p.From}, "most": {strconv.Itoa(p.Most)}}
}

// query asks a controller for a value, and prints the reply as JSON or as a table.
func query[T any](flags controllerFlags, path string, params url.Values, w io.Writer, printTable func(io.Writer, T)) error {
	body, err := fetch(flags.Addr, path, params)
	if err != nil {
		return err
	}
	if flags.JSON {
		_, err := fmt.Fprintf(w, "%s\n", body)
		return err
	}
	var value T
	if err := json.Unmarshal(body, &value); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printTable(table, value)
	return table.Flush()
}

// fetch returns the body of a successful reply.
func fetch(addr, path string, params url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	target := "http://" + addr + api.OperatorPath + path
	if len(params) > 0 {
		target += "?" + params.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, parseReplyError(response.StatusCode, body)
	}
	return body, nil
}

// replyError is a controller's refusal of a query.
type replyError struct {
	status int
	reason string
	leader string // who to ask instead, if that is known
}

// Error says who to ask instead, or the status.
func (e *replyError) Error() string {
	if e.leader != "" {
		return fmt.Sprintf("%s; ask %s", e.reason, e.leader)
	}
	return fmt.Sprintf("status %d: %s", e.status, e.reason)
}

func parseReplyError(status int, body []byte) error {
	var reply struct{ Error, Leader string }
	_ = json.Unmarshal(body, &reply) // without a reason, the status says enough
	return &replyError{status: status, reason: reply.Error, leader: reply.Leader}
}
