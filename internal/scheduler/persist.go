package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxTransactionsInFlight limits the leader's transactions that are in flight at once. No two
// of them write the same key.
const maxTransactionsInFlight = 4

// persister owns the pending and in-flight writes to the key-value store: assignment batches,
// the progress and the ends of jobs, and deletions, all within the write budget. A batch or a
// job has at most one write in flight, and a batch is deleted only when no attempt needs it.
type persister struct {
	*termContext

	inFlight          map[uint64]*transactionContents // by Commit.ID
	batches           map[string]*assignmentBatch     // stored or possibly stored batches, by key
	unrecorded        []*attempt                      // attempts to write with the next batch
	nextBatchAt       time.Duration                   // earliest time of the next batch
	dirtyJobs         map[*job]bool                   // jobs with unsaved changes
	unreadableRecords []string                        // keys of records that could not be decoded
	obsoleteKeys      []string                        // keys to delete as the write budget allows
	limits            storeLimits                     // the store's limits on a transaction
	writeRate         writeRate                       // the store's limit on changes per second
	writeBudget       tokenBucket                     // one token per change
	blockedUntil      time.Duration                   // earliest next write after a failed write
}

func newPersister(context *termContext) persister {
	return persister{
		termContext: context,
		inFlight:    map[uint64]*transactionContents{},
		batches:     map[string]*assignmentBatch{},
		dirtyJobs:   map[*job]bool{},
		limits:      newStoreLimits(context.settings),
		writeRate:   newWriteRate(context.settings.WriteRate, context.now.Mono),
		writeBudget: tokenBucket{tokens: context.settings.WriteRate, refilledAt: context.now.Mono},
	}
}

// queueDeletion queues the deletion of keys that are no longer needed.
func (p *persister) queueDeletion(keys ...string) { p.obsoleteKeys = append(p.obsoleteKeys, keys...) }

// flush commits the writes that are due, in order of urgency: first the assignments of attempts,
// which may not start before they are recorded, then ended jobs, then progress and deletions.
func (p *persister) flush() {
	p.refillWriteBudget()
	for len(p.inFlight) < maxTransactionsInFlight && p.now.Mono >= p.blockedUntil {
		t := p.newTransaction()
		// Batches come first. They are spaced in time, and one change records dozens of
		// attempts, while the end of a job takes two changes. If ended jobs came first, many
		// small jobs would delay all starts.
		p.addAssignmentBatches(t)
		p.addEndedJobs(t)
		p.addJobProgress(t)
		p.addDeletions(t)
		if t.opCount() == 0 {
			return
		}
		p.commit(t)
	}
}

func (p *persister) refillWriteBudget() {
	p.limits.raise(p.now.Mono)
	p.writeRate.advance(p.now.Mono)
	rate := p.writeRate.perSecond * tuning.StoreWriteRateShare
	p.writeBudget.refill(p.now.Mono, rate, max(rate, float64(p.maxTransactionOps())))
}

// maxTransactionOps returns the most changes that a transaction may have.
func (p *persister) maxTransactionOps() int {
	//mutation:transaction-within-burst
	return min(p.limits.maxOps, p.writeRate.maxOps())
}

func (p *persister) commit(t *transaction) {
	p.writeBudget.spend(float64(t.opCount()))
	p.nextEffectID++
	t.contents.operations = t.opCount()
	p.inFlight[p.nextEffectID] = &t.contents
	p.effects.Commits = append(p.effects.Commits, Commit{ID: p.nextEffectID, Txn: t.request})
}

// addDeletions deletes batches that are no longer needed, unreadable records once their attempts
// are known, and the bitmap chunks of ended jobs.
func (p *persister) addDeletions(t *transaction) {
	for len(p.obsoleteKeys) > 0 && t.canAdd(1, 0) {
		key := p.obsoleteKeys[0]
		p.obsoleteKeys = p.obsoleteKeys[1:]
		t.delete(key)
		t.contents.deletedKeys = append(t.contents.deletedKeys, key)
	}
}

// CommitResult is the outcome of a transaction.
type CommitResult int

// Outcomes of a transaction.
const (
	// CommitUnknown means that the transaction may have been executed, or may be executed later.
	CommitUnknown     CommitResult = iota
	CommitDone                     // executed at the reported revision
	CommitConflict                 // not executed: the reported keys have unexpected revisions
	CommitRefused                  // not executed: the key-value store refused it
	CommitRateLimited              // not executed: too many changes or requests at the key-value store
	// CommitRejected means that the transaction was not executed, and never will be: it is too
	// large for the key-value store.
	CommitRejected
)

// commitOutcome is the outcome of a transaction with its details.
type commitOutcome struct {
	result          CommitResult
	revision        uint64          // revision of the changes, if they were executed
	conflictingKeys map[string]bool // keys whose revision is not the expected one
	alone           bool            // the transaction had a single write
}

func newCommitOutcome(result CommitResult, revision uint64, failedKeys []string) commitOutcome {
	outcome := commitOutcome{result: result, revision: revision, conflictingKeys: map[string]bool{}}
	if result == CommitConflict {
		for _, key := range failedKeys {
			outcome.conflictingKeys[key] = true
		}
	}
	return outcome
}

// CommitEnded handles the outcome of the transaction with the given ID.
func (s *Scheduler) CommitEnded(now Now, id uint64, result CommitResult, revision uint64, failedKeys []string) {
	s.now = now
	contents := s.persister.removeInFlight(id)
	if contents == nil {
		return
	}
	outcome := newCommitOutcome(result, revision, failedKeys)
	outcome.alone = contents.writeCount() == 1
	if outcome.conflictingKeys[records.LeaderKey] {
		s.effects.Resign = ResignLeaderKeyLost
		return
	}
	s.persister.handleCommitOutcome(contents, outcome)
	for _, write := range contents.jobWrites {
		s.persister.handleJobWriteOutcome(write, outcome)
		if write.ended && outcome.result == CommitDone {
			s.archiveJob(write.job)
		}
	}
	for _, b := range contents.batches {
		s.persister.handleBatchWriteOutcome(b, outcome, &s.dispatcher)
	}
	s.persister.flush()
}

// removeInFlight removes a transaction from those in flight and returns its contents, or nil if
// it is not in flight.
func (p *persister) removeInFlight(id uint64) *transactionContents {
	contents := p.inFlight[id]
	delete(p.inFlight, id)
	return contents
}

// handleCommitOutcome delays further writes after a refusal or an unknown outcome, lowers the rate
// or the limits after a refusal because of them, and requeues deletions that may not have been
// executed.
func (p *persister) handleCommitOutcome(contents *transactionContents, outcome commitOutcome) {
	if outcome.result != CommitDone && outcome.result != CommitConflict {
		p.blockedUntil = p.now.Mono + tuning.StoreRetryDelay
	}
	switch outcome.result {
	case CommitDone:
		p.writeRate.accepted = true
		p.limits.accepted(contents)
	case CommitRateLimited:
		p.writeRate.lower(p.now.Mono)
		p.writeBudget.tokens = min(p.writeBudget.tokens, 0)
	case CommitRejected:
		p.limits.lower(p.now.Mono, contents)
		p.logInfo("key-value store rejects writes as too large", "writes", contents.writeCount(), "operations", contents.operations,
			"largest_value_bytes", contents.largestValueBytes, "max_operations", p.limits.maxOps, "max_value_bytes", p.limits.maxValueBytes)
	}
	if outcome.result != CommitDone {
		p.queueDeletion(contents.deletedKeys...)
	}
}
