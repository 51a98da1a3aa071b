package controller

import (
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// queryGaps measures for how long this controller has been asked about each job without answering.
// It is safe for concurrent use.
type queryGaps struct {
	mu            sync.Mutex
	byJob         map[string]queryGap
	longestOfAll  time.Duration
	longestRecent time.Duration // since takeRecent was last called
}

// queryGap is a time in which all queries about a job at this controller failed.
type queryGap struct {
	firstFailedAt time.Time
	lastFailedAt  time.Time
	servedSince   time.Time // first failure since which the key-value store has served this controller
	overLimit     bool      // whether that was tuning.MaxUnansweredTime ago or more at the last failure
}

// storeState is whether the key-value store serves this controller.
type storeState int

const (
	storeServing storeState = iota
	storeFailing
)

func newQueryGaps() *queryGaps { return &queryGaps{byJob: map[string]queryGap{}} }

// answered records that a query about a job was answered.
func (g *queryGaps) answered(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.byJob, id)
}

// failed records that a query about a job was not answered. It reports whether all queries about the
// job have now failed for tuning.MaxUnansweredTime while the key-value store served this controller,
// once in a gap; store is its state now. A gap without a query for tuning.QueryGapExpiry has ended: the
// users may have asked elsewhere.
func (g *queryGaps) failed(id string, now time.Time, store storeState) (limitReached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap, known := g.byJob[id]
	if !known && len(g.byJob) >= tuning.MaxQueryGaps {
		return false
	}
	if !known || now.Sub(gap.lastFailedAt) > tuning.QueryGapExpiry {
		gap.firstFailedAt, gap.servedSince = now, now
	}
	if store == storeFailing {
		gap.servedSince = now
	}
	gap.lastFailedAt = now
	wasOverLimit := gap.overLimit
	gap.overLimit = now.Sub(gap.servedSince) >= tuning.MaxUnansweredTime
	g.byJob[id] = gap
	length := now.Sub(gap.firstFailedAt)
	g.longestOfAll, g.longestRecent = max(g.longestOfAll, length), max(g.longestRecent, length)
	return gap.overLimit && !wasOverLimit
}

// longest returns the longest gap of any job so far.
func (g *queryGaps) longest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longestOfAll
}

// takeRecent returns the longest gap of any job since the last call, and forgets expired gaps.
func (g *queryGaps) takeRecent(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, gap := range g.byJob {
		if now.Sub(gap.lastFailedAt) > tuning.QueryGapExpiry {
			delete(g.byJob, id)
		}
	}
	recent := g.longestRecent
	g.longestRecent = 0
	return recent
}
