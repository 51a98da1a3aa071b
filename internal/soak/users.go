package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Behaviour of users.
const (
	userTimeout  = 5 * time.Second
	userInterval = 150 * time.Millisecond // mean pause between two requests of a user
	maxRunTime   = 6 * time.Second        // of a task
	maxTasks     = 4
	serviceShare = 0.1
	// A request is a submission with submitShare, its repetition with repeatShare, a cancellation
	// with cancelShare, and otherwise a query.
	submitShare = 0.12
	repeatShare = 0.1
	cancelShare = 0.05
	// balancedShare is the share of requests that go through the load balancer; the others go to a
	// controller directly.
	balancedShare = 0.5
	// pollInterval is the pause between two rounds of queries about all jobs through the load balancer.
	pollInterval = 2 * time.Second
	pollers      = 8 // queries of such a round at once
)

// throughBalancer stands for the load balancer in place of a controller's index.
const throughBalancer = -1

// userJob is what the users know about a job.
type userJob struct {
	id         string
	submission []byte
	service    bool

	mu       sync.Mutex // guards the fields below
	accepted bool
	state    string // as last told, final states stay
	// answeredAfterFaults is set for each controller, and for the load balancer, that has answered a
	// query sent after the last fault had ended.
	answeredAfterFaults map[int]bool
}

func (j *userJob) ended() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state == wire.JobDone || j.state == wire.JobCancelled
}

// users submit jobs, ask about them and cancel some, at all controllers.
type users struct {
	cluster    *cluster
	trace      func(format string, args ...any)
	unanswered *unansweredTimes

	mu         sync.Mutex // guards the fields below
	jobs       []*userJob
	submitting bool // whether new jobs are submitted
	faultsOver bool
	requests   int
	answered   int
}

// run sends requests of one user until ctx ends.
func (u *users) run(ctx context.Context, rng *rand.Rand) {
	for simulator.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(userInterval))) {
		u.sendRandom(ctx, rng)
	}
}

func (u *users) sendRandom(ctx context.Context, rng *rand.Rand) {
	controller := rng.IntN(len(u.cluster.userAddrs))
	if rng.Float64() < balancedShare {
		controller = throughBalancer
	}
	job, isNew := u.chooseJob(rng)
	if job == nil {
		return
	}
	share := rng.Float64()
	switch {
	case isNew:
		u.submit(ctx, controller, job)
	case share < repeatShare:
		u.submit(ctx, controller, job)
	case share < repeatShare+cancelShare && u.isSubmitting():
		u.cancel(ctx, controller, job)
	default:
		u.query(ctx, controller, job)
	}
}

func (u *users) isSubmitting() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.submitting
}

// chooseJob returns a new job, or one of the existing ones, recent ones more often.
func (u *users) chooseJob(rng *rand.Rand) (job *userJob, isNew bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.submitting && (len(u.jobs) == 0 || rng.Float64() < submitShare) {
		job := u.newJob(rng)
		u.jobs = append(u.jobs, job)
		return job, true
	}
	if len(u.jobs) == 0 {
		return nil, false
	}
	recent := 1 - rng.Float64()*rng.Float64()
	return u.jobs[int(recent*float64(len(u.jobs)-1))], false
}

// newJob draws a job and uploads its description to the workers. The caller holds u.mu.
func (u *users) newJob(rng *rand.Rand) *userJob {
	job := &wire.Job{
		ID: fmt.Sprintf("run-%06d", len(u.jobs)+1), Class: "c", Team: team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: 1 + rng.IntN(maxTasks), CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", rng.IntN(4)), ImageGB: 0.5,
		Spot: rng.IntN(2) == 0, EstimatedRunS: 3,
	}
	service := rng.Float64() < serviceShare
	if service {
		job.Shape, job.Priority, job.EstimatedRunS = wire.ShapeService, wire.PriorityProduction, 0
	}
	u.cluster.simulation.UploadJob(job, time.Duration(rng.Float64()*float64(maxRunTime)))
	submission, err := simulator.EncodeSubmission(job)
	if err != nil {
		panic(err) // unreachable: every job can be encoded
	}
	return &userJob{id: job.ID, submission: submission, service: service, answeredAfterFaults: map[int]bool{}}
}

func (u *users) submit(ctx context.Context, controller int, job *userJob) {
	asked := u.send(ctx, controller, http.MethodPost, jobsPath, job.submission)
	u.check(job, asked, func(now time.Duration, checker *simulator.RuleChecker) {
		switch asked.status {
		case http.StatusOK, http.StatusCreated:
			checker.QueryAnswered(asked.sentAt, now, job.id, asked.state)
		default:
			checker.SubmissionRefused(now, job.id, asked.status)
		}
	})
}

func (u *users) cancel(ctx context.Context, controller int, job *userJob) {
	if !job.isAccepted() {
		return
	}
	u.cluster.simulation.Check(func(_ time.Duration, checker *simulator.RuleChecker) { checker.CancelRequested(job.id) })
	asked := u.send(ctx, controller, http.MethodPost, jobsPath+"/"+job.id+"/withdraw", nil)
	u.check(job, asked, func(now time.Duration, checker *simulator.RuleChecker) {
		switch asked.status {
		case http.StatusOK:
			checker.QueryAnswered(asked.sentAt, now, job.id, asked.state)
		case http.StatusNotFound:
			checker.QueryAnswered(asked.sentAt, now, job.id, "")
		}
	})
}

func (u *users) query(ctx context.Context, controller int, job *userJob) {
	asked := u.send(ctx, controller, http.MethodGet, jobsPath+"/"+job.id, nil)
	answered := asked.isAnswer()
	u.check(job, asked, func(now time.Duration, checker *simulator.RuleChecker) {
		if !answered {
			checker.PollFailed(now, job.id)
			return
		}
		checker.PollAnswered(now, job.id)
		checker.QueryAnswered(asked.sentAt, now, job.id, asked.state)
	})
	if controller == throughBalancer && ctx.Err() == nil && job.isAccepted() {
		u.recordPoll(job, asked)
	}
	u.mu.Lock()
	u.requests++
	if answered {
		u.answered++
	}
	faultsOver := u.faultsOver && asked.afterFaults
	u.mu.Unlock()
	if answered && faultsOver {
		job.mu.Lock()
		job.answeredAfterFaults[controller] = true
		job.mu.Unlock()
	}
}

// recordPoll records the outcome of a query through the load balancer.
func (u *users) recordPoll(job *userJob, asked userAnswer) {
	u.cluster.simulation.Check(func(now time.Duration, _ *simulator.RuleChecker) {
		if asked.isAnswer() {
			u.unanswered.answered(now, job.id)
		} else {
			u.unanswered.failed(now, job.id)
		}
	})
}

// check reports an answer to the rule checker and records the state that it told.
func (u *users) check(job *userJob, asked userAnswer, report func(now time.Duration, checker *simulator.RuleChecker)) {
	u.cluster.simulation.Check(report)
	if asked.status != http.StatusOK && asked.status != http.StatusCreated {
		return
	}
	u.unanswered.accepted(asked.sentAt, job.id)
	job.mu.Lock()
	defer job.mu.Unlock()
	job.accepted = true
	if job.state != wire.JobDone && job.state != wire.JobCancelled {
		job.state = asked.state
	}
}

func (j *userJob) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// userAnswer is the answer to a user's request. Status 0 means that there was none.
type userAnswer struct {
	sentAt      time.Duration // on the simulation's clock
	afterFaults bool          // whether the request was sent after the last fault
	status      int
	state       string
}

// isAnswer reports whether the answer tells the state of a job.
func (a userAnswer) isAnswer() bool {
	return a.status == http.StatusOK || a.status == http.StatusNotFound
}

func (u *users) send(ctx context.Context, controller int, method, path string, body []byte) (asked userAnswer) {
	u.mu.Lock()
	asked.afterFaults = u.faultsOver
	u.mu.Unlock()
	u.cluster.simulation.Check(func(now time.Duration, _ *simulator.RuleChecker) { asked.sentAt = now })
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.addr(controller)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // unreachable: the address is valid
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := u.cluster.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		var reply wire.JobView
		raw, readErr := io.ReadAll(io.LimitReader(response.Body, wire.MaxBody))
		if readErr == nil {
			_ = wire.Unmarshal(raw, &reply) // errors have no state
			asked.status, asked.state = response.StatusCode, reply.State
		}
	}
	u.trace("%s %s at controller %d, sent at %.3f s: %d %s", method, path, controller, asked.sentAt.Seconds(), asked.status, asked.state)
	return asked
}

// addr returns the address of a controller or of the load balancer.
func (u *users) addr(controller int) string {
	if controller == throughBalancer {
		return u.cluster.balancer.Addr()
	}
	return u.cluster.userAddrs[controller]
}

// pollAll queries all accepted jobs through the load balancer at intervals, until ctx ends.
func (u *users) pollAll(ctx context.Context) {
	for simulator.Sleep(ctx, pollInterval) {
		u.mu.Lock()
		jobs := append([]*userJob(nil), u.jobs...)
		u.mu.Unlock()
		var polls sync.WaitGroup
		slots := make(chan struct{}, pollers)
		for _, job := range jobs {
			if !job.isAccepted() {
				continue
			}
			slots <- struct{}{}
			polls.Go(func() {
				defer func() { <-slots }()
				u.query(ctx, throughBalancer, job)
			})
		}
		polls.Wait()
	}
}

// endSubmissions stops new submissions and cancellations and marks the end of the last fault.
func (u *users) endSubmissions() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.submitting, u.faultsOver = false, true
}

// queryPending asks about every accepted job at each controller that has not answered a query for it
// after the faults, or at one if the job has not ended.
func (u *users) queryPending(ctx context.Context, rng *rand.Rand) {
	u.mu.Lock()
	jobs := append([]*userJob(nil), u.jobs...)
	u.mu.Unlock()
	for _, job := range jobs {
		if !job.isAccepted() {
			continue
		}
		for controller := range u.cluster.userAddrs {
			if !job.answeredBy(controller) {
				u.query(ctx, controller, job)
			}
		}
		if !job.ended() {
			u.query(ctx, rng.IntN(len(u.cluster.userAddrs)), job)
		}
	}
}

func (j *userJob) answeredBy(controller int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answeredAfterFaults[controller]
}

// pending describes the accepted jobs for which something is still to happen after the faults: an
// answer at each controller and through the load balancer, and the end of a job that is no service.
func (u *users) pending() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var pending []string
	for _, job := range u.jobs {
		if !job.isAccepted() {
			continue
		}
		job.mu.Lock()
		answers, state := len(job.answeredAfterFaults), job.state
		job.mu.Unlock()
		if answers < len(u.cluster.userAddrs)+1 || !job.ended() && !(job.service && state == wire.JobRunning) {
			pending = append(pending, fmt.Sprintf("%s: %s, answered in %d ways after the faults", job.id, state, answers))
		}
	}
	return pending
}
