// Command knownred reads KNOWN-RED.txt, the tests that are known to fail for a fault that is still to be mended, and prints the
// pattern for go test -skip that passes over just these. It fails where the file lists more than three, or a test that there is
// none of: what was mended or renamed must leave the list.
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

// most is how many tests may be known to fail.
const most = 3

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE ROOT")
		os.Exit(2)
	}
	pattern, err := read(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	fmt.Println(pattern)
}

var line = regexp.MustCompile(`^(Test[A-Za-z0-9_]*)((?:/[^,/]+)*), *([^,].*), *([^, ][^,]*)$`)

// read returns the pattern for the tests that a file lists, each a line of its exact name, the cause and the issue, all of them in
// the test files below root.
func read(file, root string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	if len(lines) > most {
		return "", fmt.Errorf("%s: %d lines; at most %d tests may be known to fail", file, len(lines), most)
	}
	there, err := tests(root)
	if err != nil {
		return "", err
	}
	var all []string
	for i, l := range lines {
		m := line.FindStringSubmatch(l)
		switch {
		case m == nil:
			return "", fmt.Errorf("%s:%d: %q is not a test's name, the cause and the issue, with commas between", file, i+1, l)
		case !there[m[1]]:
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

var decl = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]*)\(\w+ \*testing\.T\)`)

// tests are the names of the tests in the test files below a folder.
func tests(root string) (map[string]bool, error) {
	out := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range decl.FindAllStringSubmatch(string(text), -1) {
			out[m[1]] = true
		}
		return err
	})
	return out, err
}
