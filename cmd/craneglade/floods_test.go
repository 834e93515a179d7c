package main

// These tests guard against answers that come late or never while several clients send small or unsound requests at full speed. Each
// such connection once took up to a third of the processor for itself, so that a few of them left nothing to others: every step of
// another request then waited until all of them had run.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
	"craneglade/internal/timing"
)

const (
	floodingClients = 6
	otherClients    = 20
	floodsFor       = 1200 * time.Millisecond
	otherPause      = 150 * time.Millisecond // longest pause of the other clients between two requests
	floodBackends   = 12
	minBackendTime  = 60 * time.Millisecond
	backendVariance = 40 * time.Millisecond
	// lostAfter is how long after its time an answer counts as lost (the users' terms).
	lostAfter = 500 * time.Millisecond
	heartbeat = 5 * time.Millisecond // at which the test measures how late it runs itself
	// minFreePart is the part of the processor that floods leave to other clients: they get a quarter of it, to which the collector and
	// the kernel's work for their connections are added.
	minFreePart = 0.25
)

// floodSettings has a keyed and an unsafe class of short deadlines.
const floodSettings = `{"balancers":3,"zone":"n","discovery":"push","grades":[` +
	`{"name":"save-config","aim_s":0.4,"deadline_s":1,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":0.6},` +
	`{"name":"send-quote","aim_s":0.5,"deadline_s":2.5,"gain":2,"effect":"single_shot","group":"all"},` +
	`{"name":"a","aim_s":20,"deadline_s":60,"gain":1,"effect":"free","group":"all"}],` +
	`"report":{"how":"piggyback","names":["concurrent","depth"]},` +
	`"policy_limits":{"max_attempts":3,"connect_timeout_s":0.2,"conn_idle_s":60,"cancel":true,"parallel_tries":true}}`

// costlyFloods are requests that cost the node much for their size, or that end their connection.
var costlyFloods = []flood{
	{name: "no requests", next: func(int) string { return "x\r\n" }},
	{name: "unknown classes", next: func(n int) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: f%d\r\nX-Class: b%d\r\nX-Deadline: 100m\r\n\r\n", n, n)
	}},
	{name: "bodies in small chunks", next: func(n int) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: f%d\r\nX-Class: save-config\r\nIdempotency-Key: k%d\r\nX-Deadline: 1u\r\n", n, n) +
			"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 60000) + "0\r\n\r\n"
	}},
	{name: "requests before much else", next: func(n int) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: f%d\r\nX-Class: a\r\nX-Deadline: 5000m\r\n\r\n", n) + strings.Repeat("x", 4<<20)
	}},
	{name: "white space", rpc: true, next: func(int) string { return strings.Repeat(" ", 60000) + "1\n" }},
	{name: "batches", rpc: true, next: func(int) string {
		return "[" + strings.Repeat(`{"jsonrpc":"2.0","id":1,"method":"m"},`, 800) + "1]\n"
	}},
}

// allFloods are the floods of both tests.
func allFloods() []flood { return append(slices.Clone(floods), costlyFloods...) }

// floodedNode is a node that is flooded.
type floodedNode struct {
	*program
	rpcAddr   string // where it listens for JSON-RPC
	fleetAddr string // where it listens for other nodes
}

// startFloodedNode starts a node with limits, of which cores is enforced, in front of backends of both protocols that take some time.
func startFloodedNode(t *testing.T, l limits, cores float64) *floodedNode {
	t.Helper()
	rpcBackend := &longAnswers{delay: minBackendTime, answer: "q", calls: map[int]int{}}
	return startNodeBefore(t, l, cores, rpcBackend.serve)
}

// startNodeBefore is startFloodedNode with backends whose JSON-RPC connections serveRPC serves.
func startNodeBefore(t *testing.T, l limits, cores float64, serveRPC func(net.Conn)) *floodedNode {
	t.Helper()
	var listed []stand.Entry
	for i := range floodBackends {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go acceptEach(ln, serveRPC)
		listed = append(listed, stand.Entry{ID: fmt.Sprint("s-", i+1), Addr: serveBackend(t, answerWithLoad()), RPC: ln.Addr().String(), Zone: "n", Kind: "k", State: trace.Ready, Weight: 1})
	}
	discovery := serveDiscovery(t, "127.0.0.1:0", 2, listed)
	n := &floodedNode{rpcAddr: freeAddr(t), fleetAddr: freeAddr(t)}
	folder := t.TempDir()
	own, key := filepath.Join(folder, "own.toml"), filepath.Join(folder, "fleet.key")
	settings := fmt.Sprintf("[jsonrpc]\nlisten = %q\ninflight = %d\n[[jsonrpc.method]]\nname = \"sendQuote\"\nclass = \"send-quote\"\npatience = \"1s\"\n", n.rpcAddr, defaultInflight) +
		fmt.Sprintf("[fleet]\nlisten = %q\ncluster = \"test\"\nkey_file = %q\n", n.fleetAddr, key)
	if err := errors.Join(os.WriteFile(own, []byte(settings), 0o600), os.WriteFile(key, []byte("000102030405060708090a0b0c0d0e0f\n"), 0o600)); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(l.inConfig(config("")), platformSettings, floodSettings, 1)
	text = strings.Replace(text, `"cores":1.0`, fmt.Sprintf(`"cores":%v`, cores), 1)
	n.program = startCommand(t, exec.Command(buildForDeployment(t), "serve", "--config", own), discovery.Addr, text)
	limitProcessor(t, n.cmd.Process.Pid, cores)
	return n
}

// acceptEach serves the connections of a listener until it is closed.
func acceptEach(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// answerWithLoad returns a backend that takes some time for a request, and reports how many it has.
func answerWithLoad() http.HandlerFunc {
	var inflight atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", fmt.Sprintf(`{"inflight":%d,"queue":0}`, inflight.Add(1)))
		defer inflight.Add(-1)
		time.Sleep(minBackendTime + rand.N(backendVariance))
		echoRequestID(w, r)
	}
}

// caller is a client that sends requests with a short deadline one after the other on a connection that it keeps.
type caller struct {
	addr, class, header string
	wait                time.Duration
	conn                net.Conn
	in                  *bufio.Reader
}

// newCaller returns the i-th of the other clients, of which two thirds send keyed requests and the others unsafe ones.
func newCaller(addr string, i int) *caller {
	if i%3 == 0 {
		return &caller{addr: addr, class: "send-quote", wait: 388 * time.Millisecond}
	}
	return &caller{addr: addr, class: "save-config", header: "Idempotency-Key: k%s\r\n", wait: 155 * time.Millisecond}
}

// callResult is the result of a request.
type callResult struct {
	class  string
	wait   time.Duration // for which its client waits
	took   time.Duration // without the time for which the test itself was late
	status int
	err    error // it got no answer
}

// isLost reports whether a request was answered too late or never.
func (r *callResult) isLost() bool { return r.err != nil || r.took > r.wait+lostAfter }

// call sends a request and waits for its answer.
func (c *caller) call(id string, stalls *stallMeter) (result callResult) {
	result.class, result.wait = c.class, c.wait
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			result.err = err
			return result
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	start, stalled := time.Now(), stalls.total()
	defer func() { result.took = time.Since(start) - (stalls.total() - stalled) }()
	text := fmt.Sprintf("POST /api?key=7 HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %dm\r\n", id, c.class, c.wait.Milliseconds())
	if c.header != "" {
		text += fmt.Sprintf(c.header, id)
	}
	io.WriteString(c.conn, text+"Content-Length: 4\r\n\r\nbody") // an error shows up when the answer is read
	c.conn.SetReadDeadline(start.Add(testTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		result.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	result.err = err
	return result
}

// stallMeter measures for how long the test itself could not run, as a machine that is busy with something else delays it.
type stallMeter struct{ stalled atomic.Int64 }

// startStallMeter starts a meter that runs until the test ends.
func startStallMeter(t *testing.T) *stallMeter {
	m := &stallMeter{}
	go timing.Every(t.Context(), heartbeat, m.beat())
	return m
}

// beat returns a function that is to be called at each heartbeat.
func (m *stallMeter) beat() func() {
	last := time.Now()
	return func() {
		now := time.Now()
		m.stalled.Add(int64(max(0, now.Sub(last)-2*heartbeat)))
		last = now
	}
}

func (m *stallMeter) total() time.Duration { return time.Duration(m.stalled.Load()) }

// runOthers lets the other clients send requests until end, and returns what became of them.
func runOthers(t *testing.T, addr string, end time.Time) (results []callResult) {
	stalls := startStallMeter(t)
	var mu sync.Mutex
	var clients sync.WaitGroup
	var ids atomic.Int64
	for i := range otherClients {
		clients.Go(func() {
			c := newCaller(addr, i)
			for time.Now().Before(end) {
				result := c.call(fmt.Sprint("other-", ids.Add(1)), stalls)
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
				time.Sleep(rand.N(otherPause))
			}
		})
	}
	clients.Wait()
	return results
}

// checkNoneLost fails the test if a request was lost.
func checkNoneLost(t *testing.T, results []callResult) {
	t.Helper()
	var took []time.Duration
	lost := 0
	for _, r := range results {
		took = append(took, r.took)
		if !r.isLost() {
			continue
		}
		if lost++; lost == 1 {
			t.Logf("the first lost: class %s after %v: status %d, %v", r.class, r.took, r.status, r.err)
		}
	}
	slices.Sort(took)
	t.Logf("%d others: median %v, 99th percentile %v, longest %v", len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	if lost > 0 {
		t.Errorf("%d of %d requests of others were lost", lost, len(results))
	}
}

// openBackendConnections calls the node until its connections to backends are as they should be.
func openBackendConnections(t *testing.T, rpcAddr string, ready func() bool) {
	t.Helper()
	c, err := net.Dial("tcp", rpcAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.Copy(io.Discard, c)
	for id, end := 0, time.Now().Add(testTimeout); !ready(); id++ {
		if time.Now().After(end) {
			t.Fatal("the node has not connected to its backends")
		}
		fmt.Fprintln(c, quoteCall(id)) // an error shows up as no connections
		time.Sleep(heartbeat)
	}
}

// startFloods sends floods at full speed until end, each from one client. The returned function waits for them.
func (n *floodedNode) startFloods(sent []flood, end time.Time) (wait func()) {
	var clients sync.WaitGroup
	for _, f := range sent {
		addr := n.addr
		if f.rpc {
			addr = n.rpcAddr
		}
		clients.Go(func() { f.send(addr, end) })
	}
	return clients.Wait
}

// runFloods sends floods at full speed, each from one client, while others send requests. It returns what became of these, and the part
// of one processor that the node has used.
func (n *floodedNode) runFloods(t *testing.T, sent []flood) (others []callResult, used float64) {
	t.Helper()
	return n.runBeside(t, func(end time.Time) (wait func()) { return n.startFloods(sent, end) })
}

// runBeside is runFloods for the load of startLoad, which returns a function that waits for its end.
func (n *floodedNode) runBeside(t *testing.T, startLoad func(end time.Time) (wait func())) (others []callResult, used float64) {
	t.Helper()
	before, err := processorTime(n.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	end := start.Add(floodsFor)
	wait := startLoad(end)
	others = runOthers(t, n.addr, end)
	wait()
	after, err := processorTime(n.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return others, (after - before).Seconds() / time.Since(start).Seconds()
}

// lastingFloods are floods whose requests leave their connection open.
var lastingFloods = []string{"readiness checks", "unknown methods", "notifications", "batches"}

// Several clients flood the node, each on one connection. No request of others is lost. Floods that stay on their connections leave a part
// of the processor unused. The floods of all kinds meet while the node is told to end: it answers what it has taken, and ends by itself.
func TestRequestsAreNotLostBesideFloods(t *testing.T) {
	for _, f := range allFloods() {
		t.Run(f.name, func(t *testing.T) { floodNode(t, smallLimits, 0.25, f) })
	}
	for _, f := range allFloods() {
		if slices.Contains(lastingFloods, f.name) {
			t.Run("largest limits, "+f.name, func(t *testing.T) {
				if used := floodNode(t, largeLimits, 1, f); used > 1-minFreePart {
					t.Errorf("%.0f%% of a processor used; %.0f%% should be free", 100*used, 100*minFreePart)
				}
			})
		}
	}
	t.Run("backends that send answers without a call", func(t *testing.T) {
		var flooding atomic.Int64
		end := time.Now().Add(testTimeout)
		n := startNodeBefore(t, smallLimits, 0.25, func(c net.Conn) {
			defer c.Close()
			bufio.NewReader(c).ReadString('\n') // the first call
			flooding.Add(1)
			c.SetDeadline(end)
			answers := []byte(strings.Repeat(`{"jsonrpc":"2.0","id":"none","result":1}`+"\n", floodTextSize/40))
			for sent := true; sent; {
				_, err := c.Write(answers)
				sent = err == nil
			}
		})
		openBackendConnections(t, n.rpcAddr, func() bool { return flooding.Load() >= floodingClients })
		checkNoneLost(t, runOthers(t, n.addr, time.Now().Add(floodsFor)))
		n.checkStillRunning(t)
	})
	for name, startLoad := range fleetFloods {
		t.Run(name, func(t *testing.T) {
			n := startFloodedNode(t, smallLimits, 0.25)
			usage := watchUsage(t, n.cmd.Process.Pid)
			others, used := n.runBeside(t, func(end time.Time) (wait func()) { return startLoad(n.fleetAddr, end) })
			t.Logf("%.0f%% of a processor used", 100*used)
			checkNoneLost(t, others)
			usage.checkLimits(t, smallLimits.memoryMB, smallLimits.sockets)
			n.checkStillRunning(t)
		})
	}
	t.Run("all at once, and a shutdown", func(t *testing.T) {
		n := startFloodedNode(t, smallMemoryLimits, 0.5)
		usage := watchUsage(t, n.cmd.Process.Pid)
		others, used := n.runFloods(t, allFloods())
		t.Logf("%.0f%% of a processor used", 100*used)
		checkNoneLost(t, others)
		wait := n.startFloods(allFloods(), time.Now().Add(floodsFor))
		n.terminate(t)
		wait()
		usage.checkLimits(t, smallMemoryLimits.memoryMB, smallMemoryLimits.sockets)
	})
}

// floodNode starts a node with limits, floods it, and checks that no request of others is lost. It returns the part of one processor that
// the node has used.
func floodNode(t *testing.T, l limits, cores float64, f flood) (used float64) {
	n := startFloodedNode(t, l, cores)
	usage := watchUsage(t, n.cmd.Process.Pid)
	others, used := n.runFloods(t, slices.Repeat([]flood{f}, floodingClients))
	t.Logf("%.0f%% of a processor used", 100*used)
	checkNoneLost(t, others)
	usage.checkLimits(t, l.memoryMB, l.sockets)
	n.checkStillRunning(t)
	return used
}
