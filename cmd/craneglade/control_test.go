package main

import (
	"encoding/json"
	"errors"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/node"
)

const (
	controlKey     = "000102030405060708090a0b0c0d0e0f"
	controlCluster = "test"
	controlRegion  = "north"
	controlService = "configurator"
	drainGrace     = 500 * time.Millisecond
)

// controlPlane is a control plane of real processes on loopback: a writer, relays, and nodes that serve requests.
type controlPlane struct {
	t         *testing.T
	bin       string
	folder    string
	writer    *controlProcess
	relays    []*controlProcess
	nodes     []*testNode
	backends  map[string]*backend
	stopFuncs []func() // of the nodes' clients
}

// controlProcess is a writer, quorum member or relay.
type controlProcess struct {
	plane                              *controlPlane
	name, address, config, dialAddress string // dialAddress is where subscribers connect, which may be a proxy
	socket                             string
	runningProcess
}

// runningProcess is a started child process.
type runningProcess struct {
	cmd      *exec.Cmd
	log      logBuffer // of all processes that start has started
	logStart int       // length of log when the latest one was started
	exited   chan error
}

func (r *runningProcess) start(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	r.cmd, r.exited, r.logStart = cmd, make(chan error, 1), len(r.log.String())
	cmd.Stderr = &r.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := r.exited
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
	})
}

// currentLog returns the log of the process that was started last.
func (r *runningProcess) currentLog() string { return r.log.String()[r.logStart:] }

func (r *runningProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// stop sends SIGSTOP and returns once all threads of the process are stopped.
func (r *runningProcess) stop(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGSTOP)
	for end := time.Now().Add(testTimeout); !r.stopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("process still runs after SIGSTOP")
		}
	}
}

// stopped reports whether all threads of the process are in state T of proc(5).
func (r *runningProcess) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", r.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil || !strings.Contains(string(text), ") T ") {
			return false
		}
	}
	return true
}

// kill sends SIGKILL and returns once the process has exited.
func (r *runningProcess) kill(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGKILL)
	select {
	case <-r.exited:
	case <-time.After(testTimeout):
		t.Fatal("process did not exit after SIGKILL")
	}
}

func newControlPlane(t *testing.T) *controlPlane {
	t.Helper()
	p := &controlPlane{t: t, bin: buildProgram(t), folder: t.TempDir(), backends: map[string]*backend{}}
	p.write("key", controlKey+"\n")
	return p
}

func (p *controlPlane) path(name string) string { return filepath.Join(p.folder, name) }

func (p *controlPlane) write(name, text string) string {
	p.t.Helper()
	if err := os.WriteFile(p.path(name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.path(name)
}

// eventually waits until ok returns true, and fails the test after testTimeout.
func (p *controlPlane) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting for: %s\n%s", what, p.logs())
		}
	}
}

func (p *controlPlane) logs() string {
	var b strings.Builder
	for _, c := range append([]*controlProcess{p.writer}, p.relays...) {
		if c != nil {
			fmt.Fprintf(&b, "--- %s\n%s", c.name, c.log.String())
		}
	}
	for _, n := range p.nodes {
		fmt.Fprintf(&b, "--- %s\n%s", n.name, n.log.String())
	}
	return b.String()
}

// newProcess writes the configuration of a control plane process; roleSettings are the lines specific to its role.
func (p *controlPlane) newProcess(role, name, roleSettings string) *controlProcess {
	p.t.Helper()
	c := &controlProcess{plane: p, name: name, address: freeAddr(p.t), socket: p.path(name + ".sock")}
	c.dialAddress = c.address
	c.config = p.write(name+".toml", fmt.Sprintf(`role = %q
name = %q
region = %q
listen = %q
socket = %q
cluster = %q
key_file = %q
%s
[limits]
heartbeat = "100ms"
silence = "900ms"
`, role, name, controlRegion, c.address, c.socket, controlCluster, p.path("key"), roleSettings))
	return c
}

func (p *controlPlane) newWriter(name, state string) *controlProcess {
	p.t.Helper()
	if err := os.MkdirAll(p.path(state), 0o700); err != nil {
		p.t.Fatal(err)
	}
	return p.newProcess("writer", name, fmt.Sprintf("state = %q", p.path(state)))
}

func (p *controlPlane) newRelay(name string, parents ...*controlProcess) *controlProcess {
	p.t.Helper()
	c := p.newProcess("relay", name, "")
	c.configure(parentTables("parent", parents))
	return c
}

// configure appends tables to the process's configuration file.
func (c *controlProcess) configure(tables string) {
	c.plane.t.Helper()
	c.edit(func(text string) string { return text + tables })
}

// edit rewrites the process's configuration file.
func (c *controlProcess) edit(change func(text string) string) { c.plane.edit(c.name+".toml", change) }

func (p *controlPlane) edit(name string, change func(text string) string) {
	p.t.Helper()
	text, err := os.ReadFile(p.path(name))
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(name, change(string(text)))
}

func parentTables(table string, parents []*controlProcess) string {
	var b strings.Builder
	for _, c := range parents {
		fmt.Fprintf(&b, "[[%s]]\nname = %q\naddress = %q\n", table, c.name, c.dialAddress)
	}
	return b.String()
}

// start starts the process and waits until it responds on its operator socket.
func (c *controlProcess) start() {
	c.plane.t.Helper()
	c.runningProcess.start(c.plane.t, exec.Command(c.plane.bin, "control", "--config", c.config))
	c.plane.eventually(c.name+" responding", func() bool { _, err := c.status(); return err == nil })
}

func (c *controlProcess) status() (*controlnet.DaemonStatus, error) {
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationStatus})
	if err != nil {
		return nil, err
	}
	return r.Status, nil
}

// position returns the process's position in its region's log, or "" if it does not respond.
func (c *controlProcess) position() string {
	if s, err := c.status(); err == nil {
		return s.Logs[0].Position
	}
	return ""
}

// apply submits a transaction to the process.
func (c *controlProcess) apply(text string) (position string, err error) {
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationApply, File: "changes.toml", Text: text})
	if err != nil {
		return "", err
	}
	return r.Position, nil
}

// mustApply is like apply, but fails the test if the transaction is rejected.
func (c *controlProcess) mustApply(text string) (position string) {
	c.plane.t.Helper()
	position, err := c.apply(text)
	if err != nil {
		c.plane.t.Fatalf("%v\n%s", err, c.plane.logs())
	}
	return position
}

// backend is an endpoint that counts its requests.
type backend struct {
	*httptest.Server
	hits atomic.Int64
}

func (p *controlPlane) newBackend(name string) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.hits.Add(1)
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	p.t.Cleanup(b.Close)
	p.backends[name] = b
	return b
}

const serviceTable = `[[service]]
name = "` + controlService + `"
region = "` + controlRegion + `"
drain_grace = "500ms"
max_attempts = 2
`

// endpoint returns the change that sets an endpoint.
func (p *controlPlane) endpoint(name, state string) string {
	return fmt.Sprintf("[[endpoint]]\nservice = %q\nname = %q\naddress = %q\nzone = \"n\"\nclass = \"k\"\nstate = %q\n", controlService, name,
		p.backends[name].Listener.Addr(), state)
}

func tenant(name string, quota float64) string {
	return fmt.Sprintf("[[tenant]]\nservice = %q\nname = %q\nquota = %v\n", controlService, name, quota)
}

// testNode is a node that takes its configuration from the control plane.
type testNode struct {
	plane                   *controlPlane
	name, address, socket   string
	localFile, platformFile string // configuration files
	runningProcess
	sent, failed atomic.Int64 // requests by startClients
}

func (p *controlPlane) newNode(name string, parents ...*controlProcess) *testNode {
	p.t.Helper()
	n := &testNode{plane: p, name: name, address: freeAddr(p.t), socket: p.path(name + ".sock")}
	n.localFile = p.write(name+".toml", fmt.Sprintf("[fleet]\nsocket = %q\n[control]\nservices = [%q]\nregion = %q\ncluster = %q\nkey_file = %q\nsilence = \"900ms\"\n%s",
		n.socket, controlService, controlRegion, controlCluster, p.path("key"), parentTables("control.parent", parents)))
	platform := strings.Replace(config("127.0.0.1:1"), `"policy_limits"`, `"invariants":{"drain_grace_s":0.5},"policy_limits"`, 1)
	n.platformFile = p.write(name+".json", platform)
	p.nodes = append(p.nodes, n)
	return n
}

// edit rewrites the node's local settings file.
func (n *testNode) edit(change func(text string) string) { n.plane.edit(n.name+".toml", change) }

func (n *testNode) start() {
	n.plane.t.Helper()
	cmd := exec.Command(n.plane.bin, "serve", "--config", n.localFile)
	cmd.Env = append(os.Environ(), "GW_NAME="+n.name, "GW_LISTEN="+n.address, "GW_DISCOVERY=127.0.0.1:1", "GW_CONFIG="+n.platformFile)
	n.runningProcess.start(n.plane.t, cmd)
}

// status returns the configuration status that the node reports on its local socket.
func (n *testNode) status() (*node.ControlStatus, error) {
	return node.ReadControlStatus(n.socket)
}

func (n *testNode) position() string {
	s, err := n.status()
	if err != nil {
		return ""
	}
	return s.Position().String()
}

var requestIDs atomic.Int64

// errNodeLate is a 503 with Retry-After from a node that the machine's load kept from running: it read the request so late that it
// refused it. The node's backends and configuration do not cause it.
var errNodeLate = errors.New("node is late")

// requestWithRetry sends a request to the node and returns an error unless it is served. It retries on errNodeLate.
func (n *testNode) requestWithRetry(client *http.Client) error {
	err := n.request(client)
	for end := time.Now().Add(testTimeout); errors.Is(err, errNodeLate) && time.Now().Before(end); err = n.request(client) {
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func (n *testNode) request(client *http.Client) error {
	id := fmt.Sprint("r", requestIDs.Add(1))
	req, err := http.NewRequest("GET", "http://"+n.address+"/api", nil)
	if err != nil {
		return err
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "50000m"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == 503 && string(body) == "too much at once\n" && resp.Header.Get("Retry-After") != "" {
		return errNodeLate
	}
	if err != nil || resp.StatusCode != 200 || string(body) != "made for "+id {
		return fmt.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
	}
	return nil
}

// startClients sends requests to the node until stop is called. Failures are counted, and the first fails the test.
func (n *testNode) startClients() (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			n.sent.Add(1)
			if err := n.requestWithRetry(client); err != nil && n.failed.Add(1) == 1 {
				n.plane.t.Errorf("%s: %v\n%s", n.name, err, n.log.String())
			}
		}
	})
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

// waitForPosition waits until all nodes have the configuration at position in force.
func (p *controlPlane) waitForPosition(position string) {
	p.t.Helper()
	p.eventually("position "+position+" at all nodes", func() bool {
		for _, n := range p.nodes {
			if n.position() != position {
				return false
			}
		}
		return true
	})
}

// checkDrained fails the test if a backend gets requests. It is called after all nodes have the drain in force and the grace is over.
func (p *controlPlane) checkDrained(name string) {
	p.t.Helper()
	before, sent := p.backends[name].hits.Load(), p.requestsSent()
	p.eventually("further requests", func() bool { return p.requestsSent() >= sent+60 })
	if got := p.backends[name].hits.Load() - before; got > 0 {
		p.t.Errorf("%s got %d requests after its grace\n%s", name, got, p.logs())
	}
}

func (p *controlPlane) requestsSent() (sent int64) {
	for _, n := range p.nodes {
		sent += n.sent.Load()
	}
	return sent
}

// startFleet starts a writer, two relays and three nodes with two endpoints, and clients of each node. configureRelay may set
// the dial address of a relay; it may be nil.
func startFleet(t *testing.T, configureRelay func(p *controlPlane, relay *controlProcess)) *controlPlane {
	t.Helper()
	p := newControlPlane(t)
	p.newBackend("one")
	p.newBackend("two")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.start()
	p.relays = []*controlProcess{p.newRelay("relay-1", p.writer), p.newRelay("relay-2", p.writer)}
	for _, r := range p.relays {
		r.start()
		if configureRelay != nil {
			configureRelay(p, r)
		}
	}
	position := p.writer.mustApply(serviceTable + p.endpoint("one", "ready") + p.endpoint("two", "ready"))
	for i := range 3 {
		p.newNode(fmt.Sprint("n", i), p.relays...).start()
	}
	p.waitForPosition(position)
	for _, n := range p.nodes {
		p.stopFuncs = append(p.stopFuncs, n.startClients())
	}
	return p
}

// stopClients stops all clients. Tests call it before their cleanup stops the backends and nodes.
func (p *controlPlane) stopClients() {
	for _, stop := range p.stopFuncs {
		stop()
	}
}

// Faults of writer, relays and nodes under continuous requests: no request may fail, all nodes must reach the same position,
// and a draining backend must get no new request after its grace.
func TestControlPlaneFaults(t *testing.T) {
	t.Parallel()
	p := startFleet(t, nil)
	defer p.stopClients()

	// A drain and then the removal of the endpoint reach all nodes.
	p.waitForPosition(p.writer.mustApply(p.endpoint("one", "draining")))
	time.Sleep(drainGrace) // the grace starts with the update of the last node
	p.checkDrained("one")
	p.newBackend("three")
	p.waitForPosition(p.writer.mustApply(p.endpoint("three", "ready") + fmt.Sprintf("[[delete]]\nservice = %q\nkind = \"endpoint\"\nname = \"one\"\n", controlService)))
	served := p.backends["three"].hits.Load()
	p.eventually("requests at the new endpoint", func() bool { return p.backends["three"].hits.Load() > served })

	// An invalid transaction is rejected as a whole, with an error of one line.
	before := p.writer.position()
	_, err := p.writer.apply(p.endpoint("two", "draining") + "[[tenant]]\nservice = \"configurator\"\nname = \"x\"\nquota = -1.0\n")
	if err == nil || !strings.Contains(err.Error(), `changes.toml: tenant "x" of service "configurator": quota`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("invalid transaction: %v", err)
	}
	if _, err := p.relays[0].apply(tenant("x", 1)); err == nil || !strings.Contains(err.Error(), "this process is a relay") {
		t.Errorf("change at a relay: %v", err)
	}
	if got := p.writer.position(); got != before {
		t.Errorf("position after rejected changes is %s, want %s", got, before)
	}

	// A relay is stopped, misses changes, and resumes with its old state.
	p.relays[0].stop(t)
	p.waitForPosition(p.writer.mustApply(p.endpoint("two", "draining")))
	time.Sleep(drainGrace)
	p.checkDrained("two")
	last := p.writer.mustApply(tenant("a", 3))
	p.waitForPosition(last)
	p.relays[0].signal(t, syscall.SIGCONT)
	p.eventually("resumed relay at "+last, func() bool { return p.relays[0].position() == last })
	p.checkDrained("two")
	p.waitForPosition(last)

	// Both relays are killed and restart without state.
	for _, r := range p.relays {
		r.kill(t)
	}
	p.newBackend("four")
	last = p.writer.mustApply(p.endpoint("four", "ready"))
	sent := p.requestsSent()
	p.eventually("requests without a control plane", func() bool { return p.requestsSent() >= sent+100 })
	for _, r := range p.relays {
		r.start()
	}
	p.waitForPosition(last)

	// A restarted node gets the whole configuration again.
	p.nodes[0].restart()
	p.waitForPosition(last)

	// The writer is killed while it accepts changes: each transaction is applied as a whole or not at all, everywhere alike.
	p.killWriterDuringChanges()

	// Connections to a relay that do not speak the subscriber protocol.
	p.connectNonSubscribers()
	p.waitForPosition(p.writer.mustApply(tenant("z", 1)))
	for _, n := range p.nodes {
		if s, err := n.status(); err != nil || s.Source == "" || s.Refused != "" || s.Dropped > 0 {
			t.Errorf("%s at the end: %+v, %v", n.name, s, err)
		}
	}
}

// restart terminates the node and starts it again. Requests that fail meanwhile are not counted: no node accepted them.
func (n *testNode) restart() {
	n.plane.t.Helper()
	failed := n.failed.Swap(1 << 30) // suppresses errors of startClients
	n.signal(n.plane.t, syscall.SIGTERM)
	select {
	case err := <-n.exited:
		if err != nil {
			n.plane.t.Errorf("after SIGTERM: %v\n%s", err, n.log.String())
		}
	case <-time.After(testTimeout):
		n.plane.t.Fatal("node did not exit after SIGTERM")
	}
	n.start()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n.plane.eventually("request served by the restarted node", func() bool { return n.requestWithRetry(client) == nil })
	n.failed.Store(failed)
}

// killWriterDuringChanges kills the writer during a series of transactions of two resources each, and restarts it.
func (p *controlPlane) killWriterDuringChanges() {
	p.t.Helper()
	type change struct {
		value    int
		position string
	}
	lastApplied, stopped := make(chan change, 1), make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(stopped)
		last := change{value: -1}
		for i := 0; ; i++ {
			if i == 20 {
				close(started)
			}
			position, err := p.writer.apply(tenant("left", float64(i)) + tenant("right", float64(i)))
			if err != nil {
				lastApplied <- last
				return
			}
			last = change{i, position}
		}
	}()
	<-started
	p.writer.kill(p.t)
	<-stopped
	acknowledged := <-lastApplied
	p.writer.start()
	p.waitForRestartedWriter(acknowledged.position)
	minValue := float64(acknowledged.value)
	for _, c := range append([]*controlProcess{p.writer}, p.relays...) {
		left, right := c.quota("left"), c.quota("right")
		if left != right || left < minValue || left > minValue+1 {
			p.t.Errorf("%s: quotas %v and %v after a kill behind change %v", c.name, left, right, minValue)
		}
	}
	// Changes are accepted in the new epoch.
	p.waitForPosition(p.writer.mustApply(tenant("left", 1)))
}

// waitForRestartedWriter waits until the writer, the relays and the nodes have the same position, which is at least that of the
// last acknowledged change. A writer that replays its log reports older positions.
func (p *controlPlane) waitForRestartedWriter(acknowledged string) {
	p.t.Helper()
	least, err := parsePosition(acknowledged)
	if err != nil {
		p.t.Fatal(err)
	}
	p.eventually("one position at all processes, from "+acknowledged+" on", func() bool {
		text := p.writer.position()
		position, err := parsePosition(text)
		if err != nil || position.Compare(least) < 0 {
			return false
		}
		for _, r := range p.relays {
			if r.position() != text {
				return false
			}
		}
		for _, n := range p.nodes {
			if n.position() != text {
				return false
			}
		}
		return p.writer.position() == text
	})
}

// parsePosition parses what Position.String returns.
func parsePosition(text string) (position resource.Position, err error) {
	_, err = fmt.Sscanf(text, "%d.%d", &position.Epoch, &position.Version)
	return position, err
}

// quota returns a tenant's quota in the process's log.
func (c *controlProcess) quota(name string) float64 {
	c.plane.t.Helper()
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationGet, Service: controlService, Kind: "tenant", Name: name})
	if err != nil {
		c.plane.t.Fatal(err)
	}
	var file struct {
		Tenant []struct{ Quota float64 }
	}
	if err := json.Unmarshal(r.Resources, &file); err != nil || len(file.Tenant) != 1 {
		c.plane.t.Fatalf("%s, %v", r.Resources, err)
	}
	return file.Tenant[0].Quota
}

// failedHandshakeLines returns the number of lines about failed handshakes that the running process has logged.
func (c *controlProcess) failedHandshakeLines() int {
	return strings.Count(c.currentLog(), "a connection is no subscriber's")
}

// connectNonSubscribers sends invalid handshakes to a relay, which must count them, log them once and go on serving.
func (p *controlPlane) connectNonSubscribers() {
	p.t.Helper()
	relay := p.relays[0]
	before, err := relay.status()
	if err != nil {
		p.t.Fatal(err)
	}
	linesBefore := relay.failedHandshakeLines() // of nodes that gave up on a stopped or busy relay
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "CGF\x01" + strings.Repeat("x", 32) + "\x00\x00\x00\x20" + strings.Repeat("y", 32),
		"CGF\x01" + strings.Repeat("x", 32) + "\xff\xff\xff\xff", "\x00"} {
		conn, err := net.Dial("tcp", relay.address)
		if err != nil {
			p.t.Fatal(err)
		}
		io.WriteString(conn, text)
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			p.t.Errorf("relay did not close the connection after %.10q: %v", text, err)
		}
		conn.Close()
	}
	p.eventually("four failed handshakes counted", func() bool {
		s, err := relay.status()
		return err == nil && s.Counts.FailedHandshakes >= before.Counts.FailedHandshakes+4
	})
	if n := relay.failedHandshakeLines(); n == 0 || n > linesBefore+1 {
		p.t.Errorf("%d log lines about failed handshakes, want one in addition to %d, or none if one is recent", n, linesBefore)
	}
}
