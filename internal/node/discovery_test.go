package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"craneglade/internal/engine"
	"craneglade/policy"
)

// logBuffer collects log lines, and may be read while a node writes to it.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// scriptedDiscovery is a discovery service that handles each call with the next of the test's steps, which write the raw response.
// Calls after the last step get no response.
type scriptedDiscovery struct {
	addr  string
	mu    sync.Mutex
	steps []func(c net.Conn)
	urls  []string
	conns []net.Conn
}

func newScriptedDiscovery(t *testing.T, steps ...func(c net.Conn)) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{steps: steps}
	s.addr = acceptConns(t, &s.mu, &s.conns, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			s.mu.Lock()
			s.urls = append(s.urls, r.URL.String())
			var step func(net.Conn)
			if len(s.steps) > 0 {
				step, s.steps = s.steps[0], s.steps[1:]
			}
			s.mu.Unlock()
			if step != nil {
				step(c)
			}
		}
	}).Addr().String()
	return s
}

func (s *scriptedDiscovery) calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.urls...)
}

// sendList returns a step that responds with a list, whose JSON text form may change.
func sendList(l engine.List, form func(text []byte) []byte) func(net.Conn) {
	return func(c net.Conn) {
		text, _ := json.Marshal(l)
		if form != nil {
			text = form(text)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// Truncated lists and failed calls change nothing, and are logged in one line, however often they come. The next valid list is applied at
// once, whatever its white space and however it is split into packets.
func TestInvalidLists(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			old, fresh := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
			second := engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{fresh.entry("s-2")}}
			said := func(text string) func(net.Conn) {
				return func(c net.Conn) { fmt.Fprint(c, text) }
			}
			d := newScriptedDiscovery(t,
				sendList(second, func(text []byte) []byte { return text[:len(text)-2] }),
				func(c net.Conn) { // a truncated response
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":2,\"full\":true,\"servers\":[")
					c.Close()
				},
				said("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
				func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, // a reset
				said("noise\r\n\r\n"),
				sendList(second, func(text []byte) []byte {
					var b bytes.Buffer
					json.Indent(&b, text, "\t", "    ")
					return b.Bytes()
				}),
				func(c net.Conn) { // a delta, byte by byte
					var b bytes.Buffer
					again := old.entry("s-3")
					text, _ := json.Marshal(engine.List{Version: 3, Backends: []engine.ListedBackend{again}})
					fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					for _, x := range b.Bytes() {
						c.Write([]byte{x})
					}
				})
			var log logBuffer
			g := newStubDiscovery(t) // not used
			r := startNodeWithLog(t, g, slog.New(slog.NewTextHandler(&log, nil)), strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1),
				func(cfg *Config) { cfg.Discovery = d.addr }, old.entry("s-1"))
			if resp, _ := r.dial(t).roundTrip(view("before")); resp.StatusCode != 200 {
				t.Errorf("with the known backends: answered %d", resp.StatusCode)
			}
			wait(t, "the indented list", func() bool { return r.backendNumber("s-2") != 0 })
			if n := log.count("level=WARN"); n != 1 {
				t.Errorf("%d warnings, want 1: %s", n, log.text.String())
			}
			wait(t, "the delta that came byte by byte", func() bool { return r.backendNumber("s-3") != 0 })
			if r.backendNumber("s-1") != 0 {
				t.Error("a backend that is missing from a full list is still used")
			}
			for i, url := range d.calls()[1:6] {
				if !strings.HasSuffix(url, "since=1&timeout_ms=100") {
					t.Errorf("call after failure %d: %s, want a short watch from the known version", i+1, url)
				}
			}
		})
	}
}

// A watch without a response is cancelled and followed by a short call, whose list is applied.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	watching := make(chan struct{})
	d := newScriptedDiscovery(t, func(net.Conn) { close(watching) }, sendList(engine.List{Version: 2, Backends: []engine.ListedBackend{b.entry("s-1")}}, nil))
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(cfg *Config) { cfg.Discovery = d.addr })
	<-watching
	wait(t, "the list of the second call", func() bool { return r.backendNumber("s-1") != 0 })
	if calls := d.calls(); !strings.HasSuffix(calls[1], "since=0&timeout_ms=100") && !strings.HasSuffix(calls[1], "since=1&timeout_ms=100") {
		t.Errorf("second call: %s", calls[1])
	}
}

// A discovery whose versions have restarted answers a watch from a version that it has not reached with its own, lower one. Another watch
// from the higher version would never return a change, so the node fetches the full list.
func TestDiscoveryVersionsRestart(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	g.responses <- discoveryResponse{200, engine.List{Version: 700, Full: true, Backends: []engine.ListedBackend{b.entry("s-0")}}}
	g.responses <- discoveryResponse{200, engine.List{Version: 3}}
	g.responses <- discoveryResponse{200, engine.List{Version: 4, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	r := startNode(t, g, settingsJSON, nil, b.entry("s-0"))
	wait(t, "the list with the new versions", func() bool { return r.backendNumber("s-1") != 0 })
	wait(t, "a watch from the new version", func() bool { return len(g.calls()) == 4 })
	if calls := g.calls(); calls[2] != "/v1/endpoints" || !strings.Contains(calls[3], "since=4&") {
		t.Errorf("calls: %q", calls)
	}
}

// A drain that arrives after failed calls may have been announced a while ago. It has no grace left, neither for a retry nor for an
// attempt that waits for its connection.
func TestDrainAfterOutageHasNoGrace(t *testing.T) {
	t.Parallel()
	dialing, markDialing := gate()
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, respondOK)
	draining := b.entry("s-1")
	draining.State = "Terminating"
	g := newStubDiscovery(t)
	r := startNode(t, g, strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":3600`, 1), func(cfg *Config) {
		cfg.dial = dialAfter(func(int32) { markDialing(); <-release })
	}, b.entry("s-1"))
	cl := r.dial(t)
	cl.send(quote("q").text())
	<-dialing
	g.responses <- discoveryResponse{status: 503}
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Backends: []engine.ListedBackend{draining}}}
	wait(t, "the drain", func() bool { return r.backendNumber("s-1") == 0 })
	unblock()
	if resp, _ := cl.readResponse(); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
	if resp, _ := r.dial(t).roundTrip(view("v")); resp.StatusCode != 503 {
		t.Errorf("a request after the drain: answered %d, want 503", resp.StatusCode)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the backend got %d requests", n)
	}
	if o := r.attempt(context.Background(), &engine.Backend{ID: "s-9", Addr: b.entry("s-9").Addr}, quote("other"), testTimeout); o != policy.OK {
		t.Errorf("another backend at the same time: outcome %d", o)
	}
}
