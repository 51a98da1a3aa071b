package httpserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// plainRequest is a request without a body.
const plainRequest = "GET / HTTP/1.1\r\nHost: n\r\n\r\n"

// Whatever the sizes and the form of the bodies, each request of a connection gets its own
// answer, and net/http's client understands it.
func TestSequentialRequestsOnOneConnection(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 500, tuning.ConnReadBufferBytes - 90, tuning.ConnReadBufferBytes, 5000, 64 << 10}).Draw(rt, "size")
		body := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(rt, "fill"))}, size)
		var reader io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(rt, "chunked") {
			reader = io.MultiReader(reader) // of unknown length
		}
		response, err := client.Post("http://"+server.addr+"/", "text/plain", reader)
		if err != nil {
			rt.Fatal(err)
		}
		defer response.Body.Close()
		got, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusAccepted || !bytes.Equal(got, body) {
			rt.Fatalf("%d with %d bytes of %d: %v", response.StatusCode, len(got), size, err)
		}
	})
}

func TestConnectionReuse(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/close":
			w.Header().Set("Connection", "close")
		case "/unread":
			return
		}
		echoBody(w, r)
	}, allNonBlocking)
	long := strings.Repeat("x", tuning.MaxDrainBytes+1)
	for _, tc := range []struct {
		name, request string
		status        int
		keeps         bool
	}{
		{"plain", plainRequest, http.StatusAccepted, true},
		{"asked to close", "GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", http.StatusAccepted, false},
		{"closed by the handler", "GET /close HTTP/1.1\r\nHost: n\r\n\r\n", http.StatusAccepted, false},
		{"an old client", "GET / HTTP/1.0\r\n\r\n", http.StatusAccepted, false},
		{"a short body unread", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc", http.StatusOK, true},
		{"a long body unread", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: " + fmt.Sprint(len(long)) + "\r\n\r\n" + long, http.StatusOK, false},
		{"no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest, false},
		{"not HTTP", "what is this\r\n\r\n", http.StatusBadRequest, false},
		{"a length that is none", "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: x\r\n\r\n", http.StatusBadRequest, false},
		{"a head without end", "GET / HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", tuning.MaxHeaderBytes), http.StatusRequestHeaderFieldsTooLarge, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := server.dial(t)
			got := client.send(t, tc.request)
			if got.status != tc.status || got.closes == tc.keeps {
				t.Errorf("status %d, closes %v", got.status, got.closes)
			}
			if !tc.keeps {
				client.expectClosed(t)
				return
			}
			if next := client.send(t, plainRequest); next.status != http.StatusAccepted {
				t.Errorf("the next request: %d", next.status)
			}
		})
	}
}

// A panic in a handler ends its connection, and no other.
func TestHandlerPanicClosesConnection(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("in a handler")
		}
		echoBody(w, r)
	}, allNonBlocking)
	client := server.dial(t)
	client.write(t, "GET /panic HTTP/1.1\r\nHost: n\r\n\r\n")
	client.expectClosed(t)
	if got := server.dial(t).send(t, plainRequest); got.status != http.StatusAccepted {
		t.Errorf("after a panic elsewhere: %d", got.status)
	}
}

// A client that still sends its body when its request is rejected receives the answer: no
// reset overtakes it.
func TestRejectionOfLargeBodyIsDelivered(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) }, allNonBlocking)
	url := "http://" + server.addr
	body := make([]byte, 150<<10)
	for i := range 100 {
		response, err := http.Post(url, "application/cbor", bytes.NewReader(body))
		if err != nil {
			t.Fatalf("after %d: %v", i, err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("after %d: %s", i, response.Status)
		}
	}
}

// A client that waits for leave to send its body gets it; HEAD gets no body.
func TestExpectContinueAndHead(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	client := server.dial(t)
	got := client.send(t, "POST / HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if got.status != http.StatusContinue {
		t.Fatalf("status %d", got.status)
	}
	if got := client.send(t, "ok"); got.status != http.StatusAccepted || got.body != "ok" {
		t.Errorf("%d %q", got.status, got.body)
	}
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	for range 2 {
		response, err := httpClient.Head("http://" + server.addr + "/")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusAccepted {
			t.Fatalf("HEAD: %s", response.Status)
		}
	}
}

// No more requests are worked on at once than there are slots, one whose handler blocks
// releases its slot, and how long others wait is known.
func TestConcurrentRequestLimit(t *testing.T) {
	const clients = 3 * tuning.MaxConcurrentRequests
	for _, tc := range []struct {
		name        string
		nonBlocking func(*http.Request) bool
		limit       int
	}{
		{"non-blocking", allNonBlocking, tuning.MaxConcurrentRequests},
		{"blocking", allBlocking, clients},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entered, release := make(chan struct{}, clients), make(chan struct{})
			server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				entered <- struct{}{}
				<-release
				w.WriteHeader(http.StatusNoContent)
			}, tc.nonBlocking)
			var conns []*testClient
			for range clients {
				conns = append(conns, server.dial(t))
			}
			for _, conn := range conns[:tc.limit] {
				conn.write(t, plainRequest)
				<-entered
			}
			if got := len(server.slots) == cap(server.slots); got != (tc.limit == tuning.MaxConcurrentRequests) {
				t.Errorf("all slots taken: %v", got)
			}
			for _, conn := range conns[tc.limit:] {
				conn.write(t, plainRequest)
			}
			for range tc.limit {
				release <- struct{}{}
			}
			for range clients - tc.limit {
				<-entered
				release <- struct{}{}
			}
			for _, conn := range conns {
				if got := conn.read(t); got.status != http.StatusNoContent {
					t.Fatalf("status %d", got.status)
				}
			}
			if len(entered) != 0 || server.QueueDelay() != 0 {
				t.Errorf("%d entered, a queue delay of %v with nobody waiting", len(entered), server.QueueDelay())
			}
		})
	}
}

// Shutdown lets what is being handled end, and closes what is idle.
func TestShutdownWaitsForRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}, allBlocking)
	idle, busy := server.dial(t), server.dial(t)
	busy.write(t, plainRequest)
	<-entered
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(context.Background()) }()
	if err := <-server.serveErr; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve ended with %v", err)
	}
	idle.expectClosed(t)
	close(release)
	if got := busy.read(t); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// What an open connection holds between two requests stays under what limits are
// derived from. Both ends are in this process, so the server's is less.
func TestIdleConnectionMemory(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	const conns = 500
	request := "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300)
	server.dial(t).send(t, request)
	before := heapAndStackBytes()
	for range conns {
		server.dial(t).send(t, request)
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
