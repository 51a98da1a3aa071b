package policy

import (
	"errors"
	"fmt"
	"time"

	"go.starlark.net/starlark"
)

// settingSpec assigns a value from a script to the field of a setting, if the value has the
// type of the setting and is in its range.
type settingSpec interface {
	assign(settings *Settings, value starlark.Value) error
}

// settingSpecs maps the names of settings in scripts to their specs.
var settingSpecs = map[string]settingSpec{
	"ack_wait_s":          durationSpec{0.1, 60, func(s *Settings) *time.Duration { return &s.AckTimeout }},
	"probe_count":         countSpec{1, 30, func(s *Settings) *int { return &s.DispatchRetryCount }},
	"default_budget_s":    durationSpec{1, 86400, func(s *Settings) *time.Duration { return &s.DefaultDispatchBudget }},
	"error_backoff_s":     durationSpec{0.1, 3600, func(s *Settings) *time.Duration { return &s.ErrorBackoff }},
	"error_backoff_max_s": durationSpec{0.1, 86400, func(s *Settings) *time.Duration { return &s.MaxErrorBackoff }},
	"spare_share":         numberSpec{0, 10, func(s *Settings) *float64 { return &s.HeadroomShare }},
	"idle_release_s":      durationSpec{1, 86400, func(s *Settings) *time.Duration { return &s.IdleTimeout }},
	"max_machines":        countSpec{0, 100000, func(s *Settings) *int { return &s.MaxMachines }},
	"use_spot":            booleanSpec{func(s *Settings) *bool { return &s.UseSpot }},
	"preempt":             booleanSpec{func(s *Settings) *bool { return &s.Preempt }},
	"recovery":            booleanSpec{func(s *Settings) *bool { return &s.ReconcileRestarts }},
	"recovery_wait_s":     durationSpec{0, 600, func(s *Settings) *time.Duration { return &s.ReconcileWait }},
	"trace_file":          textSpec{func(s *Settings) *string { return &s.TraceFile }},
	"boot_patience":       numberSpec{1, 100, func(s *Settings) *float64 { return &s.BootTimeoutFactor }},
}

var errUnknownSetting = errors.New("unknown setting (names that start with _ are private to the script)")

// assign assigns a value to the named setting.
func assign(settings *Settings, name string, value starlark.Value) error {
	spec, ok := settingSpecs[name]
	if !ok {
		return errUnknownSetting
	}
	return spec.assign(settings, value)
}

// booleanSpec is a setting that is True or False.
type booleanSpec struct{ field func(*Settings) *bool }

func (spec booleanSpec) assign(settings *Settings, value starlark.Value) error {
	boolean, ok := value.(starlark.Bool)
	if !ok {
		return fmt.Errorf("must be True or False, is %s", value.Type())
	}
	*spec.field(settings) = bool(boolean)
	return nil
}

// textSpec is a setting that is a string.
type textSpec struct{ field func(*Settings) *string }

func (spec textSpec) assign(settings *Settings, value starlark.Value) error {
	text, ok := starlark.AsString(value)
	if !ok {
		return fmt.Errorf("must be a string, is %s", value.Type())
	}
	*spec.field(settings) = text
	return nil
}

// durationSpec is a setting that is a number of seconds in its range.
type durationSpec struct {
	minimum, maximum float64
	field            func(*Settings) *time.Duration
}

func (spec durationSpec) assign(settings *Settings, value starlark.Value) error {
	seconds, err := numberInRange(value, spec.minimum, spec.maximum)
	if err != nil {
		return err
	}
	*spec.field(settings) = time.Duration(seconds * float64(time.Second))
	return nil
}

// numberSpec is a setting that is a number in its range, whole or not.
type numberSpec struct {
	minimum, maximum float64
	field            func(*Settings) *float64
}

func (spec numberSpec) assign(settings *Settings, value starlark.Value) error {
	number, err := numberInRange(value, spec.minimum, spec.maximum)
	if err != nil {
		return err
	}
	*spec.field(settings) = number
	return nil
}

// countSpec is a setting that is a whole number in its range.
type countSpec struct {
	minimum, maximum float64
	field            func(*Settings) *int
}

func (spec countSpec) assign(settings *Settings, value starlark.Value) error {
	number, err := numberInRange(value, spec.minimum, spec.maximum)
	if err != nil {
		return err
	}
	if number != float64(int(number)) {
		return fmt.Errorf("must be a whole number, is %v", number)
	}
	*spec.field(settings) = int(number)
	return nil
}

// numberInRange returns the number that a script's value holds. It rejects booleans, which
// Starlark does not convert to numbers, and NaN, which is not in any range.
func numberInRange(value starlark.Value, minimum, maximum float64) (float64, error) {
	number, ok := starlark.AsFloat(value)
	if !ok {
		return 0, fmt.Errorf("must be a number, is %s", value.Type())
	}
	if !(number >= minimum && number <= maximum) {
		return 0, fmt.Errorf("must be from %v to %v, is %v", minimum, maximum, number)
	}
	return number, nil
}
