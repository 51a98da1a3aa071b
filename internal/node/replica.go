package node

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

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
		//mutation:query-joins-no-earlier-read
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

// watchJobs keeps the leader's picture of the jobs fresh.
func (n *Node) watchJobs(ctx context.Context, l *core.Leader) {
	for ctx.Err() == nil {
		n.mu.Lock()
		from := n.replica.Epoch
		n.mu.Unlock()
		begun := time.Now()
		c, err := n.state.Changes(ctx, store.First, store.JobsPrefix, from, tuning.WatchBlock)
		switch {
		case errors.Is(err, store.ErrTooOld):
			n.reload(ctx)
		case err != nil:
			n.trouble("watch", err)
			sleep(ctx, jitter(tuning.StateRetry))
		default:
			n.applyChanges(c, begun)
			sleep(ctx, tuning.WatchGap)
		}
	}
}

// applyChanges takes an answer to a question sent at begun.
func (n *Node) applyChanges(c wire.Changes, begun time.Time) {
	n.do(func() {
		n.leaderKnows()
		n.knownAt = later(n.knownAt, begun)
		touched, bad := n.replica.Apply(c)
		n.reportBad(bad)
		if n.leader != nil {
			n.leader.ReadAsOf(begun.Sub(n.start))
		}
		if n.leader != nil && len(touched) > 0 {
			n.leader.JobsChanged(n.now(), touched)
		}
	})
}

// reload reads all live jobs again.
func (n *Node) reload(ctx context.Context) error {
	begun := time.Now()
	items, epoch, err := n.state.All(ctx, store.Second, store.JobPrefix)
	if err != nil {
		return err
	}
	n.do(func() {
		//mutation:full-read-order
		if epoch < n.replica.Epoch {
			return
		}
		n.leaderKnows()
		n.knownAt = later(n.knownAt, begun)
		n.reportBad(n.replica.Reset(items, epoch))
		if n.leader != nil {
			n.leader.ReadAsOf(begun.Sub(n.start))
			n.leader.JobsReset(n.now(), n.replica)
		}
	})
	return nil
}
