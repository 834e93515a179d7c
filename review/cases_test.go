//go:build review

// Package review runs the scripts of the cases as tests, with: go test -tags review ./review
package review

import (
	"os/exec"
	"testing"
)

// run runs the script of a case, after the deploy build and build.sh.
func run(t *testing.T, script string) {
	t.Helper()
	if out, err := exec.Command("bash", script).CombinedOutput(); err != nil {
		t.Errorf("%s: %v\n%s", script, err, out)
	}
}

func TestReviewLateSecondAnswer(t *testing.T) { run(t, "1/run.sh") }

func TestReviewLongBatchAnswers(t *testing.T) { run(t, "2/run.sh") }

func TestReviewCallsThatWait(t *testing.T) { run(t, "3/run.sh") }
