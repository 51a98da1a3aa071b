// Package docscheck_test checks that the identifiers, file paths, links and commands in the
// documentation pages refer to something that exists in the repository.
package docscheck_test

import (
	"path/filepath"
	"testing"
)

// root is the path of the repository's root directory, relative to this package.
const root = "../.."

// checkedPages are glob patterns of the pages whose code spans and commands are checked.
var checkedPages = []string{"README.md", "CONTRIBUTING.md", "docs/*.md"}

// linkedPages are glob patterns of the pages whose links are checked.
var linkedPages = append([]string{"docs/*/*.md"}, checkedPages...)

func TestCodeNamesInPagesResolve(t *testing.T) {
	tree := indexTree(t)
	for _, page := range readPages(t, checkedPages) {
		for _, span := range page.codeSpans() {
			if !tree.resolves(page, span.text) {
				t.Errorf("%s: `%s` does not exist in the tree", span.position, span.text)
			}
		}
	}
}

func TestCommandsInPagesResolve(t *testing.T) {
	tree := indexTree(t)
	for _, page := range readPages(t, checkedPages) {
		for _, line := range page.codeBlockLines() {
			if !tree.resolvesCommand(page, line.text) {
				t.Errorf("%s: the command names a path or test that does not exist in the tree: %s", line.position, line.text)
			}
		}
	}
}

func TestLinksBetweenPagesResolve(t *testing.T) {
	for _, page := range readPages(t, linkedPages) {
		for _, link := range page.links() {
			if err := page.checkLink(link.text); err != nil {
				t.Errorf("%s: %v", link.position, err)
			}
		}
	}
}

func readPages(t *testing.T, patterns []string) []page {
	t.Helper()
	var pages []page
	for _, pattern := range patterns {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(paths) == 0 {
			t.Errorf("no page matches %s", pattern)
		}
		for _, path := range paths {
			pages = append(pages, readPage(t, path))
		}
	}
	return pages
}
