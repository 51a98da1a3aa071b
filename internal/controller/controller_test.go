package controller

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
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

func newTestController(t *testing.T) *Controller {
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

// Under overload, heartbeats have priority over queries and cancellations, and those over
// submissions.
func TestOverloadShedsSubmissionsBeforeQueriesBeforeHeartbeats(t *testing.T) {
	c := newTestController(t)
	c.replication.replica.RememberEnded("run-000001", records.EndedJob{State: wire.JobDone, Done: 1, Tasks: 1})
	heartbeat := &wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1}
	for _, tc := range []struct {
		lag           time.Duration
		submit, query int
	}{
		{0, http.StatusBadRequest, http.StatusOK},
		{tuning.MaxSubmissionTickLag + 1, http.StatusServiceUnavailable, http.StatusOK},
		{tuning.MaxDecisionTickLag + 1, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		c.admission.tickLag.Store(int64(tc.lag))
		if a := c.Submit(context.Background(), []byte{0xa0}, FromUser); a.Status != tc.submit {
			t.Errorf("lag %v: submission %d", tc.lag, a.Status)
		}
		if a := c.Query(context.Background(), "run-000001", FromUser); a.Status != tc.query {
			t.Errorf("lag %v: query %d", tc.lag, a.Status)
		}
		if a := c.Heartbeat(heartbeat); a.Status != http.StatusServiceUnavailable { // nobody leads
			t.Errorf("lag %v: heartbeat %d", tc.lag, a.Status)
		}
	}
	c.admission.tickLag.Store(0)
	for range tuning.MaxSubmissionsInFlight {
		c.admission.submissionSlots <- struct{}{}
	}
	if a := c.Submit(context.Background(), []byte{0xa0}, FromUser); a.Status != http.StatusServiceUnavailable {
		t.Errorf("a submission over the bound: %d", a.Status)
	}
	if a := c.Query(context.Background(), "run-000001", FromUser); a.Status != http.StatusOK {
		t.Errorf("a query while submission slots are full: %d", a.Status)
	}
}

// A follower redirects workers to a reachable leader. In a partition it renews their leases
// with the fencing token that they hold, only of the last known term, sends no commands, and
// stops in time for a cancellation.
func TestFollowerKeepsWorkersAliveWhilePartitioned(t *testing.T) {
	c := newTestController(t)
	c.membership.peers["drover-1"] = &peerState{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, lastHeardAt: time.Now()}
	c.setLeader("drover-1", 9)
	c.cancellations.enforcedUntil = time.Now()
	token := uint64(9)<<tuning.FencingBits | 3
	heartbeat := func(token uint64) HeartbeatAnswer {
		return c.Heartbeat(&wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1, FencingToken: token})
	}
	if a := heartbeat(token); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader reachable: %+v", a)
	}
	c.membership.peers["drover-1"].lastHeardAt = time.Now().Add(-2 * tuning.PeerUnreachableAfter)
	if a := heartbeat(token); a.Status != http.StatusOK || a.Reply.FencingToken != token || len(a.Reply.Commands) != 0 {
		t.Errorf("in a partition: %+v", a)
	}
	if a := heartbeat(uint64(8) << tuning.FencingBits); a.Status == http.StatusOK {
		t.Errorf("a worker with a token of an earlier term was kept alive: %+v", a)
	}
	c.cancellations.enforcedUntil = time.Now().Add(-c.KeepaliveBound())
	if a := heartbeat(token); a.Status == http.StatusOK {
		t.Errorf("kept alive for longer than a cancellation leaves time for: %+v", a)
	}
	w := c.cfg.Deployment.Workers
	if c.KeepaliveBound() > config.Seconds(w.CancelS-w.LeaseS) {
		t.Errorf("bound %v", c.KeepaliveBound())
	}
}

// A controller without the key-value store is isolated, and unhealthy, unless a peer that the
// store serves is reachable, or so many share the fault that it is an outage. Once served
// again it is healthy at once.
func TestIsolatedControllerIsUnhealthy(t *testing.T) {
	c := newTestController(t)
	setPeers := func(storeAvailable bool, reachable int) {
		clear(c.membership.peers)
		for i := range 4 {
			p := &peerState{Peer: config.Peer{Name: "drover-" + string(rune('1'+i))}, storeAvailable: storeAvailable}
			if i < reachable {
				p.lastHeardAt = time.Now()
			}
			c.membership.peers[p.Name] = p
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
		{time.Minute, true, 1, false},  // the store serves a peer
		{time.Minute, false, 4, false}, // an outage
		// Three of five without the other two: an outage with two controllers down, or a
		// partitioned zone. Others may cancel jobs meanwhile: see
		// TestCancellationWatermarkIsNeverAheadOfConfirmations.
		{time.Minute, false, 2, false},
	} {
		c.membership.storeUnservedFor = func() time.Duration { return tc.without }
		setPeers(tc.served, tc.near)
		if c.Healthy() == tc.cut {
			t.Errorf("%+v: healthy %v", tc, !tc.cut)
		}
	}
	c.membership.storeUnservedFor = func() time.Duration { return 0 }
	setPeers(false, 0)
	if !c.Healthy() {
		t.Error("unhealthy though the store serves it")
	}
}

// A leader that refuses connections from here can be reached by workers: they are redirected
// to it. A controller that never heard of a working leader keeps nobody alive.
func TestFollowerRedirectsWhenLeaderRefusesConnections(t *testing.T) {
	c := newTestController(t)
	p := &peerState{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, connectionRefusedAt: time.Now()}
	c.membership.peers["drover-1"] = p
	c.setLeader("drover-1", 9)
	c.cancellations.enforcedUntil = time.Now()
	heartbeat := &wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1, FencingToken: 9 << tuning.FencingBits}
	if a := c.Heartbeat(heartbeat); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader refuses connections: %+v", a)
	}
	p.connectionRefusedAt, c.cancellations.enforcedUntil = time.Time{}, time.Time{}
	if a := c.Heartbeat(heartbeat); a.Status == http.StatusOK {
		t.Errorf("kept alive by a controller that has just started: %+v", a)
	}
}

// Answers of watches that overtake each other never take the replica back.
func TestReplicaIgnoresOlderWatchAnswers(t *testing.T) {
	raw := func(cancelled bool) wire.Raw {
		b, err := wire.Marshal(records.Job{Job: wire.Job{ID: "run-000001", Tasks: 1}, Cancelled: cancelled})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	r := scheduler.NewReplica()
	r.Reset(nil, 10)
	set := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw(false), ModRevision: 11}
	cancel := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw(true), ModRevision: 12}
	r.Apply(wire.WatchReply{Revision: 12, Events: []wire.WatchEvent{set, cancel}})
	if touched, _ := r.Apply(wire.WatchReply{Revision: 11, Events: []wire.WatchEvent{set}}); len(touched) != 0 || !r.Live["run-000001"].Record.Cancelled {
		t.Error("an older answer undid a cancellation")
	}
	r.Apply(wire.WatchReply{Revision: 13, Events: []wire.WatchEvent{{Delete: records.JobKey("run-000001"), ModRevision: 13}}})
	if touched, _ := r.Apply(wire.WatchReply{Revision: 12, Events: []wire.WatchEvent{set, cancel}}); len(touched) != 0 || r.Live["run-000001"] != nil {
		t.Error("an older answer brought a job back to life")
	}
	if _, bad := r.Apply(wire.WatchReply{Revision: 14, Events: []wire.WatchEvent{{Set: records.JobKey("run-000002"), Value: raw(false), ModRevision: 14}}}); len(bad) != 1 {
		t.Error("a record under another job's key was trusted")
	}
}

// That there is no job of an id costs one read, until a change creates one: queries about
// jobs that nobody submitted must not cost the key-value store a read each.
func TestReplicaCachesAbsentJobs(t *testing.T) {
	raw, err := wire.Marshal(records.Job{Job: wire.Job{ID: "run-000001", Tasks: 1}})
	if err != nil {
		t.Fatal(err)
	}
	set := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw, ModRevision: 11}
	r := scheduler.NewReplica()
	r.Reset(nil, 10)
	r.NoteAbsent("run-000001")
	r.NoteAbsent("run-000002")
	if !r.Absent("run-000001") || r.Absent("run-000003") {
		t.Error("absence is not known, or of too many")
	}
	r.Apply(wire.WatchReply{Revision: 11, Events: []wire.WatchEvent{set}})
	if r.Absent("run-000001") || !r.Absent("run-000002") {
		t.Error("missing though submitted")
	}
	r.NoteAbsent("run-000001") // by a read that was sent before the job came
	if r.Absent("run-000001") {
		t.Error("missing though live")
	}
	r.Reset(nil, 20)
	if r.Absent("run-000002") {
		t.Error("missing though changes were passed over")
	}
}

// A request to the cloud that a process pause has delayed is not sent once the lease may have
// expired: a release would take machines that work for the next leader.
func TestNoCloudRequestAfterLeaseExpiry(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	c := newTestController(t)
	c.cloud = cloud.New(srv.Listener.Addr().String())
	c.leadership.scheduler, c.leadership.lost = scheduler.New(c.now(), c.schedulerSettings(), 9, scheduler.NewReplica(), nil, nil, nil), make(chan struct{})
	callCloud := func() {
		executor{c, c.leadership.scheduler}.release([]string{"n-000001"})
		executor{c, c.leadership.scheduler}.provision(wire.ProvisionRequest{RequestID: "r-1", Count: 1})
	}
	c.leadership.leaseHeldUntil = time.Now().Add(-time.Second)
	if callCloud(); requests != 0 {
		t.Errorf("%d requests after the lease", requests)
	}
	c.leadership.leaseHeldUntil = time.Now().Add(time.Hour)
	if callCloud(); requests != 2 {
		t.Errorf("%d requests within the lease", requests)
	}
}

// What was read before a process pause does not count as fresh.
func TestReadBeforeProcessPauseIsRepeated(t *testing.T) {
	reads := 0
	err := readUntilFresh(func() (time.Time, error) {
		if reads++; reads < 3 {
			return time.Now().Add(-time.Minute), nil
		}
		return time.Now(), nil
	})
	if err != nil || reads != 3 {
		t.Errorf("read %d times: %v", reads, err)
	}
	if err := readUntilFresh(func() (time.Time, error) { return time.Time{}, context.DeadlineExceeded }); err == nil {
		t.Error("a read that failed was told")
	}
}

// However many machines have commands due, direct calls keep within their share of sockets.
func TestDirectCallsAreBounded(t *testing.T) {
	c := newTestController(t)
	c.cfg.Deployment.Quota.FDLimit = 300
	if got := maxDirectCalls(c.cfg); got != tuning.MinWorkerCalls {
		t.Errorf("%d places with few sockets", got)
	}
	c.directCallSlots = make(chan struct{}, 3)
	var concurrent, maxConcurrent atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for now := concurrent.Add(1); ; {
			previous := maxConcurrent.Load()
			if now <= previous || maxConcurrent.CompareAndSwap(previous, now) {
				break
			}
		}
		for range 100 {
			runtime.Gosched() // lets others in, if anything does
		}
		concurrent.Add(-1)
		w.WriteHeader(http.StatusTeapot)
	})
	var wg sync.WaitGroup
	for range 24 {
		srv := httptest.NewServer(handler) // a machine each: the client bounds one host's connections itself
		defer srv.Close()
		wg.Go(func() {
			executor{c, &scheduler.Scheduler{}}.callWorker(scheduler.DirectCall{Addr: srv.Listener.Addr().String()})
		})
	}
	wg.Wait()
	if got := maxConcurrent.Load(); got == 0 || got > 3 {
		t.Errorf("%d calls at once, of 3 places", got)
	}
}
