package controller

import (
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// admission limits how many users' requests are in progress. When the process lags, it refuses
// submissions first, and queries and cancellations only at a larger lag. Workers' heartbeats are
// never refused. It is safe for concurrent use.
type admission struct {
	tickLag             atomic.Int64         // delay of the last tick, in nanoseconds
	requestBacklog      func() time.Duration // how long requests wait before they are read
	submissionSlots     chan struct{}        // one element per submission in progress
	queryAndCancelSlots chan struct{}        // one element per query or cancellation in progress
}

func newAdmission() admission {
	return admission{
		requestBacklog:      func() time.Duration { return 0 },
		submissionSlots:     make(chan struct{}, tuning.MaxSubmissionsInFlight),
		queryAndCancelSlots: make(chan struct{}, tuning.MaxQueriesAndCancelsInFlight),
	}
}

// admitSubmission reserves a slot for a submission until release is called. If the submission must
// be refused, release is nil and refusal says why.
func (a *admission) admitSubmission() (release func(), refusal requestOutcome) {
	return a.admit(a.submissionSlots, tuning.MaxSubmissionTickLag)
}

// admitQueryOrCancel reserves a slot for a query or a cancellation until release is called. If the
// request must be refused, release is nil and refusal says why.
func (a *admission) admitQueryOrCancel() (release func(), refusal requestOutcome) {
	return a.admit(a.queryAndCancelSlots, tuning.MaxQueryAndCancelTickLag)
}

// admit reserves one of the slots, unless all are taken or the process lags by more than maxLag.
func (a *admission) admit(slots chan struct{}, maxLag time.Duration) (release func(), refusal requestOutcome) {
	if max(time.Duration(a.tickLag.Load()), a.requestBacklog()) > maxLag {
		return nil, outcomeRefusedLag
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, ""
	default:
		return nil, outcomeRefusedSlots
	}
}
