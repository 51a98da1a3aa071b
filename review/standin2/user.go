//go:build review

package standin2

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Answer is the answer to a user's request; Status 0: there was none.
type Answer struct {
	Status int
	View   wire.JobView
}

// user sends requests, each over a connection of its own.
func (d *Deployment) request(node int, method, path string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Nodes[node].bind+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // a stand-in made an address that is none
	}
	request.Close = true
	request.Header.Set("Content-Type", wire.ContentType)
	var answer Answer
	if response, err := http.DefaultClient.Do(request); err == nil {
		defer response.Body.Close()
		if raw, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes)); err == nil {
			answer.Status = response.StatusCode
			_ = wire.Unmarshal(raw, &answer.View) // errors have no state
		}
	}
	d.record.Printf("user: %s %s at %s: %d %s %d done, %d running", method, path, d.Nodes[node].Name, answer.Status, answer.View.State, answer.View.Done, answer.View.Running)
	return answer
}

// submission is a job as a user sends it.
type submission struct {
	wire.Job
	MachineTypes []string `cbor:"breeds"`
	Zone         *string  `cbor:"pasture"`
	SameZone     bool     `cbor:"together"`
	SpreadZones  bool     `cbor:"scatter"`
	Spot         bool     `cbor:"loaners"`
}

// Submit uploads a job and submits it once.
func (d *Deployment) Submit(node int, job *wire.Job) Answer {
	d.Upload(job)
	message := submission{Job: *job, MachineTypes: job.MachineTypes, SameZone: job.SameZone, SpreadZones: job.SpreadZones, Spot: job.Spot}
	if job.Zone != "" {
		message.Zone = &job.Zone
	}
	body, err := wire.Marshal(message)
	if err != nil {
		panic(err) // a case made a job that cannot be encoded
	}
	d.record.Printf("user: submits %s: %d tasks of %s, team %s", job.ID, job.Tasks, job.Class, job.Team)
	return d.request(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
}

// SubmitUntilAccepted submits a job at the controllers in turn, as a load balancer would, until it is
// accepted. It reports whether that happened in time.
func (d *Deployment) SubmitUntilAccepted(job *wire.Job, within time.Duration) bool {
	for node, end := 0, time.Now().Add(within); time.Now().Before(end); node = (node + 1) % len(d.Nodes) {
		if answer := d.Submit(node, job); answer.Status == http.StatusOK || answer.Status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll asks about a job once.
func (d *Deployment) Poll(node int, id string) Answer {
	return d.request(node, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
}

// Withdraw asks to cancel a job once.
func (d *Deployment) Withdraw(node int, id string) Answer {
	return d.request(node, http.MethodPost, "/v2/runs/"+id+"/withdraw", nil, 5*time.Second)
}
