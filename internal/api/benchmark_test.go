package api_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The benchmarks send requests over loopback to the HTTP server of a leading controller. The
// reported times and allocations are those of client and controller together.

// rawClient sends HTTP requests over one connection and makes few allocations itself.
type rawClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(tb testing.TB, addr string) *rawClient {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &rawClient{conn, bufio.NewReaderSize(conn, 512)}
}

//nolint:thelper // tb.Helper would be part of what is measured
func (c *rawClient) send(tb testing.TB, request []byte) {
	if _, err := c.conn.Write(request); err != nil {
		tb.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

func rawRequest(method, path string, body []byte) []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	return append([]byte(head), body...)
}

// benchmarkRequests measures b.N requests, made in advance by newRequest and sent one after the
// other.
func benchmarkRequests(b *testing.B, addr string, newRequest func(i int) []byte) {
	b.Helper()
	client := dialRaw(b, addr)
	requests := make([][]byte, b.N)
	for i := range requests {
		requests[i] = newRequest(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, request := range requests {
		client.send(b, request)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 4} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := startLeader(b)
			benchmarkRequests(b, c.userAddrs[0], func(i int) []byte {
				return rawRequest(http.MethodPost, heartbeatPath, heartbeatBody(b, 1, uint64(i+1), tasks))
			})
		})
	}
}

// Each heartbeat adds or omits a task compared with the previous one.
func BenchmarkHeartbeatWithChanges(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(i int) []byte {
		return rawRequest(http.MethodPost, heartbeatPath, heartbeatBody(b, 1, uint64(i+1), i%2))
	})
}

func BenchmarkSubmission(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(i int) []byte {
		return rawRequest(http.MethodPost, jobsPath, encodeSubmission(b, newJob(i+1, 1)))
	})
}

func BenchmarkHealth(b *testing.B) {
	c := startLeader(b)
	benchmarkRequests(b, c.userAddrs[0], func(int) []byte { return rawRequest(http.MethodGet, healthPath, nil) })
}

// A controller gets a ping from each peer about once a second.
func BenchmarkPing(b *testing.B) {
	c := startLeader(b)
	ping, err := wire.Marshal(peer.Ping{Node: controllerName(9), BootID: 1, StoreAvailable: true})
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRequests(b, c.peerAddrs[0], func(int) []byte { return rawRequest(http.MethodPost, peer.PingPath, ping) })
}
