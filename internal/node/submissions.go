package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Submit answers POST /v2/runs.
func (n *Node) Submit(ctx context.Context, body []byte, forwarded bool) Answer {
	leave, ok := n.enter(n.submissions, tuning.LagSubmissions)
	if !ok {
		return busy
	}
	defer leave()
	begun := time.Now()
	defer func() {
		n.mu.Lock()
		_ = n.answers.RecordValue(min(max(1, time.Since(begun).Milliseconds()), 600_000))
		n.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmitPatience)
	defer cancel()
	fwd := mesh.Forward{Kind: mesh.Submit, Body: mesh.Text(body)}
	job, err := wire.ParseJob(body)
	if err != nil {
		refusal := refuse(http.StatusBadRequest, err.Error())
		if id := wire.IDOf(body); id != "" {
			return n.unlessKnown(ctx, id, refusal, fwd, forwarded)
		}
		n.log.Info("submission refused", "status", refusal.Status, "why", refusal.Error)
		return refusal
	}
	n.mu.Lock()
	types := n.types
	n.mu.Unlock()
	if verdict := n.judge(job, types); verdict.Status != 0 {
		//mutation:unfit-submission-of-known-job
		return n.unlessKnown(ctx, job.ID, verdict, fwd, forwarded)
	}
	job.CreatedMilli = time.Now().UnixMilli()
	rec := store.JobRecord{Job: *job}
	if float64(wire.JSONSize(rec)) > n.cfg.Deployment.State.ValueKB*1024*(1-tuning.ValueSlack)-float64(tuning.BitmapTasks)/6 {
		//mutation:long-submission-of-known-job
		return n.unlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, "the job's description is too long"), fwd, forwarded)
	}
	t := wire.Txn{
		//mutation:submission-conditions
		If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},
		Apply: []wire.Change{{Set: store.JobKey(job.ID), Value: rec}},
	}
	repeated := false // an earlier try, here or at a peer, may have been carried out
	type outcome struct{ err error }
	tried := make(chan outcome, 1)
	attempt := func() {
		_, _, err := n.state.Commit(ctx, store.Second, t)
		tried <- outcome{err}
	}
	go attempt()
	hedge := time.NewTimer(tuning.HedgeAfter)
	defer hedge.Stop()
	asked := forwarded
	passed := make(chan Answer, 1) // a peer's answer, if it decides
	ask := func() {
		if asked {
			return
		}
		asked, repeated = true, true
		go func() {
			// A peer that refuses the job for good knows other machine types, or came
			// too early to know it. Our own try may have been carried out: a user who
			// is told 422 gives up a job that runs.
			//mutation:peer-refusal
			if a, ok := n.passOn(fwd); ok && a.State != nil {
				passed <- a
			}
		}()
	}
	for waiting := true; waiting; {
		select {
		case o := <-tried:
			err = o.err
			if !errors.Is(err, store.ErrUnknown) {
				waiting = false
				break
			}
			// Carried out or not, the same write again is safe: its conditions
			// let it happen once. But not in a hot loop, and a peer may be in a
			// better place.
			repeated = true
			ask()
			time.AfterFunc(tuning.StateRetry, attempt)
		case <-hedge.C:
			ask()
		case a := <-passed:
			return a
		case <-ctx.Done():
			err, waiting = ctx.Err(), false
		}
	}
	switch {
	case err == nil:
		return Answer{Status: http.StatusCreated, State: &wire.JobState{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		v, found, err := n.known(ctx, job.ID)
		if err != nil || !found {
			return n.pass(forwarded, fwd, errors.Join(err, errors.New("known, state not read")))
		}
		status := http.StatusOK
		if repeated {
			status = http.StatusCreated
		}
		return Answer{Status: status, State: &wire.JobState{ID: job.ID, State: v.State}}
	}
	return n.pass(asked, fwd, err)
}

// unlessKnown refuses a submission, whatever the reason, unless its job is known: a
// repeated submission is answered with the job's state, even if the body has changed for
// the worse. Where it cannot be told now whether the job is known, nothing is refused for
// good: users do not retry after 400 and 422, and an accepted job would be forgotten.
func (n *Node) unlessKnown(ctx context.Context, id string, refusal Answer, fwd mesh.Forward, forwarded bool) Answer {
	v, found, err := n.known(ctx, id)
	switch {
	//mutation:refusal-needs-read
	case err != nil:
		//mutation:refusal-after-failed-read
		return n.pass(forwarded, fwd, err)
	case found:
		return Answer{Status: http.StatusOK, State: &wire.JobState{ID: id, State: v.State}}
	case refusal.Status == http.StatusServiceUnavailable && !forwarded:
		return n.pass(false, fwd, errors.New(refusal.Error))
	}
	n.log.Info("submission refused", "job", id, "status", refusal.Status, "why", refusal.Error)
	return refusal
}

// judge says whether a job can ever run. A zero status means that it can.
func (n *Node) judge(j *wire.Job, types []wire.MachineType) Answer {
	never := func(why string) Answer { return refuse(http.StatusUnprocessableEntity, why) }
	d := &n.cfg.Deployment
	tasks := 1.0
	if j.Service() || j.Gang() {
		tasks = float64(j.Tasks)
	}
	known := false
	for _, t := range d.Teams {
		if t.Name != j.Team {
			continue
		}
		known = true
		if tasks*j.CPUs > t.CPUsMax+1e-6 || tasks*j.GPUs > t.GPUsMax+1e-6 {
			return never("needs more than the team's limit")
		}
	}
	if !known {
		return never("unknown team")
	}
	if len(types) == 0 {
		return refuse(http.StatusServiceUnavailable, "machine types not known yet")
	}
	for i := range types {
		t := &types[i]
		if !t.Fits(j) || j.Types != nil && !contains(j.Types, t.Name) || j.Zone != "" && !contains(t.Zones, j.Zone) {
			continue
		}
		return Answer{}
	}
	return never("a task fits no allowed machine type")
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
