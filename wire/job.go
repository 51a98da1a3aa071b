package wire

import (
	"math"
	"strings"
)

// Shapes of a job.
const (
	ShapeArray   = "batch"  // independent tasks that run to completion
	ShapeService = "daemon" // tasks that run until the job is cancelled
	ShapeGang    = "gang"   // gang scheduling: all tasks run at the same time, or none does
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

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100_000

// Job is a validated submission. It is also the immutable part of a job's stored record.
// A nil MachineTypes allows every machine type. An empty, non-nil list allows none, so that
// the submission is refused. CPUs, GPUs and MemoryGB are the resources of one task.
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
	EstimatedRunS       float64  `cbor:"reckon_s" json:"reckon_s"`                   // estimated run time of a task
	CheckpointIntervalS float64  `cbor:"tally_s" json:"tally_s"`                     // 0: the tasks write no checkpoints
	CheckpointSaveS     float64  `cbor:"stow_s" json:"stow_s"`                       // time to write a checkpoint
	DeadlineS           *float64 `cbor:"due_s,omitempty" json:"due_s,omitempty"`     // from the submission; nil: no deadline
	CreatedAtMilli      int64    `cbor:"made_ms,omitempty" json:"made_ms,omitempty"` // Unix time of the submission, set by the controller
}

// Service reports whether the job's tasks run until the job is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// Gang reports whether the job is gang-scheduled: its tasks run at the same time or not at all.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// Format of a job ID.
const (
	jobIDPrefix    = "run-"
	minJobIDDigits = 6
	maxJobIDDigits = 18
)

// ValidJobID reports whether id has the format of a job ID: the prefix run- followed by six to
// eighteen digits, for example run-000412.
func ValidJobID(id string) bool {
	digits, hasPrefix := strings.CutPrefix(id, jobIDPrefix)
	return hasPrefix && len(digits) >= minJobIDDigits && len(digits) <= maxJobIDDigits && onlyDigits(digits)
}

func onlyDigits(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// PriorityOrder returns the position of a priority, counted from 0 for the highest, or -1 if the
// priority is unknown.
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

// MaxTasksPerZone returns the maximum number of the job's tasks in one zone.
func (j *Job) MaxTasksPerZone() int {
	if j.SpreadZones {
		return (j.Tasks + 1) / 2
	}
	return math.MaxInt
}

// JobView is the response to a query about a job. Done and Running count tasks.
type JobView struct {
	ID      string `cbor:"uid" json:"uid"`
	State   string `cbor:"standing" json:"standing"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// JobStateReply is the response to a submission or a cancellation.
type JobStateReply struct {
	ID    string `cbor:"uid" json:"uid"`
	State string `cbor:"standing" json:"standing"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Message string `cbor:"error" json:"error"`
}
