package docscheck_test

import (
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	identifier = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)*$`)
	sourceFile = regexp.MustCompile(`\.(go|md|toml|star|mod|sum|sh)$`)
	lineNumber = regexp.MustCompile(`:[0-9]+$`)
)

// foreignWords are names in pages that belong to programs outside this repository.
var foreignWords = map[string]bool{
	"best": true, "gap": true, // the users' bench: a figure of its table and a kind of day
	"gathering": true, "gang_wait_s": true, "gang_peer_s": true, // the users' workers, that the questions ask about
}

// resolves reports whether a piece of prose in backticks is in the tree. What is neither
// a path, a command nor a single name is not checked.
func (tr *tree) resolves(page page, text string) bool {
	switch name := strings.TrimSuffix(text, "()"); {
	case strings.Contains(text, " "):
		return tr.resolvesCommand(page, text)
	case tr.isPath(text):
		return tr.resolvesPath(page, text)
	case identifier.MatchString(name):
		return tr.resolvesName(name)
	}
	return true
}

// isPath reports whether a text is a path in the tree, or would be one.
func (tr *tree) isPath(text string) bool {
	trimmed := strings.TrimPrefix(text, "./")
	first, _, nested := strings.Cut(trimmed, "/")
	switch {
	case first == "" || skippedDirectories[first]:
		return false
	case nested && tr.topLevel[first]:
		return true
	}
	return sourceFile.MatchString(lineNumber.ReplaceAllString(text, ""))
}

// resolvesPath looks for a path from the root, from the page, and as the end of another
// path: pages name files of a package that they speak of by their names alone.
func (tr *tree) resolvesPath(page page, text string) bool {
	trimmed := lineNumber.ReplaceAllString(text, "")
	trimmed = strings.TrimSuffix(strings.TrimSuffix(trimmed, "..."), "/")
	wanted := path.Clean(trimmed)
	directory, err := filepath.Rel(root, filepath.Dir(page.path))
	if err == nil && tr.files[path.Join(filepath.ToSlash(directory), wanted)] {
		return true
	}
	for file := range tr.files {
		if matched, _ := path.Match(wanted, file); matched || strings.HasSuffix(file, "/"+wanted) {
			return true
		}
	}
	return false
}

// resolvesName looks for an identifier, alone or with its package or type, and for a
// word of the protocol, the settings or a log message.
func (tr *tree) resolvesName(name string) bool {
	if tr.declared[name] || tr.words[name] || tr.topLevel[name] || foreignWords[name] {
		return true
	}
	owner, member, qualified := strings.Cut(name, ".")
	if !qualified {
		return false
	}
	if members, known := tr.members[owner]; known {
		return members[member]
	}
	return tr.imported[owner] || tr.words[owner] && tr.words[member]
}

// resolvesCommand checks the paths in a command, and that a test that it picks is there.
func (tr *tree) resolvesCommand(page page, command string) bool {
	arguments := strings.Fields(command)
	for i, argument := range arguments {
		nested := strings.Contains(argument, "/")
		if nested && tr.isPath(argument) && !tr.resolvesPath(page, argument) {
			return false
		}
		if argument == "-run" && i+1 < len(arguments) && !tr.picksTest(arguments, arguments[i+1]) {
			return false
		}
	}
	return true
}

// picksTest reports whether a pattern picks a test. Beside benchmarks it may pick none.
func (tr *tree) picksTest(arguments []string, pattern string) bool {
	if slices.Contains(arguments, "-bench") {
		return true
	}
	wanted, err := regexp.Compile(strings.Trim(pattern, `'"`))
	return err == nil && slices.ContainsFunc(tr.tests, wanted.MatchString)
}
