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
	"sync"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
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
	discovery := newDiscovery(t, backend.Listener.Addr().String())
	p := start(t, discovery.Addr, "")
	p.ask(t, "r1")
	p.leave(t)
}

// SIGHUP used to end the program. It takes the file again: a bad one changes nothing, a good one's discovery goes
// before GW_DISCOVERY, and one that comes during another or after SIGTERM does no harm.
func TestReloads(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	first, second := newDiscovery(t, backend.Listener.Addr().String()), newDiscovery(t, backend.Listener.Addr().String())
	p := start(t, first.Addr, "")
	first.wait(t)
	replace := func(text string) {
		t.Helper()
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	replace("{")
	for end := time.Now().Add(patience); !strings.Contains(p.log.String(), "keeping the old one"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("nothing logged of a bad file\n%s", p.log.String())
		}
	}
	p.ask(t, "r1")
	replace(config(second.Addr))
	p.cmd.Process.Signal(syscall.SIGHUP)
	second.wait(t)
	p.ask(t, "r2")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.leave(t)
}

// discovery is the kit's box list with a single backend, which tells when it is asked.
type discovery struct {
	*stand.AgentServer
	asked chan struct{}
}

func newDiscovery(t *testing.T, backend string) *discovery {
	t.Helper()
	return newDiscoveryAt(t, "127.0.0.1:0", backend, 2) // news to the node
}

// newDiscoveryAt is newDiscovery at an address, with a list that has reached a version.
func newDiscoveryAt(t *testing.T, addr, backend string, version int) *discovery {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{asked: make(chan struct{}, 100)}
	agent := stand.NewAgent("n0", false, stand.Clock{Start: time.Now()}, trace.NewWriter(io.Discard, trace.Head{}),
		[]stand.Entry{{ID: "s-1", Addr: backend, Zone: "n", Kind: "k", State: trace.Ready, Weight: 1}})
	for range version - 1 {
		agent.Apply(stand.Entry{ID: "s-1", Addr: backend, Zone: "n", Kind: "k", State: trace.Ready, Weight: 1})
	}
	d.AgentServer = stand.ServeAgent(agent, &noted{ln, d.asked})
	t.Cleanup(d.Close)
	return d
}

// noted is a listener that tells of each connection.
type noted struct {
	net.Listener
	asked chan<- struct{}
}

func (n *noted) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		n.asked <- struct{}{}
	}
	return c, err
}

// wait returns once the discovery has been asked.
func (d *discovery) wait(t *testing.T) {
	t.Helper()
	select {
	case <-d.asked:
	case <-time.After(patience):
		t.Fatal("discovery is not asked")
	}
}

func config(discovery string) string {
	return fmt.Sprintf(`{"seed":"8c1f30d27a5be964","discovery":%q,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`+
		`"known":{"version":1,"full":true,"servers":[]},"settings":%s}`, discovery, settings)
}

// logText is what a program has written so far.
type logText struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// program is a craneglade that runs and is ready.
type program struct {
	addr, config string
	cmd          *exec.Cmd
	log          logText
	exited       chan error
}

// start starts one with discovery in GW_DISCOVERY and inFile in its file.
func start(t *testing.T, discovery, inFile string) *program {
	t.Helper()
	return startAs(t, exec.Command(built(t)), discovery, config(inFile))
}

// startAs is start of a command of the caller's, with the text of its file. Where the command has an environment, that is added to.
func startAs(t *testing.T, cmd *exec.Cmd, discovery, text string) *program {
	t.Helper()
	p := &program{addr: freeAddr(t), config: write(t, text), cmd: cmd, exited: make(chan error, 1)}
	p.cmd.Stderr = &p.log
	p.cmd.Env = append(cmd.Environ(), "GW_NAME=n0", "GW_LISTEN="+p.addr, "GW_DISCOVERY="+discovery, "GW_CONFIG="+p.config)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() { p.exited <- p.cmd.Wait() }()
	ready := func() bool {
		resp, err := http.Get("http://" + p.addr + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}
	for end := time.Now().Add(patience); !ready(); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-p.exited:
			t.Fatalf("ended: %v\n%s", err, p.log.String())
		default:
		}
		if time.Now().After(end) {
			t.Fatal("not ready")
		}
	}
	return p
}

// ask wants a request under id served.
func (p *program) ask(t *testing.T, id string) {
	t.Helper()
	req, _ := http.NewRequest("GET", "http://"+p.addr+"/api", nil)
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "50000m"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%v\n%s", err, p.log.String())
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 200 || string(body) != "made for "+id {
		t.Errorf("answered %d %q", resp.StatusCode, body)
	}
}

// leave wants the program to end well after SIGTERM.
func (p *program) leave(t *testing.T) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, p.log.String())
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

// A SIGHUP that comes while the program starts does not end it, as the deployment starts it: until the program takes the signal,
// which the Go runtime leaves to the system's default, it is ignored. One that comes later is taken.
func TestSIGHUPWhileTheProgramStarts(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	first, second := newDiscovery(t, backend.Listener.Addr().String()), newDiscovery(t, backend.Listener.Addr().String())
	const program, hangups = "exec bin/craneglade", `(i=0; while [ $i -lt 5000 ]; do kill -HUP $$; i=$((i+1)); done) & exec `
	run := deployed(t, "run")
	if !strings.Contains(run, program) {
		t.Fatalf("deploy/balancer.toml starts the node by %q", run)
	}
	p := startAs(t, exec.Command("sh", "-c", strings.Replace(run, program, hangups+built(t), 1)), first.Addr, config(""))
	p.ask(t, "r1")
	if err := os.WriteFile(p.config, []byte(config(second.Addr)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	second.wait(t)
	p.leave(t)
}

// deployed is a command of deploy/balancer.toml.
func deployed(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, is := strings.CutPrefix(strings.TrimSpace(line), key+" = "); is {
			return strings.Trim(value, `"`)
		}
	}
	t.Fatalf("deploy/balancer.toml has no %s", key)
	return ""
}
