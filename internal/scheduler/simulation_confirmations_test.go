package scheduler_test

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// This file simulates the confirmations of cancellations: which ones controllers have confirmed
// to users, how controllers exchange them, and how long worker leases may be renewed without
// newer ones.

// confirmCancellation records that this controller has confirmed a job's cancellation to a
// user.
func (c *simController) confirmCancellation(id string) {
	if !slices.Contains(c.confirmedCancellations, id) {
		c.confirmedCancellations = append(c.confirmedCancellations, id)
	}
	if c.scheduler != nil {
		c.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark())
		c.scheduler.Cancelled(c.sim.schedulerNow(), []string{id})
		c.settle()
	}
}

// pollPeers reads from each reachable peer which cancellations it has confirmed, and from a
// leading peer the time up to which it has enforced all cancellations.
func (c *simController) pollPeers() {
	for _, peer := range c.sim.controllers {
		if !c.reachesPeer(peer) {
			continue
		}
		if peer.scheduler != nil && peer.term >= c.leaderTerm {
			c.leaderWatermark, c.leaderTerm = peer.enforcedWatermark(), peer.term
		}
		if c.scheduler != nil {
			c.applyPeerConfirmations(peer)
		}
	}
	c.settle()
}

// applyPeerConfirmations applies the cancellations that a peer has confirmed to the scheduler
// of this controller, which leads.
func (c *simController) applyPeerConfirmations(peer *simController) {
	if peer.startedAt < c.replicaReadAt {
		c.peerPolledAt[peer] = c.sim.now
	}
	if c.survivedFailover(peer) {
		c.scheduler.ControllerSurvived()
	}
	c.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark())
	if c.sim.disabled != peerCancellationLists {
		c.scheduler.Cancelled(c.sim.schedulerNow(), peer.confirmedCancellations)
	}
}

// survivedFailover reports whether a controller's process had been up for half a worker lease
// when this controller was elected.
func (c *simController) survivedFailover(peer *simController) bool {
	return c.electedAt-peer.startedAt > c.sim.workerLease/tuning.ColdRestartLeaseDivisor
}

// cancellationWatermark returns the time up to which the controller knows all cancellations:
// the time of its replica or, if later, of the last poll of the least recently polled peer. The
// polls count only if every peer has been up since before the replica was read, since a
// restarted peer has lost its list.
func (c *simController) cancellationWatermark() time.Duration {
	oldest := c.sim.now
	for _, peer := range c.sim.controllers {
		if peer == c {
			continue
		}
		if peer.startedAt >= c.replicaReadAt {
			return c.replicaReadAt
		}
		oldest = min(oldest, c.peerPolledAt[peer])
	}
	return max(c.replicaReadAt, oldest)
}

// enforcedWatermark returns the time up to which the leader has enforced all cancellations,
// unless a safeguard is disabled.
func (c *simController) enforcedWatermark() time.Duration {
	switch c.sim.disabled {
	case keepaliveFromEnforcement:
		return c.cancellationWatermark()
	case keepaliveFromWatermark:
		return c.sim.now
	}
	return c.scheduler.EnforcedCancellationWatermark(c.cancellationWatermark())
}

// keepaliveLimit returns how long after a cancellation watermark worker leases may be renewed.
func (c *simController) keepaliveLimit() time.Duration {
	return c.sim.size.cancellationBound - c.sim.workerLease - tuning.KeepaliveMargin
}
