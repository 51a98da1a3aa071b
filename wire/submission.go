package wire

import "fmt"

// Bounds on what a submission may ask, so that sums of amounts stay exact.
const (
	maxNameBytes    = 200 // in a class, team, image, type or zone name
	maxAmount       = 1e9
	maxMachineTypes = 64
)

// FieldError says what is wrong with a field of a message.
type FieldError struct {
	Field   string // its name on the wire
	Problem string
}

// Error names the field, then the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// submission is a submission as received. Pointers tell an omitted field, or a null,
// from a zero value.
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

// ParseJob decodes and validates a submission. A malformed one is answered with status 400;
// the error of the first invalid field, a FieldError, names it.
func ParseJob(body []byte) (*Job, error) {
	var received submission
	if err := Unmarshal(body, &received); err != nil {
		return nil, err
	}
	var fields fieldValidator
	job := &Job{
		ID:                  fields.jobID("uid", received.ID),
		Class:               fields.text("docket", received.Class),
		Team:                fields.text("crew", received.Team),
		Shape:               fields.oneOf("shape", received.Shape, validShape),
		Priority:            fields.oneOf("rank", received.Priority, validPriority),
		Tasks:               fields.taskCount("shifts", received.Tasks),
		CPUs:                fields.amount("cpus", received.CPUs),
		GPUs:                fields.amount("gpus", received.GPUs),
		MemoryGB:            fields.amount("memory_gb", received.MemoryGB),
		Image:               fields.text("kit", received.Image),
		ImageGB:             fields.amount("pull_gb", received.ImageGB),
		MachineTypes:        fields.machineTypes("breeds", received.MachineTypes),
		Zone:                fields.optionalText("pasture", received.Zone),
		SameZone:            fields.flag("together", received.SameZone),
		SpreadZones:         fields.flag("scatter", received.SpreadZones),
		Spot:                fields.flag("loaners", received.Spot),
		EstimatedRunS:       fields.amount("reckon_s", received.EstimatedRunS),
		CheckpointIntervalS: fields.amount("tally_s", received.CheckpointIntervalS),
		CheckpointSaveS:     fields.amount("stow_s", received.CheckpointSaveS),
		DeadlineS:           fields.optionalAmount("due_s", received.DeadlineS),
	}
	if fields.err != nil {
		return nil, fields.err
	}
	return job, nil
}

func validShape(shape string) bool {
	return shape == ShapeArray || shape == ShapeService || shape == ShapeGang
}

func validPriority(priority string) bool { return PriorityOrder(priority) >= 0 }

// fieldValidator checks the fields of a message one after the other and keeps the first
// error. Each method returns the field's value, which has no meaning once there is an error.
type fieldValidator struct{ err error }

func (v *fieldValidator) fail(field, problem string) {
	if v.err == nil {
		v.err = &FieldError{Field: field, Problem: problem}
	}
}

// text is a required text.
func (v *fieldValidator) text(field string, value *string) string {
	if value == nil {
		v.fail(field, "missing")
		return ""
	}
	return v.optionalText(field, value)
}

// optionalText is a text that may be omitted, but not be empty.
func (v *fieldValidator) optionalText(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" {
		v.fail(field, "empty")
	}
	if len(*value) > maxNameBytes {
		v.fail(field, "too long")
	}
	return *value
}

func (v *fieldValidator) jobID(field string, value *string) string {
	id := v.text(field, value)
	if !ValidJobID(id) {
		v.fail(field, "malformed")
	}
	return id
}

func (v *fieldValidator) oneOf(field string, value *string, valid func(string) bool) string {
	text := v.text(field, value)
	if !valid(text) {
		v.fail(field, fmt.Sprintf("unknown: %q", text))
	}
	return text
}

func (v *fieldValidator) taskCount(field string, value *int64) int {
	switch {
	case value == nil:
		v.fail(field, "missing")
		return 0
	case *value < 1 || *value > MaxTasks:
		v.fail(field, "out of range")
		return 0
	}
	return int(*value)
}

// amount is a required number.
func (v *fieldValidator) amount(field string, value *float64) float64 {
	if value == nil {
		v.fail(field, "missing")
		return 0
	}
	//mutation:amount-is-finite
	if !finite(*value) || *value < 0 || *value > maxAmount {
		v.fail(field, "out of range")
		return 0
	}
	return *value
}

func (v *fieldValidator) optionalAmount(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	amount := v.amount(field, value)
	return &amount
}

func (v *fieldValidator) flag(field string, value *bool) bool {
	if value == nil {
		//mutation:required-flag
		v.fail(field, "missing")
		return false
	}
	return *value
}

// machineTypes keeps a list that was sent empty apart from one that was not sent.
func (v *fieldValidator) machineTypes(field string, names []string) []string {
	if names == nil {
		return nil
	}
	if len(names) > maxMachineTypes {
		v.fail(field, "too many")
		return nil
	}
	types := make([]string, 0, len(names))
	for i := range names {
		types = append(types, v.text(field, &names[i]))
	}
	return types
}

// JobIDOf returns the job id in a body that is not a valid submission, or "".
func JobIDOf(body []byte) string {
	var received struct {
		ID string `cbor:"uid"`
	}
	if Unmarshal(body, &received) != nil || !ValidJobID(received.ID) {
		return ""
	}
	return received.ID
}
