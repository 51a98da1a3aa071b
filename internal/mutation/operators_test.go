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

// operator returns the edits that change a marked place, or an error if the place does not have
// the expected form. Operators that select one of several operands, arguments or elements also
// state how many there must be, so that they fail if the code at the place has changed.
type operator func(*place) ([]edit, error)

// edit replaces the source from byte offset start to end, exclusive, by a text.
type edit struct {
	start, end int // byte offsets
	text       string
}

// place is the statement, case or element of a composite literal below a marker.
type place struct {
	src    []byte
	fset   *token.FileSet
	node   ast.Node // ast.Stmt or *ast.KeyValueExpr
	parent ast.Node
}

// applyTo returns the source with the operator applied to the place below the marker's line.
// Variables and imports that the change leaves unused get blank uses.
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

// findPlace returns the outermost statement or keyed element that begins the line.
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
		return nil, fmt.Errorf("no statement, case or keyed element begins line %d below the marker", line)
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

// delete returns the edit that deletes a statement, or a list element and the comma after it.
func (p *place) delete(n ast.Node) []edit {
	end := p.offset(n.End())
	if !isStmt(n) {
		if rest := bytes.TrimLeft(p.src[end:], " \t\n"); bytes.HasPrefix(rest, []byte(",")) {
			end = len(p.src) - len(rest) + 1
		}
	}
	return []edit{{p.offset(n.Pos()), end, ""}}
}

// statements returns the statement list that contains the place, and its index there.
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
	return nil, 0, fmt.Errorf("%T is not in a statement list", p.node)
}

// remove deletes the statement, the case or the keyed element.
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

// removeStatements deletes n statements, the marked one and those after it.
func removeStatements(n int) operator {
	return func(p *place) ([]edit, error) {
		list, first, err := p.statements()
		if err != nil {
			return nil, err
		}
		if first+n > len(list) {
			return nil, fmt.Errorf("there are only %d statements, not %d", len(list)-first, n)
		}
		var edits []edit
		for _, s := range list[first : first+n] {
			edits = append(edits, p.delete(s)...)
		}
		return edits, nil
	}
}

// moveAfter moves the statement after the one at the given distance in its list. The lock and
// unlock statements at the other two distances are copied around it.
func moveAfter(distance, lockDistance, unlockDistance int) operator {
	return func(p *place) ([]edit, error) {
		list, position, err := p.statements()
		if err != nil {
			return nil, err
		}
		for _, i := range []int{position + distance, position + lockDistance, position + unlockDistance} {
			if i < 0 || i >= len(list) {
				return nil, fmt.Errorf("no statement at distance %d", i-position)
			}
		}
		locking, unlocking := p.text(list[position+lockDistance]), p.text(list[position+unlockDistance])
		if !strings.HasSuffix(locking, ".Lock()") || unlocking != strings.TrimSuffix(locking, "Lock()")+"Unlock()" {
			return nil, fmt.Errorf("%q and %q are not a matching lock and unlock", locking, unlocking)
		}
		end := p.offset(list[position+distance].End())
		moved := "\n" + locking + "\n" + p.text(p.node) + "\n" + unlocking
		return append(p.delete(p.node), edit{end, end, moved}), nil
	}
}

// onlyIf executes the statement only under a condition.
func onlyIf(condition string) operator {
	return func(p *place) ([]edit, error) {
		if _, _, err := p.statements(); err != nil {
			return nil, err
		}
		return p.replace(p.node, "if "+condition+" {\n"+p.text(p.node)+"\n}"), nil
	}
}

// condition returns the condition of the if statement or the only expression of the case.
func (p *place) condition() (ast.Expr, error) {
	switch n := p.node.(type) {
	case *ast.IfStmt:
		return n.Cond, nil
	case *ast.CaseClause:
		if len(n.List) == 1 {
			return n.List[0], nil
		}
	}
	return nil, fmt.Errorf("%T is neither an if nor a case with one expression", p.node)
}

// setCondition replaces the condition of the if or the case by true or false.
func setCondition(value bool) operator {
	return func(p *place) ([]edit, error) {
		c, err := p.condition()
		if err != nil {
			return nil, err
		}
		return p.replace(c, fmt.Sprint(value)), nil
	}
}

// alwaysTrue makes the condition true but still evaluates it for its side effects.
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

// replace replaces the place's subject, or the part of it that the steps select, by a constant.
// The constant may not contain identifiers other than true, false and nil.
func replace(constant string, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		for _, name := range identifier.FindAllString(constant, -1) {
			if name != "true" && name != "false" && name != "nil" {
				return nil, fmt.Errorf("%q contains the identifier %s: use replaceExpr", constant, name)
			}
		}
		return replaceExpr(constant, steps...)(p)
	}
}

// replaceExpr replaces the place's subject, or the part of it that the steps select, by an
// expression. It is for the few mutations that need an identifier; a comment in the row gives
// the reason.
func replaceExpr(text string, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		return p.replace(e, text), nil
	}
}

// replaceName replaces an identifier that must occur exactly once in the first line of the
// statement. It is for mutations that confuse two values; a comment in the row gives the reason.
func replaceName(name, replacement string) operator {
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
			return nil, fmt.Errorf("%s occurs %d times in the first line, not once", name, len(found))
		}
		return p.replace(found[0], replacement), nil
	}
}

// compare changes the operator of a comparison.
func compare(replacement token.Token, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		c, ok := e.(*ast.BinaryExpr)
		if !ok || !isComparison(c.Op) || !isComparison(replacement) {
			return nil, fmt.Errorf("%q is not a comparison", p.text(e))
		}
		from := p.offset(c.OpPos)
		return []edit{{from, from + len(c.Op.String()), replacement.String()}}, nil
	}
}

func isComparison(op token.Token) bool {
	return slices.Contains([]token.Token{token.EQL, token.NEQ, token.LSS, token.LEQ, token.GTR, token.GEQ}, op)
}

// keepArgument replaces a call by one of its arguments.
func keepArgument(index, count int, steps ...step) operator {
	return func(p *place) ([]edit, error) {
		call, err := p.subject(steps)
		if err != nil {
			return nil, err
		}
		kept, err := argument(index, count)(p, call)
		if err != nil {
			return nil, err
		}
		return p.replace(call, p.text(kept)), nil
	}
}

// dropElement deletes an element of the composite literal.
func dropElement(index, count int) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(nil)
		if err != nil {
			return nil, err
		}
		elements, err := elementsOf(p, e, index, count)
		if err != nil {
			return nil, err
		}
		return p.delete(elements[index]), nil
	}
}

// dropOperands deletes operands of a condition that joins count operands by && and ||. The
// indices count from 0 in source order, including operands in parentheses and negations.
func dropOperands(count int, indices ...int) operator {
	return func(p *place) ([]edit, error) {
		e, err := p.subject(nil)
		if err != nil {
			return nil, err
		}
		operands := operandsOf(e)
		if len(operands) != count || len(indices) == 0 || slices.Min(indices) < 0 || slices.Max(indices) >= count {
			return nil, fmt.Errorf("%q has %d operands, not %d", p.text(e), len(operands), count)
		}
		dropped := map[ast.Expr]bool{}
		for _, i := range indices {
			dropped[operands[i]] = true
		}
		rest := p.textWithout(e, dropped)
		if rest == "" {
			return nil, fmt.Errorf("nothing remains of %q", p.text(e))
		}
		return p.replace(e, rest), nil
	}
}

// operandsOf returns the operands that && and || join, including those in parentheses and
// negations.
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

// textWithout returns the text of a condition without the dropped operands.
func (p *place) textWithout(e ast.Expr, dropped map[ast.Expr]bool) string {
	if dropped[e] {
		return ""
	}
	switch e := e.(type) {
	case *ast.ParenExpr:
		if x := p.textWithout(e.X, dropped); x != "" {
			return "(" + x + ")"
		}
		return ""
	case *ast.UnaryExpr:
		if x := p.textWithout(e.X, dropped); x != "" {
			return e.Op.String() + x
		}
		return ""
	case *ast.BinaryExpr:
		if e.Op != token.LAND && e.Op != token.LOR {
			break
		}
		x, y := p.textWithout(e.X, dropped), p.textWithout(e.Y, dropped)
		if x == "" || y == "" {
			return x + y
		}
		return x + " " + e.Op.String() + " " + y
	}
	return p.text(e)
}

// step selects a part of an expression.
type step func(*place, ast.Expr) (ast.Expr, error)

// subject returns the expression that an operator changes, or the part of it that the steps
// select. The expression is the condition of an if or a case, the assigned or returned value, the
// value of an element, or a call.
func (p *place) subject(steps []step) (ast.Expr, error) {
	e, err := p.expressionOf(p.node)
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

func (p *place) expressionOf(n ast.Node) (ast.Expr, error) {
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
	return nil, fmt.Errorf("%T does not have exactly one expression", n)
}

// initializer selects the value that the initial statement of an if assigns.
func initializer() step {
	return func(p *place, _ ast.Expr) (ast.Expr, error) {
		s, ok := p.node.(*ast.IfStmt)
		if !ok || s.Init == nil {
			return nil, errors.New("the place is not an if with an initial statement")
		}
		return p.expressionOf(s.Init)
	}
}

// operand selects one of the operands that && and || join, counted as in dropOperands.
func operand(index, count int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		return selectAt(p, e, "operands", operandsOf(e), index, count)
	}
}

// term selects one of the terms that binary operators of any kind join, including those in
// parentheses.
func term(index, count int) step {
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
		return selectAt(p, e, "terms", termsOf(e), index, count)
	}
}

// argument selects an argument of a call.
func argument(index, count int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		call, ok := e.(*ast.CallExpr)
		if !ok {
			return nil, fmt.Errorf("%q is not a call", p.text(e))
		}
		return selectAt(p, e, "arguments", call.Args, index, count)
	}
}

// receiver selects the receiver of a method call.
func receiver() step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		if call, ok := e.(*ast.CallExpr); ok {
			if method, ok := call.Fun.(*ast.SelectorExpr); ok {
				return method.X, nil
			}
		}
		return nil, fmt.Errorf("%q is not a method call", p.text(e))
	}
}

// index selects the index of an index expression.
func index() step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		if i, ok := e.(*ast.IndexExpr); ok {
			return i.Index, nil
		}
		return nil, fmt.Errorf("%q is not an index expression", p.text(e))
	}
}

// element selects the value of an element of a composite literal.
func element(index, count int) step {
	return func(p *place, e ast.Expr) (ast.Expr, error) {
		elements, err := elementsOf(p, e, index, count)
		if err != nil {
			return nil, err
		}
		if kv, ok := elements[index].(*ast.KeyValueExpr); ok {
			return kv.Value, nil
		}
		return elements[index], nil
	}
}

func elementsOf(p *place, e ast.Expr, index, count int) ([]ast.Expr, error) {
	literal := e
	if u, ok := literal.(*ast.UnaryExpr); ok && u.Op == token.AND {
		literal = u.X
	}
	c, ok := literal.(*ast.CompositeLit)
	if !ok {
		return nil, fmt.Errorf("%q is not a composite literal", p.text(e))
	}
	_, err := selectAt(p, e, "elements", c.Elts, index, count)
	return c.Elts, err
}

func selectAt(p *place, e ast.Expr, kind string, list []ast.Expr, index, count int) (ast.Expr, error) {
	if len(list) != count || index < 0 || index >= count {
		return nil, fmt.Errorf("%q has %d %s, not %d", p.text(e), len(list), kind, count)
	}
	return list[index], nil
}

func applyEdits(src []byte, edits []edit) []byte {
	edits = slices.Clone(edits)
	slices.SortStableFunc(edits, func(a, b edit) int { return a.start - b.start })
	var out []byte
	copied := 0
	for _, e := range edits {
		out = append(append(out, src[copied:e.start]...), e.text...)
		copied = e.end
	}
	return append(out, src[copied:]...)
}
