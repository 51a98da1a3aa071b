package wire

import "fmt"

// Limits on the fields of a submission.
const (
	maxNameBytes    = 200 // in a class, team, image, type or zone name
	maxAmount       = 1e9 // bounds sums of amounts, so that sums of whole numbers stay exact
	maxMachineTypes = 64
)

// FieldError reports an invalid field of a message.
type FieldError struct {
	Field   string // name of the field on the wire
	Problem string
}

// Error returns the field's name followed by the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// submission is a decoded submission before validation. Pointers distinguish an omitted or
// null field from a zero value.
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

// ParseJob decodes and validates a submission. If fields are invalid, it returns a FieldError
// for the first of them. A malformed submission is answered with status 400, unless its job exists.
func ParseJob(body []byte) (*Job, error) {
	var received submission
	if err := Unmarshal(body, &received); err != nil {
		return nil, err
	}
	var fields fieldValidator
	job := &Job{
		ID:                  fields.jobID("uid", received.ID),
		Class:               fields.requiredText("docket", received.Class),
		Team:                fields.requiredText("crew", received.Team),
		Shape:               fields.oneOf("shape", received.Shape, validShape),
		Priority:            fields.oneOf("rank", received.Priority, validPriority),
		Tasks:               fields.taskCount("shifts", received.Tasks),
		CPUs:                fields.requiredAmount("cpus", received.CPUs),
		GPUs:                fields.requiredAmount("gpus", received.GPUs),
		MemoryGB:            fields.requiredAmount("memory_gb", received.MemoryGB),
		Image:               fields.requiredText("kit", received.Image),
		ImageGB:             fields.requiredAmount("pull_gb", received.ImageGB),
		MachineTypes:        fields.machineTypes("breeds", received.MachineTypes),
		Zone:                fields.optionalText("pasture", received.Zone),
		SameZone:            fields.requiredFlag("together", received.SameZone),
		SpreadZones:         fields.requiredFlag("scatter", received.SpreadZones),
		Spot:                fields.requiredFlag("loaners", received.Spot),
		EstimatedRunS:       fields.requiredAmount("reckon_s", received.EstimatedRunS),
		CheckpointIntervalS: fields.requiredAmount("tally_s", received.CheckpointIntervalS),
		CheckpointSaveS:     fields.requiredAmount("stow_s", received.CheckpointSaveS),
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

// fieldValidator checks the fields of a message in turn and keeps the first error. Each method
// returns the field's value, which is meaningless once err is set.
type fieldValidator struct{ err error }

func (v *fieldValidator) fail(field, problem string) {
	if v.err == nil {
		v.err = &FieldError{Field: field, Problem: problem}
	}
}

// requiredText checks a string that must be present and not empty.
func (v *fieldValidator) requiredText(field string, value *string) string {
	if value == nil {
		v.fail(field, "missing")
		return ""
	}
	return v.optionalText(field, value)
}

// optionalText checks a string that may be omitted but must not be empty.
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
	id := v.requiredText(field, value)
	if !ValidJobID(id) {
		v.fail(field, "malformed")
	}
	return id
}

func (v *fieldValidator) oneOf(field string, value *string, valid func(string) bool) string {
	text := v.requiredText(field, value)
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

// requiredAmount checks a number that must be present, finite and between 0 and maxAmount.
func (v *fieldValidator) requiredAmount(field string, value *float64) float64 {
	if value == nil {
		v.fail(field, "missing")
		return 0
	}
	//mutation:amount-is-finite
	if !isFinite(*value) || *value < 0 || *value > maxAmount {
		v.fail(field, "out of range")
		return 0
	}
	return *value
}

func (v *fieldValidator) optionalAmount(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	amount := v.requiredAmount(field, value)
	return &amount
}

func (v *fieldValidator) requiredFlag(field string, value *bool) bool {
	if value == nil {
		//mutation:required-flag
		v.fail(field, "missing")
		return false
	}
	return *value
}

// machineTypes checks a list of machine types. It returns nil for an omitted list and a non-nil
// empty slice for an empty one.
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
		types = append(types, v.requiredText(field, &names[i]))
	}
	return types
}

// JobIDOf returns the job ID in the body of a submission whose other fields may be invalid. It
// returns "" if the body cannot be decoded or the ID is invalid.
func JobIDOf(body []byte) string {
	var received struct {
		ID string `cbor:"uid"`
	}
	if Unmarshal(body, &received) != nil || !ValidJobID(received.ID) {
		return ""
	}
	return received.ID
}
