//go:build review

package standin2

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Times of the worker protocol.
const (
	reportTimeout = 4 * time.Second
	retryDelay    = time.Second
	minReportGap  = 500 * time.Millisecond
	workerStep    = 10 * time.Millisecond
	// CauseLeaseOver is the cause of the end of a task whose worker killed it when its lease was over.
	CauseLeaseOver = "killed: lease over"
)

// WorkerTimes are the times that the settings give to workers.
type WorkerTimes struct {
	Report, Lease time.Duration
}

type taskKey struct {
	task    string
	attempt uint64
}

// task is an attempt on a worker.
type task struct {
	state, cause string
	saved        bool
	nextAt       time.Time // when the image is there, the task completes or has saved
}

// worker reports to the controllers and runs tasks. All its state is guarded by mu.
type worker struct {
	machine    *Machine
	times      WorkerTimes
	deployment *Deployment
	order      []string          // names of the controllers
	addrs      map[string]string // their addresses, as this worker reaches them
	clients    map[string]*http.Client
	server     *http.Server
	ended      context.CancelFunc

	mu         sync.Mutex
	gone       bool
	tenure     uint64
	tick       uint64
	token      uint64
	renewedAt  time.Time // when the last answered report was sent, or the session began
	tasks      map[taskKey]*task
	images     map[string]time.Time // when each image is there
	changed    bool
	controller int // index of the controller to which it reports
}

// startWorker starts the worker of a machine once that is up.
func startWorker(d *Deployment, m *Machine) *worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{
		machine: m, times: d.config.Workers, deployment: d, order: d.nodeNames(), addrs: map[string]string{},
		clients: map[string]*http.Client{}, ended: cancel, tenure: 1, tasks: map[taskKey]*task{}, images: map[string]time.Time{},
	}
	for i, name := range w.order {
		w.addrs[name] = d.workerLinks[i][m.Zone].Addr()
		w.clients[name] = &http.Client{Timeout: reportTimeout}
	}
	w.controller = rand.IntN(len(w.order)) //nolint:gosec // no secret
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	mux.HandleFunc("GET /show", func(response http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeMessage(response, http.StatusOK, w.report())
	})
	addr, server, err := serveHTTP(w.whenUp(mux))
	if err != nil {
		panic(err) // the loopback interface is not available
	}
	m.Address, w.server = addr, server
	go w.run(ctx)
	return w
}

// whenUp leaves requests unanswered that arrive before the machine is up, resets those of a controller
// that is cut from the workers, and delays those that a partition holds.
func (w *worker) whenUp(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(time.Until(w.machine.upAt)):
		case <-r.Context().Done():
			return
		}
		if w.deployment.directCallsCut() {
			panic(http.ErrAbortHandler) // resets the connection
		}
		if end := w.deployment.directCallHeldUntil(w.machine); end != nil {
			<-end
		}
		handler.ServeHTTP(response, r)
	})
}

func (w *worker) run(ctx context.Context) {
	if !sleep(ctx, time.Until(w.machine.upAt)) {
		return
	}
	w.mu.Lock()
	w.renewedAt = time.Now()
	w.mu.Unlock()
	go func() {
		for sleep(ctx, workerStep) {
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
	}()
	for ctx.Err() == nil {
		sentAt := time.Now()
		next := w.sendReport(ctx)
		for sleep(ctx, workerStep) {
			w.mu.Lock()
			changed := w.changed
			w.mu.Unlock()
			since := time.Since(sentAt)
			if since >= next || changed && next > retryDelay && since >= minReportGap {
				break
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// sendReport sends a report and returns how long after it the next one is due.
func (w *worker) sendReport(ctx context.Context) (next time.Duration) {
	w.mu.Lock()
	w.advance(time.Now())
	report, sentAt := w.report(), time.Now()
	w.changed = false
	name := w.order[w.controller]
	w.mu.Unlock()
	status, body := post(ctx, w.clients[name], "http://"+w.addrs[name]+"/checkin", report)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case http.StatusOK:
		var reply wire.HeartbeatReply
		if wire.Unmarshal(body, &reply) == nil && report.Incarnation == w.tenure && time.Since(sentAt) <= reportTimeout {
			w.acceptReply(sentAt, &reply)
		}
		return time.Duration((0.75 + 0.5*rand.Float64()) * float64(w.times.Report)) //nolint:gosec // no secret
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		_ = wire.Unmarshal(body, &redirect)
		if leader := slices.Index(w.order, redirect.Leader); leader >= 0 && leader != w.controller {
			w.clients[name].CloseIdleConnections()
			w.controller = leader
			return time.Since(sentAt) + time.Duration(rand.Int64N(int64(minReportGap))) //nolint:gosec // no secret
		}
	}
	w.controller = (w.controller + 1) % len(w.order)
	return time.Since(sentAt) + retryDelay
}

// post sends a message and returns the status of the answer; 0 if there is none.
func post(ctx context.Context, client *http.Client, url string, message any) (status int, body []byte) {
	encoded, err := wire.Marshal(message)
	if err != nil {
		panic(err) // a stand-in made a message that cannot be encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		panic(err) // a stand-in made an address that is none
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// acceptReply executes the commands of an answer and renews the lease, unless its token is lower
// than the highest one seen.
func (w *worker) acceptReply(sentAt time.Time, reply *wire.HeartbeatReply) {
	if reply.FencingToken < w.token {
		return
	}
	w.seeToken(reply.FencingToken)
	w.renewedAt = sentAt
	w.execute(reply.Commands)
}

func (w *worker) seeToken(token uint64) {
	if token > w.token {
		w.token, w.changed = token, true
	}
}

func (w *worker) handleCommands(response http.ResponseWriter, r *http.Request) {
	var request wire.DirectCommands
	if err := readMessage(r, &request); err != nil || request.FencingToken == 0 || request.Incarnation == 0 {
		writeError(response, http.StatusBadRequest, "malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.advance(time.Now())
	if request.FencingToken < w.token || request.Incarnation != w.tenure {
		writeMessage(response, http.StatusConflict, w.report())
		return
	}
	w.seeToken(request.FencingToken)
	w.execute(request.Commands)
	writeMessage(response, http.StatusOK, w.report())
}

// report makes the next report.
func (w *worker) report() *wire.Heartbeat {
	w.tick++
	report := &wire.Heartbeat{
		Machine: w.machine.Name, Address: w.machine.Address, Type: w.machine.Type.Name, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.tenure, Sequence: w.tick, FencingToken: w.token, Tasks: []wire.TaskStatus{},
	}
	for _, key := range w.sortedTasks() {
		t := w.tasks[key]
		report.Tasks = append(report.Tasks, wire.TaskStatus{Task: key.task, Attempt: key.attempt, State: t.state, Cause: t.cause, Checkpointed: t.saved})
	}
	return report
}

func (w *worker) sortedTasks() []taskKey {
	return slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

func (w *worker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := taskKey{command.Task, command.Attempt}
		switch t := w.tasks[key]; {
		case command.Verb == wire.VerbRun && t == nil:
			w.start(key)
		case command.Verb == wire.VerbStop && t != nil && t.state != wire.TaskExited:
			w.halt(key, t, command.GracePeriodS)
		case command.Verb == wire.VerbForget && t != nil && t.state == wire.TaskExited:
			delete(w.tasks, key)
			w.changed = true
		}
	}
}

func (w *worker) start(key taskKey) {
	w.changed = true
	t := &task{state: wire.TaskExited}
	job := w.deployment.jobOf(key.task)
	free := resources{w.machine.Type.CPUs, w.machine.Type.MemoryGB}
	for other, running := range w.tasks {
		if running.state == wire.TaskExited {
			continue
		}
		if other.task == key.task {
			t.cause = wire.CauseDuplicate
		}
		otherJob := w.deployment.jobOf(other.task)
		free.cpus -= otherJob.CPUs
		free.memoryGB -= otherJob.MemoryGB
	}
	switch {
	case job == nil:
		t.cause = wire.CauseUnknown
	case t.cause == "" && (job.CPUs > free.cpus+1e-6 || job.MemoryGB > free.memoryGB+1e-6):
		t.cause = wire.CauseNoCapacity
	case t.cause == "":
		ready, known := w.images[job.Image]
		if !known {
			ready = time.Now().Add(time.Duration(job.ImageGB / w.machine.Type.FetchGBPerS * float64(time.Second)))
			w.images[job.Image] = ready
		}
		t.state, t.nextAt = wire.TaskFetching, ready
	}
	w.tasks[key] = t
	if t.cause != "" {
		w.deployment.record.Printf("%s: refuses %s attempt %d: %s", w.machine.Name, key.task, key.attempt, t.cause)
	}
}

type resources struct{ cpus, memoryGB float64 }

func (w *worker) halt(key taskKey, t *task, graceS *float64) {
	w.changed = true
	job := w.deployment.jobOf(key.task)
	if t.state == wire.TaskRunning && job.CheckpointIntervalS > 0 && graceS != nil && *graceS >= job.CheckpointSaveS {
		t.state, t.nextAt = wire.TaskCheckpointing, time.Now().Add(time.Duration(job.CheckpointSaveS*float64(time.Second)))
		return
	}
	if t.state == wire.TaskCheckpointing && graceS != nil && *graceS > 0 {
		return
	}
	w.exit(key, t, wire.CauseStopped)
}

// exit ends a task that may be on the machine.
func (w *worker) exit(key taskKey, t *task, cause string) {
	if t.state != wire.TaskFetching {
		w.deployment.taskEnded(w.machine, key, cause)
	}
	t.state, t.cause, w.changed = wire.TaskExited, cause, true
}

// advance brings the worker up to now: it ends the session if its lease is over, and lets tasks
// start, complete and end saving.
func (w *worker) advance(now time.Time) {
	if w.gone {
		return
	}
	if now.Sub(w.renewedAt) > w.times.Lease {
		w.endSession(now)
	}
	for _, key := range w.sortedTasks() {
		t := w.tasks[key]
		if t.state == wire.TaskExited || now.Before(t.nextAt) {
			continue
		}
		switch t.state {
		case wire.TaskFetching:
			t.state, w.changed = wire.TaskRunning, true
			t.nextAt = w.deployment.taskStarted(w.machine, key, now)
		case wire.TaskRunning:
			w.exit(key, t, wire.CauseDone)
		case wire.TaskCheckpointing:
			t.saved = true
			w.exit(key, t, wire.CauseStopped)
		}
	}
}

// endSession kills and forgets all tasks.
func (w *worker) endSession(now time.Time) {
	w.deployment.record.Printf("%s: lease over, session %d ends with %d tasks", w.machine.Name, w.tenure, len(w.tasks))
	for _, key := range w.sortedTasks() {
		if t := w.tasks[key]; t.state != wire.TaskExited {
			w.exit(key, t, CauseLeaseOver)
		}
	}
	clear(w.tasks)
	w.tenure, w.renewedAt, w.changed = w.tenure+1, now, true
}

// stop ends the machine with everything on it.
func (w *worker) stop() {
	w.ended()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, key := range w.sortedTasks() {
		if t := w.tasks[key]; t.state != wire.TaskExited {
			w.exit(key, t, "machine gone")
		}
	}
	clear(w.tasks)
}
