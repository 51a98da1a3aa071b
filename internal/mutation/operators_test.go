package mutation_test

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"slices"
	"strings"
)

// operator changes the marked place. It fails where it does not find what it expects.
// Operators that choose among several operands, arguments or elements say how many there
// have to be, so that a place that has changed since is noticed.
type operator func(*place) ([]edit, error)

// edit replaces a stretch of the source.
type edit struct {
	from, to int // byte offsets
	text     string
}

// place is the statement, case or element of a composite literal that a marker is for.
type place struct {
	src    []byte
	fset   *token.FileSet
	node   ast.Node // ast.Stmt or *ast.KeyValueExpr
	parent ast.Node
}

// applyTo gives the source with the change to the place that is marked on the line.
// Variables and imports that the change leaves unused are kept by blank uses.
func (op operator) applyTo(src []byte, markerLine int) ([]byte, error) {
	p, err := findPlace(src, markerLine+1)
	if err != nil {
		return nil, err
	}
	edits, err := op(p)
	if err != nil {
		return nil, err
	}
	mutated := applyEdits(src, edits)
	if bytes.Equal(mutated, src) {
		return nil, errors.New("the mutation changes nothing")
	}
	return addBlankUses(src, mutated)
}

// findPlace gives the outermost statement or keyed element that begins the line.
func findPlace(src []byte, line int) (*place, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "", src, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	p := &place{src: src, fset: fset}
	var path []ast.Node
	ast.Inspect(file, func(n ast.Node) bool {
		if n == nil {
			path = path[:len(path)-1]
			return true
		}
		if _, keyed := n.(*ast.KeyValueExpr); p.node == nil && (keyed || isStmt(n)) && p.beginsLine(n, line) {
			p.node, p.parent = n, path[len(path)-1]
		}
		path = append(path, n)
		return true
	})
	if p.node == nil {
		return nil, fmt.Errorf("no statement, case or keyed element begins line %d, below the marker", line)
	}
	return p, nil
}

func isStmt(n ast.Node) bool {
	_, ok := n.(ast.Stmt)
	return ok
}

func (p *place) beginsLine(n ast.Node, line int) bool {
	at := p.fset.Position(n.Pos())
	return at.Line == line && len(bytes.TrimSpace(p.src[at.Offset-at.Column+1:at.Offset])) == 0
}

func (p *place) offset(pos token.Pos) int { return p.fset.Position(pos).Offset }

func (p *place) text(n ast.Node) string { return string(p.src[p.offset(n.Pos()):p.offset(n.End())]) }

func (p *place) replace(n ast.Node, text string) []edit {
	return []edit{{p.offset(n.Pos()), p.offset(n.End()), text}}
}

// delete deletes an element of a list with the comma behind it, or a statement.
func (p *place) delete(n ast.Node) []edit {
	end := p.offset(n.End())
	if !isStmt(n) {
		if rest := bytes.TrimLeft(p.src[end:], " \t\n"); bytes.HasPrefix(rest, []byte(",")) {
			end = len(p.src) - len(rest) + 1
		}
	}
	return []edit{{p.offset(n.Pos()), end, ""}}
}

// statements gives the list of statements that the place is in, and its index there.
func (p *place) statements() ([]ast.Stmt, int, error) {
	var list []ast.Stmt
	switch parent := p.parent.(type) {
	case *ast.BlockStmt:
		list = parent.List
	case *ast.CaseClause:
		list = parent.Body
	case *ast.CommClause:
		list = parent.Body
	}
	for i, s := range list {
		if s == p.node {
			return list, i, nil
		}
	}
	return nil, 0, fmt.Errorf("%T is in no list of statements", p.node)
}

// remove takes out the statement, the case or the keyed element.
func remove() operator {
	return func(p *place) ([]edit, error) {
		if _, ok := p.node.(*ast.KeyValueExpr); ok {
			return p.delete(p.node), nil
		}
		if _, _, err := p.statements(); err != nil {
			return nil, err
		}
		return p.delete(p.node), nil
	}
}

// removeStatements takes out the statement and those that follow it, n in all.
func removeStatements(n int) operator {
	return func(p *place) ([]edit, error) {
		list, at, err := p.statements()
		if err != nil {
			return nil, err
		}
		if at+n > len(list) {
			return nil, fmt.Errorf("only %d statements, not %d", len(list)-at, n)
		}
		var edits []edit
		for _, s := range list[at : at+n] {
			edits = append(edits, p.delete(s)...)
		}
		return edits, nil
	}
}

// moveBehind moves the statement behind the one that stands by places further on, between
// copies of the statements at the two distances: its lock and its unlock.
func moveBehind(by, lock, unlock int) operator {
	return func(p *place) ([]edit, error) {
		list, at, err := p.statements()
		if err != nil {
			return nil, err
		}
		for _, i := range []int{at + by, at + lock, at + unlock} {
			if i < 0 || i >= len(list) {
				return nil, fmt.Errorf("no statement at distance %d", i-at)
			}
		}
		locking, unlocking := p.text(list[at+lock]), p.text(list[at+unlock])
		if !strings.HasSuffix(locking, ".Lock()") || unlocking != strings.TrimSuffix(locking, "Lock()")+"Unlock()" {
			return nil, fmt.Errorf("%q and %q are no lock and unlock", locking, unlocking)
		}
		end := p.offset(list[at+by].End())
		moved := "\n" + locking + "\n" + p.text(p.node) + "\n" + unlocking
		return append(p.delete(p.node), edit{end, end, moved}), nil
	}
}

// onlyIf makes the statement depend on a condition.
func onlyIf(condition string) operator {
	return func(p *place) ([]edit, error) {
		if _, _, err := p.statements(); err != nil {
			return nil, err
		}
		return p.replace(p.node, "if "+condition+" {\n"+p.text(p.node)+"\n}"), nil
	}
}

// condition gives what the if statement or the case asks for.
func (p *place) condition() (ast.Expr, error) {
	switch n := p.node.(type) {
	case *ast.IfStmt:
		return n.Cond, nil
	case *ast.CaseClause:
		if len(n.List) == 1 {
			return n.List[0], nil
		}
	}
	return nil, fmt.Errorf("%T is no if and no case with one condition", p.node)
}

// setCondition replaces the condition of the if or the case.
func setCondition(value bool) operator {
	return func(p *place) ([]edit, error) {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		return p.replace(c, fmt.Sprint(value)), nil
	}
}

// alwaysTrue makes the condition true, but still computes it, for its effects.
func alwaysTrue() operator {
	return func(p *place) ([]edit, error) {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		return p.replace(c, "("+p.text(c)+") || true"), nil
	}
}

var identifier = regexp.MustCompile(`\b[A-Za-z_]\w*\b`)

// replace puts a constant, which names nothing of the program, in the place of the subject
// or of what the steps lead to.
func replace(constant string, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		for _, name := range identifier.FindAllString(constant, -1) {
			if name != "true" && name != "false" && name != "nil" {
				return nil, fmt.Errorf("%q names %s: that is for replaceExpr", constant, name)
			}
		}
		return replaceExpr(constant, steps...)(p)
	}
}

// replaceExpr puts an expression in the place of the subject or of what the steps lead to.
// It is for the few mutations that have to name something; the row says why.
func replaceExpr(text string, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		return p.replace(e, text), nil
	}
}

// replaceName puts another name in the place of one that stands once in the statement's
// first line. It is for mutations that confuse two things; the row says why.
func replaceName(name, other string) operator {
	return func(p *place) ([]edit, error) {
		var found []ast.Node
		line := p.fset.Position(p.node.Pos()).Line
		ast.Inspect(p.node, func(n ast.Node) bool {
			if id, ok := n.(*ast.Ident); ok && id.Name == name && p.fset.Position(id.Pos()).Line == line {
				found = append(found, id)
			}
			return true
		})
		if len(found) != 1 {
			return nil, fmt.Errorf("%s stands there %d times, not once", name, len(found))
		}
		return p.replace(found[0], other), nil
	}
}

// compare changes the operator of a comparison.
func compare(by token.Token, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		c, ok := e.(*ast.BinaryExpr)
		if !ok || !isComparison(c.Op) || !isComparison(by) {
			return nil, fmt.Errorf("%q is no comparison", p.text(e))
		}
		from := p.offset(c.OpPos)
		return []edit{{from, from + len(c.Op.String()), by.String()}}, nil
	}
}

func isComparison(op token.Token) bool {
	return slices.Contains([]token.Token{token.EQL, token.NEQ, token.LSS, token.LEQ, token.GTR, token.GEQ}, op)
}

// keepArgument puts one of a call's arguments in the place of the call.
func keepArgument(index, of int, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		call, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		kept, err := argument(index, of)(p, call)
		if err != nil {
			return nil, err
		}
		return p.replace(call, p.text(kept)), nil
	}
}

// dropElement takes an element out of the composite literal.
func dropElement(index, of int) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(nil)
		if err != nil {
			return nil, err
		}
		elements, err := elementsOf(p, e, index, of)
		if err != nil {
			return nil, err
		}
		return p.delete(elements[index]), nil
	}
}

// dropOperands takes operands out of a condition of so many, which are joined by && and ||.
// They count from 0 in the order of the text, through parentheses and negations.
func dropOperands(of int, indices ...int) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(nil)
		if err != nil {
			return nil, err
		}
		operands := operandsOf(e)
		if len(operands) != of || len(indices) == 0 || slices.Min(indices) < 0 || slices.Max(indices) >= of {
			return nil, fmt.Errorf("%q has %d operands, not %d", p.text(e), len(operands), of)
		}
		dropped := map[ast.Expr]bool{}
		for _, i := range indices {
			dropped[operands[i]] = true
		}
		rest := p.without(e, dropped)
		if rest == "" {
			return nil, fmt.Errorf("nothing remains of %q", p.text(e))
		}
		return p.replace(e, rest), nil
	}
}

// operandsOf lists what && and || join.
func operandsOf(e ast.Expr) []ast.Expr {
	switch e := e.(type) {
	case *ast.ParenExpr:
		return operandsOf(e.X)
	case *ast.UnaryExpr:
		if e.Op == token.NOT {
			if inner := operandsOf(e.X); len(inner) > 1 {
				return inner
			}
		}
	case *ast.BinaryExpr:
		if e.Op == token.LAND || e.Op == token.LOR {
			return append(operandsOf(e.X), operandsOf(e.Y)...)
		}
	}
	return []ast.Expr{e}
}

// without is the text of a condition without some operands.
func (p *place) without(e ast.Expr, dropped map[ast.Expr]bool) string {
	if dropped[e] {
		return ""
	}
	switch e := e.(type) {
	case *ast.ParenExpr:
		if x := p.without(e.X, dropped); x != "" {
			return "(" + x + ")"
		}
		return ""
	case *ast.UnaryExpr:
		if x := p.without(e.X, dropped); x != "" {
			return e.Op.String() + x
		}
		return ""
	case *ast.BinaryExpr:
		if e.Op != token.LAND && e.Op != token.LOR {
			break
		}
		x, y := p.without(e.X, dropped), p.without(e.Y, dropped)
		if x == "" || y == "" {
			return x + y
		}
		return x + " " + e.Op.String() + " " + y
	}
	return p.text(e)
}

// step leads from an expression to a part of it.
type step func(*place, ast.Expr) (ast.Expr, error)

// subject is the expression that an operator is about, or a part of it: what an if or a case
// asks for, what is assigned or returned, an element's value, a call.
func (p *place) subject(steps []step) (ast.Expr, error) {
	e, err := p.subjectOf(p.node)
	if err != nil {
		return nil, err
	}
	for _, s := range steps {
		if e, err = s(p, e); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (p *place) subjectOf(n ast.Node) (ast.Expr, error) {
	switch n := n.(type) {
	case *ast.IfStmt, *ast.CaseClause:
		return p.condition()
	case *ast.AssignStmt:
		if len(n.Rhs) == 1 {
			return n.Rhs[0], nil
		}
	case *ast.ReturnStmt:
		if len(n.Results) == 1 {
			return n.Results[0], nil
		}
	case *ast.KeyValueExpr:
		return n.Value, nil
	case *ast.ExprStmt:
		return n.X, nil
	}
	return nil, fmt.Errorf("%T has no one expression", n)
}

// initializer leads to what the initial statement of an if assigns.
func initializer() step {
	return func(p *place, _ ast.Expr) (ast.Expr, error) {
		s, ok := p.node.(*ast.IfStmt)
		if !ok || s.Init == nil {
			return nil, errors.New("no if with an initial statement")
		}
		return p.subjectOf(s.Init)
	}
}

// operand leads to one of the operands that && and || join, as dropOperands counts them.
func operand(index, of int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		return choose(p, e, "operands", operandsOf(e), index, of)
	}
}

// term leads to one of the terms that binary operators of any kind join, through parentheses.
func term(index, of int) step {
	var termsOf func(ast.Expr) []ast.Expr
	termsOf = func(e ast.Expr) []ast.Expr {
		switch e := e.(type) {
		case *ast.ParenExpr:
			return termsOf(e.X)
		case *ast.BinaryExpr:
			return append(termsOf(e.X), termsOf(e.Y)...)
		}
		return []ast.Expr{e}
	}
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		return choose(p, e, "terms", termsOf(e), index, of)
	}
}

// argument leads to an argument of a call.
func argument(index, of int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		call, ok := e.(*ast.CallExpr)
		if !ok {
			return nil, fmt.Errorf("%q is no call", p.text(e))
		}
		return choose(p, e, "arguments", call.Args, index, of)
	}
}

// receiver leads to what a method is called of.
func receiver() step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		if call, ok := e.(*ast.CallExpr); ok {
			if method, ok := call.Fun.(*ast.SelectorExpr); ok {
				return method.X, nil
			}
		}
		return nil, fmt.Errorf("%q is no call of a method", p.text(e))
	}
}

// index leads to the index of an element.
func index() step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		if i, ok := e.(*ast.IndexExpr); ok {
			return i.Index, nil
		}
		return nil, fmt.Errorf("%q has no index", p.text(e))
	}
}

// element leads to the value of an element of a composite literal.
func element(index, of int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		elements, err := elementsOf(p, e, index, of)
		if err != nil {
			return nil, err
		}
		if kv, ok := elements[index].(*ast.KeyValueExpr); ok {
			return kv.Value, nil
		}
		return elements[index], nil
	}
}

func elementsOf(p *place, e ast.Expr, index, of int) ([]ast.Expr, error) {
	literal := e
	if u, ok := literal.(*ast.UnaryExpr); ok && u.Op == token.AND {
		literal = u.X
	}
	c, ok := literal.(*ast.CompositeLit)
	if !ok {
		return nil, fmt.Errorf("%q is no composite literal", p.text(e))
	}
	_, err := choose(p, e, "elements", c.Elts, index, of)
	return c.Elts, err
}

func choose(p *place, e ast.Expr, what string, list []ast.Expr, index, of int) (ast.Expr, error) {
	if len(list) != of || index < 0 || index >= of {
		return nil, fmt.Errorf("%q has %d %s, not %d", p.text(e), len(list), what, of)
	}
	return list[index], nil
}

func applyEdits(src []byte, edits []edit) []byte {
	edits = slices.Clone(edits)
	slices.SortStableFunc(edits, func(a, b edit) int { return a.from - b.from })
	var out []byte
	at := 0
	for _, e := range edits {
		out = append(append(out, src[at:e.from]...), e.text...)
		at = e.to
	}
	return append(out, src[at:]...)
}
