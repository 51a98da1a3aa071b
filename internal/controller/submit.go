package controller

import (
	"context"
	"encoding/base64"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Submit handles POST /v2/runs, which submits a job.
func (c *Controller) Submit(ctx context.Context, body []byte, origin Origin) Answer {
	return c.answerInTime(ctx, peer.KindSubmit, origin, func() Answer { return c.submit(ctx, body, origin) })
}

// submit handles a submission once.
func (c *Controller) submit(ctx context.Context, body []byte, origin Origin) Answer {
	release, refusal := c.admission.admitSubmission()
	if release == nil {
		c.requestCounts.add(peer.KindSubmit, refusal)
		return overloadedAnswer
	}
	defer release()
	defer c.recordSubmissionLatency(time.Now())
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmissionTimeout)
	defer cancel()
	request := userRequest{c, peer.ForwardRequest{Kind: peer.KindSubmit, Body: peer.EncodeBytes(body)}, origin}
	job, err := wire.ParseJob(body)
	if err != nil {
		return request.refuseMalformed(ctx, wire.JobIDOf(body), err)
	}
	if err := checkFeasible(job, c.cfg.Deployment.Teams, c.knownMachineTypes()); err != nil {
		//mutation:unfit-submission-of-known-job
		return request.refuseUnlessJobExists(ctx, job.ID, errorAnswer(infeasibleStatus(err), err.Error()))
	}
	job.CreatedAtMilli = time.Now().UnixMilli()
	record := records.Job{Job: *job}
	if exceedsValueLimit(&record, c.cfg.Deployment.Store.MaxValueBytes()) {
		//mutation:long-submission-of-known-job
		return request.refuseUnlessJobExists(ctx, job.ID, descriptionTooLongAnswer)
	}
	return newSubmission(request, record).run(ctx)
}

// recordSubmissionLatency records the time since a submission was received. It is called when the
// submission is answered.
func (c *Controller) recordSubmissionLatency(receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordLatency(c.metrics.submitToAnswer, time.Since(receivedAt))
}

// infeasibleStatus returns the HTTP status for an error of checkFeasible: 503 while the machine
// types are unknown, and 422 for a job that can never run.
func infeasibleStatus(err error) int {
	if errors.Is(err, errMachineTypesUnknown) {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// exceedsValueLimit reports whether the job's record might exceed the key-value store's limit on
// values once all its tasks are completed and it is cancelled.
func exceedsValueLimit(record *records.Job, maxValueBytes int) bool {
	final := *record
	final.Cancelled = true
	final.Done = strings.Repeat("x", base64.RawStdEncoding.EncodedLen((min(record.Job.Tasks, tuning.TasksPerBitmap)+7)/8))
	return wire.JSONSize(final) > records.MaxBytes(maxValueBytes)
}

// refuseMalformed refuses a submission that cannot be parsed, unless its job exists. id is empty
// if the job's ID cannot be parsed either.
func (r userRequest) refuseMalformed(ctx context.Context, id string, cause error) Answer {
	refusal := errorAnswer(http.StatusBadRequest, cause.Error())
	if id != "" {
		return r.refuseUnlessJobExists(ctx, id, refusal)
	}
	r.controller.log.Info("submission refused", "status", refusal.Status, "reason", refusal.Error)
	return refusal
}

// refuseUnlessJobExists answers a submission with the given refusal, unless its job exists.
// Submissions are idempotent: a repeated one is answered with the job's state, even if its body is
// no longer valid. While this controller cannot determine whether the job exists, it does not
// answer 400 or 422: users do not retry after these, and would give up a job that was accepted. A
// user's submission that would be refused with 503 is forwarded first.
func (r userRequest) refuseUnlessJobExists(ctx context.Context, id string, refusal Answer) Answer {
	snapshot, err := r.controller.lookUpJob(ctx, id)
	switch {
	//mutation:refusal-needs-read
	case err != nil:
		//mutation:refusal-after-failed-read
		return r.forwardOrRefuse(err)
	case snapshot.found:
		return stateAnswer(http.StatusOK, id, snapshot.view.State).during(snapshot.validity())
	case refusal.Status == http.StatusServiceUnavailable && r.origin == FromUser:
		return r.forwardOrRefuse(errors.New(refusal.Error))
	}
	r.controller.log.Info("submission refused", "job", id, "status", refusal.Status, "reason", refusal.Error)
	return refusal.during(snapshot.validity())
}

// submission is a valid submission that is being committed. Only the goroutine of run uses
// forwarded and maybeCommitted; the other fields do not change. The channels are never closed, and
// each has one sender at a time, which their buffers keep from blocking.
type submission struct {
	request userRequest
	jobID   string
	txn     wire.Txn

	commitResults chan commitAttempt // outcome of each commit attempt; one runs at a time
	peerAnswers   chan Answer        // a peer's answer that has the job's state
	forwarded     bool               // whether this controller or a peer has forwarded the submission
	// maybeCommitted is set when an earlier attempt of this controller or a peer may have been
	// executed. A conflict then does not prove that the job existed before the submission.
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
		commitResults: make(chan commitAttempt, 1),
		peerAnswers:   make(chan Answer, 1),
		forwarded:     request.origin == FromPeer,
	}
}

// run commits the submission and returns its answer. If the commit takes longer than
// tuning.HedgeDelay or its outcome is unknown, run also forwards the submission to a peer.
func (s *submission) run(ctx context.Context) Answer {
	commit := func() { s.commit(ctx) }
	go commit()
	hedge := time.NewTimer(tuning.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case result := <-s.commitResults:
			if !errors.Is(result.err, kvstore.ErrOutcomeUnknown) {
				return s.answer(ctx, result)
			}
			// Whether or not the write was executed, it is safe to repeat: its comparisons
			// let it succeed only once. The delay avoids a busy loop. A peer may have a better
			// connection to the key-value store.
			s.maybeCommitted = true
			s.forwardToPeer()
			time.AfterFunc(tuning.StoreRetryDelay, commit)
		case <-hedge.C:
			s.forwardToPeer()
		case answer := <-s.peerAnswers:
			return answer
		case <-ctx.Done():
			return s.answer(ctx, commitAttempt{err: ctx.Err()})
		}
	}
}

// commitAttempt is the outcome of a commit that was sent at sentAt.
type commitAttempt struct {
	sentAt time.Time
	err    error
}

func (s *submission) commit(ctx context.Context) {
	sentAt := time.Now()
	_, _, err := s.request.controller.store.Commit(ctx, kvstore.PriorityUser, s.txn)
	s.commitResults <- commitAttempt{sentAt, err}
}

// forwardToPeer forwards the submission, unless it has been forwarded already.
func (s *submission) forwardToPeer() {
	if s.forwarded {
		return
	}
	s.forwarded, s.maybeCommitted = true, true
	go func() {
		// A peer's refusal is ignored. The peer may know other machine types, or may have
		// looked for the job before it was committed. This controller's own attempt may have
		// been executed, and a user who receives 422 gives up a job that runs.
		//mutation:peer-refusal
		if answer, ok := s.request.controller.forward(s.request.forwardRequest); ok && answer.State != nil {
			s.peerAnswers <- answer
		}
	}()
}

// answer returns the answer to the submission by the outcome of its last commit attempt.
func (s *submission) answer(ctx context.Context, result commitAttempt) Answer {
	err := result.err
	accepted := stateReadAt(result.sentAt)
	switch {
	case err == nil && !accepted.expired(time.Now()):
		return stateAnswer(http.StatusCreated, s.jobID, wire.JobPending).during(accepted)
	case err == nil:
		s.maybeCommitted = true
		return s.answerExistingJob(ctx)
	case errors.Is(err, kvstore.ErrConflict):
		return s.answerExistingJob(ctx)
	case errors.Is(err, kvstore.ErrRejected) && !s.maybeCommitted:
		// The store has a lower limit than the settings say.
		return s.request.refuseUnlessJobExists(ctx, s.jobID, descriptionTooLongAnswer)
	case s.forwarded:
		s.request.recordNotServedLocally(err)
		return unavailableAnswer
	}
	return s.request.forwardOrRefuse(err)
}

var errStateNotRead = errors.New("job exists, but its state was not read")

// answerExistingJob answers a submission whose job exists in the key-value store, possibly because
// an earlier attempt to commit this submission was executed.
func (s *submission) answerExistingJob(ctx context.Context) Answer {
	snapshot, err := s.request.controller.lookUpJob(ctx, s.jobID)
	if err != nil || !snapshot.found {
		return s.request.forwardOrRefuse(errors.Join(err, errStateNotRead))
	}
	status := http.StatusOK
	if s.maybeCommitted {
		status = http.StatusCreated
	}
	return stateAnswer(status, s.jobID, snapshot.view.State).during(snapshot.validity())
}
