package controller

import (
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// admission bounds the users' requests in progress, and sheds load when the process lags:
// submissions first, then queries and cancellations. Workers' heartbeats are always served.
// Safe for concurrent use.
type admission struct {
	tickLag         atomic.Int64         // how late the last tick came, in nanoseconds
	requestBacklog  func() time.Duration // see Controller.SetRequestBacklog
	submissionSlots chan struct{}
	decisionSlots   chan struct{} // of queries and cancellations
}

func newAdmission() admission {
	return admission{
		requestBacklog:  func() time.Duration { return 0 },
		submissionSlots: make(chan struct{}, tuning.MaxSubmissionsInFlight),
		decisionSlots:   make(chan struct{}, tuning.MaxDecisionsInFlight),
	}
}

// admitSubmission takes a slot for a submission until release is called.
func (a *admission) admitSubmission() (release func(), ok bool) {
	return a.admit(a.submissionSlots, tuning.MaxSubmissionTickLag)
}

// admitDecision takes a slot for a query or a cancellation until release is called.
func (a *admission) admitDecision() (release func(), ok bool) {
	return a.admit(a.decisionSlots, tuning.MaxDecisionTickLag)
}

func (a *admission) admit(slots chan struct{}, maxLag time.Duration) (release func(), ok bool) {
	if max(time.Duration(a.tickLag.Load()), a.requestBacklog()) > maxLag {
		return nil, false
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		return nil, false
	}
}
