package simulator

import "time"

// Health checks of a load balancer, and how long it removes a controller, as in the protocol.
const (
	HealthCheckInterval = time.Second

	healthCheckTimeout  = time.Second
	failuresInARow      = 2
	failuresAmongRecent = 3
	recentHealthChecks  = 6
	successesInARow     = 2
	shortestRemoval     = 3 * time.Second
	longestRemoval      = time.Minute
	// removalMemory is how long after a removal the next one is twice as long.
	removalMemory = 2 * time.Minute
)

// TargetHealth is what a load balancer knows about the health of one controller. Times are durations
// since any fixed moment. The zero value is a controller that has never been healthy.
type TargetHealth struct {
	healthy        bool
	everHealthy    bool
	healthyAt      time.Duration // when it last became healthy
	removedAt      time.Duration // when it was last removed
	removal        time.Duration // how long it stays removed at least
	recentFailures []bool        // whether the last checks failed, oldest first
	failures       int           // in a row
	successes      int           // in a row
}

// Healthy reports whether the controller gets new connections.
func (h *TargetHealth) Healthy() bool { return h.healthy }

// Removal returns how long the controller stays removed at least, since it was last removed.
func (h *TargetHealth) Removal() time.Duration { return h.removal }

// CheckSucceeded records a health check that was answered in time with 200.
func (h *TargetHealth) CheckSucceeded(now time.Duration) {
	h.successes, h.failures = h.successes+1, 0
	h.remember(false)
	if !h.healthy && h.mayReturn(now) {
		h.healthy, h.everHealthy, h.healthyAt = true, true, now
		h.recentFailures = nil
	}
}

// CheckFailed records any other health check.
func (h *TargetHealth) CheckFailed(now time.Duration) {
	h.successes, h.failures = 0, h.failures+1
	h.remember(true)
	if h.healthy && (h.failures >= failuresInARow || h.failuresAmongRecent() >= failuresAmongRecent) {
		h.remove(now)
	}
}

func (h *TargetHealth) remember(failed bool) {
	h.recentFailures = append(h.recentFailures, failed)
	if len(h.recentFailures) > recentHealthChecks {
		h.recentFailures = h.recentFailures[1:]
	}
}

func (h *TargetHealth) failuresAmongRecent() int {
	count := 0
	for _, failed := range h.recentFailures {
		if failed {
			count++
		}
	}
	return count
}

// remove removes the controller, for twice as long as the last time if that was not long ago.
func (h *TargetHealth) remove(now time.Duration) {
	if h.removal > 0 && now-h.removedAt < removalMemory {
		h.removal = min(2*h.removal, longestRemoval)
	} else {
		h.removal = shortestRemoval
	}
	h.healthy, h.removedAt = false, now
}

func (h *TargetHealth) mayReturn(now time.Duration) bool {
	if !h.everHealthy {
		return true
	}
	return h.successes >= successesInARow && now-h.removedAt >= h.removal
}
