package api_test

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Jobs are submitted, run, queried and cancelled through two controllers, and the leader is stopped
// in between. What users were answered before must still be true afterwards.
func TestJobLifecycleAcrossFailover(t *testing.T) {
	c := startCluster(t, 2)
	first := newJob(1, 6)
	c.simulation.UploadJob(first, 50*time.Millisecond)
	c.submitUntilCreated(0, first)
	c.waitUntilDone(1, first.ID)

	service := newJob(2, 2)
	service.Shape, service.Priority = wire.ShapeService, wire.PriorityProduction
	c.simulation.UploadJob(service, 0)
	c.submitUntilCreated(1, service)
	c.eventually("replicas", func() bool { return c.query(0, service.ID).view.Running == 2 })

	leader := c.leader()
	c.stopController(leader)
	survivor := 1 - leader
	later := newJob(3, 3)
	c.simulation.UploadJob(later, 50*time.Millisecond)
	c.eventually("work under the new leader", func() bool {
		c.submit(survivor, later)
		return c.query(survivor, later.ID).view.State == wire.JobDone
	})
	if got := c.query(survivor, first.ID); got.status != http.StatusOK || got.view.State != wire.JobDone {
		t.Errorf("a done job is now %d %q", got.status, got.view.State)
	}
	if got := c.submit(survivor, first); got.status != http.StatusOK || got.view.State != wire.JobDone {
		t.Errorf("its repeated submission gets %d %q", got.status, got.view.State)
	}
	c.eventually("cancellation", func() bool {
		got := c.cancel(survivor, service.ID)
		return got.status == http.StatusOK && got.view.State == wire.JobCancelled
	})
	if got := c.query(survivor, service.ID); got.view.State != wire.JobCancelled {
		t.Errorf("a cancelled job is now %q", got.view.State)
	}
	c.expectNoViolations()
}

// Requests are answered immediately, with the status codes of the protocol.
func TestRequestStatusCodes(t *testing.T) {
	c := startCluster(t, 1)
	known := newJob(10, 2)
	c.simulation.UploadJob(known, time.Hour)
	c.submitUntilCreated(0, known)
	changed := newJob(10, 2)
	changed.Team = "nobody"
	newSubmission := encodeSubmission(t, newJob(11, 1))
	encodeChanged := func(change func(*wire.Job)) []byte {
		t.Helper()
		job := newJob(11, 1)
		change(job)
		return encodeSubmission(t, job)
	}
	deep := append(bytes.Repeat([]byte{0xa1, 0x61, 'a'}, 2000), 0xf6)
	deadline := 5.0
	for _, tc := range []struct {
		name, method, path string
		body               []byte
		want               []int
	}{
		{"repeated", "POST", jobsPath, encodeSubmission(t, known), []int{200}},
		{"repeated with another body", "POST", jobsPath, encodeSubmission(t, changed), []int{200}},
		{"empty", "POST", jobsPath, nil, []int{400}},
		{"not a map", "POST", jobsPath, []byte{0x83, 1, 2, 3}, []int{400}},
		{"truncated", "POST", jobsPath, newSubmission[:40], []int{400}},
		{"too deep", "POST", jobsPath, deep, []int{400}},
		{"too large", "POST", jobsPath, append(slices.Clone(newSubmission), make([]byte, 70<<10)...), []int{400, 413}},
		{"no tasks", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Tasks = 0 }), []int{400}},
		{"too many tasks", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Tasks = 100001 }), []int{400}},
		{"negative", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.CPUs = -1 }), []int{400}},
		{"malformed id", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.ID = "walk-000001" }), []int{400}},
		{"unknown rank", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Priority = "high" }), []int{400}},
		{"unknown team", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Team = "nobody" }), []int{422}},
		{"fits no machine", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.MemoryGB = 99 }), []int{422}},
		{"unknown machine type", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.MachineTypes = []string{"barge"} }), []int{422}},
		{"service over the limit", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 9 }), []int{422}},
		{"array over the limit", "POST", jobsPath, encodeChanged(func(j *wire.Job) { j.Tasks, j.DeadlineS = 9, &deadline }), []int{201}},
		{"unknown job", "GET", jobPath("run-999999"), nil, []int{404}},
		{"unknown job cancelled", "POST", cancelPath("run-999999"), nil, []int{404}},
		{"malformed id in the path", "GET", jobPath("walk"), nil, []int{404}},
		{"malformed heartbeat", "POST", heartbeatPath, []byte{0xa0}, []int{400}},
		{"health", "GET", healthPath, nil, []int{200}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := c.request(0, tc.method, tc.path, tc.body); !slices.Contains(tc.want, got.status) {
				t.Errorf("%d, want %v", got.status, tc.want)
			}
		})
	}
}

// While the key-value store refuses all requests, submissions, and queries and cancellations of a
// job whose state is not known, are answered with 503 and Retry-After. A query of a job that is
// known to have ended is still answered.
func TestStoreOutageIsReportedImmediately(t *testing.T) {
	c := startCluster(t, 1)
	ended := newJob(20, 1)
	c.simulation.UploadJob(ended, 0)
	c.submitUntilCreated(0, ended)
	c.waitUntilDone(0, ended.ID)
	c.simulation.StartKVStoreOutage()
	if got := c.query(0, ended.ID); got.status != http.StatusOK || got.view.State != wire.JobDone {
		t.Errorf("ended job: %d %q", got.status, got.view.State)
	}
	unsubmitted := newJob(21, 1)
	for _, tc := range []struct{ name, method, path string }{
		{"submission", http.MethodPost, jobsPath},
		{"query", http.MethodGet, jobPath(unsubmitted.ID)},
		{"cancellation", http.MethodPost, cancelPath(unsubmitted.ID)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := c.request(0, tc.method, tc.path, encodeSubmission(t, unsubmitted))
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("%d, Retry-After %q", got.status, got.header.Get("Retry-After"))
			}
			// Over a new connection, the user may reach another controller.
			if got.header.Get("Connection") != "close" {
				t.Error("the connection is kept open")
			}
		})
	}
	c.simulation.EndKVStoreOutage()
	c.eventually("an answered query", func() bool { return c.query(0, unsubmitted.ID).status == http.StatusNotFound })
	c.submitUntilAccepted(0, unsubmitted)
}

// A controller that starts during an outage of the cloud reads the machine types from the key-value
// store and accepts submissions.
func TestMachineTypesSurviveCloudOutage(t *testing.T) {
	c := startCluster(t, 2)
	job := newJob(30, 1)
	c.simulation.UploadJob(job, 0)
	c.submitUntilCreated(0, job)
	c.eventually("types in the key-value store", func() bool { return c.simulation.HasKey("type/box") })
	c.simulation.StartCloudOutage()
	c.restartController(1)
	c.submitUntilCreated(1, newJob(31, 1))
}

// If a single controller cannot reach the key-value store, it forwards requests to a peer.
func TestIsolatedControllerForwardsRequestsToPeer(t *testing.T) {
	c := startCluster(t, 2)
	job := newJob(40, 1)
	c.simulation.UploadJob(job, time.Hour)
	c.submitUntilCreated(0, job)
	closedListener := listenLoopback(t)
	closedListener.Close()
	storeSetting := regexp.MustCompile(`state = "[^"]*"`)
	c.settingsFiles[1] = storeSetting.ReplaceAllString(c.settingsFiles[1], fmt.Sprintf("state = %q", closedListener.Addr()))
	const isolated = 1
	c.restartController(isolated)
	other := newJob(41, 1)
	c.simulation.UploadJob(other, time.Hour)
	c.submitUntilAccepted(isolated, other)
	if got := c.query(isolated, job.ID); got.status != http.StatusOK || got.view.ID != job.ID {
		t.Errorf("query through the peer: %d %+v", got.status, got.view)
	}
	if got := c.cancel(isolated, other.ID); got.status != http.StatusOK || got.view.State != wire.JobCancelled {
		t.Errorf("cancellation through the peer: %d %+v", got.status, got.view)
	}
	if got := c.query(isolated, "run-999999"); got.status != http.StatusNotFound {
		t.Errorf("unknown job through the peer: %d", got.status)
	}
}
