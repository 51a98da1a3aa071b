package mutation_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"path"
	"strconv"
	"strings"
)

// addBlankUses makes the mutated source compile although the mutation removed uses: it adds
// "_ = x" after the declaration of an unused local variable, and gives an import that has become
// unused the blank name.
func addBlankUses(src, mutated []byte) ([]byte, error) {
	before, err := analyzeUsage(src)
	if err != nil {
		return nil, err
	}
	after, err := analyzeUsage(mutated)
	if err != nil {
		return nil, err
	}
	var edits []edit
	for importPath, spec := range after.imports {
		if used := before.imports[importPath]; spec.used || used == nil || !used.used {
			continue
		}
		from, to := after.offset(spec.spec.Pos()), after.offset(spec.spec.Path.Pos())
		edits = append(edits, edit{from, to, "_ "})
	}
	for _, v := range after.unused {
		offset, ok := after.afterDeclaration(v)
		switch {
		case !ok: // the compiler reports the unused variable
		case mutated[offset-1] == '{' || mutated[offset-1] == ':':
			edits = append(edits, edit{offset, offset, " _ = " + v.Name + ";"})
		default:
			edits = append(edits, edit{offset, offset, "; _ = " + v.Name})
		}
	}
	out := applyEdits(mutated, edits)
	_, err = parser.ParseFile(token.NewFileSet(), "", out, parser.SkipObjectResolution)
	return out, err
}

// fileUsage holds which imports a file uses, and which of its local variables it does not use.
type fileUsage struct {
	fset    *token.FileSet
	file    *ast.File
	imports map[string]*importUse // by import path
	unused  []*ast.Ident
}

type importUse struct {
	spec *ast.ImportSpec
	used bool
}

func analyzeUsage(src []byte) (*fileUsage, error) {
	u := &fileUsage{fset: token.NewFileSet(), imports: map[string]*importUse{}}
	var err error
	if u.file, err = parser.ParseFile(u.fset, "", src, parser.SkipObjectResolution); err != nil {
		return nil, err
	}
	info := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}, Implicits: map[ast.Node]types.Object{}}
	// The file is checked alone, with empty packages for its imports, so type errors are expected
	// and ignored. Only the resolution of identifiers is needed; the compiler checks the rest.
	config := types.Config{Importer: emptyPackageImporter{}, Error: func(error) {}}
	_, _ = config.Check("", u.fset, []*ast.File{u.file}, info)

	assigned := map[*ast.Ident]bool{}
	parameters := map[*ast.Ident]bool{}
	ast.Inspect(u.file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			for _, e := range n.Lhs {
				if id, ok := e.(*ast.Ident); ok && (n.Tok == token.ASSIGN || n.Tok == token.DEFINE) {
					assigned[id] = true
				}
			}
		case *ast.Field:
			for _, id := range n.Names {
				parameters[id] = true
			}
		}
		return true
	})
	used := map[types.Object]bool{}
	for id, object := range info.Uses {
		used[object] = used[object] || !assigned[id]
	}
	for _, spec := range u.file.Imports {
		object := info.Implicits[spec]
		if spec.Name != nil {
			object = info.Defs[spec.Name]
		}
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		u.imports[importPath] = &importUse{spec, object != nil && used[object]}
	}
	ast.Inspect(u.file, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok && !parameters[id] {
			if v, ok := info.Defs[id].(*types.Var); ok && !v.IsField() && v.Parent() != nil && v.Parent() != v.Pkg().Scope() && !used[v] {
				u.unused = append(u.unused, id)
			}
		}
		return true
	})
	return u, nil
}

func (u *fileUsage) offset(pos token.Pos) int { return u.fset.Position(pos).Offset }

// afterDeclaration returns the first offset at which a statement may use the local variable:
// after the statement that declares it, or at the start of the block if the variable is declared
// in the header of an if, for, switch or select case.
func (u *fileUsage) afterDeclaration(v *ast.Ident) (offset int, ok bool) {
	var earliest token.Pos
	ast.Inspect(u.file, func(n ast.Node) bool {
		if n == nil || v.Pos() < n.Pos() || v.Pos() >= n.End() {
			return false
		}
		searchStatements := func(list []ast.Stmt) {
			for _, s := range list {
				switch s.(type) {
				case *ast.AssignStmt, *ast.DeclStmt:
					if s.Pos() <= v.Pos() && v.Pos() < s.End() {
						earliest = s.End()
					}
				}
			}
		}
		switch n := n.(type) {
		case *ast.BlockStmt:
			searchStatements(n.List)
		case *ast.CaseClause:
			searchStatements(n.Body)
		case *ast.CommClause:
			searchStatements(n.Body)
			if n.Comm != nil && v.Pos() < n.Comm.End() {
				earliest = n.Colon + 1
			}
		case *ast.IfStmt:
			if n.Init != nil && v.Pos() < n.Init.End() {
				earliest = n.Body.Lbrace + 1
			}
		case *ast.ForStmt:
			if n.Init != nil && v.Pos() < n.Init.End() {
				earliest = n.Body.Lbrace + 1
			}
		case *ast.RangeStmt:
			if v.Pos() < n.X.Pos() {
				earliest = n.Body.Lbrace + 1
			}
		case *ast.SwitchStmt:
			if n.Init != nil && v.Pos() < n.Init.End() && len(n.Body.List) > 0 {
				earliest = n.Body.List[0].(*ast.CaseClause).Colon + 1
			}
		}
		return true
	})
	if !earliest.IsValid() {
		return 0, false
	}
	return u.offset(earliest), true
}

// emptyPackageImporter imports each path as an empty package, named after the last element of the
// path that is not a major version.
type emptyPackageImporter struct{}

func (emptyPackageImporter) Import(importPath string) (*types.Package, error) {
	name := path.Base(importPath)
	if strings.HasPrefix(name, "v") && strings.Trim(name[1:], "0123456789") == "" {
		name = path.Base(path.Dir(importPath))
	}
	emptyPackage := types.NewPackage(importPath, name)
	emptyPackage.MarkComplete()
	return emptyPackage, nil
}
