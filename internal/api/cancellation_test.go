package api_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// delayedWrite is a write that reaches the key-value store only after the test closes commit.
type delayedWrite struct {
	sent   chan struct{} // closed when the first transaction with this write is sent
	once   sync.Once
	commit chan struct{} // closed by the test
}

func newDelayedWrite() *delayedWrite {
	return &delayedWrite{sent: make(chan struct{}), commit: make(chan struct{})}
}

// fault records that a transaction with this write was sent, and returns the fault that delays the
// transaction until commit is closed.
func (w *delayedWrite) fault() simulator.TransactionFault {
	w.once.Do(func() { close(w.sent) })
	return simulator.TransactionFault{DelayUntil: w.commit}
}

// completionRace is a job whose completion and cancellation are in flight to the key-value store at
// the same time.
type completionRace struct {
	user         *historyChecker
	completion   *delayedWrite
	cancellation *delayedWrite
}

// fault returns the fault for a transaction. matched is false if the transaction writes neither the
// completion nor the cancellation of this job.
func (r *completionRace) fault(txn wire.Txn) (fault simulator.TransactionFault, matched bool) {
	switch {
	case isLeaderTxn(txn) && writesPrefix(txn, records.EndedJobKey(r.user.jobID)):
		return r.completion.fault(), true
	case isCancellation(txn, r.user.jobID):
		return r.cancellation.fault(), true
	}
	return fault, false
}

// A cancellation arrives while a job's last task completes, without any other fault: both writes
// are in flight, and in some jobs the completion is committed first, in the others the
// cancellation. The first committed write must determine the job's final state, and cancelling a
// done job must be answered with that state. Queries and repeated submissions are sent between the
// two commits.
func TestCancellationConcurrentWithCompletion(t *testing.T) {
	c := startAcceptingCluster(t)
	const jobs = 8
	var races [jobs]*completionRace
	for k := range races {
		job := newJob(3000+k, 1)
		c.simulation.UploadJob(job, time.Duration(10*k)*time.Millisecond)
		races[k] = &completionRace{user: newHistoryChecker(c, job), completion: newDelayedWrite(), cancellation: newDelayedWrite()}
	}
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		for _, race := range races {
			if fault, matched := race.fault(txn); matched {
				return fault
			}
		}
		return simulator.TransactionFault{}
	})
	// The races run one after the other, since jobs that end at the same time share a transaction.
	for k, race := range races {
		first := []firstCommit{completionFirst, cancellationFirst}[k%2]
		t.Run(fmt.Sprintf("%s first, job %d", first, k), func(t *testing.T) {
			runCompletionRace(t, c, race, first, rand.New(rand.NewPCG(13, uint64(k))))
		})
	}
	c.expectNoViolations()
}

// firstCommit says which of two concurrent writes is committed first.
type firstCommit string

const (
	completionFirst   firstCommit = "completion"
	cancellationFirst firstCommit = "cancellation"
)

func runCompletionRace(t *testing.T, c *cluster, race *completionRace, first firstCommit, random *rand.Rand) {
	t.Helper()
	user := race.user
	c.eventually("acceptance", func() bool { return user.send(random.IntN(3), submitRequest) != "" })
	<-race.completion.sent
	cancellationAnswered, cancelController := make(chan struct{}), random.IntN(3)
	go func() {
		defer close(cancellationAnswered)
		user.sendUntilAnswered(cancelController, cancelRequest)
	}()
	<-race.cancellation.sent
	commitCompletion := func() {
		close(race.completion.commit)
		c.eventually("the job's end", func() bool { return c.simulation.HasKey(records.EndedJobKey(user.jobID)) })
	}
	commitCancellation := func() {
		close(race.cancellation.commit)
		<-cancellationAnswered
	}
	want := wire.JobDone
	if first == completionFirst {
		commitCompletion()
		user.sendToAll(2)
		commitCancellation()
	} else {
		want = wire.JobCancelled
		commitCancellation()
		user.sendToAll(2)
		commitCompletion()
	}
	user.sendToAll(2)
	user.reportViolations(t)
	if got := user.knownFinalState(); got != want {
		t.Errorf("%s is %q, want %q, which was committed first", user.jobID, got, want)
	}
	for i := range c.userAddrs {
		if got := user.send(i, cancelRequest); got != want {
			t.Errorf("%s cancelled again at controller %d: %q", user.jobID, i, got)
		}
	}
}
