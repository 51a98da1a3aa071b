package mutation_test

import (
	"go/token"
	"strings"
	"testing"
)

// Each operator changes only the marked place and keeps the variables and imports there in use.
// It refuses a place that does not have the expected form.
func TestOperators(t *testing.T) {
	const refused = ""
	for _, c := range []struct {
		name     string
		operator operator
		body     string // function body with the marked place on the line below "//mutation:x"
		want     string // the mutated body, or refused if the operator must return an error
	}{
		{"remove a statement", remove(), "a()\n//mutation:x\nb() // why\nc()", "a()\n//mutation:x\n // why\nc()"},
		{"remove a case", remove(), "switch {\n//mutation:x\ncase a:\nb()\ndefault:\nc()\n}", "switch {\n//mutation:x\n\ndefault:\nc()\n}"},
		{"remove an element", remove(), "f(T{\n//mutation:x\na: 1,\nb: 2,\n})", "f(T{\n//mutation:x\n\nb: 2,\n})"},
		{"remove the only use of a variable", remove(), "v := a()\n//mutation:x\nb(v)", "v := a(); _ = v\n//mutation:x\n"},
		{"remove the only use of a loop's variable", remove(), "for _, v := range a {\n//mutation:x\nb(v)\n}", "for _, v := range a { _ = v;\n//mutation:x\n\n}"},
		{"an assignment does not count as a use", remove(), "v := a()\nv = b()\n//mutation:x\nc(v)", "v := a(); _ = v\nv = b()\n//mutation:x\n"},
		{"a variable that is still used", remove(), "v := a()\n//mutation:x\nb(v)\nc(v)", "v := a()\n//mutation:x\n\nc(v)"},
		{"another variable of the same name", remove(), "v := a()\nfunc() { v := b(); c(v) }()\n//mutation:x\nc(v)", "v := a(); _ = v\nfunc() { v := b(); c(v) }()\n//mutation:x\n"},
		{"remove several", removeStatements(2), "//mutation:x\na()\nb()\nc()", "//mutation:x\n\n\nc()"},
		{"remove more than there are", removeStatements(4), "//mutation:x\na()\nb()\nc()", refused},
		{"the line below the marker is empty", remove(), "a()\n//mutation:x\n\nb()", refused},
		{"the statement does not begin the line", remove(), "if a {\nb()\n//mutation:x\n} else if c {\nd()\n}", refused},
		{"set a condition", setCondition(true), "//mutation:x\nif a && b {\nc()\n}", "//mutation:x\nif true {\nc()\n}"},
		{"set a condition with an initial statement", setCondition(false), "//mutation:x\nif v, ok := a(); ok && v > 0 {\nc(v)\n}", "//mutation:x\nif v, ok := a(); false { _ = ok;\nc(v)\n}"},
		{"set a case's condition", setCondition(false), "switch {\n//mutation:x\ncase a > b:\nc()\n}", "switch {\n//mutation:x\ncase false:\nc()\n}"},
		{"set the condition of a case with two expressions", setCondition(false), "switch {\n//mutation:x\ncase a, b:\nc()\n}", refused},
		{"set the condition of an assignment", setCondition(false), "//mutation:x\na = b", refused},
		{"set a condition to the value it already has", setCondition(false), "//mutation:x\nif false {\n}", refused},
		{"make a condition true but still evaluate it", alwaysTrue(), "//mutation:x\nif a() < b {\n}", "//mutation:x\nif (a() < b) || true {\n}"},
		{"replace the assigned value", replace("0"), "//mutation:x\na.b = c()", "//mutation:x\na.b = 0"},
		{"replace the returned value", replace("nil"), "//mutation:x\nreturn a", "//mutation:x\nreturn nil"},
		{"replace one of two results", replace("nil"), "//mutation:x\nreturn a, b", refused},
		{"replace an element's value", replace("true"), "f(T{\n//mutation:x\na: b, c: d,\n})", "f(T{\n//mutation:x\na: true, c: d,\n})"},
		{"replace by an expression that is not a constant", replace("b"), "//mutation:x\na = c", refused},
		{"replace by an expression", replaceExpr("b"), "//mutation:x\na = c", "//mutation:x\na = b"},
		{"replace an element of a nested literal", replace("0", element(1, 2)), "//mutation:x\na = &T{b: 1, c: 2}", "//mutation:x\na = &T{b: 1, c: 0}"},
		{"replace one of too many elements", replace("0", element(1, 2)), "//mutation:x\na = &T{b: 1, c: 2, d: 3}", refused},
		{"replace a term", replace("0", argument(0, 1), index(), term(1, 3)), "//mutation:x\nf(a[(b+c)%d])", "//mutation:x\nf(a[(b+0)%d])"},
		{"replace an operand", replace("true", operand(2, 3)), "//mutation:x\nif a || !(b && c) {\n}", "//mutation:x\nif a || !(b && true) {\n}"},
		{"replace in an initial statement", replace("true", initializer(), operand(1, 2)), "//mutation:x\nif v := a || b; v {\n}", "//mutation:x\nif v := a || true; v {\n}"},
		{"replace in a missing initial statement", replace("true", initializer()), "//mutation:x\nif a || b {\n}", refused},
		{"replace a receiver", replace("nil", receiver()), "//mutation:x\na = b.c.D(e)", "//mutation:x\na = nil.D(e)"},
		{"replace the receiver of a function call", replace("nil", receiver()), "//mutation:x\na = b(c)", refused},
		{"drop operands", dropOperands(4, 1, 2), "//mutation:x\nif a && (b || !c) && d() {\n}", "//mutation:x\nif a && d() {\n}"},
		{"drop an operand of a negation", dropOperands(3, 1), "//mutation:x\nreturn a || !(b && c)", "//mutation:x\nreturn a || !(c)"},
		{"drop one of too few operands", dropOperands(3, 2), "//mutation:x\nif a && b {\n}", refused},
		{"drop all operands", dropOperands(2, 0, 1), "//mutation:x\nif a && b {\n}", refused},
		{"drop an operand that does not exist", dropOperands(2, 2), "//mutation:x\nif a && b {\n}", refused},
		{"change a comparison", compare(token.LEQ, operand(1, 2)), "//mutation:x\nif a && b == c {\n}", "//mutation:x\nif a && b <= c {\n}"},
		{"change the comparison in a logical expression", compare(token.LEQ), "//mutation:x\nif a && b == c {\n}", refused},
		{"keep an argument", keepArgument(1, 2), "//mutation:x\nreturn min(a, b.c)", "//mutation:x\nreturn b.c"},
		{"keep an argument of too many", keepArgument(1, 2), "//mutation:x\nreturn min(a, b, c)", refused},
		{"drop the first element", dropElement(0, 2), "f(T{\n//mutation:x\na: []U{{b}, {c}},\n})", "f(T{\n//mutation:x\na: []U{ {c}},\n})"},
		{"drop the last element", dropElement(1, 2), "//mutation:x\na = []U{{b}, {c}}", "//mutation:x\na = []U{{b}, }"},
		{"drop an element of a call", dropElement(0, 1), "//mutation:x\na = b(c)", refused},
		{"move a statement", moveAfter(2, -1, 1), "m.Lock()\n//mutation:x\na()\nm.Unlock()\nb()\nc()", "m.Lock()\n//mutation:x\n\nm.Unlock()\nb()\nm.Lock()\na()\nm.Unlock()\nc()"},
		{"move a statement without matching lock and unlock", moveAfter(2, -1, 1), "m.Lock()\n//mutation:x\na()\nn.Unlock()\nb()\nc()", refused},
		{"move a statement past the end", moveAfter(4, -1, 1), "m.Lock()\n//mutation:x\na()\nm.Unlock()\nb()\nc()", refused},
		{"make a statement conditional", onlyIf("a"), "//mutation:x\nb++", "//mutation:x\nif a {\nb++\n}"},
		{"replace a name", replaceName("b", "c"), "//mutation:x\nif a.b.D() {\ne.b = 1\n}", "//mutation:x\nif a.c.D() {\ne.b = 1\n}"},
		{"replace a name that occurs twice", replaceName("b", "c"), "//mutation:x\nif a.b.D(b) {\n}", refused},
		{"remove the only use of an import", remove(), "//mutation:x\nos.Exit(1)", "//mutation:x\n"},
		{"a change that does not parse", replaceExpr("a b"), "//mutation:x\nreturn c", refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := func(importName, body string) string {
				return "package p\n\nimport " + importName + "\"os\"\n\nfunc f() {\n" + body + "\n}\n"
			}
			src := source("", c.body)
			importName, otherFunction := "", "" // the other function uses the import
			if !strings.Contains(c.body, "os.") {
				otherFunction = "\nfunc g() { os.Exit(0) }\n"
			} else {
				importName = "_ "
			}
			src += otherFunction
			line := strings.Count(src[:strings.Index(src, markerPrefix)], "\n") + 1
			got, err := c.operator.applyTo([]byte(src), line)
			switch {
			case c.want == refused && err == nil:
				t.Errorf("the operator did not refuse and returned\n%s", got)
			case c.want != refused && err != nil:
				t.Error(err)
			case c.want != refused && string(got) != source(importName, c.want)+otherFunction:
				t.Errorf("got\n%s\nwant\n%s", got, source(importName, c.want)+otherFunction)
			}
		})
	}
}

// A mutation is applied only if its marker occurs exactly once.
func TestMarkersAreUnique(t *testing.T) {
	markers := scanMarkers(t)
	row := mutations()[0]
	if _, _, err := markers.mutate(row); err != nil {
		t.Fatal(err)
	}
	markers.positions[row.marker] = append(markers.positions[row.marker], markers.positions[row.marker][0])
	if _, _, err := markers.mutate(row); err == nil {
		t.Error("a marker that occurs twice is accepted")
	}
	delete(markers.positions, row.marker)
	if _, _, err := markers.mutate(row); err == nil {
		t.Error("a missing marker is accepted")
	}
}
