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
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// plainRequest is a request without a body.
const plainRequest = "GET / HTTP/1.1\r\nHost: n\r\n\r\n"

// Checks with net/http's client that each request on a connection gets its own response, for
// bodies of different sizes, with and without chunked encoding.
func TestSequentialRequestsOnOneConnection(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 500, tuning.ConnReadBufferBytes - 90, tuning.ConnReadBufferBytes, 5000, 64 << 10}).Draw(rt, "size")
		body := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(rt, "fill"))}, size)
		var reader io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(rt, "chunked") {
			reader = io.MultiReader(reader) // hides the length, so that the client sends chunks
		}
		response, err := client.Post("http://"+server.addr+"/", "text/plain", reader)
		if err != nil {
			rt.Fatal(err)
		}
		defer response.Body.Close()
		got, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusAccepted || !bytes.Equal(got, body) {
			rt.Fatalf("got status %d and %d bytes, want %d bytes: %v", response.StatusCode, len(got), size, err)
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
	longBody := strings.Repeat("x", tuning.MaxDrainBytes+1)
	for _, tc := range []struct {
		name, request string
		status        int
		keepsConn     bool
	}{
		{"plain", plainRequest, http.StatusAccepted, true},
		{"client asks to close", "GET / HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", http.StatusAccepted, false},
		{"closed by the handler", "GET /close HTTP/1.1\r\nHost: n\r\n\r\n", http.StatusAccepted, false},
		{"HTTP/1.0 client", "GET / HTTP/1.0\r\n\r\n", http.StatusAccepted, false},
		{"short unread body", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc", http.StatusOK, true},
		{"long unread body", "POST /unread HTTP/1.1\r\nHost: n\r\nContent-Length: " + fmt.Sprint(len(longBody)) + "\r\n\r\n" + longBody, http.StatusOK, false},
		{"missing Host header", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest, false},
		{"not HTTP", "what is this\r\n\r\n", http.StatusBadRequest, false},
		{"invalid Content-Length", "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: x\r\n\r\n", http.StatusBadRequest, false},
		{"endless header", "GET / HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", tuning.MaxHeaderBytes), http.StatusRequestHeaderFieldsTooLarge, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := server.dial(t)
			got := client.send(t, tc.request)
			if got.status != tc.status || got.closesConn == tc.keepsConn {
				t.Errorf("got status %d, closes the connection: %v", got.status, got.closesConn)
			}
			if !tc.keepsConn {
				client.expectClosed(t)
				return
			}
			if next := client.send(t, plainRequest); next.status != http.StatusAccepted {
				t.Errorf("next request on the connection: status %d", next.status)
			}
		})
	}
}

// A panic in a handler closes only the connection of its request.
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
		t.Errorf("status %d on another connection after a panic", got.status)
	}
}

// A client that is still sending its body when its request is rejected receives the response
// before the connection is reset.
func TestRejectionOfLargeBodyIsDelivered(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) }, allNonBlocking)
	url := "http://" + server.addr
	body := make([]byte, 150<<10)
	for i := range 100 {
		response, err := http.Post(url, "application/cbor", bytes.NewReader(body))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("request %d: status %s", i, response.Status)
		}
	}
}

// Guards against a reset of the connection while a client still sends the body of a request that was
// rejected. The client goes on sending once the response has begun to arrive, and reads the rest after
// that.
func TestConnectionStaysOpenWhileRejectedBodyIsSent(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) }, allNonBlocking)
	client := server.dial(t)
	const chunks = 4
	chunk := make([]byte, 2*tuning.MaxDrainBytes)
	if _, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n", chunks*len(chunk)); err != nil {
		t.Fatal(err)
	}
	for i := range chunks {
		if _, err := client.Write(chunk); err != nil {
			t.Fatalf("chunk %d of the body: %v", i, err)
		}
		if _, err := client.reader.Peek(1); err != nil {
			t.Fatalf("response after chunk %d: %v", i, err)
		}
		time.Sleep(5 * time.Millisecond) // a reset would arrive
	}
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %s", response.Status)
	}
}

// The server sends 100 Continue to a client that asks for it before it sends its body. The
// response to a HEAD request has no body.
func TestExpectContinueAndHead(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	client := server.dial(t)
	got := client.send(t, "POST / HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if got.status != http.StatusContinue {
		t.Fatalf("status %d", got.status)
	}
	if got := client.send(t, "ok"); got.status != http.StatusAccepted || got.body != "ok" {
		t.Errorf("got status %d and body %q", got.status, got.body)
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
			t.Fatalf("HEAD: status %s", response.Status)
		}
	}
}

// The number of requests processed at once is limited to the number of slots. A request whose
// handler blocks releases its slot. QueueDelay is 0 once no request is waiting.
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
				t.Errorf("%d extra handler calls, queue delay %v after all requests", len(entered), server.QueueDelay())
			}
		})
	}
}

// Shutdown waits for requests in progress and closes idle connections.
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
		t.Errorf("Serve returned %v", err)
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

// An idle connection uses at most tuning.BytesPerConn, from which the connection limits are
// derived. The measurement includes the client's side of the connection, which is in the same
// process, so the server's side uses less.
func TestIdleConnectionMemory(t *testing.T) {
	server := startServer(t, echoBody, allNonBlocking)
	const conns = 500
	request := "POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300)
	server.dial(t).send(t, request)
	before := heapAndStackBytes()
	for range conns {
		server.dial(t).send(t, request)
	}
	// The clients' readers can be garbage-collected here; their sockets stay open.
	if bytesPerConn := (heapAndStackBytes() - before) / conns; bytesPerConn > tuning.BytesPerConn {
		t.Errorf("%d bytes per connection, limit %d", bytesPerConn, tuning.BytesPerConn)
	} else {
		t.Logf("%d bytes per connection, both sides included", bytesPerConn)
	}
}

// heapAndStackBytes returns the bytes in use by the heap and the stacks after garbage collection.
func heapAndStackBytes() uint64 {
	for range 3 {
		runtime.GC() // each collection shrinks a stack by at most half
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
