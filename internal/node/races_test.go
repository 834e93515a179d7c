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

// Moments in which a request, an answer, a client's close or a signal comes between two steps of the node. Each test makes the bad
// order happen every time: a scripted peer or a seam holds one side at its line. docs/design/races.md lists the places.

// dialThen opens connections, the nth one (from 1) after hold has returned.
func dialThen(hold func(nth int32)) dial {
	var n atomic.Int32
	return func(_ context.Context, addr string) (net.Conn, error) {
		hold(n.Add(1))
		return net.Dial("tcp", addr)
	}
}

// A repeat that was decided inside its window, and whose connection comes up when that is over, is not written: backends may have
// forgotten the first by then.
func TestRepeatWhoseConnectionComesUpAfterItsWindow(t *testing.T) {
	t.Parallel()
	const window = 300 * time.Millisecond
	lost := func(_ net.Conn, _ *http.Request, _ int) bool { return false }
	for _, c := range []struct {
		name string
		set  [2]string // in the settings
		call call
		want int // status
		sent int
	}{
		{"keyed", [2]string{`"repeat_window_s":30`, `"repeat_window_s":0.3`}, save("s"), 500, 1},
		{"safe, which no window binds", [2]string{`"group":"all"},`, `"group":"all","repeat_window_s":0.3},`}, view("v"), 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var first atomic.Bool
			answer := func(conn net.Conn, r *http.Request, nth int) bool {
				if first.CompareAndSwap(false, true) {
					return lost(conn, r, nth)
				}
				return served(conn, r, nth)
			}
			a, b := newBox(t, answer), newBox(t, answer)
			r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, c.set[0], c.set[1], 1), func(cfg *Config) {
				cfg.dial = dialThen(func(nth int32) {
					if nth > 1 {
						<-time.After(window) // counted from a decision that came after the first send
					}
				})
			}, a.entry("s-1"), b.entry("s-2"))
			if resp, _ := r.dial(t).ask(c.call); resp.StatusCode != c.want {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.want)
			}
			if n := len(a.requests()) + len(b.requests()); n != c.sent {
				t.Errorf("%d attempts reached backends, want %d", n, c.sent)
			}
		})
	}
}

// Where attempts may not be called off, one whose client has left while its connection was on its way is not written all the same.
func TestClientGoneDuringASlowDial(t *testing.T) {
	t.Parallel()
	for _, cancel := range []string{"true", "false"} {
		t.Run("cancel "+cancel, func(t *testing.T) {
			t.Parallel()
			dialing, dialed := gate()
			release, let := gate()
			defer let()
			b := newBox(t, served)
			r := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"cancel":true`, `"cancel":`+cancel, 1), func(cfg *Config) {
				cfg.dial = dialThen(func(int32) { dialed(); <-release })
			}, b.entry("s-1"))
			c := r.dial(t)
			c.send(quote("q").text())
			<-dialing
			c.leave()
			let()
			wait(t, "the end of the attempt", func() bool { return r.engine.OpenRequests() == 0 })
			if n := len(b.requests()); n != 0 {
				t.Errorf("the backend got %d requests, want none", n)
			}
		})
	}
}

// leave closes the client's side, and returns once the node has closed its own.
func (c *client) leave() {
	c.t.Helper()
	c.Conn.(*net.TCPConn).CloseWrite()
	if n, err := io.Copy(io.Discard, c.Conn); err != nil || n > 0 {
		c.t.Fatalf("after a client's close: %d bytes, %v, want the node's close", n, err)
	}
}

// A second answer that comes some milliseconds behind the first is there before the connection is used again: written behind the next
// request, it would pass for its answer.
func TestSecondAnswerThatComesLate(t *testing.T) {
	t.Parallel()
	const late = 6 * time.Millisecond
	var mu sync.Mutex
	clock := time.Now()
	var first net.Conn // that the second answer is to come on
	var due time.Time
	stray := func() { // the clock's lock is held
		if first != nil && !clock.Before(due) {
			reply(first, 200, "", "stray")
			first = nil
		}
	}
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		mu.Lock()
		defer mu.Unlock()
		if nth > 1 {
			clock = clock.Add(late) // it works on this one while the late answer comes
			stray()
			return served(c, r, nth)
		}
		first, due = c, clock.Add(late)
		return served(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
		cfg.now = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return clock
		}
		cfg.pause = func(_ context.Context, d time.Duration) bool {
			mu.Lock()
			defer mu.Unlock()
			clock = clock.Add(d)
			stray()
			return true
		}
	}, b.entry("s-1"))
	c := r.dial(t)
	for _, id := range []string{"first", "second"} {
		if resp, body := c.ask(quote(id)); resp.StatusCode != 200 || body != "done "+id {
			t.Errorf("%s: answered %d %q", id, resp.StatusCode, body)
		}
	}
}

// What a connection's opening took is off what the backend is told: its node waits no longer.
func TestDeadlineTellsWhatASlowDialHasLeft(t *testing.T) {
	t.Parallel()
	const slow = 300 * time.Millisecond
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
		cfg.dial = dialThen(func(int32) { <-time.After(slow) })
	}, b.entry("s-1"))
	if resp, _ := r.dial(t).ask(quote("q")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	told, err := strconv.Atoi(strings.TrimSuffix(b.requests()[0].Header.Get("X-Deadline"), "u"))
	if most := 50*time.Second - slow; err != nil || time.Duration(told)*time.Microsecond > most {
		t.Errorf("the backend was told %d us, %v; want less than %v", told, err, most)
	}
}

// What a request waited for a connection's rest is off what the backend is told.
func TestDeadlineTellsWhatARestHasLeft(t *testing.T) {
	t.Parallel()
	const rest = 300 * time.Millisecond
	b := newBox(t, served)
	stands := time.Now()
	r := newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
		cfg.now = func() time.Time { return stands } // no rest is ever over
		cfg.pause = func(context.Context, time.Duration) bool {
			<-time.After(rest)
			return true
		}
	}, b.entry("s-1"))
	c := r.dial(t)
	for _, id := range []string{"first", "second"} {
		if resp, _ := c.ask(quote(id)); resp.StatusCode != 200 {
			t.Fatalf("%s: answered %d", id, resp.StatusCode)
		}
	}
	if n := b.connections(); n != 1 {
		t.Fatalf("%d connections: the second request did not wait for one to rest", n)
	}
	told, err := strconv.Atoi(strings.TrimSuffix(b.requests()[1].Header.Get("X-Deadline"), "u"))
	if most := 50*time.Second - rest; err != nil || time.Duration(told)*time.Microsecond > most {
		t.Errorf("the backend was told %d us, %v; want less than %v", told, err, most)
	}
}

// An answer without a length ends with its connection, and a reset is no end: what came before it is served to nobody.
func TestAnswerWithoutLength(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		end        func(c *net.TCPConn)
		want       int
	}{
		{"ended", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it", func(c *net.TCPConn) { c.Close() }, 200},
		{"reset", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 500},
		{"reset before its body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 500},
		{"half a line", "HTTP/1.1 20", func(c *net.TCPConn) { c.Close() }, 500},
		{"half a head", "HTTP/1.1 200 OK\r\nConnection: cl", func(c *net.TCPConn) { c.Close() }, 500},
		{"not said to end", "HTTP/1.1 200 OK\r\n\r\na part", func(c *net.TCPConn) { c.Close() }, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.text)
				c.end(conn.(*net.TCPConn))
				return false
			})
			r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
			resp, body := r.dial(t).ask(quote("q"))
			if resp.StatusCode != c.want || c.want == 200 && body != "all of it" {
				t.Errorf("answered %d %q, want %d", resp.StatusCode, body, c.want)
			}
			if n := len(b.requests()); n != 1 {
				t.Errorf("the backend got %d requests, want 1", n)
			}
		})
	}
}

// Where a connection's rest is long beside what a class aims at, a request does not wait for it.
func TestRestIsWaitedForOnlyIfShort(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		aim   string
		conns int
	}{{"30", 1}, {"0.1", 2}} {
		b := newBox(t, served)
		stands := time.Now()
		r := newRig(t, newRegistry(t), strings.ReplaceAll(settingsJSON, `"aim_s":30`, `"aim_s":`+c.aim), func(cfg *Config) {
			cfg.now = func() time.Time { return stands } // no rest is ever over
			cfg.pause = func(context.Context, time.Duration) bool { return true }
		}, b.entry("s-1"))
		cl := r.dial(t)
		for i := range 2 {
			if resp, _ := cl.ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
				t.Fatalf("answered %d", resp.StatusCode)
			}
		}
		if n := b.connections(); n != c.conns {
			t.Errorf("aim %s s: %d connections, want %d", c.aim, n, c.conns)
		}
	}
}

// A further attempt tells its backend what is left to the client at the most, however long the ones before it took.
func TestFurtherAttemptTellsWhatIsLeft(t *testing.T) {
	t.Parallel()
	const held = 300 * time.Millisecond // by the first attempt
	var first, begun, broke atomic.Int64
	answer := func(conn net.Conn, r *http.Request, nth int) bool {
		if !first.CompareAndSwap(0, 1) {
			return served(conn, r, nth)
		}
		begun.Store(time.Now().UnixNano())
		<-time.After(held)
		broke.Store(time.Now().UnixNano())
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	a, b := newBox(t, answer), newBox(t, answer)
	r := newRig(t, newRegistry(t), settingsJSON, nil, a.entry("s-1"), b.entry("s-2"))
	request := save("s")
	request.deadline = "20000m"
	if resp, _ := r.dial(t).ask(request); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	got := append(a.requests(), b.requests()...)
	if len(got) != 2 {
		t.Fatalf("%d attempts, want 2", len(got))
	}
	least := patience
	for _, attempt := range got {
		told, err := strconv.Atoi(strings.TrimSuffix(attempt.Header.Get("X-Deadline"), "u"))
		if err != nil {
			t.Fatal(err)
		}
		least = min(least, time.Duration(told)*time.Microsecond)
	}
	if most := 20*time.Second - time.Duration(broke.Load()-begun.Load()); least > most {
		t.Errorf("the further attempt told %v, and the client waits for %v", least, most)
	}
}

// A backend that accepts a connection and dies, before or behind the last byte of a request, may have run it once the last byte is out: what
// must not run twice is not sent again. The client gets its one answer.
func TestBackendKilledBehindItsAccept(t *testing.T) {
	t.Parallel()
	dead := newBox(t, served)
	killed := accept(t, &dead.mu, &dead.conns, func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close() // the system had accepted it: the node may or may not have written by now
	})
	lives := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil,
		engine.ListedBackend{ID: "s-1", Addr: killed.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}, lives.entry("s-2"))
	served := map[string]bool{}
	for i := range 40 {
		id := fmt.Sprint("q", i)
		resp, body := r.dial(t).ask(quote(id))
		switch {
		case resp.StatusCode == 200 && body == "done "+id:
			served[id] = true
		case resp.StatusCode != 500 && resp.StatusCode != 503:
			t.Errorf("%s: answered %d %q", id, resp.StatusCode, body)
		}
	}
	seen := map[string]int{}
	for _, request := range lives.requests() {
		seen[request.Header.Get("X-Request-Id")]++
	}
	for id, n := range seen {
		if n != 1 || !served[id] {
			t.Errorf("%s: %d times at the backend that lives, served %v; want once and served", id, n, served[id])
		}
	}
	if len(served) == 0 {
		t.Error("nothing was served")
	}
}
