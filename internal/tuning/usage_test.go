package tuning_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const moduleRoot = "../.."

// TestEveryConstantIsUsed guards against constants that only tests use, or nothing at all:
// changing their values would have no effect.
func TestEveryConstantIsUsed(t *testing.T) {
	used := map[string]bool{}
	for _, path := range sourceFiles(t, moduleRoot) {
		collectReferences(parse(t, path), used)
	}
	declared := 0
	for _, path := range sourceFiles(t, ".") {
		for name := range parse(t, path).Scope.Objects {
			declared++
			if !used[name] {
				t.Errorf("%s: %s is not used outside tests", path, name)
			}
		}
	}
	if declared == 0 {
		t.Error("no constants found")
	}
}

// sourceFiles lists the Go files under a directory, except test files.
func sourceFiles(t *testing.T, directory string) []string {
	t.Helper()
	var paths []string
	err := filepath.WalkDir(directory, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// collectReferences adds the names that a file selects from package tuning to used.
func collectReferences(file *ast.File, used map[string]bool) {
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "tuning" {
			used[selector.Sel.Name] = true
		}
		return true
	})
}
