package simulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Worker is a stand-in for the program on one machine.
type Worker struct {
	Name, Type, Zone, Address string
	Spot                      bool
	MachineType               wire.MachineType
	FencingToken              uint64
	Incarnation, Sequence     uint64
	Terminated                bool

	checker          *RuleChecker
	leaseDuration    time.Duration
	leaseRenewedAt   time.Duration // when the last answered report was sent
	advancedTo       time.Duration // the time that it was brought to
	interruptionAt   time.Duration // when the cloud takes the machine away, if it says so
	tasks            map[attempt]*taskStatus
	cachedImages     []string           // cached, the most recently used last
	imageSizesGB     map[string]float64 // GB of the cached images
	remainingFetchGB map[string]float64 // GB to go of the images that are being fetched
	runTime          func(task string) time.Duration
	taskFails        func(task string) bool
}

// attempt is one attempt of a task. A worker may list several of a task: ended ones,
// refused ones, and one at most that is on the machine.
type attempt struct {
	task   string
	number uint64
}

type taskStatus struct {
	state        string
	exitCause    string
	checkpointed bool
	endsAt       time.Duration // end of the run or the save
}

// NewWorker makes a worker that begins at now. runFor gives a task's run time,
// and fails whether it fails here.
func NewWorker(now time.Duration, lease time.Duration, name string, mt wire.MachineType, zone string, spot bool, rules *RuleChecker, runFor func(string) time.Duration, fails func(string) bool) *Worker {
	return &Worker{Name: name, Type: mt.Name, Zone: zone, Address: name + ":9000", Spot: spot, MachineType: mt, Incarnation: 1,
		checker: rules, leaseDuration: lease, leaseRenewedAt: now, advancedTo: now, tasks: map[attempt]*taskStatus{}, imageSizesGB: map[string]float64{}, remainingFetchGB: map[string]float64{}, runTime: runFor, taskFails: fails}
}

// Advance brings the worker to the time now and says whether anything changed.
func (w *Worker) Advance(now time.Duration) (changed bool) {
	if w.Terminated {
		return false
	}
	if now > w.leaseRenewedAt+w.leaseDuration {
		for k, t := range w.tasks {
			if t.state != wire.TaskExited {
				w.checker.TaskRemoved(k.task, w.Name)
			}
		}
		w.tasks, w.remainingFetchGB = map[attempt]*taskStatus{}, map[string]float64{}
		w.Incarnation++
		w.leaseRenewedAt, w.advancedTo = now, now
		return true
	}
	if w.advanceFetches(now) {
		changed = true
	}
	for _, k := range w.sortedAttempts() {
		t := w.tasks[k]
		for (t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing) && t.endsAt <= now {
			changed = true
			if t.state == wire.TaskRunning {
				w.checker.TaskCompleted(k.task)
				w.exit(k, t, wire.CauseDone)
			} else {
				t.checkpointed = true
				w.exit(k, t, wire.CauseStopped)
			}
		}
	}
	return changed
}

// Pause lets the time pass in which the machine hangs: it executes nothing, and neither
// its lease nor anything else is looked at before it resumes. So its tasks stay on it,
// past the end of the lease too, when they will be killed by the first thing it does.
func (w *Worker) Pause(now time.Duration) {
	for _, t := range w.tasks {
		if t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing {
			t.endsAt += now - w.advancedTo
		}
	}
	w.advancedTo = now
}

// AnnounceInterruption announces that the cloud takes the machine away at a time.
func (w *Worker) AnnounceInterruption(at time.Duration) { w.interruptionAt = at }

// InterruptionAnnounced reports whether the machine is to be taken away.
func (w *Worker) InterruptionAnnounced() bool { return w.interruptionAt > 0 }

// advanceFetches goes on with fetches up to now. An image is fetched once for all tasks that wait
// for it, images that are fetched at the same time share the rate, and what no task waits
// for any more is given up.
func (w *Worker) advanceFetches(now time.Duration) (changed bool) {
	at := w.advancedTo
	w.advancedTo = max(at, now)
	for {
		waiting := map[string][]attempt{}
		var names []string
		for _, k := range w.sortedAttempts() {
			if w.tasks[k].state != wire.TaskFetching {
				continue
			}
			spec := w.checker.JobOfTask(k.task)
			if waiting[spec.Image] == nil {
				names = append(names, spec.Image)
			}
			waiting[spec.Image] = append(waiting[spec.Image], k)
			if _, ok := w.remainingFetchGB[spec.Image]; !ok {
				w.remainingFetchGB[spec.Image] = spec.ImageGB
				if _, cached := w.imageSizesGB[spec.Image]; cached {
					w.remainingFetchGB[spec.Image] = 0
				}
			}
		}
		for name := range w.remainingFetchGB {
			if waiting[name] == nil {
				delete(w.remainingFetchGB, name)
			}
		}
		if len(names) == 0 {
			return changed
		}
		next, fetching := names[0], 0
		for _, n := range names {
			if w.remainingFetchGB[n] < w.remainingFetchGB[next] {
				next = n
			}
			if w.remainingFetchGB[n] > 0 {
				fetching++
			}
		}
		rate := w.MachineType.FetchGBPerS / float64(max(1, fetching))
		need := time.Duration(w.remainingFetchGB[next] / rate * float64(time.Second))
		if w.remainingFetchGB[next] <= 0 {
			need = 0
		}
		step := min(need, max(0, now-at))
		for _, n := range names {
			w.remainingFetchGB[n] = max(0, w.remainingFetchGB[n]-rate*step.Seconds())
		}
		if at += step; step < need {
			return changed
		}
		changed = true
		delete(w.remainingFetchGB, next)
		for _, k := range waiting[next] {
			w.startTask(at, k)
		}
	}
}

// startTask starts a task whose image is there.
func (w *Worker) startTask(at time.Duration, k attempt) {
	t, spec := w.tasks[k], w.checker.JobOfTask(k.task)
	w.checker.TaskStarted(at, k.task, w)
	t.state = wire.TaskRunning
	w.cacheImage(spec.Image, spec.ImageGB)
	switch {
	case w.checker.IsCompleted(k.task):
		w.exit(k, t, wire.CauseDone)
	case w.taskFails(k.task):
		w.exit(k, t, wire.CauseError)
	case spec.Service():
		t.endsAt = 1<<62 - 1
	default:
		t.endsAt = at + w.runTime(k.task)
	}
}

// cacheImage keeps the most recently used images; those of tasks that run stay.
func (w *Worker) cacheImage(name string, gb float64) {
	w.cachedImages = append(slices.DeleteFunc(w.cachedImages, func(n string) bool { return n == name }), name)
	w.imageSizesGB[name] = gb
	sum, used := 0.0, map[string]bool{name: true}
	for _, n := range w.cachedImages {
		sum += w.imageSizesGB[n]
	}
	for k, t := range w.tasks {
		if t.state == wire.TaskRunning {
			used[w.checker.JobOfTask(k.task).Image] = true
		}
	}
	w.cachedImages = slices.DeleteFunc(w.cachedImages, func(n string) bool {
		if w.MachineType.CacheGB <= 0 || sum <= w.MachineType.CacheGB || used[n] {
			return false
		}
		sum -= w.imageSizesGB[n]
		delete(w.imageSizesGB, n)
		return true
	})
}

func (w *Worker) sortedAttempts() []attempt {
	out := make([]attempt, 0, len(w.tasks))
	for k := range w.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b attempt) int {
		return cmp.Or(strings.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return out
}

func (w *Worker) exit(k attempt, t *taskStatus, cause string) {
	if t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing {
		w.checker.TaskRemoved(k.task, w.Name)
	}
	t.state, t.exitCause = wire.TaskExited, cause
}

// Heartbeat is the worker's report; it takes a new tick.
func (w *Worker) Heartbeat(now time.Duration) wire.Heartbeat {
	w.Sequence++
	r := wire.Heartbeat{Machine: w.Name, Address: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, FencingToken: w.FencingToken, Tasks: []wire.TaskStatus{}}
	if w.interruptionAt > 0 {
		left := max(0, (w.interruptionAt - now).Seconds())
		r.InterruptionInS = &left
	}
	for _, k := range w.sortedAttempts() {
		t := w.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: k.task, Attempt: k.number, State: t.state, Cause: t.exitCause, Checkpointed: t.checkpointed})
	}
	return r
}

// HandleHeartbeatReply takes the answer to the report that was sent at sent in session.
func (w *Worker) HandleHeartbeatReply(now, sent time.Duration, session uint64, a wire.HeartbeatReply) (accepted bool) {
	w.Advance(now)
	if w.Terminated || session != w.Incarnation || a.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken = a.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.execute(now, a.Commands)
	return true
}

// HandleCommands takes a direct call. status is the protocol's.
func (w *Worker) HandleCommands(now time.Duration, d wire.DirectCommands) (status int, r wire.Heartbeat) {
	w.Advance(now)
	if d.FencingToken < w.FencingToken || d.Incarnation != w.Incarnation {
		return 409, w.Heartbeat(now)
	}
	w.FencingToken = d.FencingToken
	w.execute(now, d.Commands)
	return 200, w.Heartbeat(now)
}

func (w *Worker) execute(now time.Duration, cmds []wire.Command) {
	for _, c := range cmds {
		k := attempt{c.Task, c.Attempt}
		t := w.tasks[k]
		switch c.Verb {
		case wire.VerbRun:
			if t == nil {
				w.acceptStart(now, k)
			}
		case wire.VerbStop:
			if t == nil || t.state == wire.TaskExited {
				continue
			}
			spec := w.checker.JobOfTask(c.Task)
			if t.state == wire.TaskRunning && c.GracePeriodS != nil && spec.CheckpointIntervalS > 0 && *c.GracePeriodS >= spec.CheckpointSaveS {
				t.state, t.endsAt = wire.TaskCheckpointing, now+time.Duration(spec.CheckpointSaveS*float64(time.Second))
			} else if t.state != wire.TaskCheckpointing || c.GracePeriodS == nil || *c.GracePeriodS == 0 {
				w.exit(k, t, wire.CauseStopped)
			}
		case wire.VerbForget:
			if t != nil && t.state == wire.TaskExited {
				delete(w.tasks, k)
			}
		}
	}
	w.Advance(now)
}

// acceptStart takes a start that is new here, or refuses it with an entry of its own.
func (w *Worker) acceptStart(now time.Duration, k attempt) {
	nt := &taskStatus{state: wire.TaskExited}
	spec := w.checker.JobOfTask(k.task)
	if spec == nil {
		nt.exitCause = wire.CauseUnknown
		w.tasks[k] = nt
		return
	}
	cpus, gpus, mem := spec.CPUs, spec.GPUs, spec.MemoryGB
	for other, o := range w.tasks {
		if o.state == wire.TaskExited {
			continue
		}
		if other.task == k.task {
			nt.exitCause = wire.CauseDuplicate
		}
		s := w.checker.JobOfTask(other.task)
		cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemoryGB
	}
	w.tasks[k] = nt
	if nt.exitCause != "" {
		return
	}
	if cpus > w.MachineType.CPUs || gpus > w.MachineType.GPUs || mem > w.MachineType.MemoryGB {
		nt.exitCause = wire.CauseNoCapacity
		return
	}
	nt.state = wire.TaskFetching
}

// FreeCapacity is what is free on the machine.
func (w *Worker) FreeCapacity() FreeCapacity {
	r := FreeCapacity{w.Type, w.Zone, w.Spot, w.MachineType.CPUs, w.MachineType.GPUs, w.MachineType.MemoryGB}
	for k, t := range w.tasks {
		if t.state != wire.TaskExited {
			s := w.checker.JobOfTask(k.task)
			r.CPUs, r.GPUs, r.MemoryGB = r.CPUs-s.CPUs, r.GPUs-s.GPUs, r.MemoryGB-s.MemoryGB
		}
	}
	return r
}

// HasJob reports whether a task of a job is on the machine or waits there for its image.
func (w *Worker) HasJob(id string) bool {
	for k, t := range w.tasks {
		if job, _, _ := wire.ParseTaskName(k.task); job == id && t.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// Terminate ends the machine with everything on it.
func (w *Worker) Terminate() {
	for k, t := range w.tasks {
		if t.state == wire.TaskRunning || t.state == wire.TaskCheckpointing {
			w.checker.TaskRemoved(k.task, w.Name)
		}
	}
	w.tasks, w.Terminated = map[attempt]*taskStatus{}, true
}

// EachAttempt calls f with every attempt that the worker has, in the order of their tasks.
func (w *Worker) EachAttempt(f func(task string, attempt uint64, exited bool)) {
	for _, k := range w.sortedAttempts() {
		f(k.task, k.number, w.tasks[k].state == wire.TaskExited)
	}
}

// OutlastTest makes the worker's lease outlast any test: a broken world in which
// nothing but a true release ends a silent machine's tasks.
func (w *Worker) OutlastTest() { w.leaseDuration = time.Hour }

// Restart ends all tasks and begins a new session, as after a lease that ran out.
func (w *Worker) Restart(now time.Duration) {
	w.leaseRenewedAt = now - w.leaseDuration - time.Second
	w.Advance(now)
}

// ActiveAttempts lists the attempts that fetch, run or save, by task.
func (w *Worker) ActiveAttempts() map[string]uint64 {
	running := map[string]uint64{}
	for k, t := range w.tasks {
		if t.state != wire.TaskExited {
			running[k.task] = k.number
		}
	}
	return running
}
