// Package policy reads the operators' own settings from a Starlark script. The
// script is evaluated once, at start, with bounded steps and without any access
// to the outside; its global names are the settings.
package policy

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Settings are what operators may set.
type Settings struct {
	AckTimeout            time.Duration // wait for a start's acknowledgement
	DispatchRetryCount    int           // probes into which a task's budget is divided
	DefaultDispatchBudget time.Duration // budget of tasks whose job has no deadline
	ErrorBackoff          time.Duration // first pause of a job after a failed attempt
	MaxErrorBackoff       time.Duration // longest such pause
	HeadroomShare         float64       // spare capacity, as a share of what is in use
	IdleTimeout           time.Duration // how long a machine may stand idle
	MaxMachines           int           // most machines rented at once; 0: no bound
	UseSpot               bool          // rent spot machines for jobs that allow them
	Preempt               bool          // stop lower work to make room
	BootTimeoutFactor     float64       // multiple of the usual boot time to wait
	ReconcileRestarts     bool          // hold back, after a change of leader, what unheard machines may make needless
	ReconcileWait         time.Duration // how long machines may take to report then; 0: follows from their intervals
	TraceFile             string        // where spans go: empty nowhere, "-" standard output, else a file
}

// Defaults are the settings without a script. Thrifty is whether price or
// useful work is among the deployment's aims.
func Defaults(costSensitive bool) Settings {
	s := Settings{
		AckTimeout:            tuning.AckTimeout,
		DispatchRetryCount:    tuning.DispatchRetryCount,
		DefaultDispatchBudget: tuning.DefaultDispatchBudget,
		ErrorBackoff:          tuning.ErrorBackoff,
		MaxErrorBackoff:       tuning.MaxErrorBackoff,
		HeadroomShare:         tuning.HeadroomShare,
		IdleTimeout:           tuning.IdleTimeout,
		UseSpot:               true,
		Preempt:               true,
		BootTimeoutFactor:     tuning.BootTimeoutFactor,
	}
	if costSensitive {
		s.HeadroomShare, s.IdleTimeout = tuning.CostSensitiveHeadroomShare, tuning.CostSensitiveIdleTimeout
	}
	return s
}

// settingSpec describes one named setting: where it goes and what it may be.
type settingSpec struct {
	doc              string
	minimum, maximum float64
	seconds          func(*Settings) *time.Duration
	number           func(*Settings) *float64
	count            func(*Settings) *int
	boolean          func(*Settings) *bool
	text             func(*Settings) *string
}

var settingSpecs = map[string]settingSpec{
	"ack_wait_s":          {doc: "seconds to wait for a start's acknowledgement", minimum: 0.1, maximum: 60, seconds: func(s *Settings) *time.Duration { return &s.AckTimeout }},
	"probe_count":         {doc: "probes into which a task's time budget is divided", minimum: 1, maximum: 30, count: func(s *Settings) *int { return &s.DispatchRetryCount }},
	"default_budget_s":    {doc: "time budget in seconds of tasks without a deadline", minimum: 1, maximum: 86400, seconds: func(s *Settings) *time.Duration { return &s.DefaultDispatchBudget }},
	"error_backoff_s":     {doc: "first pause of a job after a failed attempt, in seconds", minimum: 0.1, maximum: 3600, seconds: func(s *Settings) *time.Duration { return &s.ErrorBackoff }},
	"error_backoff_max_s": {doc: "longest pause of a job after failed attempts, in seconds", minimum: 0.1, maximum: 86400, seconds: func(s *Settings) *time.Duration { return &s.MaxErrorBackoff }},
	"spare_share":         {doc: "spare capacity kept, as a share of what is in use", minimum: 0, maximum: 10, number: func(s *Settings) *float64 { return &s.HeadroomShare }},
	"idle_release_s":      {doc: "seconds that a machine may stand idle", minimum: 1, maximum: 86400, seconds: func(s *Settings) *time.Duration { return &s.IdleTimeout }},
	"max_machines":        {doc: "most machines rented at once, 0 for no bound", minimum: 0, maximum: 100000, count: func(s *Settings) *int { return &s.MaxMachines }},
	"use_spot":            {doc: "rent spot machines for jobs that allow them", boolean: func(s *Settings) *bool { return &s.UseSpot }},
	"preempt":             {doc: "stop lower work to make room for higher", boolean: func(s *Settings) *bool { return &s.Preempt }},
	"recovery":            {doc: "hold back what unheard machines may make needless after a change of leader", boolean: func(s *Settings) *bool { return &s.ReconcileRestarts }},
	"recovery_wait_s":     {doc: "seconds that machines may take to report then, 0 for the default", minimum: 0, maximum: 600, seconds: func(s *Settings) *time.Duration { return &s.ReconcileWait }},
	"trace_file":          {doc: "file for trace spans, \"-\" for standard output, \"\" for none", text: func(s *Settings) *string { return &s.TraceFile }},
	"boot_patience":       {doc: "multiple of the usual boot time before a machine is given back", minimum: 1, maximum: 100, number: func(s *Settings) *float64 { return &s.BootTimeoutFactor }},
}

// Describe lists the settings with their meaning, for help texts.
func Describe() []string {
	var out []string
	for n, e := range settingSpecs {
		out = append(out, fmt.Sprintf("%-20s %s", n, e.doc))
	}
	sort.Strings(out)
	return out
}

// maxSteps bounds a script's evaluation: a few milliseconds of work.
const maxSteps = 1_000_000

// Load evaluates the script at path over the defaults.
func Load(path string, s Settings) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Eval(path, string(b), s)
}

// Eval evaluates a script over the defaults. Errors name file and line.
func Eval(name, src string, s Settings) (Settings, error) {
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, prog, err := starlark.SourceProgramOptions(opts, name, src, func(string) bool { return false })
	if err != nil {
		return s, err
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := prog.Init(thread, nil)
	if err != nil {
		var ee *starlark.EvalError
		if errors.As(err, &ee) {
			return s, fmt.Errorf("%s", ee.Backtrace())
		}
		return s, err
	}
	lines := map[string]syntax.Position{}
	for _, st := range file.Stmts {
		syntax.Walk(st, func(n syntax.Node) bool {
			if a, ok := n.(*syntax.AssignStmt); ok {
				if id, ok := a.LHS.(*syntax.Ident); ok {
					lines[id.Name] = id.NamePos
				}
			}
			return true
		})
	}
	names := globals.Keys()
	sort.Strings(names)
	for _, n := range names {
		if strings.HasPrefix(n, "_") {
			continue
		}
		if _, isFunc := globals[n].(starlark.Callable); isFunc {
			continue
		}
		if err := assign(&s, n, globals[n]); err != nil {
			return s, fmt.Errorf("%s: %s: %w", lines[n], n, err)
		}
	}
	if s.MaxErrorBackoff < s.ErrorBackoff {
		return s, fmt.Errorf("%s: error_backoff_max_s: below error_backoff_s", name)
	}
	return s, nil
}

func assign(s *Settings, name string, v starlark.Value) error {
	e, ok := settingSpecs[name]
	if !ok {
		return errors.New("no such setting (names starting with _ are the script's own)")
	}
	if e.boolean != nil {
		b, ok := v.(starlark.Bool)
		if !ok {
			return fmt.Errorf("wants True or False, is %s", v.Type())
		}
		*e.boolean(s) = bool(b)
		return nil
	}
	if e.text != nil {
		text, ok := starlark.AsString(v)
		if !ok {
			return fmt.Errorf("wants a string, is %s", v.Type())
		}
		*e.text(s) = text
		return nil
	}
	if _, isBool := v.(starlark.Bool); isBool {
		return fmt.Errorf("wants a number, is %s", v.Type())
	}
	f, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("wants a number, is %s", v.Type())
	}
	if !(f >= e.minimum && f <= e.maximum) {
		return fmt.Errorf("must be from %v to %v, is %v", e.minimum, e.maximum, f)
	}
	switch {
	case e.seconds != nil:
		*e.seconds(s) = time.Duration(f * float64(time.Second))
	case e.number != nil:
		*e.number(s) = f
	default:
		if f != float64(int(f)) {
			return fmt.Errorf("wants a whole number, is %v", f)
		}
		*e.count(s) = int(f)
	}
	return nil
}
