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
	RankProduction = "production"
	RankUrgent     = "urgent"
	RankNormal     = "normal"
	RankIdle       = "idle"
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
	maxName   = 200 // bytes in a class, team, image, type or zone name
	maxAmount = 1e9
	maxTypes  = 64
)

// Job is a checked submission. It is also the part of a job's record that
// never changes.
type Job struct {
	ID           string   `cbor:"uid" json:"uid"`
	Class        string   `cbor:"docket" json:"docket"`
	Team         string   `cbor:"crew" json:"crew"`
	Shape        string   `cbor:"shape" json:"shape"`
	Rank         string   `cbor:"rank" json:"rank"`
	Tasks        int      `cbor:"shifts" json:"shifts"`
	CPUs         float64  `cbor:"cpus" json:"cpus"`
	GPUs         float64  `cbor:"gpus" json:"gpus"`
	MemoryGB     float64  `cbor:"memory_gb" json:"memory_gb"`
	Image        string   `cbor:"kit" json:"kit"`
	ImageGB      float64  `cbor:"pull_gb" json:"pull_gb"`
	Types        []string `cbor:"breeds,omitempty" json:"breeds,omitempty"`
	Zone         string   `cbor:"pasture,omitempty" json:"pasture,omitempty"`
	Together     bool     `cbor:"together,omitempty" json:"together,omitempty"`
	Scatter      bool     `cbor:"scatter,omitempty" json:"scatter,omitempty"`
	Spot         bool     `cbor:"loaners,omitempty" json:"loaners,omitempty"`
	EstimateS    float64  `cbor:"reckon_s" json:"reckon_s"`
	CheckpointS  float64  `cbor:"tally_s" json:"tally_s"`
	SaveS        float64  `cbor:"stow_s" json:"stow_s"`
	DueS         *float64 `cbor:"due_s,omitempty" json:"due_s,omitempty"`
	CreatedMilli int64    `cbor:"made_ms,omitempty" json:"made_ms,omitempty"` // ours: acceptance, time of day
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool { return j.Shape == ShapeService }

// Gang reports whether the job's tasks run at the same time or not at all.
func (j *Job) Gang() bool { return j.Shape == ShapeGang }

// jobBody is a submission as received: null and omitted are the same.
type jobBody struct {
	ID          *string  `cbor:"uid"`
	Class       *string  `cbor:"docket"`
	Team        *string  `cbor:"crew"`
	Shape       *string  `cbor:"shape"`
	Rank        *string  `cbor:"rank"`
	Tasks       *int64   `cbor:"shifts"`
	CPUs        *float64 `cbor:"cpus"`
	GPUs        *float64 `cbor:"gpus"`
	MemoryGB    *float64 `cbor:"memory_gb"`
	Image       *string  `cbor:"kit"`
	ImageGB     *float64 `cbor:"pull_gb"`
	Types       []string `cbor:"breeds"`
	Zone        *string  `cbor:"pasture"`
	Together    *bool    `cbor:"together"`
	Scatter     *bool    `cbor:"scatter"`
	Spot        *bool    `cbor:"loaners"`
	EstimateS   *float64 `cbor:"reckon_s"`
	CheckpointS *float64 `cbor:"tally_s"`
	SaveS       *float64 `cbor:"stow_s"`
	DueS        *float64 `cbor:"due_s"`
}

// ValidID reports whether id has the form of a job id, run-000412: the prefix
// and six to eighteen digits.
func ValidID(id string) bool {
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
	var b jobBody
	if err := Unmarshal(body, &b); err != nil {
		return nil, err
	}
	j := &Job{}
	var err error
	fail := func(field, why string) {
		if err == nil {
			err = fmt.Errorf("%s: %s", field, why)
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
		case len(*p) > maxName:
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

	j.ID = text("uid", b.ID, true)
	if err == nil && !ValidID(j.ID) {
		fail("uid", "malformed")
	}
	j.Class = text("docket", b.Class, true)
	j.Team = text("crew", b.Team, true)
	j.Shape = text("shape", b.Shape, true)
	if err == nil && j.Shape != ShapeArray && j.Shape != ShapeService && j.Shape != ShapeGang {
		fail("shape", fmt.Sprintf("unknown: %q", j.Shape))
	}
	j.Rank = text("rank", b.Rank, true)
	if err == nil && RankOrder(j.Rank) < 0 {
		fail("rank", fmt.Sprintf("unknown: %q", j.Rank))
	}
	if b.Tasks == nil {
		fail("shifts", "missing")
	} else if *b.Tasks < 1 || *b.Tasks > MaxTasks {
		fail("shifts", "out of range")
	} else {
		j.Tasks = int(*b.Tasks)
	}
	j.CPUs = amount("cpus", b.CPUs, true)
	j.GPUs = amount("gpus", b.GPUs, true)
	j.MemoryGB = amount("memory_gb", b.MemoryGB, true)
	j.Image = text("kit", b.Image, true)
	j.ImageGB = amount("pull_gb", b.ImageGB, true)
	if len(b.Types) > maxTypes {
		fail("breeds", "too many")
	}
	if b.Types != nil { // an empty list allows no type: the job never fits
		j.Types = make([]string, 0, len(b.Types))
	}
	for i := range b.Types {
		j.Types = append(j.Types, text("breeds", &b.Types[i], true))
	}
	j.Zone = text("pasture", b.Zone, false)
	j.Together = flag("together", b.Together)
	j.Scatter = flag("scatter", b.Scatter)
	j.Spot = flag("loaners", b.Spot)
	j.EstimateS = amount("reckon_s", b.EstimateS, true)
	j.CheckpointS = amount("tally_s", b.CheckpointS, true)
	j.SaveS = amount("stow_s", b.SaveS, true)
	if b.DueS != nil {
		d := amount("due_s", b.DueS, false)
		j.DueS = &d
	}
	if err != nil {
		return nil, err
	}
	return j, nil
}

// RankOrder gives a priority's order, 0 the highest, or -1 if it is unknown.
func RankOrder(rank string) int {
	switch rank {
	case RankProduction:
		return 0
	case RankUrgent:
		return 1
	case RankNormal:
		return 2
	case RankIdle:
		return 3
	}
	return -1
}

// ZoneCap is the most tasks of the job that one zone may hold.
func (j *Job) ZoneCap() int {
	if j.Scatter {
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

// JobState is the short answer to a submission or a cancellation.
type JobState struct {
	ID    string `cbor:"uid" json:"uid"`
	State string `cbor:"standing" json:"standing"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `cbor:"error" json:"error"`
}

// IDOf finds the job id in a body that is not a valid submission, or "".
func IDOf(body []byte) string {
	var b struct {
		ID string `cbor:"uid"`
	}
	if Unmarshal(body, &b) != nil || !ValidID(b.ID) {
		return ""
	}
	return b.ID
}
