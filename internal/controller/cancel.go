package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Answer is what a user is told. A status of 503 or 429 carries Retry-After.
type Answer struct {
	Status int
	View   *wire.JobView
	State  *wire.JobStateReply
	Error  string
}

func refuse(status int, reason string) Answer { return Answer{Status: status, Error: reason} }

var overloaded = refuse(http.StatusServiceUnavailable, "too many requests at this node")

// admit takes a place among the bounded requests, or says that there is none.
// When the process falls behind, work is refused by rank: submissions first,
// then polls and cancellations; workers' reports are always taken.
func (c *Controller) admit(slots chan struct{}, maxLag time.Duration) (release func(), ok bool) {
	if max(time.Duration(c.admission.tickLag.Load()), c.admission.requestBacklog()) > maxLag {
		return nil, false
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		return nil, false
	}
}

// Cancel answers POST /v2/runs/{id}/withdraw.
func (c *Controller) Cancel(ctx context.Context, id string, forwarded bool) Answer {
	if !wire.ValidJobID(id) {
		return refuse(http.StatusNotFound, "no such job")
	}
	release, ok := c.admit(c.admission.decisionSlots, tuning.MaxDecisionTickLag)
	if !ok {
		return overloaded
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	state := func(s string) Answer {
		return Answer{Status: http.StatusOK, State: &wire.JobStateReply{ID: id, State: s}}
	}
	forwardRequest := peer.ForwardRequest{Kind: peer.KindCancel, ID: id}
	for {
		view, found, err := c.lookUpJob(ctx, id)
		switch {
		case err != nil:
			return c.forwardOrRefuse(forwarded, forwardRequest, err)
		case !found:
			return refuse(http.StatusNotFound, "no such job")
		case view.State == wire.JobCancelled || view.State == wire.JobDone:
			return state(view.State)
		}
		c.mu.Lock()
		live := c.replication.replica.Live[id]
		c.mu.Unlock()
		if live == nil {
			continue
		}
		record := *live.Record
		record.Cancelled = true
		_, _, err = c.store.Commit(ctx, kvstore.PriorityUser, wire.Txn{
			//mutation:cancellation-conditions
			If:   []wire.Compare{{Key: records.JobKey(id), ModRevision: live.ModRevision}},
			Then: []wire.Op{{Set: records.JobKey(id), Value: record}},
		})
		switch {
		case err == nil:
			c.update(func() { c.confirmCancellation(id) })
			return state(wire.JobCancelled)
		case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil:
			continue // read again: it moved on, or our own write went through
		}
		return c.forwardOrRefuse(forwarded, forwardRequest, err)
	}
}
