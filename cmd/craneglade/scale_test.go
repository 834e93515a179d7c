package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const scalePlan = `[fleet]
regions = 1
zones = 3
tenant_part = 0.01
[rates]
node_bytes = "8KiB"
[processes]
hosts = 2
nodes_per_host = 5
relays = 2
daemons = 2
[[step]]
nodes = 300
endpoints = 8644
services = 473
routes = 1881
tenants = 76271
[[step]]
nodes = 5900
endpoints = 170000
services = 9300
routes = 37000
tenants = 1500000
`

// startedBy are the ids of the processes that a process has started.
func startedBy(t *testing.T, parent int) (ids []int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // it has just ended
		}
		var id, of int
		var state string
		rest := string(text[strings.LastIndexByte(string(text), ')')+1:])
		if _, err := fmt.Sscan(string(text), &id); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Sscan(rest, &state, &of); err != nil {
			t.Fatal(err)
		}
		if of == parent {
			ids = append(ids, id)
		}
	}
	return ids
}

// A scale run of real processes that is interrupted ends all that it started, and says what it has.
func TestAnInterruptedScaleRunEndsItsProcesses(t *testing.T) {
	bin := built(t)
	folder := t.TempDir()
	plan := filepath.Join(folder, "plan.toml")
	if err := os.WriteFile(plan, []byte(scalePlan), 0o600); err != nil {
		t.Fatal(err)
	}
	run := &running{}
	cmd := exec.Command(bin, "scale", "--processes", "--steps", filepath.Join(folder, "steps"), plan)
	cmd.Env = append(os.Environ(), "TMPDIR="+folder)
	run.start(t, cmd)
	const all = 1 + 2 + 2 + 2 // the writer, relays, hosts and daemons
	var ids []int
	for end := time.Now().Add(patience); len(ids) < all; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d processes of %d\n%s", len(ids), all, run.log.String())
		}
		ids = startedBy(t, cmd.Process.Pid)
	}
	run.signal(t, syscall.SIGINT)
	select {
	case err := <-run.exited:
		var status *exec.ExitError
		if !errors.As(err, &status) || status.ExitCode() != 1 || !strings.Contains(run.log.String(), "interrupted: 0 steps are in") {
			t.Errorf("ended with %v\n%s", err, run.log.String())
		}
	case <-time.After(patience):
		t.Fatal("an interrupted run does not end")
	}
	for _, id := range ids {
		if err := syscall.Kill(id, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is there still: %v", id, err)
		}
	}
	left, err := filepath.Glob(filepath.Join(folder, "craneglade-scale-*"))
	if err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}
