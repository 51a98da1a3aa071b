package controller

import "time"

// assertLeaseEnded checks, when another leader or the end of the lease becomes known to a leader,
// that the lease of its term may have ended. The key-value store never ends a lease early, so the
// lease of a running leader can only end before its TTL if another controller revoked it, which
// must happen only after the leader's process has ended. The leader steps down all the same. Called
// with the lock held.
func (c *Controller) assertLeaseEnded(term uint64, reason string) {
	remaining := time.Until(c.leadership.leaseHeldUntil)
	if remaining <= 0 {
		return
	}
	c.metrics.invariantViolations++
	c.log.Error("invariant violated", "invariant", "the lease of a running leader lasts for its TTL",
		"term", term, "reason", reason, "remaining_ms", remaining.Milliseconds())
}
