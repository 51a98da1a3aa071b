package simulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// RuleChecker watches a world and notes every broken rule of the protocol.
type RuleChecker struct {
	Violations []string

	quotaLimits       map[string]float64
	cancelGrace       time.Duration
	jobs              map[string]*wire.Job
	machinesByTask    map[string]map[string]*Worker // task -> machines that have it
	placedTasksByJob  map[string]map[string]bool    // job -> its tasks that are on a machine
	cpusInUse         map[string]float64            // CPUs in use by team
	completed         map[string]bool
	cancelConfirmedAt map[string]time.Duration // when the user was told
	confirmedState    map[string]string        // the last state that was told
	Starts            int
	RepeatedStarts    int // starts of tasks that had completed: work done for nothing

	// LateStarts lists starts after a confirmed cancellation but within the time that it
	// has. The page: "From then on no task of the job may be started, and within
	// `cancel_s` all its tasks must be gone, including those whose start command was
	// still in flight". So a task whose start was in flight may still come onto its
	// machine, as `ran_cancelled` allows, and only a start that is sent afterwards is
	// against the sentence. The operators count every one of them: so do we.
	LateStarts []LateStart

	machineTypes    []wire.MachineType
	acceptedAt      map[string]time.Duration // when the user was first told that the job is known
	endConfirmedAt  map[string]time.Duration // when the user was first told how it ended
	cancelRequested map[string]bool          // its user has asked to cancel it
	lastAnsweredAt  map[string]time.Duration // when a question about the job was last answered
	failingSince    map[string]time.Duration // since when all questions about it fail
	recentPolls     []pollResult             // those of the last pollWindow
	faultsEndedAt   time.Duration            // when the troubles were over
	faultsEnded     bool
	waitingSince    map[string]time.Duration // since when the job waits beside room
	reportedOnce    map[string]bool          // breaches of which there is one a job
}

// LateStart is a start after a confirmed cancellation.
type LateStart struct {
	Task              string
	AfterConfirmation time.Duration // the user was told
}

type pollResult struct {
	finishedAt time.Duration
	jobID      string
	answered   bool
}

const (
	pollWindow      = 90 * time.Second // in which all polls of a job fail: forgotten, if most others are answered
	unansweredLimit = 75 * time.Second // without an answer once the troubles are over: forgotten, however others fare
	waitingLimit    = 90 * time.Second // beside room once the troubles are over: left waiting
)

// FreeCapacity is what is free on a machine.
type FreeCapacity struct {
	Type, Zone           string
	Spot                 bool
	CPUs, GPUs, MemoryGB float64
}

// NewRuleChecker makes a checker for teams with the given CPU limits.
func NewRuleChecker(quotaLimits map[string]float64, cancelGrace time.Duration) *RuleChecker {
	return &RuleChecker{quotaLimits: quotaLimits, cancelGrace: cancelGrace, jobs: map[string]*wire.Job{}, machinesByTask: map[string]map[string]*Worker{}, placedTasksByJob: map[string]map[string]bool{}, cpusInUse: map[string]float64{},
		completed: map[string]bool{}, cancelConfirmedAt: map[string]time.Duration{}, confirmedState: map[string]string{},
		acceptedAt: map[string]time.Duration{}, endConfirmedAt: map[string]time.Duration{}, cancelRequested: map[string]bool{}, lastAnsweredAt: map[string]time.Duration{},
		failingSince: map[string]time.Duration{}, waitingSince: map[string]time.Duration{}, reportedOnce: map[string]bool{}}
}

func (r *RuleChecker) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// violationOnce notes a breach of which there is one a job.
func (r *RuleChecker) violationOnce(id, format string, args ...any) {
	if !r.reportedOnce[id+format] {
		r.reportedOnce[id+format] = true
		r.violation(format, args...)
	}
}

// SetMachineTypes says which machine types there are.
func (r *RuleChecker) SetMachineTypes(types []wire.MachineType) { r.machineTypes = types }

// AddJob notes a job that a user uploads.
func (r *RuleChecker) AddJob(j *wire.Job) { r.jobs[j.ID] = j }

// JobOfTask is the job of a task, or nil.
func (r *RuleChecker) JobOfTask(task string) *wire.Job {
	id, index, ok := wire.ParseTaskName(task)
	if j := r.jobs[id]; ok && j != nil && index < j.Tasks {
		return j
	}
	return nil
}

// TaskStarted notes that a task is on a machine from now on.
func (r *RuleChecker) TaskStarted(now time.Duration, task string, w *Worker) {
	r.Starts++
	if r.completed[task] {
		r.RepeatedStarts++
	}
	j := r.JobOfTask(task)
	id, _, _ := wire.ParseTaskName(task)
	if len(r.machinesByTask[task]) > 0 {
		r.violation("%v ran_twice: %s starts on %s while on %v", now, task, w.Name, sortedMachineNames(r.machinesByTask[task]))
	}
	if !jobAllows(j, w.Type, w.Zone, w.Spot) {
		r.violation("%v wrong_place: %s on %s", now, task, w.Name)
	}
	inZone, elsewhere := 1, 0
	for t := range r.placedTasksByJob[id] {
		if t == task {
			continue
		}
		for _, other := range r.machinesByTask[t] {
			if other.Zone == w.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if j.SameZone && elsewhere > 0 || inZone > j.MaxTasksPerZone() {
		r.violation("%v wrong_place: %s in zone %s, %d there, %d elsewhere", now, task, w.Zone, inZone, elsewhere)
	}
	if at, ok := r.cancelConfirmedAt[id]; ok && now > at+r.cancelGrace {
		r.violation("%v ran_cancelled: %s starts %v after", now, task, now-at)
	} else if ok && now > at {
		r.LateStarts = append(r.LateStarts, LateStart{task, now - at})
	}
	if r.machinesByTask[task] == nil {
		r.machinesByTask[task] = map[string]*Worker{}
	}
	if r.machinesByTask[task][w.Name] == nil {
		r.cpusInUse[j.Team] += j.CPUs
	}
	r.machinesByTask[task][w.Name] = w
	if r.placedTasksByJob[id] == nil {
		r.placedTasksByJob[id] = map[string]bool{}
	}
	r.placedTasksByJob[id][task] = true
	if use := r.cpusInUse[j.Team]; use > r.quotaLimits[j.Team]+1e-6 {
		r.violation("%v quota: team %s uses %v", now, j.Team, use)
	}
}

func sortedMachineNames(m map[string]*Worker) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// TaskRemoved notes that a task is no longer on a machine.
func (r *RuleChecker) TaskRemoved(task, machine string) {
	if r.machinesByTask[task][machine] == nil {
		return
	}
	delete(r.machinesByTask[task], machine)
	j := r.JobOfTask(task)
	r.cpusInUse[j.Team] -= j.CPUs
	if len(r.machinesByTask[task]) == 0 {
		delete(r.machinesByTask, task)
		delete(r.placedTasksByJob[j.ID], task)
	}
}

// TaskCompleted notes that a task has completed.
func (r *RuleChecker) TaskCompleted(task string) { r.completed[task] = true }

// CPUsInUse is what a team's tasks use on all machines, in CPUs.
func (r *RuleChecker) CPUsInUse(team string) float64 { return r.cpusInUse[team] }

// QuotaLimit is what a team may use at once, in CPUs.
func (r *RuleChecker) QuotaLimit(team string) float64 { return r.quotaLimits[team] }

// RecordLeftWaiting notes a job that waits beside room.
func (r *RuleChecker) RecordLeftWaiting(now time.Duration, task, machine string, since time.Duration) {
	r.violation("%v left_waiting: %s waits since %v while %s has room", now, task, since, machine)
}

// IsCompleted reports whether a task has completed.
func (r *RuleChecker) IsCompleted(task string) bool { return r.completed[task] }

// jobAllows reports whether a job allows a type, a zone and a kind of machine.
func jobAllows(j *wire.Job, typ, zone string, spot bool) bool {
	return (j.Zone == "" || j.Zone == zone) && (!spot || j.Spot) && (j.MachineTypes == nil || slices.Contains(j.MachineTypes, typ))
}

// requiredFields are the fields of a submission that may be neither null nor missing.
var requiredFields = []string{"uid", "docket", "crew", "shape", "rank", "shifts", "cpus", "gpus", "memory_gb",
	"kit", "pull_gb", "together", "scatter", "loaners", "reckon_s", "tally_s", "stow_s"}

// SubmissionAccepted notes that a submission was accepted (201 or 200); fields is what was sent.
func (r *RuleChecker) SubmissionAccepted(now time.Duration, id string, fields map[string]any) {
	for _, f := range requiredFields {
		if fields[f] == nil {
			r.violation("%v accepted: %s lacks %s", now, id, f)
		}
	}
	if j := r.jobs[id]; j != nil && r.machineTypes != nil {
		if why := r.infeasibleReason(j); why != "" {
			r.violation("%v accepted: %s can never run: %s", now, id, why)
		}
	}
	r.StateConfirmed(now, id, wire.JobPending)
}

// infeasibleReason says why a job can never run, or nothing.
func (r *RuleChecker) infeasibleReason(j *wire.Job) string {
	limit, known := r.quotaLimits[j.Team]
	need := j.CPUs
	if j.Shape != wire.ShapeArray {
		need *= float64(j.Tasks) // all at once
	}
	switch {
	case !known:
		return "unknown team"
	case need > limit+1e-6:
		return "more than its team's limit"
	}
	for i := range r.machineTypes {
		t := &r.machineTypes[i]
		for _, z := range t.Zones {
			if t.Fits(j) && jobAllows(j, t.Name, z, false) {
				return ""
			}
		}
	}
	return "no machine type"
}

// SubmissionRefused notes that a submission got 400 or 422.
func (r *RuleChecker) SubmissionRefused(now time.Duration, id string, status int) {
	if was, known := r.confirmedState[id]; known && (status == 400 || status == 422) {
		r.violation("%v forgotten: a repeated submission of %s, which was %s, gets %d", now, id, was, status)
	}
}

// CancelRequested notes that a job's user asks to cancel it.
func (r *RuleChecker) CancelRequested(id string) { r.cancelRequested[id] = true }

// StateConfirmed notes what a user is told of a job; an empty state says that there is none.
func (r *RuleChecker) StateConfirmed(now time.Duration, id, state string) {
	r.QueryAnswered(now, now, id, state)
}

// QueryAnswered notes the answer to a question that was asked at a time before. Once any node
// has told a user something, no node may answer a later question with something older:
// of questions that cross, either answer may come first.
func (r *RuleChecker) QueryAnswered(asked, now time.Duration, id, state string) {
	since, known := r.acceptedAt[id]
	switch {
	case state == "" && known && asked >= since:
		// Accepted jobs stay known, and so do ended ones.
		r.violation("%v forgotten: %s was %s", now, id, r.confirmedState[id])
		return
	case state == "":
		return
	case r.jobs[id] == nil:
		r.violation("%v invented: %s is %s", now, id, state)
		return
	}
	if !known {
		r.acceptedAt[id] = now
	}
	was, final := r.confirmedState[id], state == wire.JobDone || state == wire.JobCancelled
	if at, ok := r.endConfirmedAt[id]; ok && state != was && (final || asked >= at) {
		r.violation("%v went_back: %s was %s, is %s", now, id, was, state)
	}
	if state == wire.JobCancelled && !r.cancelRequested[id] {
		r.violation("%v went_back: %s is cancelled, and its user has not cancelled it", now, id)
	}
	if _, ok := r.endConfirmedAt[id]; !ok {
		r.confirmedState[id] = state
		if final {
			r.endConfirmedAt[id] = now
		}
	}
	if state == wire.JobCancelled {
		if _, ok := r.cancelConfirmedAt[id]; !ok {
			r.cancelConfirmedAt[id] = now
		}
	}
	if state != wire.JobDone {
		return
	}
	for i := range r.jobs[id].Tasks {
		if !r.completed[wire.TaskName(id, i)] {
			r.violation("%v not_done: %s is called done before task %d is", now, id, i)
			return
		}
	}
}

// PollFinished notes whether a poll of a job was answered, with 200 or 404.
func (r *RuleChecker) PollFinished(now time.Duration, id string, answered bool) {
	r.recentPolls = append(r.recentPolls, pollResult{now, id, answered})
	for r.recentPolls[0].finishedAt < now-pollWindow {
		r.recentPolls = r.recentPolls[1:]
	}
	if answered {
		r.lastAnsweredAt[id] = now
		delete(r.failingSince, id)
		return
	}
	accepted, known := r.acceptedAt[id]
	if !known {
		return
	}
	if _, ok := r.failingSince[id]; !ok {
		r.failingSince[id] = now
	}
	if now-r.failingSince[id] >= pollWindow {
		others := 0
		for _, p := range r.recentPolls {
			switch {
			case p.jobID == id:
			case p.answered:
				others++
			default:
				others--
			}
		}
		if others > 0 {
			r.violationOnce(id, "%v forgotten: all polls of %s fail for 90 s while most others are answered", now, id)
		}
	}
	if r.faultsEnded && now-max(r.faultsEndedAt, accepted, r.lastAnsweredAt[id]) >= unansweredLimit {
		r.violationOnce(id, "%v forgotten: no question about %s is answered for 75 s, and the troubles are over", now, id)
	}
}

// FaultsEnded notes that all troubles have ended.
func (r *RuleChecker) FaultsEnded(now time.Duration) {
	if !r.faultsEnded {
		r.faultsEndedAt, r.faultsEnded = now, true
	}
}

// CheckWaiting looks for jobs that are left waiting beside room, once the troubles are over:
// free is the room on machines, and placed reports whether a task of a job is on a
// machine or waits there for its image. It is to be called every few seconds.
func (r *RuleChecker) CheckWaiting(now time.Duration, free []FreeCapacity, placed func(id string) bool) {
	for id := range r.acceptedAt {
		j := r.jobs[id]
		_, ended := r.endConfirmedAt[id]
		if !r.faultsEnded || ended || r.cancelRequested[id] || placed(id) || r.allTasksCompleted(j) || !r.fitsFreeCapacity(j, free) {
			delete(r.waitingSince, id)
			continue
		}
		if _, ok := r.waitingSince[id]; !ok {
			r.waitingSince[id] = now
		}
		if now-r.waitingSince[id] >= waitingLimit {
			r.violationOnce(id, "%v left_waiting: %s for 90 s beside room that fits", now, id)
		}
	}
}

func (r *RuleChecker) allTasksCompleted(j *wire.Job) bool {
	for i := range j.Tasks {
		if !r.completed[wire.TaskName(j.ID, i)] {
			return false
		}
	}
	return true
}

// fitsFreeCapacity reports whether a task of a job of which nothing is on a machine fits into free
// room while its team is under its limit; of a gang, all tasks have to.
func (r *RuleChecker) fitsFreeCapacity(j *wire.Job, free []FreeCapacity) bool {
	need := 1
	if j.Gang() {
		need = j.Tasks
	}
	if r.cpusInUse[j.Team]+float64(need)*j.CPUs > r.quotaLimits[j.Team]+1e-6 {
		return false
	}
	n, inZone := 0, map[string]int{}
	for _, m := range free {
		if !jobAllows(j, m.Type, m.Zone, m.Spot) {
			continue
		}
		for c, g, mem := m.CPUs, m.GPUs, m.MemoryGB; n < need && c >= j.CPUs && g >= j.GPUs && mem >= j.MemoryGB; c, g, mem = c-j.CPUs, g-j.GPUs, mem-j.MemoryGB {
			if inZone[m.Zone] >= j.MaxTasksPerZone() {
				break
			}
			inZone[m.Zone]++
			if n++; j.SameZone {
				n = inZone[m.Zone]
			}
		}
	}
	for _, k := range inZone {
		if j.SameZone && k >= need {
			return true
		}
	}
	return !j.SameZone && n >= need
}

// CheckAnythingRan looks at a day's end whether anything ran.
func (r *RuleChecker) CheckAnythingRan(now time.Duration) {
	if r.Starts == 0 {
		r.violation("%v nothing_ran", now)
	}
}

// CheckCancelled looks for what has been on a machine for too long.
func (r *RuleChecker) CheckCancelled(now time.Duration) {
	for task, on := range r.machinesByTask {
		id, _, _ := wire.ParseTaskName(task)
		if at, ok := r.cancelConfirmedAt[id]; ok && len(on) > 0 && now > at+r.cancelGrace {
			r.violation("%v ran_cancelled: %s still on %v", now, task, sortedMachineNames(on))
		}
	}
}

// PlacedTasks counts the tasks of a job that are on machines.
func (r *RuleChecker) PlacedTasks(id string) int {
	n := 0
	for t := range r.placedTasksByJob[id] {
		n += len(r.machinesByTask[t])
	}
	return n
}
