package mutation_test

import (
	"go/token"
	"strings"
	"testing"
)

// Each operator makes its change to the marked place and to nothing else, keeps variables
// and imports in use, and refuses a place that is not as the row says.
func TestOperators(t *testing.T) {
	const none = ""
	for _, c := range []struct {
		name     string
		operator operator
		body     string // of a function, with the marked place on the line below "//mutation:x"
		want     string // the body then, or none if the operator has to refuse
	}{
		{"remove a statement", remove(), "a()\n//mutation:x\nb() // why\nc()", "a()\n//mutation:x\n // why\nc()"},
		{"remove a case", remove(), "switch {\n//mutation:x\ncase a:\nb()\ndefault:\nc()\n}", "switch {\n//mutation:x\n\ndefault:\nc()\n}"},
		{"remove an element", remove(), "f(T{\n//mutation:x\na: 1,\nb: 2,\n})", "f(T{\n//mutation:x\n\nb: 2,\n})"},
		{"remove the only use of a variable", remove(), "v := a()\n//mutation:x\nb(v)", "v := a(); _ = v\n//mutation:x\n"},
		{"remove the only use of a loop's variable", remove(), "for _, v := range a {\n//mutation:x\nb(v)\n}", "for _, v := range a { _ = v;\n//mutation:x\n\n}"},
		{"an assignment is no use", remove(), "v := a()\nv = b()\n//mutation:x\nc(v)", "v := a(); _ = v\nv = b()\n//mutation:x\n"},
		{"a variable that is still used", remove(), "v := a()\n//mutation:x\nb(v)\nc(v)", "v := a()\n//mutation:x\n\nc(v)"},
		{"another variable of the name", remove(), "v := a()\nfunc() { v := b(); c(v) }()\n//mutation:x\nc(v)", "v := a(); _ = v\nfunc() { v := b(); c(v) }()\n//mutation:x\n"},
		{"remove several", removeStatements(2), "//mutation:x\na()\nb()\nc()", "//mutation:x\n\n\nc()"},
		{"remove more than there are", removeStatements(4), "//mutation:x\na()\nb()\nc()", none},
		{"nothing begins the line", remove(), "a()\n//mutation:x\n\nb()", none},
		{"not the first on the line", remove(), "if a {\nb()\n//mutation:x\n} else if c {\nd()\n}", none},
		{"set a condition", setCondition(true), "//mutation:x\nif a && b {\nc()\n}", "//mutation:x\nif true {\nc()\n}"},
		{"set a condition with an initial statement", setCondition(false), "//mutation:x\nif v, ok := a(); ok && v > 0 {\nc(v)\n}", "//mutation:x\nif v, ok := a(); false { _ = ok;\nc(v)\n}"},
		{"set a case's condition", setCondition(false), "switch {\n//mutation:x\ncase a > b:\nc()\n}", "switch {\n//mutation:x\ncase false:\nc()\n}"},
		{"set the condition of a case with two", setCondition(false), "switch {\n//mutation:x\ncase a, b:\nc()\n}", none},
		{"set the condition of no if", setCondition(false), "//mutation:x\na = b", none},
		{"a condition that is so already", setCondition(false), "//mutation:x\nif false {\n}", none},
		{"make a condition true with its effects", alwaysTrue(), "//mutation:x\nif a() < b {\n}", "//mutation:x\nif (a() < b) || true {\n}"},
		{"replace what is assigned", replace("0"), "//mutation:x\na.b = c()", "//mutation:x\na.b = 0"},
		{"replace what is returned", replace("nil"), "//mutation:x\nreturn a", "//mutation:x\nreturn nil"},
		{"replace one of two results", replace("nil"), "//mutation:x\nreturn a, b", none},
		{"replace an element's value", replace("true"), "f(T{\n//mutation:x\na: b, c: d,\n})", "f(T{\n//mutation:x\na: true, c: d,\n})"},
		{"replace by something with a name", replace("b"), "//mutation:x\na = c", none},
		{"replace by an expression", replaceExpr("b"), "//mutation:x\na = c", "//mutation:x\na = b"},
		{"replace an element further in", replace("0", element(1, 2)), "//mutation:x\na = &T{b: 1, c: 2}", "//mutation:x\na = &T{b: 1, c: 0}"},
		{"replace one of too many elements", replace("0", element(1, 2)), "//mutation:x\na = &T{b: 1, c: 2, d: 3}", none},
		{"replace a term", replace("0", argument(0, 1), index(), term(1, 3)), "//mutation:x\nf(a[(b+c)%d])", "//mutation:x\nf(a[(b+0)%d])"},
		{"replace an operand", replace("true", operand(2, 3)), "//mutation:x\nif a || !(b && c) {\n}", "//mutation:x\nif a || !(b && true) {\n}"},
		{"replace in an initial statement", replace("true", initializer(), operand(1, 2)), "//mutation:x\nif v := a || b; v {\n}", "//mutation:x\nif v := a || true; v {\n}"},
		{"replace in no initial statement", replace("true", initializer()), "//mutation:x\nif a || b {\n}", none},
		{"replace a receiver", replace("nil", receiver()), "//mutation:x\na = b.c.D(e)", "//mutation:x\na = nil.D(e)"},
		{"replace a function's receiver", replace("nil", receiver()), "//mutation:x\na = b(c)", none},
		{"drop operands", dropOperands(4, 1, 2), "//mutation:x\nif a && (b || !c) && d() {\n}", "//mutation:x\nif a && d() {\n}"},
		{"drop an operand of a negation", dropOperands(3, 1), "//mutation:x\nreturn a || !(b && c)", "//mutation:x\nreturn a || !(c)"},
		{"drop one of too few operands", dropOperands(3, 2), "//mutation:x\nif a && b {\n}", none},
		{"drop all operands", dropOperands(2, 0, 1), "//mutation:x\nif a && b {\n}", none},
		{"drop an operand that does not exist", dropOperands(2, 2), "//mutation:x\nif a && b {\n}", none},
		{"compare otherwise", compare(token.LEQ, operand(1, 2)), "//mutation:x\nif a && b == c {\n}", "//mutation:x\nif a && b <= c {\n}"},
		{"compare what is no comparison", compare(token.LEQ), "//mutation:x\nif a && b == c {\n}", none},
		{"keep an argument", keepArgument(1, 2), "//mutation:x\nreturn min(a, b.c)", "//mutation:x\nreturn b.c"},
		{"keep an argument of too many", keepArgument(1, 2), "//mutation:x\nreturn min(a, b, c)", none},
		{"drop the first element", dropElement(0, 2), "f(T{\n//mutation:x\na: []U{{b}, {c}},\n})", "f(T{\n//mutation:x\na: []U{ {c}},\n})"},
		{"drop the last element", dropElement(1, 2), "//mutation:x\na = []U{{b}, {c}}", "//mutation:x\na = []U{{b}, }"},
		{"drop an element of no literal", dropElement(0, 1), "//mutation:x\na = b(c)", none},
		{"move a statement", moveBehind(2, -1, 1), "m.Lock()\n//mutation:x\na()\nm.Unlock()\nb()\nc()", "m.Lock()\n//mutation:x\n\nm.Unlock()\nb()\nm.Lock()\na()\nm.Unlock()\nc()"},
		{"move a statement between no lock", moveBehind(2, -1, 1), "m.Lock()\n//mutation:x\na()\nn.Unlock()\nb()\nc()", none},
		{"move a statement past the end", moveBehind(4, -1, 1), "m.Lock()\n//mutation:x\na()\nm.Unlock()\nb()\nc()", none},
		{"make a statement depend on a condition", onlyIf("a"), "//mutation:x\nb++", "//mutation:x\nif a {\nb++\n}"},
		{"replace a name", replaceName("b", "c"), "//mutation:x\nif a.b.D() {\ne.b = 1\n}", "//mutation:x\nif a.c.D() {\ne.b = 1\n}"},
		{"replace a name that stands twice", replaceName("b", "c"), "//mutation:x\nif a.b.D(b) {\n}", none},
		{"an import that is used no more", remove(), "//mutation:x\nos.Exit(1)", "//mutation:x\n"},
		{"a change that does not parse", replaceExpr("a b"), "//mutation:x\nreturn c", none},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := func(imported, body string) string {
				return "package p\n\nimport " + imported + "\"os\"\n\nfunc f() {\n" + body + "\n}\n"
			}
			src := source("", c.body)
			imported, other := "", "" // the other function uses the import
			if !strings.Contains(c.body, "os.") {
				other = "\nfunc g() { os.Exit(0) }\n"
			} else {
				imported = "_ "
			}
			src += other
			line := strings.Count(src[:strings.Index(src, markerPrefix)], "\n") + 1
			got, err := c.operator.applyTo([]byte(src), line)
			switch {
			case c.want == none && err == nil:
				t.Errorf("not refused:\n%s", got)
			case c.want != none && err != nil:
				t.Error(err)
			case c.want != none && string(got) != source(imported, c.want)+other:
				t.Errorf("got\n%s\nwant\n%s", got, source(imported, c.want)+other)
			}
		})
	}
}

// A marker has to stand once; then the line below it is what is changed.
func TestMarkersAreUnique(t *testing.T) {
	all := scanMarkers(t)
	row := mutations()[0]
	if _, _, err := all.mutate(row); err != nil {
		t.Fatal(err)
	}
	all.at[row.marker] = append(all.at[row.marker], all.at[row.marker][0])
	if _, _, err := all.mutate(row); err == nil {
		t.Error("a marker that stands twice is taken")
	}
	delete(all.at, row.marker)
	if _, _, err := all.mutate(row); err == nil {
		t.Error("a marker that is missing is taken")
	}
}
