package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Cancel handles POST /v2/runs/{id}/withdraw, which cancels a job.
func (c *Controller) Cancel(ctx context.Context, id string, origin Origin) Answer {
	if !wire.ValidJobID(id) {
		return jobNotFoundAnswer
	}
	return c.answerInTime(ctx, peer.KindCancel, origin, func() Answer { return c.cancel(ctx, id, origin) })
}

// cancel handles a cancellation once.
func (c *Controller) cancel(ctx context.Context, id string, origin Origin) Answer {
	release, refusal := c.admission.admitQueryOrCancel()
	if release == nil {
		c.requestCounts.add(peer.KindCancel, refusal)
		return overloadedAnswer
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	request := userRequest{c, peer.ForwardRequest{Kind: peer.KindCancel, ID: id}, origin}
	for {
		if answer, final := request.tryCancel(ctx, id); final {
			return answer
		}
	}
}

// tryCancel reads the job and marks it as cancelled. final is false, and the caller tries again,
// if the job has changed since it was read or if the outcome of the write is unknown: reading the
// job again shows whether that write was executed.
func (r userRequest) tryCancel(ctx context.Context, id string) (answer Answer, final bool) {
	c := r.controller
	snapshot, err := c.lookUpJob(ctx, id)
	switch {
	case err != nil:
		return r.forwardOrRefuse(err), true
	case !snapshot.found:
		return jobNotFoundAnswer.during(snapshot.validity()), true
	case isFinal(snapshot.view.State):
		return stateAnswer(http.StatusOK, id, snapshot.view.State).during(snapshot.validity()), true
	}
	c.mu.Lock()
	live := c.replication.replica.Live[id]
	c.mu.Unlock()
	if live == nil {
		return Answer{}, false
	}
	revision, err := commitCancellation(ctx, c.store, live, records.MaxBytes(c.cfg.Deployment.Store.MaxValueBytes()))
	switch {
	case err == nil:
		now := time.Now()
		c.update(func() {
			c.replication.revisions.observe(revision, now)
			c.confirmCancellation(id)
		})
		return stateAnswer(http.StatusOK, id, wire.JobCancelled).during(finalStateSeenAt(now)), true
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil:
		return Answer{}, false
	}
	return r.forwardOrRefuse(err), true
}

// commitCancellation marks the job as cancelled in the key-value store, in a record of at most
// maxBytes if possible, and returns the revision of that. It fails with kvstore.ErrConflict if the
// job's record has changed since live was read.
func commitCancellation(ctx context.Context, store *kvstore.Client, live *scheduler.LiveJob, maxBytes int) (revision uint64, err error) {
	commit := func(maxBytes int) (revision uint64, err error) {
		record := live.Record.AsCancelled(maxBytes)
		key := records.JobKey(record.Job.ID)
		revision, _, err = store.Commit(ctx, kvstore.PriorityUser, wire.Txn{
			//mutation:cancellation-conditions
			If:   []wire.Compare{{Key: key, ModRevision: live.ModRevision}},
			Then: []wire.Op{{Set: key, Value: record}},
		})
		return revision, err
	}
	revision, err = commit(maxBytes)
	if errors.Is(err, kvstore.ErrRejected) {
		// The store has a lower limit than maxBytes.
		//mutation:smallest-cancellation
		revision, err = commit(0)
	}
	return revision, err
}
