package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// compactBatches queues another write of the attempts that still need old batches, up to
// tuning.MaxCompactedAttempts or the attempts of one batch at a time. Otherwise the records of
// ended attempts would fill up the store, and a new leader would have to read them.
func (p *persister) compactBatches() {
	if p.recordsAreDue() || p.writeBudget.tokens < p.writeRate.perSecond*tuning.StoreWriteRateShare/2 {
		return
	}
	queued := 0
	for _, b := range p.batchesToCompact() {
		if queued > 0 && queued+len(b.neededBy) > tuning.MaxCompactedAttempts {
			return
		}
		queued += len(b.neededBy)
		for a := range b.neededBy {
			if !a.awaitsDurableCompletion() {
				p.queueAssignment(a)
			}
		}
	}
}

// recordsAreDue reports whether an unrecorded attempt may be written now.
func (p *persister) recordsAreDue() bool {
	return slices.ContainsFunc(p.unrecorded, func(a *attempt) bool { return p.now.Mono >= a.assignment.rejection.until })
}

// batchesToCompact returns the batches to rewrite, those with the fewest needed attempts first:
// batches with a requested rewrite and, if there are many batches, those of which at most a
// quarter is needed.
func (p *persister) batchesToCompact() []*assignmentBatch {
	var batches []*assignmentBatch
	for _, b := range p.batches {
		if b.writeInFlight || p.now.Mono-b.createdAt < tuning.BatchRewriteAge {
			continue
		}
		if b.rewriteRequested || len(p.batches) > tuning.BatchCompactionThreshold && len(b.neededBy)*4 <= b.attemptCount {
			batches = append(batches, b)
		}
	}
	slices.SortFunc(batches, func(a, b *assignmentBatch) int {
		return cmp.Or(cmp.Compare(len(a.neededBy), len(b.neededBy)), strings.Compare(a.key, b.key))
	})
	return batches
}
