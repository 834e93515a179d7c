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

// lines is a log that a test reads while a node writes it.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// scripted is a discovery that answers each call by a script's next step, byte for byte, and the calls after the last one with nothing.
type scripted struct {
	addr  string
	mu    sync.Mutex
	steps []func(c net.Conn)
	urls  []string
	conns []net.Conn
}

func newScripted(t *testing.T, steps ...func(c net.Conn)) *scripted {
	t.Helper()
	s := &scripted{steps: steps}
	s.addr = accept(t, &s.mu, &s.conns, func(c net.Conn) {
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

func (s *scripted) calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.urls...)
}

// tells answers with a list, in text as form makes it.
func tells(l engine.List, form func(text []byte) []byte) func(net.Conn) {
	return func(c net.Conn) {
		text, _ := json.Marshal(l)
		if form != nil {
			text = form(text)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// What is no whole list changes nothing and is logged in one line, however often it comes; the next good one counts at once, whatever its
// white space and however it comes in.
func TestSpoiltLists(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			old, fresh := newBox(t, served), newBox(t, served)
			second := engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{fresh.entry("s-2")}}
			said := func(text string) func(net.Conn) {
				return func(c net.Conn) { fmt.Fprint(c, text) }
			}
			d := newScripted(t,
				tells(second, func(text []byte) []byte { return text[:len(text)-2] }),
				func(c net.Conn) { // half an answer
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":2,\"full\":true,\"servers\":[")
					c.Close()
				},
				said("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
				func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }, // a reset
				said("noise\r\n\r\n"),
				tells(second, func(text []byte) []byte {
					var b bytes.Buffer
					json.Indent(&b, text, "\t", "    ")
					return b.Bytes()
				}),
				func(c net.Conn) { // a change, byte by byte
					var b bytes.Buffer
					again := old.entry("s-3")
					text, _ := json.Marshal(engine.List{Version: 3, Backends: []engine.ListedBackend{again}})
					fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					for _, x := range b.Bytes() {
						c.Write([]byte{x})
					}
				})
			var log lines
			g := newRegistry(t) // never asked
			r := newRigLogging(t, g, slog.New(slog.NewTextHandler(&log, nil)), strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1),
				func(cfg *Config) { cfg.Discovery = d.addr }, old.entry("s-1"))
			if resp, _ := r.dial(t).ask(view("before")); resp.StatusCode != 200 {
				t.Errorf("with what is known: answered %d", resp.StatusCode)
			}
			wait(t, "the indented list", func() bool { return r.numbered("s-2") != 0 })
			if n := log.count("level=WARN"); n != 1 {
				t.Errorf("%d lines of warning, want one: %s", n, log.text.String())
			}
			wait(t, "the change that came byte by byte", func() bool { return r.numbered("s-3") != 0 })
			if r.numbered("s-1") != 0 {
				t.Error("a backend that a whole list leaves out is still used")
			}
			for i, url := range d.calls()[1:6] {
				if !strings.HasSuffix(url, "since=1&timeout_ms=100") {
					t.Errorf("after failure %d %s is asked, want what is known by now", i+1, url)
				}
			}
		})
	}
}

// A watch that falls silent is given up and followed by a short call, whose news counts.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	silent := make(chan struct{})
	d := newScripted(t, func(net.Conn) { close(silent) }, tells(engine.List{Version: 2, Backends: []engine.ListedBackend{b.entry("s-1")}}, nil))
	r := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) { cfg.Discovery = d.addr })
	<-silent
	wait(t, "the news behind the silence", func() bool { return r.numbered("s-1") != 0 })
	if calls := d.calls(); !strings.HasSuffix(calls[1], "since=0&timeout_ms=100") && !strings.HasSuffix(calls[1], "since=1&timeout_ms=100") {
		t.Errorf("after the silence %s is asked", calls[1])
	}
}

// A discovery that counts anew answers a watch from a version that it has not reached with its own: a watch from there would never tell
// of a change, so all of its list is asked for.
func TestDiscoveryThatCountsAnew(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	g := newRegistry(t)
	g.next <- registryAnswer{200, engine.List{Version: 700, Full: true, Backends: []engine.ListedBackend{b.entry("s-0")}}}
	g.next <- registryAnswer{200, engine.List{Version: 3}}
	g.next <- registryAnswer{200, engine.List{Version: 4, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	r := newRig(t, g, settingsJSON, nil, b.entry("s-0"))
	wait(t, "the list of the new count", func() bool { return r.numbered("s-1") != 0 })
	wait(t, "a watch from there", func() bool { return len(g.calls()) == 4 })
	if calls := g.calls(); calls[2] != "/v1/endpoints" || !strings.Contains(calls[3], "since=4&") {
		t.Errorf("asked %q", calls)
	}
}

// What is told after calls that failed may have counted as told for a while: a drain has no grace left then, not for a repeat and not for
// an attempt that waits for its connection.
func TestNewsAfterALapseLeavesNoGrace(t *testing.T) {
	t.Parallel()
	dialing, dialed := gate()
	release, let := gate()
	defer let()
	b := newBox(t, served)
	draining := b.entry("s-1")
	draining.State = "Terminating"
	g := newRegistry(t)
	r := newRig(t, g, strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":3600`, 1), func(cfg *Config) {
		cfg.dial = dialThen(func(int32) { dialed(); <-release })
	}, b.entry("s-1"))
	cl := r.dial(t)
	cl.send(quote("q").text())
	<-dialing
	g.next <- registryAnswer{status: 503}
	g.next <- registryAnswer{200, engine.List{Version: 2, Backends: []engine.ListedBackend{draining}}}
	wait(t, "the drain", func() bool { return r.numbered("s-1") == 0 })
	let()
	if resp, _ := cl.answer(); resp.StatusCode != 503 {
		t.Errorf("answered %d, want a refusal", resp.StatusCode)
	}
	if resp, _ := r.dial(t).ask(view("v")); resp.StatusCode != 503 {
		t.Errorf("a request after the news: answered %d, want a refusal", resp.StatusCode)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the backend got %d requests", n)
	}
	if o := r.attempt(context.Background(), &engine.Backend{ID: "s-9", Addr: b.entry("s-9").Addr}, quote("other"), patience); o != policy.OK {
		t.Errorf("another backend at that moment: outcome %d", o)
	}
}
