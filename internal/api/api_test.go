package api_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/httpserver"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// cluster is a few real controllers against the stand-ins, all on loopback.
type cluster struct {
	t          testing.TB
	simulation *simulator.Deployment
	userAddrs  []string
	stopFuncs  []func()

	peerAddrs []string
	handlers  []http.Handler // of users and workers, in the order in which they began

	settings []string
	policy   policy.Settings
	ctx      context.Context
}

// startController starts controller i on its listeners.
func (c *cluster) startController(ctx context.Context, i int, user, peer net.Listener) {
	cfg, err := config.Parse([]byte(c.settings[i]))
	if err != nil {
		c.t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n := controller.New(cfg, c.policy, log)
	nctx, stop := context.WithCancel(ctx)
	handler := api.NewHandler(n, log, func() bool { return false })
	c.handlers = append(c.handlers, handler)
	us := httpserver.New(handler, api.NonBlocking, log)
	ps := &http.Server{Handler: api.NewPeerHandler(n, log)}
	go func() { _ = us.Serve(user) }()
	go func() { _ = ps.Serve(peer) }()
	done := make(chan struct{})
	go func() { n.Run(nctx); close(done) }()
	c.ctx = ctx
	c.stopFuncs = append(c.stopFuncs, func() { us.Close(); ps.Close(); stop(); <-done })
}

// restartController ends controller i and starts it anew, on new ports for users.
func (c *cluster) restartController(i int) int {
	c.stopFuncs[i]()
	c.stopFuncs[i] = func() {}
	user, peer := listenLoopback(c.t), listenLoopback(c.t)
	c.userAddrs[i] = user.Addr().String()
	c.startController(c.ctx, i, user, peer)
	return i
}

func listenLoopback(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startCluster(t testing.TB, size int) *cluster {
	return startClusterWith(t, size, policy.Defaults(false), defaultTeamLimit)
}

// defaultTeamLimit is the limit of the team in CPUs, where a test sets no other.
const defaultTeamLimit = 8.0

func startClusterWith(t testing.TB, size int, operators policy.Settings, limit float64) *cluster {
	c := &cluster{t: t, policy: operators}
	ctx, cancel := context.WithCancel(context.Background())
	var users, peers []net.Listener
	nodes := map[string]string{}
	for i := range size {
		users, peers = append(users, listenLoopback(t)), append(peers, listenLoopback(t))
		c.peerAddrs = append(c.peerAddrs, peers[i].Addr().String())
		c.userAddrs = append(c.userAddrs, users[i].Addr().String())
		nodes[fmt.Sprintf("drover-%d", i)] = c.userAddrs[i]
	}
	types := []wire.MachineType{{Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBPerS: 50, Price: 1, SpotPrice: 0.4, BootS: 0.2, Zones: []string{"a"}}}
	c.simulation = simulator.NewDeployment(simulator.DeploymentConfig{
		MachineTypes: types, QuotaLimits: map[string]float64{"crew": limit}, Controllers: nodes,
		BootTime: 200 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: 12 * time.Second,
	})
	state, cloud := httptest.NewServer(c.simulation.KVStoreHandler()), httptest.NewServer(c.simulation.CloudHandler(ctx))
	for i := range size {
		var b strings.Builder
		fmt.Fprintf(&b, "node = \"drover-%d\"\ndomain = \"a\"\nbind = %q\nmesh_addr = %q\n", i, c.userAddrs[i], peers[i].Addr())
		for k := range size {
			if k != i {
				fmt.Fprintf(&b, "[[seeds]]\nnode = \"drover-%d\"\ndomain = \"a\"\naddr = %q\n", k, peers[k].Addr())
			}
		}
		fmt.Fprintf(&b, "[outside]\nstate = %q\ncloud = %q\n", state.Listener.Addr(), cloud.Listener.Addr())
		fmt.Fprintf(&b, `[deployment]
size = 2
zones = ["a"]
clock_error_ms = 25.0
[[deployment.teams]]
name = "crew"
cpus = 4.0
cpus_max = %.1f
[deployment.workers]
report_s = 0.5
lease_s = 12.0
cancel_s = 40.0
[deployment.state]
rps = 2000.0
write_rps = 500.0
value_kb = 4.0
txn_ops = 12
[deployment.cloud]
rps = 50.0
list_lag_s = 1.0
`, limit)
		c.settings = append(c.settings, b.String())
		c.startController(ctx, i, users[i], peers[i])
	}
	t.Cleanup(func() {
		for _, s := range c.stopFuncs {
			s()
		}
		cancel()
		state.CloseClientConnections()
		state.Close()
		cloud.Close()
	})
	return c
}

// request makes a request of node i; status 0 means no answer.
func (c *cluster) request(i int, method, path string, body []byte) (int, wire.JobView, http.Header) {
	req, err := http.NewRequest(method, "http://"+c.userAddrs[i]+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, wire.JobView{}, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	var v wire.JobView
	_ = wire.Unmarshal(b, &v)
	if resp.Close {
		resp.Header.Set("Connection", "close") // which the client takes out
	}
	return resp.StatusCode, v, resp.Header
}

// eventually repeats f until it holds. The bound only ends a test that has failed.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never came: %s", what)
		}
	}
}

func newJob(n, tasks int) *wire.Job {
	return &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: "crew", Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1}
}

func encodeSubmission(t testing.TB, j *wire.Job) []byte {
	b, err := simulator.EncodeSubmission(j)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A job's whole life, through two nodes, across the end of the leader; and what
// users were told stays true.
func TestJobLifecycleAcrossFailover(t *testing.T) {
	c := startCluster(t, 2)
	first := newJob(1, 6)
	c.simulation.UploadJob(first, 50*time.Millisecond)
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, first)); return s == 201 })
	c.eventually("completion", func() bool {
		_, v, _ := c.request(1, "GET", "/v2/runs/run-000001", nil)
		return v.State == wire.JobDone
	})

	service := newJob(2, 2)
	service.Shape, service.Priority = wire.ShapeService, wire.PriorityProduction
	c.simulation.UploadJob(service, 0)
	c.eventually("service accepted", func() bool {
		s, _, _ := c.request(1, "POST", "/v2/runs", encodeSubmission(t, service))
		return s == 201
	})
	c.eventually("replicas", func() bool { _, v, _ := c.request(0, "GET", "/v2/runs/run-000002", nil); return v.Running == 2 })

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
	c.stopFuncs[leader]()
	c.stopFuncs[leader] = func() {}
	other := 1 - leader
	long := newJob(3, 3)
	c.simulation.UploadJob(long, 50*time.Millisecond)
	c.eventually("work under the new leader", func() bool {
		c.request(other, "POST", "/v2/runs", encodeSubmission(t, long))
		_, v, _ := c.request(other, "GET", "/v2/runs/run-000003", nil)
		return v.State == wire.JobDone
	})
	if s, v, _ := c.request(other, "GET", "/v2/runs/run-000001", nil); s != 200 || v.State != wire.JobDone {
		t.Errorf("a done job is now %d %q", s, v.State)
	}
	if s, v, _ := c.request(other, "POST", "/v2/runs", encodeSubmission(t, first)); s != 200 || v.State != wire.JobDone {
		t.Errorf("its repeated submission gets %d %q", s, v.State)
	}
	c.eventually("cancellation", func() bool {
		s, v, _ := c.request(other, "POST", "/v2/runs/run-000002/withdraw", nil)
		return s == 200 && v.State == wire.JobCancelled
	})
	if _, v, _ := c.request(other, "GET", "/v2/runs/run-000002", nil); v.State != wire.JobCancelled {
		t.Errorf("a cancelled job is now %q", v.State)
	}
	if b := c.simulation.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// What is wrong with a request is said at once, in the protocol's statuses.
func TestRequestStatusCodes(t *testing.T) {
	c := startCluster(t, 1)
	good := newJob(10, 2)
	c.simulation.UploadJob(good, time.Hour)
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, good)); return s == 201 })
	changed := newJob(10, 2)
	changed.Team = "nobody"
	bad := func(mutate func(*wire.Job)) []byte {
		j := newJob(11, 1)
		mutate(j)
		return encodeSubmission(t, j)
	}
	deep := append(bytes.Repeat([]byte{0xa1, 0x61, 'a'}, 2000), 0xf6)
	due := 5.0
	for _, tc := range []struct {
		name, method, path string
		body               []byte
		want               []int
	}{
		{"repeated", "POST", "/v2/runs", encodeSubmission(t, good), []int{200}},
		{"repeated with another body", "POST", "/v2/runs", encodeSubmission(t, changed), []int{200}},
		{"empty", "POST", "/v2/runs", nil, []int{400}},
		{"not a map", "POST", "/v2/runs", []byte{0x83, 1, 2, 3}, []int{400}},
		{"cut off", "POST", "/v2/runs", encodeSubmission(t, newJob(11, 1))[:40], []int{400}},
		{"too deep", "POST", "/v2/runs", deep, []int{400}},
		{"too large", "POST", "/v2/runs", append(encodeSubmission(t, newJob(11, 1)), make([]byte, 70<<10)...), []int{400, 413}},
		{"no tasks", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Tasks = 0 }), []int{400}},
		{"too many tasks", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Tasks = 100001 }), []int{400}},
		{"negative", "POST", "/v2/runs", bad(func(j *wire.Job) { j.CPUs = -1 }), []int{400}},
		{"malformed id", "POST", "/v2/runs", bad(func(j *wire.Job) { j.ID = "walk-000001" }), []int{400}},
		{"unknown rank", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Priority = "high" }), []int{400}},
		{"unknown team", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Team = "nobody" }), []int{422}},
		{"fits no machine", "POST", "/v2/runs", bad(func(j *wire.Job) { j.MemoryGB = 99 }), []int{422}},
		{"no such type", "POST", "/v2/runs", bad(func(j *wire.Job) { j.MachineTypes = []string{"barge"} }), []int{422}},
		{"service over the limit", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 9 }), []int{422}},
		{"array over the limit", "POST", "/v2/runs", bad(func(j *wire.Job) { j.Tasks, j.DeadlineS = 9, &due }), []int{201}},
		{"unknown job", "GET", "/v2/runs/run-999999", nil, []int{404}},
		{"unknown job withdrawn", "POST", "/v2/runs/run-999999/withdraw", nil, []int{404}},
		{"no job's id", "GET", "/v2/runs/walk", nil, []int{404}},
		{"malformed report", "POST", "/checkin", []byte{0xa0}, []int{400}},
		{"health", "GET", "/healthz", nil, []int{200}},
	} {
		got, _, _ := c.request(0, tc.method, tc.path, tc.body)
		ok := false
		for _, w := range tc.want {
			ok = ok || got == w
		}
		if !ok {
			t.Errorf("%s: %d, want %v", tc.name, got, tc.want)
		}
	}
}

// While the state service refuses everybody, nothing is promised: new work and
// open questions get 503 with Retry-After, and what has ended is still known.
func TestStoreOutageIsReportedImmediately(t *testing.T) {
	c := startCluster(t, 1)
	j := newJob(20, 1)
	c.simulation.UploadJob(j, 0)
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, j)); return s == 201 })
	c.eventually("completion", func() bool {
		_, v, _ := c.request(0, "GET", "/v2/runs/run-000020", nil)
		return v.State == wire.JobDone
	})
	c.simulation.StartKVStoreOutage()
	if s, v, _ := c.request(0, "GET", "/v2/runs/run-000020", nil); s != 200 || v.State != wire.JobDone {
		t.Errorf("ended job: %d %q", s, v.State)
	}
	for _, q := range []struct{ method, path string }{{"POST", "/v2/runs"}, {"GET", "/v2/runs/run-000021"}, {"POST", "/v2/runs/run-000021/withdraw"}} {
		s, _, h := c.request(0, q.method, q.path, encodeSubmission(t, newJob(21, 1)))
		if s != 503 || h.Get("Retry-After") == "" {
			t.Errorf("%s %s: %d, Retry-After %q", q.method, q.path, s, h.Get("Retry-After"))
		}
		if h.Get("Connection") != "close" { // the load balancer may know a better node
			t.Errorf("%s %s: the connection is kept", q.method, q.path)
		}
	}
	c.simulation.EndKVStoreOutage()
	c.eventually("a poll answered again", func() bool { s, _, _ := c.request(0, "GET", "/v2/runs/run-000021", nil); return s == 404 })
	c.eventually("service again", func() bool {
		s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, newJob(21, 1)))
		return s == 201 || s == 200
	})
}

// A controller that starts while the cloud is down takes the machine types from
// the state service, and goes on accepting.
func TestMachineTypesSurviveCloudOutage(t *testing.T) {
	c := startCluster(t, 2)
	j := newJob(30, 1)
	c.simulation.UploadJob(j, 0)
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, j)); return s == 201 })
	c.eventually("types in the state service", func() bool { return c.simulation.HasKey("type/box") })
	c.simulation.StartCloudOutage()
	again := c.restartController(1)
	c.eventually("acceptance while the cloud is down", func() bool {
		s, _, _ := c.request(again, "POST", "/v2/runs", encodeSubmission(t, newJob(31, 1)))
		return s == 201
	})
}

// A node that the state service alone does not serve passes requests to a peer.
func TestIsolatedControllerForwardsRequestsToPeer(t *testing.T) {
	c := startCluster(t, 2)
	j := newJob(40, 1)
	c.simulation.UploadJob(j, time.Hour)
	c.eventually("a cluster that accepts", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, j)); return s == 201 })
	closed := listenLoopback(t)
	closed.Close()
	c.settings[1] = regexp.MustCompile(`state = "[^"]*"`).ReplaceAllString(c.settings[1], fmt.Sprintf("state = %q", closed.Addr()))
	cut := c.restartController(1)
	other := newJob(41, 1)
	c.simulation.UploadJob(other, time.Hour)
	c.eventually("acceptance through the peer", func() bool {
		s, _, _ := c.request(cut, "POST", "/v2/runs", encodeSubmission(t, other))
		return s == 201 || s == 200
	})
	if s, v, _ := c.request(cut, "GET", "/v2/runs/run-000040", nil); s != 200 || v.ID != "run-000040" {
		t.Errorf("poll through the peer: %d %+v", s, v)
	}
	if s, v, _ := c.request(cut, "POST", "/v2/runs/run-000041/withdraw", nil); s != 200 || v.State != wire.JobCancelled {
		t.Errorf("cancellation through the peer: %d %+v", s, v)
	}
	if s, _, _ := c.request(cut, "GET", "/v2/runs/run-999999", nil); s != 404 {
		t.Errorf("unknown job through the peer: %d", s)
	}
}
