package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/quota"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// testTimeout bounds each wait of a test. It is far longer than any wait takes on a busy machine.
const testTimeout = 20 * time.Second

const settingsJSON = `{"balancers":1,"zone":"north","discovery":"push","grades":[
 {"name":"view","aim_s":30,"deadline_s":60,"gain":1,"effect":"free","group":"all"},
 {"name":"save","aim_s":30,"deadline_s":60,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":30},
 {"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot","group":"all"}],
 "policy_limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_s":2,"conn_idle_s":60,
  "connect_timeout_s":5},
 "report":{"how":"piggyback","names":["concurrent","depth"]},
 "invariants":{"drain_grace_s":2,"cold_s":8,"cold_share":0.3,"fall_s":1.5,"overload_factor":4,"must_ask_in_s":10}}`

// stubBackend is a backend whose responses a test decides. It records each request that it has received completely.
type stubBackend struct {
	ln      net.Listener
	respond func(c net.Conn, r *http.Request, nth int) bool // false: close the connection

	mu           sync.Mutex
	received     []*http.Request
	conns        []net.Conn
	disconnected chan struct{} // one for each connection that the node closed
	closed       chan struct{} // one for each that the backend closed
}

func newStubBackend(t *testing.T, respond func(c net.Conn, r *http.Request, nth int) bool) *stubBackend {
	t.Helper()
	b := &stubBackend{respond: respond, disconnected: make(chan struct{}, 1000), closed: make(chan struct{}, 5000)}
	b.ln = acceptConns(t, &b.mu, &b.conns, b.serve)
	return b
}

// acceptConns listens and calls serve for each connection until the test ends. It appends the connections to conns, under mu.
func acceptConns(t *testing.T, mu *sync.Mutex, conns *[]net.Conn, serve func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			*conns = append(*conns, c)
			mu.Unlock()
			wg.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, c := range *conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return ln
}

func (b *stubBackend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.closed <- struct{}{}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			b.disconnected <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.received = append(b.received, r)
		nth := len(b.received)
		b.mu.Unlock()
		if !b.respond(c, r, nth) {
			return
		}
	}
}

func (b *stubBackend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.received...)
}

func (b *stubBackend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *stubBackend) entry(id string) engine.ListedBackend {
	return engine.ListedBackend{ID: id, Addr: b.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// writeResponse writes a response. headers are lines that end in \r\n.
func writeResponse(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers,
		len(body), body)
	return err == nil
}

// gate returns a channel and the function that closes it. A test that blocks a backend on the channel has to defer open, as closing
// the backend waits for its responses.
func gate() (opened chan struct{}, open func()) {
	opened = make(chan struct{})
	return opened, sync.OnceFunc(func() { close(opened) })
}

func respondOK(c net.Conn, r *http.Request, _ int) bool {
	return writeResponse(c, 200, "", "done "+r.Header.Get("X-Request-Id"))
}

// stubDiscovery is a discovery service that answers each call with the next of the test's responses.
type stubDiscovery struct {
	addr      string
	mu        sync.Mutex
	urls      []string
	responses chan discoveryResponse
	cancelled chan struct{} // one for each call that the node cancelled
}

type discoveryResponse struct {
	status int
	list   engine.List
}

func newStubDiscovery(t *testing.T) *stubDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &stubDiscovery{addr: ln.Addr().String(), responses: make(chan discoveryResponse, 100), cancelled: make(chan struct{}, 100)}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		g.urls = append(g.urls, r.URL.String())
		g.mu.Unlock()
		select {
		case a := <-g.responses:
			w.WriteHeader(a.status)
			json.NewEncoder(w).Encode(a.list)
		case <-r.Context().Done():
			g.cancelled <- struct{}{}
		}
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
	})
	return g
}

func (g *stubDiscovery) calls() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.urls...)
}

// quotaFor returns a quota of n connections to backends.
func quotaFor(n int) *quota.Quota {
	r := quota.New(n+1, 0)
	r.Side(admission.ClientSide).Acquire() // a total of 0 would mean no limit
	return r.Side(admission.BackendSide)
}

// attempt sends one attempt to a backend, without a client request.
func (r *testNode) attempt(ctx context.Context, b *engine.Backend, q testRequest, wait time.Duration) policy.Outcome {
	in, _ := http.NewRequest(q.method, "http://x/api", nil)
	m := &message.Request{In: in, Body: &message.Body{Memory: []byte(q.body)}}
	m.Payload = m
	return r.carrier.Carry(ctx, &engine.Attempt{Request: &m.Request, Backend: b, Timeout: wait, Effect: policy.Unsafe}).Outcome
}

// backendNumber returns the policy's number of the backend with an id, or 0 if none is listed.
func (r *testNode) backendNumber(id string) uint32 {
	ids, all := r.engine.Beliefs()
	for i := range ids {
		if ids[i] == id {
			return all[i].ID
		}
	}
	return 0
}

// testNode is a node that serves clients on loopback.
type testNode struct {
	*node
	addr    string
	sigterm context.CancelFunc // has the effect of SIGTERM
	exited  chan error
}

func startNode(t *testing.T, g *stubDiscovery, settings string, change func(*Config), known ...engine.ListedBackend) *testNode {
	t.Helper()
	return startNodeWithLog(t, g, slog.New(slog.DiscardHandler), settings, change, known...)
}

func startNodeWithLog(t *testing.T, g *stubDiscovery, log *slog.Logger, settings string, change func(*Config), known ...engine.ListedBackend) *testNode {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	// A busy machine reads late, and the node must not reject requests for that, except in TestOverloadedNodeRejects.
	noDelay := func(net.Conn) time.Duration { return 0 }
	cfg := Config{Name: "n0", Discovery: g.addr, Seed: 1, Settings: set, Known: engine.List{Version: 1, Full: true, Backends: known},
		sinceLastReceive: noDelay}
	if change != nil {
		change(&cfg)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{node: n, addr: ln.Addr().String(), sigterm: cancel, exited: make(chan error, 1)}
	go func() { r.exited <- n.front.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-r.exited:
		case <-time.After(testTimeout):
			t.Error("the node did not shut down")
		}
		n.shutdown()
	})
	return r
}

type testRequest struct {
	method, class, id, key, body, deadline string
}

func (c testRequest) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api?key=7f HTTP/1.1\r\nHost: backend.local\r\n", c.method)
	for _, h := range []struct{ name, value string }{{"X-Request-Id", c.id}, {"X-Class", c.class}, {"X-Deadline", c.deadline},
		{"Idempotency-Key", c.key}} {
		if h.value != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", h.name, h.value)
		}
	}
	if c.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

func view(id string) testRequest { return testRequest{"GET", "view", id, "", "", "50000m"} }
func save(id string) testRequest {
	return testRequest{"POST", "save", id, "k-" + id, "a window", "50000m"}
}
func quote(id string) testRequest {
	return testRequest{"POST", "quote", id, "", "a door", "50000m"}
}

// client is a client connection to a node.
type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (r *testNode) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("invalid response body: %v", err)
	}
	return resp, string(body)
}

func (c *client) roundTrip(q testRequest) (*http.Response, string) {
	c.t.Helper()
	c.send(q.text())
	return c.readResponse()
}

// wait returns once ok returns true, and fails the test if that takes longer than testTimeout.
func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
