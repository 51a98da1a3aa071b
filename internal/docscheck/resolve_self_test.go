package docscheck_test

import (
	"path/filepath"
	"testing"
)

// References to things that are not in the tree do not resolve, so the checks of the pages can
// fail.
func TestOnlyWhatIsInTheTreeResolves(t *testing.T) {
	tree := indexTree(t)
	readme := page{path: filepath.Join(root, "README.md")}
	for text, want := range map[string]bool{
		"internal/docscheck":                       true,
		"internal/docscheck/tree_test.go":          true,
		"tree_test.go":                             true,
		"wire/*.go":                                true,
		"go.mod":                                   true,
		"internal/nowhere":                         false,
		"internal/docscheck/nowhere.go":            false,
		"no_such_file.go":                          false,
		"wire/*.none":                              false,
		"wire":                                     true,
		"wire.ParseJob":                            true,
		"ParseJob()":                               true,
		"Job.ID":                                   true,
		"time.Duration":                            true,
		"wire.NoSuchFunction":                      false,
		"Job.NoSuchField":                          false,
		"NoSuchFunction":                           false,
		"go test ./internal/docscheck":             true,
		"go test ./internal/nowhere":               false,
		"go test ./wire -run 'TestMessage.*'":      true,
		"go test ./wire -run TestNoSuchThing":      false,
		"go test ./wire -run NoSuchThing -bench=.": false,
		"go test ./wire -run XXX -bench .":         true,
		"/v2/runs":                                 true, // the path of a URL is not checked
	} {
		if got := tree.resolves(readme, text); got != want {
			t.Errorf("%q resolves: %t, want %t", text, got, want)
		}
	}
}

func TestLinksAreFollowed(t *testing.T) {
	readme := page{path: filepath.Join(root, "README.md")}
	for target, want := range map[string]bool{
		"CONTRIBUTING.md":               true,
		"docs":                          true,
		"README.md#build":               true,
		"#build":                        true,
		"https://example.org/elsewhere": true,
		"docs/nowhere.md":               false,
		"#no-such-heading":              false,
	} {
		if err := readme.checkLink(target); (err == nil) != want {
			t.Errorf("link to %s: error %v, want valid: %t", target, err, want)
		}
	}
}
