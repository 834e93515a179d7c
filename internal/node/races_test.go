package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"craneglade/internal/engine"
)

// Races in which a request, a response, a client's close or a signal arrives between two steps of the node. Each test forces the order that
// fails: a scripted peer or a hook blocks one side at its step. docs/design/races.md lists them.

// dialAfter returns a dialFunc that calls before with the number of the connection, from 1, before it opens it.
func dialAfter(before func(nth int32)) dialFunc {
	var n atomic.Int32
	return func(_ context.Context, addr string) (net.Conn, error) {
		before(n.Add(1))
		return net.Dial("tcp", addr)
	}
}

// A retry that was decided within the repeat window, but whose connection opens after it, is not written: backends may have forgotten the
// key of the first attempt by then.
func TestRetryIsNotWrittenAfterItsWindow(t *testing.T) {
	t.Parallel()
	const window = 300 * time.Millisecond
	reset := func(_ net.Conn, _ *http.Request, _ int) bool { return false }
	for _, c := range []struct {
		name string
		set  [2]string // old and new text in the settings
		call testRequest
		want int // status
		sent int
	}{
		{"keyed", [2]string{`"repeat_window_s":30`, `"repeat_window_s":0.3`}, save("s"), 500, 1},
		{"safe, which has no repeat window", [2]string{`"group":"all"},`, `"group":"all","repeat_window_s":0.3},`}, view("v"), 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var first atomic.Bool
			respond := func(conn net.Conn, r *http.Request, nth int) bool {
				if first.CompareAndSwap(false, true) {
					return reset(conn, r, nth)
				}
				return respondOK(conn, r, nth)
			}
			a, b := newStubBackend(t, respond), newStubBackend(t, respond)
			r := startNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, c.set[0], c.set[1], 1), func(cfg *Config) {
				cfg.dial = dialAfter(func(nth int32) {
					if nth > 1 {
						<-time.After(window) // from a decision after the first attempt was sent
					}
				})
			}, a.entry("s-1"), b.entry("s-2"))
			if resp, _ := r.dial(t).roundTrip(c.call); resp.StatusCode != c.want {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.want)
			}
			if n := len(a.requests()) + len(b.requests()); n != c.sent {
				t.Errorf("%d attempts reached backends, want %d", n, c.sent)
			}
		})
	}
}

// If the client disconnects while the connection to the backend opens, the request is not written, even if attempts may not be cancelled.
func TestClientDisconnectsDuringSlowDial(t *testing.T) {
	t.Parallel()
	for _, cancel := range []string{"true", "false"} {
		t.Run("cancel "+cancel, func(t *testing.T) {
			t.Parallel()
			dialing, markDialing := gate()
			release, unblock := gate()
			defer unblock()
			b := newStubBackend(t, respondOK)
			r := startNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"cancel":true`, `"cancel":`+cancel, 1), func(cfg *Config) {
				cfg.dial = dialAfter(func(int32) { markDialing(); <-release })
			}, b.entry("s-1"))
			c := r.dial(t)
			c.send(quote("q").text())
			<-dialing
			c.disconnect()
			unblock()
			wait(t, "the end of the attempt", func() bool { return r.engine.OpenRequests() == 0 })
			if n := len(b.requests()); n != 0 {
				t.Errorf("the backend got %d requests, want none", n)
			}
		})
	}
}

// disconnect closes the client's side of the connection, and returns once the node has closed its own.
func (c *client) disconnect() {
	c.t.Helper()
	c.Conn.(*net.TCPConn).CloseWrite()
	if n, err := io.Copy(io.Discard, c.Conn); err != nil || n > 0 {
		c.t.Fatalf("after a client's close: %d bytes, %v, want the node's close", n, err)
	}
}

// A second response that arrives some milliseconds after the first is detected before the connection is used again. If the next request
// were written first, it would be taken for the response to that.
func TestLateSecondResponseIsDetected(t *testing.T) {
	t.Parallel()
	const late = 6 * time.Millisecond
	var mu sync.Mutex
	clock := time.Now()
	var first net.Conn // connection for the second response
	var due time.Time
	sendLate := func() { // called with mu locked
		if first != nil && !clock.Before(due) {
			writeResponse(first, 200, "", "stray")
			first = nil
		}
	}
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		mu.Lock()
		defer mu.Unlock()
		if nth > 1 {
			clock = clock.Add(late) // the late response arrives while this request is processed
			sendLate()
			return respondOK(c, r, nth)
		}
		first, due = c, clock.Add(late)
		return respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(cfg *Config) {
		cfg.now = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return clock
		}
		cfg.sleep = func(_ context.Context, d time.Duration) bool {
			mu.Lock()
			defer mu.Unlock()
			clock = clock.Add(d)
			sendLate()
			return true
		}
	}, b.entry("s-1"))
	c := r.dial(t)
	for _, id := range []string{"first", "second"} {
		if resp, body := c.roundTrip(quote(id)); resp.StatusCode != 200 || body != "done "+id {
			t.Errorf("%s: answered %d %q", id, resp.StatusCode, body)
		}
	}
}

// X-Deadline at the backend excludes the time that opening the connection took, as the node does not wait longer.
func TestDeadlineHeaderExcludesDialTime(t *testing.T) {
	t.Parallel()
	const dialTime = 300 * time.Millisecond
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(cfg *Config) {
		cfg.dial = dialAfter(func(int32) { <-time.After(dialTime) })
	}, b.entry("s-1"))
	if resp, _ := r.dial(t).roundTrip(quote("q")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	announced, err := strconv.Atoi(strings.TrimSuffix(b.requests()[0].Header.Get("X-Deadline"), "u"))
	if maxWait := 50*time.Second - dialTime; err != nil || time.Duration(announced)*time.Microsecond > maxWait {
		t.Errorf("X-Deadline at the backend: %d us, %v; want at most %v", announced, err, maxWait)
	}
}

// X-Deadline at the backend excludes the time that a request waited for a connection that was used a moment ago.
func TestDeadlineExcludesIdleWait(t *testing.T) {
	t.Parallel()
	const idleWait = 300 * time.Millisecond
	b := newStubBackend(t, respondOK)
	frozen := time.Now()
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(cfg *Config) {
		cfg.now = func() time.Time { return frozen } // the clock never ends an idle wait
		cfg.sleep = func(context.Context, time.Duration) bool {
			<-time.After(idleWait)
			return true
		}
	}, b.entry("s-1"))
	c := r.dial(t)
	for _, id := range []string{"first", "second"} {
		if resp, _ := c.roundTrip(quote(id)); resp.StatusCode != 200 {
			t.Fatalf("%s: answered %d", id, resp.StatusCode)
		}
	}
	if n := b.connections(); n != 1 {
		t.Fatalf("%d connections, want 1: the second request did not wait for the first connection", n)
	}
	announced, err := strconv.Atoi(strings.TrimSuffix(b.requests()[1].Header.Get("X-Deadline"), "u"))
	if maxWait := 50*time.Second - idleWait; err != nil || time.Duration(announced)*time.Microsecond > maxWait {
		t.Errorf("X-Deadline at the backend: %d us, %v; want at most %v", announced, err, maxWait)
	}
}

// A response without a length ends with the close of its connection. After a reset it is incomplete and is not forwarded.
func TestResponseWithoutLength(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		end        func(c *net.TCPConn)
		want       int
	}{
		{"ended", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it", func(c *net.TCPConn) { c.Close() }, 200},
		{"reset", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 500},
		{"reset before its body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 500},
		{"partial status line", "HTTP/1.1 20", func(c *net.TCPConn) { c.Close() }, 500},
		{"partial head", "HTTP/1.1 200 OK\r\nConnection: cl", func(c *net.TCPConn) { c.Close() }, 500},
		{"no Connection: close", "HTTP/1.1 200 OK\r\n\r\na part", func(c *net.TCPConn) { c.Close() }, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newStubBackend(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.text)
				c.end(conn.(*net.TCPConn))
				return false
			})
			r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
			resp, body := r.dial(t).roundTrip(quote("q"))
			if resp.StatusCode != c.want || c.want == 200 && body != "all of it" {
				t.Errorf("answered %d %q, want %d", resp.StatusCode, body, c.want)
			}
			if n := len(b.requests()); n != 1 {
				t.Errorf("the backend got %d requests, want 1", n)
			}
		})
	}
}

// A request does not wait for a connection that was used a moment ago if that wait is long relative to the latency target of a class.
func TestIdleWaitIsBounded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		target string
		conns  int
	}{{"30", 1}, {"0.1", 2}} {
		b := newStubBackend(t, respondOK)
		frozen := time.Now()
		r := startNode(t, newStubDiscovery(t), strings.ReplaceAll(settingsJSON, `"aim_s":30`, `"aim_s":`+c.target), func(cfg *Config) {
			cfg.now = func() time.Time { return frozen } // the clock never ends an idle wait
			cfg.sleep = func(context.Context, time.Duration) bool { return true }
		}, b.entry("s-1"))
		cl := r.dial(t)
		for i := range 2 {
			if resp, _ := cl.roundTrip(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
				t.Fatalf("answered %d", resp.StatusCode)
			}
		}
		if n := b.connections(); n != c.conns {
			t.Errorf("latency target %s s: %d connections, want %d", c.target, n, c.conns)
		}
	}
}

// X-Deadline of a retry is at most the time that remains to the client, however long the attempts before took.
func TestRetryDeadline(t *testing.T) {
	t.Parallel()
	const delay = 300 * time.Millisecond // of the first attempt
	var first, started, reset atomic.Int64
	respond := func(conn net.Conn, r *http.Request, nth int) bool {
		if !first.CompareAndSwap(0, 1) {
			return respondOK(conn, r, nth)
		}
		started.Store(time.Now().UnixNano())
		<-time.After(delay)
		reset.Store(time.Now().UnixNano())
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	a, b := newStubBackend(t, respond), newStubBackend(t, respond)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, a.entry("s-1"), b.entry("s-2"))
	request := save("s")
	request.deadline = "20000m"
	if resp, _ := r.dial(t).roundTrip(request); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	got := append(a.requests(), b.requests()...)
	if len(got) != 2 {
		t.Fatalf("%d attempts, want 2", len(got))
	}
	shortest := testTimeout
	for _, attempt := range got {
		announced, err := strconv.Atoi(strings.TrimSuffix(attempt.Header.Get("X-Deadline"), "u"))
		if err != nil {
			t.Fatal(err)
		}
		shortest = min(shortest, time.Duration(announced)*time.Microsecond)
	}
	if maxWait := 20*time.Second - time.Duration(reset.Load()-started.Load()); shortest > maxWait {
		t.Errorf("X-Deadline of the retry: %v, and the client waits for %v", shortest, maxWait)
	}
}

// A backend accepts a connection and dies before or after the last byte of a request. Once the last byte is sent it may have run, so a
// request that must not run twice is not retried. The client gets exactly one response.
func TestBackendKilledAfterAccept(t *testing.T) {
	t.Parallel()
	dead := newStubBackend(t, respondOK)
	killed := acceptConns(t, &dead.mu, &dead.conns, func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close() // the kernel had accepted it: the node may or may not have written by now
	})
	alive := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil,
		engine.ListedBackend{ID: "s-1", Addr: killed.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}, alive.entry("s-2"))
	served := map[string]bool{}
	for i := range 40 {
		id := fmt.Sprint("q", i)
		resp, body := r.dial(t).roundTrip(quote(id))
		switch {
		case resp.StatusCode == 200 && body == "done "+id:
			served[id] = true
		case resp.StatusCode != 500 && resp.StatusCode != 503:
			t.Errorf("%s: answered %d %q", id, resp.StatusCode, body)
		}
	}
	seen := map[string]int{}
	for _, request := range alive.requests() {
		seen[request.Header.Get("X-Request-Id")]++
	}
	for id, n := range seen {
		if n != 1 || !served[id] {
			t.Errorf("%s: %d times at the other backend, served %v; want 1 and true", id, n, served[id])
		}
	}
	if len(served) == 0 {
		t.Error("no request was served")
	}
}
