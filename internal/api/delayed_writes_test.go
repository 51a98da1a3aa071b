package api_test

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// waitUntilEnded waits until the job is in the given final state and its live record is deleted.
func waitUntilEnded(c *cluster, user *historyChecker, state string) {
	c.tb.Helper()
	c.eventually(state, func() bool {
		return user.send(0, queryRequest) == state && !c.simulation.HasKey(records.JobKey(user.jobID))
	})
}

// Transactions that got no reply are committed after newer ones that make them obsolete, and must be
// rejected. The cases are the writes for users and by the leader in the table "Writes that are
// carried out late" of docs/combined-faults.md.
func TestDelayedWritesAreRejected(t *testing.T) {
	const long, short = time.Hour, 0
	for n, tc := range []struct {
		name    string
		runTime time.Duration
		tasks   int
		run     func(*testing.T, *cluster, *historyChecker)
	}{
		{"submission after its retry", long, 1, delaySubmissionPastItsRetry},
		{"submission after a cancellation", long, 1, delaySubmissionPastCancellation},
		{"submission after the end of a cancelled job", long, 1, delaySubmissionPastCancelledEnd},
		{"submission after the end of a done job", short, 1, delaySubmissionPastDoneEnd},
		{"a peer's copy of a submission after the end", long, 1, delayHedgedSubmissionPastEnd},
		{"cancellation after its retry", long, 1, delayCancellationPastItsRetry},
		{"cancellation after the end", 700 * time.Millisecond, 1, delayCancellationPastEnd},
		{"end of a done job after a cancellation", short, 1, delayCompletionPastCancellation},
		{"done bits after a cancellation", 1500 * time.Millisecond, 12, delayProgressPastCancellation},
		{"a batch after its leader's term", short, 1, delayAssignmentsPastTerm},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startAcceptingCluster(t)
			job := newJob(2000+n, tc.tasks)
			c.simulation.UploadJob(job, tc.runTime)
			user := newHistoryChecker(c, job)
			tc.run(t, c, user)
			user.sendToAll(4)
			c.simulation.InjectTransactionFaults(nil)
			c.simulation.CommitHeldTransactions()
			user.sendToAll(2)
			// A restarted controller has no cached state and reads the records.
			c.restartController(2)
			user.sendUntilAnswered(2, queryRequest)
			user.sendToAll(2)
			user.reportViolations(t)
			c.expectNoViolations()
		})
	}
}

// holdSubmission holds the first transaction of the job's submission.
func holdSubmission(c *cluster, user *historyChecker) {
	c.holdTransactions(1, func(txn wire.Txn) bool { return isSubmission(txn, user.jobID) })
}

// holdLeaderWrites holds all transactions of the leader that set a key with the prefix.
func holdLeaderWrites(c *cluster, prefix string) {
	c.holdTransactions(allMatching, func(txn wire.Txn) bool { return isLeaderTxn(txn) && writesPrefix(txn, prefix) })
}

func delaySubmissionPastItsRetry(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	holdSubmission(c, user)
	user.sendUntilAnswered(0, submitRequest)
	c.expectAllRejected(t)
}

func delaySubmissionPastCancellation(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	heldSubmission := false
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		if isSubmission(txn, user.jobID) && !heldSubmission {
			heldSubmission = true
			return simulator.TransactionFault{Held: true}
		}
		return simulator.TransactionFault{Held: isLeaderTxn(txn) && writesPrefix(txn, records.EndedJobKey(user.jobID))}
	})
	user.sendUntilAnswered(0, submitRequest)
	user.sendUntilAnswered(1, cancelRequest)
	c.simulation.InjectTransactionFaults(nil)
	c.expectFirstRejected(t)
}

func delaySubmissionPastCancelledEnd(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	holdSubmission(c, user)
	user.sendUntilAnswered(0, submitRequest)
	user.sendUntilAnswered(1, cancelRequest)
	waitUntilEnded(c, user, wire.JobCancelled)
	c.expectAllRejected(t)
}

func delaySubmissionPastDoneEnd(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	holdSubmission(c, user)
	user.sendUntilAnswered(0, submitRequest)
	waitUntilEnded(c, user, wire.JobDone)
	c.expectAllRejected(t)
}

// delayHedgedSubmissionPastEnd delays the first transaction of a submission until the controller
// forwards the submission to a peer as well. The peer's transaction is held, so that the first one
// is committed before it. A controller that has just started may not know a peer that can serve
// the submission; then another job is submitted in the same way.
func delayHedgedSubmissionPastEnd(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	hedged := user
	for k := 1; c.simulation.HeldTransactionCount() == 0; k++ {
		job := newJob(2500+k, 1)
		c.simulation.UploadJob(job, time.Hour)
		hedged = newHistoryChecker(c, job)
		injectHedgedSubmission(c, job.ID)
		hedged.sendUntilAnswered(0, submitRequest)
		hedged.sendUntilAnswered(1, cancelRequest)
	}
	waitUntilEnded(c, hedged, wire.JobCancelled)
	c.expectAllRejected(t)
	hedged.sendToAll(4)
	hedged.reportViolations(t)
	user.sendUntilAnswered(0, submitRequest)
}

// injectHedgedSubmission delays the first transaction of a job's submission and holds the second,
// which a peer sends.
func injectHedgedSubmission(c *cluster, id string) {
	submissions := 0
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		if !isSubmission(txn, id) {
			return simulator.TransactionFault{}
		}
		submissions++
		if submissions == 1 {
			return simulator.TransactionFault{Delay: 3 * tuning.HedgeDelay}
		}
		return simulator.TransactionFault{Held: submissions == 2}
	})
}

func delayCancellationPastItsRetry(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	user.sendUntilAnswered(0, submitRequest)
	c.holdTransactions(1, func(txn wire.Txn) bool { return isCancellation(txn, user.jobID) })
	user.sendUntilAnswered(1, cancelRequest)
	c.expectAllRejected(t)
}

func delayCancellationPastEnd(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	user.sendUntilAnswered(0, submitRequest)
	c.holdTransactions(allMatching, func(txn wire.Txn) bool { return isCancellation(txn, user.jobID) })
	user.sendAbandoned(1, cancelRequest, 1)
	waitUntilEnded(c, user, wire.JobDone)
	c.expectAllRejected(t)
}

func delayCompletionPastCancellation(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	holdLeaderWrites(c, records.EndedJobKey(user.jobID))
	user.sendUntilAnswered(0, submitRequest)
	c.waitUntilHeld("the job's end")
	user.sendUntilAnswered(1, cancelRequest)
	c.expectFirstRejected(t)
}

func delayProgressPastCancellation(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	holdLeaderWrites(c, records.JobKey(user.jobID))
	user.sendUntilAnswered(0, submitRequest)
	c.waitUntilHeld("completed tasks")
	user.sendUntilAnswered(1, cancelRequest)
	c.expectFirstRejected(t)
}

func delayAssignmentsPastTerm(t *testing.T, c *cluster, user *historyChecker) {
	t.Helper()
	leader := c.leader()
	c.holdTransactions(allMatching, func(txn wire.Txn) bool { return writesPrefix(txn, records.BatchPrefix) })
	user.sendUntilAnswered(0, submitRequest)
	c.waitUntilHeld("a batch")
	c.stopController(leader)
	c.simulation.InjectTransactionFaults(nil)
	survivor := (leader + 1) % len(c.controllers)
	c.eventually("the job's end", func() bool { return user.send(survivor, queryRequest) == wire.JobDone })
	c.expectAllRejected(t)
	c.restartController(leader)
}
