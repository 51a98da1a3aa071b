package docscheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// tree is an index of everything in the repository that pages may refer to.
type tree struct {
	files            map[string]bool            // paths of files and directories, from the root
	rootEntries      map[string]bool            // names of the files and directories in the root
	declared         map[string]bool            // package-level identifiers, methods, fields, packages
	members          map[string]map[string]bool // identifiers by package name and by type name
	importedPackages map[string]bool            // last elements of import paths
	words            map[string]bool            // words in string literals, struct tags and the files of wordFilePattern
	tests            []string                   // names of test functions
}

// skippedDirectories hold build output, records of runs and git data.
var skippedDirectories = map[string]bool{".git": true, "target": true, "journal": true}

// ownDirectory is the directory of this package.
const ownDirectory = "internal/docscheck/"

// wordFilePattern matches the files whose words pages may use like those of string literals.
var wordFilePattern = regexp.MustCompile(`^(deploy|examples|\.ci|tools)/|^go\.mod$`)

func indexTree(t *testing.T) *tree {
	t.Helper()
	indexed := &tree{
		files: map[string]bool{}, rootEntries: map[string]bool{}, declared: map[string]bool{},
		members: map[string]map[string]bool{}, importedPackages: map[string]bool{}, words: map[string]bool{},
	}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return indexed.addEntry(relative, entry)
	})
	if err != nil {
		t.Fatal(err)
	}
	return indexed
}

func (tr *tree) addEntry(path string, entry fs.DirEntry) error {
	path = filepath.ToSlash(path)
	tr.files[path] = true
	if !strings.Contains(path, "/") {
		tr.rootEntries[path] = true
	}
	switch {
	case entry.IsDir() && skippedDirectories[entry.Name()]:
		return filepath.SkipDir
	case strings.Contains(path, "/testdata/"):
		return nil
	case strings.HasSuffix(path, ".go"):
		return tr.addSource(path)
	case wordFilePattern.MatchString(path) && !entry.IsDir():
		content, err := os.ReadFile(filepath.Join(root, path))
		tr.addWords(string(content))
		return err
	}
	return nil
}

func (tr *tree) addSource(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	packageName := strings.TrimSuffix(file.Name.Name, "_test")
	tr.declared[packageName] = true
	for _, spec := range file.Imports {
		importPath := strings.Trim(spec.Path.Value, `"`)
		tr.importedPackages[importPath[strings.LastIndex(importPath, "/")+1:]] = true
	}
	for _, declaration := range file.Decls {
		tr.addDeclaration(packageName, declaration)
	}
	if strings.HasPrefix(path, ownDirectory) {
		return nil // its test cases contain names that must not resolve
	}
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		if value, err := strconv.Unquote(literal.Value); err == nil {
			tr.addWords(value)
		}
		return true
	})
	return nil
}

func (tr *tree) addDeclaration(packageName string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		tr.addFunction(packageName, d)
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			tr.addSpec(packageName, spec)
		}
	}
}

func (tr *tree) addFunction(packageName string, function *ast.FuncDecl) {
	if function.Recv != nil {
		tr.addIdentifier(receiverType(function.Recv.List[0].Type), function.Name)
		return
	}
	tr.addIdentifier(packageName, function.Name)
	if strings.HasPrefix(function.Name.Name, "Test") {
		tr.tests = append(tr.tests, function.Name.Name)
	}
}

func (tr *tree) addSpec(packageName string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			tr.addIdentifier(packageName, name)
		}
	case *ast.TypeSpec:
		tr.addIdentifier(packageName, s.Name)
		tr.addFields(s)
	}
}

// addFields adds the fields of a struct and the methods of an interface.
func (tr *tree) addFields(spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := spec.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			tr.addIdentifier(spec.Name.Name, name)
		}
	}
}

// addIdentifier adds an identifier that is declared in its owner, a package or a type.
func (tr *tree) addIdentifier(owner string, name *ast.Ident) {
	if tr.members[owner] == nil {
		tr.members[owner] = map[string]bool{}
	}
	tr.members[owner][name.Name] = true
	tr.declared[name.Name] = true
}

func receiverType(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverType(e.X)
	case *ast.IndexExpr:
		return receiverType(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

var (
	dottedWordPattern = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*([.-][A-Za-z0-9_]+)*`)
	plainWordPattern  = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
	wordPartPattern   = regexp.MustCompile(`[A-Za-z0-9]+`) // parts of a name such as start_probes_total_retry
)

func (tr *tree) addWords(text string) {
	for _, pattern := range []*regexp.Regexp{dottedWordPattern, plainWordPattern, wordPartPattern} {
		for _, word := range pattern.FindAllString(text, -1) {
			tr.words[word] = true
		}
	}
}
