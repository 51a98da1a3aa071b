package scheduler_test

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// The confirmations of the simulation: which cancellations users were told of, what the
// controllers tell each other of them, and how long workers may be kept alive by that.

// confirmCancellation notes that a user was told here that a job is cancelled.
func (c *simController) confirmCancellation(id string) {
	if !slices.Contains(c.confirmedCancellations, id) {
		c.confirmedCancellations = append(c.confirmedCancellations, id)
	}
	if c.scheduler != nil {
		c.scheduler.AdvanceCancellationWatermark(c.watermark())
		c.scheduler.Cancelled(c.sim.schedulerNow(), []string{id})
		c.settle()
	}
}

// pollPeers learns which cancellations were confirmed by the other controllers, and as of
// when the leader has enforced all of them.
func (c *simController) pollPeers() {
	for _, peer := range c.sim.controllers {
		if !c.reachesPeer(peer) {
			continue
		}
		if peer.scheduler != nil && peer.term >= c.leaderTerm {
			c.leaderWatermark, c.leaderTerm = peer.enforcedAsOf(), peer.term
		}
		if c.scheduler != nil {
			c.applyConfirmationsOf(peer)
		}
	}
	c.settle()
}

// applyConfirmationsOf has the leader know what a peer has confirmed.
func (c *simController) applyConfirmationsOf(peer *simController) {
	if peer.startedAt < c.replicaReadAt {
		c.peerConfirmedAt[peer] = c.sim.now
	}
	if c.survivedFailover(peer) {
		c.scheduler.ControllerSurvived()
	}
	c.scheduler.AdvanceCancellationWatermark(c.watermark())
	if c.sim.disabled != peerCancellationLists {
		c.scheduler.Cancelled(c.sim.schedulerNow(), peer.confirmedCancellations)
	}
}

// survivedFailover reports whether a controller's process was up long before this one was
// elected.
func (c *simController) survivedFailover(peer *simController) bool {
	return c.electedAt-peer.startedAt > c.sim.workerLease/tuning.ColdRestartLeaseDivisor
}

// watermark is as of when the controller knows all cancellations: as of its replica, or,
// if all peers have told theirs since, as of the oldest of those.
func (c *simController) watermark() time.Duration {
	oldest := c.sim.now
	for _, peer := range c.sim.controllers {
		if peer == c {
			continue
		}
		if peer.startedAt >= c.replicaReadAt {
			return c.replicaReadAt
		}
		oldest = min(oldest, c.peerConfirmedAt[peer])
	}
	return max(c.replicaReadAt, oldest)
}

// enforcedAsOf is as of when the leader has enforced all cancellations.
func (c *simController) enforcedAsOf() time.Duration {
	switch c.sim.disabled {
	case enforcedWatermark:
		return c.watermark()
	case watermarkAtReading:
		return c.sim.now
	}
	return c.scheduler.EnforcedCancellationWatermark(c.watermark())
}

// keepaliveLimit is how long after that watermark workers may be kept alive.
func (c *simController) keepaliveLimit() time.Duration {
	return c.sim.size.cancellationBound - c.sim.workerLease - tuning.KeepaliveMargin
}
