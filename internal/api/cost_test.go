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

	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/wire"
)

// What requests cost, through the real handlers of a node that leads. The benchmarks go
// over loopback and count both ends; the test counts the allocations of the handler alone.

// reportBody is a report of a machine with some running tasks.
func reportBody(tb testing.TB, machine int, tick uint64, tasks int) []byte {
	r := wire.Report{Machine: fmt.Sprintf("n-%06d", machine), Address: "127.0.0.1:9", Type: "box", Zone: "a", Session: 1, Tick: tick}
	for i := range tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskName(fmt.Sprintf("run-%06d", machine), i), Attempt: 77, State: wire.TaskRunning})
	}
	body, err := wire.Marshal(r)
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// leading is one node that leads.
func leading(tb testing.TB) *cluster {
	c := start(tb, 1)
	c.until("a leader", func() bool { status, _, _ := c.do(0, "GET", "/yarrowgap/v1/machines", nil); return status == 200 })
	return c
}

// A report without news, a question about a job that has ended and one for the node's
// health allocate no more than they did when the bounds were set: a third more of the
// garbage that reports make is a collection more in every minute of a leader with two
// thousand machines.
func TestAllocationsOfRequests(t *testing.T) {
	c := leading(t)
	ended := job(1, 1)
	c.site.Upload(ended, 0)
	c.until("acceptance", func() bool { s, _, _ := c.do(0, "POST", "/v2/runs", body(t, ended)); return s == 201 })
	c.until("completion", func() bool { _, v, _ := c.do(0, "GET", "/v2/runs/run-000001", nil); return v.State == wire.JobDone })
	tick := uint64(0)
	for _, tc := range []struct {
		name string
		most float64
		make func() *http.Request
	}{
		{"report without news", allocsOfReport, func() *http.Request {
			tick++
			return httptest.NewRequest("POST", "/checkin", bytes.NewReader(reportBody(t, 900, tick, 0)))
		}},
		{"question", allocsOfQuestion, func() *http.Request { return httptest.NewRequest("GET", "/v2/runs/run-000001", nil) }},
		{"health", allocsOfHealth, func() *http.Request { return httptest.NewRequest("GET", "/healthz", nil) }},
	} {
		var requests []*http.Request
		for range allocRuns + 1 {
			requests = append(requests, tc.make())
		}
		i := 0
		got := testing.AllocsPerRun(allocRuns, func() {
			c.handlers[0].ServeHTTP(discard{http.Header{}}, requests[i])
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
	allocRuns        = 2000
	allocsOfReport   = 20.0
	allocsOfQuestion = 14.0
	allocsOfHealth   = 3.0
)

// discard takes an answer and keeps nothing of it.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

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

// benchmark sends the requests that next makes, one after the other.
func benchmark(b *testing.B, addr string, next func(i int) []byte) {
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

func BenchmarkReport(b *testing.B) {
	for _, tasks := range []int{0, 4} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := leading(b)
			benchmark(b, c.addrs[0], func(i int) []byte { return rawRequest("POST", "/checkin", reportBody(b, 1, uint64(i+1), tasks)) })
		})
	}
}

// A report with news is one of a task that was not known there a report before.
func BenchmarkReportWithNews(b *testing.B) {
	c := leading(b)
	benchmark(b, c.addrs[0], func(i int) []byte { return rawRequest("POST", "/checkin", reportBody(b, 1, uint64(i+1), i%2)) })
}

func BenchmarkSubmission(b *testing.B) {
	c := leading(b)
	benchmark(b, c.addrs[0], func(i int) []byte {
		j := job(i+1, 1)
		raw, err := standin.Submission(j)
		if err != nil {
			b.Fatal(err)
		}
		return rawRequest("POST", "/v2/runs", raw)
	})
}

func BenchmarkHealth(b *testing.B) {
	c := leading(b)
	benchmark(b, c.addrs[0], func(int) []byte { return rawRequest("GET", "/healthz", nil) })
}

// A ping is what a node hears from each peer about once a second.
func BenchmarkPing(b *testing.B) {
	c := leading(b)
	raw, err := wire.Marshal(mesh.Ping{Node: "drover-9", Boot: 1, Served: true})
	if err != nil {
		b.Fatal(err)
	}
	benchmark(b, c.peerAddrs[0], func(int) []byte { return rawRequest("POST", mesh.PingPath, raw) })
}
