package api_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	jobsPath      = "/v2/runs"
	heartbeatPath = "/checkin"
	healthPath    = "/healthz"
)

func jobPath(id string) string    { return jobsPath + "/" + id }
func cancelPath(id string) string { return jobPath(id) + "/withdraw" }
func jobID(n int) string          { return fmt.Sprintf("run-%06d", n) }

// newJob makes the small array job with the id jobID(n).
func newJob(n, tasks int) *wire.Job {
	return &wire.Job{
		ID: jobID(n), Class: "c", Team: testTeam, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1,
	}
}

func encodeSubmission(tb testing.TB, job *wire.Job) []byte {
	tb.Helper()
	body, err := simulator.EncodeSubmission(job)
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// reply is a controller's answer to a user. Status 0 means that there was no answer.
type reply struct {
	status int
	view   wire.JobView
	header http.Header
}

// request sends a request to controller i.
func (c *cluster) request(i int, method, path string, body []byte) reply {
	c.tb.Helper()
	request, err := http.NewRequest(method, "http://"+c.userAddrs[i]+path, bytes.NewReader(body))
	if err != nil {
		c.tb.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header}
	_ = wire.Unmarshal(raw, &got.view)
	if response.Close {
		got.header.Set("Connection", "close") // http.Client removes this header and sets Close instead
	}
	return got
}

func (c *cluster) post(i int, body []byte) reply {
	c.tb.Helper()
	return c.request(i, http.MethodPost, jobsPath, body)
}

func (c *cluster) submit(i int, job *wire.Job) reply {
	c.tb.Helper()
	return c.post(i, encodeSubmission(c.tb, job))
}

func (c *cluster) query(i int, id string) reply {
	c.tb.Helper()
	return c.request(i, http.MethodGet, jobPath(id), nil)
}

func (c *cluster) cancel(i int, id string) reply {
	c.tb.Helper()
	return c.request(i, http.MethodPost, cancelPath(id), nil)
}

// submitUntilCreated repeats a submission until a controller answers that it created the job. The
// job must not exist before.
func (c *cluster) submitUntilCreated(i int, job *wire.Job) {
	c.tb.Helper()
	c.eventually("acceptance", func() bool { return c.submit(i, job).status == http.StatusCreated })
}

// submitUntilAccepted repeats a submission until a controller answers that the job exists, whether
// this submission or an earlier one created it.
func (c *cluster) submitUntilAccepted(i int, job *wire.Job) {
	c.tb.Helper()
	c.eventually("acceptance", func() bool {
		status := c.submit(i, job).status
		return status == http.StatusCreated || status == http.StatusOK
	})
}

func (c *cluster) waitUntilDone(i int, id string) {
	c.tb.Helper()
	c.eventually("completion", func() bool { return c.query(i, id).view.State == wire.JobDone })
}

// getOperatorView sends an operator's query to controller i and returns the status, or 0 if there is
// no answer. It decodes a successful answer into view unless view is nil.
func (c *cluster) getOperatorView(i int, path string, view any) int {
	c.tb.Helper()
	response, err := http.Get("http://" + c.userAddrs[i] + api.OperatorPath + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK && view != nil {
		if err := json.Unmarshal(raw, view); err != nil {
			c.tb.Fatalf("%s: %v", path, err)
		}
	}
	return response.StatusCode
}
