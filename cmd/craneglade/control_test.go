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
	"craneglade/internal/node"
)

const (
	controlKey     = "000102030405060708090a0b0c0d0e0f"
	controlCluster = "test"
	controlRegion  = "north"
	controlService = "configurator"
	drainGrace     = 500 * time.Millisecond
)

// plane is a control plane of real processes on loopback: a writer, relays, and nodes with real requests.
type plane struct {
	t        *testing.T
	bin      string
	folder   string
	writer   *controlled
	relays   []*controlled
	nodes    []*controlledNode
	backends map[string]*backend
	stops    []func() // of clients
}

// controlled is a process of the control plane.
type controlled struct {
	plane                      *plane
	name, address, config, via string // via is where its subscribers reach it
	socket                     string
	running
}

// running is one program that was started.
type running struct {
	cmd    *exec.Cmd
	log    logText
	exited chan error
}

func (r *running) start(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	r.cmd, r.exited = cmd, make(chan error, 1)
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

func (r *running) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// stop stops the program, and returns once none of its threads runs any more.
func (r *running) stop(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGSTOP)
	for end := time.Now().Add(patience); !r.stopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a stopped program goes on")
		}
	}
}

// stopped tells whether all threads of the program are in the state T, by proc(5).
func (r *running) stopped() bool {
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

// kill ends the program without a warning, and returns once it has ended.
func (r *running) kill(t *testing.T) {
	t.Helper()
	r.signal(t, syscall.SIGKILL)
	select {
	case <-r.exited:
	case <-time.After(patience):
		t.Fatal("a killed program does not end")
	}
}

func newPlane(t *testing.T) *plane {
	t.Helper()
	p := &plane{t: t, bin: built(t), folder: t.TempDir(), backends: map[string]*backend{}}
	p.write("key", controlKey+"\n")
	return p
}

func (p *plane) path(name string) string { return filepath.Join(p.folder, name) }

func (p *plane) write(name, text string) string {
	p.t.Helper()
	if err := os.WriteFile(p.path(name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.path(name)
}

// eventually waits for what must come.
func (p *plane) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s: did not come\n%s", what, p.logs())
		}
	}
}

func (p *plane) logs() string {
	var b strings.Builder
	for _, c := range append([]*controlled{p.writer}, p.relays...) {
		if c != nil {
			fmt.Fprintf(&b, "--- %s\n%s", c.name, c.log.String())
		}
	}
	for _, n := range p.nodes {
		fmt.Fprintf(&b, "--- %s\n%s", n.name, n.log.String())
	}
	return b.String()
}

// process writes the file of a process of the control plane; special is what its role needs.
func (p *plane) process(role, name, special string) *controlled {
	p.t.Helper()
	c := &controlled{plane: p, name: name, address: freeAddr(p.t), socket: p.path(name + ".sock")}
	c.via = c.address
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
`, role, name, controlRegion, c.address, c.socket, controlCluster, p.path("key"), special))
	return c
}

func (p *plane) newWriter(name, state string) *controlled {
	p.t.Helper()
	if err := os.MkdirAll(p.path(state), 0o700); err != nil {
		p.t.Fatal(err)
	}
	return p.process("writer", name, fmt.Sprintf("state = %q", p.path(state)))
}

func (p *plane) newRelay(name string, of ...*controlled) *controlled {
	p.t.Helper()
	c := p.process("relay", name, "")
	c.configure(parentTables("parent", of))
	return c
}

// configure adds tables to the process's file.
func (c *controlled) configure(tables string) {
	c.plane.t.Helper()
	c.edit(func(text string) string { return text + tables })
}

// edit changes the process's file.
func (c *controlled) edit(change func(text string) string) { c.plane.edit(c.name+".toml", change) }

func (p *plane) edit(name string, change func(text string) string) {
	p.t.Helper()
	text, err := os.ReadFile(p.path(name))
	if err != nil {
		p.t.Fatal(err)
	}
	p.write(name, change(string(text)))
}

func parentTables(table string, all []*controlled) string {
	var b strings.Builder
	for _, c := range all {
		fmt.Fprintf(&b, "[[%s]]\nname = %q\naddress = %q\n", table, c.name, c.via)
	}
	return b.String()
}

// start starts the process and waits until it answers operators.
func (c *controlled) start() {
	c.plane.t.Helper()
	c.running.start(c.plane.t, exec.Command(c.plane.bin, "control", "--config", c.config))
	c.plane.eventually(c.name+" up", func() bool { _, err := c.status(); return err == nil })
}

func (c *controlled) status() (*controlnet.DaemonStatus, error) {
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationStatus})
	if err != nil {
		return nil, err
	}
	return r.Status, nil
}

// position is where the process has its region's log.
func (c *controlled) position() string {
	if s, err := c.status(); err == nil {
		return s.Logs[0].Position
	}
	return ""
}

// apply has the process take changes.
func (c *controlled) apply(text string) (position string, err error) {
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationApply, File: "changes.toml", Text: text})
	if err != nil {
		return "", err
	}
	return r.Position, nil
}

// applied is apply of what must be taken.
func (c *controlled) applied(text string) (position string) {
	c.plane.t.Helper()
	position, err := c.apply(text)
	if err != nil {
		c.plane.t.Fatalf("%v\n%s", err, c.plane.logs())
	}
	return position
}

// backend is an endpoint that counts what it serves.
type backend struct {
	*httptest.Server
	hits atomic.Int64
}

func (p *plane) newBackend(name string) *backend {
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

// endpoint is the table that sets an endpoint.
func (p *plane) endpoint(name, state string) string {
	return fmt.Sprintf("[[endpoint]]\nservice = %q\nname = %q\naddress = %q\nzone = \"n\"\nclass = \"k\"\nstate = %q\n", controlService, name,
		p.backends[name].Listener.Addr(), state)
}

func tenant(name string, quota float64) string {
	return fmt.Sprintf("[[tenant]]\nservice = %q\nname = %q\nquota = %v\n", controlService, name, quota)
}

// controlledNode is a node that follows the control plane.
type controlledNode struct {
	plane                 *plane
	name, address, socket string
	own, platform         string // files
	running
	asked, failed atomic.Int64 // requests of its clients
}

func (p *plane) newNode(name string, parents ...*controlled) *controlledNode {
	p.t.Helper()
	n := &controlledNode{plane: p, name: name, address: freeAddr(p.t), socket: p.path(name + ".sock")}
	n.own = p.write(name+".toml", fmt.Sprintf("[fleet]\nsocket = %q\n[control]\nservices = [%q]\nregion = %q\ncluster = %q\nkey_file = %q\nsilence = \"900ms\"\n%s",
		n.socket, controlService, controlRegion, controlCluster, p.path("key"), parentTables("control.parent", parents)))
	platform := strings.Replace(config("127.0.0.1:1"), `"policy_limits"`, `"invariants":{"drain_grace_s":0.5},"policy_limits"`, 1)
	n.platform = p.write(name+".json", platform)
	p.nodes = append(p.nodes, n)
	return n
}

// edit changes the node's own file.
func (n *controlledNode) edit(change func(text string) string) { n.plane.edit(n.name+".toml", change) }

func (n *controlledNode) start() {
	n.plane.t.Helper()
	cmd := exec.Command(n.plane.bin, "serve", "--config", n.own)
	cmd.Env = append(os.Environ(), "GW_NAME="+n.name, "GW_LISTEN="+n.address, "GW_DISCOVERY=127.0.0.1:1", "GW_CONFIG="+n.platform)
	n.running.start(n.plane.t, cmd)
}

// status is what the node says of its configuration on its local socket.
func (n *controlledNode) status() (*node.ControlStatus, error) {
	return node.ReadControlStatus(n.socket)
}

func (n *controlledNode) position() string {
	s, err := n.status()
	if err != nil {
		return ""
	}
	return s.Position().String()
}

var requestIDs atomic.Int64

// errBehind is a refusal of a node that was itself not run in time: it reads requests so late that it refuses some, and tells
// clients to come again. It is the machine's load, and no word on the node's backends.
var errBehind = errors.New("the node is behind")

// ask sends one request to the node, and tells whether it was served. One that is refused as the node is behind comes again.
func (n *controlledNode) ask(client *http.Client) error {
	err := n.askOnce(client)
	for end := time.Now().Add(patience); errors.Is(err, errBehind) && time.Now().Before(end); err = n.askOnce(client) {
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func (n *controlledNode) askOnce(client *http.Client) error {
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
		return errBehind
	}
	if err != nil || resp.StatusCode != 200 || string(body) != "made for "+id {
		return fmt.Errorf("answered %d %q, %v", resp.StatusCode, body, err)
	}
	return nil
}

// clients ask the node without end until stop is called; one that is not served is counted and told once.
func (n *controlledNode) clients() (stop func()) {
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
			n.asked.Add(1)
			if err := n.ask(client); err != nil && n.failed.Add(1) == 1 {
				n.plane.t.Errorf("%s: %v\n%s", n.name, err, n.log.String())
			}
		}
	})
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

// everywhere waits until all nodes have a position in force.
func (p *plane) everywhere(position string) {
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

// drained wants nothing new sent to a backend any more. It is called once all nodes were told of the drain and the grace is over.
func (p *plane) drained(name string) {
	p.t.Helper()
	before, asked := p.backends[name].hits.Load(), p.requests()
	p.eventually("further requests", func() bool { return p.requests() >= asked+60 })
	if got := p.backends[name].hits.Load() - before; got > 0 {
		p.t.Errorf("%s got %d requests after its grace\n%s", name, got, p.logs())
	}
}

func (p *plane) requests() (asked int64) {
	for _, n := range p.nodes {
		asked += n.asked.Load()
	}
	return asked
}

// fleet starts a writer, two relays and three nodes with two endpoints, and clients at each node. via may change where a
// relay is reached.
func fleet(t *testing.T, via func(p *plane, relay *controlled)) *plane {
	t.Helper()
	p := newPlane(t)
	p.newBackend("one")
	p.newBackend("two")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.start()
	p.relays = []*controlled{p.newRelay("relay-1", p.writer), p.newRelay("relay-2", p.writer)}
	for _, r := range p.relays {
		r.start()
		if via != nil {
			via(p, r)
		}
	}
	position := p.writer.applied(serviceTable + p.endpoint("one", "ready") + p.endpoint("two", "ready"))
	for i := range 3 {
		p.newNode(fmt.Sprint("n", i), p.relays...).start()
	}
	p.everywhere(position)
	for _, n := range p.nodes {
		p.stops = append(p.stops, n.clients())
	}
	return p
}

// stopClients ends all requests: before the end of a test, which ends what serves them.
func (p *plane) stopClients() {
	for _, stop := range p.stops {
		stop()
	}
}

// A writer, two relays and three nodes, with requests at each node all the time and one fault after the other: no request
// fails, all nodes come to the same position, and nothing new goes to what drains once its grace is over.
func TestControlPlane(t *testing.T) {
	t.Parallel()
	p := fleet(t, nil)
	defer p.stopClients()

	// A drain reaches all nodes, and its end too.
	p.everywhere(p.writer.applied(p.endpoint("one", "draining")))
	time.Sleep(drainGrace) // the grace itself, from the telling at the last node on
	p.drained("one")
	p.newBackend("three")
	p.everywhere(p.writer.applied(p.endpoint("three", "ready") + fmt.Sprintf("[[delete]]\nservice = %q\nkind = \"endpoint\"\nname = \"one\"\n", controlService)))
	served := p.backends["three"].hits.Load()
	p.eventually("requests at the new endpoint", func() bool { return p.backends["three"].hits.Load() > served })

	// What is wrong is refused whole, with one line.
	before := p.writer.position()
	_, err := p.writer.apply(p.endpoint("two", "draining") + "[[tenant]]\nservice = \"configurator\"\nname = \"x\"\nquota = -1.0\n")
	if err == nil || !strings.Contains(err.Error(), `changes.toml: tenant "x" of service "configurator": quota`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("refused with: %v", err)
	}
	if _, err := p.relays[0].apply(tenant("x", 1)); err == nil || !strings.Contains(err.Error(), "this process is a relay") {
		t.Errorf("a relay takes changes: %v", err)
	}
	if got := p.writer.position(); got != before {
		t.Errorf("after refusals at %s, want %s", got, before)
	}

	// A relay is stopped, the log moves on, and the relay is woken with what it had.
	p.relays[0].stop(t)
	p.everywhere(p.writer.applied(p.endpoint("two", "draining")))
	time.Sleep(drainGrace)
	p.drained("two")
	last := p.writer.applied(tenant("a", 3))
	p.everywhere(last)
	p.relays[0].signal(t, syscall.SIGCONT)
	p.eventually("the woken relay at "+last, func() bool { return p.relays[0].position() == last })
	p.drained("two")
	p.everywhere(last)

	// Both relays are gone, and come back with nothing.
	for _, r := range p.relays {
		r.kill(t)
	}
	p.newBackend("four")
	last = p.writer.applied(p.endpoint("four", "ready"))
	asked := p.requests()
	p.eventually("requests without a control plane", func() bool { return p.requests() >= asked+100 })
	for _, r := range p.relays {
		r.start()
	}
	p.everywhere(last)

	// A node is restarted, and has all of it again.
	p.nodes[0].restart()
	p.everywhere(last)

	// The writer is killed while it takes changes: each is there whole or not at all, and everybody agrees.
	p.killedWriter()

	// A stranger at the port of a relay.
	p.strangers()
	p.everywhere(p.writer.applied(tenant("z", 1)))
	for _, n := range p.nodes {
		if s, err := n.status(); err != nil || s.Source == "" || s.Refused != "" || s.Dropped > 0 {
			t.Errorf("%s in the end: %+v, %v", n.name, s, err)
		}
	}
}

// restart ends the node after its clients' requests and starts it again. Requests that find no node meanwhile don't count:
// none has taken them.
func (n *controlledNode) restart() {
	n.plane.t.Helper()
	failed := n.failed.Swap(1 << 30) // not told
	n.signal(n.plane.t, syscall.SIGTERM)
	select {
	case err := <-n.exited:
		if err != nil {
			n.plane.t.Errorf("after SIGTERM: %v\n%s", err, n.log.String())
		}
	case <-time.After(patience):
		n.plane.t.Fatal("a node does not end")
	}
	n.start()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	n.plane.eventually("a request at the restarted node", func() bool { return n.ask(client) == nil })
	n.failed.Store(failed)
}

// killedWriter kills the writer in the middle of changes of two resources each, and starts it again.
func (p *plane) killedWriter() {
	p.t.Helper()
	taken, stopped := make(chan int, 1), make(chan struct{})
	begun := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			if i == 20 {
				close(begun)
			}
			if _, err := p.writer.apply(tenant("left", float64(i)) + tenant("right", float64(i))); err != nil {
				taken <- i - 1
				return
			}
		}
	}()
	<-begun
	p.writer.kill(p.t)
	<-stopped
	least := <-taken
	p.writer.start()
	last := p.writer.position()
	p.everywhere(last)
	for _, c := range append([]*controlled{p.writer}, p.relays...) {
		p.eventually(c.name+" at "+last, func() bool { return c.position() == last })
		left, right := c.quota("left"), c.quota("right")
		if left != right || left < float64(least) || left > float64(least)+1 {
			p.t.Errorf("%s: %v and %v after a kill behind change %d", c.name, left, right, least)
		}
	}
	// A newer epoch goes on.
	p.everywhere(p.writer.applied(tenant("left", 1)))
}

// quota is a tenant's in the process's log.
func (c *controlled) quota(name string) float64 {
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

// strangers say to a relay what no subscriber says. It counts them, says so in its log and serves on.
func (p *plane) strangers() {
	p.t.Helper()
	relay := p.relays[0]
	before, err := relay.status()
	if err != nil {
		p.t.Fatal(err)
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "CGF\x01" + strings.Repeat("x", 32) + "\x00\x00\x00\x20" + strings.Repeat("y", 32),
		"CGF\x01" + strings.Repeat("x", 32) + "\xff\xff\xff\xff", "\x00"} {
		conn, err := net.Dial("tcp", relay.address)
		if err != nil {
			p.t.Fatal(err)
		}
		io.WriteString(conn, text)
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			p.t.Errorf("after %.10q the relay goes on: %v", text, err)
		}
		conn.Close()
	}
	p.eventually("four strangers counted", func() bool {
		s, err := relay.status()
		return err == nil && s.Counts.FailedHandshakes >= before.Counts.FailedHandshakes+4
	})
	if n := strings.Count(relay.log.String(), "a connection is no subscriber's"); n != 1 {
		p.t.Errorf("%d lines of strangers in the log of the relay, want one", n)
	}
}
