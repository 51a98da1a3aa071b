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

// Answer is what a user is told. A status of 503 or 429 carries Retry-After.
type Answer struct {
	Status int
	View   *wire.JobView
	State  *wire.JobState
	Error  string
}

func refuse(status int, why string) Answer { return Answer{Status: status, Error: why} }

var busy = refuse(http.StatusServiceUnavailable, "too many requests at this node")

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
			//mutation:cancellation-conditions
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
