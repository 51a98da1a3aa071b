package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Paths of the requests that upload a job to the simulator and submit it to a controller.
const (
	uploadPath = "/upload"
	submitPath = "/v2/runs"
)

type submitCommand struct {
	ID         string  `arg:"" help:"The job's id, such as run-000001."`
	Controller string  `name:"to" default:"127.0.0.1:8080" help:"A controller's address."`
	Simulator  string  `name:"site" default:"127.0.0.1:7000" help:"The simulator's address."`
	Team       string  `default:"crew" help:"The team."`
	Tasks      int     `default:"1" help:"How many tasks."`
	CPUs       float64 `name:"cpus" default:"1" help:"CPUs of each task."`
	Seconds    float64 `default:"5" help:"Run time of each task."`
	Service    bool    `help:"Tasks run until the job is cancelled."`
}

// Run uploads a job to the simulator, submits it to a controller and prints its state.
func (c submitCommand) Run() error {
	encoded, err := simulator.EncodeSubmission(c.job())
	if err != nil {
		return err
	}
	if _, err = post("http://"+c.Simulator+uploadPath, encoded); err != nil {
		return err
	}
	reply, err := post("http://"+c.Controller+submitPath, encoded)
	if err != nil {
		return err
	}
	var state wire.JobStateReply
	if err := wire.Unmarshal(reply, &state); err != nil {
		return fmt.Errorf("reply to the submission: %w", err)
	}
	fmt.Println(state.ID, state.State)
	return nil
}

func (c submitCommand) job() *wire.Job {
	job := &wire.Job{
		ID: c.ID, Class: "trial", Team: c.Team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: c.Tasks,
		CPUs: c.CPUs, MemoryGB: 1, Image: "img-1", ImageGB: 1, EstimatedRunS: c.Seconds,
	}
	if c.Service {
		job.Shape, job.Priority, job.EstimatedRunS = wire.ShapeService, wire.PriorityProduction, 0
	}
	return job
}

// post sends a body and returns the body of the reply. A status of 300 or above is an error.
func post(url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxBody))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", url, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var errorReply wire.ErrorReply
		_ = wire.Unmarshal(reply, &errorReply) // without a message, the error has only the status
		return nil, fmt.Errorf("%s: %s %s", url, response.Status, strings.TrimSpace(errorReply.Message))
	}
	return reply, nil
}
