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

// childProcesses returns the ids of the child processes of parent.
func childProcesses(t *testing.T, parent int) (ids []int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the process has exited meanwhile
		}
		var id, parentID int
		var state string
		rest := string(text[strings.LastIndexByte(string(text), ')')+1:])
		if _, err := fmt.Sscan(string(text), &id); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Sscan(rest, &state, &parentID); err != nil {
			t.Fatal(err)
		}
		if parentID == parent {
			ids = append(ids, id)
		}
	}
	return ids
}

// An interrupted scale run of real processes must stop all its child processes, remove its temporary files and report the
// measured steps.
func TestInterruptedScaleRunStopsChildren(t *testing.T) {
	bin := buildProgram(t)
	folder := t.TempDir()
	plan := filepath.Join(folder, "plan.toml")
	if err := os.WriteFile(plan, []byte(scalePlan), 0o600); err != nil {
		t.Fatal(err)
	}
	run := &runningProcess{}
	cmd := exec.Command(bin, "scale", "--processes", "--steps", filepath.Join(folder, "steps"), plan)
	cmd.Env = append(os.Environ(), "TMPDIR="+folder)
	run.start(t, cmd)
	const processes = 1 + 2 + 2 + 2 // the writer, relays, hosts and daemons
	var ids []int
	for end := time.Now().Add(testTimeout); len(ids) < processes; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d processes started\n%s", len(ids), processes, run.log.String())
		}
		ids = childProcesses(t, cmd.Process.Pid)
	}
	run.signal(t, syscall.SIGINT)
	select {
	case err := <-run.exited:
		var status *exec.ExitError
		if !errors.As(err, &status) || status.ExitCode() != 1 || !strings.Contains(run.log.String(), "interrupted: 0 steps are in") {
			t.Errorf("exited with %v\n%s", err, run.log.String())
		}
	case <-time.After(testTimeout):
		t.Fatal("interrupted run did not exit")
	}
	for _, id := range ids {
		if err := syscall.Kill(id, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d still exists: %v", id, err)
		}
	}
	remaining, err := filepath.Glob(filepath.Join(folder, "craneglade-scale-*"))
	if err != nil || len(remaining) > 0 {
		t.Errorf("files left behind: %v, %v", remaining, err)
	}
}
