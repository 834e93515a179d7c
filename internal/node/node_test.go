package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/policy"
)

func TestServesWhatTheBackendSent(t *testing.T) {
	t.Parallel()
	b := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
		return reply(c, 200, "Content-Type: text/x-quote\r\nX-Load: {\"inflight\":7,\"queue\":2}\r\n", "a\x00b")
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	for i := range 5 {
		resp, body := c.ask(save(fmt.Sprint("id-", i)))
		if resp.StatusCode != 200 || body != "a\x00b" || resp.Header.Get("Content-Type") != "text/x-quote" {
			t.Fatalf("answer %d: %v %q", i, resp, body)
		}
	}
	got := b.requests()[0]
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/api?key=7f" || string(body) != "a window" ||
		got.Header.Get("X-Request-Id") != "id-0" || got.Header.Get("Idempotency-Key") != "k-id-0" {
		t.Errorf("the backend got %+v with body %q", got, body)
	}
	left, err := strconv.Atoi(strings.TrimSuffix(got.Header.Get("X-Deadline"), "u"))
	if err != nil || left <= 0 || left >= 50_000_000 {
		t.Errorf("the backend was told %q, want less than the client's 50 s", got.Header.Get("X-Deadline"))
	}
	// A handshake costs a backend as much as part of a request: the connection must have been kept.
	if n := b.connections(); n != 1 {
		t.Errorf("%d connections for 5 requests in a row, want 1", n)
	}
}

// firstHeld serves all requests, the first one only after release.
func firstHeld(release chan struct{}) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 1 {
			<-release
		}
		return served(c, r, nth)
	}
}

// The id of a request that is open belongs to its client: whoever else uses it is served nothing, and the first
// goes on. Afterwards it is as good as any.
func TestIDOfAnOpenRequest(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, firstHeld(release))
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	first, second := r.dial(t), r.dial(t)
	first.send(save("twin").text())
	wait(t, "the first at the backend", func() bool { return len(b.requests()) == 1 })
	if resp, _ := second.ask(save("twin")); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("second: %d, close %v", resp.StatusCode, resp.Close)
	}
	let()
	if resp, body := first.answer(); resp.StatusCode != 200 || body != "done twin" {
		t.Errorf("first: %d %q", resp.StatusCode, body)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("the backend got %d requests, want 1", n)
	}
	wait(t, "an empty table", func() bool {
		return r.engine.Open() == 0
	})
	if resp, _ := r.dial(t).ask(save("twin")); resp.StatusCode != 200 {
		t.Errorf("the id once more: %d", resp.StatusCode)
	}
}

// What is no request as PROTOCOL has it must be answered and cut off, and nothing of it may reach a backend: served,
// it would be lost; passed on, a body could hide a second request.
func TestMalformedRequestsReachNoBackend(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	without := func(change func(*call)) string {
		q := save("x")
		change(&q)
		return q.text()
	}
	with := func(header string) string {
		return strings.Replace(save("x").text(), "\r\nX-Class", "\r\n"+header+"\r\nX-Class", 1)
	}
	hidden := view("hidden").text()
	smuggle := "0\r\n\r\n" + hidden
	for _, c := range []struct {
		name string
		text string
		want int
	}{
		{"no id", without(func(q *call) { q.id = "" }), 400},
		{"an endless id", without(func(q *call) { q.id = strings.Repeat("x", 257) }), 400},
		{"two ids", with("X-Request-Id: y"), 400},
		{"no class", without(func(q *call) { q.class = "" }), 400},
		{"a class that does not exist", without(func(q *call) { q.class = "sav" }), 400},
		{"no deadline", without(func(q *call) { q.deadline = "" }), 400},
		{"a deadline with no unit", without(func(q *call) { q.deadline = "480" }), 400},
		{"a deadline in an unknown unit", without(func(q *call) { q.deadline = "480s" }), 400},
		{"a deadline that is no number", without(func(q *call) { q.deadline = "NaNm" }), 400},
		{"a deadline of nothing", without(func(q *call) { q.deadline = "0m" }), 400},
		{"a negative deadline", without(func(q *call) { q.deadline = "-5m" }), 400},
		{"another method", without(func(q *call) { q.method = "PUT" }), 405},
		{"a GET of a keyed class", without(func(q *call) { q.method, q.body = "GET", "" }), 400},
		{"a POST of a safe class", call{"POST", "view", "x", "", "", "50000m"}.text(), 400},
		{"a keyed class with no key", without(func(q *call) { q.key = "" }), 400},
		{"an unsafe class with a key", without(func(q *call) { q.class = "quote" }), 400},
		{"a GET with a body", strings.Replace(view("x").text(), "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc", 1), 400},
		{"no length", strings.Replace(save("x").text(), "Content-Length: 8\r\n", "", 1), 411},
		{"a negative length", strings.Replace(save("x").text(), "Length: 8", "Length: -8", 1), 400},
		{"a huge length", strings.Replace(save("x").text(), "Length: 8", "Length: 99999999999999999999", 1), 400},
		{"two lengths", with("Content-Length: 7"), 400},
		{"a body too large", without(func(q *call) { q.body = strings.Repeat("x", message.MaxBody+1) }), 413},
		{"a body too large that is not sent", strings.Replace(save("x").text(), "Length: 8", "Length: 60000000", 1), 413},
		{"cut short", strings.TrimSuffix(save("x").text(), "ow"), 400},
		{"chunks that are none", "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\nX-Deadline: 50000m\r\n" +
			"Transfer-Encoding: chunked\r\n\r\na door", 400},
		{"a length and chunks", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"chunks in disguise", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"an unknown encoding", with("Transfer-Encoding: xchunked"), 400},
		{"another protocol", strings.Replace(save("x").text(), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"no host", strings.Replace(save("x").text(), "Host: backend.local\r\n", "", 1), 400},
		{"noise", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		{"an endless head", "GET /api HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", message.MaxHead), 431},
		{"an expectation", with("Expect: much"), 417},
	} {
		cl := r.dial(t)
		go func() { // the node may answer and close before it has read all
			if c.name == "cut short" {
				io.WriteString(cl, c.text)
				cl.Conn.(*net.TCPConn).CloseWrite()
			} else {
				io.WriteString(cl, c.text+hidden)
			}
		}()
		if resp, _ := cl.answer(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", c.name, resp.StatusCode, resp.Close, c.want)
		}
		if n, err := cl.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d more bytes, %v, want the connection closed", c.name, n, err)
		}
	}
	large := save("whole")
	large.body = strings.Repeat("x", message.MaxBody)
	if resp, _ := r.dial(t).ask(large); resp.StatusCode != 200 {
		t.Errorf("the largest body: answered %d", resp.StatusCode)
	}
	if got := b.requests(); len(got) != 1 || got[0].Header.Get("X-Request-Id") != "whole" {
		t.Errorf("the backend got %d requests, want the one well-formed", len(got))
	}
}

// Whoever sends half a head, half a body or nothing is answered or cut off within 3 s; a request that waits for its
// answer is not, however long that takes, and neither is a connection between requests within 2 s.
func TestSlowClients(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "long" {
			<-release
		}
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	long, kept := r.dial(t), r.dial(t)
	long.send(quote("long").text())
	if resp, _ := kept.ask(view("v")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for _, text := range []string{"", "POST /api HTTP/1.1\r\nHost", strings.TrimSuffix(save("x").text(), "w")} {
		c := r.dial(t)
		c.send(text)
		if text != "" {
			if resp, _ := c.answer(); resp.StatusCode != 408 {
				t.Errorf("%q: answered %d", text, resp.StatusCode)
			}
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: %d bytes, %v, want the connection closed", text, n, err)
		}
	}
	let()
	if resp, body := long.answer(); resp.StatusCode != 200 || body != "done long" {
		t.Errorf("the request that waited: %d %q", resp.StatusCode, body)
	}
}

// What an attempt's end proves decides whether the client may be told that trying again is harmless.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		answer func(c net.Conn, r *http.Request, nth int) bool
		unsafe int // the answer to a request that must not run twice
		safe   int
	}{
		{"served", served, 200, 200},
		{"an error", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 500, "", "") }, 500, 503},
		{"an unknown status", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 302, "Location: /x\r\n", "") },
			500, 503},
		{"turned away", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 503, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"over already", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 504, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"503 with no proof", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 503, "", "") }, 500, 503},
		{"504 with no proof", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 504, "", "") }, 500, 503},
		{"a reset after the request", func(net.Conn, *http.Request, int) bool { return false }, 500, 503},
		{"an answer cut short", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return false
		}, 500, 503},
		{"noise", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "\x16\x03\x01\r\n\r\n")
			return true
		}, 500, 503},
		{"two lengths", func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 200, "Content-Length: 3\r\n", "a door") },
			500, 503},
		{"a length that is too long", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return true // the connection stays open
		}, 500, 503},
		{"no length", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			return true
		}, 500, 503},
		{"chunks that are none", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na door")
			return true
		}, 500, 503},
		{"a head that does not end", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: b\r\n")
			return true
		}, 500, 503},
		{"a head without end", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_, err := io.WriteString(c, strings.Repeat("X-A: b\r\n", message.MaxHead+message.MaxBody))
			return err == nil
		}, 500, 503},
		{"an answer said to be huge", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart")
			return true
		}, 500, 503},
		{"1xx ahead", func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			return served(c, r, n)
		}, 200, 200},
		{"a report that can't be read", func(c net.Conn, r *http.Request, _ int) bool {
			return reply(c, 200, "X-Load: {\"inflight\":NaN\r\n", "")
		}, 200, 200},
		{"chunks", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na door\r\n0\r\n\r\n")
			return true
		}, 200, 200},
		{"an answer too large", func(c net.Conn, _ *http.Request, _ int) bool {
			return reply(c, 200, "", strings.Repeat("x", message.MaxBody+1))
		}, 500, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, q := range []struct {
				call
				want int
			}{{quote("q"), c.unsafe}, {view("v"), c.safe}} {
				b := newBox(t, c.answer)
				r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
				resp, _ := r.dial(t).ask(q.call)
				if resp.StatusCode != q.want {
					t.Errorf("%s: answered %d, want %d", q.class, resp.StatusCode, q.want)
				}
				if after := resp.Header.Get("Retry-After"); (after != "") != (resp.StatusCode == 503) {
					t.Errorf("%s: %d with Retry-After %q", q.class, resp.StatusCode, after)
				} else if s, err := strconv.ParseFloat(after, 64); after != "" && (err != nil || s <= 0 || s > 2) {
					t.Errorf("%s: Retry-After %q, want seconds up to the settings' 2", q.class, after)
				}
				if n := len(b.requests()); n != 1 {
					t.Errorf("%s: the backend got %d requests, want 1", q.class, n)
				}
			}
		})
	}
}

// What stands behind an answer belongs to no request. Handed to the next on that connection, a second copy would be
// served to the wrong client.
func TestSurplusBehindAnAnswer(t *testing.T) {
	t.Parallel()
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\x16\x03 noise"} {
		for _, late := range []bool{false, true} {
			written := make(chan struct{}, 10)
			b := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
				var text strings.Builder
				fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
				if !late {
					text.WriteString(surplus)
				}
				io.WriteString(c, text.String())
				if late {
					io.WriteString(c, surplus)
				}
				written <- struct{}{}
				return true
			})
			r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
			c := r.dial(t)
			for i := range 3 {
				if resp, body := c.ask(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != "done" {
					t.Errorf("late %v, request %d: %d %q", late, i, resp.StatusCode, body)
				}
				<-written
			}
			if n := b.connections(); n != 3 {
				t.Errorf("late %v: 3 requests on %d connections, want each on its own", late, n)
			}
		}
	}
}

// The same with many requests at once: net/http's transport offers a connection for use before it has looked behind
// the answer, and served 2 to 10 of 4,800 requests another's answer here.
func TestSurplusUnderLoad(t *testing.T) {
	t.Parallel()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		id := r.Header.Get("X-Request-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if nth%10 == 0 {
			text += text
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	var wrong atomic.Int64
	var wg sync.WaitGroup
	for k := range 16 {
		c := r.dial(t)
		wg.Go(func() {
			for i := range 300 {
				id := fmt.Sprint("id-", k, "-", i)
				c.SetDeadline(time.Now().Add(patience))
				io.WriteString(c, quote(id).text())
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == 200 && string(body) != id {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("%d requests got another's answer", n)
	}
}

// A kept connection that its backend has closed shows before a request is written to it: nothing may have run, and
// it goes out on another.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newBox(t, func(c net.Conn, r *http.Request, n int) bool {
		served(c, r, n)
		return false
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	for i := range 3 {
		if resp, _ := c.ask(quote(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
		<-b.shut
	}
	if n := len(b.requests()); n != 3 {
		t.Errorf("the backend got %d requests, want 3", n)
	}
}

// With every descriptor for backends in use by idle connections, another backend's makes room.
func TestIdleBackendConnectionMakesRoom(t *testing.T) {
	t.Parallel()
	one, two := newBox(t, served), newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.backendQuota = quotaFor(1) }, one.entry("s-1"), two.entry("s-2"))
	c := r.dial(t)
	for i := range 40 {
		if resp, _ := c.ask(view(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	if len(one.requests()) == 0 || len(two.requests()) == 0 {
		t.Error("one of the backends got nothing")
	}
	if open, rest := r.carrier.Conns(); open != 1 || rest > 1 {
		t.Errorf("%d connections count as open and %d as idle, want 1", open, rest)
	}
}

// A new id at the address of one that has gone is another process. The old id is sent nothing more, though its news
// is still on the way: the new process would get what was meant for the old.
func TestNewIDAtAnOldAddress(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	g := newRegistry(t)
	r := newRig(t, g, settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.ask(view("x"))
	g.next <- registryAnswer{200, engine.List{Version: 2, Servers: []engine.Listed{b.entry("s-2")}}}
	wait(t, "the news", func() bool {
		return r.engine.Version() == 2
	})
	if resp, _ := c.ask(view("y")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if old, now := r.numbered("s-1"), r.numbered("s-2"); old != 0 || now != 2 || b.connections() != 2 {
		t.Errorf("old number %d, new %d, %d connections", old, now, b.connections())
	}
}

// Nothing listens on the port: nothing can have run.
func TestConnectFailureIsHarmless(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	r := newRig(t, newRegistry(t), settingsJSON, nil, engine.Listed{ID: "s-1", Addr: ln.Addr().String(), State: "Ready"})
	if resp, _ := r.dial(t).ask(quote("q")); resp.StatusCode != 503 {
		t.Errorf("answered %d, want a refusal", resp.StatusCode)
	}
}

// The transport resends by itself what it holds for safe to repeat, when a kept connection breaks. The policy
// would not know of that attempt: the backend must see the request once.
func TestTransportResendsNothing(t *testing.T) {
	t.Parallel()
	for _, q := range []call{view("again"), save("again"), quote("again"),
		{"POST", "save", "again", "k", "", "50000m"}} {
		b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
			return nth == 1 && served(c, r, nth) // the second on the same connection is met by its end
		})
		r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
		c := r.dial(t)
		first := view("first")
		if resp, _ := c.ask(first); resp.StatusCode != 200 {
			t.Fatalf("first: %d", resp.StatusCode)
		}
		resp, _ := c.ask(q)
		if resp.StatusCode == 200 {
			t.Errorf("%s %s: served, though the backend answered nothing", q.method, q.class)
		}
		if n := len(b.requests()); n != 2 || b.connections() != 1 {
			t.Errorf("%s %s: the backend got %d requests on %d connections, want 2 on 1", q.method, q.class, n, b.connections())
		}
	}
}

// A refused first attempt is tried at another backend, and the client sees only that answer.
func TestSecondBackendAnswers(t *testing.T) {
	t.Parallel()
	full := newBox(t, func(c net.Conn, _ *http.Request, _ int) bool { return reply(c, 503, "X-Not-Run: 1\r\n", "") })
	fine := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, full.entry("s-1"), fine.entry("s-2"))
	c := r.dial(t)
	for i := 0; i < 50 && len(full.requests()) == 0; i++ {
		if resp, body := c.ask(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != fmt.Sprint("done ", i) {
			t.Fatalf("request %d: %d %q", i, resp.StatusCode, body)
		}
	}
	if len(full.requests()) == 0 {
		t.Error("no request met the full backend")
	}
}

func TestSilentBackend(t *testing.T) {
	t.Parallel()
	b := newBox(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c)
		return false
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	q := quote("q")
	q.deadline = "300m"
	if resp, _ := r.dial(t).ask(q); resp.StatusCode != 500 {
		t.Errorf("answered %d, want a failure: it may run yet", resp.StatusCode)
	}
}

// Nobody waits for the work of a client that has left.
func TestClientGoneCancelsTheAttempt(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	b := newBox(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c) // until the node closes the connection
		close(gone)
		return false
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.send(save("x").text())
	wait(t, "the request at the backend", func() bool { return len(b.requests()) == 1 })
	c.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the attempt goes on")
	}
	wait(t, "an empty table of requests", func() bool {
		return r.engine.Open() == 0
	})
}

// A send that waited for a connection while its backend's drain grace ended must not be written.
func TestSendAfterGraceIsNotWritten(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	for _, q := range []call{view("v"), save("s")} {
		be.ShutFrom(time.Now().Add(-time.Millisecond))
		if o := r.attempt(context.Background(), be, q, patience); o != policy.NeverSent {
			t.Errorf("%s: outcome %d, want it never sent", q.method, o)
		}
		be.Reopen()
		if o := r.attempt(context.Background(), be, q, patience); o != policy.OK {
			t.Errorf("%s: outcome %d while no grace runs, want OK", q.method, o)
		}
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("the backend got %d requests, want 2", n)
	}
}

func TestFollowsDiscovery(t *testing.T) {
	t.Parallel()
	old, fresh := newBox(t, served), newBox(t, served)
	g := newRegistry(t)
	r := newRig(t, g, settingsJSON, nil, old.entry("s-1"))
	c := r.dial(t)
	at := func(b *box) func() bool {
		return func() bool {
			before := len(b.requests())
			resp, _ := c.ask(view("x"))
			return resp.StatusCode == 200 && len(b.requests()) == before+1
		}
	}
	wait(t, "the known backend", at(old))
	g.next <- registryAnswer{status: 503} // a failed call is tried again
	draining := old.entry("s-1")
	draining.State = "Terminating"
	told := time.Now()
	g.next <- registryAnswer{200, engine.List{Version: 2, Servers: []engine.Listed{draining, fresh.entry("s-2")}}}
	wait(t, "the new backend", at(fresh))
	time.Sleep(time.Until(told.Add(2 * time.Second))) // the grace in the settings: what it is for is over
	sent := len(old.requests())
	for range 20 {
		if resp, _ := c.ask(view("x")); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if n := len(old.requests()); n != sent {
		t.Errorf("a draining backend got %d new requests", n-sent)
	}
	g.next <- registryAnswer{200, engine.List{Version: 3, Full: true, Servers: []engine.Listed{fresh.entry("s-2")}}}
	select {
	case <-old.ended:
	case <-time.After(patience):
		t.Fatal("connections of a backend that a whole list leaves out stay open")
	}
	moved := old.entry("s-2") // the same id and start under another address is another process
	g.next <- registryAnswer{200, engine.List{Version: 4, Servers: []engine.Listed{moved}}}
	wait(t, "the new address", at(old))
	gone := moved
	gone.State = "Gone"
	g.next <- registryAnswer{200, engine.List{Version: 5, Servers: []engine.Listed{gone}}}
	wait(t, "a refusal with nothing left", func() bool {
		resp, _ := c.ask(view("x"))
		return resp.StatusCode == 503
	})
	if resp, _ := c.ask(call{method: "GET"}); resp.StatusCode != 400 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	for i, url := range g.calls() {
		want := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=", max(1, i))
		if !strings.HasPrefix(url, want) {
			t.Errorf("call %d: %s, want %s…", i, url, want)
		}
	}
}

// A reload leaves the old discovery at once, and the new one is asked for all it has: its versions count anew, so
// that a watch from the old one's version would wait for ever.
func TestReloadFollowsAnotherDiscovery(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			before, after := newBox(t, served), newBox(t, served)
			g, h := newRegistry(t), newRegistry(t)
			g.next <- registryAnswer{200, engine.List{Version: 700, Full: true, Servers: []engine.Listed{before.entry("s-1")}}}
			r := newRig(t, g, strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1), nil)
			c := r.dial(t)
			wait(t, "the old discovery's backend", func() bool {
				resp, _ := c.ask(view("x"))
				return resp.StatusCode == 200
			})
			wait(t, "an open watch", func() bool { return len(g.calls()) == 2 })
			cfg := r.cfg
			cfg.Discovery = h.addr
			h.next <- registryAnswer{status: 503} // the new one may fail at first
			h.next <- registryAnswer{200, engine.List{Version: 3, Full: true, Servers: []engine.Listed{after.entry("s-2")}}}
			r.reload(cfg)
			select {
			case <-g.left:
			case <-time.After(patience):
				t.Fatal("the old discovery's watch stays open")
			}
			wait(t, "the new discovery's backend", func() bool {
				resp, _ := c.ask(view("y"))
				return resp.StatusCode == 200 && len(after.requests()) > 0
			})
			wait(t, "a watch at the new one", func() bool { return len(h.calls()) == 3 })
			calls := h.calls()
			if calls[0] != "/v1/endpoints" || calls[1] != "/v1/endpoints" || !strings.Contains(calls[2], "since=3&") {
				t.Errorf("the new discovery was asked %q, want its whole list first and then a watch from there", calls)
			}
			if n := len(g.calls()); n != 2 {
				t.Errorf("the old discovery was asked %d times, want no call after the reload", n)
			}
			r.reload(cfg) // the same again changes nothing
			if n := len(h.calls()); n != 3 || len(h.left) != 0 {
				t.Errorf("an unchanged address: %d calls, %d given up", n, len(h.left))
			}
		})
	}
}

// Where discovery is asked, the policy says when: at the start, and again after a loss.
func TestAskMode(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	g := newRegistry(t)
	g.next <- registryAnswer{status: 503}
	g.next <- registryAnswer{200, engine.List{Version: 2, Full: true, Servers: []engine.Listed{b.entry("s-1")}}}
	r := newRig(t, g, strings.Replace(settingsJSON, `"push"`, `"ask"`, 1), nil)
	c := r.dial(t)
	wait(t, "the list after a loss", func() bool {
		resp, _ := c.ask(view("x"))
		return resp.StatusCode == 200
	})
}

func ready(t *testing.T, r *rig) int {
	t.Helper()
	c := r.dial(t)
	c.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, _ := c.answer()
	return resp.StatusCode
}

func TestReady(t *testing.T) {
	t.Parallel()
	g := newRegistry(t)
	b := newBox(t, served)
	r := newRig(t, g, settingsJSON, nil)
	if s := ready(t, r); s != 503 {
		t.Errorf("ready with no backend: %d", s)
	}
	g.next <- registryAnswer{200, engine.List{Version: 2, Full: true, Servers: []engine.Listed{b.entry("s-1")}}}
	wait(t, "readiness", func() bool { return ready(t, r) == 200 })
}

// After SIGTERM a node goes on serving the connections that it has, as long as answers can be there before it may be
// killed; then they end, and the node with them once all that was taken is answered. Ended at once, they would be
// missing until its successor is up.
func TestLeaving(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":1`)
	release, let := gate()
	defer let()
	b := newBox(t, firstHeld(release))
	r := newRig(t, newRegistry(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	c.send(quote("slow").text())
	wait(t, "the request at the backend", func() bool { return len(b.requests()) == 1 })
	late, silent := r.dial(t), r.dial(t)
	r.leave()
	wait(t, "the node's leaving", r.front.Leaving)
	if resp, body := late.ask(quote("late")); resp.StatusCode != 200 || body != "done late" || resp.Close {
		t.Errorf("a request after SIGTERM: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	wait(t, "the listener's end", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	if resp, body := late.ask(quote("later")); resp.StatusCode != 200 || body != "done later" || resp.Close {
		t.Errorf("a request on a connection that there is: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	let()
	if resp, body := c.answer(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request taken before: %d %q", resp.StatusCode, body)
	}
	for _, x := range []*client{late, silent} {
		if n, err := x.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection with no request after SIGTERM: %d bytes, %v; want it closed", n, err)
		}
	}
	select {
	case err := <-r.exited:
		if err != nil {
			t.Error(err)
		}
		r.exited <- err
	case <-time.After(patience):
		t.Fatal("the node does not end")
	}
}

// A request that comes while the node leaves waits no longer than until the node may be killed, however patient its
// client: it has an answer by then.
func TestWhatComesWhileLeavingIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":1`)
	release, let := gate()
	defer let()
	b := newBox(t, firstHeld(release))
	r := newRig(t, newRegistry(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	r.leave()
	wait(t, "the node's leaving", r.front.Leaving)
	if resp, _ := c.ask(quote("stuck")); resp.StatusCode != 500 || !resp.Close {
		t.Errorf("a request that no backend answers: %d, close %v; want 500 and a close", resp.StatusCode, resp.Close)
	}
	told, err := strconv.Atoi(strings.TrimSuffix(b.requests()[0].Header.Get("X-Deadline"), "u"))
	// PROTOCOL's kill, and 0.15 s for which the process may be held up when it is told to end, and again when it answers.
	if most := 1700*time.Millisecond - 2*150*time.Millisecond; err != nil || time.Duration(told)*time.Microsecond > most {
		t.Errorf("the backend was told to answer within %d us, %v; the node is to have answered after %v", told, err, most)
	}
}

// A request that goes on coming when a node has to have answered all is not waited for: were it whole just before the kill, it
// would be taken and not answered.
func TestRequestThatGoesOnComingWhileLeaving(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":0.4`)
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	r.leave()
	wait(t, "the node's leaving", r.front.Leaving)
	text := quote("half").text()
	c.send(text[:len(text)-1])
	if resp, body := c.answer(); resp.StatusCode != 503 || !resp.Close || !strings.Contains(body, "ends") {
		t.Errorf("a request without its last byte: %d %q, close %v; want it refused, as the node ends", resp.StatusCode, body, resp.Close)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d requests reached the backend", n)
	}
}

// At the limit on descriptors idle connections make room; where none is idle, new ones are refused, and
// nothing is left hanging in accept.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") {
			<-release
		}
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	idle := r.dial(t)
	if resp, _ := idle.ask(view("x")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for range 100 {
		r.dial(t) // says nothing
	}
	if resp, _ := r.dial(t).ask(view("y")); resp.StatusCode != 200 {
		t.Errorf("behind a hundred idle connections: %d", resp.StatusCode)
	}
	var busy []*client
	for i := range 24 { // as many as there are descriptors for backends
		c := r.dial(t)
		c.send(quote(fmt.Sprint("slow-", i)).text())
		busy = append(busy, c)
	}
	wait(t, "the requests at the backend", func() bool { return len(b.requests()) >= 2+len(busy)-1 })
	for i := range 8 {
		c := r.dial(t)
		c.send(quote(fmt.Sprint("slower-", i)).text()) // no descriptor for these: refused, as they never ran
		busy = append(busy, c)
	}
	let()
	for _, c := range busy {
		if resp, _ := c.answer(); resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
}

// A node that reads what came long ago is behind: it refuses at once, with a time to come back, sends nothing on, and serves
// again when what comes is read as it comes.
func TestABehindNodeRefuses(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	var late atomic.Int64
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		c.waited = func(net.Conn) time.Duration { return time.Duration(late.Load()) }
	}, b.entry("s-1"))
	c := r.dial(t)
	late.Store(int64(20 * time.Second)) // one request counts for a tenth at the least: 2 s, and all go from 0.3 s on
	if resp, _ := c.ask(save("a")); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || len(b.requests()) != 0 {
		t.Errorf("behind: %d, Retry-After %q, %d at the box", resp.StatusCode, resp.Header.Get("Retry-After"), len(b.requests()))
	}
	late.Store(0)
	wait(t, "service", func() bool {
		resp, _ := c.ask(save("b"))
		return resp.StatusCode == 200
	})
}

// With a request in hand on every connection a new one's is refused and told to close: it never ran.
func TestNoRoomForAConnection(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		<-release
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.Sockets, c.backendQuota = 64, quotaFor(100) }, b.entry("s-1"))
	var open []*client
	for i := range 29 { // what clients may hold while boxes hold nothing
		c := r.dial(t)
		c.send(quote(fmt.Sprint("slow-", i)).text())
		open = append(open, c)
	}
	wait(t, "the requests at the backend", func() bool { return len(b.requests()) == len(open) })
	if resp, _ := r.dial(t).ask(quote("more")); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("one more: %d, close %v", resp.StatusCode, resp.Close)
	}
	let()
	for _, c := range open {
		if resp, _ := c.answer(); resp.StatusCode != 200 {
			t.Errorf("a request from before: %d", resp.StatusCode)
		}
	}
}

// At the limit a new connection, whose request is on its way, stays when the next one comes: it used to go before
// those that clients had used and kept, so that new clients cut one another off and none was served.
func TestNewConnectionsSpareOneAnother(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	for i := range 32 {
		if resp, _ := r.dial(t).ask(view(fmt.Sprint("kept-", i))); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	var fresh []*client
	for range 8 {
		fresh = append(fresh, r.dial(t))
	}
	for i, c := range fresh {
		if resp, _ := c.ask(view(fmt.Sprint("new-", i))); resp.StatusCode != 200 {
			t.Errorf("new connection %d: %d", i, resp.StatusCode)
		}
	}
}

// Clients that ask once and keep their connection for good used to hold all that clients may hold for requests, and no
// other request reached the node. The longest idle are closed while a quarter of that room is left.
func TestKeptConnectionsLeaveRoomForRequests(t *testing.T) {
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.Sockets = 96 }, b.entry("s-1")) // clients hold 32 for requests
	var all []*client
	for i := range 30 {
		c := r.dial(t)
		if resp, _ := c.ask(view(fmt.Sprint("v-", i))); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("request %d: %d, close %v", i, resp.StatusCode, resp.Close)
		}
		all = append(all, c)
	}
	for i, c := range all {
		if i < 6 { // 24 stay
			if _, err := c.in.ReadByte(); err != io.EOF {
				t.Errorf("connection %d: %v, want its end", i, err)
			}
		} else if resp, _ := c.ask(view(fmt.Sprint("w-", i))); resp.StatusCode != 200 {
			t.Errorf("connection %d: %d", i, resp.StatusCode)
		}
	}
}

// Connections that say nothing come by hundreds. They make room for one another: one that a client has used, and
// will use again, stays.
func TestSilentConnectionsMakeRoomFirst(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	used := r.dial(t)
	for i := range 5 {
		if resp, _ := used.ask(view(fmt.Sprint("u-", i))); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
		for range 20 {
			r.dial(t)
		}
		time.Sleep(400 * time.Millisecond)
		if resp, _ := r.dial(t).ask(view(fmt.Sprint("n-", i))); resp.StatusCode != 200 {
			t.Errorf("a new connection among silent ones: %d", resp.StatusCode)
		}
	}
}

// A machine that was cut off leaves connections behind that look sound. Kept, each swallows a request.
func TestConnectionsOfASilentBackendAreNotTrusted(t *testing.T) {
	t.Parallel()
	const kept = 8
	var silent atomic.Bool
	all := make(chan struct{})
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if silent.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		if nth == kept {
			close(all)
		}
		<-all // so that each of the first has a connection of its own
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	run := func(wait time.Duration) policy.Outcome {
		return r.attempt(context.Background(), be, quote("q"), wait)
	}
	var wg sync.WaitGroup
	for range kept {
		wg.Go(func() {
			if o := run(patience); o != policy.OK {
				t.Errorf("outcome %d", o)
			}
		})
	}
	wg.Wait()
	silent.Store(true)
	if o := run(200 * time.Millisecond); o != policy.TimedOut {
		t.Fatalf("outcome %d of a silent backend", o)
	}
	for range kept - 1 { // the attempt's own connection is closed in any case
		select {
		case <-b.ended:
		case <-time.After(patience):
			t.Fatal("connections from before the silence are kept")
		}
	}
	silent.Store(false)
	if o := run(patience); o != policy.OK {
		t.Errorf("outcome %d on a new connection", o)
	}
}

// One connection that is reset at once tells nothing of the others to that backend: closed with it, each costs a
// handshake more.
func TestAResetLeavesOtherConnections(t *testing.T) {
	t.Parallel()
	both := make(chan struct{})
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 2 {
			close(both)
		}
		<-both // so that each of the first two has a connection of its own
		return r.Header.Get("X-Request-Id") != "reset" && served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	one, two := r.dial(t), r.dial(t)
	one.send(quote("one").text())
	two.send(quote("two").text())
	for _, c := range []*client{one, two} {
		if resp, _ := c.answer(); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if resp, _ := one.ask(quote("reset")); resp.StatusCode != 500 {
		t.Errorf("answered %d on a reset", resp.StatusCode)
	}
	if resp, _ := one.ask(quote("next")); resp.StatusCode != 200 || b.connections() != 2 {
		t.Errorf("answered %d on connection %d, want one of the first two", resp.StatusCode, b.connections())
	}
}

// A box gives up connections that have rested for two seconds, where sixty are told. Requests that were written to such
// ones ended as resets, half of all on some days, and a quote that met one failed. What may be repeated finds it out;
// what may not goes on a new connection.
func TestLearnsWhenABoxGivesUpConnections(t *testing.T) {
	t.Parallel()
	var stale atomic.Bool
	b := newBox(t, nil)
	var seen sync.Map
	b.answer = func(c net.Conn, r *http.Request, nth int) bool {
		_, again := seen.LoadOrStore(c, true)
		return !(again && stale.Load()) && served(c, r, nth)
	}
	var rested atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(rested.Load())) }
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.now = now }, b.entry("s-1"))
	c := r.dial(t)
	rest := func() { rested.Add(int64(2 * time.Second)) }
	stale.Store(true)
	for i := range 4 {
		c.ask(view(fmt.Sprint("v-", i)))
		rest()
		if resp, _ := c.ask(quote(fmt.Sprint("q-", i))); resp.StatusCode != 200 {
			t.Errorf("quote %d: %d", i, resp.StatusCode)
		}
		rest()
		c.ask(view(fmt.Sprint("w-", i))) // finds out
	}
	before := len(b.requests())
	for i := range 5 {
		rest()
		if resp, _ := c.ask(view(fmt.Sprint("x-", i))); resp.StatusCode != 200 {
			t.Errorf("view %d: %d", i, resp.StatusCode)
		}
	}
	if n := len(b.requests()) - before; n != 5 {
		t.Errorf("five requests took %d attempts: old connections are still tried", n)
	}
}

// A list that comes empty by mistake costs neither the backends' connections nor what is known of them.
func TestEmptyListIsOutlived(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	g := newRegistry(t)
	r := newRig(t, g, settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.ask(view("x"))
	g.next <- registryAnswer{200, engine.List{Version: 2, Full: true}}
	g.next <- registryAnswer{200, engine.List{Version: 3, Full: true, Servers: []engine.Listed{b.entry("s-1")}}}
	g.next <- registryAnswer{200, engine.List{Version: 3, Full: true, Servers: []engine.Listed{b.entry("s-1")}}}
	wait(t, "both lists", func() bool {
		return r.engine.Version() == 3
	})
	if resp, _ := c.ask(view("y")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if n := r.numbered("s-1"); n != 1 || b.connections() != 1 {
		t.Errorf("backend number %d with %d connections, want those from before", n, b.connections())
	}
}

// A machine that is cut off says nothing when it is dialled. The settings bound that wait, far below the
// client's, and nothing can have run.
func TestConnectTimeout(t *testing.T) {
	t.Parallel()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 10 { // until the backlog is full and the kernel answers no more
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"connect_timeout_s":5`, `"connect_timeout_s":0.2`, 1), nil,
		engine.Listed{ID: "s-1", Addr: addr, State: "Ready"})
	if resp, _ := r.dial(t).ask(quote("q")); resp.StatusCode != 503 {
		t.Errorf("answered %d, want a refusal", resp.StatusCode)
	}
}

// What is not a backend's doing must not be held against it: with no descriptor left, or once nobody waits,
// an attempt that found no connection is no failure to connect.
func TestOwnTroubleIsNotTheBackends(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	none := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.backendQuota = quotaFor(0) })
	if o := none.attempt(ctx, be, quote("q"), patience); o != policy.NeverSent {
		t.Errorf("with no descriptor: outcome %d, want it never sent", o)
	}
	r := newRig(t, newRegistry(t), settingsJSON, nil)
	cancel()
	if o := r.attempt(ctx, &engine.Backend{ID: "s-1", Addr: be.Addr}, quote("q"), patience); o != policy.Canceled {
		t.Errorf("given up before it was sent: outcome %d, want cancelled", o)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the backend got %d requests", n)
	}
}

// A request written to a connection that its backend has just closed as idle ends as a reset.
func TestIdleConnectionsAreRetired(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"conn_idle_s":60`, `"conn_idle_s":0.3`, 1), nil, b.entry("s-1"))
	if resp, _ := r.dial(t).ask(view("x")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	select {
	case <-b.ended:
	case <-time.After(patience):
		t.Error("the node keeps a connection that the backend is about to close")
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	t.Parallel()
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},"settings":` +
		settingsJSON + `}`
	env := map[string]string{}
	load := func(text string) (Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env["GW_CONFIG"] = path
		return Load(func(name string) string { return env[name] })
	}
	env["GW_NAME"] = "n7"
	cfg, err := load(good)
	if err != nil || cfg.Name != "n7" || cfg.Sockets != 1024 || cfg.Settings.ConnIdle != time.Minute {
		t.Fatalf("a good file: %+v, %v", cfg, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"127.0.0.1:0"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:1"`, `""`, "discovery"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":"x"`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"known":{"version":1,"full":true,"servers":[]}`, `"known":{"servers":[{"id":"s"}]}`, "known.servers[0]"},
		{`"balancers":1`, `"balancers":0`, "Nodes"},
		{`"effect":"free"`, `"effect":"odd"`, "grades"},
		{`"settings":`, `"other":`, "settings"},
		{`"conn_idle_s":60`, `"conn_idle_s":-1`, "conn_idle_s"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("%s is not in the file", c.old)
		}
		_, err := load(strings.Replace(good, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", c.new, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("no file: %v", err)
	}
}
