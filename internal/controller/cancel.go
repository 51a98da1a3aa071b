package controller

import (
	"context"
	"errors"
	"net/http"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Cancel answers POST /v2/runs/{id}/withdraw.
func (c *Controller) Cancel(ctx context.Context, id string, origin Origin) Answer {
	if !wire.ValidJobID(id) {
		return jobUnknown
	}
	release, ok := c.admission.admitDecision()
	if !ok {
		return overloaded
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	request := userRequest{c, peer.ForwardRequest{Kind: peer.KindCancel, ID: id}, origin}
	for {
		if answer, decided := request.tryCancel(ctx, id); decided {
			return answer
		}
	}
}

// tryCancel reads the job and marks it as cancelled. It is not decided where the job has
// changed since it was read, or where the answer to the write was lost: read again, our own
// write may have been carried out.
func (r userRequest) tryCancel(ctx context.Context, id string) (answer Answer, decided bool) {
	c := r.controller
	view, found, err := c.lookUpJob(ctx, id)
	switch {
	case err != nil:
		return r.forwardOrRefuse(err), true
	case !found:
		return jobUnknown, true
	case view.State == wire.JobCancelled || view.State == wire.JobDone:
		return answerState(http.StatusOK, id, view.State), true
	}
	c.mu.Lock()
	live := c.replication.replica.Live[id]
	c.mu.Unlock()
	if live == nil {
		return Answer{}, false
	}
	err = commitCancellation(ctx, c.store, live)
	switch {
	case err == nil:
		c.update(func() { c.confirmCancellation(id) })
		return answerState(http.StatusOK, id, wire.JobCancelled), true
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil:
		return Answer{}, false
	}
	return r.forwardOrRefuse(err), true
}

func commitCancellation(ctx context.Context, store *kvstore.Client, live *scheduler.LiveJob) error {
	record := *live.Record
	record.Cancelled = true
	key := records.JobKey(record.Job.ID)
	_, _, err := store.Commit(ctx, kvstore.PriorityUser, wire.Txn{
		//mutation:cancellation-conditions
		If:   []wire.Compare{{Key: key, ModRevision: live.ModRevision}},
		Then: []wire.Op{{Set: key, Value: record}},
	})
	return err
}
