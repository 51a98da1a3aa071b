// Package mutation_test removes safeguards from the program, one at a time, and checks that the
// test of the scenario that needs the safeguard fails then. docs/combined-faults.md lists the
// same scenarios for readers.
//
// A safeguard is a statement, case or element of a composite literal. A comment on the line above
// it, //mutation:NAME, marks it in the code. A row of the table names the marker and an operator,
// which changes the marked place by its syntax, so most rows need no change when the code is
// reformatted or identifiers are renamed.
package mutation_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutation is a change to the program that must make a test fail.
type mutation struct {
	scenario string   // the combined faults that need the safeguard, as in docs/combined-faults.md
	marker   string   // name of the safeguard's marker in the code, without "//mutation:"
	operator operator // change that removes the safeguard
	test     string   // test that must fail then: package directory, colon, -run pattern
}

// maxParallelMutations limits how many mutations are tried at once, because each builds its own
// test binary.
const maxParallelMutations = 3

// Every safeguard is needed: with its mutation, the test that the row names fails.
func TestEveryMutationIsNoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a test binary for each mutation")
	}
	markers := scanMarkers(t)
	slots := make(chan struct{}, maxParallelMutations)
	for _, m := range mutations() {
		t.Run(m.scenario, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			path, mutated, err := markers.mutate(m)
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			replacement := filepath.Join(dir, "mutated.go")
			if err = os.WriteFile(replacement, mutated, 0o600); err != nil {
				t.Fatal(err)
			}
			overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: replacement}})
			if err != nil {
				t.Fatal(err)
			}
			overlayPath := filepath.Join(dir, "overlay.json")
			if err = os.WriteFile(overlayPath, overlay, 0o600); err != nil {
				t.Fatal(err)
			}
			pkg, testPattern, _ := strings.Cut(m.test, ":")
			runTest := func(extraArguments ...string) (string, error) {
				cmd := exec.Command("go", append(append([]string{"test"}, extraArguments...), "-run", testPattern, "./"+pkg)...)
				cmd.Dir = markers.root
				output, runErr := cmd.CombinedOutput()
				return string(output), runErr
			}
			didNotRun := func(out string) bool {
				return strings.Contains(out, "[build failed]") || strings.Contains(out, "[setup failed]") ||
					strings.Contains(out, "no tests to run") || strings.Contains(out, "[no test files]")
			}
			out, err := runTest() // usually from go test's cache
			switch {
			case err != nil:
				t.Fatalf("%s fails without the mutation: %v\n%s", m.test, err, out)
			case didNotRun(out):
				t.Fatalf("%s did not run without the mutation:\n%s", m.test, out)
			}
			out, err = runTest("-overlay", overlayPath, "-count=1")
			switch {
			case didNotRun(out):
				t.Fatalf("%s did not run:\n%s", m.test, out)
			case err == nil:
				t.Fatalf("%s passes with the mutation at %q of %s", m.test, m.marker, path)
			case !strings.Contains(out, "FAIL"):
				t.Fatalf("%s: %v\n%s", m.test, err, out)
			}
		})
	}
}

// mutations returns all rows of the table.
func mutations() []mutation {
	var all []mutation
	for _, part := range [][]mutation{
		controllerMutations, leadershipMutations, heartbeatMutations, userAPIMutations,
		placementMutations, loadMutations, storeLimitMutations, faultMutations, reconcileMutations,
	} {
		all = append(all, part...)
	}
	return all
}
