package simulator

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	agentClientTimeout  = 4 * time.Second
	agentRetryDelay     = time.Second // at most, before the next controller is tried
	agentAdvanceStep    = 10 * time.Millisecond
	agentHeartbeatRoute = "/checkin"
)

// workerAgent serves a worker's interface over HTTP and sends its heartbeats.
type workerAgent struct {
	deployment  *Deployment
	worker      *Worker
	client      *http.Client
	controllers []string // names, in order
	current     int      // the controller that gets the next heartbeat
}

func newWorkerAgent(deployment *Deployment, worker *Worker) *workerAgent {
	agent := &workerAgent{deployment: deployment, worker: worker, client: &http.Client{Timeout: agentClientTimeout}}
	for name := range deployment.config.Controllers {
		agent.controllers = append(agent.controllers, name)
	}
	slices.Sort(agent.controllers)
	return agent
}

// run boots the machine, and serves and sends until it is terminated or the context ends.
func (a *workerAgent) run(ctx context.Context, listener net.Listener) {
	if !sleep(ctx, a.deployment.config.BootTime) {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", a.handleCommands)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for a.sendNext(ctx) {
	}
}

// handleCommands takes a direct call, and does not answer while the machine is
// partitioned.
func (a *workerAgent) handleCommands(w http.ResponseWriter, r *http.Request) {
	var commands wire.DirectCommands
	if readBody(r, &commands) != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	status, heartbeat, reachable := a.execute(commands)
	if !reachable {
		closeWithoutReply()
	}
	writeReply(w, status, heartbeat)
}

func (a *workerAgent) execute(commands wire.DirectCommands) (status int, heartbeat wire.Heartbeat, reachable bool) {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.worker.Terminated || d.faults.partitionedUntil[a.worker.Name] > d.now() {
		return 0, heartbeat, false
	}
	d.orders.CountCommands(a.worker.Name, commands.Commands)
	status, heartbeat = a.worker.HandleCommands(d.now(), commands)
	return status, heartbeat, true
}

// pendingHeartbeat is a heartbeat that is to be sent.
type pendingHeartbeat struct {
	heartbeat      wire.Heartbeat
	sentAt         time.Duration
	partitionedFor time.Duration // nothing can be sent before that has passed
	terminated     bool
}

func (a *workerAgent) prepareHeartbeat() pendingHeartbeat {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	a.worker.Advance(now)
	return pendingHeartbeat{
		heartbeat:      a.worker.Heartbeat(now),
		sentAt:         now,
		partitionedFor: d.faults.partitionedUntil[a.worker.Name] - now,
		terminated:     a.worker.Terminated,
	}
}

// sendNext sends a heartbeat and waits until the next is due. It returns false when
// there is none.
func (a *workerAgent) sendNext(ctx context.Context) bool {
	pending := a.prepareHeartbeat()
	switch {
	case pending.terminated || ctx.Err() != nil:
		return false
	case pending.partitionedFor > 0:
		sleep(ctx, pending.partitionedFor)
		return true
	}
	status, reply := a.post(ctx, pending.heartbeat)
	return a.awaitNextHeartbeat(ctx, a.handleReply(pending, status, reply))
}

// post sends a heartbeat to the current controller. The status is 0 without an answer.
func (a *workerAgent) post(ctx context.Context, heartbeat wire.Heartbeat) (status int, reply []byte) {
	encoded, err := wire.Marshal(heartbeat)
	if err != nil {
		panic(err) // message types always have a CBOR form
	}
	address := a.deployment.config.Controllers[a.controllers[a.current]]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+agentHeartbeatRoute, bytes.NewReader(encoded))
	if err != nil {
		panic(err) // addresses of controllers make valid URLs
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := a.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	reply, _ = io.ReadAll(response.Body)
	return response.StatusCode, reply
}

// handleReply takes the reply to a heartbeat, chooses the next controller, and returns
// the time until the next heartbeat.
func (a *workerAgent) handleReply(pending pendingHeartbeat, status int, reply []byte) time.Duration {
	interval := a.deployment.config.HeartbeatInterval
	switch status {
	case http.StatusOK:
		a.applyReply(pending, reply)
		return interval
	case http.StatusMisdirectedRequest:
		if a.followRedirect(reply) {
			return 0
		}
	}
	a.current = (a.current + 1) % len(a.controllers)
	return min(agentRetryDelay, interval)
}

func (a *workerAgent) applyReply(pending pendingHeartbeat, encoded []byte) {
	var reply wire.HeartbeatReply
	if wire.Unmarshal(encoded, &reply) != nil {
		return
	}
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders.CountCommands(a.worker.Name, reply.Commands)
	a.worker.HandleHeartbeatReply(d.now(), pending.sentAt, pending.heartbeat.Incarnation, reply)
}

// followRedirect makes the leader that a reply names the current controller. It returns
// false if the reply names none, or the one that sent it.
func (a *workerAgent) followRedirect(encoded []byte) bool {
	var redirect wire.Redirect
	_ = wire.Unmarshal(encoded, &redirect)
	leader := slices.Index(a.controllers, redirect.Leader)
	if leader < 0 || leader == a.current {
		return false
	}
	a.current = leader
	return true
}

// awaitNextHeartbeat waits for a delay, or less if a task changes its state. It returns
// false when the context ends.
func (a *workerAgent) awaitNextHeartbeat(ctx context.Context, delay time.Duration) bool {
	deadline := time.Now().Add(delay)
	for time.Now().Before(deadline) {
		if !sleep(ctx, agentAdvanceStep) {
			return false
		}
		if a.advance() {
			return true
		}
	}
	return ctx.Err() == nil
}

func (a *workerAgent) advance() (changed bool) {
	a.deployment.mu.Lock()
	defer a.deployment.mu.Unlock()
	return a.worker.Advance(a.deployment.now())
}
