package wire

import (
	"fmt"
	"math"
)

// Shapes of a job.
const (
	ShapeArray   = "batch"
	ShapeService = "daemon"
	ShapeGang    = "gang" // tasks that run at the same time, or not at all
)

// Priorities, highest first.
const (
	PriorityProduction = "production"
	PriorityUrgent     = "urgent"
	PriorityNormal     = "normal"
	PriorityIdle       = "idle"
)

// States of a job.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// Bounds on what a submission may ask, so that sums of amounts stay exact.
const (
	maxNameBytes    = 200 // bytes in a class, team, image, type or zone name
	maxAmount       = 1e9
	maxMachineTypes = 64
)

// Job is a checked submission. It is also the part of a job's record that
// never changes.
type Job struct {
	ID                  string   `cbor:"uid" json:"uid"`
	Class               string   `cbor:"docket" json:"docket"`
	Team                string   `cbor:"crew" json:"crew"`
	Shape               string   `cbor:"shape" json:"shape"`
	Priority            string   `cbor:"rank" json:"rank"`
	Tasks               int      `cbor:"shifts" json:"shifts"`
	CPUs                float64  `cbor:"cpus" json:"cpus"`
	GPUs                float64  `cbor:"gpus" json:"gpus"`
	MemoryGB            float64  `cbor:"memory_gb" json:"memory_gb"`
	Image               string   `cbor:"kit" json:"kit"`
	ImageGB             float64  `cbor:"pull_gb" json:"pull_gb"`
	MachineTypes        []string `cbor:"breeds,omitempty" json:"breeds,omitempty"`
	Zone                string   `cbor:"pasture,omitempty" json:"pasture,omitempty"`
	SameZone            bool     `cbor:"together,omitempty" json:"together,omitempty"`
	SpreadZones         bool     `cbor:"scatter,omitempty" json:"scatter,omitempty"`
	Spot                bool     `cbor:"loaners,omitempty" json:"loaners,omitempty"`
	EstimatedRunS       float64  `cbor:"reckon_s" json:"reckon_s"`
	CheckpointIntervalS float64  `cbor:"tally_s" json:"tally_s"`
	CheckpointSaveS     float64  `cbor:"stow_s" json:"stow_s"`
	DeadlineS           *float64 `cbor:"due_s,omitempty" json:"due_s,omitempty"`
	CreatedAtMilli      int64    `cbor:"made_ms,omitempty" json:"made_ms,omitempty"` // ours: acceptance, time of day
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// Gang reports whether the job's tasks run at the same time or not at all.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// submission is a submission as received: null and omitted are the same.
type submission struct {
	ID                  *string  `cbor:"uid"`
	Class               *string  `cbor:"docket"`
	Team                *string  `cbor:"crew"`
	Shape               *string  `cbor:"shape"`
	Priority            *string  `cbor:"rank"`
	Tasks               *int64   `cbor:"shifts"`
	CPUs                *float64 `cbor:"cpus"`
	GPUs                *float64 `cbor:"gpus"`
	MemoryGB            *float64 `cbor:"memory_gb"`
	Image               *string  `cbor:"kit"`
	ImageGB             *float64 `cbor:"pull_gb"`
	MachineTypes        []string `cbor:"breeds"`
	Zone                *string  `cbor:"pasture"`
	SameZone            *bool    `cbor:"together"`
	SpreadZones         *bool    `cbor:"scatter"`
	Spot                *bool    `cbor:"loaners"`
	EstimatedRunS       *float64 `cbor:"reckon_s"`
	CheckpointIntervalS *float64 `cbor:"tally_s"`
	CheckpointSaveS     *float64 `cbor:"stow_s"`
	DeadlineS           *float64 `cbor:"due_s"`
}

// ValidJobID reports whether id has the form of a job id, run-000412: the prefix
// and six to eighteen digits.
func ValidJobID(id string) bool {
	const prefix = "run-"
	if len(id) < len(prefix)+6 || len(id) > len(prefix)+18 || id[:len(prefix)] != prefix {
		return false
	}
	for _, c := range id[len(prefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// ParseJob decodes and checks a submission. Every error means 400.
func ParseJob(body []byte) (*Job, error) {
	var received submission
	if err := Unmarshal(body, &received); err != nil {
		return nil, err
	}
	j := &Job{}
	var err error
	fail := func(field, problem string) {
		if err == nil {
			err = fmt.Errorf("%s: %s", field, problem)
		}
	}
	text := func(field string, p *string, required bool) string {
		switch {
		case p == nil && required:
			fail(field, "missing")
		case p == nil:
			return ""
		case *p == "":
			fail(field, "empty")
		case len(*p) > maxNameBytes:
			fail(field, "too long")
		}
		if p == nil {
			return ""
		}
		return *p
	}
	amount := func(field string, p *float64, required bool) float64 {
		if p == nil {
			if required {
				fail(field, "missing")
			}
			return 0
		}
		//mutation:amount-is-finite
		if !finite(*p) || *p < 0 || *p > maxAmount {
			fail(field, "out of range")
			return 0
		}
		return *p
	}
	flag := func(field string, p *bool) bool {
		if p == nil {
			//mutation:required-flag
			fail(field, "missing")
			return false
		}
		return *p
	}

	j.ID = text("uid", received.ID, true)
	if err == nil && !ValidJobID(j.ID) {
		fail("uid", "malformed")
	}
	j.Class = text("docket", received.Class, true)
	j.Team = text("crew", received.Team, true)
	j.Shape = text("shape", received.Shape, true)
	if err == nil && j.Shape != ShapeArray && j.Shape != ShapeService && j.Shape != ShapeGang {
		fail("shape", fmt.Sprintf("unknown: %q", j.Shape))
	}
	j.Priority = text("rank", received.Priority, true)
	if err == nil && PriorityOrder(j.Priority) < 0 {
		fail("rank", fmt.Sprintf("unknown: %q", j.Priority))
	}
	if received.Tasks == nil {
		fail("shifts", "missing")
	} else if *received.Tasks < 1 || *received.Tasks > MaxTasks {
		fail("shifts", "out of range")
	} else {
		j.Tasks = int(*received.Tasks)
	}
	j.CPUs = amount("cpus", received.CPUs, true)
	j.GPUs = amount("gpus", received.GPUs, true)
	j.MemoryGB = amount("memory_gb", received.MemoryGB, true)
	j.Image = text("kit", received.Image, true)
	j.ImageGB = amount("pull_gb", received.ImageGB, true)
	if len(received.MachineTypes) > maxMachineTypes {
		fail("breeds", "too many")
	}
	if received.MachineTypes != nil { // an empty list allows no type: the job never fits
		j.MachineTypes = make([]string, 0, len(received.MachineTypes))
	}
	for i := range received.MachineTypes {
		j.MachineTypes = append(j.MachineTypes, text("breeds", &received.MachineTypes[i], true))
	}
	j.Zone = text("pasture", received.Zone, false)
	j.SameZone = flag("together", received.SameZone)
	j.SpreadZones = flag("scatter", received.SpreadZones)
	j.Spot = flag("loaners", received.Spot)
	j.EstimatedRunS = amount("reckon_s", received.EstimatedRunS, true)
	j.CheckpointIntervalS = amount("tally_s", received.CheckpointIntervalS, true)
	j.CheckpointSaveS = amount("stow_s", received.CheckpointSaveS, true)
	if received.DeadlineS != nil {
		d := amount("due_s", received.DeadlineS, false)
		j.DeadlineS = &d
	}
	if err != nil {
		return nil, err
	}
	return j, nil
}

// PriorityOrder gives a priority's order, 0 the highest, or -1 if it is unknown.
func PriorityOrder(priority string) int {
	switch priority {
	case PriorityProduction:
		return 0
	case PriorityUrgent:
		return 1
	case PriorityNormal:
		return 2
	case PriorityIdle:
		return 3
	}
	return -1
}

// MaxTasksPerZone is the most tasks of the job that one zone may hold.
func (j *Job) MaxTasksPerZone() int {
	if j.SpreadZones {
		return (j.Tasks + 1) / 2
	}
	return math.MaxInt
}

// JobView is what users are told of a job.
type JobView struct {
	ID      string `cbor:"uid" json:"uid"`
	State   string `cbor:"standing" json:"standing"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// JobStateReply is the short answer to a submission or a cancellation.
type JobStateReply struct {
	ID    string `cbor:"uid" json:"uid"`
	State string `cbor:"standing" json:"standing"`
}

// ErrorReply is the body of a refusal.
type ErrorReply struct {
	Message string `cbor:"error" json:"error"`
}

// JobIDOf finds the job id in a body that is not a valid submission, or "".
func JobIDOf(body []byte) string {
	var received struct {
		ID string `cbor:"uid"`
	}
	if Unmarshal(body, &received) != nil || !ValidJobID(received.ID) {
		return ""
	}
	return received.ID
}
