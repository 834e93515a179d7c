// Command knownred reads KNOWN-RED.txt, the list of tests that fail because of a known bug, and prints a pattern for
// go test -skip that matches exactly these. It fails if the file lists more than three tests, or a test that does not exist.
// Tests that were fixed or renamed have to be removed from the list.
//
//	knownred KNOWN-RED.txt ROOT
package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// maxKnownFailures is the maximum number of tests in the list.
const maxKnownFailures = 3

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE ROOT")
		os.Exit(2)
	}
	pattern, err := skipPattern(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	fmt.Println(pattern)
}

var linePattern = regexp.MustCompile(`^(Test[A-Za-z0-9_]*)((?:/[^,/]+)*), *([^,].*), *([^, ][^,]*)$`)

// skipPattern returns the pattern for the tests listed in a file, one on each line: the exact name, the cause and the issue. All
// of them must exist in the test files below root.
func skipPattern(file, root string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	if len(lines) > maxKnownFailures {
		return "", fmt.Errorf("%s: %d lines; at most %d tests may be known to fail", file, len(lines), maxKnownFailures)
	}
	existing, err := findTests(root)
	if err != nil {
		return "", err
	}
	var all []string
	for i, l := range lines {
		m := linePattern.FindStringSubmatch(l)
		switch {
		case m == nil:
			return "", fmt.Errorf("%s:%d: %q is not a test's name, the cause and the issue, with commas between", file, i+1, l)
		case !existing[m[1]]:
			return "", fmt.Errorf("%s:%d: there is no test %s", file, i+1, m[1])
		}
		parts := strings.Split(m[1]+m[2], "/")
		for k := range parts {
			parts[k] = "^" + regexp.QuoteMeta(parts[k]) + "$"
		}
		all = append(all, strings.Join(parts, "/"))
	}
	return strings.Join(all, "|"), nil
}

var testDeclaration = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]*)\(\w+ \*testing\.T\)`)

// findTests returns the names of the tests in the test files below a folder.
func findTests(root string) (map[string]bool, error) {
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
			out[m[1]] = true
		}
		return err
	})
	return out, err
}
