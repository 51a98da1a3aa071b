package api_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// historyChecker is a job's user, who asks at all nodes and notes every answer that is older
// than one that was told before the question.
type historyChecker struct {
	cluster    *cluster
	jobID      string
	submission []byte

	mu         sync.Mutex
	accepted   bool
	finalState string // done or cancelled, once told
	violations []string
}

func newHistoryChecker(c *cluster, j *wire.Job) *historyChecker {
	return &historyChecker{cluster: c, jobID: j.ID, submission: encodeSubmission(c.t, j)}
}

// The requests of a user.
const (
	submitRequest = "POST /v2/runs"
	queryRequest  = "GET /v2/runs/"
	cancelRequest = "withdraw"
)

// send makes a request of node i and checks its answer. It returns the state, or "".
func (w *historyChecker) send(i int, what string) string {
	w.mu.Lock()
	accepted, final := w.accepted, w.finalState
	w.mu.Unlock()
	var status int
	var v wire.JobView
	switch what {
	case submitRequest:
		status, v, _ = w.cluster.request(i, "POST", "/v2/runs", w.submission)
	case queryRequest:
		status, v, _ = w.cluster.request(i, "GET", "/v2/runs/"+w.jobID, nil)
	case cancelRequest:
		status, v, _ = w.cluster.request(i, "POST", "/v2/runs/"+w.jobID+"/withdraw", nil)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	note := func(rule string) {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s at node %d: %d %q, accepted %v, told %q", rule, what, i, status, v.State, accepted, final))
	}
	switch status {
	case 200, 201:
	case 404, 400, 422:
		if accepted || what == submitRequest {
			note("forgotten")
		}
		return ""
	default:
		return ""
	}
	w.accepted = true
	over := v.State == wire.JobDone || v.State == wire.JobCancelled
	switch {
	case final != "" && v.State != final, over && w.finalState != "" && v.State != w.finalState:
		note("went_back")
	case what == cancelRequest && !over:
		note("cancellation not told")
	}
	if over && w.finalState == "" {
		w.finalState = v.State
	}
	return v.State
}

// sendToAll asks what is meant at all nodes at once, again and again, and submits anew.
func (w *historyChecker) sendToAll(times int) {
	var wg sync.WaitGroup
	for i := range w.cluster.userAddrs {
		wg.Go(func() {
			for n := range times {
				w.send(i, []string{queryRequest, submitRequest}[(n+i)%2])
			}
		})
	}
	wg.Wait()
}

// reportViolations tells what the user saw that was wrong.
func (w *historyChecker) reportViolations(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		t.Errorf("%s: %d wrong answers, first: %s", w.jobID, len(w.violations), w.violations[0])
	}
}

// startAcceptingCluster starts three nodes and waits until they accept jobs.
func startAcceptingCluster(t *testing.T) *cluster {
	c := startCluster(t, 3)
	j := newJob(999000, 1)
	c.simulation.UploadJob(j, 0)
	for i := range c.userAddrs {
		c.eventually("acceptance", func() bool {
			s, _, _ := c.request(i, "POST", "/v2/runs", encodeSubmission(t, j))
			return s == 201 || s == 200
		})
	}
	c.eventually("completion", func() bool { _, v, _ := c.request(0, "GET", "/v2/runs/"+j.ID, nil); return v.State == wire.JobDone })
	return c
}

// writesPrefix and deletes report whether a transaction sets or deletes a key with the prefix.
func writesPrefix(t wire.Txn, prefix string) bool {
	for _, a := range t.Then {
		if strings.HasPrefix(a.Set, prefix) {
			return true
		}
	}
	return false
}

// isLeaderTxn reports whether a transaction is the leader's own.
func isLeaderTxn(t wire.Txn) bool {
	return len(t.If) > 0 && t.If[0].Key == records.LeaderKey && t.If[0].ModRevision != 0
}

// isCancellation reports whether a transaction is a cancellation, which names the live job's
// stamp and comes from no leader.
func isCancellation(t wire.Txn, id string) bool {
	return writesPrefix(t, records.JobKey(id)) && !isLeaderTxn(t) && !isSubmission(t, id)
}

// isSubmission reports whether a transaction is a submission, with or without conditions.
func isSubmission(t wire.Txn, id string) bool {
	for _, a := range t.Then {
		var rec records.Job
		if raw, ok := a.Value.(wire.Raw); ok && a.Set == records.JobKey(id) && wire.Unmarshal(raw, &rec) == nil {
			return !isLeaderTxn(t) && !rec.Cancelled
		}
	}
	return false
}

// Users ask at all nodes, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled, while writes come up to 25 ms late, and answers to
// reads up to 40 ms after they were read.
func TestAnswersNeverGoBackAcrossControllers(t *testing.T) {
	c := startAcceptingCluster(t)
	rnd := rand.New(rand.NewPCG(11, 1))
	var mu sync.Mutex
	c.simulation.InjectTransactionFaults(func(wire.Txn) simulator.TransactionFault {
		mu.Lock()
		defer mu.Unlock()
		return simulator.TransactionFault{Delay: time.Duration(rnd.IntN(25)) * time.Millisecond}
	})
	c.simulation.DelayWatchReplies(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rnd.IntN(40)) * time.Millisecond
	})
	runJobLifecycles(t, c, 24, rnd.Uint64())
	if b := c.simulation.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// The same while a part of all transactions is carried out at once and only the answer
// is lost: submissions, cancellations and the leader's writes.
func TestAnswersNeverGoBackWhenStoreResponsesAreLost(t *testing.T) {
	c := startAcceptingCluster(t)
	rnd := rand.New(rand.NewPCG(12, 1))
	var mu sync.Mutex
	lost := map[string]int{}
	c.simulation.InjectTransactionFaults(func(x wire.Txn) simulator.TransactionFault {
		mu.Lock()
		defer mu.Unlock()
		f := simulator.TransactionFault{ReplyLost: rnd.IntN(3) == 0, Delay: time.Duration(rnd.IntN(25)) * time.Millisecond}
		if f.ReplyLost {
			lost[map[bool]string{true: "the leader", false: "a user"}[isLeaderTxn(x)]]++
		}
		return f
	})
	runJobLifecycles(t, c, 16, rnd.Uint64())
	c.simulation.InjectTransactionFaults(nil)
	if lost["the leader"] == 0 || lost["a user"] == 0 {
		t.Errorf("answers lost: %v", lost)
	}
	if b := c.simulation.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// runJobLifecycles lets jobs of one short task be submitted, asked for, cancelled near their end and
// submitted again, until all of them are over for all nodes.
func runJobLifecycles(t *testing.T, c *cluster, jobs int, seed uint64) {
	t.Helper()
	var wg sync.WaitGroup
	var all []*historyChecker
	for k := range jobs {
		rnd := rand.New(rand.NewPCG(seed, uint64(k)))
		j := newJob(1000+k, 1)
		runs := time.Duration(rnd.IntN(150)) * time.Millisecond
		if k%3 == 1 {
			runs = time.Hour
		}
		c.simulation.UploadJob(j, runs)
		w := newHistoryChecker(c, j)
		all = append(all, w)
		wg.Go(func() {
			at := rnd.IntN(3)
			for i := range k % 4 { // nobody submitted it yet
				w.send(i%3, queryRequest)
			}
			for n := 0; w.send((at+n)%3, submitRequest) == ""; n++ {
				time.Sleep(20 * time.Millisecond)
			}
			w.sendToAll(3)
			if k%3 != 0 {
				time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
				var both sync.WaitGroup
				for n := range 2 { // twice at once, at two nodes
					both.Go(func() {
						for i := at + n; w.send(i%3, cancelRequest) == ""; i++ {
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
				both.Wait()
			}
			for end := time.Now().Add(60 * time.Second); ; {
				w.sendToAll(2)
				w.mu.Lock()
				final := w.finalState
				w.mu.Unlock()
				if final != "" {
					break
				}
				if time.Now().After(end) {
					t.Errorf("%s: never over", w.jobID)
					return
				}
			}
			w.sendToAll(4)
		})
	}
	wg.Wait()
	ends := map[string]int{}
	for _, w := range all {
		w.reportViolations(t)
		ends[w.finalState]++
	}
	if ends[wire.JobDone] == 0 || ends[wire.JobCancelled] == 0 {
		t.Errorf("one-sided: %v", ends)
	}
	// What the state service has is told by a node that remembers nothing, too.
	c.restartController(2)
	for _, w := range all {
		c.eventually("an answer of a new process", func() bool { return w.send(2, queryRequest) != "" })
		w.reportViolations(t)
	}
}

// A question comes while the read for an earlier one is out, which was made before the
// job was accepted: it is answered from a later read.
func TestQueriesDoNotShareAnEarlierRead(t *testing.T) {
	c := startAcceptingCluster(t)
	sent := make(chan struct{}, 1000)
	for k := range 4 {
		w := newHistoryChecker(c, newJob(4000+k, 1))
		c.simulation.UploadJob(newJob(4000+k, 1), time.Hour)
		c.simulation.DelayWatchReplies(func() time.Duration {
			sent <- struct{}{}
			return 150 * time.Millisecond
		})
		var early sync.WaitGroup
		for len(sent) > 0 {
			<-sent
		}
		for i := range c.userAddrs {
			early.Go(func() { c.request(i, "GET", fmt.Sprintf("/v2/runs/run-%06d", 5000+k), nil) })
		}
		for range c.userAddrs {
			<-sent
		}
		w.send(0, submitRequest)
		for i := range c.userAddrs {
			early.Go(func() { w.send(i, queryRequest) })
		}
		early.Wait()
		c.simulation.DelayWatchReplies(nil)
		if w.reportViolations(t); !w.accepted {
			t.Errorf("%s was not accepted at once", w.jobID)
		}
	}
}

// A cancellation meets the end of a job's last task, with no other trouble: both writes
// are out at once, and either is carried out first. Whichever it is stays, and who cancels
// a done job is told so; questions and repeated submissions come in between.
func TestCancellationConcurrentWithCompletion(t *testing.T) {
	c := startAcceptingCluster(t)
	type meeting struct {
		endSent, cancelSent   chan struct{}
		endComes, cancelComes chan struct{}
		end, cancel           sync.Once
	}
	const jobs = 8
	var all [jobs]*meeting
	var users [jobs]*historyChecker
	for k := range all {
		all[k] = &meeting{endSent: make(chan struct{}), cancelSent: make(chan struct{}), endComes: make(chan struct{}), cancelComes: make(chan struct{})}
		j := newJob(3000+k, 1)
		c.simulation.UploadJob(j, time.Duration(10*k)*time.Millisecond)
		users[k] = newHistoryChecker(c, j)
	}
	c.simulation.InjectTransactionFaults(func(x wire.Txn) simulator.TransactionFault {
		for k, w := range users {
			switch m := all[k]; {
			case isLeaderTxn(x) && writesPrefix(x, records.EndedJobKey(w.jobID)):
				m.end.Do(func() { close(m.endSent) })
				return simulator.TransactionFault{DelayUntil: m.endComes}
			case isCancellation(x, w.jobID):
				m.cancel.Do(func() { close(m.cancelSent) })
				return simulator.TransactionFault{DelayUntil: m.cancelComes}
			}
		}
		return simulator.TransactionFault{}
	})
	// One after the other, since jobs that end together share a transaction.
	for k, m := range all {
		w, rnd := users[k], rand.New(rand.NewPCG(13, uint64(k)))
		c.eventually("acceptance", func() bool { return w.send(rnd.IntN(3), submitRequest) != "" })
		<-m.endSent
		told, by := make(chan struct{}), rnd.IntN(3)
		go func() {
			defer close(told)
			c.eventually("cancellation", func() bool { return w.send(by, cancelRequest) != "" })
		}()
		<-m.cancelSent
		want := wire.JobDone
		if k%2 == 0 {
			close(m.endComes)
			c.eventually("the end", func() bool { return c.simulation.HasKey(records.EndedJobKey(w.jobID)) })
			w.sendToAll(2)
			close(m.cancelComes)
			<-told
		} else {
			want = wire.JobCancelled
			close(m.cancelComes)
			<-told
			w.sendToAll(2)
			close(m.endComes)
			c.eventually("the end", func() bool { return c.simulation.HasKey(records.EndedJobKey(w.jobID)) })
		}
		w.sendToAll(2)
		w.reportViolations(t)
		if w.finalState != want {
			t.Errorf("%s is %q, not %q, which came first", w.jobID, w.finalState, want)
		}
		for i := range c.userAddrs {
			if got := w.send(i, cancelRequest); got != want {
				t.Errorf("%s cancelled again at node %d: %q", w.jobID, i, got)
			}
		}
	}
	if b := c.simulation.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// sendAbandoned makes a request whose answer nobody waits for, until so many writes are held.
func (w *historyChecker) sendAbandoned(i int, what string, held int) {
	done := make(chan struct{})
	go func() { w.send(i, what); close(done) }()
	w.cluster.eventually("a held transaction", func() bool { return w.cluster.simulation.HeldTransactions() >= held })
	go func() { <-done }()
}

// Transactions without an answer are carried out after newer ones: each row of the
// table "Writes that are carried out late" that users or the leader write.
func TestDelayedWritesAreRejected(t *testing.T) {
	hold := func(c *cluster, want func(wire.Txn) bool, most int) {
		n := 0
		c.simulation.InjectTransactionFaults(func(x wire.Txn) simulator.TransactionFault {
			if want(x) && n < most {
				n++
				return simulator.TransactionFault{Held: true}
			}
			return simulator.TransactionFault{}
		})
	}
	refused := func(t *testing.T, c *cluster) {
		t.Helper()
		got := c.simulation.CommitHeldTransactions()
		if len(got) == 0 {
			t.Error("nothing was held")
		}
		for _, s := range got {
			if s != 409 {
				t.Errorf("a late write was carried out: %v", got)
			}
		}
	}
	over := func(c *cluster, w *historyChecker, state string) {
		c.t.Helper()
		c.eventually(state, func() bool { return w.send(0, queryRequest) == state && !c.simulation.HasKey(records.JobKey(w.jobID)) })
	}
	const long, short = time.Hour, 0
	for n, tc := range []struct {
		name  string
		runs  time.Duration
		tasks int
		play  func(t *testing.T, c *cluster, w *historyChecker)
	}{
		{"submission after another try's", long, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			hold(c, func(x wire.Txn) bool { return isSubmission(x, w.jobID) }, 1)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			refused(t, c)
		}},
		{"submission after a cancellation", long, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			first := true
			c.simulation.InjectTransactionFaults(func(x wire.Txn) simulator.TransactionFault {
				f := simulator.TransactionFault{Held: first && isSubmission(x, w.jobID) || isLeaderTxn(x) && writesPrefix(x, records.EndedJobKey(w.jobID))}
				first = first && !isSubmission(x, w.jobID)
				return f
			})
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			c.eventually("cancellation", func() bool { return w.send(1, cancelRequest) != "" })
			c.simulation.InjectTransactionFaults(nil)
			expectFirstRejected(t, c)
		}},
		{"submission after the end of a cancelled job", long, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			hold(c, func(x wire.Txn) bool { return isSubmission(x, w.jobID) }, 1)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			c.eventually("cancellation", func() bool { return w.send(1, cancelRequest) != "" })
			over(c, w, wire.JobCancelled)
			refused(t, c)
		}},
		{"submission after the end of a done job", short, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			hold(c, func(x wire.Txn) bool { return isSubmission(x, w.jobID) }, 1)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			over(c, w, wire.JobDone)
			refused(t, c)
		}},
		{"a peer's copy of a submission after the end", long, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			// The first try takes so long that a peer is asked, and is carried out first.
			// Nodes that have just started may know no peer that is able: then again.
			x := w
			for k := 1; c.simulation.HeldTransactions() == 0; k++ {
				j := newJob(2500+k, 1)
				c.simulation.UploadJob(j, long)
				x = newHistoryChecker(c, j)
				n := 0
				c.simulation.InjectTransactionFaults(func(t wire.Txn) simulator.TransactionFault {
					if !isSubmission(t, x.jobID) {
						return simulator.TransactionFault{}
					}
					if n++; n == 1 {
						return simulator.TransactionFault{Delay: 3 * tuning.HedgeDelay}
					}
					return simulator.TransactionFault{Held: n == 2}
				})
				c.eventually("acceptance", func() bool { return x.send(0, submitRequest) != "" })
				c.eventually("cancellation", func() bool { return x.send(1, cancelRequest) != "" })
			}
			over(c, x, wire.JobCancelled)
			refused(t, c)
			x.sendToAll(4)
			x.reportViolations(t)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
		}},
		{"cancellation after another try's", long, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			hold(c, func(x wire.Txn) bool { return isCancellation(x, w.jobID) }, 1)
			c.eventually("cancellation", func() bool { return w.send(1, cancelRequest) != "" })
			refused(t, c)
		}},
		{"cancellation after the end", 700 * time.Millisecond, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			hold(c, func(x wire.Txn) bool { return isCancellation(x, w.jobID) }, math.MaxInt)
			w.sendAbandoned(1, cancelRequest, 1)
			over(c, w, wire.JobDone)
			refused(t, c)
		}},
		{"end of a done job after a cancellation", short, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			hold(c, func(x wire.Txn) bool { return isLeaderTxn(x) && writesPrefix(x, records.EndedJobKey(w.jobID)) }, math.MaxInt)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			c.eventually("the job's end", func() bool { return c.simulation.HeldTransactions() > 0 })
			c.eventually("cancellation", func() bool { return w.send(1, cancelRequest) != "" })
			expectFirstRejected(t, c)
		}},
		{"done bits after a cancellation", 1500 * time.Millisecond, 12, func(t *testing.T, c *cluster, w *historyChecker) {
			hold(c, func(x wire.Txn) bool { return isLeaderTxn(x) && writesPrefix(x, records.JobKey(w.jobID)) }, math.MaxInt)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			c.eventually("done bits", func() bool { return c.simulation.HeldTransactions() > 0 })
			c.eventually("cancellation", func() bool { return w.send(1, cancelRequest) != "" })
			expectFirstRejected(t, c)
		}},
		{"a batch after its leader's term", short, 1, func(t *testing.T, c *cluster, w *historyChecker) {
			leader := 0
			c.eventually("a leader", func() bool {
				for i := range c.userAddrs {
					if s, _, _ := c.request(i, "GET", "/yarrowgap/v1/machines", nil); s == 200 {
						leader = i
						return true
					}
				}
				return false
			})
			hold(c, func(x wire.Txn) bool { return writesPrefix(x, records.BatchPrefix) }, math.MaxInt)
			c.eventually("acceptance", func() bool { return w.send(0, submitRequest) != "" })
			c.eventually("a batch", func() bool { return c.simulation.HeldTransactions() > 0 })
			c.stopFuncs[leader]()
			c.stopFuncs[leader] = func() {}
			c.simulation.InjectTransactionFaults(nil)
			other := (leader + 1) % 3
			c.eventually("the end", func() bool { return w.send(other, queryRequest) == wire.JobDone })
			refused(t, c)
			c.restartController(leader)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startAcceptingCluster(t)
			j := newJob(2000+n, tc.tasks)
			c.simulation.UploadJob(j, tc.runs)
			w := newHistoryChecker(c, j)
			tc.play(t, c, w)
			w.sendToAll(4)
			c.simulation.InjectTransactionFaults(nil)
			c.simulation.CommitHeldTransactions()
			w.sendToAll(2)
			// A process that remembers nothing reads what there is.
			c.restartController(2)
			c.eventually("an answer of a new process", func() bool { return w.send(2, queryRequest) != "" })
			w.sendToAll(2)
			w.reportViolations(t)
			if b := c.simulation.Violations(); len(b) > 0 {
				t.Error(b)
			}
		})
	}
}

// expectFirstRejected carries out what is held; the first of it has to be refused.
func expectFirstRejected(t *testing.T, c *cluster) {
	t.Helper()
	if got := c.simulation.CommitHeldTransactions(); len(got) == 0 || got[0] != 409 {
		t.Errorf("a late write was carried out: %v", got)
	}
}

// submissionFields are a submission's, as its user sends it.
func submissionFields(id string) map[string]any {
	return map[string]any{
		"uid": id, "docket": "c", "crew": "crew", "shape": "batch", "rank": "normal", "shifts": 1,
		"cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "img", "pull_gb": 0.1,
		"breeds": nil, "pasture": nil, "together": false, "scatter": false, "loaners": false,
		"reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil,
	}
}

// invalidSubmission is a submission that is wrong in one way. A name starts with its field.
type invalidSubmission struct {
	name   string
	status int
	fields func(id string) map[string]any
}

// invalidSubmissions makes a submission wrong in every way that the protocol tells, field by field.
func invalidSubmissions() []invalidSubmission {
	var out []invalidSubmission
	add := func(status int, field, what string, v any) {
		out = append(out, invalidSubmission{field + " " + what, status, func(id string) map[string]any {
			m := submissionFields(id)
			m[field] = v
			return m
		}})
	}
	nullable := map[string]bool{"breeds": true, "pasture": true, "due_s": true}
	for field, v := range submissionFields("") {
		if field == "uid" {
			continue // without a readable id, it is nobody's: see TestSubmissionWithInvalidIDIsRejected
		}
		var wrong []any
		switch v.(type) {
		case string:
			wrong = []any{1, 1.5, true, []string{"a"}, map[string]any{}, []byte("batch"), ""}
		case float64:
			wrong = []any{"1", true, []float64{1}, map[string]any{}, math.NaN(), math.Inf(1), math.Inf(-1), -1.0, -1, 1e300}
		case int:
			wrong = []any{"1", true, 1.5, math.NaN(), 0, -1, 100_001, uint64(math.MaxUint64), []int{1}}
		case bool:
			wrong = []any{0, 1, "true", []bool{true}}
		case nil:
			wrong = []any{true, map[string]any{}, 1}
			if field == "due_s" {
				wrong = []any{true, "1", math.NaN(), math.Inf(1), -1.0, []float64{1}}
			}
		}
		for _, x := range wrong {
			add(400, field, fmt.Sprintf("%T %v", x, x), x)
		}
		if !nullable[field] {
			add(400, field, "null", nil)
			out = append(out, invalidSubmission{field + " missing", 400, func(id string) map[string]any {
				m := submissionFields(id)
				delete(m, field)
				return m
			}})
		}
	}
	add(400, "shape", "unknown", "Batch")
	add(400, "rank", "unknown", "high")
	add(400, "breeds", "of numbers", []any{1})
	add(400, "breeds", "with null", []any{nil})
	long := make([]string, 40)
	for i := range long {
		long[i] = strings.Repeat("x", 190)
	}
	add(400, "breeds", "too long to record", append(long, "box"))
	add(422, "crew", "unknown", "nobody")
	add(422, "cpus", "over every type", 4.5)
	add(422, "gpus", "over every type", 1.0)
	add(422, "memory_gb", "over every type", 16.5)
	add(422, "breeds", "unknown", []string{"barge"})
	add(422, "breeds", "empty", []string{})
	add(422, "pasture", "unknown", "z")
	with := func(status int, name string, kv ...any) {
		out = append(out, invalidSubmission{name, status, func(id string) map[string]any {
			m := submissionFields(id)
			for i := 0; i < len(kv); i += 2 {
				m[kv[i].(string)] = kv[i+1]
			}
			return m
		}})
	}
	with(422, "service over the limit", "shape", "daemon", "shifts", 9)
	return out
}

// Whatever is wrong with a submission is said at once; nothing is made of it. A known job's
// repeated submission gets the job's state, however its body has changed.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	c := startCluster(t, 2)
	send := func(i int, m map[string]any) (int, wire.JobView, bool) {
		b, err := wire.Marshal(m)
		if err != nil {
			t.Error(err)
		}
		s, v, h := c.request(i, "POST", "/v2/runs", b)
		return s, v, s != 503 || h.Get("Retry-After") != "" && h.Get("Connection") == "close"
	}
	known, ended := newJob(7001, 1), newJob(7002, 1)
	c.simulation.UploadJob(known, time.Hour)
	c.simulation.UploadJob(ended, 0)
	for i := range c.userAddrs {
		for _, j := range []*wire.Job{known, ended} {
			c.eventually("acceptance", func() bool {
				s, _, _ := c.request(i, "POST", "/v2/runs", encodeSubmission(t, j))
				return s == 201 || s == 200
			})
		}
	}
	c.eventually("completion", func() bool { _, v, _ := c.request(0, "GET", "/v2/runs/"+ended.ID, nil); return v.State == wire.JobDone })
	all := invalidSubmissions()
	each := func(f func(k int, o invalidSubmission)) {
		var wg sync.WaitGroup
		for part := range 16 {
			wg.Go(func() {
				for k := part; k < len(all); k += 16 {
					f(k, all[k])
				}
			})
		}
		wg.Wait()
	}
	each(func(k int, o invalidSubmission) {
		fresh := fmt.Sprintf("run-%06d", 8000+k)
		if s, _, _ := send(k%2, o.fields(fresh)); s != o.status {
			t.Errorf("%s: %d, want %d", o.name, s, o.status)
		}
		if s, _, _ := c.request(1-k%2, "GET", "/v2/runs/"+fresh, nil); s != 404 {
			t.Errorf("%s: then the job is known: %d", o.name, s)
		}
		if s, v, _ := send(k%2, o.fields(known.ID)); s != 200 || v.State != wire.JobPending && v.State != wire.JobRunning {
			t.Errorf("%s, for a known job: %d %q", o.name, s, v.State)
		}
		if s, v, _ := send(1-k%2, o.fields(ended.ID)); s != 200 || v.State != wire.JobDone {
			t.Errorf("%s, for a job that is done: %d %q", o.name, s, v.State)
		}
	})
	// What cannot be told now is refused for now: it may be a known job's.
	c.simulation.StartKVStoreOutage()
	each(func(k int, o invalidSubmission) {
		if s, v, ok := send(k%2, o.fields(known.ID)); s != 503 || !ok {
			t.Errorf("%s, for a known job in an outage: %d %q, said when to come back: %v", o.name, s, v.State, ok)
		}
	})
}

// A submission that names no job in a form that jobs have is malformed whoever sends it.
func TestSubmissionWithInvalidIDIsRejected(t *testing.T) {
	c := startCluster(t, 1)
	c.eventually("types", func() bool {
		s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, newJob(7101, 1)))
		return s == 201
	})
	for _, id := range []any{nil, "", 7101, true, []string{"run-007101"}, "run-", "run-1", "run-00710", "run-00710x", "run-007101 ", " run-007101",
		"RUN-007101", "run_007101", "run-007101/0", "run-٠٠٧١٠١", "run-0071010071010071010", "run--07101", "run-+07101", "job-007101"} {
		m := submissionFields("")
		m["uid"] = id
		b, err := wire.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if s, _, _ := c.request(0, "POST", "/v2/runs", b); s != 400 {
			t.Errorf("uid %v: %d", id, s)
		}
		if text, ok := id.(string); ok && text != "" && !strings.ContainsAny(text, " /") {
			for _, q := range []struct{ method, path string }{{"GET", ""}, {"POST", "/withdraw"}} {
				if s, _, _ := c.request(0, q.method, "/v2/runs/"+text+q.path, nil); s != 404 {
					t.Errorf("%s %s%s: %d", q.method, text, q.path, s)
				}
			}
		}
	}
}

// What can run is accepted: each field at its bounds, what may be null left out, fields
// that nobody knows, and jobs of which half may run at a time.
func TestSubmissionsAtLimitsAreAccepted(t *testing.T) {
	c := startCluster(t, 1)
	c.eventually("types", func() bool {
		s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, newJob(7201, 1)))
		return s == 201
	})
	for k, change := range []map[string]any{
		{"shifts": 100_000}, {"cpus": 4}, {"cpus": 4.0, "memory_gb": 16.0}, {"breeds": []string{"barge", "box"}}, {"pasture": "a"}, {"due_s": 0.5},
		{"shape": "daemon", "shifts": 8}, {"shape": "daemon", "scatter": true, "together": true, "pasture": "a"},
		{"shifts": 5, "scatter": true, "together": true}, {"shifts": 5, "scatter": true, "pasture": "a"},
		{"shape": "daemon", "shifts": 2, "together": true}, {"shape": "daemon", "shifts": 2, "scatter": true, "together": true},
		{"shape": "daemon", "shifts": 3, "scatter": true, "pasture": "a"}, {"loaners": true}, {"colour": "blue", "size": []int{1}},
	} {
		m := submissionFields(fmt.Sprintf("run-%06d", 7300+k))
		for _, f := range []string{"breeds", "pasture", "due_s"} {
			if k%2 == 0 {
				delete(m, f)
			}
		}
		for f, v := range change {
			m[f] = v
		}
		b, err := wire.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if s, _, _ := c.request(0, "POST", "/v2/runs", b); s != 201 {
			t.Errorf("%v: %d", change, s)
		}
	}
}
