package scheduler

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Counters are the running totals of a term.
type Counters struct {
	DispatchRetries, DispatchGiveUps, TaskRetries uint64
	Started, Finished, Preempted                  uint64
	MachinesProvisioned, MachinesReleased         uint64
	// Of reconciliations: operations until they were settled, those of them that a
	// difference asked for, and differences, late ones included.
	ReconcileOperations, ReconcileAttributed, Differences uint64
}

// Counters returns the running totals.
func (s *Scheduler) Counters() Counters {
	counters := s.counters
	operations, attributed, differences := s.reconciler.Totals()
	counters.ReconcileOperations, counters.ReconcileAttributed, counters.Differences = uint64(operations), uint64(attributed), uint64(differences)
	return counters
}

// PlacementRounds is how many placement rounds there were in this term.
func (s *Scheduler) PlacementRounds() uint64 { return s.placement.rounds }

// View reads what operators and peers ask of a scheduler, and changes nothing.
type View struct {
	cluster    *clusterState
	reconciler *reconcile.Reconciler
}

// View gives a view of the present state. It is valid until the next input.
func (s *Scheduler) View() View { return View{&s.cluster, s.reconciler.Reconciler} }

// RunningTasks is the number of running tasks by job.
func (v View) RunningTasks() map[string]int {
	running := map[string]int{}
	for id, j := range v.cluster.jobs {
		if j.runningCount > 0 {
			running[id] = j.runningCount
		}
	}
	return running
}

// RunningTasksOf is the number of a job's running tasks.
func (v View) RunningTasksOf(id string) int {
	if j := v.cluster.jobs[id]; j != nil {
		return j.runningCount
	}
	return 0
}

// MachineView is a machine as operators see it.
type MachineView struct {
	Name          string  `cbor:"name" json:"name"`
	Type          string  `cbor:"type" json:"type"`
	Zone          string  `cbor:"zone" json:"zone"`
	Spot          bool    `cbor:"spot" json:"spot"`
	State         string  `cbor:"state" json:"state"`
	Tasks         int     `cbor:"tasks" json:"tasks"`
	CPUs          float64 `cbor:"cpus_used" json:"cpus_used"`
	Images        int     `cbor:"images" json:"images"`
	HeartbeatAgeS float64 `cbor:"quiet_s" json:"quiet_s"`
	Quarantined   bool    `cbor:"avoided" json:"avoided"`
}

// Machines lists machines by name, those after from, up to the limit.
func (v View) Machines(now Now, from string, limit int) []MachineView {
	var views []MachineView
	for _, m := range v.cluster.sortedMachines() {
		if m.name <= from {
			continue
		}
		if len(views) == limit {
			break
		}
		views = append(views, m.view(now))
	}
	return views
}

func (m *machine) view(now Now) MachineView {
	return MachineView{
		Name: m.name, Type: m.machineType, Zone: m.zone, Spot: m.spot, State: m.displayState(),
		Tasks: len(m.tasks), CPUs: m.used.cpus, Images: len(m.images),
		HeartbeatAgeS: (now.Mono - m.connectivity.lastHeartbeatAt).Seconds(),
		Quarantined:   m.quarantine.until > now.Mono,
	}
}

// displayState is the machine's state in words that operators see.
func (m *machine) displayState() string {
	switch {
	case m.cloud.interruptionAt > 0:
		return "leaving"
	case m.phase == machineUp && !m.confirmed:
		return "unconfirmed"
	}
	return m.phase.String()
}

// TaskView is an attempt as operators see it.
type TaskView struct {
	Task            string `cbor:"task" json:"task"`
	Attempt         uint64 `cbor:"attempt" json:"attempt"`
	Machine         string `cbor:"machine" json:"machine"`
	State           string `cbor:"state" json:"state"`
	DispatchRetries int    `cbor:"probes" json:"probes"`
}

func (a *attempt) view() TaskView {
	return TaskView{Task: a.ref.String(), Attempt: a.number, Machine: a.machine.name, State: a.displayState(), DispatchRetries: a.retry.count}
}

// displayState is the attempt's state in words that operators see.
func (a *attempt) displayState() string {
	switch {
	case a.stop.requested:
		return "stopping"
	case !a.assignment.durable:
		return "placed"
	case a.state == "":
		return "starting"
	}
	return a.state
}

// JobDetail is a job as operators see it.
type JobDetail struct {
	ID       string     `cbor:"id" json:"id"`
	State    string     `cbor:"state" json:"state"`
	Class    string     `cbor:"class" json:"class"`
	Team     string     `cbor:"team" json:"team"`
	Tasks    int        `cbor:"tasks" json:"tasks"`
	Done     int        `cbor:"done" json:"done"`
	Running  int        `cbor:"running" json:"running"`
	Waiting  int        `cbor:"waiting" json:"waiting"`
	Reason   string     `cbor:"why" json:"why"`
	Failures int        `cbor:"failures" json:"failures"`
	RetryInS float64    `cbor:"retry_in_s" json:"retry_in_s"`
	Attempts []TaskView `cbor:"attempts" json:"attempts"`
}

// maxAttemptsShown is how many attempts a JobDetail lists. Its counts are of all.
const maxAttemptsShown = 200

// Job describes a live job, or returns nil.
func (v View) Job(now Now, id string) *JobDetail {
	j := v.cluster.jobs[id]
	if j == nil {
		return nil
	}
	detail := j.summary(now)
	for _, a := range j.sortedAttempts() {
		if len(detail.Attempts) == maxAttemptsShown {
			break
		}
		detail.Attempts = append(detail.Attempts, a.view())
	}
	return &detail
}

// Waiting lists live jobs with tasks that wait, by id, those after from, up to the limit.
// Attempts are not listed.
func (v View) Waiting(now Now, from string, limit int) []JobDetail {
	details := []JobDetail{}
	for _, id := range slices.Sorted(maps.Keys(v.cluster.jobs)) {
		j := v.cluster.jobs[id]
		if id <= from || j.pendingTasks() <= 0 {
			continue
		}
		if len(details) == limit {
			break
		}
		detail := j.summary(now)
		detail.Attempts = nil
		details = append(details, detail)
	}
	return details
}

// summary describes the job without its attempts.
func (j *job) summary(now Now) JobDetail {
	detail := JobDetail{
		ID: j.id, State: j.displayState(), Class: j.spec.Class, Team: j.spec.Team,
		Tasks: j.spec.Tasks, Done: j.progress.doneCount, Running: j.runningCount, Waiting: j.pendingTasks(),
		Reason: j.waiting.reason.String(), Failures: j.retry.failures, Attempts: []TaskView{},
	}
	if j.retry.notBefore > now.Mono {
		detail.Reason, detail.RetryInS = "waits after failed attempts", (j.retry.notBefore - now.Mono).Seconds()
	}
	return detail
}

// displayState is the job's state as users see it.
func (j *job) displayState() string {
	switch {
	case j.cancelled:
		return wire.JobCancelled
	case j.runningCount > 0:
		return wire.JobRunning
	}
	return wire.JobPending
}

// Failures lists failed attempts, the newest first, up to the limit after those to skip.
func (v View) Failures(skip, limit int) []Failure {
	listed := []Failure{}
	for i := len(v.cluster.failures) - 1 - skip; i >= 0 && len(listed) < limit; i-- {
		listed = append(listed, v.cluster.failures[i])
	}
	return listed
}

// ReconciliationStatus describes the term's reconciliation.
func (v View) ReconciliationStatus(now Now) reconcile.Status {
	return v.reconciler.Status(now.Mono)
}

// ReconciliationDifferences lists the differences that reconciliation has found, of a
// class or of all for reconcile.None.
func (v View) ReconciliationDifferences(class reconcile.Class, skip, limit int) []reconcile.DifferenceView {
	return v.reconciler.Differences(class, skip, limit)
}
