package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// cancellations is what is known of confirmed cancellations. Guarded by Controller.mu.
type cancellations struct {
	// confirmed lists the cancellations that this controller confirmed to users.
	confirmed confirmationLog
	// enforcedUntil is the moment as of which all cancellations were enforced by the leader
	// of the known term.
	enforcedUntil time.Time
}

// raiseEnforced notes as of when all cancellations are enforced.
func (c *cancellations) raiseEnforced(until time.Time) {
	c.enforcedUntil = later(c.enforcedUntil, until)
}

// confirmationLog lists the cancellations that a controller confirmed to users, each once. A
// leader that the key-value store does not serve learns of them by its pings, and may keep
// workers alive through an outage that is longer than the bound on a cancellation. Entries
// are numbered from 1; only the latest are kept.
type confirmationLog struct {
	dropped uint64 // how many of the oldest entries are no longer kept
	ids     []string
	kept    map[string]struct{} // those in ids
}

func (l *confirmationLog) add(id string) {
	if _, ok := l.kept[id]; ok {
		return
	}
	if l.kept == nil {
		l.kept = map[string]struct{}{}
	}
	l.kept[id] = struct{}{}
	l.ids = append(l.ids, id)
	if len(l.ids) > tuning.MaxListedConfirmations {
		delete(l.kept, l.ids[0])
		l.ids = l.ids[1:] // append copies the rest when the capacity behind it is used up
		l.dropped++
	}
}

// after returns the entries after the first seen ones, or those of them that are still kept.
func (l *confirmationLog) after(seen uint64) (from uint64, ids []string) {
	from = min(max(seen, l.dropped), l.dropped+uint64(len(l.ids)))
	return from, l.ids[from-l.dropped:]
}

// confirmationFeed is how much a controller has received of a peer's confirmationLog.
type confirmationFeed struct {
	bootID uint64 // the peer's process that the rest is about
	seen   uint64 // entries received
	// completeFrom is since when all that the peer confirmed is in the feed: not what an
	// earlier process of it confirmed, nor entries that it dropped before they were received.
	completeFrom time.Time
	asOf         time.Time // the feed has all that was confirmed before
}

// receive takes the part of the log that answers a ping sent at sentAt.
func (f *confirmationFeed) receive(pong peer.Pong, sentAt, now time.Time) {
	if pong.UptimeMilli == 0 {
		return // of a version that keeps no log
	}
	if pong.BootID != f.bootID {
		f.bootID, f.seen = pong.BootID, 0
		f.completeFrom = now.Add(-milliseconds(pong.UptimeMilli - 1))
	}
	if pong.ConfirmedFrom > f.seen {
		f.completeFrom = now
	}
	f.seen = pong.ConfirmedFrom + uint64(len(pong.Confirmed))
	f.asOf = later(f.asOf, sentAt)
}

// restart has the whole log sent again.
func (f *confirmationFeed) restart() { f.seen, f.asOf = 0, time.Time{} }

// confirmCancellation takes note of a job that is durably cancelled, right before that is
// confirmed to a user. Called with the lock held.
func (c *Controller) confirmCancellation(id string) {
	c.cancellations.confirmed.add(id)
	c.updateWatermark()
	if c.leadership.leading() {
		c.leadership.scheduler.Cancelled(c.now(), []string{id})
	}
}

// cancellationWatermark returns the moment as of which this controller knows of every
// cancellation that was confirmed to a user: by the key-value store, or because every peer
// has listed its own since then. Called with the lock held.
func (c *Controller) cancellationWatermark() time.Time {
	listedAsOf := time.Now()
	for _, p := range c.membership.peers {
		//mutation:peer-restart-bounds-watermark
		if !p.confirmations.completeFrom.Before(c.replication.caughtUpAt) {
			return c.replication.caughtUpAt
		}
		if p.confirmations.asOf.Before(listedAsOf) {
			listedAsOf = p.confirmations.asOf
		}
	}
	return later(c.replication.caughtUpAt, listedAsOf)
}

// updateWatermark tells the scheduler as of when it knows all cancellations. It comes before
// further cancellations are fed, which may be later than the watermark. Called with the lock
// held.
func (c *Controller) updateWatermark() {
	if c.leadership.leading() {
		c.leadership.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt))
	}
}

// enforcedWatermark returns the moment as of which this leader has enforced all
// cancellations. Called with the lock held, by the leader.
func (c *Controller) enforcedWatermark() time.Time {
	return c.startedAt.Add(c.leadership.scheduler.EnforcedCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt)))
}

// mayRenewLeases reports whether the leader may renew its workers' leases: no longer after
// its watermark than leaves time to enforce a cancellation that it does not know of. That
// holds through a process pause and whoever else leads. Called with the lock held.
func (c *Controller) mayRenewLeases() bool {
	return time.Since(c.cancellationWatermark()) < c.KeepaliveBound()
}

// KeepaliveBound returns for how long after its cancellation watermark the leader may renew
// workers' leases, and followers after the time as of which the leader has enforced all
// cancellations: tasks that it could not stop yet may be on their workers. A job may have
// been cancelled right after, and the worker's lease has to expire within the bound on a
// cancellation. The time does not count from a worker's first heartbeat at this controller,
// which in a partition comes only after it has tried others in vain.
func (c *Controller) KeepaliveBound() time.Duration {
	workers := &c.cfg.Deployment.Workers
	//mutation:keepalive-drift-margin
	return max(0, config.Seconds(workers.CancellationS)-config.Seconds(workers.LeaseS)-tuning.KeepaliveMargin)
}
