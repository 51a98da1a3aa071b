package node

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

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
		//mutation:reply-staleness
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
	//mutation:query-reads-fresh
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
		//mutation:absence-across-reset
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
