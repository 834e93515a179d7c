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

// Settings other than discovery change only with a restart: SIGHUP follows the new discovery address in a file and leaves a
// tenant's quota as it was. The time from start to readiness is logged for docs/CAPACITY.md.
func TestQuotaChangeNeedsRestart(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	first, second := newDiscovery(t, backend.Listener.Addr().String()), newDiscovery(t, backend.Listener.Addr().String())
	configWithQuota := func(quota int, discovery string) string {
		return strings.Replace(config(discovery), `"policy_limits"`, fmt.Sprintf(`"projects":[{"name":"acme","quota_per_s":%d}],"policy_limits"`, quota), 1)
	}
	loggedQuota := func(p *program, quota int) bool {
		return strings.Contains(p.log.String(), fmt.Sprintf("Name:acme QuotaPerS:%d}", quota))
	}
	bin := buildProgram(t)
	started := time.Now()
	p := startCommand(t, exec.Command(bin, "serve", "--log-level", "debug"), "", configWithQuota(100, first.Addr))
	t.Logf("ready %v after the start", time.Since(started))
	first.waitForConnection(t)
	if !loggedQuota(p, 100) {
		t.Fatalf("quota is not in the log\n%s", p.log.String())
	}
	if err := os.WriteFile(p.config, []byte(configWithQuota(900, second.Addr)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	second.waitForConnection(t)
	p.checkServed(t, "r1")
	if loggedQuota(p, 900) {
		t.Error("SIGHUP changed a tenant's quota; docs/CAPACITY.md says that it does not")
	}
	t.Logf("resident memory %s, %d open descriptors", p.residentMemory(t), p.openDescriptors(t))
	p.terminate(t)
	started = time.Now()
	restarted := startCommand(t, exec.Command(bin, "serve", "--log-level", "debug"), "", configWithQuota(900, second.Addr))
	t.Logf("ready %v after the start", time.Since(started))
	if !loggedQuota(restarted, 900) {
		t.Error("quota unchanged after a restart")
	}
	restarted.terminate(t)
}

// residentMemory returns VmRSS of the process, as in proc(5).
func (p *program) residentMemory(t *testing.T) string {
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
	t.Fatal("no VmRSS in the status file")
	return ""
}

// openDescriptors returns the number of open descriptors of the process.
func (p *program) openDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}
