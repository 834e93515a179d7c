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

// patience is how long a test waits for what must come: far longer than it takes on a busy machine.
const patience = 20 * time.Second

const settingsJSON = `{"balancers":1,"zone":"north","discovery":"push","grades":[
 {"name":"view","aim_s":30,"deadline_s":60,"gain":1,"effect":"free","group":"all"},
 {"name":"save","aim_s":30,"deadline_s":60,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":30},
 {"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot","group":"all"}],
 "policy_limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_s":2,"conn_idle_s":60,
  "connect_timeout_s":5},
 "report":{"how":"piggyback","names":["concurrent","depth"]},
 "invariants":{"drain_grace_s":2,"cold_s":8,"cold_share":0.3,"fall_s":1.5,"overload_factor":4,"must_ask_in_s":10}}`

// box is a backend whose behaviour a test decides. It records each request whose last byte has come.
type box struct {
	ln     net.Listener
	answer func(c net.Conn, r *http.Request, nth int) bool // false: close the connection

	mu    sync.Mutex
	got   []*http.Request
	conns []net.Conn
	ended chan struct{} // one for each connection that the node closed
	shut  chan struct{} // one for each that the box closed
}

func newBox(t *testing.T, answer func(c net.Conn, r *http.Request, nth int) bool) *box {
	t.Helper()
	b := &box{answer: answer, ended: make(chan struct{}, 1000), shut: make(chan struct{}, 5000)}
	b.ln = accept(t, &b.mu, &b.conns, b.talk)
	return b
}

// accept listens and has each connection talked to until the test ends. The connections so far are kept under mu.
func accept(t *testing.T, mu *sync.Mutex, conns *[]net.Conn, talk func(net.Conn)) net.Listener {
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
			wg.Go(func() { talk(c) })
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

func (b *box) talk(c net.Conn) {
	defer func() {
		c.Close()
		b.shut <- struct{}{}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			b.ended <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		b.got = append(b.got, r)
		nth := len(b.got)
		b.mu.Unlock()
		if !b.answer(c, r, nth) {
			return
		}
	}
}

func (b *box) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.got...)
}

func (b *box) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *box) entry(id string) engine.Listed {
	return engine.Listed{ID: id, Addr: b.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// reply writes an answer; headers are lines that end in \r\n.
func reply(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers,
		len(body), body)
	return err == nil
}

// gate holds back what waits for it until let is called, at the latest by a defer: a box's end waits for its answers.
func gate() (released chan struct{}, let func()) {
	released = make(chan struct{})
	return released, sync.OnceFunc(func() { close(released) })
}

func served(c net.Conn, r *http.Request, _ int) bool {
	return reply(c, 200, "", "done "+r.Header.Get("X-Request-Id"))
}

// registry is a discovery whose lists a test hands out one by one.
type registry struct {
	addr string
	mu   sync.Mutex
	urls []string
	next chan registryAnswer
	left chan struct{} // one for each call that the node gave up
}

type registryAnswer struct {
	status int
	list   engine.List
}

func newRegistry(t *testing.T) *registry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &registry{addr: ln.Addr().String(), next: make(chan registryAnswer, 100), left: make(chan struct{}, 100)}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		g.urls = append(g.urls, r.URL.String())
		g.mu.Unlock()
		select {
		case a := <-g.next:
			w.WriteHeader(a.status)
			json.NewEncoder(w).Encode(a.list)
		case <-r.Context().Done():
			g.left <- struct{}{}
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

func (g *registry) calls() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.urls...)
}

// quotaFor holds so many connections to boxes.
func quotaFor(n int) *quota.Quota {
	r := quota.New(n+1, 0)
	r.Side(admission.ClientSide).Take() // a total of 0 would mean no bound
	return r.Side(admission.BackendSide)
}

// attempt is one send to a box, without a request of a client.
func (r *rig) attempt(ctx context.Context, b *engine.Backend, q call, wait time.Duration) policy.Outcome {
	in, _ := http.NewRequest(q.method, "http://x/api", nil)
	m := &message.Request{In: in, Body: &message.Body{Memory: []byte(q.body)}}
	m.Payload = m
	return r.carrier.Carry(ctx, &engine.Attempt{Request: &m.Request, Backend: b, Wait: wait, Effect: policy.Unsafe}).Outcome
}

// numbered is the module's number of the box with an id; 0 where none is listed.
func (r *rig) numbered(id string) uint32 {
	ids, all := r.engine.Beliefs()
	for i := range ids {
		if ids[i] == id {
			return all[i].ID
		}
	}
	return 0
}

// rig is a node that serves on loopback.
type rig struct {
	*node
	addr   string
	leave  context.CancelFunc // what SIGTERM does
	exited chan error
}

func newRig(t *testing.T, g *registry, settings string, change func(*Config), known ...engine.Listed) *rig {
	t.Helper()
	return newRigLogging(t, g, slog.New(slog.DiscardHandler), settings, change, known...)
}

func newRigLogging(t *testing.T, g *registry, log *slog.Logger, settings string, change func(*Config), known ...engine.Listed) *rig {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	// A busy machine reads late: what a test wants served must not be refused for that (TestABehindNodeRefuses has the refusals).
	atOnce := func(net.Conn) time.Duration { return 0 }
	cfg := Config{Name: "n0", Discovery: g.addr, Seed: 1, Settings: set, Known: engine.List{Version: 1, Full: true, Servers: known},
		waited: atOnce}
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
	ctx, leave := context.WithCancel(context.Background())
	r := &rig{node: n, addr: ln.Addr().String(), leave: leave, exited: make(chan error, 1)}
	go func() { r.exited <- n.front.Serve(ctx, ln) }()
	t.Cleanup(func() {
		leave()
		select {
		case <-r.exited:
		case <-time.After(patience):
			t.Error("the node did not end")
		}
		n.end()
	})
	return r
}

type call struct {
	method, class, id, key, body, deadline string
}

func (c call) text() string {
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

func view(id string) call { return call{"GET", "view", id, "", "", "50000m"} }
func save(id string) call { return call{"POST", "save", id, "k-" + id, "a window", "50000m"} }
func quote(id string) call {
	return call{"POST", "quote", id, "", "a door", "50000m"}
}

// client is one connection to a node.
type client struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (r *rig) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) answer() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("a broken answer: %v", err)
	}
	return resp, string(body)
}

func (c *client) ask(q call) (*http.Response, string) {
	c.t.Helper()
	c.send(q.text())
	return c.answer()
}

// wait returns once ok does, and fails the test if that takes too long.
func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}
