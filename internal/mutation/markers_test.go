package mutation_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const markerPrefix = "//mutation:"

var markerPattern = regexp.MustCompile(`^//mutation:([a-z0-9]+(?:-[a-z0-9]+)*)$`)

// markerLocations holds the positions of all markers in the module's Go files, by marker name.
// A marker that occurs several times has several positions.
type markerLocations struct {
	root      string
	positions map[string][]markerPosition
}

type markerPosition struct {
	path string
	line int
}

// scanMarkers finds the markers of all Go files of the module.
func scanMarkers(t *testing.T) *markerLocations {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	found := &markerLocations{root: root, positions: map[string][]markerPosition{}}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		return found.scanFile(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func (m *markerLocations) scanFile(path string) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Contains(src, []byte(markerPrefix)) {
		return nil
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, src, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, group := range file.Comments {
		for _, c := range group.List {
			if !strings.HasPrefix(c.Text, markerPrefix) {
				continue
			}
			position := fset.Position(c.Pos())
			name := markerPattern.FindStringSubmatch(c.Text)
			switch {
			case name == nil:
				return fmt.Errorf("%s: malformed marker %q", position, c.Text)
			case strings.HasSuffix(path, "_test.go"):
				return fmt.Errorf("%s: marker %q in a test file", position, c.Text)
			}
			m.positions[name[1]] = append(m.positions[name[1]], markerPosition{path, position.Line})
		}
	}
	return nil
}

// mutate returns the path of the file that contains the row's marker, and its mutated source.
func (m *markerLocations) mutate(row mutation) (path string, mutated []byte, err error) {
	positions := m.positions[row.marker]
	if len(positions) != 1 {
		return "", nil, fmt.Errorf("marker %q occurs %d times, want 1: %v", row.marker, len(positions), positions)
	}
	path = positions[0].path
	src, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	mutated, err = row.operator.applyTo(src, positions[0].line)
	if err != nil {
		return "", nil, fmt.Errorf("marker %q: %s:%d: %w", row.marker, path, positions[0].line, err)
	}
	return path, mutated, nil
}

// The mutation table matches the code: each marker is unique and used, each operator applies to
// the marked place, and each test exists.
func TestTableFitsTheCode(t *testing.T) {
	markers := scanMarkers(t)
	unused := map[string]bool{}
	for name, positions := range markers.positions {
		unused[name] = true
		if len(positions) != 1 {
			t.Errorf("marker %q occurs %d times: %v", name, len(positions), positions)
		}
	}
	declared := map[string]map[string]bool{}
	for _, m := range mutations() {
		delete(unused, m.marker)
		// mutate also checks that the mutated source parses.
		if _, _, err := markers.mutate(m); err != nil {
			t.Errorf("%s: %v", m.scenario, err)
		}
		pkg, testPattern, ok := strings.Cut(m.test, ":")
		name := regexp.MustCompile(`^\^(Test\w+)\$(/|$)`).FindStringSubmatch(testPattern)
		if !ok || name == nil {
			t.Errorf("%s: test %q does not have the form DIR:^TestName$ with optional subtests", m.scenario, m.test)
			continue
		}
		if declared[pkg] == nil {
			declared[pkg] = functionsInTestFiles(t, filepath.Join(markers.root, pkg))
		}
		if !declared[pkg][name[1]] {
			t.Errorf("%s: there is no test %s in %s", m.scenario, name[1], pkg)
		}
	}
	for name := range unused {
		t.Errorf("marker %q is used by no mutation: %v", name, markers.positions[name])
	}
}

// functionsInTestFiles returns the names of the functions in the test files of a package
// directory.
func functionsInTestFiles(t *testing.T, dir string) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}
