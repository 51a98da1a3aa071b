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
	path        string
	lines       []string
	inCodeBlock []bool // for each line, whether it is part of a code block
}

// reference is a code span, a link target or a line of a code block, and its position.
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
	return page{path: path, lines: lines, inCodeBlock: markCodeBlocks(lines)}
}

// markCodeBlocks reports for each line whether it is part of a fenced or indented code block.
// The fences count as part of the block.
func markCodeBlocks(lines []string) []bool {
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

// prose returns the page's text with the lines of code blocks blanked, which keeps line numbers.
func (p page) prose() string {
	lines := make([]string, len(p.lines))
	for i, line := range p.lines {
		if !p.inCodeBlock[i] {
			lines[i] = line
		}
	}
	return strings.Join(lines, "\n")
}

var codeSpanPattern = regexp.MustCompile("`([^`]+)`")

// codeSpans returns the texts in backticks in the prose.
func (p page) codeSpans() []reference { return p.matches(codeSpanPattern) }

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// links returns the targets of the links in the prose.
func (p page) links() []reference { return p.matches(linkPattern) }

// matches returns the first capturing group of each match of the pattern in the prose.
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

// codeBlockLines returns the lines of the code blocks.
func (p page) codeBlockLines() []reference {
	var found []reference
	for i, line := range p.lines {
		if p.inCodeBlock[i] {
			found = append(found, p.reference(i, strings.TrimSpace(line)))
		}
	}
	return found
}

// checkLink checks that the target of a link is an existing file or directory and that its
// fragment, if any, is a heading of the linked page. External links are not checked.
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
		return fmt.Errorf("the link target %s does not exist", target)
	}
	if fragment != "" && !hasHeading(string(content), fragment) {
		return fmt.Errorf("the link target %s is not a heading of the page", target)
	}
	return nil
}

var (
	headingPattern      = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	nonAnchorCharacters = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// hasHeading reports whether a page has a heading with the given anchor.
func hasHeading(content, anchor string) bool {
	for _, match := range headingPattern.FindAllStringSubmatch(content, -1) {
		plain := nonAnchorCharacters.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(plain, " ", "-") == anchor {
			return true
		}
	}
	return false
}
