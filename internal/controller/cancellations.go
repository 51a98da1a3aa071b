package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// cancellations tracks which cancellations this controller confirmed to users, and up to which time
// the leader has enforced the confirmed cancellations of all controllers. Guarded by Controller.mu.
type cancellations struct {
	confirmed confirmationLog
	// enforcedUntil is the time up to which the leader of the known term has enforced all
	// confirmed cancellations. Zero means that no such time is known.
	enforcedUntil time.Time
}

// advanceEnforcedUntil records that all cancellations confirmed before until are enforced.
// It never moves enforcedUntil to an earlier time.
func (c *cancellations) advanceEnforcedUntil(until time.Time) {
	c.enforcedUntil = later(c.enforcedUntil, until)
}

// confirmationLog lists the jobs whose cancellation a controller confirmed to users, each job
// once. The answers to pings carry the entries, so that a leader that cannot reach the key-value
// store learns of these cancellations. It may then renew workers' leases during an
// outage that is longer than the time within which a cancellation must be enforced. Entries are
// numbered from 1; only the latest tuning.MaxListedConfirmations are kept.
type confirmationLog struct {
	droppedCount uint64              // number of oldest entries that are no longer kept
	ids          []string            // job IDs, the oldest entry first
	idSet        map[string]struct{} // the elements of ids
}

func (l *confirmationLog) add(id string) {
	if _, ok := l.idSet[id]; ok {
		return
	}
	if l.idSet == nil {
		l.idSet = map[string]struct{}{}
	}
	l.idSet[id] = struct{}{}
	l.ids = append(l.ids, id)
	if len(l.ids) > tuning.MaxListedConfirmations {
		delete(l.idSet, l.ids[0])
		l.ids = l.ids[1:] // append frees the dropped prefix when it reallocates
		l.droppedCount++
	}
}

// entriesAfter returns the entries that follow the first receivedCount entries, as far as they
// are still kept, and from, the number of entries that precede the returned ones.
func (l *confirmationLog) entriesAfter(receivedCount uint64) (from uint64, ids []string) {
	from = min(max(receivedCount, l.droppedCount), l.droppedCount+uint64(len(l.ids)))
	return from, l.ids[from-l.droppedCount:]
}

// confirmationCursor records how much of a peer's confirmationLog a controller has received.
// The controller has received every cancellation that the peer confirmed from completeSince
// until completeUntil.
type confirmationCursor struct {
	bootID        uint64 // identifies the peer's process that sent the entries
	receivedCount uint64 // number of entries received from that process
	// completeSince excludes cancellations that an earlier process of the peer confirmed, and
	// entries that the peer dropped before they were received.
	completeSince time.Time
	completeUntil time.Time
}

// applyPong advances the cursor by the log entries in pong, the answer to a ping that was sent at
// sentAt.
func (c *confirmationCursor) applyPong(pong peer.Pong, sentAt, now time.Time) {
	if pong.UptimeMilli == 0 {
		return // the peer runs a version without a confirmationLog
	}
	if pong.BootID != c.bootID {
		c.bootID, c.receivedCount = pong.BootID, 0
		c.completeSince = now.Add(-milliseconds(pong.UptimeMilli - 1))
	}
	if pong.ConfirmedFrom > c.receivedCount {
		c.completeSince = now
	}
	c.receivedCount = pong.ConfirmedFrom + uint64(len(pong.Confirmed))
	c.completeUntil = later(c.completeUntil, sentAt)
}

// reset makes the peer send its whole log again.
func (c *confirmationCursor) reset() { c.receivedCount, c.completeUntil = 0, time.Time{} }

// confirmCancellation records that a job is durably cancelled. It is called right before the
// cancellation is confirmed to a user, with the lock held.
func (c *Controller) confirmCancellation(id string) {
	c.cancellations.confirmed.add(id)
	c.updateCancellationWatermark()
	if c.leadership.leading() {
		c.leadership.scheduler.Cancelled(c.now(), []string{id})
	}
}

// cancellationWatermark returns the time before which this controller knows every cancellation
// that any controller confirmed to a user. It is the time of the last complete read of the
// key-value store or, if every peer has listed all that it confirmed since that read, the time
// up to which the peers' lists are complete. Called with the lock held.
func (c *Controller) cancellationWatermark() time.Time {
	listedUntil := time.Now()
	for _, p := range c.membership.peers {
		//mutation:peer-restart-bounds-watermark
		if !p.confirmations.completeSince.Before(c.replication.caughtUpAt) {
			return c.replication.caughtUpAt
		}
		if p.confirmations.completeUntil.Before(listedUntil) {
			listedUntil = p.confirmations.completeUntil
		}
	}
	return later(c.replication.caughtUpAt, listedUntil)
}

// updateCancellationWatermark passes the cancellation watermark to the scheduler, if this
// controller leads. It must be called before newly learned cancellations are passed on, since
// those may be later than the watermark. Called with the lock held.
func (c *Controller) updateCancellationWatermark() {
	if c.leadership.leading() {
		c.leadership.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt))
	}
}

// enforcedCancellationWatermark returns the time before which this leader has enforced all
// cancellations. Called with the lock held, only at the leader.
func (c *Controller) enforcedCancellationWatermark() time.Time {
	return c.startedAt.Add(c.leadership.scheduler.EnforcedCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt)))
}

// mayRenewWorkerLeases reports whether the leader may renew its workers' leases. A cancellation
// right after the cancellation watermark may be unknown to the leader, so it stops renewing early
// enough for the leases to expire within the time allowed for a cancellation. The leases also
// expire in time if this process was paused or another controller has been elected since. Called
// with the lock held.
func (c *Controller) mayRenewWorkerLeases() bool {
	return time.Since(c.cancellationWatermark()) < c.KeepaliveBound()
}

// KeepaliveBound returns how long a controller may renew workers' leases without learning of new
// cancellations. The leader counts the time from its cancellation watermark. Followers count it
// from the time before which the leader has enforced all cancellations, since tasks that the
// leader could not stop yet may still run on their workers. A job may be cancelled right after
// that time, and the workers' leases must expire within the time allowed for a cancellation.
// The time does not count from a worker's first heartbeat at this controller: in a partition, the
// worker sends that only after other controllers did not answer.
func (c *Controller) KeepaliveBound() time.Duration {
	workers := &c.cfg.Deployment.Workers
	//mutation:keepalive-drift-margin
	return max(0, config.Seconds(workers.CancellationS)-config.Seconds(workers.LeaseS)-tuning.KeepaliveMargin)
}
