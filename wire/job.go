package wire

import (
	"math"
	"strings"
)

// Shapes of a job.
const (
	ShapeArray   = "batch"  // independent tasks that end by themselves
	ShapeService = "daemon" // tasks that run until the job is cancelled
	ShapeGang    = "gang"   // gang scheduling: tasks that run at the same time, or not at all
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

// Job is a validated submission. It is also the immutable part of a job's stored record.
// An empty, non-nil list of machine types allows none: the job never fits.
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
	CreatedAtMilli      int64    `cbor:"made_ms,omitempty" json:"made_ms,omitempty"` // time of day of the acceptance; not part of a submission
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// Gang reports whether the job's tasks run at the same time or not at all.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// The form of a job id.
const (
	jobIDPrefix    = "run-"
	minJobIDDigits = 6
	maxJobIDDigits = 18
)

// ValidJobID reports whether id has the form of a job id, run-000412: the prefix
// and six to eighteen digits.
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

// PriorityOrder returns a priority's order, 0 for the highest, or -1 if it is unknown.
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

// MaxTasksPerZone returns how many tasks of the job one zone may hold at the most.
func (j *Job) MaxTasksPerZone() int {
	if j.SpreadZones {
		return (j.Tasks + 1) / 2
	}
	return math.MaxInt
}

// JobView is the answer to a query about a job.
type JobView struct {
	ID      string `cbor:"uid" json:"uid"`
	State   string `cbor:"standing" json:"standing"`
	Done    int    `cbor:"done" json:"done"`
	Running int    `cbor:"running" json:"running"`
}

// JobStateReply is the answer to a submission or a cancellation.
type JobStateReply struct {
	ID    string `cbor:"uid" json:"uid"`
	State string `cbor:"standing" json:"standing"`
}

// ErrorReply is the body of an error answer.
type ErrorReply struct {
	Message string `cbor:"error" json:"error"`
}
