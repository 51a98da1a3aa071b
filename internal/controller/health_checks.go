package controller

import (
	"net/http"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// ConnectionCounts counts the connections of users and workers.
type ConnectionCounts struct {
	Open    int64 `json:"open"`
	Limit   int64 `json:"limit"`
	Refused int64 `json:"refused_total"` // over the limit, since the start of the process
}

// HealthCheckSummary counts the health checks of load balancers since the start of the process.
type HealthCheckSummary struct {
	Healthy   uint64 `json:"healthy_total"`   // answered with 200
	Unhealthy uint64 `json:"unhealthy_total"` // answered with 503
	Late      uint64 `json:"late_total"`      // answered after tuning.HealthCheckTimeout
	MaxMilli  int64  `json:"max_ms"`          // longest time until an answer
}

// healthCheckCounts counts health checks. It is safe for concurrent use.
type healthCheckCounts struct {
	mu     sync.Mutex
	counts HealthCheckSummary
}

func (h *healthCheckCounts) add(status int, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if status == http.StatusOK {
		h.counts.Healthy++
	} else {
		h.counts.Unhealthy++
	}
	if duration >= tuning.HealthCheckTimeout {
		h.counts.Late++
	}
	h.counts.MaxMilli = max(h.counts.MaxMilli, duration.Milliseconds())
}

func (h *healthCheckCounts) summary() HealthCheckSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// HealthCheckAnswered counts a health check that was answered with an HTTP status. duration is the
// time since the check arrived.
func (c *Controller) HealthCheckAnswered(status int, duration time.Duration) {
	c.healthChecks.add(status, duration)
}
