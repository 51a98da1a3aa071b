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

// addBlankUses keeps in use what the mutation has left unused, as the compiler asks for: a
// local variable by "_ = x" behind its declaration, an import by the blank name.
func addBlankUses(src, mutated []byte) ([]byte, error) {
	before, err := usesIn(src)
	if err != nil {
		return nil, err
	}
	after, err := usesIn(mutated)
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
		at, ok := after.behindDeclaration(v)
		switch {
		case !ok: // the compiler will say so
		case mutated[at-1] == '{' || mutated[at-1] == ':':
			edits = append(edits, edit{at, at, " _ = " + v.Name + ";"})
		default:
			edits = append(edits, edit{at, at, "; _ = " + v.Name})
		}
	}
	out := applyEdits(mutated, edits)
	_, err = parser.ParseFile(token.NewFileSet(), "", out, parser.SkipObjectResolution)
	return out, err
}

// uses says what a file uses of its imports, and which of its local variables it does not use.
type uses struct {
	fset    *token.FileSet
	file    *ast.File
	imports map[string]*importUse // by path
	unused  []*ast.Ident
}

type importUse struct {
	spec *ast.ImportSpec
	used bool
}

func usesIn(src []byte) (*uses, error) {
	u := &uses{fset: token.NewFileSet(), imports: map[string]*importUse{}}
	var err error
	if u.file, err = parser.ParseFile(u.fset, "", src, parser.SkipObjectResolution); err != nil {
		return nil, err
	}
	info := &types.Info{Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}, Implicits: map[ast.Node]types.Object{}}
	// The file is checked alone and without what it imports. Only the scopes are of
	// interest here; the compiler checks the rest.
	config := types.Config{Importer: noPackages{}, Error: func(error) {}}
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
	for id, o := range info.Uses {
		used[o] = used[o] || !assigned[id]
	}
	for _, spec := range u.file.Imports {
		o := info.Implicits[spec]
		if spec.Name != nil {
			o = info.Defs[spec.Name]
		}
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		u.imports[importPath] = &importUse{spec, o != nil && used[o]}
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

func (u *uses) offset(pos token.Pos) int { return u.fset.Position(pos).Offset }

// behindDeclaration gives where a statement about a local variable may stand at the
// earliest: behind the statement that declares it, or in the block that that one is for.
func (u *uses) behindDeclaration(v *ast.Ident) (offset int, ok bool) {
	var at token.Pos
	ast.Inspect(u.file, func(n ast.Node) bool {
		if n == nil || v.Pos() < n.Pos() || v.Pos() >= n.End() {
			return false
		}
		inList := func(list []ast.Stmt) {
			for _, s := range list {
				switch s.(type) {
				case *ast.AssignStmt, *ast.DeclStmt:
					if s.Pos() <= v.Pos() && v.Pos() < s.End() {
						at = s.End()
					}
				}
			}
		}
		switch n := n.(type) {
		case *ast.BlockStmt:
			inList(n.List)
		case *ast.CaseClause:
			inList(n.Body)
		case *ast.CommClause:
			inList(n.Body)
			if n.Comm != nil && v.Pos() < n.Comm.End() {
				at = n.Colon + 1
			}
		case *ast.IfStmt:
			if n.Init != nil && v.Pos() < n.Init.End() {
				at = n.Body.Lbrace + 1
			}
		case *ast.ForStmt:
			if n.Init != nil && v.Pos() < n.Init.End() {
				at = n.Body.Lbrace + 1
			}
		case *ast.RangeStmt:
			if v.Pos() < n.X.Pos() {
				at = n.Body.Lbrace + 1
			}
		case *ast.SwitchStmt:
			if n.Init != nil && v.Pos() < n.Init.End() && len(n.Body.List) > 0 {
				at = n.Body.List[0].(*ast.CaseClause).Colon + 1
			}
		}
		return true
	})
	if !at.IsValid() {
		return 0, false
	}
	return u.offset(at), true
}

// noPackages gives an empty package for each import, of the name that its path suggests.
type noPackages struct{}

func (noPackages) Import(importPath string) (*types.Package, error) {
	name := path.Base(importPath)
	if strings.HasPrefix(name, "v") && strings.Trim(name[1:], "0123456789") == "" {
		name = path.Base(path.Dir(importPath))
	}
	p := types.NewPackage(importPath, name)
	p.MarkComplete()
	return p, nil
}
