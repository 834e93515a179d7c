package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A change of anything but discovery takes a restart: SIGHUP goes to the other discovery in the same file and leaves a
// tenant's share as it was. How long a start takes until the node is ready is logged (docs/CAPACITY.md).
func TestAShareTakesARestart(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	first, second := newDiscovery(t, backend.Listener.Addr().String()), newDiscovery(t, backend.Listener.Addr().String())
	share := func(quota int, discovery string) string {
		return strings.Replace(config(discovery), `"policy_limits"`, fmt.Sprintf(`"projects":[{"name":"acme","quota_per_s":%d}],"policy_limits"`, quota), 1)
	}
	told := func(p *program, quota int) bool {
		return strings.Contains(p.log.String(), fmt.Sprintf("Name:acme QuotaPerS:%d}", quota))
	}
	bin := built(t)
	begun := time.Now()
	p := startAs(t, exec.Command(bin, "serve", "--log-level", "debug"), "", share(100, first.Addr))
	t.Logf("ready %v after the start", time.Since(begun))
	first.wait(t)
	if !told(p, 100) {
		t.Fatalf("the share is not in the log\n%s", p.log.String())
	}
	if err := os.WriteFile(p.config, []byte(share(900, second.Addr)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	second.wait(t)
	p.ask(t, "r1")
	if told(p, 900) {
		t.Error("SIGHUP has taken in a tenant's share; docs/CAPACITY.md says that it does not")
	}
	t.Logf("it holds %s and %d descriptors", p.resident(t), p.descriptors(t))
	p.leave(t)
	begun = time.Now()
	again := startAs(t, exec.Command(bin, "serve", "--log-level", "debug"), "", share(900, second.Addr))
	t.Logf("ready %v after the start", time.Since(begun))
	if !told(again, 900) {
		t.Error("a restart has not taken in the share")
	}
	again.leave(t)
}

// resident is the process's resident memory, as the kernel writes it.
func (p *program) resident(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if size, is := strings.CutPrefix(line, "VmRSS:"); is {
			return strings.TrimSpace(size)
		}
	}
	t.Fatal("no resident memory is told")
	return ""
}

// descriptors is how many the process has open.
func (p *program) descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}
