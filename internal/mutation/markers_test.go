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

// markers says where each marker of the tree stands. A marker that stands in several
// places has several entries.
type markers struct {
	root string
	at   map[string][]markerPlace
}

type markerPlace struct {
	path string
	line int
}

// scanMarkers finds the markers of all Go files of the module.
func scanMarkers(t *testing.T) *markers {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	all := &markers{root: root, at: map[string][]markerPlace{}}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		return all.scanFile(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (a *markers) scanFile(path string) error {
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
			at := fset.Position(c.Pos())
			name := markerPattern.FindStringSubmatch(c.Text)
			switch {
			case name == nil:
				return fmt.Errorf("%s: malformed marker %q", at, c.Text)
			case strings.HasSuffix(path, "_test.go"):
				return fmt.Errorf("%s: marker %q in a test file", at, c.Text)
			}
			a.at[name[1]] = append(a.at[name[1]], markerPlace{path, at.Line})
		}
	}
	return nil
}

// mutate gives the file of the marker as the mutation leaves it.
func (a *markers) mutate(m mutation) (path string, mutated []byte, err error) {
	places := a.at[m.marker]
	if len(places) != 1 {
		return "", nil, fmt.Errorf("marker %q stands in %d places, not in one: %v", m.marker, len(places), places)
	}
	path = places[0].path
	src, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	mutated, err = m.operator.applyTo(src, places[0].line)
	if err != nil {
		return "", nil, fmt.Errorf("marker %q: %s:%d: %w", m.marker, path, places[0].line, err)
	}
	return path, mutated, nil
}

// The table and the code agree: each marker is unique and used, each operator applies to
// what is marked, and each test is there.
func TestTableFitsTheCode(t *testing.T) {
	all := scanMarkers(t)
	unused := map[string]bool{}
	for name, places := range all.at {
		unused[name] = true
		if len(places) != 1 {
			t.Errorf("marker %q stands in %d places: %v", name, len(places), places)
		}
	}
	declared := map[string]map[string]bool{}
	for _, m := range mutations() {
		delete(unused, m.marker)
		// mutate parses what it returns.
		if _, _, err := all.mutate(m); err != nil {
			t.Errorf("%s: %v", m.scenario, err)
		}
		pkg, run, ok := strings.Cut(m.test, ":")
		name := regexp.MustCompile(`^\^(Test\w+)\$(/|$)`).FindStringSubmatch(run)
		if !ok || name == nil {
			t.Errorf("%s: test %q is not of the form DIR:^TestName$ with subtests", m.scenario, m.test)
			continue
		}
		if declared[pkg] == nil {
			declared[pkg] = testsIn(t, filepath.Join(all.root, pkg))
		}
		if !declared[pkg][name[1]] {
			t.Errorf("%s: there is no test %s in %s", m.scenario, name[1], pkg)
		}
	}
	for name := range unused {
		t.Errorf("marker %q is used by no mutation: %v", name, all.at[name])
	}
}

// testsIn names the test functions of a package directory.
func testsIn(t *testing.T, dir string) map[string]bool {
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
