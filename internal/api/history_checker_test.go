package api_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// historyChecker sends the requests of a job's user to the controllers and records violations:
// answers that are older than one received before the request was sent, answers with different
// final states, refused submissions, and cancellations that are answered with a state that is not
// final.
type historyChecker struct {
	cluster    *cluster
	jobID      string
	submission []byte

	mu         sync.Mutex
	accepted   bool   // an answer has reported the job's state
	finalState string // done or cancelled; empty until an answer has reported it
	violations []string
}

func newHistoryChecker(c *cluster, job *wire.Job) *historyChecker {
	c.tb.Helper()
	return &historyChecker{cluster: c, jobID: job.ID, submission: encodeSubmission(c.tb, job)}
}

// requestKind is the kind of a user's request.
type requestKind string

const (
	submitRequest requestKind = "submission"
	queryRequest  requestKind = "query"
	cancelRequest requestKind = "cancellation"
)

// send sends a request to controller i and checks the answer. It returns the job's state, or "" if
// the answer has none.
func (h *historyChecker) send(i int, kind requestKind) string {
	h.mu.Lock()
	accepted, finalState := h.accepted, h.finalState
	h.mu.Unlock()
	got := h.perform(i, kind)
	h.mu.Lock()
	defer h.mu.Unlock()
	recordViolation := func(rule string) {
		h.violations = append(h.violations, fmt.Sprintf("%s: %s at controller %d: %d %q, accepted before: %v, final state before: %q",
			rule, kind, i, got.status, got.view.State, accepted, finalState))
	}
	switch got.status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if accepted || kind == submitRequest {
			recordViolation("forgotten")
		}
		return ""
	default:
		return ""
	}
	h.accepted = true
	state := got.view.State
	ended := state == wire.JobDone || state == wire.JobCancelled
	switch {
	case finalState != "" && state != finalState, ended && h.finalState != "" && state != h.finalState:
		recordViolation("went_back")
	case kind == cancelRequest && !ended:
		recordViolation("cancellation not confirmed")
	}
	if ended && h.finalState == "" {
		h.finalState = state
	}
	return state
}

func (h *historyChecker) perform(i int, kind requestKind) reply {
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

// sendUntilAnswered repeats a request until controller i answers with the job's state.
func (h *historyChecker) sendUntilAnswered(i int, kind requestKind) {
	h.cluster.tb.Helper()
	h.cluster.eventually(string(kind), func() bool { return h.send(i, kind) != "" })
}

// sendToAll sends a number of requests to each controller, alternately queries and submissions. The
// controllers receive them concurrently.
func (h *historyChecker) sendToAll(requests int) {
	alternating := []requestKind{queryRequest, submitRequest}
	var controllers sync.WaitGroup
	for i := range h.cluster.userAddrs {
		controllers.Go(func() {
			for n := range requests {
				h.send(i, alternating[(n+i)%len(alternating)])
			}
		})
	}
	controllers.Wait()
}

// sendAbandoned sends a request without waiting for its answer. It returns when at least minHeld
// transactions are held.
func (h *historyChecker) sendAbandoned(i int, kind requestKind, minHeld int) {
	h.cluster.tb.Helper()
	go h.send(i, kind)
	h.cluster.eventually("a held transaction", func() bool { return h.cluster.simulation.HeldTransactionCount() >= minHeld })
}

// knownFinalState returns the final state that an answer has reported, or "".
func (h *historyChecker) knownFinalState() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finalState
}

// reportViolations fails the test if there were violations.
func (h *historyChecker) reportViolations(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) > 0 {
		t.Errorf("%s: %d wrong answers, first: %s", h.jobID, len(h.violations), h.violations[0])
	}
}
