package api_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// What requests cost, through the real handlers of a node that leads. The benchmarks go
// over loopback and count both ends; the test counts the allocations of the handler alone.

// heartbeatBody is a report of a machine with some running tasks.
func heartbeatBody(tb testing.TB, machine int, tick uint64, tasks int) []byte {
	r := wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", machine), Address: "127.0.0.1:9", Type: "box", Zone: "a", Incarnation: 1, Sequence: tick}
	for i := range tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(fmt.Sprintf("run-%06d", machine), i), Attempt: 77, State: wire.TaskRunning})
	}
	body, err := wire.Marshal(r)
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// startLeader is one node that leads.
func startLeader(tb testing.TB) *cluster {
	c := startCluster(tb, 1)
	c.eventually("a leader", func() bool { status, _, _ := c.request(0, "GET", "/yarrowgap/v1/machines", nil); return status == 200 })
	return c
}

// A report without news, a question about a job that has ended and one for the node's
// health allocate no more than they did when the bounds were set: a third more of the
// garbage that reports make is a collection more in every minute of a leader with two
// thousand machines.
func TestRequestAllocations(t *testing.T) {
	c := startLeader(t)
	ended := newJob(1, 1)
	c.simulation.UploadJob(ended, 0)
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, ended)); return s == 201 })
	c.eventually("completion", func() bool {
		_, v, _ := c.request(0, "GET", "/v2/runs/run-000001", nil)
		return v.State == wire.JobDone
	})
	tick := uint64(0)
	for _, tc := range []struct {
		name string
		most float64
		make func() *http.Request
	}{
		{"report without news", maxHeartbeatAllocations, func() *http.Request {
			tick++
			return httptest.NewRequest("POST", "/checkin", bytes.NewReader(heartbeatBody(t, 900, tick, 0)))
		}},
		{"question", maxQueryAllocations, func() *http.Request { return httptest.NewRequest("GET", "/v2/runs/run-000001", nil) }},
		{"health", maxHealthAllocations, func() *http.Request { return httptest.NewRequest("GET", "/healthz", nil) }},
	} {
		var requests []*http.Request
		for range allocationRuns + 1 {
			requests = append(requests, tc.make())
		}
		i := 0
		got := testing.AllocsPerRun(allocationRuns, func() {
			c.handlers[0].ServeHTTP(discardResponse{http.Header{}}, requests[i])
			i++
		})
		t.Logf("%s: %.0f allocations", tc.name, got)
		if got > tc.most {
			t.Errorf("%s: %.0f allocations, over %.0f", tc.name, got, tc.most)
		}
	}
}

// Bounds on allocations: what was measured, and a few for what the node does beside.
const (
	allocationRuns          = 2000
	maxHeartbeatAllocations = 20.0
	maxQueryAllocations     = 14.0
	maxHealthAllocations    = 3.0
)

// discardResponse takes an answer and keeps nothing of it.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header       { return d.header }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// rawClient speaks HTTP on one connection, with few allocations of its own.
type rawClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialRaw(tb testing.TB, addr string) *rawClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &rawClient{conn, bufio.NewReaderSize(conn, 512)}
}

func (c *rawClient) do(tb testing.TB, request []byte) {
	if _, err := c.conn.Write(request); err != nil {
		tb.Fatal(err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

func rawRequest(method, path string, body []byte) []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	return append([]byte(head), body...)
}

// benchmarkRequests sends the requests that next makes, one after the other.
func benchmarkRequests(b *testing.B, addr string, next func(i int) []byte) {
	client := dialRaw(b, addr)
	requests := make([][]byte, b.N)
	for i := range requests {
		requests[i] = next(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, r := range requests {
		client.do(b, r)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 4} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := startLeader(b)
			benchmarkRequests(b, c.userAddrs[0], func(i int) []byte { return rawRequest("POST", "/checkin", heartbeatBody(b, 1, uint64(i+1), tasks)) })
		})
	}
}

// A report with news is one of a task that was not known there a report before.
func BenchmarkHeartbeatWithChanges(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(i int) []byte { return rawRequest("POST", "/checkin", heartbeatBody(b, 1, uint64(i+1), i%2)) })
}

func BenchmarkSubmission(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(i int) []byte {
		j := newJob(i+1, 1)
		raw, err := simulator.EncodeSubmission(j)
		if err != nil {
			b.Fatal(err)
		}
		return rawRequest("POST", "/v2/runs", raw)
	})
}

func BenchmarkHealth(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(int) []byte { return rawRequest("GET", "/healthz", nil) })
}

// A ping is what a node hears from each peer about once a second.
func BenchmarkPing(b *testing.B) {
	c := startLeader(b)
	raw, err := wire.Marshal(peer.Ping{Node: "drover-9", BootID: 1, StoreAvailable: true})
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRequests(b, c.peerAddrs[0], func(int) []byte { return rawRequest("POST", peer.PingPath, raw) })
}
