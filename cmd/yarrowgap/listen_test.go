package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/tracing"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Connections over the limit are closed immediately. After an accepted connection ends, the next one
// is accepted, so that a worker that was refused can connect when it retries.
func TestConnectionsOverLimitAreClosed(t *testing.T) {
	inner, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const maxConns = 5
	l := newLimitedListener(inner, maxConns)
	defer l.Close()
	accepted := make(chan net.Conn, 3*maxConns)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var served []net.Conn
	for range maxConns {
		dial()
		served = append(served, <-accepted)
	}
	if load := l.load(); load != api.CloseAllConnections {
		t.Errorf("load %d with all connections in use", load)
	}
	expectRefused := func() {
		t.Helper()
		closed := make(chan struct{})
		c := dial()
		go func() {
			_, _ = c.Read(make([]byte, 1)) // the listener sends nothing, so Read returns when c is closed
			close(closed)
		}()
		select {
		case <-closed:
		case <-accepted:
			t.Fatal("a connection over the limit was accepted")
		}
	}
	for range maxConns {
		expectRefused()
	}
	for _, c := range served {
		c.Close()
		c.Close() // a second Close must not release a second connection
		dial()
		<-accepted
	}
	expectRefused()
}

const testSettings = `
node = "drover-0"
domain = "a"
bind = "127.0.0.1:0"
mesh_addr = "127.0.0.1:0"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[deployment]
size = 1
zones = ["a"]
[[deployment.teams]]
name = "crew"
cpus = 8.0
cpus_max = 8.0
[deployment.workers]
report_s = 5.0
lease_s = 30.0
cancel_s = 60.0
[deployment.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[deployment.cloud]
rps = 5.0
[deployment.quota]
fd_limit = %d
`

// startTestProcess starts a controller with the given number of sockets and returns its address for
// users and workers. Nothing serves its key-value store.
func startTestProcess(t *testing.T, sockets int) (baseURL string) {
	t.Helper()
	cfg, err := config.Parse([]byte(fmt.Sprintf(testSettings, sockets)))
	if err != nil {
		t.Fatal(err)
	}
	opened, err := openListeners(cfg)
	if err != nil {
		t.Fatal(err)
	}
	tracer, err := tracing.Open("", cfg.Node)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctl := controller.New(cfg, policy.Defaults(policy.CostInsensitive), log)
	p := startProcess(context.Background(), ctl, opened, log)
	t.Cleanup(func() { _ = p.shutDown(tracer) })
	return "http://" + opened.users.Addr().String()
}

// sendHeartbeat sends a worker's heartbeat over a connection of its own, which the worker keeps open,
// and reports whether it was answered.
func sendHeartbeat(t *testing.T, baseURL string, worker int) (answered bool) {
	t.Helper()
	body, err := wire.Marshal(wire.Heartbeat{Machine: fmt.Sprintf("n-%06d", worker), Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	response, err := (&http.Client{Transport: transport}).Post(baseURL+"/checkin", wire.ContentType, bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return true
}

func TestConnectionsOfWorkersLeaveNoneForHealthChecks(t *testing.T) {
	const sockets, workers = 60, 150
	baseURL := startTestProcess(t, sockets)
	loadBalancer := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	unanswered := 0
	for worker := range workers {
		if !sendHeartbeat(t, baseURL, worker) {
			unanswered++
		}
		response, err := loadBalancer.Get(baseURL + "/healthz")
		if err != nil {
			t.Fatalf("health check with %d workers: %v", worker+1, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatalf("health check with %d workers: %s", worker+1, response.Status)
		}
	}
	if unanswered > 0 {
		t.Errorf("%d of %d workers got no answer", unanswered, workers)
	}
}

func TestWorkersTakeConnectionsReservedForHealthChecks(t *testing.T) {
	const sockets = 60
	baseURL := startTestProcess(t, sockets)
	for range sockets {
		silent, err := net.Dial("tcp", strings.TrimPrefix(baseURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = silent.Close() })
	}
	awaitHealthCheck(t, baseURL)
	for worker := range sockets {
		if sendHeartbeat(t, baseURL, worker) {
			t.Fatal("a worker got a reserved connection")
		}
	}
	awaitHealthCheck(t, baseURL)
}

// awaitHealthCheck waits until a health check over a new connection is answered.
func awaitHealthCheck(t *testing.T, baseURL string) {
	t.Helper()
	loadBalancer := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(healthCheckPatience); time.Now().Before(end); time.Sleep(tuning.ReservedConnTimeout / 10) {
		if response, err := loadBalancer.Get(baseURL + "/healthz"); err == nil {
			_ = response.Body.Close()
			return
		}
	}
	t.Fatal("no health check was answered")
}

// healthCheckPatience is how long a test waits for an answer on a busy machine.
const healthCheckPatience = 20 * time.Second
