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
	// queryTimeout bounds a query. It is longer than tuning.LocalQueryTimeout, which bounds the time
	// in which a controller reads a job's state.
	queryTimeout = 2 * tuning.ForwardTimeout
	// maxReplyBytes bounds the body of a controller's reply.
	maxReplyBytes = 8 << 20
)

// controllerFlags holds the flags that select the queried controller and the output format.
type controllerFlags struct {
	Addr string `required:"" placeholder:"HOST:PORT" env:"YARROWGAP_ADDR" help:"A controller's address for users (bind)."`
	JSON bool   `help:"Print JSON."`
}

// pageFlags holds the flags that select a page of a list ordered by name.
type pageFlags struct {
	From string `placeholder:"NAME" help:"List what comes after this name."`
	Most int    `default:"100" help:"How many at most."`
}

func (p pageFlags) params() url.Values {
	return url.Values{"from": {p.From}, "most": {strconv.Itoa(p.Most)}}
}

// query sends a query to a controller and prints the reply as JSON or as a table.
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

// fetch sends a GET request to a controller and returns the body of the reply. A reply with a
// status other than 200 is a *replyError.
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

// replyError is a controller's reply to a query that it did not answer.
type replyError struct {
	status int
	reason string
	leader string // name of the leader to query instead; empty if unknown
}

// Error returns the reason with the leader to query instead or, if it is unknown, with the status.
func (e *replyError) Error() string {
	if e.leader != "" {
		return fmt.Sprintf("%s; ask %s", e.reason, e.leader)
	}
	return fmt.Sprintf("status %d: %s", e.status, e.reason)
}

// parseReplyError decodes the reply to a failed query.
func parseReplyError(status int, body []byte) error {
	var reply struct{ Error, Leader string }
	_ = json.Unmarshal(body, &reply) // without a reason, the error has only the status
	return &replyError{status: status, reason: reply.Error, leader: reply.Leader}
}
