package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// loadScheduler reads all records and installs the leader, or returns nil.
func (c *Controller) loadScheduler(ctx context.Context, term uint64, lost chan struct{}) *scheduler.Scheduler {
	c.update(func() { c.leadership.loadingSince = time.Now() })
	defer c.update(func() { c.leadership.loadingSince = time.Time{} })
	for {
		select {
		case <-lost:
			return nil
		case <-ctx.Done():
			return nil
		default:
		}
		var bitmaps, batches, legacyMachines, jobs []wire.KeyValue
		var revision uint64
		var errs [4]error
		readAt := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { bitmaps, _, errs[0] = c.store.RangeAll(ctx, kvstore.PriorityLeader, records.BitmapPrefix) })
		wg.Go(func() { batches, _, errs[1] = c.store.RangeAll(ctx, kvstore.PriorityLeader, records.BatchPrefix) })
		wg.Go(func() {
			legacyMachines, _, errs[2] = c.store.RangeAll(ctx, kvstore.PriorityLeader, records.LegacyMachinePrefix)
		})
		wg.Go(func() { jobs, revision, errs[3] = c.store.RangeAll(ctx, kvstore.PriorityLeader, records.LiveJobPrefix) })
		wg.Wait()
		err := errors.Join(errs[:]...)
		if err != nil {
			c.logCallFailure("recovery", err)
			if !sleep(ctx, tuning.StoreRetryDelay) {
				return nil
			}
			continue
		}
		var sched *scheduler.Scheduler
		c.update(func() {
			select {
			case <-lost:
				return
			default:
			}
			if c.membership.leader.term > term {
				return // somebody leads after us already
			}
			if revision >= c.replication.replica.Revision {
				c.logUnreadableRecords(c.replication.replica.Reset(jobs, revision))
			}
			c.replication.caughtUpAt = later(c.replication.caughtUpAt, readAt)
			sched = scheduler.New(c.now(), c.schedulerSettings(), term, c.replication.replica, bitmaps, append(batches, legacyMachines...), c.machineTypes)
			for _, p := range c.membership.peers {
				// What came of their lists while nobody here led is gone: all again.
				p.confirmationsSeen, p.confirmationsAsOf = 0, time.Time{}
			}
			// Our own list is told to no one who asks: what users were told here between
			// the read above and now, no answer of the watch may bring for long.
			//mutation:recovery-applies-own-cancellations
			sched.Cancelled(c.now(), c.cancellations.confirmed.ids)
			sched.ObserveAckLatency = func(d time.Duration) { _ = c.metrics.startToAck.RecordValue(min(max(1, d.Milliseconds()), 600_000)) }
			sched.LeaseHeldUntil(c.leadership.leaseHeldUntil.Sub(c.startedAt))
			for _, p := range c.membership.peers {
				if !p.lastHeardAt.IsZero() {
					sched.ZoneLastSeen(p.Zone, p.lastHeardAt.Sub(c.startedAt))
				}
			}
			sched.ZoneLastSeen(c.cfg.Zone, c.now().Mono)
			c.tracer.RecordsLoaded(term, c.leadership.loadingSince, time.Now(), len(jobs), len(batches)+len(legacyMachines))
			c.leadership.scheduler, c.leadership.lost = sched, lost
		})
		return sched
	}
}

func (c *Controller) logUnreadableRecords(keys []string) {
	for _, k := range keys {
		c.log.Error("job record unreadable", "key", k)
	}
}

func (c *Controller) schedulerSettings() scheduler.Settings {
	deployment := &c.cfg.Deployment
	settings := scheduler.Settings{
		Teams:             map[string]scheduler.TeamQuota{},
		HeartbeatInterval: config.Seconds(deployment.Workers.ReportS), WorkerLease: config.Seconds(deployment.Workers.LeaseS), CancellationBound: config.Seconds(deployment.Workers.CancelS),
		MaxTransactionOps: deployment.State.TxnOps, MaxValueBytes: int(deployment.State.ValueKB * 1024), WriteRate: deployment.State.WriteRPS,
		ColdRestart: c.coldRestart(), TraceOperations: c.tracer.Enabled(),
		Objectives: map[string]scheduler.Objective{}, MinimizeCost: c.cfg.CostSensitive(), GuaranteedStartWithin: c.cfg.GuaranteeStartTarget(),
		CloudRate: deployment.Cloud.RPS, CPUShare: deployment.Quota.CPUShare, CloudListLag: config.Seconds(deployment.Cloud.ListLagS), Policy: c.policy,
	}
	for _, configured := range deployment.Objectives {
		objective := settings.Objectives[configured.Class]
		switch configured.Kind {
		case "deadline":
			objective.DeadlineMultiples = append(objective.DeadlineMultiples, max(configured.DeadlineMultiple, 1))
		case "finished":
			objective.WithinS = configured.WithinS
		}
		settings.Objectives[configured.Class] = objective
	}
	for _, t := range deployment.Teams {
		settings.Teams[t.Name] = scheduler.TeamQuota{CPUs: t.GuaranteedCPUs, CPUsMax: t.MaxCPUs, GPUs: t.GuaranteedGPUs, GPUsMax: t.MaxGPUs}
	}
	return settings
}

// survivedFailover reports whether a process that began then was up long before this node was
// elected, so that workers could be answered until the change of leader. What it was up
// since says nothing. Called with the lock held.
func (c *Controller) survivedFailover(processStartedAt time.Time) bool {
	lease := config.Seconds(c.cfg.Deployment.Workers.LeaseS)
	//mutation:survived-from-election
	return !processStartedAt.IsZero() && c.leadership.electedAt.Sub(processStartedAt) > lease/tuning.ColdRestartLeaseDivisor
}

// coldRestart reports whether no controller that this node has heard outlived the leader
// before. Called with the lock held.
func (c *Controller) coldRestart() bool {
	if c.survivedFailover(c.startedAt) {
		return false
	}
	for _, p := range c.membership.peers {
		if c.survivedFailover(p.processStartedAt) {
			return false
		}
	}
	return true
}
