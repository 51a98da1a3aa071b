package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// CheckCoverage checks that the messages, which are pointers to structs, include every exported
// struct type with field tags that is declared by the package in the current directory.
func CheckCoverage(t *testing.T, messages ...any) {
	t.Helper()
	covered := map[string]bool{}
	for _, message := range messages {
		covered[reflect.TypeOf(message).Elem().Name()] = true
	}
	for _, name := range taggedTypes(t) {
		if !covered[name] {
			t.Errorf("%s has field tags but no golden file", name)
		}
	}
}

// taggedTypes lists the exported struct types with field tags in the current directory.
func taggedTypes(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			spec, ok := node.(*ast.TypeSpec)
			if ok && spec.Name.IsExported() && hasTags(spec.Type) {
				names = append(names, spec.Name.Name)
			}
			return true
		})
	}
	return names
}

func hasTags(expression ast.Expr) bool {
	structType, ok := expression.(*ast.StructType)
	return ok && slices.ContainsFunc(structType.Fields.List, func(field *ast.Field) bool { return field.Tag != nil })
}
