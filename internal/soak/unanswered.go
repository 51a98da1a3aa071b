package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds on the time after the last fault for which queries about one job may go unanswered. The
// limit is that of the rules; the target is half of the minute that users are promised.
const (
	unansweredNotice = 15 * time.Second
	unansweredTarget = 30 * time.Second
	unansweredLimit  = 75 * time.Second
)

// UnansweredSummary describes, over all accepted jobs, the longest time after the last fault in which
// all queries about the job through the load balancer failed.
type UnansweredSummary struct {
	Jobs                              int
	Longest                           time.Duration
	LongestJob                        string
	OverNotice, OverTarget, OverLimit int // jobs
}

// String states the summary in one line.
func (s UnansweredSummary) String() string {
	return fmt.Sprintf("longest %.1f s (%s), over %v/%v/%v: %d/%d/%d of %d jobs", s.Longest.Seconds(), s.LongestJob,
		unansweredNotice, unansweredTarget, unansweredLimit, s.OverNotice, s.OverTarget, s.OverLimit, s.Jobs)
}

// unansweredTimes measures for how long each job goes unanswered after the last fault. It is safe for
// concurrent use.
type unansweredTimes struct {
	mu            sync.Mutex
	over          bool // whether the last fault has ended
	faultsEndedAt time.Duration
	answeredAt    map[string]time.Duration // when a query about the job was last answered
	longest       map[string]time.Duration
}

func newUnansweredTimes() *unansweredTimes {
	return &unansweredTimes{answeredAt: map[string]time.Duration{}, longest: map[string]time.Duration{}}
}

// faultsEnded records the end of the last fault.
func (u *unansweredTimes) faultsEnded(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.over, u.faultsEndedAt = true, now
}

// accepted records that a user was told that a job is accepted, from which on it counts as known.
func (u *unansweredTimes) accepted(now time.Duration, job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.answeredAt[job]; !known {
		u.answeredAt[job] = now
	}
}

// answered records an answered query about an accepted job.
func (u *unansweredTimes) answered(now time.Duration, job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.measure(now, job)
	u.answeredAt[job] = now
}

// failed records a query about an accepted job that was not answered.
func (u *unansweredTimes) failed(now time.Duration, job string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.measure(now, job)
}

// measure updates the longest time of a job, which counts from the end of the last fault at the
// earliest. The caller holds u.mu.
func (u *unansweredTimes) measure(now time.Duration, job string) {
	if u.over {
		since := max(u.faultsEndedAt, u.answeredAt[job])
		u.longest[job] = max(u.longest[job], now-since)
	}
}

// summary summarizes the times of all jobs.
func (u *unansweredTimes) summary() UnansweredSummary {
	u.mu.Lock()
	defer u.mu.Unlock()
	summary := UnansweredSummary{Jobs: len(u.longest)}
	for job, longest := range u.longest {
		if longest >= summary.Longest {
			summary.Longest, summary.LongestJob = longest, job
		}
		if longest > unansweredNotice {
			summary.OverNotice++
		}
		if longest > unansweredTarget {
			summary.OverTarget++
		}
		if longest > unansweredLimit {
			summary.OverLimit++
		}
	}
	return summary
}
