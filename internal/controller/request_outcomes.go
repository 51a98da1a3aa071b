package controller

import (
	"context"
	"errors"
	"maps"
	"sync"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
)

// requestOutcome says how this controller dealt with a user's request, for metrics and the log.
type requestOutcome string

// Outcomes of users' requests. Each request that is not answered locally has the outcome that says
// why, and if it was forwarded also one that says whether a peer answered it.
const (
	outcomeAnswered         requestOutcome = "answered"
	outcomeAnsweredByPeer   requestOutcome = "answered by a peer"
	outcomeNoPeerAnswered   requestOutcome = "no peer answered"
	outcomeNoPeerReachable  requestOutcome = "no peer to forward to"
	outcomeRefusedLag       requestOutcome = "refused: process lags"
	outcomeRefusedSlots     requestOutcome = "refused: too many in progress"
	outcomeStoreTimeout     requestOutcome = "key-value store: no answer in time"
	outcomeStoreRateLimited requestOutcome = "key-value store: rate limit"
	outcomeStoreUnavailable requestOutcome = "key-value store: unavailable"
	outcomeStoreUnknown     requestOutcome = "key-value store: answer lost"
	outcomeStoreRejected    requestOutcome = "key-value store: too large or malformed"
	outcomeTooOld           requestOutcome = "answer too old"
	outcomeUndecided        requestOutcome = "undecided for another reason"
)

// undecidedOutcome returns the outcome of a request that this controller could not decide for the
// given cause.
func undecidedOutcome(cause error) requestOutcome {
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return outcomeStoreTimeout
	case errors.Is(cause, kvstore.ErrRateLimited):
		return outcomeStoreRateLimited
	case errors.Is(cause, kvstore.ErrUnavailable):
		return outcomeStoreUnavailable
	case errors.Is(cause, kvstore.ErrOutcomeUnknown):
		return outcomeStoreUnknown
	case errors.Is(cause, kvstore.ErrRejected):
		return outcomeStoreRejected
	}
	return outcomeUndecided
}

// requestCounts counts users' requests by kind and outcome. It is safe for concurrent use.
type requestCounts struct {
	mu     sync.Mutex
	counts map[string]uint64 // by "kind: outcome"
	// unanswered counts the requests with an outcome other than outcomeAnswered.
	unanswered uint64
}

func newRequestCounts() *requestCounts { return &requestCounts{counts: map[string]uint64{}} }

func (r *requestCounts) add(kind peer.RequestKind, outcome requestOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[string(kind)+": "+string(outcome)]++
	if outcome != outcomeAnswered {
		r.unanswered++
	}
}

// snapshot returns a copy of the counts, and the number of requests not answered locally.
func (r *requestCounts) snapshot() (counts map[string]uint64, unanswered uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts), r.unanswered
}
