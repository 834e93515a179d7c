// Command lint runs staticcheck and a check of doc comments over the module in the working directory. Its argument is a
// file that lists the packages exempted from one of the two; see exceptions.go for the format.
//
//	lint .ci/lint-exceptions.txt
//
// It exits with status 1 if a package that is not exempted has a finding or an exempted package has none any more, and with
// status 2 if the checks could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: lint EXCEPTIONS")
		os.Exit(2)
	}
	problems, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lint:", err)
		os.Exit(2)
	}
	for _, problem := range problems {
		fmt.Println(problem)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// run checks the module in the working directory and returns one line for each problem.
func run(exceptionsFile string) ([]string, error) {
	text, err := os.ReadFile(exceptionsFile)
	if err != nil {
		return nil, err
	}
	exceptions, err := parseExceptions(exceptionsFile, string(text))
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	findings, err := runStaticcheck(root)
	if err != nil {
		return nil, err
	}
	docFindings, err := checkDocs(root)
	if err != nil {
		return nil, err
	}
	return report(append(findings, docFindings...), exceptions), nil
}
