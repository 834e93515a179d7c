package main

import (
	"fmt"
	"strings"
)

// check names one of the two checks.
type check string

const (
	staticcheck check = "staticcheck"
	docComments check = "doc"
)

// finding is one problem reported by a check.
type finding struct {
	Package string // directory, relative to the module's root, with slashes
	Check   check
	Text    string // file, line and message
}

// subject is one check of one package.
type subject struct {
	Package string
	Check   check
}

// exception exempts a package from one check.
type exception struct {
	subject
	Place string // file and line that list it
}

// parseExceptions parses lines that each consist of a package directory and a check's name. Empty lines and lines that start
// with # are skipped. The error names the file and the line.
func parseExceptions(file, text string) ([]exception, error) {
	var exceptions []exception
	listed := map[subject]bool{}
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		place := fmt.Sprintf("%s:%d", file, i+1)
		if len(fields) != 2 {
			return nil, fmt.Errorf("%s: %q is not a package's directory and a check", place, line)
		}
		s := subject{fields[0], check(fields[1])}
		if s.Check != staticcheck && s.Check != docComments {
			return nil, fmt.Errorf("%s: unknown check %q; there are %q and %q", place, s.Check, staticcheck, docComments)
		}
		if listed[s] {
			return nil, fmt.Errorf("%s: %s %s is listed twice", place, s.Package, s.Check)
		}
		listed[s] = true
		exceptions = append(exceptions, exception{s, place})
	}
	return exceptions, nil
}

// report returns the findings of packages that are not exempted, and a line for each exception that is no longer needed.
func report(findings []finding, exceptions []exception) []string {
	found := map[subject]bool{}
	for _, f := range findings {
		found[subject{f.Package, f.Check}] = true
	}
	exempted := map[subject]bool{}
	var problems []string
	for _, e := range exceptions {
		exempted[e.subject] = true
		if !found[e.subject] {
			problems = append(problems, fmt.Sprintf("%s: %s has no %s findings any more: remove this line", e.Place, e.Package, e.Check))
		}
	}
	for _, f := range findings {
		if !exempted[subject{f.Package, f.Check}] {
			problems = append(problems, f.Text)
		}
	}
	return problems
}
