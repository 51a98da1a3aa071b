package controller

import (
	"context"
	"fmt"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestQueriesAreCountedByOutcome(t *testing.T) {
	const id = "run-000001"
	c := newTestController(t)
	c.replication.replica.CacheEnded(id, scheduler.EndedJob{Record: records.EndedJob{State: wire.JobDone, Done: 1, Tasks: 1}})
	c.Query(context.Background(), id, FromUser)
	c.admission.tickLag.Store(int64(tuning.MaxQueryAndCancelTickLag + 1))
	c.Query(context.Background(), id, FromUser)
	userRequest{c, peer.ForwardRequest{Kind: peer.KindQuery, ID: id}, FromUser}.forwardOrRefuse(kvstore.ErrRateLimited)
	counts := c.MetricsView().UserRequests
	for _, outcome := range []requestOutcome{outcomeAnswered, outcomeRefusedLag, outcomeStoreRateLimited, outcomeNoPeerReachable} {
		if name := fmt.Sprintf("%s: %s", peer.KindQuery, outcome); counts[name] != 1 {
			t.Errorf("%s counted %d times", name, counts[name])
		}
	}
}

func TestUndecidedRequestsAreAttributedToTheirCause(t *testing.T) {
	for cause, want := range map[error]requestOutcome{
		context.DeadlineExceeded:  outcomeStoreTimeout,
		kvstore.ErrRateLimited:    outcomeStoreRateLimited,
		kvstore.ErrUnavailable:    outcomeStoreUnavailable,
		kvstore.ErrOutcomeUnknown: outcomeStoreUnknown,
		kvstore.ErrRejected:       outcomeStoreRejected,
		errMachineTypesUnknown:    outcomeUndecided,
	} {
		if got := undecidedOutcome(fmt.Errorf("query: %w", cause)); got != want {
			t.Errorf("%v: %q, want %q", cause, got, want)
		}
	}
}
