package controller

import (
	"context"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// statusReporter logs at intervals how many users' requests were not answered locally, and why,
// what load balancers saw, and which transactions the key-value store did not execute. It runs in one goroutine, without the lock.
type statusReporter struct {
	controller          *Controller
	reported            map[string]uint64
	reportedUnanswered  uint64
	reportedChecks      HealthCheckSummary
	reportedCommits     kvstore.CommitCounts
	reportedConnections ConnectionCounts
}

// run logs a line for each interval in which there were such requests, until ctx ends.
func (r *statusReporter) run(ctx context.Context) {
	for sleep(ctx, tuning.RequestReportInterval) {
		r.report()
		r.reportHealthChecks()
		r.reportTransactions()
	}
}

// reportTransactions logs a line if transactions were refused for another reason than a conflict,
// or were not answered, since the last report.
func (r *statusReporter) reportTransactions() {
	counts := r.controller.store.CommitCounts()
	increase := counts.Since(r.reportedCommits)
	r.reportedCommits = counts
	if increase.NotExecuted() == 0 {
		return
	}
	r.controller.log.Info("transactions not executed by the key-value store",
		"executed", increase.Executed, "rejected", increase.Rejected, "rate_limited", increase.RateLimited,
		"unavailable", increase.Unavailable, "unknown", increase.Unknown)
}

// reportHealthChecks logs a line if a load balancer may have counted a health check as failed, or if
// connections were refused, since the last report.
func (r *statusReporter) reportHealthChecks() {
	c := r.controller
	checks, connections := c.healthChecks.summary(), c.connections()
	last, lastConnections := r.reportedChecks, r.reportedConnections
	r.reportedChecks, r.reportedConnections = checks, connections
	late, unhealthy := checks.Late-last.Late, checks.Unhealthy-last.Unhealthy
	refused := connections.Refused - lastConnections.Refused
	if late == 0 && unhealthy == 0 && refused == 0 {
		return
	}
	c.log.Info("health checks failed or connections refused",
		"checks_ok", checks.Healthy-last.Healthy, "checks_unhealthy", unhealthy, "checks_late", late, "slowest_check_ms", checks.MaxMilli,
		"connections", connections.Open, "connection_limit", connections.Limit, "refused", refused)
}

func (r *statusReporter) report() {
	c := r.controller
	counts, unanswered := c.requestCounts.snapshot()
	if unanswered != r.reportedUnanswered {
		c.log.Info("user requests not answered locally", r.attributes(counts)...)
	}
	r.reported, r.reportedUnanswered = counts, unanswered
}

// attributes returns the counts since the last report, and what the answers depended on.
func (r *statusReporter) attributes(counts map[string]uint64) []any {
	c := r.controller
	increases := map[string]uint64{}
	for name, count := range counts {
		if count > r.reported[name] {
			increases[name] = count - r.reported[name]
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return []any{
		"counts", increases, "longest_unanswered_ms", c.queryGaps.takeRecent(time.Now()).Milliseconds(),
		"leader", c.membership.leader.name, "term", c.membership.leader.term,
		"jobs_revision", c.replication.replica.Revision,
		"jobs_age_ms", time.Since(c.replication.caughtUpAt).Milliseconds(),
		"store_unavailable_ms", c.store.UnavailableFor().Milliseconds(),
		"tick_lag_ms", time.Duration(c.admission.tickLag.Load()).Milliseconds(),
		"backlog_ms", c.admission.requestBacklog().Milliseconds(),
	}
}
