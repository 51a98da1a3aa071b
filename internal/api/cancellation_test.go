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

// heldWrite is a write that reaches the key-value store when the test says so.
type heldWrite struct {
	sent   chan struct{} // closed when the first such transaction is sent
	once   sync.Once
	commit chan struct{} // to be closed
}

func newHeldWrite() *heldWrite {
	return &heldWrite{sent: make(chan struct{}), commit: make(chan struct{})}
}

// fault delays a transaction until commit is closed.
func (h *heldWrite) fault() simulator.TransactionFault {
	h.once.Do(func() { close(h.sent) })
	return simulator.TransactionFault{DelayUntil: h.commit}
}

// completionRace is a job whose completion and cancellation are written concurrently.
type completionRace struct {
	user         *historyChecker
	completion   *heldWrite
	cancellation *heldWrite
}

func (r *completionRace) fault(txn wire.Txn) (fault simulator.TransactionFault, concerned bool) {
	switch {
	case isLeaderTxn(txn) && writesPrefix(txn, records.EndedJobKey(r.user.jobID)):
		return r.completion.fault(), true
	case isCancellation(txn, r.user.jobID):
		return r.cancellation.fault(), true
	}
	return fault, false
}

// A cancellation comes as a job's last task completes, with no other fault: both writes are
// in flight, and either is committed first. Whichever it is stays, and who cancels a done job
// is told so; queries and repeated submissions come in between.
func TestCancellationConcurrentWithCompletion(t *testing.T) {
	c := startAcceptingCluster(t)
	const jobs = 8
	var races [jobs]*completionRace
	for k := range races {
		job := newJob(3000+k, 1)
		c.simulation.UploadJob(job, time.Duration(10*k)*time.Millisecond)
		races[k] = &completionRace{user: newHistoryChecker(c, job), completion: newHeldWrite(), cancellation: newHeldWrite()}
	}
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		for _, race := range races {
			if fault, concerned := race.fault(txn); concerned {
				return fault
			}
		}
		return simulator.TransactionFault{}
	})
	// One after the other, since jobs that end together share a transaction.
	for k, race := range races {
		first := []firstCommit{completion, cancellation}[k%2]
		t.Run(fmt.Sprintf("%s first, job %d", first, k), func(t *testing.T) {
			playCompletionRace(t, c, race, first, rand.New(rand.NewPCG(13, uint64(k))))
		})
	}
	c.expectNoViolations()
}

// firstCommit is which of two concurrent writes is committed first.
type firstCommit string

const (
	completion   firstCommit = "completion"
	cancellation firstCommit = "cancellation"
)

func playCompletionRace(t *testing.T, c *cluster, race *completionRace, first firstCommit, random *rand.Rand) {
	t.Helper()
	user := race.user
	c.eventually("acceptance", func() bool { return user.send(random.IntN(3), submitRequest) != "" })
	<-race.completion.sent
	cancelled, by := make(chan struct{}), random.IntN(3)
	go func() {
		defer close(cancelled)
		user.sendUntilAnswered(by, cancelRequest)
	}()
	<-race.cancellation.sent
	commitCompletion := func() {
		close(race.completion.commit)
		c.eventually("the job's end", func() bool { return c.simulation.HasKey(records.EndedJobKey(user.jobID)) })
	}
	commitCancellation := func() {
		close(race.cancellation.commit)
		<-cancelled
	}
	want := wire.JobDone
	if first == completion {
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
	if got := user.final(); got != want {
		t.Errorf("%s is %q, not %q, which came first", user.jobID, got, want)
	}
	for i := range c.userAddrs {
		if got := user.send(i, cancelRequest); got != want {
			t.Errorf("%s cancelled again at controller %d: %q", user.jobID, i, got)
		}
	}
}
