package api_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// heartbeatBody encodes a heartbeat of a machine with the given number of running tasks.
func heartbeatBody(tb testing.TB, machine int, sequence uint64, tasks int) []byte {
	tb.Helper()
	heartbeat := wire.Heartbeat{
		Machine: fmt.Sprintf("n-%06d", machine), Address: "127.0.0.1:9", Type: "box", Zone: "a", Incarnation: 1, Sequence: sequence,
	}
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName(jobID(machine), i), Attempt: 77, State: wire.TaskRunning})
	}
	body, err := wire.Marshal(heartbeat)
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// startLeader starts one controller and waits until it leads.
func startLeader(tb testing.TB) *cluster {
	tb.Helper()
	c := startCluster(tb, 1)
	c.leader()
	return c
}

// Maximum allocations per request, averaged over allocationRuns requests. They include a few
// allocations by other goroutines of the controller, which testing.AllocsPerRun counts as well.
const (
	allocationRuns          = 2000
	maxHeartbeatAllocations = 20.0
	maxQueryAllocations     = 14.0
	maxHealthAllocations    = 3.0
)

// A heartbeat without changes, a query for an ended job and a health check must not allocate more
// than the limits above. If heartbeats allocated a third more, a leader with 2,000 machines would
// run one more garbage collection per minute.
func TestRequestAllocations(t *testing.T) {
	c := startLeader(t)
	ended := newJob(1, 1)
	c.simulation.UploadJob(ended, 0)
	c.submitUntilCreated(0, ended)
	c.waitUntilDone(0, ended.ID)
	sequence := uint64(0)
	for _, tc := range []struct {
		name           string
		maxAllocations float64
		newRequest     func() *http.Request
	}{
		{"heartbeat without changes", maxHeartbeatAllocations, func() *http.Request {
			sequence++
			return httptest.NewRequest(http.MethodPost, heartbeatPath, bytes.NewReader(heartbeatBody(t, 900, sequence, 0)))
		}},
		{"query", maxQueryAllocations, func() *http.Request { return httptest.NewRequest(http.MethodGet, jobPath(ended.ID), nil) }},
		{"health check", maxHealthAllocations, func() *http.Request { return httptest.NewRequest(http.MethodGet, healthPath, nil) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var requests []*http.Request
			for range allocationRuns + 1 {
				requests = append(requests, tc.newRequest())
			}
			i := 0
			got := testing.AllocsPerRun(allocationRuns, func() {
				c.controllers[0].handler.ServeHTTP(discardResponse{http.Header{}}, requests[i])
				i++
			})
			t.Logf("%.0f allocations", got)
			if got > tc.maxAllocations {
				t.Errorf("%.0f allocations, want at most %.0f", got, tc.maxAllocations)
			}
		})
	}
}

// discardResponse is an http.ResponseWriter that discards the response body.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header       { return d.header }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
