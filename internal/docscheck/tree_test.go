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

// tree is what the repository holds that pages may refer to.
type tree struct {
	files    map[string]bool            // paths of files and directories, from the root
	topLevel map[string]bool            // names in the root
	declared map[string]bool            // identifiers at package level, methods, fields, packages
	members  map[string]map[string]bool // identifiers by package, and by type
	imported map[string]bool            // names of packages from elsewhere
	words    map[string]bool            // words in string literals, tags and settings files
	tests    []string                   // names of test functions
}

// skippedDirectories hold what builds, runs and git leave behind.
var skippedDirectories = map[string]bool{".git": true, "target": true, "journal": true}

const ownDirectory = "internal/docscheck/"

// Files whose words pages may use as they use those of string literals.
var wordFiles = regexp.MustCompile(`^(deploy|examples|\.ci|tools)/|^go\.mod$`)

func indexTree(t *testing.T) *tree {
	t.Helper()
	indexed := &tree{
		files: map[string]bool{}, topLevel: map[string]bool{}, declared: map[string]bool{},
		members: map[string]map[string]bool{}, imported: map[string]bool{}, words: map[string]bool{},
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
		tr.topLevel[path] = true
	}
	switch {
	case entry.IsDir() && skippedDirectories[entry.Name()]:
		return filepath.SkipDir
	case strings.Contains(path, "/testdata/"):
		return nil
	case strings.HasSuffix(path, ".go"):
		return tr.addSource(path)
	case wordFiles.MatchString(path) && !entry.IsDir():
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
		tr.imported[importPath[strings.LastIndex(importPath, "/")+1:]] = true
	}
	for _, declaration := range file.Decls {
		tr.addDeclaration(packageName, declaration)
	}
	if strings.HasPrefix(path, ownDirectory) {
		return nil // its strings are names that resolve and names that do not
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
		tr.add(receiverType(function.Recv.List[0].Type), function.Name)
		return
	}
	tr.add(packageName, function.Name)
	if strings.HasPrefix(function.Name.Name, "Test") {
		tr.tests = append(tr.tests, function.Name.Name)
	}
}

func (tr *tree) addSpec(packageName string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			tr.add(packageName, name)
		}
	case *ast.TypeSpec:
		tr.add(packageName, s.Name)
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
			tr.add(spec.Name.Name, name)
		}
	}
}

// add adds an identifier that an owner, a package or a type, declares.
func (tr *tree) add(owner string, name *ast.Ident) {
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
	dottedWord = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*([.-][A-Za-z0-9_]+)*`)
	plainWord  = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)
	partOfWord = regexp.MustCompile(`[A-Za-z0-9]+`) // of a name such as start_probes_total_retry
)

func (tr *tree) addWords(text string) {
	for _, pattern := range []*regexp.Regexp{dottedWord, plainWord, partOfWord} {
		for _, word := range pattern.FindAllString(text, -1) {
			tr.words[word] = true
		}
	}
}
