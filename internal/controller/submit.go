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
func (c *Controller) Submit(ctx context.Context, body []byte, origin Origin) Answer {
	release, ok := c.admission.admitSubmission()
	if !ok {
		return overloaded
	}
	defer release()
	defer c.observeSubmission(time.Now())
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	request := userRequest{c, peer.ForwardRequest{Kind: peer.KindSubmit, Body: peer.EncodeBytes(body)}, origin}
	job, err := wire.ParseJob(body)
	if err != nil {
		return request.refuseMalformed(ctx, wire.JobIDOf(body), err)
	}
	if err := checkFeasible(job, c.cfg.Deployment.Teams, c.knownMachineTypes()); err != nil {
		//mutation:unfit-submission-of-known-job
		return request.refuseUnlessKnown(ctx, job.ID, refuse(infeasibleStatus(err), err.Error()))
	}
	job.CreatedAtMilli = time.Now().UnixMilli()
	record := records.Job{Job: *job}
	if tooLong(&record, c.cfg.Deployment.Store.ValueKB) {
		//mutation:long-submission-of-known-job
		return request.refuseUnlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, "the job's description is too long"))
	}
	return newSubmission(request, record).run(ctx)
}

// observeSubmission measures the time to the answer.
func (c *Controller) observeSubmission(receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observe(c.metrics.submitToAnswer, time.Since(receivedAt))
}

// infeasibleStatus is 422 for a job that can never run.
func infeasibleStatus(err error) int {
	if errors.Is(err, errMachineTypesUnknown) {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// tooLong reports whether the job's record might not fit into a value of the store once the
// done bits of all tasks are in it.
func tooLong(record *records.Job, maxValueKB float64) bool {
	maxValueBytes := maxValueKB * 1024 * (1 - tuning.ValueSizeMargin)
	const doneBytes = float64(tuning.TasksPerBitmap) / base64BitsPerByte
	return float64(wire.JSONSize(*record)) > maxValueBytes-doneBytes
}

// base64BitsPerByte is how many bits a byte of base64 text carries.
const base64BitsPerByte = 6

// refuseMalformed refuses a submission that cannot be parsed; id is "" where not even the
// job's id can be read.
func (r userRequest) refuseMalformed(ctx context.Context, id string, cause error) Answer {
	refusal := refuse(http.StatusBadRequest, cause.Error())
	if id != "" {
		return r.refuseUnlessKnown(ctx, id, refusal)
	}
	r.controller.log.Info("submission refused", "status", refusal.Status, "reason", refusal.Error)
	return refusal
}

// refuseUnlessKnown refuses a submission, whatever the reason, unless its job is known: a
// repeated submission is idempotent and answered with the job's state, even if the body has
// changed for the worse. Where it cannot be told now whether the job is known, nothing is
// refused for good: users do not retry after 400 and 422, and would forget an accepted job.
func (r userRequest) refuseUnlessKnown(ctx context.Context, id string, refusal Answer) Answer {
	view, found, err := r.controller.lookUpJob(ctx, id)
	switch {
	//mutation:refusal-needs-read
	case err != nil:
		//mutation:refusal-after-failed-read
		return r.forwardOrRefuse(err)
	case found:
		return answerState(http.StatusOK, id, view.State)
	case refusal.Status == http.StatusServiceUnavailable && r.origin == FromUser:
		return r.forwardOrRefuse(errors.New(refusal.Error))
	}
	r.controller.log.Info("submission refused", "job", id, "status", refusal.Status, "reason", refusal.Error)
	return refusal
}

// submission is a valid submission while it is committed. Its fields belong to the goroutine
// of run, but for the channels, which are never closed and never block their one sender.
type submission struct {
	request userRequest
	jobID   string
	txn     wire.Txn

	committed   chan error  // the outcome of each try, of which there is one at a time
	peerAnswers chan Answer // of a peer that decided
	peerAsked   bool        // or must not be asked
	// maybeCommitted is set when an earlier try, here or at a peer, may have been carried
	// out: then a conflict does not mean that the job was known before.
	maybeCommitted bool
}

func newSubmission(request userRequest, record records.Job) *submission {
	id := record.Job.ID
	return &submission{
		request: request, jobID: id,
		txn: wire.Txn{
			//mutation:submission-conditions
			If:   []wire.Compare{{Key: records.JobKey(id)}, {Key: records.EndedJobKey(id)}},
			Then: []wire.Op{{Set: records.JobKey(id), Value: record}},
		},
		committed:   make(chan error, 1),
		peerAnswers: make(chan Answer, 1),
		peerAsked:   request.origin == FromPeer,
	}
}

// run commits the submission and has a peer try as well where that takes long.
func (s *submission) run(ctx context.Context) Answer {
	commit := func() { s.commit(ctx) }
	go commit()
	hedge := time.NewTimer(tuning.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case err := <-s.committed:
			if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
				return s.answer(ctx, err)
			}
			// Carried out or not, the same write again is safe: its comparisons let it
			// happen once. But not in a hot loop, and a peer may be in a better place.
			s.maybeCommitted = true
			s.askPeer()
			time.AfterFunc(tuning.StoreRetryDelay, commit)
		case <-hedge.C:
			s.askPeer()
		case answer := <-s.peerAnswers:
			return answer
		case <-ctx.Done():
			return s.answer(ctx, ctx.Err())
		}
	}
}

func (s *submission) commit(ctx context.Context) {
	_, _, err := s.request.controller.store.Commit(ctx, kvstore.PriorityUser, s.txn)
	s.committed <- err
}

// askPeer forwards the submission once.
func (s *submission) askPeer() {
	if s.peerAsked {
		return
	}
	s.peerAsked, s.maybeCommitted = true, true
	go func() {
		// A peer that refuses the job for good knows other machine types, or came too early
		// to know the job. Our own try may have been carried out: a user who is told 422
		// gives up a job that runs.
		//mutation:peer-refusal
		if answer, ok := s.request.controller.forward(s.request.message); ok && answer.State != nil {
			s.peerAnswers <- answer
		}
	}()
}

// answer says what became of the submission by the outcome of the last try.
func (s *submission) answer(ctx context.Context, err error) Answer {
	switch {
	case err == nil:
		return answerState(http.StatusCreated, s.jobID, wire.JobPending)
	case errors.Is(err, kvstore.ErrConflict):
		return s.answerKnown(ctx)
	case s.peerAsked:
		s.request.logUndecided(err)
		return undecided
	}
	return s.request.forwardOrRefuse(err)
}

var errStateNotRead = errors.New("job is known, but its state was not read")

// answerKnown answers the submission of a job that is in the store already.
func (s *submission) answerKnown(ctx context.Context) Answer {
	view, found, err := s.request.controller.lookUpJob(ctx, s.jobID)
	if err != nil || !found {
		return s.request.forwardOrRefuse(errors.Join(err, errStateNotRead))
	}
	status := http.StatusOK
	if s.maybeCommitted {
		status = http.StatusCreated
	}
	return answerState(status, s.jobID, view.State)
}
