package api_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// witness is a job's user, who asks at all nodes and notes every answer that is older
// than one that was told before the question.
type witness struct {
	c  *cluster
	id string
	b  []byte

	mu       sync.Mutex
	accepted bool
	final    string // done or cancelled, once told
	wrong    []string
}

func newWitness(c *cluster, j *wire.Job) *witness {
	return &witness{c: c, id: j.ID, b: body(c.t, j)}
}

// The requests of a user.
const (
	submit = "POST /v2/runs"
	query  = "GET /v2/runs/"
	cancel = "withdraw"
)

// ask makes a request of node i and checks its answer. It returns the state, or "".
func (w *witness) ask(i int, what string) string {
	w.mu.Lock()
	accepted, final := w.accepted, w.final
	w.mu.Unlock()
	var status int
	var v wire.JobView
	switch what {
	case submit:
		status, v, _ = w.c.do(i, "POST", "/v2/runs", w.b)
	case query:
		status, v, _ = w.c.do(i, "GET", "/v2/runs/"+w.id, nil)
	case cancel:
		status, v, _ = w.c.do(i, "POST", "/v2/runs/"+w.id+"/withdraw", nil)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	note := func(rule string) {
		w.wrong = append(w.wrong, fmt.Sprintf("%s: %s at node %d: %d %q, accepted %v, told %q", rule, what, i, status, v.State, accepted, final))
	}
	switch status {
	case 200, 201:
	case 404, 400, 422:
		if accepted || what == submit {
			note("forgotten")
		}
		return ""
	default:
		return ""
	}
	w.accepted = true
	over := v.State == wire.JobDone || v.State == wire.JobCancelled
	switch {
	case final != "" && v.State != final, over && w.final != "" && v.State != w.final:
		note("went_back")
	case what == cancel && !over:
		note("cancellation not told")
	}
	if over && w.final == "" {
		w.final = v.State
	}
	return v.State
}

// everywhere asks what is meant at all nodes at once, again and again, and submits anew.
func (w *witness) everywhere(times int) {
	var wg sync.WaitGroup
	for i := range w.c.addrs {
		wg.Go(func() {
			for n := range times {
				w.ask(i, []string{query, submit}[(n+i)%2])
			}
		})
	}
	wg.Wait()
}

// fails tells what the user saw that was wrong.
func (w *witness) fails(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.wrong) > 0 {
		t.Errorf("%s: %d wrong answers, first: %s", w.id, len(w.wrong), w.wrong[0])
	}
}

// whole starts three nodes and waits until they accept jobs.
func whole(t *testing.T) *cluster {
	c := start(t, 3)
	j := job(999000, 1)
	c.site.Upload(j, 0)
	for i := range c.addrs {
		c.until("acceptance", func() bool { s, _, _ := c.do(i, "POST", "/v2/runs", body(t, j)); return s == 201 || s == 200 })
	}
	c.until("completion", func() bool { _, v, _ := c.do(0, "GET", "/v2/runs/"+j.ID, nil); return v.State == wire.JobDone })
	return c
}

// sets and deletes report whether a transaction sets or deletes a key with the prefix.
func sets(t wire.Txn, prefix string) bool {
	for _, a := range t.Apply {
		if strings.HasPrefix(a.Set, prefix) {
			return true
		}
	}
	return false
}

// byLeader reports whether a transaction is the leader's own.
func byLeader(t wire.Txn) bool {
	return len(t.If) > 0 && t.If[0].Key == store.LeaderKey && t.If[0].Stamp != 0
}

// cancels reports whether a transaction is a cancellation, which names the live job's
// stamp and comes from no leader.
func cancels(t wire.Txn, id string) bool {
	return sets(t, store.JobKey(id)) && !byLeader(t) && !submits(t, id)
}

// submits reports whether a transaction is a submission, with or without conditions.
func submits(t wire.Txn, id string) bool {
	for _, a := range t.Apply {
		var rec store.JobRecord
		if raw, ok := a.Value.(wire.Raw); ok && a.Set == store.JobKey(id) && wire.Unmarshal(raw, &rec) == nil {
			return !byLeader(t) && !rec.Cancelled
		}
	}
	return false
}

// Users ask at all nodes, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled, while writes come up to 25 ms late, and answers to
// reads up to 40 ms after they were read.
func TestNoNodeTellsAnOlderAnswer(t *testing.T) {
	c := whole(t)
	rnd := rand.New(rand.NewPCG(11, 1))
	var mu sync.Mutex
	c.site.Fates(func(wire.Txn) standin.Fate {
		mu.Lock()
		defer mu.Unlock()
		return standin.Fate{Delay: time.Duration(rnd.IntN(25)) * time.Millisecond}
	})
	c.site.SlowReads(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rnd.IntN(40)) * time.Millisecond
	})
	lives(t, c, 24, rnd.Uint64())
	if b := c.site.Broken(); len(b) > 0 {
		t.Error(b)
	}
}

// The same while a part of all transactions is carried out at once and only the answer
// is lost: submissions, cancellations and the leader's writes.
func TestNoOlderAnswerWhereAnswersAreLost(t *testing.T) {
	c := whole(t)
	rnd := rand.New(rand.NewPCG(12, 1))
	var mu sync.Mutex
	lost := map[string]int{}
	c.site.Fates(func(x wire.Txn) standin.Fate {
		mu.Lock()
		defer mu.Unlock()
		f := standin.Fate{Lost: rnd.IntN(3) == 0, Delay: time.Duration(rnd.IntN(25)) * time.Millisecond}
		if f.Lost {
			lost[map[bool]string{true: "the leader", false: "a user"}[byLeader(x)]]++
		}
		return f
	})
	lives(t, c, 16, rnd.Uint64())
	c.site.Fates(nil)
	if lost["the leader"] == 0 || lost["a user"] == 0 {
		t.Errorf("answers lost: %v", lost)
	}
	if b := c.site.Broken(); len(b) > 0 {
		t.Error(b)
	}
}

// lives lets jobs of one short task be submitted, asked for, cancelled near their end and
// submitted again, until all of them are over for all nodes.
func lives(t *testing.T, c *cluster, jobs int, seed uint64) {
	t.Helper()
	var wg sync.WaitGroup
	var all []*witness
	for k := range jobs {
		rnd := rand.New(rand.NewPCG(seed, uint64(k)))
		j := job(1000+k, 1)
		runs := time.Duration(rnd.IntN(150)) * time.Millisecond
		if k%3 == 1 {
			runs = time.Hour
		}
		c.site.Upload(j, runs)
		w := newWitness(c, j)
		all = append(all, w)
		wg.Go(func() {
			at := rnd.IntN(3)
			for i := range k % 4 { // nobody submitted it yet
				w.ask(i%3, query)
			}
			for n := 0; w.ask((at+n)%3, submit) == ""; n++ {
				time.Sleep(20 * time.Millisecond)
			}
			w.everywhere(3)
			if k%3 != 0 {
				time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
				var both sync.WaitGroup
				for n := range 2 { // twice at once, at two nodes
					both.Go(func() {
						for i := at + n; w.ask(i%3, cancel) == ""; i++ {
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
				both.Wait()
			}
			for end := time.Now().Add(60 * time.Second); ; {
				w.everywhere(2)
				w.mu.Lock()
				final := w.final
				w.mu.Unlock()
				if final != "" {
					break
				}
				if time.Now().After(end) {
					t.Errorf("%s: never over", w.id)
					return
				}
			}
			w.everywhere(4)
		})
	}
	wg.Wait()
	ends := map[string]int{}
	for _, w := range all {
		w.fails(t)
		ends[w.final]++
	}
	if ends[wire.JobDone] == 0 || ends[wire.JobCancelled] == 0 {
		t.Errorf("one-sided: %v", ends)
	}
	// What the state service has is told by a node that remembers nothing, too.
	c.restart(2)
	for _, w := range all {
		c.until("an answer of a new process", func() bool { return w.ask(2, query) != "" })
		w.fails(t)
	}
}

// A question comes while the read for an earlier one is out, which was made before the
// job was accepted: it is answered from a later read.
func TestQuestionsShareNoEarlierRead(t *testing.T) {
	c := whole(t)
	sent := make(chan struct{}, 1000)
	for k := range 4 {
		w := newWitness(c, job(4000+k, 1))
		c.site.Upload(job(4000+k, 1), time.Hour)
		c.site.SlowReads(func() time.Duration {
			sent <- struct{}{}
			return 150 * time.Millisecond
		})
		var early sync.WaitGroup
		for len(sent) > 0 {
			<-sent
		}
		for i := range c.addrs {
			early.Go(func() { c.do(i, "GET", fmt.Sprintf("/v2/runs/run-%06d", 5000+k), nil) })
		}
		for range c.addrs {
			<-sent
		}
		w.ask(0, submit)
		for i := range c.addrs {
			early.Go(func() { w.ask(i, query) })
		}
		early.Wait()
		c.site.SlowReads(nil)
		if w.fails(t); !w.accepted {
			t.Errorf("%s was not accepted at once", w.id)
		}
	}
}

// A cancellation meets the end of a job's last task, with no other trouble: both writes
// are out at once, and either is carried out first. Whichever it is stays, and who cancels
// a done job is told so; questions and repeated submissions come in between.
func TestCancellationMeetsTheEnd(t *testing.T) {
	c := whole(t)
	type meeting struct {
		endSent, cancelSent   chan struct{}
		endComes, cancelComes chan struct{}
		end, cancel           sync.Once
	}
	const jobs = 8
	var all [jobs]*meeting
	var users [jobs]*witness
	for k := range all {
		all[k] = &meeting{endSent: make(chan struct{}), cancelSent: make(chan struct{}), endComes: make(chan struct{}), cancelComes: make(chan struct{})}
		j := job(3000+k, 1)
		c.site.Upload(j, time.Duration(10*k)*time.Millisecond)
		users[k] = newWitness(c, j)
	}
	c.site.Fates(func(x wire.Txn) standin.Fate {
		for k, w := range users {
			switch m := all[k]; {
			case byLeader(x) && sets(x, store.EndedKey(w.id)):
				m.end.Do(func() { close(m.endSent) })
				return standin.Fate{Until: m.endComes}
			case cancels(x, w.id):
				m.cancel.Do(func() { close(m.cancelSent) })
				return standin.Fate{Until: m.cancelComes}
			}
		}
		return standin.Fate{}
	})
	// One after the other, since jobs that end together share a transaction.
	for k, m := range all {
		w, rnd := users[k], rand.New(rand.NewPCG(13, uint64(k)))
		c.until("acceptance", func() bool { return w.ask(rnd.IntN(3), submit) != "" })
		<-m.endSent
		told, by := make(chan struct{}), rnd.IntN(3)
		go func() {
			defer close(told)
			c.until("cancellation", func() bool { return w.ask(by, cancel) != "" })
		}()
		<-m.cancelSent
		want := wire.JobDone
		if k%2 == 0 {
			close(m.endComes)
			c.until("the end", func() bool { return c.site.Has(store.EndedKey(w.id)) })
			w.everywhere(2)
			close(m.cancelComes)
			<-told
		} else {
			want = wire.JobCancelled
			close(m.cancelComes)
			<-told
			w.everywhere(2)
			close(m.endComes)
			c.until("the end", func() bool { return c.site.Has(store.EndedKey(w.id)) })
		}
		w.everywhere(2)
		w.fails(t)
		if w.final != want {
			t.Errorf("%s is %q, not %q, which came first", w.id, w.final, want)
		}
		for i := range c.addrs {
			if got := w.ask(i, cancel); got != want {
				t.Errorf("%s cancelled again at node %d: %q", w.id, i, got)
			}
		}
	}
	if b := c.site.Broken(); len(b) > 0 {
		t.Error(b)
	}
}

// giveUp makes a request whose answer nobody waits for, until so many writes are held.
func (w *witness) giveUp(i int, what string, held int) {
	done := make(chan struct{})
	go func() { w.ask(i, what); close(done) }()
	w.c.until("a held transaction", func() bool { return w.c.site.Held() >= held })
	go func() { <-done }()
}

// Transactions without an answer are carried out after newer ones: each row of the
// table "Writes that are carried out late" that users or the leader write.
func TestLateWritesChangeNothing(t *testing.T) {
	hold := func(c *cluster, want func(wire.Txn) bool, most int) {
		n := 0
		c.site.Fates(func(x wire.Txn) standin.Fate {
			if want(x) && n < most {
				n++
				return standin.Fate{Held: true}
			}
			return standin.Fate{}
		})
	}
	refused := func(t *testing.T, c *cluster) {
		t.Helper()
		got := c.site.ReleaseHeld()
		if len(got) == 0 {
			t.Error("nothing was held")
		}
		for _, s := range got {
			if s != 409 {
				t.Errorf("a late write was carried out: %v", got)
			}
		}
	}
	over := func(c *cluster, w *witness, state string) {
		c.t.Helper()
		c.until(state, func() bool { return w.ask(0, query) == state && !c.site.Has(store.JobKey(w.id)) })
	}
	const long, short = time.Hour, 0
	for n, tc := range []struct {
		name  string
		runs  time.Duration
		tasks int
		play  func(t *testing.T, c *cluster, w *witness)
	}{
		{"submission after another try's", long, 1, func(t *testing.T, c *cluster, w *witness) {
			hold(c, func(x wire.Txn) bool { return submits(x, w.id) }, 1)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			refused(t, c)
		}},
		{"submission after a cancellation", long, 1, func(t *testing.T, c *cluster, w *witness) {
			first := true
			c.site.Fates(func(x wire.Txn) standin.Fate {
				f := standin.Fate{Held: first && submits(x, w.id) || byLeader(x) && sets(x, store.EndedKey(w.id))}
				first = first && !submits(x, w.id)
				return f
			})
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			c.until("cancellation", func() bool { return w.ask(1, cancel) != "" })
			c.site.Fates(nil)
			refusedFirst(t, c)
		}},
		{"submission after the end of a cancelled job", long, 1, func(t *testing.T, c *cluster, w *witness) {
			hold(c, func(x wire.Txn) bool { return submits(x, w.id) }, 1)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			c.until("cancellation", func() bool { return w.ask(1, cancel) != "" })
			over(c, w, wire.JobCancelled)
			refused(t, c)
		}},
		{"submission after the end of a done job", short, 1, func(t *testing.T, c *cluster, w *witness) {
			hold(c, func(x wire.Txn) bool { return submits(x, w.id) }, 1)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			over(c, w, wire.JobDone)
			refused(t, c)
		}},
		{"a peer's copy of a submission after the end", long, 1, func(t *testing.T, c *cluster, w *witness) {
			// The first try takes so long that a peer is asked, and is carried out first.
			// Nodes that have just started may know no peer that is able: then again.
			x := w
			for k := 1; c.site.Held() == 0; k++ {
				j := job(2500+k, 1)
				c.site.Upload(j, long)
				x = newWitness(c, j)
				n := 0
				c.site.Fates(func(t wire.Txn) standin.Fate {
					if !submits(t, x.id) {
						return standin.Fate{}
					}
					if n++; n == 1 {
						return standin.Fate{Delay: 3 * tuning.HedgeAfter}
					}
					return standin.Fate{Held: n == 2}
				})
				c.until("acceptance", func() bool { return x.ask(0, submit) != "" })
				c.until("cancellation", func() bool { return x.ask(1, cancel) != "" })
			}
			over(c, x, wire.JobCancelled)
			refused(t, c)
			x.everywhere(4)
			x.fails(t)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
		}},
		{"cancellation after another try's", long, 1, func(t *testing.T, c *cluster, w *witness) {
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			hold(c, func(x wire.Txn) bool { return cancels(x, w.id) }, 1)
			c.until("cancellation", func() bool { return w.ask(1, cancel) != "" })
			refused(t, c)
		}},
		{"cancellation after the end", 700 * time.Millisecond, 1, func(t *testing.T, c *cluster, w *witness) {
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			hold(c, func(x wire.Txn) bool { return cancels(x, w.id) }, math.MaxInt)
			w.giveUp(1, cancel, 1)
			over(c, w, wire.JobDone)
			refused(t, c)
		}},
		{"end of a done job after a cancellation", short, 1, func(t *testing.T, c *cluster, w *witness) {
			hold(c, func(x wire.Txn) bool { return byLeader(x) && sets(x, store.EndedKey(w.id)) }, math.MaxInt)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			c.until("the job's end", func() bool { return c.site.Held() > 0 })
			c.until("cancellation", func() bool { return w.ask(1, cancel) != "" })
			refusedFirst(t, c)
		}},
		{"done bits after a cancellation", 1500 * time.Millisecond, 12, func(t *testing.T, c *cluster, w *witness) {
			hold(c, func(x wire.Txn) bool { return byLeader(x) && sets(x, store.JobKey(w.id)) }, math.MaxInt)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			c.until("done bits", func() bool { return c.site.Held() > 0 })
			c.until("cancellation", func() bool { return w.ask(1, cancel) != "" })
			refusedFirst(t, c)
		}},
		{"a batch after its leader's term", short, 1, func(t *testing.T, c *cluster, w *witness) {
			leader := 0
			c.until("a leader", func() bool {
				for i := range c.addrs {
					if s, _, _ := c.do(i, "GET", "/yarrowgap/v1/machines", nil); s == 200 {
						leader = i
						return true
					}
				}
				return false
			})
			hold(c, func(x wire.Txn) bool { return sets(x, store.BatchPrefix) }, math.MaxInt)
			c.until("acceptance", func() bool { return w.ask(0, submit) != "" })
			c.until("a batch", func() bool { return c.site.Held() > 0 })
			c.stops[leader]()
			c.stops[leader] = func() {}
			c.site.Fates(nil)
			other := (leader + 1) % 3
			c.until("the end", func() bool { return w.ask(other, query) == wire.JobDone })
			refused(t, c)
			c.restart(leader)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := whole(t)
			j := job(2000+n, tc.tasks)
			c.site.Upload(j, tc.runs)
			w := newWitness(c, j)
			tc.play(t, c, w)
			w.everywhere(4)
			c.site.Fates(nil)
			c.site.ReleaseHeld()
			w.everywhere(2)
			// A process that remembers nothing reads what there is.
			c.restart(2)
			c.until("an answer of a new process", func() bool { return w.ask(2, query) != "" })
			w.everywhere(2)
			w.fails(t)
			if b := c.site.Broken(); len(b) > 0 {
				t.Error(b)
			}
		})
	}
}

// refusedFirst carries out what is held; the first of it has to be refused.
func refusedFirst(t *testing.T, c *cluster) {
	t.Helper()
	if got := c.site.ReleaseHeld(); len(got) == 0 || got[0] != 409 {
		t.Errorf("a late write was carried out: %v", got)
	}
}

// fields are a submission's, as its user sends it.
func fields(id string) map[string]any {
	return map[string]any{
		"uid": id, "docket": "c", "crew": "crew", "shape": "batch", "rank": "normal", "shifts": 1,
		"cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "img", "pull_gb": 0.1,
		"breeds": nil, "pasture": nil, "together": false, "scatter": false, "loaners": false,
		"reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil,
	}
}

// odd is a submission that is wrong in one way. A name starts with its field.
type odd struct {
	name   string
	status int
	fields func(id string) map[string]any
}

// oddities makes a submission wrong in every way that the protocol tells, field by field.
func oddities() []odd {
	var out []odd
	add := func(status int, field, what string, v any) {
		out = append(out, odd{field + " " + what, status, func(id string) map[string]any {
			m := fields(id)
			m[field] = v
			return m
		}})
	}
	nullable := map[string]bool{"breeds": true, "pasture": true, "due_s": true}
	for field, v := range fields("") {
		if field == "uid" {
			continue // without a readable id, it is nobody's: see TestNobodysSubmission
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
			out = append(out, odd{field + " missing", 400, func(id string) map[string]any {
				m := fields(id)
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
		out = append(out, odd{name, status, func(id string) map[string]any {
			m := fields(id)
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
func TestOddSubmissions(t *testing.T) {
	c := start(t, 2)
	send := func(i int, m map[string]any) (int, wire.JobView, bool) {
		b, err := wire.Marshal(m)
		if err != nil {
			t.Error(err)
		}
		s, v, h := c.do(i, "POST", "/v2/runs", b)
		return s, v, s != 503 || h.Get("Retry-After") != "" && h.Get("Connection") == "close"
	}
	known, ended := job(7001, 1), job(7002, 1)
	c.site.Upload(known, time.Hour)
	c.site.Upload(ended, 0)
	for i := range c.addrs {
		for _, j := range []*wire.Job{known, ended} {
			c.until("acceptance", func() bool { s, _, _ := c.do(i, "POST", "/v2/runs", body(t, j)); return s == 201 || s == 200 })
		}
	}
	c.until("completion", func() bool { _, v, _ := c.do(0, "GET", "/v2/runs/"+ended.ID, nil); return v.State == wire.JobDone })
	all := oddities()
	each := func(f func(k int, o odd)) {
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
	each(func(k int, o odd) {
		fresh := fmt.Sprintf("run-%06d", 8000+k)
		if s, _, _ := send(k%2, o.fields(fresh)); s != o.status {
			t.Errorf("%s: %d, want %d", o.name, s, o.status)
		}
		if s, _, _ := c.do(1-k%2, "GET", "/v2/runs/"+fresh, nil); s != 404 {
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
	c.site.Refuse(true)
	each(func(k int, o odd) {
		if s, v, ok := send(k%2, o.fields(known.ID)); s != 503 || !ok {
			t.Errorf("%s, for a known job in an outage: %d %q, said when to come back: %v", o.name, s, v.State, ok)
		}
	})
}

// A submission that names no job in a form that jobs have is malformed whoever sends it.
func TestNobodysSubmission(t *testing.T) {
	c := start(t, 1)
	c.until("types", func() bool { s, _, _ := c.do(0, "POST", "/v2/runs", body(t, job(7101, 1))); return s == 201 })
	for _, id := range []any{nil, "", 7101, true, []string{"run-007101"}, "run-", "run-1", "run-00710", "run-00710x", "run-007101 ", " run-007101",
		"RUN-007101", "run_007101", "run-007101/0", "run-٠٠٧١٠١", "run-0071010071010071010", "run--07101", "run-+07101", "job-007101"} {
		m := fields("")
		m["uid"] = id
		b, err := wire.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if s, _, _ := c.do(0, "POST", "/v2/runs", b); s != 400 {
			t.Errorf("uid %v: %d", id, s)
		}
		if text, ok := id.(string); ok && text != "" && !strings.ContainsAny(text, " /") {
			for _, q := range []struct{ method, path string }{{"GET", ""}, {"POST", "/withdraw"}} {
				if s, _, _ := c.do(0, q.method, "/v2/runs/"+text+q.path, nil); s != 404 {
					t.Errorf("%s %s%s: %d", q.method, text, q.path, s)
				}
			}
		}
	}
}

// What can run is accepted: each field at its bounds, what may be null left out, fields
// that nobody knows, and jobs of which half may run at a time.
func TestBoundsAreAccepted(t *testing.T) {
	c := start(t, 1)
	c.until("types", func() bool { s, _, _ := c.do(0, "POST", "/v2/runs", body(t, job(7201, 1))); return s == 201 })
	for k, change := range []map[string]any{
		{"shifts": 100_000}, {"cpus": 4}, {"cpus": 4.0, "memory_gb": 16.0}, {"breeds": []string{"barge", "box"}}, {"pasture": "a"}, {"due_s": 0.5},
		{"shape": "daemon", "shifts": 8}, {"shape": "daemon", "scatter": true, "together": true, "pasture": "a"},
		{"shifts": 5, "scatter": true, "together": true}, {"shifts": 5, "scatter": true, "pasture": "a"},
		{"shape": "daemon", "shifts": 2, "together": true}, {"shape": "daemon", "shifts": 2, "scatter": true, "together": true},
		{"shape": "daemon", "shifts": 3, "scatter": true, "pasture": "a"}, {"loaners": true}, {"colour": "blue", "size": []int{1}},
	} {
		m := fields(fmt.Sprintf("run-%06d", 7300+k))
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
		if s, _, _ := c.do(0, "POST", "/v2/runs", b); s != 201 {
			t.Errorf("%v: %d", change, s)
		}
	}
}
