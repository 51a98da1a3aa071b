package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// confirmationLog lists of which cancellations users were told here, each once. A leader that
// the state service does not serve learns of them by its pings, and may keep workers
// alive through an outage that is longer than the time for a cancellation.
type confirmationLog struct {
	dropped uint64 // entries that are no longer kept
	ids     []string
	kept    map[string]struct{} // those in the list
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
		l.ids = l.ids[1:] // append moves the rest when the room behind it is used up
		l.dropped++
	}
}

// after gives the entries after the first have, or those still kept.
func (l *confirmationLog) after(seen uint64) (from uint64, ids []string) {
	from = min(max(seen, l.dropped), l.dropped+uint64(len(l.ids)))
	return from, l.ids[from-l.dropped:]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirmCancellation takes note of a job that is durably cancelled and whose user is told
// right after this. Called with the lock held.
func (c *Controller) confirmCancellation(id string) {
	c.cancellations.confirmed.add(id)
	c.updateWatermark()
	if c.leadership.scheduler != nil {
		c.leadership.scheduler.Cancelled(c.now(), []string{id})
	}
}

// recordConfirmations takes a peer's list of cancellations, asked for at asked. What an earlier
// process of the peer told, or entries that are no longer kept, the list has not: it
// counts only for whoever knows by the state service what was before.
func (p *peerState) recordConfirmations(pong peer.Pong, askedAt, now time.Time) {
	if pong.UptimeMilli == 0 {
		return // of a version that keeps no list
	}
	if pong.BootID != p.bootID {
		p.bootID, p.confirmationsSeen = pong.BootID, 0
		p.confirmationsCompleteFrom = now.Add(-time.Duration(pong.UptimeMilli-1) * time.Millisecond)
	}
	if pong.ConfirmedFrom > p.confirmationsSeen {
		p.confirmationsCompleteFrom = now
	}
	p.confirmationsSeen = pong.ConfirmedFrom + uint64(len(pong.Confirmed))
	p.confirmationsAsOf = later(p.confirmationsAsOf, askedAt)
}

// cancellationWatermark is the moment as of which this node knows of every cancellation that users
// were told of: by the state service, or because every peer has listed its own
// since then. Called with the lock held.
func (c *Controller) cancellationWatermark() time.Time {
	listedAsOf := time.Now()
	for _, p := range c.membership.peers {
		//mutation:peer-restart-bounds-watermark
		if !p.confirmationsCompleteFrom.Before(c.replication.caughtUpAt) {
			return c.replication.caughtUpAt
		}
		if p.confirmationsAsOf.Before(listedAsOf) {
			listedAsOf = p.confirmationsAsOf
		}
	}
	return later(c.replication.caughtUpAt, listedAsOf)
}

// updateWatermark tells the leader as of when it has been told of all cancellations: what
// comes to it next may be later ones. Called with the lock held.
func (c *Controller) updateWatermark() {
	if c.leadership.scheduler != nil {
		c.leadership.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt))
	}
}

// enforcedWatermark is the moment as of which this leader has seen all cancellations through.
// Called with the lock held, by the leader.
func (c *Controller) enforcedWatermark() time.Time {
	return c.startedAt.Add(c.leadership.scheduler.EnforcedCancellationWatermark(c.cancellationWatermark().Sub(c.startedAt)))
}

// mayRenewLeases reports whether the leader may renew its workers' leases: for no longer
// after that moment than leaves time for a cancellation it does not know of. It
// holds whatever became of the process meanwhile, and whoever else leads.
// Called with the lock held.
func (c *Controller) mayRenewLeases() bool {
	return time.Since(c.cancellationWatermark()) < c.KeepaliveBound()
}
