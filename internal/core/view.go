package core

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Running is the number of running tasks by job, for display.
func (l *Leader) Running() map[string]int {
	out := map[string]int{}
	for id, j := range l.jobs {
		if j.running > 0 {
			out[id] = j.running
		}
	}
	return out
}

// Counters returns the running totals.
func (l *Leader) Counters() Counters {
	c := l.count
	orders, traced, differences := l.recovery.Totals()
	c.RecoveryOrders, c.RecoveryTraced, c.Differences = uint64(orders), uint64(traced), uint64(differences)
	return c
}

// MachineView is a machine as operators see it.
type MachineView struct {
	Name   string  `cbor:"name" json:"name"`
	Type   string  `cbor:"type" json:"type"`
	Zone   string  `cbor:"zone" json:"zone"`
	Spot   bool    `cbor:"spot" json:"spot"`
	State  string  `cbor:"state" json:"state"`
	Tasks  int     `cbor:"tasks" json:"tasks"`
	CPUs   float64 `cbor:"cpus_used" json:"cpus_used"`
	Images int     `cbor:"images" json:"images"`
	QuietS float64 `cbor:"quiet_s" json:"quiet_s"`
	Avoid  bool    `cbor:"avoided" json:"avoided"`
}

// Machines lists the machines by name, at most most of them after from.
func (l *Leader) Machines(now Now, from string, most int) []MachineView {
	var out []MachineView
	for _, m := range l.sorted() {
		if m.name <= from {
			continue
		}
		if len(out) == most {
			break
		}
		state := [...]string{"booting", "up", "releasing"}[m.phase]
		if m.phase == up && !m.confirmed {
			state = "unconfirmed"
		}
		if m.leaveBy > 0 {
			state = "leaving"
		}
		out = append(out, MachineView{m.name, m.typ, m.zone, m.spot, state, len(m.tasks), m.cpus, len(m.images),
			(now.Mono - m.heardAt).Seconds(), m.suspect > now.Mono})
	}
	return out
}

// TaskView is an attempt as operators see it.
type TaskView struct {
	Task    string `cbor:"task" json:"task"`
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	Machine string `cbor:"machine" json:"machine"`
	State   string `cbor:"state" json:"state"`
	Probes  int    `cbor:"probes" json:"probes"`
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
	Why      string     `cbor:"why" json:"why"`
	Failures int        `cbor:"failures" json:"failures"`
	RetryInS float64    `cbor:"retry_in_s" json:"retry_in_s"`
	Attempts []TaskView `cbor:"attempts" json:"attempts"`
}

func (j *job) state() string {
	switch {
	case j.cancelled:
		return wire.JobCancelled
	case j.running > 0:
		return wire.JobRunning
	}
	return wire.JobPending
}

// Job describes a live job, or returns nil.
func (l *Leader) Job(now Now, id string) *JobDetail {
	j := l.jobs[id]
	if j == nil {
		return nil
	}
	d := &JobDetail{ID: id, State: j.state(), Class: j.spec.Class, Team: j.spec.Team, Tasks: j.spec.Tasks, Done: j.nDone, Running: j.running,
		Waiting: j.pending(), Why: j.why, Failures: j.failures, Attempts: []TaskView{}}
	if j.retryAt > now.Mono {
		d.Why, d.RetryInS = "waits after failed attempts", (j.retryAt - now.Mono).Seconds()
	}
	for _, a := range j.attempts() {
		if len(d.Attempts) == 200 {
			break // a page for people; counts are above
		}
		state := a.state
		switch {
		case a.halt:
			state = "stopping"
		case !a.recorded:
			state = "placed"
		case state == "":
			state = "starting"
		}
		d.Attempts = append(d.Attempts, TaskView{wire.TaskName(id, a.ref.index), a.number, a.m.name, state, a.probes})
	}
	return d
}

// Failures lists failed attempts, the newest first, skipping skip of them.
func (l *Leader) Failures(skip, most int) []Failure {
	out := []Failure{}
	for i := len(l.failures) - 1 - skip; i >= 0 && len(out) < most; i-- {
		out = append(out, l.failures[i])
	}
	return out
}

// Waiting lists live jobs that wait, with the reason, by id after from.
func (l *Leader) Waiting(now Now, from string, most int) []JobDetail {
	ids := []string{}
	for id, j := range l.jobs {
		if id > from && j.pending() > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	out := []JobDetail{}
	for _, id := range ids[:min(len(ids), most)] {
		d := l.Job(now, id)
		d.Attempts = nil
		out = append(out, *d)
	}
	return out
}

// LongestSilence is how long the quietest machine has been silent.
func (l *Leader) LongestSilence(now Now) time.Duration {
	var worst time.Duration
	for _, m := range l.machines {
		if m.phase == up {
			worst = max(worst, now.Mono-m.heardAt)
		}
	}
	return worst
}

// RunningOf is the number of the job's running tasks.
func (l *Leader) RunningOf(id string) int {
	if j := l.jobs[id]; j != nil {
		return j.running
	}
	return 0
}
