// Package guards_test takes guards out of the program, one at a time, and shows that
// the test of the meeting that a guard is for fails then. docs/meetings.md is the table
// for people.
package guards_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// guard is a place in the sources that a meeting of two troubles needs.
type guard struct {
	meeting string // as in docs/meetings.md
	file    string // from the module's root
	cut     string // the guard, which stands there once
	put     string // what stands there without it
	test    string // the test that must fail then: package directory, colon, -run pattern
}

// atOnce is how many guards are tried at once: each builds a test binary of its own.
const atOnce = 3

// Every guard is needed: without it, the test that names it fails.
func TestEveryGuardIsNeeded(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a test binary for each guard")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	places := make(chan struct{}, atOnce)
	for _, g := range guards() {
		t.Run(g.meeting, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			path := filepath.Join(root, g.file)
			src, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(src), g.cut); n != 1 {
				t.Fatalf("%s has the guard %d times, not once: %q", g.file, n, g.cut)
			}
			dir := t.TempDir()
			without := filepath.Join(dir, "without.go")
			if err := os.WriteFile(without, []byte(strings.Replace(string(src), g.cut, g.put, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: without}})
			if err != nil {
				t.Fatal(err)
			}
			list := filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(list, overlay, 0o600); err != nil {
				t.Fatal(err)
			}
			pkg, run, _ := strings.Cut(g.test, ":")
			test := func(more ...string) ([]byte, error) {
				cmd := exec.Command("go", append(append([]string{"test"}, more...), "-run", run, "./"+pkg)...)
				cmd.Dir = root
				return cmd.CombinedOutput()
			}
			if out, err := test(); err != nil { // mostly from the cache
				t.Fatalf("%s fails with the guard in place: %v\n%s", g.test, err, out)
			}
			out, err := test("-overlay", list, "-count=1")
			switch {
			case strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "no tests to run"):
				t.Fatalf("%s did not run:\n%s", g.test, out)
			case err == nil:
				t.Fatalf("%s passes without the guard %q of %s", g.test, g.cut, g.file)
			case !strings.Contains(string(out), "FAIL"):
				t.Fatalf("%s: %v\n%s", g.test, err, out)
			}
		})
	}
}

// guards lists all of them.
func guards() []guard {
	var all []guard
	for _, part := range [][]guard{nodeGuards, leaderGuards, reportGuards, answersGuards, roomGuards, loadGuards, standinGuards, recoveryGuards} {
		all = append(all, part...)
	}
	return all
}
