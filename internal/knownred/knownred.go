// Package knownred skips the tests that KNOWN-RED.txt lists as failing because of a known fault.
package knownred

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const (
	// listFile is the name of the list, which is in the root directory of the repository.
	listFile = "KNOWN-RED.txt"
	// runVariable is an environment variable; with the value "run", listed tests run instead of being skipped.
	runVariable = "KNOWN_RED"
)

// Entry describes one test that the list contains.
type Entry struct {
	// Test is the full name of the test, including the names of subtests.
	Test string
	// Command is the command that runs the test, including its random seed.
	Command string
	// Seen is the failure that the test reported.
	Seen string
	// Issue describes the change that is needed.
	Issue string
}

// Test is the part of testing.TB that SkipIfListed uses.
type Test interface {
	Helper()
	Name() string
	Skipf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// SkipIfListed skips the test if the list contains it, and prints the failure and the issue from the list. It does not
// skip the test if the environment variable KNOWN_RED is "run". It fails the test if the list cannot be read or is
// malformed.
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

// Load reads the list in the root directory of the repository. It returns no entries if the file does not exist.
func Load() ([]Entry, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(root, listFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the list of known red tests")
	}
	return Parse(string(text))
}

// Parse reads the entries of a list. An entry has one line for each of the fields test, command, seen and issue, with
// test as the first line. A line consists of the field's name, a colon and the value. Lines that start with # are
// comments. Parse returns an error for an incomplete entry or an unknown field.
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
			return nil, errors.Errorf("%s: unexpected line %q", listFile, line)
		}
	}
	for _, entry := range entries {
		if entry.Test == "" || entry.Command == "" || entry.Seen == "" || entry.Issue == "" {
			return nil, errors.Errorf("%s: a field of the entry for test %q is missing or empty", listFile, entry.Test)
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

// repositoryRoot returns the nearest directory with a go.mod file, starting from the working directory and going up.
func repositoryRoot() (string, error) {
	directory, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "find the root directory of the repository")
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			return directory, nil
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			return "", errors.New("no go.mod in the working directory or above it")
		}
		directory = parent
	}
}
