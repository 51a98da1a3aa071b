package api_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// historyChecker is a job's user, who asks all controllers and notes every answer that is
// older than one that was received before the request.
type historyChecker struct {
	cluster    *cluster
	jobID      string
	submission []byte

	mu         sync.Mutex
	accepted   bool
	finalState string // done or cancelled, once an answer said so
	violations []string
}

func newHistoryChecker(c *cluster, job *wire.Job) *historyChecker {
	c.tb.Helper()
	return &historyChecker{cluster: c, jobID: job.ID, submission: encodeSubmission(c.tb, job)}
}

// userRequest is a kind of request.
type userRequest string

const (
	submitRequest userRequest = "submission"
	queryRequest  userRequest = "query"
	cancelRequest userRequest = "cancellation"
)

// send makes a request of controller i and checks its answer. It returns the state, or "".
func (h *historyChecker) send(i int, kind userRequest) string {
	h.mu.Lock()
	accepted, finalState := h.accepted, h.finalState
	h.mu.Unlock()
	got := h.perform(i, kind)
	h.mu.Lock()
	defer h.mu.Unlock()
	note := func(rule string) {
		h.violations = append(h.violations, fmt.Sprintf("%s: %s at controller %d: %d %q, accepted before: %v, final state before: %q",
			rule, kind, i, got.status, got.view.State, accepted, finalState))
	}
	switch got.status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if accepted || kind == submitRequest {
			note("forgotten")
		}
		return ""
	default:
		return ""
	}
	h.accepted = true
	state := got.view.State
	over := state == wire.JobDone || state == wire.JobCancelled
	switch {
	case finalState != "" && state != finalState, over && h.finalState != "" && state != h.finalState:
		note("went_back")
	case kind == cancelRequest && !over:
		note("cancellation not confirmed")
	}
	if over && h.finalState == "" {
		h.finalState = state
	}
	return state
}

func (h *historyChecker) perform(i int, kind userRequest) reply {
	switch kind {
	case submitRequest:
		return h.cluster.post(i, h.submission)
	case queryRequest:
		return h.cluster.query(i, h.jobID)
	case cancelRequest:
		return h.cluster.cancel(i, h.jobID)
	}
	return reply{}
}

// sendUntilAnswered repeats a request until a controller answers with the job's state.
func (h *historyChecker) sendUntilAnswered(i int, kind userRequest) {
	h.cluster.tb.Helper()
	h.cluster.eventually(string(kind), func() bool { return h.send(i, kind) != "" })
}

// sendToAll queries and submits at all controllers at once, again and again.
func (h *historyChecker) sendToAll(times int) {
	alternating := []userRequest{queryRequest, submitRequest}
	var controllers sync.WaitGroup
	for i := range h.cluster.userAddrs {
		controllers.Go(func() {
			for n := range times {
				h.send(i, alternating[(n+i)%len(alternating)])
			}
		})
	}
	controllers.Wait()
}

// sendAbandoned makes a request whose answer nobody waits for, until so many transactions
// are held.
func (h *historyChecker) sendAbandoned(i int, kind userRequest, held int) {
	h.cluster.tb.Helper()
	go h.send(i, kind)
	h.cluster.eventually("a held transaction", func() bool { return h.cluster.simulation.HeldTransactionCount() >= held })
}

// final is the state in which the job ended, or "".
func (h *historyChecker) final() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finalState
}

// reportViolations fails the test if an answer was older than one before.
func (h *historyChecker) reportViolations(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) > 0 {
		t.Errorf("%s: %d wrong answers, first: %s", h.jobID, len(h.violations), h.violations[0])
	}
}
