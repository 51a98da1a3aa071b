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

// randomDelays draws delays below a bound, for concurrent callers.
type randomDelays struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *randomDelays) below(bound time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.IntN(int(bound/time.Millisecond))) * time.Millisecond
}

func (r *randomDelays) oneIn(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n) == 0
}

const (
	maxTransactionDelay = 25 * time.Millisecond
	maxWatchReplyDelay  = 40 * time.Millisecond
)

// Users query all controllers, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled, while writes come up to 25 ms late, and answers to
// reads up to 40 ms after they were read.
func TestAnswersNeverGoBackAcrossControllers(t *testing.T) {
	c := startAcceptingCluster(t)
	random := rand.New(rand.NewPCG(11, 1))
	delays := &randomDelays{random: random}
	c.simulation.InjectTransactionFaults(func(wire.Txn) simulator.TransactionFault {
		return simulator.TransactionFault{Delay: delays.below(maxTransactionDelay)}
	})
	c.simulation.DelayWatchReplies(func() time.Duration { return delays.below(maxWatchReplyDelay) })
	runJobLifecycles(t, c, 24, 11)
	c.expectNoViolations()
}

// The same while a part of all transactions is committed at once and only the answer
// is lost: submissions, cancellations and the leader's writes.
func TestAnswersNeverGoBackWhenStoreResponsesAreLost(t *testing.T) {
	c := startAcceptingCluster(t)
	delays := &randomDelays{random: rand.New(rand.NewPCG(12, 1))}
	var mu sync.Mutex
	var lostByLeader, lostByUsers int
	c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
		fault := simulator.TransactionFault{ReplyLost: delays.oneIn(3), Delay: delays.below(maxTransactionDelay)}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case fault.ReplyLost && isLeaderTxn(txn):
			lostByLeader++
		case fault.ReplyLost:
			lostByUsers++
		}
		return fault
	})
	runJobLifecycles(t, c, 16, 12)
	c.simulation.InjectTransactionFaults(nil)
	if lostByLeader == 0 || lostByUsers == 0 {
		t.Errorf("answers lost: %d of the leader's, %d of users'", lostByLeader, lostByUsers)
	}
	c.expectNoViolations()
}

// runJobLifecycles has jobs of one short task submitted, queried, cancelled near their end and
// submitted again, until all of them are over for all controllers.
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
	finals := map[string]int{}
	for _, user := range users {
		user.reportViolations(t)
		finals[user.finalState]++
	}
	if finals[wire.JobDone] == 0 || finals[wire.JobCancelled] == 0 {
		t.Errorf("one-sided: %v", finals)
	}
	// A controller that remembers nothing answers the same, from the key-value store.
	c.restartController(2)
	for _, user := range users {
		user.sendUntilAnswered(2, queryRequest)
		user.reportViolations(t)
	}
}

// runJobLifecycle plays the user of job k; two of three jobs are cancelled.
func runJobLifecycle(t *testing.T, user *historyChecker, k int, random *rand.Rand) {
	t.Helper()
	controllers := len(user.cluster.userAddrs)
	start := random.IntN(controllers)
	for i := range k % 4 { // before it was submitted
		user.send(i%controllers, queryRequest)
	}
	sendToOneAfterAnother(user, start, submitRequest)
	user.sendToAll(3)
	if k%3 != 0 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		var both sync.WaitGroup
		for n := range 2 { // concurrently, at two controllers
			both.Go(func() { sendToOneAfterAnother(user, start+n, cancelRequest) })
		}
		both.Wait()
	}
	for end := time.Now().Add(eventuallyBound); user.final() == ""; user.sendToAll(2) {
		if time.Now().After(end) {
			t.Errorf("%s: never over", user.jobID)
			return
		}
	}
	user.sendToAll(4)
}

// sendToOneAfterAnother makes a request of each controller in turn until one answers.
func sendToOneAfterAnother(user *historyChecker, start int, kind userRequest) {
	controllers := len(user.cluster.userAddrs)
	for i := start; user.send(i%controllers, kind) == ""; i++ {
		time.Sleep(pollInterval)
	}
}

// A query comes while the read for an earlier one is in flight, which was made before the
// job was accepted: it is answered from a later read.
func TestQueriesDoNotShareAnEarlierRead(t *testing.T) {
	c := startAcceptingCluster(t)
	const readTime = 150 * time.Millisecond
	readStarted := make(chan struct{}, 1000)
	for k := range 4 {
		job := newJob(4000+k, 1)
		user := newHistoryChecker(c, job)
		c.simulation.UploadJob(job, time.Hour)
		c.simulation.DelayWatchReplies(func() time.Duration {
			readStarted <- struct{}{}
			return readTime
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
			t.Errorf("%s was not accepted at once", user.jobID)
		}
	}
}
