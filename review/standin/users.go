//go:build review

package standin

import (
	"bytes"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Job is a job of a user.
type Job struct {
	ID, Class, Team, Shape, Rank string
	Tasks                        int
	CPUs, MemoryGB               float64
	Image                        string
	ImageGB                      float64
	Spread, Spot                 bool
	Run                          time.Duration // of each task; unused for services
}

// runOf returns how long a task runs: as the estimate says, or up to two fifths less or more.
func (j *Job) runOf(task string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return time.Duration(float64(j.Run) * (0.6 + 0.8*float64(hash.Sum32()%1000)/1000))
}

func (j *Job) message() Map {
	reckon := j.Run.Seconds()
	if j.Shape == "daemon" {
		reckon = 0.0
	}
	return Map{
		"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Rank, "shifts": j.Tasks, "cpus": j.CPUs, "gpus": 0.0,
		"memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB, "breeds": nil, "pasture": nil, "together": false,
		"scatter": j.Spread, "loaners": j.Spot, "reckon_s": reckon, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil,
	}
}

// Users sends the requests of users, each over a new connection to the next controller, as a load
// balancer would.
type Users struct {
	record    *Record
	addresses []string
	next      atomic.Uint64
}

// NewUsers returns users of the controllers at these addresses.
func NewUsers(record *Record, addresses []string) *Users {
	return &Users{record: record, addresses: addresses}
}

// call sends one request; status 0 means that no answer came in time.
func (u *Users) call(method, path string, body []byte, timeout time.Duration) (status int, answer Map, retryAfter time.Duration) {
	return u.CallAt(u.addresses[u.next.Add(1)%uint64(len(u.addresses))], method, path, body, timeout)
}

// CallAt sends one request to an address.
func (u *Users) CallAt(address, method, path string, body []byte, timeout time.Duration) (status int, answer Map, retryAfter time.Duration) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	answer = Map{}
	_ = Decode(raw, &answer)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, answer, time.Duration(seconds) * time.Second
}

// Submit submits a job, with retries as the protocol page has them, and reports whether it was
// accepted.
func (u *Users) Submit(job *Job) bool {
	body := Encode(job.message())
	for begun := time.Now(); time.Since(begun) < 60*time.Second; {
		status, answer, retryAfter := u.call(http.MethodPost, "/v2/runs", body, 5*time.Second)
		u.record.Logf("user: submit %s (%d tasks): %d %v", job.ID, job.Tasks, status, answer)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(max(time.Second, retryAfter))
	}
	return false
}

// Withdraw cancels a job, with retries, and returns the answer's standing, or "".
func (u *Users) Withdraw(id string) string {
	for begun := time.Now(); time.Since(begun) < 60*time.Second; {
		status, answer, retryAfter := u.call(http.MethodPost, "/v2/runs/"+id+"/withdraw", nil, 5*time.Second)
		u.record.Logf("user: withdraw %s: %d %v", id, status, answer)
		if status == 200 {
			return text(answer["standing"])
		}
		time.Sleep(max(time.Second, retryAfter))
	}
	return ""
}

// Poll asks about a job once. The standing is "" without an answer, and "404" if it is unknown.
func (u *Users) Poll(id string) (standing string, done, running int) {
	status, answer, _ := u.call(http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	u.record.Logf("user: ask %s: %d %v", id, status, answer)
	switch status {
	case 200:
		return text(answer["standing"]), int(count(answer["done"])), int(count(answer["running"]))
	case 404:
		return "404", 0, 0
	}
	return "", 0, 0
}
