package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// replication is the local copy of the jobs in the key-value store. Guarded by
// Controller.mu.
type replication struct {
	replica *scheduler.Replica
	// caughtUpAt is the moment as of which the replica has all changes.
	caughtUpAt time.Time
}

// caughtUp notes that the replica has all changes as of a read sent at sentAt.
func (r *replication) caughtUp(sentAt time.Time) { r.caughtUpAt = later(r.caughtUpAt, sentAt) }

// jobSync keeps the replica up to date. Its methods are called without the lock.
//
// Three callers read changes: run, at intervals; queries, which share reads by the refresher;
// and, at the leader, watch. Answers may overtake each other: the replica ignores changes
// that it has already.
type jobSync struct {
	controller *Controller
	refresher  replicaRefresher
}

func newJobSync(c *Controller) *jobSync {
	s := &jobSync{controller: c}
	s.refresher.read, s.refresher.interval = s.readChanges, s.refreshInterval
	return s
}

// refreshInterval spaces the reads of changes so that all controllers together stay within
// their share of the store's request rate.
func (s *jobSync) refreshInterval() time.Duration {
	c := s.controller
	controllers := float64(1 + len(c.membership.peers))
	rate := c.cfg.Deployment.Store.RPS * tuning.SyncRateShare
	return max(tuning.MinSyncInterval, config.Seconds(controllers/rate))
}

// readChanges brings the replica up to date once, for replicaRefresher.
func (s *jobSync) readChanges() error {
	c := s.controller
	ctx := context.Background() // the store's client bounds the calls
	c.mu.Lock()
	loaded, from := c.replication.replica.Loaded, c.replication.replica.Revision
	c.mu.Unlock()
	if !loaded {
		return s.reload(ctx)
	}
	sentAt := time.Now()
	changes, err := c.store.Watch(ctx, kvstore.PriorityUser, records.JobsPrefix, from, 0)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		return s.reload(ctx)
	case err != nil:
		return err
	}
	s.applyChanges(changes, sentAt)
	return nil
}

// run keeps a follower's replica within the changes that the store keeps, and the
// leader's as fresh as renewing workers' leases needs.
func (s *jobSync) run(ctx context.Context) {
	for interval := tuning.FollowerSyncInterval; sleep(ctx, jitter(interval)); {
		_, _ = s.refresher.refresh(ctx) // failing that, the next round or a query will do
		interval = s.interval()
	}
}

func (s *jobSync) interval() time.Duration {
	if s.controller.isLeader() {
		return tuning.LeaderSyncInterval
	}
	return tuning.FollowerSyncInterval
}

// watch brings the leader changes of jobs as they come, until ctx ends.
func (s *jobSync) watch(ctx context.Context) {
	c := s.controller
	for ctx.Err() == nil {
		c.mu.Lock()
		from := c.replication.replica.Revision
		c.mu.Unlock()
		sentAt := time.Now()
		changes, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.JobsPrefix, from, tuning.WatchTimeout)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			if err = s.reload(ctx); err != nil {
				logCallFailure(c.log, "jobs not reloaded", err)
			}
		case err != nil:
			logCallFailure(c.log, "job watch failed", err)
			sleep(ctx, jitter(tuning.StoreRetryDelay))
		default:
			s.applyChanges(changes, sentAt)
			sleep(ctx, tuning.MinWatchInterval)
		}
	}
}

// applyChanges takes the answer to a watch that was sent at sentAt.
func (s *jobSync) applyChanges(changes wire.WatchReply, sentAt time.Time) {
	c := s.controller
	c.update(func() {
		c.updateCancellationWatermark()
		c.replication.caughtUp(sentAt)
		touched, unreadable := c.replication.replica.Apply(changes)
		logUnreadableRecords(c.log, unreadable)
		if !c.leadership.leading() {
			return
		}
		c.leadership.scheduler.JobsReadAt(sentAt.Sub(c.startedAt))
		if len(touched) > 0 {
			c.leadership.scheduler.JobsChanged(c.now(), touched)
		}
	})
}

// reload reads all live jobs again.
func (s *jobSync) reload(ctx context.Context) error {
	c := s.controller
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
		c.updateCancellationWatermark()
		c.replication.caughtUp(sentAt)
		logUnreadableRecords(c.log, c.replication.replica.Reset(items, revision))
		if c.leadership.leading() {
			c.leadership.scheduler.JobsReadAt(sentAt.Sub(c.startedAt))
			c.leadership.scheduler.JobsReset(c.now(), c.replication.replica)
		}
	})
	return nil
}

func logUnreadableRecords(log *slog.Logger, keys []string) {
	for _, key := range keys {
		log.Error("job record unreadable", "key", key)
	}
}
