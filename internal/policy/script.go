package policy

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps bounds the evaluation of a script to a few milliseconds of work.
const maxSteps = 1_000_000

// Load evaluates the script at path, starting from the defaults.
func Load(path string, defaults Settings) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return defaults, err
	}
	return Eval(path, string(source), defaults)
}

// Eval evaluates a script, starting from the defaults. Its errors name the file and the line.
// There are two exceptions: the error for an error_backoff_max_s below error_backoff_s names only
// the file, and an error in a setting that no plain assignment sets has no position.
func Eval(name, source string, defaults Settings) (Settings, error) {
	settings := defaults
	globals, positions, err := execute(name, source)
	if err != nil {
		return settings, err
	}
	for _, global := range slices.Sorted(slices.Values(globals.Keys())) {
		if isPrivate(global, globals[global]) {
			continue
		}
		if err := assign(&settings, global, globals[global]); err != nil {
			return settings, fmt.Errorf("%s: %s: %w", positions[global], global, err)
		}
	}
	if settings.MaxErrorBackoff < settings.ErrorBackoff {
		return settings, fmt.Errorf("%s: error_backoff_max_s: below error_backoff_s", name)
	}
	return settings, nil
}

// execute runs a script and returns its global variables with their values and positions.
func execute(name, source string) (starlark.StringDict, map[string]syntax.Position, error) {
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, program, err := starlark.SourceProgramOptions(options, name, source, func(string) bool { return false })
	if err != nil {
		return nil, nil, err
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := program.Init(thread, nil)
	var evalError *starlark.EvalError
	if errors.As(err, &evalError) {
		return nil, nil, errors.New(evalError.Backtrace())
	}
	return globals, assignmentPositions(file), err
}

// assignmentPositions returns the position of the last plain assignment to each name, including
// assignments to local variables of functions. Names that only a tuple assignment or a for loop
// sets have no position.
func assignmentPositions(file *syntax.File) map[string]syntax.Position {
	positions := map[string]syntax.Position{}
	visit := func(node syntax.Node) bool {
		assignment, ok := node.(*syntax.AssignStmt)
		if !ok {
			return true
		}
		if target, ok := assignment.LHS.(*syntax.Ident); ok {
			positions[target.Name] = target.NamePos
		}
		return true
	}
	for _, statement := range file.Stmts {
		syntax.Walk(statement, visit)
	}
	return positions
}

// isPrivate reports whether a global name is private to the script and not a setting.
func isPrivate(name string, value starlark.Value) bool {
	_, callable := value.(starlark.Callable)
	return callable || strings.HasPrefix(name, "_")
}
