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

// replication is the local copy of the jobs in the key-value store. Guarded by Controller.mu.
type replication struct {
	replica *scheduler.Replica
	// caughtUpAt is the time up to which the replica has all changes.
	caughtUpAt time.Time
	// revisions tells since when the final states in the replica are known.
	revisions revisionHistory
}

// markCaughtUp records that the replica has all changes up to sentAt, when a read was sent that
// has since been answered.
func (r *replication) markCaughtUp(sentAt time.Time) { r.caughtUpAt = later(r.caughtUpAt, sentAt) }

// jobSync keeps the replica up to date. Its methods are called without the lock.
//
// There are three readers of changes: run, at intervals, and users' requests share reads through
// the refresher; at the leader, watch reads changes as they are made. Answers may arrive out of
// order: the replica ignores changes that it already has.
type jobSync struct {
	controller *Controller
	refresher  replicaRefresher
}

func newJobSync(c *Controller) *jobSync {
	s := &jobSync{controller: c}
	s.refresher.read, s.refresher.minInterval = s.readChanges, s.refreshInterval
	return s
}

// refreshInterval returns the least time between two reads of changes through the refresher, so
// that all controllers together stay within their share of the store's request rate.
func (s *jobSync) refreshInterval() time.Duration {
	c := s.controller
	controllers := float64(1 + len(c.membership.peers))
	rate := c.cfg.Deployment.Store.RPS * tuning.SyncRateShare
	return max(tuning.MinSyncInterval, config.Seconds(controllers/rate))
}

// readChanges brings the replica up to date once, as of sentAt. The refresher calls it.
func (s *jobSync) readChanges() (sentAt time.Time, err error) {
	c := s.controller
	sentAt = time.Now()
	ctx := context.Background() // the store's client sets a timeout for each call
	c.mu.Lock()
	loaded, fromRevision := c.replication.replica.Loaded, c.replication.replica.Revision
	c.mu.Unlock()
	if !loaded {
		return sentAt, s.reload(ctx)
	}
	changes, err := c.store.Watch(ctx, kvstore.PriorityUser, records.JobsPrefix, fromRevision, 0)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		return sentAt, s.reload(ctx)
	case err != nil:
		return sentAt, err
	}
	s.applyChanges(changes, sentAt)
	//mutation:age-since-sending
	return sentAt, nil
}

// run reads changes periodically until ctx ends. A follower reads them before the store discards
// them. The leader reads them more often, since each read advances the cancellation watermark,
// which limits how long the leader may renew workers' leases.
func (s *jobSync) run(ctx context.Context) {
	for interval := tuning.FollowerSyncInterval; sleep(ctx, jitter(interval)); {
		_, _ = s.refresher.refresh(ctx) // after a failure, the next round or a query reads again
		interval = s.syncInterval()
	}
}

// syncInterval returns the interval between the reads of run, before jitter.
func (s *jobSync) syncInterval() time.Duration {
	if s.controller.isLeader() {
		return tuning.LeaderSyncInterval
	}
	return tuning.FollowerSyncInterval
}

// watch applies changes of jobs as they are made, until ctx ends. It runs at the leader.
func (s *jobSync) watch(ctx context.Context) {
	c := s.controller
	for ctx.Err() == nil {
		c.mu.Lock()
		fromRevision := c.replication.replica.Revision
		c.mu.Unlock()
		sentAt := time.Now()
		changes, err := c.store.Watch(ctx, kvstore.PriorityLeader, records.JobsPrefix, fromRevision, tuning.WatchTimeout)
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

// applyChanges applies the answer to a watch that was sent at sentAt to the replica and, at the
// leader, to the scheduler.
func (s *jobSync) applyChanges(changes wire.WatchReply, sentAt time.Time) {
	c := s.controller
	c.update(func() {
		c.updateCancellationWatermark()
		c.replication.markCaughtUp(sentAt)
		c.replication.revisions.observe(changes.Revision, time.Now())
		changedJobs, unreadable := c.replication.replica.Apply(changes)
		logUnreadableRecords(c.log, unreadable)
		if !c.leadership.leading() {
			return
		}
		c.leadership.scheduler.DropPendingCancellationsBefore(sentAt.Sub(c.startedAt))
		if len(changedJobs) > 0 {
			c.leadership.scheduler.JobsChanged(c.now(), changedJobs)
		}
	})
}

// reload replaces the live jobs of the replica by a full read of them.
func (s *jobSync) reload(ctx context.Context) error {
	c := s.controller
	sentAt := time.Now()
	jobs, err := c.store.RangeAll(ctx, kvstore.PriorityUser, records.LiveJobPrefix)
	if err != nil {
		return err
	}
	c.log.Info("jobs reloaded", "revision", jobs.Revision, "jobs", len(jobs.Items), "pages", jobs.Pages, "took_ms", time.Since(sentAt).Milliseconds())
	c.update(func() {
		//mutation:full-read-order
		if jobs.Revision < c.replication.replica.Revision {
			return
		}
		c.updateCancellationWatermark()
		c.replication.markCaughtUp(sentAt)
		c.replication.revisions.observe(jobs.Revision, time.Now())
		logUnreadableRecords(c.log, c.replication.replica.Reset(jobs.Items, jobs.Revision))
		if c.leadership.leading() {
			c.leadership.scheduler.DropPendingCancellationsBefore(sentAt.Sub(c.startedAt))
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
