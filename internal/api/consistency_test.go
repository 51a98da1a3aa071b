package api_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// startAcceptingCluster starts three controllers and waits until they accept jobs.
func startAcceptingCluster(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, 3)
	job := newJob(999000, 1)
	c.simulation.UploadJob(job, 0)
	for i := range c.userAddrs {
		c.submitUntilAccepted(i, job)
	}
	c.waitUntilDone(0, job.ID)
	return c
}

// lockedRandom is a source of random numbers that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRandom) delayBelow(bound time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.IntN(int(bound/time.Millisecond))) * time.Millisecond
}

func (r *lockedRandom) oneIn(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n) == 0
}

const (
	maxTransactionDelay = 25 * time.Millisecond
	maxWatchReplyDelay  = 40 * time.Millisecond
)

// Users query all controllers and repeat the submission immediately after a job was accepted, ended
// or was confirmed as cancelled. Meanwhile transactions reach the key-value store up to 25 ms late,
// and replies to watch requests are sent up to 40 ms after the store was read. No answer may
// contradict one that was received before the request.
func TestAnswersNeverGoBackAcrossControllers(t *testing.T) {
	c := startAcceptingCluster(t)
	random := rand.New(rand.NewPCG(11, 1))
	faultRandom := &lockedRandom{random: random}
	c.simulation.InjectTransactionFaults(func(wire.Txn) simulator.TransactionFault {
		return simulator.TransactionFault{Delay: faultRandom.delayBelow(maxTransactionDelay)}
	})
	c.simulation.DelayWatchReplies(func() time.Duration { return faultRandom.delayBelow(maxWatchReplyDelay) })
	runJobLifecycles(t, c, 24, 11)
	c.expectNoViolations()
}

// Like TestAnswersNeverGoBackAcrossControllers, but about a third of all transactions are committed
// while their replies are lost: submissions, cancellations and the leader's writes. Replies to watch
// requests are not delayed.
func TestAnswersNeverGoBackWhenStoreResponsesAreLost(t *testing.T) {
	c := startAcceptingCluster(t)
	faultRandom := &lockedRandom{random: rand.New(rand.NewPCG(12, 1))}
	var mu sync.Mutex
	var lostLeaderReplies, lostUserReplies int
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		fault := simulator.TransactionFault{ReplyLost: faultRandom.oneIn(3), Delay: faultRandom.delayBelow(maxTransactionDelay)}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case fault.ReplyLost && isLeaderTxn(txn):
			lostLeaderReplies++
		case fault.ReplyLost:
			lostUserReplies++
		}
		return fault
	})
	runJobLifecycles(t, c, 16, 12)
	c.simulation.InjectTransactionFaults(nil)
	if lostLeaderReplies == 0 || lostUserReplies == 0 {
		t.Errorf("lost replies: %d to the leader's writes, %d to writes for users, want some of each", lostLeaderReplies, lostUserReplies)
	}
	c.expectNoViolations()
}

// runJobLifecycles concurrently submits, queries, cancels and resubmits jobs of one task until all
// jobs have ended. Two of three tasks are short, so that some cancellations arrive near their end.
// Then it restarts a controller, which must give the same answers.
func runJobLifecycles(t *testing.T, c *cluster, jobs int, seed uint64) {
	t.Helper()
	var running sync.WaitGroup
	var users []*historyChecker
	for k := range jobs {
		random := rand.New(rand.NewPCG(seed, uint64(k)))
		job := newJob(1000+k, 1)
		runTime := time.Duration(random.IntN(150)) * time.Millisecond
		if k%3 == 1 {
			runTime = time.Hour
		}
		c.simulation.UploadJob(job, runTime)
		user := newHistoryChecker(c, job)
		users = append(users, user)
		running.Go(func() { runJobLifecycle(t, user, k, random) })
	}
	running.Wait()
	finalStateCounts := map[string]int{}
	for _, user := range users {
		user.reportViolations(t)
		finalStateCounts[user.finalState]++
	}
	if finalStateCounts[wire.JobDone] == 0 || finalStateCounts[wire.JobCancelled] == 0 {
		t.Errorf("final states: %v, want done and cancelled jobs", finalStateCounts)
	}
	// A restarted controller has no cached state and answers from the key-value store.
	c.restartController(2)
	for _, user := range users {
		user.sendUntilAnswered(2, queryRequest)
		user.reportViolations(t)
	}
}

// runJobLifecycle sends the requests of job k's user. Two of three jobs are cancelled.
func runJobLifecycle(t *testing.T, user *historyChecker, k int, random *rand.Rand) {
	t.Helper()
	controllers := len(user.cluster.userAddrs)
	start := random.IntN(controllers)
	for i := range k % 4 { // before the submission
		user.send(i%controllers, queryRequest)
	}
	sendInTurnUntilAnswered(user, start, submitRequest)
	user.sendToAll(3)
	if k%3 != 0 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		var cancellations sync.WaitGroup
		for n := range 2 { // concurrently, at two controllers
			cancellations.Go(func() { sendInTurnUntilAnswered(user, start+n, cancelRequest) })
		}
		cancellations.Wait()
	}
	for end := time.Now().Add(eventuallyTimeout); user.knownFinalState() == ""; user.sendToAll(2) {
		if time.Now().After(end) {
			t.Errorf("%s has not ended", user.jobID)
			return
		}
	}
	user.sendToAll(4)
}

// sendInTurnUntilAnswered sends a request to one controller after the other, from controller start
// on, until one answers with the job's state.
func sendInTurnUntilAnswered(user *historyChecker, start int, kind requestKind) {
	controllers := len(user.cluster.userAddrs)
	for i := start; user.send(i%controllers, kind) == ""; i++ {
		time.Sleep(pollInterval)
	}
}

// A query arrives while the read for an earlier query is in flight. That read was made before the
// job was accepted, so the query must be answered from a later read.
func TestQueriesDoNotShareAnEarlierRead(t *testing.T) {
	c := startAcceptingCluster(t)
	const replyDelay = 150 * time.Millisecond
	readStarted := make(chan struct{}, 1000)
	for k := range 4 {
		job := newJob(4000+k, 1)
		user := newHistoryChecker(c, job)
		c.simulation.UploadJob(job, time.Hour)
		c.simulation.DelayWatchReplies(func() time.Duration {
			readStarted <- struct{}{}
			return replyDelay
		})
		for len(readStarted) > 0 {
			<-readStarted
		}
		var queries sync.WaitGroup
		for i := range c.userAddrs {
			queries.Go(func() { c.request(i, http.MethodGet, jobPath(jobID(5000+k)), nil) })
		}
		for range c.userAddrs {
			<-readStarted
		}
		user.send(0, submitRequest)
		for i := range c.userAddrs {
			queries.Go(func() { user.send(i, queryRequest) })
		}
		queries.Wait()
		c.simulation.DelayWatchReplies(nil)
		if user.reportViolations(t); !user.accepted {
			t.Errorf("%s was not accepted at the first attempt", user.jobID)
		}
	}
}
