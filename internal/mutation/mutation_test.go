// Package mutation_test takes safeguards out of the program, one at a time, and shows
// that the test of the scenario that a safeguard is for fails then. docs/combined-faults.md is
// the table for people.
//
// A safeguard is marked in the code by a comment, //mutation:NAME, on the line above the
// statement, case or element of a composite literal that it is. A row of the table names the
// marker and an operator, which changes the marked place by its syntax: renames and
// reformatting leave the rows as they are.
package mutation_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutation is a change to the program that a test has to notice.
type mutation struct {
	scenario string   // the combined faults that need the safeguard, as in docs/combined-faults.md
	marker   string   // of the safeguard in the code, without "//mutation:"
	operator operator // what takes the safeguard out
	test     string   // the test that must fail then: package directory, colon, -run pattern
}

// atOnce is how many mutations are tried at once: each builds a test binary of its own.
const atOnce = 3

// Every safeguard is needed: without it, the test that names it fails.
func TestEveryMutationIsNoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a test binary for each mutation")
	}
	all := scanMarkers(t)
	running := make(chan struct{}, atOnce)
	for _, m := range mutations() {
		t.Run(m.scenario, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			path, mutated, err := all.mutate(m)
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
			list := filepath.Join(dir, "overlay.json")
			if err = os.WriteFile(list, overlay, 0o600); err != nil {
				t.Fatal(err)
			}
			pkg, run, _ := strings.Cut(m.test, ":")
			test := func(more ...string) (string, error) {
				cmd := exec.Command("go", append(append([]string{"test"}, more...), "-run", run, "./"+pkg)...)
				cmd.Dir = all.root
				output, runErr := cmd.CombinedOutput()
				return string(output), runErr
			}
			didNotRun := func(out string) bool {
				return strings.Contains(out, "[build failed]") || strings.Contains(out, "[setup failed]") ||
					strings.Contains(out, "no tests to run") || strings.Contains(out, "[no test files]")
			}
			out, err := test() // mostly from the cache
			switch {
			case err != nil:
				t.Fatalf("%s fails without the mutation: %v\n%s", m.test, err, out)
			case didNotRun(out):
				t.Fatalf("%s did not run without the mutation:\n%s", m.test, out)
			}
			out, err = test("-overlay", list, "-count=1")
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

// mutations lists all of them.
func mutations() []mutation {
	var all []mutation
	for _, part := range [][]mutation{
		controllerMutations, leadershipMutations, heartbeatMutations, userAPIMutations,
		placementMutations, loadMutations, faultMutations, reconcileMutations,
	} {
		all = append(all, part...)
	}
	return all
}
