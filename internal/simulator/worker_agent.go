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
	agentClientTimeout  = 4 * time.Second       // time limit for a heartbeat and its reply
	agentRetryDelay     = time.Second           // maximum delay before the next controller is tried
	agentAdvanceStep    = 10 * time.Millisecond // how often the worker's tasks are simulated
	agentHeartbeatRoute = "/checkin"
)

// workerAgent serves the HTTP interface of a worker and sends the worker's heartbeats.
type workerAgent struct {
	deployment        *Deployment
	worker            *Worker
	client            *http.Client
	controllers       []string // sorted names
	currentController int      // index in controllers of the one that receives the next heartbeat
}

func newWorkerAgent(deployment *Deployment, worker *Worker) *workerAgent {
	agent := &workerAgent{deployment: deployment, worker: worker, client: &http.Client{Timeout: agentClientTimeout}}
	for name := range deployment.config.Controllers {
		agent.controllers = append(agent.controllers, name)
	}
	slices.Sort(agent.controllers)
	return agent
}

// run waits for the machine to boot, then serves direct commands and sends heartbeats until the
// machine is terminated or the context ends.
func (a *workerAgent) run(ctx context.Context, listener net.Listener) {
	if !Sleep(ctx, a.deployment.config.BootTime) {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", a.handleCommands)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	for a.sendNextHeartbeat(ctx) {
	}
}

// handleCommands executes the commands of a direct call. It sends no reply if the machine is
// terminated or partitioned.
func (a *workerAgent) handleCommands(w http.ResponseWriter, r *http.Request) {
	var commands wire.DirectCommands
	if readBody(r, &commands) != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	if a.executeLate(commands) {
		closeWithoutReply()
	}
	status, heartbeat, reachable := a.execute(commands)
	if !reachable {
		closeWithoutReply()
	}
	writeReply(w, status, heartbeat)
}

// executeLate reports whether the commands are delayed, and then executes them after the delay.
func (a *workerAgent) executeLate(commands wire.DirectCommands) bool {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.commandDelay == nil {
		return false
	}
	delay, delayed := d.faults.commandDelay()
	if delayed {
		time.AfterFunc(delay, func() { a.execute(commands) })
	}
	return delayed
}

func (a *workerAgent) execute(commands wire.DirectCommands) (status int, heartbeat wire.Heartbeat, reachable bool) {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.worker.Terminated || d.unreachableUntil(a.worker.Name) > d.now() {
		return 0, heartbeat, false
	}
	d.operations.CountCommands(a.worker.Name, commands.Commands)
	status, heartbeat = a.worker.HandleCommands(d.now(), commands)
	return status, heartbeat, true
}

// pendingHeartbeat is the next heartbeat, with the conditions for sending it.
type pendingHeartbeat struct {
	heartbeat      wire.Heartbeat
	sentAt         time.Duration
	partitionedFor time.Duration // remaining time of the machine's partition or hang; 0 or less: none
	terminated     bool          // whether the machine is terminated
}

func (a *workerAgent) prepareHeartbeat() pendingHeartbeat {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.advance(a.worker, now)
	return pendingHeartbeat{
		heartbeat:      a.worker.Heartbeat(now),
		sentAt:         now,
		partitionedFor: d.unreachableUntil(a.worker.Name) - now,
		terminated:     a.worker.Terminated,
	}
}

// sendNextHeartbeat sends a heartbeat and waits until the next one is due. It returns false if the
// machine is terminated or the context has ended.
func (a *workerAgent) sendNextHeartbeat(ctx context.Context) bool {
	pending := a.prepareHeartbeat()
	switch {
	case pending.terminated || ctx.Err() != nil:
		return false
	case pending.partitionedFor > 0:
		return a.awaitNextHeartbeat(ctx, pending.partitionedFor)
	}
	a.repeatLate(ctx, pending.heartbeat)
	status, reply := a.postHeartbeat(ctx, a.currentController, pending.heartbeat)
	return a.awaitNextHeartbeat(ctx, a.handleReply(pending, status, reply))
}

// repeatLate sends copies of a heartbeat to all controllers after a delay, if that is injected. Their
// replies are dropped.
func (a *workerAgent) repeatLate(ctx context.Context, heartbeat wire.Heartbeat) {
	d := a.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.heartbeatRepeat == nil {
		return
	}
	if delay, repeat := d.faults.heartbeatRepeat(); repeat {
		time.AfterFunc(delay, func() {
			for controller := range a.controllers {
				a.postHeartbeat(ctx, controller, heartbeat)
			}
		})
	}
}

// postHeartbeat sends a heartbeat to a controller. The status is 0 if no reply arrives.
func (a *workerAgent) postHeartbeat(ctx context.Context, controller int, heartbeat wire.Heartbeat) (status int, reply []byte) {
	encoded, err := wire.Marshal(heartbeat)
	if err != nil {
		panic(err) // unreachable: every message type can be encoded as CBOR
	}
	address := a.deployment.config.Controllers[a.controllers[controller]]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+agentHeartbeatRoute, bytes.NewReader(encoded))
	if err != nil {
		panic(err) // the address of a controller is not valid in a URL
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

// handleReply processes the reply to a heartbeat, chooses the controller that receives the next
// heartbeat, and returns the time until that heartbeat.
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
	a.currentController = (a.currentController + 1) % len(a.controllers)
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
	d.operations.CountCommands(a.worker.Name, reply.Commands)
	a.worker.HandleHeartbeatReply(d.now(), pending.sentAt, pending.heartbeat.Incarnation, reply)
}

// followRedirect makes the leader that is named in a reply the current controller. It returns
// false if the reply names no known controller, or the controller that sent the reply.
func (a *workerAgent) followRedirect(encoded []byte) bool {
	var redirect wire.Redirect
	_ = wire.Unmarshal(encoded, &redirect)
	leader := slices.Index(a.controllers, redirect.Leader)
	if leader < 0 || leader == a.currentController {
		return false
	}
	a.currentController = leader
	return true
}

// awaitNextHeartbeat waits for a delay, but no longer than until the state of a task changes. It
// returns false once the context ends.
func (a *workerAgent) awaitNextHeartbeat(ctx context.Context, delay time.Duration) bool {
	deadline := time.Now().Add(delay)
	for time.Now().Before(deadline) {
		if !Sleep(ctx, agentAdvanceStep) {
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
	return a.deployment.advance(a.worker, a.deployment.now())
}
