package scheduler

import (
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Counters are cumulative counts since the start of a term.
type Counters struct {
	DispatchRetries, DispatchGiveUps, TaskRetries uint64
	Started, Finished, Preempted                  uint64
	MachinesProvisioned, MachinesReleased         uint64
	// Reconciliation at the start of the term: operations until it was settled, the operations
	// among them that a difference required, and differences, including late ones.
	ReconcileOperations, ReconcileAttributed, Differences uint64
}

// Counters returns the term's cumulative counts.
func (s *Scheduler) Counters() Counters {
	counters := s.counters
	operations, attributed, differences := s.reconciler.Totals()
	counters.ReconcileOperations, counters.ReconcileAttributed, counters.Differences = uint64(operations), uint64(attributed), uint64(differences)
	return counters
}

// PlacementRounds returns the number of placement rounds in this term.
func (s *Scheduler) PlacementRounds() uint64 { return s.placement.rounds }

// View provides read-only access to a scheduler's state for operators and peers.
type View struct {
	cluster    *clusterState
	reconciler *reconcile.Reconciler
}

// View returns a view of the current state. It is valid until the next input.
func (s *Scheduler) View() View { return View{&s.cluster, s.reconciler.Reconciler} }

// MachineCount returns the number of machines, whatever their state.
func (v View) MachineCount() int { return len(v.cluster.machines) }

// RunningTasks returns the number of running tasks by job ID, without jobs that have none.
func (v View) RunningTasks() map[string]int {
	running := map[string]int{}
	for id, j := range v.cluster.jobs {
		if j.runningCount > 0 {
			running[id] = j.runningCount
		}
	}
	return running
}

// RunningTasksOf returns the number of running tasks of a job.
func (v View) RunningTasksOf(id string) int {
	if j := v.cluster.jobs[id]; j != nil {
		return j.runningCount
	}
	return 0
}

// MachineView describes a machine to operators.
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

// Machines lists at most limit machines whose names come after from, in the order of names.
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

// displayState returns the machine's state as shown to operators.
func (m *machine) displayState() string {
	switch {
	case m.cloud.interruptionAt > 0:
		return "leaving"
	case m.phase == machineUp && !m.confirmed:
		return "unconfirmed"
	}
	return m.phase.String()
}

// TaskView describes an attempt to operators.
type TaskView struct {
	Task          string `cbor:"task" json:"task"`
	Attempt       uint64 `cbor:"attempt" json:"attempt"`
	Machine       string `cbor:"machine" json:"machine"`
	State         string `cbor:"state" json:"state"`
	DispatchCount int    `cbor:"probes" json:"probes"`
}

func (a *attempt) view() TaskView {
	return TaskView{Task: a.ref.String(), Attempt: a.number, Machine: a.machine.name, State: a.displayState(), DispatchCount: a.retry.dispatchCount}
}

// displayState returns the attempt's state as shown to operators.
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

// JobDetail describes a job to operators.
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

// maxAttemptsShown is the maximum number of attempts that a JobDetail lists. Its counts cover
// all attempts.
const maxAttemptsShown = 200

// Job describes a job, or returns nil if it is unknown.
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

// Waiting lists at most limit live jobs with waiting tasks whose IDs come after from, in the
// order of IDs. Attempts are not listed.
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
		Reason: j.waiting.reason.String(), Failures: j.retry.consecutiveFailures, Attempts: []TaskView{},
	}
	if j.retry.notBefore > now.Mono {
		detail.Reason, detail.RetryInS = "waits after failed attempts", (j.retry.notBefore - now.Mono).Seconds()
	}
	return detail
}

// displayState returns the job's state as shown to users.
func (j *job) displayState() string {
	switch {
	case j.cancelled:
		return wire.JobCancelled
	case j.runningCount > 0:
		return wire.JobRunning
	}
	return wire.JobPending
}

// Failures lists at most limit failed attempts, the newest first, after the first skip ones.
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

// ReconciliationDifferences lists at most limit differences of a class that reconciliation has
// found, after the first skip ones. For reconcile.None it lists those of all classes.
func (v View) ReconciliationDifferences(class reconcile.Class, skip, limit int) []reconcile.DifferenceView {
	return v.reconciler.Differences(class, skip, limit)
}
