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

// Submit answers POST /v2/runs.
func (c *Controller) Submit(ctx context.Context, body []byte, forwarded bool) Answer {
	release, ok := c.admit(c.admission.submissionSlots, tuning.MaxSubmissionTickLag)
	if !ok {
		return overloaded
	}
	defer release()
	receivedAt := time.Now()
	defer func() {
		c.mu.Lock()
		_ = c.metrics.submitToAnswer.RecordValue(min(max(1, time.Since(receivedAt).Milliseconds()), 600_000))
		c.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	forwardRequest := peer.ForwardRequest{Kind: peer.KindSubmit, Body: peer.EncodeBytes(body)}
	job, err := wire.ParseJob(body)
	if err != nil {
		refusal := refuse(http.StatusBadRequest, err.Error())
		if id := wire.JobIDOf(body); id != "" {
			return c.refuseUnlessKnown(ctx, id, refusal, forwardRequest, forwarded)
		}
		c.log.Info("submission refused", "status", refusal.Status, "why", refusal.Error)
		return refusal
	}
	c.mu.Lock()
	types := c.machineTypes
	c.mu.Unlock()
	if refusal := c.checkFeasible(job, types); refusal.Status != 0 {
		//mutation:unfit-submission-of-known-job
		return c.refuseUnlessKnown(ctx, job.ID, refusal, forwardRequest, forwarded)
	}
	job.CreatedAtMilli = time.Now().UnixMilli()
	record := records.Job{Job: *job}
	if float64(wire.JSONSize(record)) > c.cfg.Deployment.State.ValueKB*1024*(1-tuning.ValueSizeMargin)-float64(tuning.TasksPerBitmap)/6 {
		//mutation:long-submission-of-known-job
		return c.refuseUnlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, "the job's description is too long"), forwardRequest, forwarded)
	}
	txn := wire.Txn{
		//mutation:submission-conditions
		If:   []wire.Compare{{Key: records.JobKey(job.ID)}, {Key: records.EndedJobKey(job.ID)}},
		Then: []wire.Op{{Set: records.JobKey(job.ID), Value: record}},
	}
	repeated := false // an earlier try, here or at a peer, may have been carried out
	type outcome struct{ err error }
	committed := make(chan outcome, 1)
	commit := func() {
		_, _, err := c.store.Commit(ctx, kvstore.PriorityUser, txn)
		committed <- outcome{err}
	}
	go commit()
	hedge := time.NewTimer(tuning.HedgeDelay)
	defer hedge.Stop()
	forwardTried := forwarded
	peerAnswers := make(chan Answer, 1) // a peer's answer, if it decides
	askPeer := func() {
		if forwardTried {
			return
		}
		forwardTried, repeated = true, true
		go func() {
			// A peer that refuses the job for good knows other machine types, or came
			// too early to know it. Our own try may have been carried out: a user who
			// is told 422 gives up a job that runs.
			//mutation:peer-refusal
			if answer, ok := c.forward(forwardRequest); ok && answer.State != nil {
				peerAnswers <- answer
			}
		}()
	}
	for waiting := true; waiting; {
		select {
		case result := <-committed:
			err = result.err
			if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
				waiting = false
				break
			}
			// Carried out or not, the same write again is safe: its conditions
			// let it happen once. But not in a hot loop, and a peer may be in a
			// better place.
			repeated = true
			askPeer()
			time.AfterFunc(tuning.StoreRetryDelay, commit)
		case <-hedge.C:
			askPeer()
		case answer := <-peerAnswers:
			return answer
		case <-ctx.Done():
			err, waiting = ctx.Err(), false
		}
	}
	switch {
	case err == nil:
		return Answer{Status: http.StatusCreated, State: &wire.JobStateReply{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, kvstore.ErrConflict):
		view, found, err := c.lookUpJob(ctx, job.ID)
		if err != nil || !found {
			return c.forwardOrRefuse(forwarded, forwardRequest, errors.Join(err, errors.New("known, state not read")))
		}
		status := http.StatusOK
		if repeated {
			status = http.StatusCreated
		}
		return Answer{Status: status, State: &wire.JobStateReply{ID: job.ID, State: view.State}}
	}
	return c.forwardOrRefuse(forwardTried, forwardRequest, err)
}

// refuseUnlessKnown refuses a submission, whatever the reason, unless its job is known: a
// repeated submission is answered with the job's state, even if the body has changed for
// the worse. Where it cannot be told now whether the job is known, nothing is refused for
// good: users do not retry after 400 and 422, and an accepted job would be forgotten.
func (c *Controller) refuseUnlessKnown(ctx context.Context, id string, refusal Answer, forwardRequest peer.ForwardRequest, forwarded bool) Answer {
	view, found, err := c.lookUpJob(ctx, id)
	switch {
	//mutation:refusal-needs-read
	case err != nil:
		//mutation:refusal-after-failed-read
		return c.forwardOrRefuse(forwarded, forwardRequest, err)
	case found:
		return Answer{Status: http.StatusOK, State: &wire.JobStateReply{ID: id, State: view.State}}
	case refusal.Status == http.StatusServiceUnavailable && !forwarded:
		return c.forwardOrRefuse(false, forwardRequest, errors.New(refusal.Error))
	}
	c.log.Info("submission refused", "job", id, "status", refusal.Status, "why", refusal.Error)
	return refusal
}

// checkFeasible says whether a job can ever run. A zero status means that it can.
func (c *Controller) checkFeasible(job *wire.Job, types []wire.MachineType) Answer {
	never := func(why string) Answer { return refuse(http.StatusUnprocessableEntity, why) }
	deployment := &c.cfg.Deployment
	tasks := 1.0
	if job.Service() || job.Gang() {
		tasks = float64(job.Tasks)
	}
	teamKnown := false
	for _, t := range deployment.Teams {
		if t.Name != job.Team {
			continue
		}
		teamKnown = true
		if tasks*job.CPUs > t.MaxCPUs+1e-6 || tasks*job.GPUs > t.MaxGPUs+1e-6 {
			return never("needs more than the team's limit")
		}
	}
	if !teamKnown {
		return never("unknown team")
	}
	if len(types) == 0 {
		return refuse(http.StatusServiceUnavailable, "machine types not known yet")
	}
	for i := range types {
		t := &types[i]
		if !t.Fits(job) || job.MachineTypes != nil && !containsString(job.MachineTypes, t.Name) || job.Zone != "" && !containsString(t.Zones, job.Zone) {
			continue
		}
		return Answer{}
	}
	return never("a task fits no allowed machine type")
}

func containsString(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
