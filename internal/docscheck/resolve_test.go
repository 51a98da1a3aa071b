package docscheck_test

import (
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	identifierPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)*$`)
	sourceFilePattern = regexp.MustCompile(`\.(go|md|toml|star|mod|sum|sh)$`)
	lineNumberPattern = regexp.MustCompile(`:[0-9]+$`)
)

// externalNames are names in the pages that belong to programs outside this repository.
var externalNames = map[string]bool{
	"best": true, "gap": true, // the users' benchmark: a figure of its table and a kind of day
	"gathering": true, "gang_wait_s": true, "gang_peer_s": true, // the users' workers, which the pages' questions mention
}

// resolves reports whether what a code span refers to exists in the tree. Only paths, commands
// and identifiers are checked; anything else counts as resolved.
func (tr *tree) resolves(page page, text string) bool {
	switch name := strings.TrimSuffix(text, "()"); {
	case strings.Contains(text, " "):
		return tr.resolvesCommand(page, text)
	case tr.isPath(text):
		return tr.resolvesPath(page, text)
	case identifierPattern.MatchString(name):
		return tr.resolvesName(name)
	}
	return true
}

// isPath reports whether a text has the form of a path in the tree. The path need not exist.
func (tr *tree) isPath(text string) bool {
	trimmed := strings.TrimPrefix(text, "./")
	first, _, nested := strings.Cut(trimmed, "/")
	switch {
	case first == "" || skippedDirectories[first]:
		return false
	case nested && tr.rootEntries[first]:
		return true
	}
	return sourceFilePattern.MatchString(lineNumberPattern.ReplaceAllString(text, ""))
}

// resolvesPath reports whether a path exists relative to the root or to the page, or is the end
// of an existing path: pages may give only the file name of a file whose package they describe.
func (tr *tree) resolvesPath(page page, text string) bool {
	trimmed := lineNumberPattern.ReplaceAllString(text, "")
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

// resolvesName reports whether a name is an identifier, alone or qualified by its package or
// type, or a word of the protocol, of the settings or of a log message.
func (tr *tree) resolvesName(name string) bool {
	if tr.declared[name] || tr.words[name] || tr.rootEntries[name] || externalNames[name] {
		return true
	}
	owner, member, qualified := strings.Cut(name, ".")
	if !qualified {
		return false
	}
	if members, known := tr.members[owner]; known {
		return members[member]
	}
	return tr.importedPackages[owner] || tr.words[owner] && tr.words[member]
}

// resolvesCommand reports whether the paths in a command exist and its -run pattern, if any,
// matches a test.
func (tr *tree) resolvesCommand(page page, command string) bool {
	arguments := strings.Fields(command)
	for i, argument := range arguments {
		nested := strings.Contains(argument, "/")
		if nested && tr.isPath(argument) && !tr.resolvesPath(page, argument) {
			return false
		}
		if argument == "-run" && i+1 < len(arguments) && !tr.matchesTest(arguments, arguments[i+1]) {
			return false
		}
	}
	return true
}

// matchesTest reports whether a -run pattern matches a test. With -bench it need not match any.
func (tr *tree) matchesTest(arguments []string, pattern string) bool {
	if slices.Contains(arguments, "-bench") {
		return true
	}
	wanted, err := regexp.Compile(strings.Trim(pattern, `'"`))
	return err == nil && slices.ContainsFunc(tr.tests, wanted.MatchString)
}
