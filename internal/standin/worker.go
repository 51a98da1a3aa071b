package standin

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Worker is a stand-in for the program on one machine.
type Worker struct {
	Name, Type, Zone, Addr string
	Spot                   bool
	MT                     wire.MachineType
	Token                  uint64
	Session, Tick          uint64
	Gone                   bool

	rules   *Rules
	lease   time.Duration
	leaseAt time.Duration // when the last answered report was sent
	tasks   map[string]*wtask
	images  map[string]bool
	runFor  func(task string) time.Duration
	fails   func(task string) bool
}

type wtask struct {
	attempt uint64
	state   string
	cause   string
	saved   bool
	until   time.Duration // end of the fetch, the run or the save
}

// NewWorker makes a worker that begins at now. runFor gives a task's run time,
// and fails whether it fails here.
func NewWorker(now time.Duration, lease time.Duration, name string, mt wire.MachineType, zone string, spot bool, rules *Rules, runFor func(string) time.Duration, fails func(string) bool) *Worker {
	return &Worker{Name: name, Type: mt.Name, Zone: zone, Addr: name + ":9000", Spot: spot, MT: mt, Session: 1,
		rules: rules, lease: lease, leaseAt: now, tasks: map[string]*wtask{}, images: map[string]bool{}, runFor: runFor, fails: fails}
}

// Advance brings the worker to the time now and says whether anything changed.
func (w *Worker) Advance(now time.Duration) (changed bool) {
	if w.Gone {
		return false
	}
	if now > w.leaseAt+w.lease {
		for name, t := range w.tasks {
			if t.state != wire.TaskExited {
				w.rules.Left(name, w.Name)
			}
		}
		w.tasks = map[string]*wtask{}
		w.Session++
		w.leaseAt = now
		return true
	}
	for _, name := range w.names() {
		t := w.tasks[name]
		for t.state != wire.TaskExited && t.until <= now {
			changed = true
			switch t.state {
			case wire.TaskFetching:
				spec := w.rules.Spec(name)
				w.images[spec.Image] = true
				w.rules.Started(t.until, name, w)
				t.state = wire.TaskRunning
				switch {
				case w.rules.Completed(name):
					w.exit(name, t, wire.CauseDone)
				case w.fails(name):
					w.exit(name, t, wire.CauseError)
				case spec.Service():
					t.until = 1<<62 - 1
				default:
					t.until += w.runFor(name)
				}
			case wire.TaskRunning:
				w.rules.Complete(name)
				w.exit(name, t, wire.CauseDone)
			case wire.TaskSaving:
				t.saved = true
				w.exit(name, t, wire.CauseHalted)
			}
		}
	}
	return changed
}

func (w *Worker) names() []string {
	out := make([]string, 0, len(w.tasks))
	for n := range w.tasks {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) exit(name string, t *wtask, cause string) {
	if t.state == wire.TaskRunning || t.state == wire.TaskSaving {
		w.rules.Left(name, w.Name)
	}
	t.state, t.cause = wire.TaskExited, cause
}

// Report is the worker's report; it takes a new tick.
func (w *Worker) Report(now time.Duration) wire.Report {
	w.Tick++
	r := wire.Report{Machine: w.Name, Address: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, Tick: w.Tick, Token: w.Token, Tasks: []wire.TaskReport{}}
	for _, n := range w.names() {
		t := w.tasks[n]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: n, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// Reply takes the answer to the report that was sent at sent in session.
func (w *Worker) Reply(now, sent time.Duration, session uint64, a wire.CheckinReply) (accepted bool) {
	w.Advance(now)
	if w.Gone || session != w.Session || a.Token < w.Token {
		return false
	}
	w.Token = a.Token
	w.leaseAt = max(w.leaseAt, sent)
	w.execute(now, a.Commands)
	return true
}

// Commands takes a direct call. status is the protocol's.
func (w *Worker) Commands(now time.Duration, d wire.DirectCommands) (status int, r wire.Report) {
	w.Advance(now)
	if d.Token < w.Token || d.Session != w.Session {
		return 409, w.Report(now)
	}
	w.Token = d.Token
	w.execute(now, d.Commands)
	return 200, w.Report(now)
}

func (w *Worker) execute(now time.Duration, cmds []wire.Command) {
	for _, c := range cmds {
		t := w.tasks[c.Task]
		switch c.Verb {
		case wire.VerbRun:
			w.run(now, c, t)
		case wire.VerbHalt:
			if t == nil || t.attempt != c.Attempt || t.state == wire.TaskExited {
				continue
			}
			spec := w.rules.Spec(c.Task)
			if t.state == wire.TaskRunning && c.LeewayS != nil && spec.CheckpointS > 0 && *c.LeewayS >= spec.SaveS {
				t.state, t.until = wire.TaskSaving, now+time.Duration(spec.SaveS*float64(time.Second))
			} else if t.state != wire.TaskSaving || c.LeewayS == nil || *c.LeewayS == 0 {
				w.exit(c.Task, t, wire.CauseHalted)
			}
		case wire.VerbForget:
			if t != nil && t.attempt == c.Attempt && t.state == wire.TaskExited {
				delete(w.tasks, c.Task)
			}
		}
	}
	w.Advance(now)
}

func (w *Worker) run(now time.Duration, c wire.Command, t *wtask) {
	if t != nil && t.attempt == c.Attempt {
		return
	}
	if t != nil && t.state != wire.TaskExited {
		return // in use: the refusal has no entry of its own in this model
	}
	nt := &wtask{attempt: c.Attempt, state: wire.TaskExited}
	w.tasks[c.Task] = nt
	spec := w.rules.Spec(c.Task)
	if spec == nil {
		nt.cause = wire.CauseUnknown
		return
	}
	cpus, mem := spec.CPUs, spec.MemoryGB
	for n, o := range w.tasks {
		if o != nt && o.state != wire.TaskExited {
			s := w.rules.Spec(n)
			cpus, mem = cpus+s.CPUs, mem+s.MemoryGB
		}
	}
	if cpus > w.MT.CPUs || mem > w.MT.MemoryGB {
		nt.cause = wire.CauseFull
		return
	}
	nt.state, nt.until = wire.TaskFetching, now
	if !w.images[spec.Image] {
		nt.until += time.Duration(spec.ImageGB / w.MT.FetchGBs * float64(time.Second))
	}
}

// Kill ends the machine with everything on it.
func (w *Worker) Kill() {
	for name, t := range w.tasks {
		if t.state == wire.TaskRunning || t.state == wire.TaskSaving {
			w.rules.Left(name, w.Name)
		}
	}
	w.tasks, w.Gone = map[string]*wtask{}, true
}

// Each calls f with every attempt that the worker has, in the order of their tasks.
func (w *Worker) Each(f func(task string, attempt uint64, exited bool)) {
	for _, name := range w.names() {
		t := w.tasks[name]
		f(name, t.attempt, t.state == wire.TaskExited)
	}
}

// LongLease makes the worker's lease outlast any test: a broken world in which
// nothing but a true release ends a silent machine's tasks.
func (w *Worker) LongLease() { w.lease = time.Hour }
