package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const settings = `{"balancers":1,"zone":"n","discovery":"push","grades":[{"name":"a","aim_s":20,"deadline_s":60,` +
	`"gain":1,"effect":"free","group":"all"}],"policy_limits":{"max_attempts":2,"connect_timeout_s":5}}`

const patience = 60 * time.Second

// built returns the path of a freshly built craneglade.
func built(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "craneglade")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeAddr returns an address on which nothing listens. Another process may take it before the node does; the
// kernel hands out ports in turn, so that this is as good as never.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func TestStartsServesAndLeaves(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	told := make(chan struct{}, 1)
	told <- struct{}{}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-told:
			fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"n","kind":"k","cell":0,`+
				`"state":"Ready","weight":1,"started_ms":0}]}`, backend.Listener.Addr())
		case <-r.Context().Done():
		}
	}))
	defer discovery.Close()
	addr := freeAddr(t)
	cmd := exec.Command(built(t))
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+addr, "GW_DISCOVERY="+discovery.Listener.Addr().String(),
		"GW_CONFIG="+write(t, `{"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`+
			`"known":{"version":1,"full":true,"servers":[]},"settings":`+settings+`}`))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer cmd.Process.Kill()

	ready := func() bool {
		resp, err := http.Get("http://" + addr + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}
	for end := time.Now().Add(patience); !ready(); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-exited:
			t.Fatalf("ended: %v\n%s", err, stderr.String())
		default:
		}
		if time.Now().After(end) {
			t.Fatal("not ready")
		}
	}
	req, _ := http.NewRequest("GET", "http://"+addr+"/api", nil)
	for name, value := range map[string]string{"X-Request-Id": "r1", "X-Class": "a", "X-Deadline": "50000m"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "made for r1" {
		t.Errorf("answered %d %q", resp.StatusCode, body)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, stderr.String())
		}
	case <-time.After(patience):
		t.Error("does not end after SIGTERM")
	}
}

func TestBadConfig(t *testing.T) {
	bin := built(t)
	for _, c := range []struct{ text, want string }{
		{`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`, "settings"},
		{`{"listen":7}`, "listen"},
		{`{`, "GW_CONFIG"},
	} {
		cmd := exec.Command(bin)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		cmd.Env = append(os.Environ(), "GW_CONFIG="+write(t, c.text))
		err := cmd.Run()
		text := stderr.String()
		if err == nil || !strings.Contains(text, c.want) || strings.Count(text, "\n") != 1 {
			t.Errorf("%s: %v and %q, want a failure and one line that names %s", c.text, err, text, c.want)
		}
	}
}
