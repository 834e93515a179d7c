package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
)

// runStaticcheck runs the staticcheck that go.mod declares, with staticcheck.conf, over all packages below root.
func runStaticcheck(root string) ([]finding, error) {
	command := exec.Command("go", "tool", "staticcheck", "-f", "json", "./...")
	command.Dir = root
	var stderr bytes.Buffer
	command.Stderr = &stderr
	stdout, err := command.Output()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && len(stdout) > 0) { // staticcheck exits with status 1 if it has findings
		return nil, fmt.Errorf("staticcheck: %w: %s", err, bytes.TrimSpace(stderr.Bytes()))
	}
	return parseStaticcheck(root, stdout)
}

// staticcheckDiagnostic is the used subset of a line of staticcheck's JSON output.
type staticcheckDiagnostic struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Location struct {
		File string `json:"file"`
		Line int    `json:"line"`
	} `json:"location"`
}

// parseStaticcheck turns staticcheck's JSON output, with absolute file names below root, into findings.
func parseStaticcheck(root string, output []byte) ([]finding, error) {
	var findings []finding
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		var d staticcheckDiagnostic
		err := decoder.Decode(&d)
		if errors.Is(err, io.EOF) {
			return findings, nil
		}
		if err != nil {
			return nil, fmt.Errorf("parsing staticcheck's output: %w", err)
		}
		file, err := filepath.Rel(root, d.Location.File)
		if err != nil {
			return nil, err
		}
		file = filepath.ToSlash(file)
		findings = append(findings, finding{
			Package: filepath.ToSlash(filepath.Dir(file)),
			Check:   staticcheck,
			Text:    fmt.Sprintf("%s:%d: %s (%s)", file, d.Location.Line, d.Message, d.Code),
		})
	}
}
