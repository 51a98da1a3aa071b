package controller

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// refreshCall is one read of the changes since the replica's epoch. Whoever came
// before it was sent may rely on what it finds.
type refreshCall struct {
	done       chan struct{}
	err        error
	answeredAt time.Time // when it was answered
}

// refresh brings the replica up to a moment after the call. Concurrent callers
// share a read, but never one that was sent before they came. It says when that was
// answered.
func (c *Controller) refresh(ctx context.Context) (time.Time, error) {
	c.syncMu.Lock()
	call := c.next
	if call == nil {
		call = &refreshCall{done: make(chan struct{})}
		c.next = call
		if !c.active {
			c.active = true
			go c.refreshLoop()
		}
	}
	c.syncMu.Unlock()
	select {
	case <-call.done:
		return call.answeredAt, call.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// refreshLoop serves waiting calls one after the other and ends when none waits.
func (c *Controller) refreshLoop() {
	for {
		c.syncMu.Lock()
		call := c.next
		//mutation:query-joins-no-earlier-read
		c.next = nil
		if call == nil {
			c.active = false
			c.syncMu.Unlock()
			return
		}
		c.syncMu.Unlock()
		call.err = c.refreshOnce()
		call.answeredAt = time.Now()
		close(call.done)
		time.Sleep(c.refreshInterval())
	}
}

// refreshInterval spaces the reads so that all nodes together stay within their share of
// the state service's rate.
func (c *Controller) refreshInterval() time.Duration {
	return max(tuning.MinSyncInterval, config.Seconds(float64(1+len(c.peers))/(c.cfg.Deployment.State.RPS*tuning.SyncRateShare)))
}

func (c *Controller) refreshOnce() error {
	ctx := context.Background()
	c.mu.Lock()
	loaded, from := c.replica.Loaded, c.replica.Revision
	c.mu.Unlock()
	if !loaded {
		return c.reloadJobs(ctx)
	}
	sentAt := time.Now()
	changes, err := c.store.Watch(ctx, kvstore.PriorityUser, records.JobsPrefix, from, 0)
	if errors.Is(err, kvstore.ErrCompacted) {
		return c.reloadJobs(ctx)
	}
	if err != nil {
		return err
	}
	c.applyChanges(changes, sentAt)
	return nil
}

// followJobs keeps a follower's replica from falling behind what watches reach, and
// the leader's as fresh as its right to answer workers asks for.
func (c *Controller) followJobs(ctx context.Context) {
	for pause := tuning.FollowerSyncInterval; sleep(ctx, jitter(pause)); {
		_, _ = c.refresh(ctx) // failing that, the next round or a poll will do
		pause = tuning.FollowerSyncInterval
		c.mu.Lock()
		if c.leader != nil {
			pause = tuning.LeaderSyncInterval
		}
		c.mu.Unlock()
	}
}

// watchJobs keeps the leader's picture of the jobs fresh.
func (c *Controller) watchJobs(ctx context.Context, sched *scheduler.Scheduler) {
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.replica.Revision
		c.mu.Unlock()
		sentAt := time.Now()
		changes, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.JobsPrefix, from, tuning.WatchTimeout)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			c.reloadJobs(ctx)
		case err != nil:
			c.logCallFailure("watch", err)
			sleep(ctx, jitter(tuning.StoreRetryDelay))
		default:
			c.applyChanges(changes, sentAt)
			sleep(ctx, tuning.MinWatchInterval)
		}
	}
}

// applyChanges takes an answer to a question sent at begun.
func (c *Controller) applyChanges(changes wire.WatchReply, sentAt time.Time) {
	c.update(func() {
		c.updateWatermark()
		c.knownAt = later(c.knownAt, sentAt)
		touched, unreadable := c.replica.Apply(changes)
		c.logUnreadableRecords(unreadable)
		if c.leader != nil {
			c.leader.JobsReadAt(sentAt.Sub(c.startedAt))
		}
		if c.leader != nil && len(touched) > 0 {
			c.leader.JobsChanged(c.now(), touched)
		}
	})
}

// reloadJobs reads all live jobs again.
func (c *Controller) reloadJobs(ctx context.Context) error {
	sentAt := time.Now()
	items, revision, err := c.store.RangeAll(ctx, kvstore.PriorityUser, records.LiveJobPrefix)
	if err != nil {
		return err
	}
	c.update(func() {
		//mutation:full-read-order
		if revision < c.replica.Revision {
			return
		}
		c.updateWatermark()
		c.knownAt = later(c.knownAt, sentAt)
		c.logUnreadableRecords(c.replica.Reset(items, revision))
		if c.leader != nil {
			c.leader.JobsReadAt(sentAt.Sub(c.startedAt))
			c.leader.JobsReset(c.now(), c.replica)
		}
	})
	return nil
}
