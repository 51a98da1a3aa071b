package scheduler

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// persisterFixture is a persister with an attempt in two batches: an earlier one that is
// stored, and one whose write is in flight.
type persisterFixture struct {
	persister           persister
	dispatcher          dispatcher
	attempt             *attempt
	earlierBatch, batch *assignmentBatch
}

func newPersisterFixture(durable bool) *persisterFixture {
	context := &termContext{term: 7, now: Now{Mono: time.Hour}, settings: Settings{WriteRate: 10, MaxTransactionOps: 5}}
	f := &persisterFixture{persister: newPersister(context), dispatcher: newDispatcher(context, nil)}
	m := &machine{name: "n-1", tasks: map[taskRef]*attempt{}, batches: map[*assignmentBatch]bool{}}
	f.earlierBatch, f.batch = f.persister.trackBatch("earlier"), f.persister.trackBatch("batch")
	f.attempt = &attempt{ref: taskRef{"run-000001", 0}, machine: m, assignment: assignmentState{durable: durable, batches: []*assignmentBatch{f.earlierBatch}}}
	m.tasks[f.attempt.ref] = f.attempt
	for _, b := range []*assignmentBatch{f.earlierBatch, f.batch} {
		b.neededBy[f.attempt] = true
		b.addMachine(m)
	}
	f.batch.writeInFlight = true
	return f
}

func TestBatchWriteOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		durable bool // the attempt's state before the outcome
		outcome commitOutcome

		startDue, queued                   bool
		earlierKept, batchTracked          bool // whether the persister still tracks the batches
		neededByInEarlier, neededByInBatch bool // whether the attempt still needs the batches
	}{
		{"stored", false, newCommitOutcome(CommitDone, 3, nil), true, false, false, true, false, true},
		{"stored, already durable", true, newCommitOutcome(CommitDone, 3, nil), false, false, false, true, false, true},
		{"refused", false, newCommitOutcome(CommitRefused, 0, nil), false, true, true, false, true, false},
		{"refused, already durable", true, newCommitOutcome(CommitRefused, 0, nil), false, false, true, false, true, false},
		{"another key conflicts", false, newCommitOutcome(CommitConflict, 0, []string{"other"}), false, true, true, false, true, false},
		{"batch key conflicts", false, newCommitOutcome(CommitConflict, 0, []string{"batch"}), false, true, true, true, true, true},
		{"unknown", false, newCommitOutcome(CommitUnknown, 0, nil), false, true, true, true, true, true},
		{"unknown, already durable", true, newCommitOutcome(CommitUnknown, 0, nil), false, false, true, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPersisterFixture(c.durable)
			f.persister.handleBatchWriteOutcome(f.batch, c.outcome, &f.dispatcher)
			if got := f.dispatcher.isDue(f.attempt.machine); got != c.startDue {
				t.Errorf("start due: %v", got)
			}
			if got := f.attempt.assignment.durable; got != (c.durable || c.startDue) {
				t.Errorf("durable: %v", got)
			}
			if got := f.attempt.assignment.queued; got != c.queued || len(f.persister.unrecorded) > 0 != c.queued {
				t.Errorf("queued: %v, %d in the queue", got, len(f.persister.unrecorded))
			}
			if got := f.persister.batches["earlier"] != nil; got != c.earlierKept {
				t.Errorf("earlier batch kept: %v, queued deletions: %v", got, f.persister.obsoleteKeys)
			}
			if got := f.persister.batches["batch"] != nil; got != c.batchTracked || f.attempt.machine.batches[f.batch] != c.batchTracked {
				t.Errorf("batch tracked: %v, by its machine: %v", got, f.attempt.machine.batches[f.batch])
			}
			if f.earlierBatch.neededBy[f.attempt] != c.neededByInEarlier || f.batch.neededBy[f.attempt] != c.neededByInBatch {
				t.Errorf("attempt needs the earlier batch: %v, the new batch: %v", f.earlierBatch.neededBy[f.attempt], f.batch.neededBy[f.attempt])
			}
		})
	}
}

func TestBatchOfAttemptThatIsGoneIsDeleted(t *testing.T) {
	f := newPersisterFixture(true)
	delete(f.attempt.machine.tasks, f.attempt.ref)
	f.persister.removeFromBatches(f.attempt)
	if f.persister.batches["earlier"] != nil || f.persister.batches["batch"] == nil {
		t.Errorf("batches before the outcome: %v", f.persister.batches)
	}
	f.persister.handleBatchWriteOutcome(f.batch, newCommitOutcome(CommitDone, 3, nil), &f.dispatcher)
	if len(f.persister.batches) != 0 || len(f.persister.obsoleteKeys) != 2 {
		t.Errorf("batches after the outcome: %v, queued deletions: %v", f.persister.batches, f.persister.obsoleteKeys)
	}
}

func TestCommitOutcomeDelaysWritesAndRequeuesDeletions(t *testing.T) {
	for _, c := range []struct {
		name              string
		result            CommitResult
		blocked, repeated bool
	}{
		{"done", CommitDone, false, false},
		{"conflict", CommitConflict, false, true},
		{"refused", CommitRefused, true, true},
		{"unknown", CommitUnknown, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPersisterFixture(false)
			f.persister.handleCommitOutcome(&transactionContents{deletedKeys: []string{"key"}}, newCommitOutcome(c.result, 0, nil))
			want := time.Duration(0)
			if c.blocked {
				want = time.Hour + tuning.StoreRetryDelay
			}
			if f.persister.blockedUntil != want {
				t.Errorf("blocked until %v, want %v", f.persister.blockedUntil, want)
			}
			if got := len(f.persister.obsoleteKeys) > 0; got != c.repeated {
				t.Errorf("deletion queued again: %v", got)
			}
		})
	}
}

func TestTransactionDependsOnLeadershipAndEndsOnce(t *testing.T) {
	f := newPersisterFixture(false)
	f.persister.queueDeletion("key")
	f.persister.flush()
	if len(f.persister.effects.Commits) != 1 {
		t.Fatalf("commits: %+v", f.persister.effects.Commits)
	}
	commit := f.persister.effects.Commits[0]
	if len(commit.Txn.If) != 1 || commit.Txn.If[0].Key != records.LeaderKey || commit.Txn.If[0].ModRevision != 7 {
		t.Errorf("conditions: %+v", commit.Txn.If)
	}
	if contents := f.persister.removeInFlight(commit.ID); contents == nil || len(contents.deletedKeys) != 1 {
		t.Errorf("contents of the transaction in flight: %+v", contents)
	}
	if f.persister.removeInFlight(commit.ID) != nil {
		t.Error("the transaction is still in flight")
	}
}
