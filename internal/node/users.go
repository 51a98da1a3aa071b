package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Answer is what a user is told. A status of 503 or 429 carries Retry-After.
type Answer struct {
	Status int
	View   *wire.JobView
	State  *wire.JobState
	Error  string
}

func refuse(status int, why string) Answer { return Answer{Status: status, Error: why} }

var busy = refuse(http.StatusServiceUnavailable, "too many requests at this node")

// syncCall is one read of the changes since the replica's epoch. Whoever came
// before it was sent may rely on what it finds.
type syncCall struct {
	done chan struct{}
	err  error
	at   time.Time // when it was answered
}

// fresh brings the replica up to a moment after the call. Concurrent callers
// share a read, but never one that was sent before they came. It says when that was
// answered.
func (n *Node) fresh(ctx context.Context) (time.Time, error) {
	n.syncMu.Lock()
	c := n.next
	if c == nil {
		c = &syncCall{done: make(chan struct{})}
		n.next = c
		if !n.active {
			n.active = true
			go n.syncLoop()
		}
	}
	n.syncMu.Unlock()
	select {
	case <-c.done:
		return c.at, c.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// syncLoop serves waiting calls one after the other and ends when none waits.
func (n *Node) syncLoop() {
	for {
		n.syncMu.Lock()
		c := n.next
		n.next = nil
		if c == nil {
			n.active = false
			n.syncMu.Unlock()
			return
		}
		n.syncMu.Unlock()
		c.err = n.syncOnce()
		c.at = time.Now()
		close(c.done)
		time.Sleep(n.syncGap())
	}
}

// syncGap spaces the reads so that all nodes together stay within their share of
// the state service's rate.
func (n *Node) syncGap() time.Duration {
	return max(tuning.SyncGap, config.Seconds(float64(1+len(n.peers))/(n.cfg.Deployment.State.RPS*tuning.SyncShare)))
}

func (n *Node) syncOnce() error {
	ctx := context.Background()
	n.mu.Lock()
	loaded, from := n.replica.Loaded, n.replica.Epoch
	n.mu.Unlock()
	if !loaded {
		return n.reload(ctx)
	}
	begun := time.Now()
	c, err := n.state.Changes(ctx, store.Second, store.JobsPrefix, from, 0)
	if errors.Is(err, store.ErrTooOld) {
		return n.reload(ctx)
	}
	if err != nil {
		return err
	}
	n.applyChanges(c, begun)
	return nil
}

// follow keeps a follower's replica from falling behind what watches reach, and
// the leader's as fresh as its right to answer workers asks for.
func (n *Node) follow(ctx context.Context) {
	for pause := tuning.FollowEvery; sleep(ctx, jitter(pause)); {
		_, _ = n.fresh(ctx) // failing that, the next round or a poll will do
		pause = tuning.FollowEvery
		n.mu.Lock()
		if n.leader != nil {
			pause = tuning.LeaderFresh
		}
		n.mu.Unlock()
	}
}

// known tells a job's state as of a moment after the call; found is false for one that
// was never accepted, and an error says that this cannot be told now. What was read
// before this process stood still for a while is read again: others may have told the
// user something newer meanwhile.
func (n *Node) known(ctx context.Context, id string) (v wire.JobView, found bool, err error) {
	err = readFresh(func() (at time.Time, err error) {
		v, found, at, err = n.readState(ctx, id)
		return at, err
	})
	return v, found, err
}

// readFresh looks until what was read is as fresh as an answer has to be.
func readFresh(look func() (at time.Time, err error)) error {
	for {
		if at, err := look(); err != nil || time.Since(at) < tuning.AnswerWithin {
			return err
		}
	}
}

// readState is one try of known. It also says when what it tells was read.
func (n *Node) readState(ctx context.Context, id string) (v wire.JobView, found bool, at time.Time, err error) {
	n.mu.Lock()
	rec, ok := n.replica.Ended(id)
	n.mu.Unlock()
	if ok {
		return endedView(id, rec), true, time.Now(), nil // for good
	}
	if at, err = n.fresh(ctx); err != nil {
		return v, false, at, err
	}
	n.mu.Lock()
	live := n.replica.Live[id]
	rec, ended := n.replica.Ended(id)
	absent, resets := n.replica.Absent(id), n.replica.Resets
	if live != nil {
		v = n.liveView(id, live)
	}
	n.mu.Unlock()
	if ended {
		return endedView(id, rec), true, at, nil
	}
	if live != nil || absent {
		return v, live != nil, at, nil
	}
	// Once for each id, and behind what others wait for: whoever asks about many
	// that nobody submitted must not take the reads of those that somebody did.
	it, err := n.state.Get(ctx, store.Third, store.EndedKey(id))
	at = time.Now()
	if err != nil {
		return v, false, at, err
	}
	if it.Stamp == 0 {
		n.mu.Lock()
		// While the read was out, the job may have come and ended in changes that a
		// reset passed over: it would be unknown here for good.
		if n.replica.Resets == resets {
			n.replica.Missing(id)
		}
		n.mu.Unlock()
		return v, false, at, nil
	}
	if err := wire.Unmarshal(it.Value, &rec); err != nil {
		return v, false, at, err
	}
	n.mu.Lock()
	n.replica.Remember(id, rec)
	n.mu.Unlock()
	return endedView(id, rec), true, at, nil
}

func endedView(id string, rec store.EndedRecord) wire.JobView {
	return wire.JobView{ID: id, State: rec.State, Done: rec.Done}
}

// liveView describes a live job. Called with the lock held.
func (n *Node) liveView(id string, live *core.LiveJob) wire.JobView {
	v := wire.JobView{ID: id, State: wire.JobPending}
	bits := store.NewBitmap(live.Record.Job.Tasks)
	if bits.Merge(0, live.Record.Done) == nil {
		v.Done = bits.Count()
	}
	if n.leader != nil {
		v.Running = n.leader.RunningOf(id)
	} else if p := n.peers[n.lead.name]; p != nil {
		v.Running = p.running[id]
	}
	if live.Record.Cancelled {
		n.cancelled(id)
		v.State, v.Running = wire.JobCancelled, 0
	} else if v.Running > 0 {
		v.State = wire.JobRunning
	}
	return v
}

// enter takes a place among the bounded requests, or says that there is none.
// When the process falls behind, work is refused by rank: submissions first,
// then polls and cancellations; workers' reports are always taken.
func (n *Node) enter(slots chan struct{}, lag time.Duration) (leave func(), ok bool) {
	if max(time.Duration(n.lag.Load()), n.backlog()) > lag {
		return nil, false
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, true
	default:
		return nil, false
	}
}

// Query answers GET /v2/runs/{id}.
func (n *Node) Query(ctx context.Context, id string, forwarded bool) Answer {
	if !wire.ValidID(id) {
		return refuse(http.StatusNotFound, "no such job")
	}
	leave, ok := n.enter(n.decisions, tuning.LagDecisions)
	if !ok {
		return busy
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, tuning.QueryPatience)
	defer cancel()
	v, found, err := n.known(ctx, id)
	switch {
	case err != nil:
		return n.pass(forwarded, mesh.Forward{Kind: mesh.Query, ID: id}, err)
	case !found:
		return refuse(http.StatusNotFound, "no such job")
	}
	return Answer{Status: http.StatusOK, View: &v}
}

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
		return n.unlessKnown(ctx, job.ID, verdict, fwd, forwarded)
	}
	job.CreatedMilli = time.Now().UnixMilli()
	rec := store.JobRecord{Job: *job}
	if float64(wire.JSONSize(rec)) > n.cfg.Deployment.State.ValueKB*1024*(1-tuning.ValueSlack)-float64(tuning.BitmapTasks)/6 {
		return n.unlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, "the job's description is too long"), fwd, forwarded)
	}
	t := wire.Txn{
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
	case err != nil:
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

// Cancel answers POST /v2/runs/{id}/withdraw.
func (n *Node) Cancel(ctx context.Context, id string, forwarded bool) Answer {
	if !wire.ValidID(id) {
		return refuse(http.StatusNotFound, "no such job")
	}
	leave, ok := n.enter(n.decisions, tuning.LagDecisions)
	if !ok {
		return busy
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, tuning.SubmitPatience)
	defer cancel()
	state := func(s string) Answer {
		return Answer{Status: http.StatusOK, State: &wire.JobState{ID: id, State: s}}
	}
	fwd := mesh.Forward{Kind: mesh.Cancel, ID: id}
	for {
		v, found, err := n.known(ctx, id)
		switch {
		case err != nil:
			return n.pass(forwarded, fwd, err)
		case !found:
			return refuse(http.StatusNotFound, "no such job")
		case v.State == wire.JobCancelled || v.State == wire.JobDone:
			return state(v.State)
		}
		n.mu.Lock()
		live := n.replica.Live[id]
		n.mu.Unlock()
		if live == nil {
			continue
		}
		rec := *live.Record
		rec.Cancelled = true
		_, _, err = n.state.Commit(ctx, store.Second, wire.Txn{
			If:    []wire.Condition{{Key: store.JobKey(id), Stamp: live.Stamp}},
			Apply: []wire.Change{{Set: store.JobKey(id), Value: rec}},
		})
		switch {
		case err == nil:
			n.do(func() { n.cancelled(id) })
			return state(wire.JobCancelled)
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown) && ctx.Err() == nil:
			continue // read again: it moved on, or our own write went through
		}
		return n.pass(forwarded, fwd, err)
	}
}

// pass hands a request that this node cannot serve to a peer, once. If that
// fails too, the user is told at once when to come back.
func (n *Node) pass(forwarded bool, f mesh.Forward, cause error) Answer {
	n.log.Debug("cannot serve", "kind", f.Kind, "id", f.ID, "err", cause)
	if !forwarded {
		if a, ok := n.passOn(f); ok {
			return a
		}
	}
	return refuse(http.StatusServiceUnavailable, "cannot be decided now")
}

// passOn hands a request to the peers, one after the other, until one decides.
// A peer that could not decide a moment ago is not asked again for a while: in
// an outage, three nodes would only pass everything around.
func (n *Node) passOn(f mesh.Forward) (Answer, bool) {
	for _, p := range n.livePeers() {
		out, err := n.mesh.Forward(context.Background(), p.Addr, f, tuning.ForwardTimeout)
		if err != nil || out.Status == http.StatusServiceUnavailable || out.Status == http.StatusTooManyRequests {
			n.mu.Lock()
			p.unable = time.Now()
			n.mu.Unlock()
			continue
		}
		return Answer{Status: out.Status, View: out.View, State: out.State, Error: out.Error}, true
	}
	return Answer{}, false
}

// livePeers are the peers that were heard of lately, the leader first.
func (n *Node) livePeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*peer
	for _, p := range n.peers {
		if time.Since(p.heard) > tuning.PeerDead || time.Since(p.unable) < tuning.PeerUnable {
			continue
		}
		if p.Name == n.lead.name {
			out = append([]*peer{p}, out...)
		} else {
			out = append(out, p)
		}
	}
	return out
}

// Forwarded serves a peer's request.
func (n *Node) Forwarded(ctx context.Context, f mesh.Forward) mesh.Forwarded {
	var a Answer
	switch f.Kind {
	case mesh.Submit:
		body, ok := mesh.Bytes(f.Body)
		if !ok {
			a = refuse(http.StatusBadRequest, "malformed forward")
			break
		}
		a = n.Submit(ctx, body, true)
	case mesh.Query:
		a = n.Query(ctx, f.ID, true)
	case mesh.Cancel:
		a = n.Cancel(ctx, f.ID, true)
	default:
		a = refuse(http.StatusBadRequest, "unknown kind")
	}
	return mesh.Forwarded{Status: a.Status, View: a.View, State: a.State, Error: a.Error}
}
