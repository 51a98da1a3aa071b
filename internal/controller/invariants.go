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
	c.reportViolation("the lease of a running leader lasts for its TTL",
		"term", term, "reason", reason, "remaining_ms", remaining.Milliseconds())
}

// reportUnanswered reports that queries about a job have been unanswered for too long while the
// key-value store served this controller.
func (c *Controller) reportUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation("queries about a job are answered while the key-value store serves", "job", id)
}

// reportViolation counts and logs a violated invariant. Called with the lock held.
func (c *Controller) reportViolation(invariant string, attributes ...any) {
	c.metrics.invariantViolations++
	c.log.Error("invariant violated", append([]any{"invariant", invariant}, attributes...)...)
}
