package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// testServer is a server on loopback.
type testServer struct {
	*Server
	addr     string
	serveErr chan error
}

func startServer(t *testing.T, h http.HandlerFunc, nonBlocking func(*http.Request) bool) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testServer{New(h, nonBlocking, slog.New(slog.NewTextHandler(io.Discard, nil))), l.Addr().String(), make(chan error, 1)}
	go func() { r.serveErr <- r.Serve(l) }()
	t.Cleanup(r.Close)
	return r
}

func allNonBlocking(*http.Request) bool { return true }
func allBlocking(*http.Request) bool    { return false }

type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (r *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

// send writes a request as it is and reads the answer.
func (c *testClient) send(t *testing.T, request string) (*http.Response, string) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// expectClosed reports whether the server has closed the connection.
func (c *testClient) expectClosed(t *testing.T) {
	t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		t.Errorf("the connection goes on, with %q", b)
	}
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write(body)
}

// Whatever the sizes and the form of the bodies, each request of a connection gets its own
// answer, and net/http's client understands it.
func TestSequentialRequestsOnOneConnection(t *testing.T) {
	r := startServer(t, echoBody, allNonBlocking)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 500, tuning.ConnReadBufferBytes - 90, tuning.ConnReadBufferBytes, 5000, 64 << 10}).Draw(rt, "size")
		body := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(rt, "fill"))}, size)
		var reader io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(rt, "chunked") {
			reader = io.MultiReader(reader) // of unknown length
		}
		resp, err := hc.Post("http://"+r.addr+"/", "text/plain", reader)
		if err != nil {
			rt.Fatal(err)
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusAccepted || !bytes.Equal(got, body) {
			rt.Fatalf("%d with %d bytes of %d: %v", resp.StatusCode, len(got), size, err)
		}
	})
}

func TestConnectionReuse(t *testing.T) {
	r := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/close":
			w.Header().Set("Connection", "close")
		case "/unread":
			return
		case "/panic":
			panic("in a handler")
		}
		echoBody(w, r)
	}, allNonBlocking)
	long := strings.Repeat("x", tuning.MaxDrainBytes+1)
	for _, tc := range []struct {
		name, request string
		status        int
		keeps         bool
	}{
		{"plain", "GET / HTTP/1.1\r\nHost: n\r\n\r\n", 202, true},
		{"asked to close", "GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 202, false},
		{"closed by the handler", "GET /close HTTP/1.1\r\nHost: n\r\n\r\n", 202, false},
		{"an old client", "GET / HTTP/1.0\r\n\r\n", 202, false},
		{"a short body unread", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc", 200, true},
		{"a long body unread", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: " + fmt.Sprint(len(long)) + "\r\n\r\n" + long, 200, false},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, false},
		{"not HTTP", "what is this\r\n\r\n", 400, false},
		{"a length that is none", "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: x\r\n\r\n", 400, false},
		{"a head without end", "GET / HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", tuning.MaxHeaderBytes), 431, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := r.dial(t)
			resp, _ := c.send(t, tc.request)
			if resp.StatusCode != tc.status || resp.Close == tc.keeps {
				t.Errorf("status %d, closes %v", resp.StatusCode, resp.Close)
			}
			if !tc.keeps {
				c.expectClosed(t)
			} else if resp, _ := c.send(t, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); resp.StatusCode != 202 {
				t.Errorf("the next request: %d", resp.StatusCode)
			}
		})
	}
	c := r.dial(t)
	if _, err := io.WriteString(c, "GET /panic HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.expectClosed(t)
	if resp, _ := r.dial(t).send(t, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); resp.StatusCode != 202 {
		t.Errorf("after a panic elsewhere: %d", resp.StatusCode)
	}
}

// A client that waits for leave to send its body gets it; HEAD gets no body.
// A client that still sends its body when it is refused gets the answer: no reset
// overtakes it.
func TestRejectionOfLargeBodyIsDelivered(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) }, allNonBlocking)
	url := "http://" + server.addr
	body := make([]byte, 150<<10)
	for i := range 100 {
		resp, err := http.Post(url, "application/cbor", bytes.NewReader(body))
		if err != nil {
			t.Fatalf("after %d: %v", i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("after %d: %s", i, resp.Status)
		}
	}
}

func TestExpectContinueAndHead(t *testing.T) {
	r := startServer(t, echoBody, allNonBlocking)
	c := r.dial(t)
	resp, _ := c.send(t, "POST / HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if resp.StatusCode != http.StatusContinue {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if resp, body := c.send(t, "ok"); resp.StatusCode != 202 || body != "ok" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	for range 2 {
		resp, err := hc.Head("http://" + r.addr + "/")
		if err != nil || resp.StatusCode != 202 {
			t.Fatalf("HEAD: %v %v", resp, err)
		}
		resp.Body.Close()
	}
}

// No more requests are worked on at once than there are places, one that waits for
// something gives its place up, and how long others wait can be told.
func TestConcurrentRequestLimit(t *testing.T) {
	const clients = 3 * tuning.MaxConcurrentRequests
	entered, release := make(chan struct{}, clients), make(chan struct{})
	hold := func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		w.WriteHeader(http.StatusNoContent)
	}
	for _, tc := range []struct {
		brief func(*http.Request) bool
		most  int
	}{{allNonBlocking, tuning.MaxConcurrentRequests}, {allBlocking, clients}} {
		r := startServer(t, hold, tc.brief)
		var conns []*testClient
		for range clients {
			conns = append(conns, r.dial(t))
		}
		for _, c := range conns[:tc.most] {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-entered
		}
		if got := len(r.slots) == cap(r.slots); got != (tc.most == tuning.MaxConcurrentRequests) {
			t.Errorf("all places taken: %v", got)
		}
		for _, c := range conns[tc.most:] {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		for range tc.most {
			release <- struct{}{}
		}
		for range clients - tc.most {
			<-entered
			release <- struct{}{}
		}
		for _, c := range conns {
			if resp, err := http.ReadResponse(c.reader, nil); err != nil || resp.StatusCode != http.StatusNoContent {
				t.Fatalf("%v %v", resp, err)
			}
		}
		if len(entered) != 0 || r.QueueDelay() != 0 {
			t.Errorf("%d entered, a backlog of %v with nobody waiting", len(entered), r.QueueDelay())
		}
	}
}

// Shutdown lets what is being handled end, and closes what is idle.
func TestShutdownWaitsForRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	r := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
	}, allBlocking)
	idle, busy := r.dial(t), r.dial(t)
	if _, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	done := make(chan error, 1)
	go func() { done <- r.Shutdown(context.Background()) }()
	if err := <-r.serveErr; err != http.ErrServerClosed {
		t.Errorf("Serve ended with %v", err)
	}
	idle.expectClosed(t)
	close(release)
	if resp, err := http.ReadResponse(busy.reader, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v %v", resp, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// What an open connection holds between two requests stays under what limits are
// derived from. Both ends are in this process, so the server's is less.
func TestIdleConnectionMemory(t *testing.T) {
	r := startServer(t, echoBody, allNonBlocking)
	const conns = 500
	request := "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300)
	r.dial(t).send(t, request)
	before := heapAndStackBytes()
	for range conns {
		r.dial(t).send(t, request)
	}
	// The clients' readers are dropped; their sockets stay open.
	if each := (heapAndStackBytes() - before) / conns; each > tuning.BytesPerConn {
		t.Errorf("%d bytes a connection, over %d", each, tuning.BytesPerConn)
	} else {
		t.Logf("%d bytes a connection, both ends", each)
	}
}

// heapAndStackBytes is what the heap and the stacks hold.
func heapAndStackBytes() uint64 {
	for range 3 {
		runtime.GC() // stacks shrink by half each time
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
