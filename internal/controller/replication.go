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
	c.refresher.mu.Lock()
	call := c.refresher.next
	if call == nil {
		call = &refreshCall{done: make(chan struct{})}
		c.refresher.next = call
		if !c.refresher.running {
			c.refresher.running = true
			go c.refreshLoop()
		}
	}
	c.refresher.mu.Unlock()
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
		c.refresher.mu.Lock()
		call := c.refresher.next
		//mutation:query-joins-no-earlier-read
		c.refresher.next = nil
		if call == nil {
			c.refresher.running = false
			c.refresher.mu.Unlock()
			return
		}
		c.refresher.mu.Unlock()
		call.err = c.refreshOnce()
		call.answeredAt = time.Now()
		close(call.done)
		time.Sleep(c.refreshInterval())
	}
}

// refreshInterval spaces the reads so that all nodes together stay within their share of
// the state service's rate.
func (c *Controller) refreshInterval() time.Duration {
	return max(tuning.MinSyncInterval, config.Seconds(float64(1+len(c.membership.peers))/(c.cfg.Deployment.State.RPS*tuning.SyncRateShare)))
}

func (c *Controller) refreshOnce() error {
	ctx := context.Background()
	c.mu.Lock()
	loaded, from := c.replication.replica.Loaded, c.replication.replica.Revision
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
		if c.leadership.scheduler != nil {
			pause = tuning.LeaderSyncInterval
		}
		c.mu.Unlock()
	}
}

// watchJobs keeps the leader's picture of the jobs fresh.
func (c *Controller) watchJobs(ctx context.Context, sched *scheduler.Scheduler) {
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.replication.replica.Revision
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
		c.replication.caughtUpAt = later(c.replication.caughtUpAt, sentAt)
		touched, unreadable := c.replication.replica.Apply(changes)
		c.logUnreadableRecords(unreadable)
		if c.leadership.scheduler != nil {
			c.leadership.scheduler.JobsReadAt(sentAt.Sub(c.startedAt))
		}
		if c.leadership.scheduler != nil && len(touched) > 0 {
			c.leadership.scheduler.JobsChanged(c.now(), touched)
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
		if revision < c.replication.replica.Revision {
			return
		}
		c.updateWatermark()
		c.replication.caughtUpAt = later(c.replication.caughtUpAt, sentAt)
		c.logUnreadableRecords(c.replication.replica.Reset(items, revision))
		if c.leadership.scheduler != nil {
			c.leadership.scheduler.JobsReadAt(sentAt.Sub(c.startedAt))
			c.leadership.scheduler.JobsReset(c.now(), c.replication.replica)
		}
	})
	return nil
}
