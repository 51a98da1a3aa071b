package scheduler

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// persisterFixture is a persister with one batch in flight, for an attempt that had a record
// before.
type persisterFixture struct {
	persister      persister
	dispatcher     dispatcher
	attempt        *attempt
	earlier, batch *assignmentBatch
}

func newPersisterFixture(durable bool) *persisterFixture {
	context := &termContext{term: 7, now: Now{Mono: time.Hour}, settings: Settings{WriteRate: 10, MaxTransactionOps: 5}}
	f := &persisterFixture{persister: newPersister(context), dispatcher: newDispatcher(context, nil)}
	m := &machine{name: "n-1", tasks: map[taskRef]*attempt{}, batches: map[*assignmentBatch]bool{}}
	f.earlier, f.batch = f.persister.newBatch("earlier"), f.persister.newBatch("batch")
	f.attempt = &attempt{ref: taskRef{"run-000001", 0}, machine: m, assignment: assignmentState{durable: durable, batches: []*assignmentBatch{f.earlier}}}
	m.tasks[f.attempt.ref] = f.attempt
	for _, b := range []*assignmentBatch{f.earlier, f.batch} {
		b.neededBy[f.attempt] = true
		b.addMachine(m)
	}
	f.batch.writeInFlight = true
	return f
}

func TestBatchOutcomeDecidesWhatIsDurable(t *testing.T) {
	for _, c := range []struct {
		name    string
		durable bool // before
		outcome commitOutcome

		startsNow, queued         bool
		earlierKept, tracked      bool // the batch before, and this one
		namedInEarlier, namedHere bool // the attempt, by what it needs
	}{
		{"stored", false, newCommitOutcome(CommitDone, 3, nil), true, false, false, true, false, true},
		{"stored again", true, newCommitOutcome(CommitDone, 3, nil), false, false, false, true, false, true},
		{"refused", false, newCommitOutcome(CommitRefused, 0, nil), false, true, true, false, true, false},
		{"refused, and recorded before", true, newCommitOutcome(CommitRefused, 0, nil), false, false, true, false, true, false},
		{"another key conflicts", false, newCommitOutcome(CommitConflict, 0, []string{"other"}), false, true, true, false, true, false},
		{"its key conflicts", false, newCommitOutcome(CommitConflict, 0, []string{"batch"}), false, true, true, true, true, true},
		{"unknown", false, newCommitOutcome(CommitUnknown, 0, nil), false, true, true, true, true, true},
		{"unknown, and recorded before", true, newCommitOutcome(CommitUnknown, 0, nil), false, false, true, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPersisterFixture(c.durable)
			f.persister.batchWritten(f.batch, c.outcome, &f.dispatcher)
			if got := f.dispatcher.isDue(f.attempt.machine); got != c.startsNow {
				t.Errorf("start due: %v", got)
			}
			if got := f.attempt.assignment.durable; got != (c.durable || c.startsNow) {
				t.Errorf("durable: %v", got)
			}
			if got := f.attempt.assignment.queued; got != c.queued || len(f.persister.unrecorded) > 0 != c.queued {
				t.Errorf("queued: %v, %d in the queue", got, len(f.persister.unrecorded))
			}
			if got := f.persister.batches["earlier"] != nil; got != c.earlierKept {
				t.Errorf("earlier batch kept: %v, to be deleted: %v", got, f.persister.obsoleteKeys)
			}
			if got := f.persister.batches["batch"] != nil; got != c.tracked || f.attempt.machine.batches[f.batch] != c.tracked {
				t.Errorf("batch tracked: %v, by its machine: %v", got, f.attempt.machine.batches[f.batch])
			}
			if f.earlier.neededBy[f.attempt] != c.namedInEarlier || f.batch.neededBy[f.attempt] != c.namedHere {
				t.Errorf("needs the earlier batch: %v, this one: %v", f.earlier.neededBy[f.attempt], f.batch.neededBy[f.attempt])
			}
		})
	}
}

func TestBatchOfAttemptThatIsGoneIsDeleted(t *testing.T) {
	f := newPersisterFixture(true)
	delete(f.attempt.machine.tasks, f.attempt.ref)
	f.persister.removeFromBatches(f.attempt)
	if f.persister.batches["earlier"] != nil || f.persister.batches["batch"] == nil {
		t.Errorf("before the write's outcome: %v", f.persister.batches)
	}
	f.persister.batchWritten(f.batch, newCommitOutcome(CommitDone, 3, nil), &f.dispatcher)
	if len(f.persister.batches) != 0 || len(f.persister.obsoleteKeys) != 2 {
		t.Errorf("after it: %v, to be deleted: %v", f.persister.batches, f.persister.obsoleteKeys)
	}
}

func TestOutcomePutsOffWritesAndRepeatsDeletions(t *testing.T) {
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
			f.persister.noteOutcome(&transactionContents{deletedKeys: []string{"key"}}, newCommitOutcome(c.result, 0, nil))
			want := time.Duration(0)
			if c.blocked {
				want = time.Hour + tuning.StoreRetryDelay
			}
			if f.persister.blockedUntil != want {
				t.Errorf("blocked until %v, want %v", f.persister.blockedUntil, want)
			}
			if got := len(f.persister.obsoleteKeys) > 0; got != c.repeated {
				t.Errorf("deleted again: %v", got)
			}
		})
	}
}

func TestTransactionDependsOnLeadershipAndEndsOnce(t *testing.T) {
	f := newPersisterFixture(false)
	f.persister.deleteLater("key")
	f.persister.flush()
	if len(f.persister.effects.Commits) != 1 {
		t.Fatalf("commits: %+v", f.persister.effects.Commits)
	}
	commit := f.persister.effects.Commits[0]
	if len(commit.Txn.If) != 1 || commit.Txn.If[0].Key != records.LeaderKey || commit.Txn.If[0].ModRevision != 7 {
		t.Errorf("conditions: %+v", commit.Txn.If)
	}
	if contents := f.persister.endCommit(commit.ID); contents == nil || len(contents.deletedKeys) != 1 {
		t.Errorf("ended: %+v", contents)
	}
	if f.persister.endCommit(commit.ID) != nil {
		t.Error("a transaction ends twice")
	}
}
