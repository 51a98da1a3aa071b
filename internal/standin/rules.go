package standin

import (
	"fmt"
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Rules watches a world and notes every broken rule of the protocol.
type Rules struct {
	Broken []string

	limits    map[string]float64
	cancelFor time.Duration
	specs     map[string]*wire.Job
	on        map[string]map[string]*Worker // task -> machines that have it
	byJob     map[string]map[string]bool    // job -> its tasks that are on a machine
	use       map[string]float64            // CPUs in use by team
	completed map[string]bool
	cancelled map[string]time.Duration // when the user was told
	told      map[string]string        // the last state that was told
	Starts    int
	Repeated  int // starts of tasks that had completed: work done for nothing
}

// NewRules makes a checker for teams with the given CPU limits.
func NewRules(limits map[string]float64, cancelFor time.Duration) *Rules {
	return &Rules{limits: limits, cancelFor: cancelFor, specs: map[string]*wire.Job{}, on: map[string]map[string]*Worker{}, byJob: map[string]map[string]bool{}, use: map[string]float64{},
		completed: map[string]bool{}, cancelled: map[string]time.Duration{}, told: map[string]string{}}
}

func (r *Rules) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

// Submit notes a job that a user uploads.
func (r *Rules) Submit(j *wire.Job) { r.specs[j.ID] = j }

// Spec is the job of a task, or nil.
func (r *Rules) Spec(task string) *wire.Job {
	id, index, ok := wire.SplitTask(task)
	if j := r.specs[id]; ok && j != nil && index < j.Tasks {
		return j
	}
	return nil
}

// Started notes that a task is on a machine from now on.
func (r *Rules) Started(now time.Duration, task string, w *Worker) {
	r.Starts++
	if r.completed[task] {
		r.Repeated++
	}
	j := r.Spec(task)
	id, _, _ := wire.SplitTask(task)
	if len(r.on[task]) > 0 {
		r.broken("%v ran_twice: %s starts on %s while on %v", now, task, w.Name, keys(r.on[task]))
	}
	if j.Zone != "" && j.Zone != w.Zone || w.Spot && !j.Spot {
		r.broken("%v wrong_place: %s on %s", now, task, w.Name)
	}
	inZone, elsewhere := 1, 0
	for t := range r.byJob[id] {
		if t == task {
			continue
		}
		for _, other := range r.on[t] {
			if other.Zone == w.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if j.Together && elsewhere > 0 || inZone > j.ZoneCap() {
		r.broken("%v wrong_place: %s in zone %s, %d there, %d elsewhere", now, task, w.Zone, inZone, elsewhere)
	}
	if at, ok := r.cancelled[id]; ok && now > at+r.cancelFor {
		r.broken("%v ran_cancelled: %s starts %v after", now, task, now-at)
	}
	if r.on[task] == nil {
		r.on[task] = map[string]*Worker{}
	}
	if r.on[task][w.Name] == nil {
		r.use[j.Team] += j.CPUs
	}
	r.on[task][w.Name] = w
	if r.byJob[id] == nil {
		r.byJob[id] = map[string]bool{}
	}
	r.byJob[id][task] = true
	if use := r.use[j.Team]; use > r.limits[j.Team]+1e-6 {
		r.broken("%v quota: team %s uses %v", now, j.Team, use)
	}
}

func keys(m map[string]*Worker) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// Left notes that a task is no longer on a machine.
func (r *Rules) Left(task, machine string) {
	if r.on[task][machine] == nil {
		return
	}
	delete(r.on[task], machine)
	j := r.Spec(task)
	r.use[j.Team] -= j.CPUs
	if len(r.on[task]) == 0 {
		delete(r.on, task)
		delete(r.byJob[j.ID], task)
	}
}

// Complete notes that a task has completed.
func (r *Rules) Complete(task string) { r.completed[task] = true }

// Completed reports whether a task has completed.
func (r *Rules) Completed(task string) bool { return r.completed[task] }

// Told notes what a user is told of a job; an empty state says that there is none.
func (r *Rules) Told(now time.Duration, id, state string) {
	was, known := r.told[id]
	switch {
	case state == "" && known:
		// Accepted jobs stay known, and so do ended ones.
		r.broken("%v forgotten: %s was %s", now, id, was)
		return
	case state == "":
		return
	case r.specs[id] == nil:
		r.broken("%v invented: %s is %s", now, id, state)
		return
	}
	if (was == wire.JobDone || was == wire.JobCancelled) && state != was {
		r.broken("%v went_back: %s was %s, is %s", now, id, was, state)
	}
	r.told[id] = state
	if state == wire.JobCancelled {
		if _, ok := r.cancelled[id]; !ok {
			r.cancelled[id] = now
		}
	}
	if state != wire.JobDone {
		return
	}
	for i := range r.specs[id].Tasks {
		if !r.completed[wire.TaskName(id, i)] {
			r.broken("%v not_done: %s is called done before task %d is", now, id, i)
			return
		}
	}
}

// Check looks for what has been on a machine for too long.
func (r *Rules) Check(now time.Duration) {
	for task, on := range r.on {
		id, _, _ := wire.SplitTask(task)
		if at, ok := r.cancelled[id]; ok && len(on) > 0 && now > at+r.cancelFor {
			r.broken("%v ran_cancelled: %s still on %v", now, task, keys(on))
		}
	}
}

// On counts the tasks of a job that are on machines.
func (r *Rules) On(id string) int {
	n := 0
	for t := range r.byJob[id] {
		n += len(r.on[t])
	}
	return n
}
