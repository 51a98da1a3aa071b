package controller

import (
	"net/http"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Answer is the answer to a user's request. View is set for a query, State for a submission or
// a cancellation, and Error if the request failed. Answers with status 503 or 429 are sent with
// a Retry-After header.
type Answer struct {
	Status   int
	View     *wire.JobView
	State    *wire.JobStateReply
	Error    string
	validity validity
}

// during returns the answer with the given validity.
func (a Answer) during(v validity) Answer {
	a.validity = v
	return a
}

// hasFinalState reports whether the answer gives a job's final state.
func (a Answer) hasFinalState() bool { return isFinal(a.jobState()) }

// isFinal reports whether a job's state is final.
func isFinal(state string) bool { return state == wire.JobDone || state == wire.JobCancelled }

// jobState returns the state of the job that the answer gives, or "" if it gives none.
func (a Answer) jobState() string {
	switch {
	case a.View != nil:
		return a.View.State
	case a.State != nil:
		return a.State.State
	}
	return ""
}

func stateAnswer(status int, id, state string) Answer {
	return Answer{Status: status, State: &wire.JobStateReply{ID: id, State: state}}
}

func errorAnswer(status int, message string) Answer { return Answer{Status: status, Error: message} }

// Error answers with a fixed status and text.
var (
	overloadedAnswer  = errorAnswer(http.StatusServiceUnavailable, "too many requests at this node")
	unavailableAnswer = errorAnswer(http.StatusServiceUnavailable, "cannot be decided now")
	jobNotFoundAnswer = errorAnswer(http.StatusNotFound, "no such job")

	descriptionTooLongAnswer = errorAnswer(http.StatusBadRequest, "the job's description is too long")
)
