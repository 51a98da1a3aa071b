package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// storedRecords holds the records that a new leader loads from the key-value store.
type storedRecords struct {
	bitmaps        []wire.KeyValue
	batches        []wire.KeyValue
	legacyMachines []wire.KeyValue
	jobs           []wire.KeyValue
	revision       uint64    // store revision at which the read of jobs began
	readAt         time.Time // when the reads began
	pages          int       // number of pages read
}

// assignments returns the assignment records of both layouts: the batches, and the records by
// machine that earlier versions wrote.
func (r *storedRecords) assignments() []wire.KeyValue { return append(r.batches, r.legacyMachines...) }

// loadScheduler reads the records, retrying until the read succeeds, and installs the term's
// scheduler. It returns nil if the leadership is lost or ctx ends first.
func (t *leaderTerm) loadScheduler(ctx context.Context) *scheduler.Scheduler {
	c := t.controller
	c.update(func() { c.leadership.loadingSince = time.Now() })
	defer c.update(func() { c.leadership.loadingSince = time.Time{} })
	for !t.isLost() && ctx.Err() == nil {
		stored, err := readRecords(ctx, c.store)
		if err == nil {
			return t.installScheduler(stored)
		}
		logCallFailure(c.log, "records not read", err)
		sleep(ctx, tuning.StoreRetryDelay)
	}
	return nil
}

// readRecords reads the four kinds of records that a new leader needs, concurrently.
func readRecords(ctx context.Context, store *kvstore.Client) (*storedRecords, error) {
	stored := &storedRecords{readAt: time.Now()}
	var errs [4]error
	var results [4]kvstore.FullRange
	var reads sync.WaitGroup
	for i, prefix := range [...]string{records.BitmapPrefix, records.BatchPrefix, records.LegacyMachinePrefix, records.LiveJobPrefix} {
		reads.Go(func() { results[i], errs[i] = store.RangeAll(ctx, kvstore.PriorityLeader, prefix) })
	}
	reads.Wait()
	stored.bitmaps, stored.batches, stored.legacyMachines = results[0].Items, results[1].Items, results[2].Items
	stored.jobs, stored.revision = results[3].Items, results[3].Revision
	for _, result := range results {
		stored.pages += result.Pages
	}
	return stored, errors.Join(errs[:]...)
}

// installScheduler creates the term's scheduler from the records, from which moment on this
// controller leads. It returns nil if the leadership is lost or a later term is known.
func (t *leaderTerm) installScheduler(stored *storedRecords) (sched *scheduler.Scheduler) {
	c := t.controller
	c.update(func() {
		if t.isLost() || c.membership.leader.term > t.number {
			return
		}
		if stored.revision >= c.replication.replica.Revision {
			logUnreadableRecords(c.log, c.replication.replica.Reset(stored.jobs, stored.revision))
		}
		c.replication.markCaughtUp(stored.readAt)
		assignments := stored.assignments()
		c.log.Info("records read", "term", t.number, "revision", stored.revision, "pages", stored.pages,
			"jobs", len(stored.jobs), "batches", len(stored.batches), "took_ms", time.Since(stored.readAt).Milliseconds())
		sched = scheduler.New(c.now(), c.schedulerSettings(), t.number, c.replication.replica, stored.bitmaps, assignments, c.machineTypes)
		t.seedScheduler(sched)
		c.tracer.RecordsLoaded(t.number, c.leadership.loadingSince, time.Now(), len(stored.jobs), len(assignments))
		c.leadership.scheduler, c.leadership.lost = sched, t.lost
	})
	return sched
}

// seedScheduler passes to a new scheduler what this controller knows and the records do not
// contain: cancellations that it confirmed, the end of its own lease, and when it last reached
// each zone. Called with the lock held.
func (t *leaderTerm) seedScheduler(sched *scheduler.Scheduler) {
	c := t.controller
	for _, p := range c.membership.peers {
		// Cancellations that peers listed while this controller did not lead were not kept.
		p.confirmations.reset()
	}
	// A cancellation that this controller confirmed after the records were read may arrive
	// through the watch much later, and peers list only their own confirmations.
	//mutation:recovery-applies-own-cancellations
	sched.Cancelled(c.now(), c.cancellations.confirmed.ids)
	sched.ObserveAckLatency = func(latency time.Duration) { recordLatency(c.metrics.startToAck, latency) }
	sched.ExtendLease(c.leadership.leaseHeldUntil.Sub(c.startedAt))
	for _, p := range c.membership.peers {
		if !p.lastContactAt.IsZero() {
			sched.ZoneLastSeen(p.Zone, p.lastContactAt.Sub(c.startedAt))
		}
	}
	sched.ZoneLastSeen(c.cfg.Zone, c.now().Mono)
}
