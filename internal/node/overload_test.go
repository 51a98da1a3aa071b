package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

func quietNode(t *testing.T) *Node {
	b, err := os.ReadFile("../../examples/local.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return New(cfg, policy.Defaults(false), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// Under overload, reports outrank decisions, and decisions submissions.
func TestRanksUnderOverload(t *testing.T) {
	n := quietNode(t)
	n.replica.Remember("run-000001", store.EndedRecord{State: wire.JobDone, Done: 1, Tasks: 1})
	report := &wire.Report{Machine: "n-1", Address: "a:1", Session: 1, Tick: 1}
	for _, tc := range []struct {
		lag           time.Duration
		submit, query int
	}{
		{0, http.StatusBadRequest, http.StatusOK},
		{tuning.LagSubmissions + 1, http.StatusServiceUnavailable, http.StatusOK},
		{tuning.LagDecisions + 1, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		n.lag.Store(int64(tc.lag))
		if a := n.Submit(context.Background(), []byte{0xa0}, false); a.Status != tc.submit {
			t.Errorf("lag %v: submission %d", tc.lag, a.Status)
		}
		if a := n.Query(context.Background(), "run-000001", false); a.Status != tc.query {
			t.Errorf("lag %v: poll %d", tc.lag, a.Status)
		}
		if a := n.Checkin(report); a.Status != http.StatusServiceUnavailable { // nobody leads
			t.Errorf("lag %v: report %d", tc.lag, a.Status)
		}
	}
	n.lag.Store(0)
	for range tuning.SubmissionsInFlight {
		n.submissions <- struct{}{}
	}
	if a := n.Submit(context.Background(), []byte{0xa0}, false); a.Status != http.StatusServiceUnavailable {
		t.Errorf("a submission over the bound: %d", a.Status)
	}
	if a := n.Query(context.Background(), "run-000001", false); a.Status != http.StatusOK {
		t.Errorf("a poll while submissions are full: %d", a.Status)
	}
}

// A follower sends workers to a leader in reach. In a cut it renews their leases
// with the token they hold, only of the last known term, gives no commands, and
// stops in time for a cancellation.
func TestFollowerInACut(t *testing.T) {
	n := quietNode(t)
	n.peers["drover-1"] = &peer{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, heard: time.Now()}
	n.setLead("drover-1", 9)
	n.led = time.Now()
	token := uint64(9)<<tuning.FenceBits | 3
	report := func(token uint64) WorkerAnswer {
		return n.Checkin(&wire.Report{Machine: "n-1", Address: "a:1", Session: 1, Tick: 1, Token: token})
	}
	if a := report(token); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader in reach: %+v", a)
	}
	n.peers["drover-1"].heard = time.Now().Add(-2 * tuning.PeerDead)
	if a := report(token); a.Status != http.StatusOK || a.Reply.Token != token || len(a.Reply.Commands) != 0 {
		t.Errorf("in a cut: %+v", a)
	}
	if a := report(uint64(8) << tuning.FenceBits); a.Status == http.StatusOK {
		t.Errorf("a token of an earlier term was kept alive: %+v", a)
	}
	n.led = time.Now().Add(-n.KeepaliveBound())
	if a := report(token); a.Status == http.StatusOK {
		t.Errorf("kept alive for longer than a cancellation leaves time for: %+v", a)
	}
	w := n.cfg.Deployment.Workers
	if n.KeepaliveBound() > config.Seconds(w.CancelS-w.LeaseS) {
		t.Errorf("bound %v", n.KeepaliveBound())
	}
}

// A node without the state service is cut off, and unhealthy, unless a peer that is
// served is in reach, or so many share its trouble that it is an outage. Once in
// touch again it is healthy at once.
func TestCutOff(t *testing.T) {
	n := quietNode(t)
	heard := func(served bool, near int) {
		clear(n.peers)
		for i := range 4 {
			p := &peer{Peer: config.Peer{Name: "drover-" + string(rune('1'+i))}, served: served}
			if i < near {
				p.heard = time.Now()
			}
			n.peers[p.Name] = p
		}
	}
	for _, tc := range []struct {
		without time.Duration
		served  bool
		near    int
		cut     bool
	}{
		{0, false, 0, false},
		{time.Minute, false, 0, true},
		{time.Minute, false, 1, true},  // two of five, in one zone
		{time.Minute, true, 1, false},  // a peer answers for us
		{time.Minute, false, 4, false}, // an outage
		// Three of five without the other two: an outage with two nodes down, or a
		// zone that is cut off. Others may cancel jobs: see TestKnowledge.
		{time.Minute, false, 2, false},
	} {
		n.without = func() time.Duration { return tc.without }
		heard(tc.served, tc.near)
		if n.Healthy() == tc.cut {
			t.Errorf("%+v: healthy %v", tc, !tc.cut)
		}
	}
	n.without = func() time.Duration { return 0 }
	heard(false, 0)
	if !n.Healthy() {
		t.Error("unhealthy though served")
	}
}

// Where the leader refuses connections from here, it is there for workers: they
// are sent to it and not held here. A node that never knew the lead to work keeps
// nobody alive.
func TestFollowerThatIsRefused(t *testing.T) {
	n := quietNode(t)
	p := &peer{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, refused: time.Now()}
	n.peers["drover-1"] = p
	n.setLead("drover-1", 9)
	n.led = time.Now()
	r := &wire.Report{Machine: "n-1", Address: "a:1", Session: 1, Tick: 1, Token: 9 << tuning.FenceBits}
	if a := n.Checkin(r); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader refuses connections: %+v", a)
	}
	p.refused, n.led = time.Time{}, time.Time{}
	if a := n.Checkin(r); a.Status == http.StatusOK {
		t.Errorf("kept alive by a node that has just started: %+v", a)
	}
}

// Answers of watches that overtake each other never take the copy back.
func TestReplicaKeepsTheLatest(t *testing.T) {
	raw := func(cancelled bool) wire.Raw {
		b, err := wire.Marshal(store.JobRecord{Job: wire.Job{ID: "run-000001", Tasks: 1}, Cancelled: cancelled})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	r := core.NewReplica()
	r.Reset(nil, 10)
	set := wire.LogEntry{Set: store.JobKey("run-000001"), Value: raw(false), Stamp: 11}
	cancel := wire.LogEntry{Set: store.JobKey("run-000001"), Value: raw(true), Stamp: 12}
	r.Apply(wire.Changes{Epoch: 12, Log: []wire.LogEntry{set, cancel}})
	if touched, _ := r.Apply(wire.Changes{Epoch: 11, Log: []wire.LogEntry{set}}); len(touched) != 0 || !r.Live["run-000001"].Record.Cancelled {
		t.Error("an older answer undid a cancellation")
	}
	r.Apply(wire.Changes{Epoch: 13, Log: []wire.LogEntry{{Delete: store.JobKey("run-000001"), Stamp: 13}}})
	if touched, _ := r.Apply(wire.Changes{Epoch: 12, Log: []wire.LogEntry{set, cancel}}); len(touched) != 0 || r.Live["run-000001"] != nil {
		t.Error("an older answer brought a job back to life")
	}
	if _, bad := r.Apply(wire.Changes{Epoch: 14, Log: []wire.LogEntry{{Set: store.JobKey("run-000002"), Value: raw(false), Stamp: 14}}}); len(bad) != 1 {
		t.Error("a record under another job's key was trusted")
	}
}

// That there is no job of an id costs one read, until a change makes one: questions
// about jobs that nobody submitted must not cost the state service a read each.
func TestReplicaKnowsWhatIsMissing(t *testing.T) {
	raw, err := wire.Marshal(store.JobRecord{Job: wire.Job{ID: "run-000001", Tasks: 1}})
	if err != nil {
		t.Fatal(err)
	}
	set := wire.LogEntry{Set: store.JobKey("run-000001"), Value: raw, Stamp: 11}
	r := core.NewReplica()
	r.Reset(nil, 10)
	r.Missing("run-000001")
	r.Missing("run-000002")
	if !r.Absent("run-000001") || r.Absent("run-000003") {
		t.Error("what is missing was not noted, or more than that")
	}
	r.Apply(wire.Changes{Epoch: 11, Log: []wire.LogEntry{set}})
	if r.Absent("run-000001") || !r.Absent("run-000002") {
		t.Error("missing though submitted")
	}
	r.Missing("run-000001") // by a read that was sent before the job came
	if r.Absent("run-000001") {
		t.Error("missing though live")
	}
	r.Reset(nil, 20)
	if r.Absent("run-000002") {
		t.Error("missing though changes were passed over")
	}
}

// A rental or release that the process stood still before it could send is not sent
// once the lead may be another's: it would take machines that work for that one.
func TestNoLateDealingsWithTheCloud(t *testing.T) {
	asked := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	n := quietNode(t)
	n.cloud = cloud.New(srv.Listener.Addr().String())
	n.leader, n.lost = core.NewLeader(n.now(), n.coreSettings(), 9, core.NewReplica(), nil, nil, nil), make(chan struct{})
	deal := func() {
		n.release(n.leader, []string{"n-000001"})
		n.rent(n.leader, wire.RentRequest{Name: "r-1", Count: 1})
	}
	n.heldTo = time.Now().Add(-time.Second)
	if deal(); asked != 0 {
		t.Errorf("%d requests after the lease", asked)
	}
	n.heldTo = time.Now().Add(time.Hour)
	if deal(); asked != 2 {
		t.Errorf("%d requests within the lease", asked)
	}
}

// What was read before the process stood still is not told as fresh.
func TestReadBeforeAStandstillIsReadAgain(t *testing.T) {
	reads := 0
	err := readFresh(func() (time.Time, error) {
		if reads++; reads < 3 {
			return time.Now().Add(-time.Minute), nil
		}
		return time.Now(), nil
	})
	if err != nil || reads != 3 {
		t.Errorf("read %d times: %v", reads, err)
	}
	if err := readFresh(func() (time.Time, error) { return time.Time{}, context.DeadlineExceeded }); err == nil {
		t.Error("a read that failed was told")
	}
}

// However many machines have something coming, direct calls keep within the sockets
// that are left for them.
func TestDirectCallsAreBounded(t *testing.T) {
	n := quietNode(t)
	n.cfg.Deployment.Quota.FDLimit = 300
	if got := directCalls(n.cfg); got != tuning.DirectLeast {
		t.Errorf("%d places with few sockets", got)
	}
	n.calls = make(chan struct{}, 3)
	var out, most atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for now := out.Add(1); ; {
			was := most.Load()
			if now <= was || most.CompareAndSwap(was, now) {
				break
			}
		}
		for range 100 {
			runtime.Gosched() // lets others in, if anything does
		}
		out.Add(-1)
		w.WriteHeader(http.StatusTeapot)
	})
	var wg sync.WaitGroup
	for range 24 {
		srv := httptest.NewServer(handler) // a machine each: the client bounds one host's connections itself
		defer srv.Close()
		wg.Go(func() { n.direct(&core.Leader{}, core.DirectCall{Addr: srv.Listener.Addr().String()}) })
	}
	wg.Wait()
	if got := most.Load(); got == 0 || got > 3 {
		t.Errorf("%d calls at once, of 3 places", got)
	}
}
