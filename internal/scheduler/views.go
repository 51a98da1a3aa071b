package scheduler

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// RunningTasks is the number of running tasks by job, for display.
func (s *Scheduler) RunningTasks() map[string]int {
	out := map[string]int{}
	for id, j := range s.cluster.jobs {
		if j.runningCount > 0 {
			out[id] = j.runningCount
		}
	}
	return out
}

// Counters returns the running totals.
func (s *Scheduler) Counters() Counters {
	c := s.counters
	orders, traced, differences := s.reconciler.Totals()
	c.ReconcileOperations, c.ReconcileAttributed, c.Differences = uint64(orders), uint64(traced), uint64(differences)
	return c
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

// Machines lists the machines by name, at most most of them after from.
func (s *Scheduler) Machines(now Now, from string, limit int) []MachineView {
	var out []MachineView
	for _, m := range s.sortedMachines() {
		if m.name <= from {
			continue
		}
		if len(out) == limit {
			break
		}
		state := [...]string{"booting", "up", "releasing"}[m.phase]
		if m.phase == machineUp && !m.confirmed {
			state = "unconfirmed"
		}
		if m.cloud.interruptionAt > 0 {
			state = "leaving"
		}
		out = append(out, MachineView{m.name, m.machineType, m.zone, m.spot, state, len(m.tasks), m.used.cpus, len(m.images),
			(now.Mono - m.connectivity.lastHeartbeatAt).Seconds(), m.quarantine.until > now.Mono})
	}
	return out
}

// TaskView is an attempt as operators see it.
type TaskView struct {
	Task            string `cbor:"task" json:"task"`
	Attempt         uint64 `cbor:"attempt" json:"attempt"`
	Machine         string `cbor:"machine" json:"machine"`
	State           string `cbor:"state" json:"state"`
	DispatchRetries int    `cbor:"probes" json:"probes"`
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

func (j *job) state() string {
	switch {
	case j.cancelled:
		return wire.JobCancelled
	case j.runningCount > 0:
		return wire.JobRunning
	}
	return wire.JobPending
}

// Job describes a live job, or returns nil.
func (s *Scheduler) Job(now Now, id string) *JobDetail {
	j := s.cluster.jobs[id]
	if j == nil {
		return nil
	}
	detail := &JobDetail{ID: id, State: j.state(), Class: j.spec.Class, Team: j.spec.Team, Tasks: j.spec.Tasks, Done: j.progress.doneCount, Running: j.runningCount,
		Waiting: j.pendingTasks(), Reason: j.waiting.reason.String(), Failures: j.retry.failures, Attempts: []TaskView{}}
	if j.retry.at > now.Mono {
		detail.Reason, detail.RetryInS = "waits after failed attempts", (j.retry.at - now.Mono).Seconds()
	}
	for _, a := range j.sortedAttempts() {
		if len(detail.Attempts) == 200 {
			break // a page for people; counts are above
		}
		state := a.state
		switch {
		case a.stop.requested:
			state = "stopping"
		case !a.assignment.durable:
			state = "placed"
		case state == "":
			state = "starting"
		}
		detail.Attempts = append(detail.Attempts, TaskView{wire.TaskName(id, a.ref.index), a.number, a.machine.name, state, a.retry.count})
	}
	return detail
}

// Failures lists failed attempts, the newest first, skipping skip of them.
func (s *Scheduler) Failures(skip, limit int) []Failure {
	out := []Failure{}
	for i := len(s.cluster.failures) - 1 - skip; i >= 0 && len(out) < limit; i-- {
		out = append(out, s.cluster.failures[i])
	}
	return out
}

// Waiting lists live jobs that wait, with the reason, by id after from.
func (s *Scheduler) Waiting(now Now, from string, limit int) []JobDetail {
	ids := []string{}
	for id, j := range s.cluster.jobs {
		if id > from && j.pendingTasks() > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	out := []JobDetail{}
	for _, id := range ids[:min(len(ids), limit)] {
		detail := s.Job(now, id)
		detail.Attempts = nil
		out = append(out, *detail)
	}
	return out
}

// LongestHeartbeatAge is how long the quietest machine has been silent.
func (s *Scheduler) LongestHeartbeatAge(now Now) time.Duration {
	var worst time.Duration
	for _, m := range s.cluster.machines {
		if m.phase == machineUp {
			worst = max(worst, now.Mono-m.connectivity.lastHeartbeatAt)
		}
	}
	return worst
}

// RunningTasksOf is the number of the job's running tasks.
func (s *Scheduler) RunningTasksOf(id string) int {
	if j := s.cluster.jobs[id]; j != nil {
		return j.runningCount
	}
	return 0
}
