// Package knownred passes over the tests that KNOWN-RED.txt lists as failing because of a known fault.
package knownred

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const (
	// listName is the list in the root of the repository.
	listName = "KNOWN-RED.txt"
	// runVariable runs the listed tests instead of skipping them when it is set to "run".
	runVariable = "KNOWN_RED"
)

// Entry is one listed test.
type Entry struct {
	// Test is the full name, with the names of subtests.
	Test string
	// Command runs the test, seed included.
	Command string
	// Seen is what the test reported.
	Seen string
	// Issue says what is to be done.
	Issue string
}

// Test is the part of testing.TB that Check needs.
type Test interface {
	Helper()
	Name() string
	Skipf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// SkipIfListed prints the finding and skips the test if it is listed. It fails the test if the list is malformed.
func SkipIfListed(test Test) {
	test.Helper()
	entries, err := Load()
	if err != nil {
		test.Fatalf("%v", err)
		return
	}
	for _, entry := range entries {
		if entry.Test == test.Name() && os.Getenv(runVariable) != "run" {
			test.Skipf("known red: %s (run: %s=run %s; issue: %s)", entry.Seen, runVariable, entry.Command, entry.Issue)
		}
	}
}

// Load reads the list from the root of the repository. A missing list is empty.
func Load() ([]Entry, error) {
	root, err := root()
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, listName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the list of known red tests")
	}
	return Parse(string(text))
}

// Parse reads entries of the lines test, command, seen and issue, each a name, a colon and a value. A line that
// starts with # is a comment. It returns an error for an incomplete entry or an unknown name.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		if name == "test" {
			entries = append(entries, Entry{Test: value})
			continue
		}
		if len(entries) == 0 || !entries[len(entries)-1].set(name, value) {
			return nil, errors.Errorf("%s: unexpected line %q", listName, line)
		}
	}
	for _, entry := range entries {
		if entry.Test == "" || entry.Command == "" || entry.Seen == "" || entry.Issue == "" {
			return nil, errors.Errorf("%s: the entry of %q lacks a field", listName, entry.Test)
		}
	}
	return entries, scanner.Err()
}

func (entry *Entry) set(name, value string) bool {
	fields := map[string]*string{"command": &entry.Command, "seen": &entry.Seen, "issue": &entry.Issue}
	field, ok := fields[name]
	if ok {
		*field = value
	}
	return ok
}

// root returns the nearest directory above the working directory that has a go.mod.
func root() (string, error) {
	directory, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "find the root of the repository")
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			return directory, nil
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			return "", errors.New("no go.mod above the working directory")
		}
		directory = parent
	}
}
