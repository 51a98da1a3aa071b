package controller

import (
	"net/http"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Answer is the answer to a user's request: the view of a query, the state of a submission
// or cancellation, or an error. A status of 503 or 429 carries Retry-After.
type Answer struct {
	Status int
	View   *wire.JobView
	State  *wire.JobStateReply
	Error  string
}

func answerState(status int, id, state string) Answer {
	return Answer{Status: status, State: &wire.JobStateReply{ID: id, State: state}}
}

func refuse(status int, message string) Answer { return Answer{Status: status, Error: message} }

// Answers that are always the same.
var (
	overloaded = refuse(http.StatusServiceUnavailable, "too many requests at this node")
	undecided  = refuse(http.StatusServiceUnavailable, "cannot be decided now")
	jobUnknown = refuse(http.StatusNotFound, "no such job")
)
