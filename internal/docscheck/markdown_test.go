package docscheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// page is a Markdown page.
type page struct {
	path  string
	lines []string
	code  []bool // by line: whether it is part of a code block
}

// reference is a piece of a page that refers to something.
type reference struct {
	position string // page:line
	text     string
}

func readPage(t *testing.T, path string) page {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(content), "\n")
	return page{path: path, lines: lines, code: codeLines(lines)}
}

// codeLines tells for each line whether it is part of a fenced or an indented code
// block, with the fences.
func codeLines(lines []string) []bool {
	const (
		fence  = "```"
		indent = "    "
	)
	code := make([]bool, len(lines))
	inFence := false
	for i, line := range lines {
		isFence := strings.HasPrefix(strings.TrimSpace(line), fence)
		afterBlank := i == 0 || strings.TrimSpace(lines[i-1]) == "" || code[i-1]
		isIndented := strings.HasPrefix(line, indent) && afterBlank
		code[i] = inFence || isFence || isIndented
		if isFence {
			inFence = !inFence
		}
	}
	return code
}

func (p page) reference(line int, text string) reference {
	relative, err := filepath.Rel(root, p.path)
	if err != nil {
		relative = p.path
	}
	return reference{fmt.Sprintf("%s:%d", relative, line+1), text}
}

// prose is the page's text with its code blocks blanked, so that line numbers stay.
func (p page) prose() string {
	lines := make([]string, len(p.lines))
	for i, line := range p.lines {
		if !p.code[i] {
			lines[i] = line
		}
	}
	return strings.Join(lines, "\n")
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

// codeSpans are the pieces of prose in backticks.
func (p page) codeSpans() []reference { return p.matches(codeSpan) }

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// links are the targets of links.
func (p page) links() []reference { return p.matches(link) }

// matches lists the first groups of a pattern's matches in the prose.
func (p page) matches(pattern *regexp.Regexp) []reference {
	var found []reference
	prose := p.prose()
	for _, match := range pattern.FindAllStringSubmatchIndex(prose, -1) {
		line := strings.Count(prose[:match[0]], "\n")
		text := strings.Join(strings.Fields(prose[match[2]:match[3]]), " ")
		found = append(found, p.reference(line, text))
	}
	return found
}

// codeBlockLines are the lines of code blocks.
func (p page) codeBlockLines() []reference {
	var found []reference
	for i, line := range p.lines {
		if p.code[i] {
			found = append(found, p.reference(i, strings.TrimSpace(line)))
		}
	}
	return found
}

// checkLink checks that the target of a link is a file, or a heading of a page.
func (p page) checkLink(target string) error {
	if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
		return nil
	}
	path, fragment, _ := strings.Cut(target, "#")
	linked := p.path
	if path != "" {
		linked = filepath.Join(filepath.Dir(p.path), path)
	}
	content, err := os.ReadFile(linked)
	if info, statErr := os.Stat(linked); statErr == nil && info.IsDir() {
		return nil
	}
	if err != nil {
		return fmt.Errorf("the link to %s leads nowhere", target)
	}
	if fragment != "" && !hasHeading(string(content), fragment) {
		return fmt.Errorf("the link to %s leads to no heading", target)
	}
	return nil
}

var (
	heading     = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// hasHeading reports whether a page has a heading with the anchor.
func hasHeading(content, anchor string) bool {
	for _, match := range heading.FindAllStringSubmatch(content, -1) {
		plain := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(plain, " ", "-") == anchor {
			return true
		}
	}
	return false
}
