// Package knownred lets tests of known faults land: a test that is listed in
// KNOWN-RED.txt is skipped with a message while it misses its target, and fails once
// it meets it, so that the list stays accurate.
package knownred

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// listName is the name of the list in the repository's root. Each of its lines begins
// with the full name of a test.
const listName = "KNOWN-RED.txt"

// Expect checks a target of the test; format and args describe what was seen.
func Expect(t testing.TB, met bool, format string, args ...any) {
	t.Helper()
	seen := fmt.Sprintf(format, args...)
	listed, err := isListed(t.Name())
	switch {
	case err != nil:
		t.Fatal(err)
	case met && listed:
		t.Errorf("met, remove it from %s: %s", listName, seen)
	case listed:
		t.Skipf("known red: %s", seen)
	case !met:
		t.Errorf("missed: %s", seen)
	}
}

// Seen reports a fault that the test shows in some of its runs only: a listed test is
// skipped with a message, any other fails.
func Seen(t testing.TB, format string, args ...any) {
	t.Helper()
	seen := fmt.Sprintf(format, args...)
	listed, err := isListed(t.Name())
	switch {
	case err != nil:
		t.Fatal(err)
	case listed:
		t.Skipf("known red: %s", seen)
	default:
		t.Error(seen)
	}
}

// isListed reports whether an entry of the list begins with the test's name.
func isListed(test string) (bool, error) {
	text, err := read()
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(text) {
		name, _, _ := strings.Cut(line, " ")
		if name == test {
			return true, nil
		}
	}
	return false, nil
}

// read returns the list. Tests run in the directory of their package, below the root.
func read() (string, error) {
	dir, err := filepath.Abs(".")
	if err != nil {
		return "", err
	}
	for {
		text, err := os.ReadFile(filepath.Join(dir, listName))
		if err == nil || !errors.Is(err, os.ErrNotExist) {
			return string(text), err
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no %s above the tests", listName)
		}
		dir = parent
	}
}
