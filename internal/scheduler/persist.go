package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxTransactionsInFlight is how many of the leader's transactions may be in flight at once.
// They never share a key.
const maxTransactionsInFlight = 4

// persister owns what has to be written and what is being written: assignment batches, the
// progress and the ends of jobs, and deletions, within the write budget. A batch or a job has
// at most one write in flight, and a batch is deleted only when no attempt needs it.
type persister struct {
	*termContext

	inFlight          map[uint64]*transactionContents
	batches           map[string]*assignmentBatch // by key, those that are or may be stored
	unrecorded        []*attempt                  // to be written with the next batch
	nextBatchAt       time.Duration               // no batch before then
	dirtyJobs         map[*job]bool               // with something to write
	unreadableRecords []string                    // keys of records that could not be decoded
	obsoleteKeys      []string                    // to be deleted when the budget allows
	writeBudget       tokenBucket                 // a token for each change
	blockedUntil      time.Duration               // no writes until then: the key-value store refused one
}

func newPersister(context *termContext) persister {
	return persister{
		termContext: context,
		inFlight:    map[uint64]*transactionContents{},
		batches:     map[string]*assignmentBatch{},
		dirtyJobs:   map[*job]bool{},
		writeBudget: tokenBucket{tokens: context.settings.WriteRate, refilledAt: context.now.Mono},
	}
}

// deleteLater has keys deleted that nothing needs any more.
func (p *persister) deleteLater(keys ...string) { p.obsoleteKeys = append(p.obsoleteKeys, keys...) }

// flush writes what is due, the most urgent first: attempts that may not start before they
// are recorded, jobs that have ended, then what can wait.
func (p *persister) flush() {
	p.refillWriteBudget()
	for len(p.inFlight) < maxTransactionsInFlight && p.now.Mono >= p.blockedUntil {
		t := p.newTransaction()
		// Batches come first. They are spaced in time, and one change records dozens of
		// attempts where a job's end takes two: many small jobs that end would hold back
		// all starts.
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
	rate := p.settings.WriteRate * tuning.StoreWriteRateShare
	p.writeBudget.refill(p.now.Mono, rate, max(rate, float64(p.settings.MaxTransactionOps)))
}

func (p *persister) commit(t *transaction) {
	p.writeBudget.spend(float64(t.opCount()))
	p.nextEffectID++
	p.inFlight[p.nextEffectID] = &t.contents
	p.effects.Commits = append(p.effects.Commits, Commit{ID: p.nextEffectID, Txn: t.request})
}

// addDeletions deletes batches that nothing needs any more, and the bitmap chunks of ended
// jobs.
func (p *persister) addDeletions(t *transaction) {
	for len(p.obsoleteKeys) > 0 && t.canAdd(1) {
		key := p.obsoleteKeys[0]
		p.obsoleteKeys = p.obsoleteKeys[1:]
		t.delete(key)
		t.contents.deletedKeys = append(t.contents.deletedKeys, key)
	}
}

// CommitResult says what became of a transaction.
type CommitResult int

// Outcomes of a transaction.
const (
	CommitUnknown  CommitResult = iota // executed, or not, or later
	CommitDone                         // executed at the given revision
	CommitConflict                     // not executed: the named keys differ
	CommitRefused                      // not executed: the key-value store refused it
)

// commitOutcome is what became of a transaction.
type commitOutcome struct {
	result      CommitResult
	revision    uint64          // of its changes, if it was executed
	conflicting map[string]bool // keys whose revision was not the expected one
}

func newCommitOutcome(result CommitResult, revision uint64, failedKeys []string) commitOutcome {
	outcome := commitOutcome{result: result, revision: revision, conflicting: map[string]bool{}}
	if result == CommitConflict {
		for _, key := range failedKeys {
			outcome.conflicting[key] = true
		}
	}
	return outcome
}

// CommitDone takes the outcome of a transaction.
func (s *Scheduler) CommitDone(now Now, id uint64, result CommitResult, revision uint64, failedKeys []string) {
	s.now = now
	contents := s.persister.endCommit(id)
	if contents == nil {
		return
	}
	outcome := newCommitOutcome(result, revision, failedKeys)
	if outcome.conflicting[records.LeaderKey] {
		s.effects.Resign = ResignLeaderKeyLost
		return
	}
	s.persister.noteOutcome(contents, outcome)
	for _, write := range contents.jobWrites {
		s.persister.jobWritten(write, outcome)
		if write.ended && outcome.result == CommitDone {
			s.archiveJob(write.job)
		}
	}
	for _, b := range contents.batches {
		s.persister.batchWritten(b, outcome, &s.dispatcher)
	}
	s.persister.flush()
}

// endCommit takes a transaction out of those in flight; nil if it is not one of them.
func (p *persister) endCommit(id uint64) *transactionContents {
	contents := p.inFlight[id]
	delete(p.inFlight, id)
	return contents
}

// noteOutcome puts off further writes if the key-value store does not take them, and queues
// deletions again that may not have been executed.
func (p *persister) noteOutcome(contents *transactionContents, outcome commitOutcome) {
	if outcome.result == CommitRefused || outcome.result == CommitUnknown {
		p.blockedUntil = p.now.Mono + tuning.StoreRetryDelay
	}
	if outcome.result != CommitDone {
		p.deleteLater(contents.deletedKeys...)
	}
}
