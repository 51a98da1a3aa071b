package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxTransactionsInFlight is how many of the leader's transactions may be in flight at once.
// They never share a key.
const maxTransactionsInFlight = 4

// persistState has what has to be written and what is being written: assignment batches, the
// progress and the ends of jobs, and deletions, within the write budget. A batch or a job has
// at most one write in flight.
type persistState struct {
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

func newPersistState(context *termContext) persistState {
	return persistState{
		termContext: context,
		inFlight:    map[uint64]*transactionContents{},
		batches:     map[string]*assignmentBatch{},
		dirtyJobs:   map[*job]bool{},
		writeBudget: tokenBucket{tokens: context.settings.WriteRate, refilledAt: context.now.Mono},
	}
}

// deleteLater has keys deleted that nothing needs any more.
func (p *persistState) deleteLater(keys ...string) { p.obsoleteKeys = append(p.obsoleteKeys, keys...) }

// flush writes what is due, the most urgent first: attempts that may not start before they
// are recorded, jobs that have ended, then what can wait.
func (s *Scheduler) flush() {
	s.refillWriteBudget()
	for len(s.persister.inFlight) < maxTransactionsInFlight && s.now.Mono >= s.persister.blockedUntil {
		t := s.newTransaction()
		// Batches come first. They are spaced in time, and one change records dozens of
		// attempts where a job's end takes two: many small jobs that end would hold back
		// all starts.
		s.addAssignmentBatches(t)
		s.addEndedJobs(t)
		s.addJobProgress(t)
		s.addDeletions(t)
		if t.opCount() == 0 {
			return
		}
		s.commit(t)
	}
}

func (s *Scheduler) refillWriteBudget() {
	rate := s.settings.WriteRate * tuning.StoreWriteRateShare
	s.persister.writeBudget.refill(s.now.Mono, rate, max(rate, float64(s.settings.MaxTransactionOps)))
}

func (s *Scheduler) commit(t *transaction) {
	s.persister.writeBudget.spend(float64(t.opCount()))
	s.nextEffectID++
	s.persister.inFlight[s.nextEffectID] = &t.contents
	s.effects.Commits = append(s.effects.Commits, Commit{ID: s.nextEffectID, Txn: t.request})
}

// addDeletions deletes batches that nothing needs any more, and the bitmap chunks of ended
// jobs.
func (s *Scheduler) addDeletions(t *transaction) {
	for len(s.persister.obsoleteKeys) > 0 && t.canAdd(1) {
		key := s.persister.obsoleteKeys[0]
		s.persister.obsoleteKeys = s.persister.obsoleteKeys[1:]
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

// CommitDone takes the outcome of a transaction.
func (s *Scheduler) CommitDone(now Now, id uint64, result CommitResult, revision uint64, failedKeys []string) {
	s.now = now
	contents := s.persister.inFlight[id]
	if contents == nil {
		return
	}
	delete(s.persister.inFlight, id)
	outcome := commitOutcome{result: result, revision: revision, conflicting: map[string]bool{}}
	if result == CommitConflict {
		for _, key := range failedKeys {
			outcome.conflicting[key] = true
		}
	}
	if outcome.conflicting[records.LeaderKey] {
		s.effects.Resign = ResignLeaderKeyLost
		return
	}
	if result == CommitRefused || result == CommitUnknown {
		s.persister.blockedUntil = now.Mono + tuning.StoreRetryDelay
	}
	if result != CommitDone {
		s.persister.deleteLater(contents.deletedKeys...)
	}
	for _, write := range contents.jobWrites {
		s.jobWritten(write, outcome)
	}
	for _, b := range contents.batches {
		s.batchWritten(b, outcome)
	}
	s.flush()
}
