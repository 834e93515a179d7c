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

func TestResponseIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
		return writeResponse(c, 200, "Content-Type: text/x-quote\r\nX-Load: {\"inflight\":7,\"queue\":2}\r\n", "a\x00b")
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	for i := range 5 {
		resp, body := c.roundTrip(save(fmt.Sprint("id-", i)))
		if resp.StatusCode != 200 || body != "a\x00b" || resp.Header.Get("Content-Type") != "text/x-quote" {
			t.Fatalf("response %d: %v %q", i, resp, body)
		}
	}
	got := b.requests()[0]
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/api?key=7f" || string(body) != "a window" ||
		got.Header.Get("X-Request-Id") != "id-0" || got.Header.Get("Idempotency-Key") != "k-id-0" {
		t.Errorf("the backend got %+v with body %q", got, body)
	}
	remaining, err := strconv.Atoi(strings.TrimSuffix(got.Header.Get("X-Deadline"), "u"))
	if err != nil || remaining <= 0 || remaining >= 50_000_000 {
		t.Errorf("X-Deadline at the backend: %q, want less than the client's 50 s", got.Header.Get("X-Deadline"))
	}
	// A handshake costs the backend part of the work of a request, so the connection must be reused.
	if n := b.connections(); n != 1 {
		t.Errorf("%d connections for 5 requests in a row, want 1", n)
	}
}

// blockFirst returns a handler that answers the first request only after release is closed, and all others at once.
func blockFirst(release chan struct{}) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 1 {
			<-release
		}
		return respondOK(c, r, nth)
	}
}

// While a request is open, another one with the same id is rejected and does not disturb the first. The id can be used again
// afterwards.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	t.Parallel()
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, blockFirst(release))
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	first, second := r.dial(t), r.dial(t)
	first.send(save("twin").text())
	wait(t, "the first request at the backend", func() bool { return len(b.requests()) == 1 })
	if resp, _ := second.roundTrip(save("twin")); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("second: %d, close %v", resp.StatusCode, resp.Close)
	}
	unblock()
	if resp, body := first.readResponse(); resp.StatusCode != 200 || body != "done twin" {
		t.Errorf("first: %d %q", resp.StatusCode, body)
	}
	if n := len(b.requests()); n != 1 {
		t.Errorf("the backend got %d requests, want 1", n)
	}
	wait(t, "no open requests", func() bool {
		return r.engine.OpenRequests() == 0
	})
	if resp, _ := r.dial(t).roundTrip(save("twin")); resp.StatusCode != 200 {
		t.Errorf("the same id afterwards: %d", resp.StatusCode)
	}
}

// A request that violates the protocol is answered with an error and its connection is closed. Nothing of it may reach a backend: a
// body that is forwarded could hide a second request (request smuggling).
func TestMalformedRequestsReachNoBackend(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	without := func(change func(*testRequest)) string {
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
		{"no id", without(func(q *testRequest) { q.id = "" }), 400},
		{"an endless id", without(func(q *testRequest) { q.id = strings.Repeat("x", 257) }), 400},
		{"two ids", with("X-Request-Id: y"), 400},
		{"no class", without(func(q *testRequest) { q.class = "" }), 400},
		{"an unknown class", without(func(q *testRequest) { q.class = "sav" }), 400},
		{"no deadline", without(func(q *testRequest) { q.deadline = "" }), 400},
		{"a deadline with no unit", without(func(q *testRequest) { q.deadline = "480" }), 400},
		{"a deadline in an unknown unit", without(func(q *testRequest) { q.deadline = "480s" }), 400},
		{"a deadline that is no number", without(func(q *testRequest) { q.deadline = "NaNm" }), 400},
		{"a zero deadline", without(func(q *testRequest) { q.deadline = "0m" }), 400},
		{"a negative deadline", without(func(q *testRequest) { q.deadline = "-5m" }), 400},
		{"another method", without(func(q *testRequest) { q.method = "PUT" }), 405},
		{"a GET of a keyed class", without(func(q *testRequest) { q.method, q.body = "GET", "" }), 400},
		{"a POST of a safe class", testRequest{"POST", "view", "x", "", "", "50000m"}.text(), 400},
		{"a keyed class with no key", without(func(q *testRequest) { q.key = "" }), 400},
		{"an unsafe class with a key", without(func(q *testRequest) { q.class = "quote" }), 400},
		{"a GET with a body", strings.Replace(view("x").text(), "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc", 1), 400},
		{"no length", strings.Replace(save("x").text(), "Content-Length: 8\r\n", "", 1), 411},
		{"a negative length", strings.Replace(save("x").text(), "Length: 8", "Length: -8", 1), 400},
		{"a huge length", strings.Replace(save("x").text(), "Length: 8", "Length: 99999999999999999999", 1), 400},
		{"two lengths", with("Content-Length: 7"), 400},
		{"a body too large", without(func(q *testRequest) { q.body = strings.Repeat("x", message.MaxBodyBytes+1) }), 413},
		{"a body too large that is not sent", strings.Replace(save("x").text(), "Length: 8", "Length: 60000000", 1), 413},
		{"cut short", strings.TrimSuffix(save("x").text(), "ow"), 400},
		{"malformed chunks", "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\nX-Deadline: 50000m\r\n" +
			"Transfer-Encoding: chunked\r\n\r\na door", 400},
		{"a length and chunks", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"obfuscated Transfer-Encoding", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"an unknown encoding", with("Transfer-Encoding: xchunked"), 400},
		{"another protocol", strings.Replace(save("x").text(), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"no host", strings.Replace(save("x").text(), "Host: backend.local\r\n", "", 1), 400},
		{"binary data", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		{"an endless head", "GET /api HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", message.MaxHeadBytes), 431},
		{"an expectation", with("Expect: much"), 417},
	} {
		cl := r.dial(t)
		go func() { // the node may respond and close before it has read all
			if c.name == "cut short" {
				io.WriteString(cl, c.text)
				cl.Conn.(*net.TCPConn).CloseWrite()
			} else {
				io.WriteString(cl, c.text+hidden)
			}
		}()
		if resp, _ := cl.readResponse(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", c.name, resp.StatusCode, resp.Close, c.want)
		}
		if n, err := cl.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d more bytes, %v, want the connection closed", c.name, n, err)
		}
	}
	large := save("whole")
	large.body = strings.Repeat("x", message.MaxBodyBytes)
	if resp, _ := r.dial(t).roundTrip(large); resp.StatusCode != 200 {
		t.Errorf("the largest body: answered %d", resp.StatusCode)
	}
	if got := b.requests(); len(got) != 1 || got[0].Header.Get("X-Request-Id") != "whole" {
		t.Errorf("the backend got %d requests, want the one well-formed", len(got))
	}
}

// A client that sends half a head, half a body or nothing gets an error or is disconnected within 3 s. A request that waits for its
// response is not, however long that takes, and neither is a connection that is idle for less than 2 s.
func TestSlowClients(t *testing.T) {
	t.Parallel()
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "long" {
			<-release
		}
		return respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	long, kept := r.dial(t), r.dial(t)
	long.send(quote("long").text())
	if resp, _ := kept.roundTrip(view("v")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for _, text := range []string{"", "POST /api HTTP/1.1\r\nHost", strings.TrimSuffix(save("x").text(), "w")} {
		c := r.dial(t)
		c.send(text)
		if text != "" {
			if resp, _ := c.readResponse(); resp.StatusCode != 408 {
				t.Errorf("%q: answered %d", text, resp.StatusCode)
			}
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: %d bytes, %v, want the connection closed", text, n, err)
		}
	}
	unblock()
	if resp, body := long.readResponse(); resp.StatusCode != 200 || body != "done long" {
		t.Errorf("the request that waited for its response: %d %q", resp.StatusCode, body)
	}
}

// What the outcome of an attempt proves decides whether the client is told that a retry is harmless.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		answer func(c net.Conn, r *http.Request, nth int) bool
		unsafe int // response to a request that must not run twice
		safe   int
	}{
		{"served", respondOK, 200, 200},
		{"an error", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 500, "", "") }, 500, 503},
		{"an unknown status", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 302, "Location: /x\r\n", "") },
			500, 503},
		{"rejected", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"deadline exceeded before the start", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 504, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"503 that may have run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "", "") }, 500, 503},
		{"504 that may have run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 504, "", "") }, 500, 503},
		{"a reset after the request", func(net.Conn, *http.Request, int) bool { return false }, 500, 503},
		{"truncated response", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return false
		}, 500, 503},
		{"binary data", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "\x16\x03\x01\r\n\r\n")
			return true
		}, 500, 503},
		{"two lengths", func(c net.Conn, _ *http.Request, _ int) bool {
			return writeResponse(c, 200, "Content-Length: 3\r\n", "a door")
		},
			500, 503},
		{"a Content-Length over the body, connection kept open", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return true // the connection stays open
		}, 500, 503},
		{"no length", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			return true
		}, 500, 503},
		{"malformed chunks", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na door")
			return true
		}, 500, 503},
		{"incomplete head", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: b\r\n")
			return true
		}, 500, 503},
		{"endless head", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_, err := io.WriteString(c, strings.Repeat("X-A: b\r\n", message.MaxHeadBytes+message.MaxBodyBytes))
			return err == nil
		}, 500, 503},
		{"huge Content-Length", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart")
			return true
		}, 500, 503},
		{"1xx before the response", func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			return respondOK(c, r, n)
		}, 200, 200},
		{"invalid load report", func(c net.Conn, r *http.Request, _ int) bool {
			return writeResponse(c, 200, "X-Load: {\"inflight\":NaN\r\n", "")
		}, 200, 200},
		{"chunks", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na door\r\n0\r\n\r\n")
			return true
		}, 200, 200},
		{"response over the limit", func(c net.Conn, _ *http.Request, _ int) bool {
			return writeResponse(c, 200, "", strings.Repeat("x", message.MaxBodyBytes+1))
		}, 500, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, q := range []struct {
				testRequest
				want int
			}{{quote("q"), c.unsafe}, {view("v"), c.safe}} {
				b := newStubBackend(t, c.answer)
				r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
				resp, _ := r.dial(t).roundTrip(q.testRequest)
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

// Bytes after a response belong to no request. If the connection were reused, a duplicate response would be taken for that of the
// next request and go to the wrong client.
func TestDataAfterResponse(t *testing.T) {
	t.Parallel()
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\x16\x03 noise"} {
		for _, late := range []bool{false, true} {
			written := make(chan struct{}, 10)
			b := newStubBackend(t, func(c net.Conn, r *http.Request, _ int) bool {
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
			r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
			c := r.dial(t)
			for i := range 3 {
				if resp, body := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != "done" {
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

// The same with concurrent requests. The transport of net/http returns a connection to its pool before it has checked for bytes after
// the response, and gave 2 to 10 of 4,800 requests here the response of another.
func TestSurplusUnderConcurrency(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		id := r.Header.Get("X-Request-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if nth%10 == 0 {
			text += text
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	var wrong atomic.Int64
	var wg sync.WaitGroup
	for k := range 16 {
		c := r.dial(t)
		wg.Go(func() {
			for i := range 300 {
				id := fmt.Sprint("id-", k, "-", i)
				c.SetDeadline(time.Now().Add(testTimeout))
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
		t.Errorf("%d requests got the response of another", n)
	}
}

// A kept connection that the backend has closed is detected before a request is written to it. The request has not run, and is sent
// on another connection.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, n int) bool {
		respondOK(c, r, n)
		return false
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	for i := range 3 {
		if resp, _ := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Errorf("request %d: %d", i, resp.StatusCode)
		}
		<-b.closed
	}
	if n := len(b.requests()); n != 3 {
		t.Errorf("the backend got %d requests, want 3", n)
	}
}

// If idle connections use all descriptors for backends, one to another backend is closed to open a new one.
func TestIdleBackendConnectionIsReclaimed(t *testing.T) {
	t.Parallel()
	one, two := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.backendQuota = quotaFor(1) }, one.entry("s-1"), two.entry("s-2"))
	c := r.dial(t)
	for i := range 40 {
		if resp, _ := c.roundTrip(view(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	if len(one.requests()) == 0 || len(two.requests()) == 0 {
		t.Error("one of the backends got no request")
	}
	if open, idle := r.carrier.Conns(); open != 1 || idle > 1 {
		t.Errorf("%d connections count as open and %d as idle, want 1", open, idle)
	}
}

// A new id at the address of a removed backend is another process. The old id gets no more requests, even before its removal is
// announced: they would reach the new process.
func TestNewBackendIDAtReusedAddress(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	r := startNode(t, g, settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.roundTrip(view("x"))
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Backends: []engine.ListedBackend{b.entry("s-2")}}}
	wait(t, "the list", func() bool {
		return r.engine.Version() == 2
	})
	if resp, _ := c.roundTrip(view("y")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if old, now := r.backendNumber("s-1"), r.backendNumber("s-2"); old != 0 || now != 2 || b.connections() != 2 {
		t.Errorf("number of the old id %d, of the new one %d, %d connections; want 0, 2, 2", old, now, b.connections())
	}
}

// If nothing listens on the port, the request cannot have run.
func TestConnectFailureIsNotRun(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, engine.ListedBackend{ID: "s-1", Addr: ln.Addr().String(), State: "Ready"})
	if resp, _ := r.dial(t).roundTrip(quote("q")); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
}

// When a kept connection fails, the transport of net/http resends requests that it considers safe to repeat. The policy would not know
// of that attempt, so the backend has to see the request once.
func TestTransportDoesNotResend(t *testing.T) {
	t.Parallel()
	for _, q := range []testRequest{view("again"), save("again"), quote("again"),
		{"POST", "save", "again", "k", "", "50000m"}} {
		b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
			return nth == 1 && respondOK(c, r, nth) // the second request on the connection meets its close
		})
		r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
		c := r.dial(t)
		first := view("first")
		if resp, _ := c.roundTrip(first); resp.StatusCode != 200 {
			t.Fatalf("first: %d", resp.StatusCode)
		}
		resp, _ := c.roundTrip(q)
		if resp.StatusCode == 200 {
			t.Errorf("%s %s: answered 200, though the backend sent no response", q.method, q.class)
		}
		if n := len(b.requests()); n != 2 || b.connections() != 1 {
			t.Errorf("%s %s: the backend got %d requests on %d connections, want 2 on 1", q.method, q.class, n, b.connections())
		}
	}
}

// A rejected attempt is retried at another backend, and the client gets only that response.
func TestRejectedAttemptIsRetried(t *testing.T) {
	t.Parallel()
	full := newStubBackend(t, func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "X-Not-Run: 1\r\n", "") })
	fine := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, full.entry("s-1"), fine.entry("s-2"))
	c := r.dial(t)
	for i := 0; i < 50 && len(full.requests()) == 0; i++ {
		if resp, body := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != fmt.Sprint("done ", i) {
			t.Fatalf("request %d: %d %q", i, resp.StatusCode, body)
		}
	}
	if len(full.requests()) == 0 {
		t.Error("no request was sent to the full backend")
	}
}

func TestBackendTimeoutIsUnknownOutcome(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c)
		return false
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	q := quote("q")
	q.deadline = "300m"
	if resp, _ := r.dial(t).roundTrip(q); resp.StatusCode != 500 {
		t.Errorf("answered %d, want 500, as it may still run", resp.StatusCode)
	}
}

// The attempt of a client that has disconnected is cancelled, as nobody waits for its response.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	t.Parallel()
	disconnected := make(chan struct{})
	b := newStubBackend(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c) // until the node closes the connection
		close(disconnected)
		return false
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.send(save("x").text())
	wait(t, "the request at the backend", func() bool { return len(b.requests()) == 1 })
	c.Close()
	select {
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not cancelled")
	}
	wait(t, "no open requests", func() bool {
		return r.engine.OpenRequests() == 0
	})
}

// A request that waits for a connection while the drain grace of its backend ends must not be written.
func TestRequestIsNotWrittenAfterGrace(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	for _, q := range []testRequest{view("v"), save("s")} {
		be.StopWritesAt(time.Now().Add(-time.Millisecond))
		if o := r.attempt(context.Background(), be, q, testTimeout); o != policy.NeverSent {
			t.Errorf("%s: outcome %d, want it never sent", q.method, o)
		}
		be.ResumeWrites()
		if o := r.attempt(context.Background(), be, q, testTimeout); o != policy.OK {
			t.Errorf("%s: outcome %d without a drain, want OK", q.method, o)
		}
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("the backend got %d requests, want 2", n)
	}
}

func TestFollowsDiscovery(t *testing.T) {
	t.Parallel()
	old, fresh := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	r := startNode(t, g, settingsJSON, nil, old.entry("s-1"))
	c := r.dial(t)
	at := func(b *stubBackend) func() bool {
		return func() bool {
			before := len(b.requests())
			resp, _ := c.roundTrip(view("x"))
			return resp.StatusCode == 200 && len(b.requests()) == before+1
		}
	}
	wait(t, "the known backend", at(old))
	g.responses <- discoveryResponse{status: 503} // a failed call is retried
	draining := old.entry("s-1")
	draining.State = "Terminating"
	announced := time.Now()
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Backends: []engine.ListedBackend{draining, fresh.entry("s-2")}}}
	wait(t, "the new backend", at(fresh))
	time.Sleep(time.Until(announced.Add(2 * time.Second))) // the drain grace of the settings
	sent := len(old.requests())
	for range 20 {
		if resp, _ := c.roundTrip(view("x")); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if n := len(old.requests()); n != sent {
		t.Errorf("a draining backend got %d new requests", n-sent)
	}
	g.responses <- discoveryResponse{200, engine.List{Version: 3, Full: true, Backends: []engine.ListedBackend{fresh.entry("s-2")}}}
	select {
	case <-old.disconnected:
	case <-time.After(testTimeout):
		t.Fatal("connections to a backend that is missing from a full list stay open")
	}
	moved := old.entry("s-2") // the same id and start time at another address is another process
	g.responses <- discoveryResponse{200, engine.List{Version: 4, Backends: []engine.ListedBackend{moved}}}
	wait(t, "the new address", at(old))
	removed := moved
	removed.State = "Gone"
	g.responses <- discoveryResponse{200, engine.List{Version: 5, Backends: []engine.ListedBackend{removed}}}
	wait(t, "503 with no backend left", func() bool {
		resp, _ := c.roundTrip(view("x"))
		return resp.StatusCode == 503
	})
	if resp, _ := c.roundTrip(testRequest{method: "GET"}); resp.StatusCode != 400 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	for i, url := range g.calls() {
		want := fmt.Sprintf("/v1/endpoints?since=%d&timeout_ms=", max(1, i))
		if !strings.HasPrefix(url, want) {
			t.Errorf("call %d: %s, want %s…", i, url, want)
		}
	}
}

// A reload leaves the old discovery at once and fetches the full list of the new one. That counts versions from its own start, so a
// watch from the old discovery's version would wait for ever.
func TestReloadSwitchesDiscovery(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			before, after := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
			g, h := newStubDiscovery(t), newStubDiscovery(t)
			g.responses <- discoveryResponse{200, engine.List{Version: 700, Full: true, Backends: []engine.ListedBackend{before.entry("s-1")}}}
			r := startNode(t, g, strings.Replace(settingsJSON, `"push"`, `"`+mode+`"`, 1), nil)
			c := r.dial(t)
			wait(t, "the old discovery's backend", func() bool {
				resp, _ := c.roundTrip(view("x"))
				return resp.StatusCode == 200
			})
			wait(t, "an open watch", func() bool { return len(g.calls()) == 2 })
			cfg := r.cfg
			cfg.Discovery = h.addr
			h.responses <- discoveryResponse{status: 503} // the new one may fail at first
			h.responses <- discoveryResponse{200, engine.List{Version: 3, Full: true, Backends: []engine.ListedBackend{after.entry("s-2")}}}
			r.reload(cfg)
			select {
			case <-g.cancelled:
			case <-time.After(testTimeout):
				t.Fatal("the watch at the old discovery stays open")
			}
			wait(t, "the new discovery's backend", func() bool {
				resp, _ := c.roundTrip(view("y"))
				return resp.StatusCode == 200 && len(after.requests()) > 0
			})
			wait(t, "a watch at the new discovery", func() bool { return len(h.calls()) == 3 })
			calls := h.calls()
			if calls[0] != "/v1/endpoints" || calls[1] != "/v1/endpoints" || !strings.Contains(calls[2], "since=3&") {
				t.Errorf("calls to the new discovery: %q, want a fetch of the full list and then a watch from its version", calls)
			}
			if n := len(g.calls()); n != 2 {
				t.Errorf("%d calls to the old discovery, want none after the reload", n)
			}
			r.reload(cfg) // reloading the same configuration changes nothing
			if n := len(h.calls()); n != 3 || len(h.cancelled) != 0 {
				t.Errorf("an unchanged address: %d calls, %d cancelled", n, len(h.cancelled))
			}
		})
	}
}

// In poll mode the policy decides when discovery is queried: at the start, and again after a failed call.
func TestDiscoveryPollMode(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	g.responses <- discoveryResponse{status: 503}
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	r := startNode(t, g, strings.Replace(settingsJSON, `"push"`, `"ask"`, 1), nil)
	c := r.dial(t)
	wait(t, "the list after a failed call", func() bool {
		resp, _ := c.roundTrip(view("x"))
		return resp.StatusCode == 200
	})
}

func readyStatus(t *testing.T, r *testNode) int {
	t.Helper()
	c := r.dial(t)
	c.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, _ := c.readResponse()
	return resp.StatusCode
}

func TestReadyNeedsBackends(t *testing.T) {
	t.Parallel()
	g := newStubDiscovery(t)
	b := newStubBackend(t, respondOK)
	r := startNode(t, g, settingsJSON, nil)
	if s := readyStatus(t, r); s != 503 {
		t.Errorf("ready with no backend: %d", s)
	}
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	wait(t, "readiness", func() bool { return readyStatus(t, r) == 200 })
}

// After SIGTERM a node keeps serving its open connections for as long as responses can be sent before SIGKILL. Then it closes them, and
// exits once all accepted requests are answered. If it closed them at once, its capacity would be missing until its successor is up.
func TestShutdown(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":1`)
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, blockFirst(release))
	r := startNode(t, newStubDiscovery(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	c.send(quote("slow").text())
	wait(t, "the request at the backend", func() bool { return len(b.requests()) == 1 })
	late, silent := r.dial(t), r.dial(t)
	r.sigterm()
	wait(t, "the shutdown", r.front.ShuttingDown)
	if resp, body := late.roundTrip(quote("late")); resp.StatusCode != 200 || body != "done late" || resp.Close {
		t.Errorf("a request after SIGTERM: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	wait(t, "the close of the listener", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	if resp, body := late.roundTrip(quote("later")); resp.StatusCode != 200 || body != "done later" || resp.Close {
		t.Errorf("a request on an open connection: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	unblock()
	if resp, body := c.readResponse(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request accepted before: %d %q", resp.StatusCode, body)
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
	case <-time.After(testTimeout):
		t.Fatal("the node does not exit")
	}
}

// A request that arrives during shutdown is answered before SIGKILL, even if its client would wait longer.
func TestRequestDuringShutdownIsAnsweredBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":1`)
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, blockFirst(release))
	r := startNode(t, newStubDiscovery(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	r.sigterm()
	wait(t, "the shutdown", r.front.ShuttingDown)
	if resp, _ := c.roundTrip(quote("stuck")); resp.StatusCode != 500 || !resp.Close {
		t.Errorf("a request that no backend answers: %d, close %v; want 500 and a close", resp.StatusCode, resp.Close)
	}
	announced, err := strconv.Atoi(strings.TrimSuffix(b.requests()[0].Header.Get("X-Deadline"), "u"))
	// The protocol's SIGKILL comes 1.7 s after SIGTERM here. The process may stall for 0.15 s at the signal, and again when it responds.
	if maxWait := 1700*time.Millisecond - 2*150*time.Millisecond; err != nil || time.Duration(announced)*time.Microsecond > maxWait {
		t.Errorf("X-Deadline at the backend: %d us, %v; the node has to respond within %v", announced, err, maxWait)
	}
}

// A request that is still being received when a node has to have answered everything is rejected: if it were complete just before
// SIGKILL, it would be accepted and never answered.
func TestIncompleteRequestIsRejectedBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	short := strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":0.1,"deadline_s":0.4`)
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), short, nil, b.entry("s-1"))
	c := r.dial(t)
	r.sigterm()
	wait(t, "the shutdown", r.front.ShuttingDown)
	text := quote("half").text()
	c.send(text[:len(text)-1])
	if resp, body := c.readResponse(); resp.StatusCode != 503 || !resp.Close || !strings.Contains(body, "ends") {
		t.Errorf("a request without its last byte: %d %q, close %v; want 503, as the node shuts down", resp.StatusCode, body, resp.Close)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("%d requests reached the backend", n)
	}
}

// At the descriptor limit idle connections are closed for new ones. If none is idle, requests on new connections are rejected. No
// connection is left unaccepted.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") {
			<-release
		}
		return respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	idle := r.dial(t)
	if resp, _ := idle.roundTrip(view("x")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for range 100 {
		r.dial(t) // sends nothing
	}
	if resp, _ := r.dial(t).roundTrip(view("y")); resp.StatusCode != 200 {
		t.Errorf("after a hundred idle connections: %d", resp.StatusCode)
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
		c.send(quote(fmt.Sprint("slower-", i)).text()) // no descriptor for these: rejected with 503, as they never ran
		busy = append(busy, c)
	}
	unblock()
	for _, c := range busy {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
}

// A node is overloaded if it reads data that arrived long ago. It then rejects requests with Retry-After and sends nothing to
// backends, until it reads data as it arrives again.
func TestOverloadedNodeRejects(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	var late atomic.Int64
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
		c.sinceLastReceive = func(net.Conn) time.Duration { return time.Duration(late.Load()) }
	}, b.entry("s-1"))
	c := r.dial(t)
	late.Store(int64(20 * time.Second)) // one request counts for at least a tenth, 2 s here; all requests are rejected from 0.3 s on
	if resp, _ := c.roundTrip(save("a")); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || len(b.requests()) != 0 {
		t.Errorf("overloaded: %d, Retry-After %q, %d requests at the backend", resp.StatusCode, resp.Header.Get("Retry-After"), len(b.requests()))
	}
	late.Store(0)
	wait(t, "service", func() bool {
		resp, _ := c.roundTrip(save("b"))
		return resp.StatusCode == 200
	})
}

// If every connection has an open request, the request of a new connection is rejected with 503, which says that it
// never ran, and the connection is closed.
func TestRejectsConnectionOverLimit(t *testing.T) {
	t.Parallel()
	release, unblock := gate()
	defer unblock()
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		<-release
		return respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets, c.backendQuota = 64, quotaFor(100) }, b.entry("s-1"))
	var open []*client
	for i := range 29 { // the client connections that are allowed while there is none to a backend
		c := r.dial(t)
		c.send(quote(fmt.Sprint("slow-", i)).text())
		open = append(open, c)
	}
	wait(t, "the requests at the backend", func() bool { return len(b.requests()) == len(open) })
	if resp, _ := r.dial(t).roundTrip(quote("more")); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("one more: %d, close %v", resp.StatusCode, resp.Close)
	}
	unblock()
	for _, c := range open {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Errorf("an earlier request: %d", resp.StatusCode)
		}
	}
}

// At the limit a new connection, whose request is about to arrive, is not evicted by the next one. If new connections were evicted
// before those that clients have used and kept, new clients would evict one another and none would be served.
func TestNewConnectionsAreNotEvicted(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	for i := range 32 {
		if resp, _ := r.dial(t).roundTrip(view(fmt.Sprint("kept-", i))); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	var fresh []*client
	for range 8 {
		fresh = append(fresh, r.dial(t))
	}
	for i, c := range fresh {
		if resp, _ := c.roundTrip(view(fmt.Sprint("new-", i))); resp.StatusCode != 200 {
			t.Errorf("new connection %d: %d", i, resp.StatusCode)
		}
	}
}

// Clients that send one request and keep their connection could use all connections that may carry requests, so that no other request
// is served. The longest idle connections are closed so that a quarter stays free.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 96 }, b.entry("s-1")) // 32 client connections may carry requests
	var all []*client
	for i := range 30 {
		c := r.dial(t)
		if resp, _ := c.roundTrip(view(fmt.Sprint("v-", i))); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("request %d: %d, close %v", i, resp.StatusCode, resp.Close)
		}
		all = append(all, c)
	}
	for i, c := range all {
		if i < 6 { // 24 stay
			if _, err := c.in.ReadByte(); err != io.EOF {
				t.Errorf("connection %d: %v, want EOF", i, err)
			}
		} else if resp, _ := c.roundTrip(view(fmt.Sprint("w-", i))); resp.StatusCode != 200 {
			t.Errorf("connection %d: %d", i, resp.StatusCode)
		}
	}
}

// Hundreds of connections that send nothing evict one another, but not a connection that a client has used and will use again.
func TestUnusedConnectionsAreEvictedFirst(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 80 }, b.entry("s-1"))
	used := r.dial(t)
	for i := range 5 {
		if resp, _ := used.roundTrip(view(fmt.Sprint("u-", i))); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
		for range 20 {
			r.dial(t)
		}
		time.Sleep(400 * time.Millisecond)
		if resp, _ := r.dial(t).roundTrip(view(fmt.Sprint("n-", i))); resp.StatusCode != 200 {
			t.Errorf("a new connection among unused ones: %d", resp.StatusCode)
		}
	}
}

// Connections to a machine that was cut off from the network look usable. After a timeout they are closed, as each would lose a request.
func TestTimeoutClosesIdleBackendConnections(t *testing.T) {
	t.Parallel()
	const kept = 8
	var silent atomic.Bool
	all := make(chan struct{})
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		if silent.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		if nth == kept {
			close(all)
		}
		<-all // so that each of the first requests has a connection of its own
		return respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	run := func(wait time.Duration) policy.Outcome {
		return r.attempt(context.Background(), be, quote("q"), wait)
	}
	var wg sync.WaitGroup
	for range kept {
		wg.Go(func() {
			if o := run(testTimeout); o != policy.OK {
				t.Errorf("outcome %d", o)
			}
		})
	}
	wg.Wait()
	silent.Store(true)
	if o := run(200 * time.Millisecond); o != policy.TimedOut {
		t.Fatalf("outcome %d of a backend that does not respond", o)
	}
	for range kept - 1 { // the connection of the attempt itself is closed in any case
		select {
		case <-b.disconnected:
		case <-time.After(testTimeout):
			t.Fatal("connections from before the timeout are kept")
		}
	}
	silent.Store(false)
	if o := run(testTimeout); o != policy.OK {
		t.Errorf("outcome %d on a new connection", o)
	}
}

// A reset of one connection says nothing about the others to that backend. Closing them too would cost a handshake for each.
func TestResetKeepsOtherConnections(t *testing.T) {
	t.Parallel()
	both := make(chan struct{})
	b := newStubBackend(t, func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 2 {
			close(both)
		}
		<-both // so that each of the first two has a connection of its own
		return r.Header.Get("X-Request-Id") != "reset" && respondOK(c, r, nth)
	})
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	one, two := r.dial(t), r.dial(t)
	one.send(quote("one").text())
	two.send(quote("two").text())
	for _, c := range []*client{one, two} {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	if resp, _ := one.roundTrip(quote("reset")); resp.StatusCode != 500 {
		t.Errorf("answered %d on a reset", resp.StatusCode)
	}
	if resp, _ := one.roundTrip(quote("next")); resp.StatusCode != 200 || b.connections() != 2 {
		t.Errorf("answered %d on connection %d, want one of the first two", resp.StatusCode, b.connections())
	}
}

// A backend closes connections that are idle for two seconds, though the settings say sixty. Requests on such connections end as
// resets, half of all on some days, and a quote, which must not be retried, fails. The node learns the shorter time from requests that
// may be retried, and sends the others on new connections.
func TestLearnsBackendIdleTimeout(t *testing.T) {
	t.Parallel()
	var stale atomic.Bool
	b := newStubBackend(t, nil)
	var seen sync.Map
	b.respond = func(c net.Conn, r *http.Request, nth int) bool {
		_, again := seen.LoadOrStore(c, true)
		return !(again && stale.Load()) && respondOK(c, r, nth)
	}
	var idleTime atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(idleTime.Load())) }
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.now = now }, b.entry("s-1"))
	c := r.dial(t)
	idle := func() { idleTime.Add(int64(2 * time.Second)) }
	stale.Store(true)
	for i := range 4 {
		c.roundTrip(view(fmt.Sprint("v-", i)))
		idle()
		if resp, _ := c.roundTrip(quote(fmt.Sprint("q-", i))); resp.StatusCode != 200 {
			t.Errorf("quote %d: %d", i, resp.StatusCode)
		}
		idle()
		c.roundTrip(view(fmt.Sprint("w-", i))) // detects the close
	}
	before := len(b.requests())
	for i := range 5 {
		idle()
		if resp, _ := c.roundTrip(view(fmt.Sprint("x-", i))); resp.StatusCode != 200 {
			t.Errorf("view %d: %d", i, resp.StatusCode)
		}
	}
	if n := len(b.requests()) - before; n != 5 {
		t.Errorf("five requests took %d attempts: connections over the idle time are still used", n)
	}
}

// An empty list, sent by mistake, costs neither the connections to the backends nor their state.
func TestEmptyListKeepsBackends(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	r := startNode(t, g, settingsJSON, nil, b.entry("s-1"))
	c := r.dial(t)
	c.roundTrip(view("x"))
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Full: true}}
	g.responses <- discoveryResponse{200, engine.List{Version: 3, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	g.responses <- discoveryResponse{200, engine.List{Version: 3, Full: true, Backends: []engine.ListedBackend{b.entry("s-1")}}}
	wait(t, "both lists", func() bool {
		return r.engine.Version() == 3
	})
	if resp, _ := c.roundTrip(view("y")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if n := r.backendNumber("s-1"); n != 1 || b.connections() != 1 {
		t.Errorf("backend number %d with %d connections, want 1 and 1, as before", n, b.connections())
	}
}

// A machine that is cut off does not answer a connect. The settings limit that wait far below the client's deadline, and the request
// cannot have run.
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
	for range 10 { // until the backlog is full and the kernel accepts no more
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	r := startNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"connect_timeout_s":5`, `"connect_timeout_s":0.2`, 1), nil,
		engine.ListedBackend{ID: "s-1", Addr: addr, State: "Ready"})
	if resp, _ := r.dial(t).roundTrip(quote("q")); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
}

// An attempt that gets no connection because the node has no descriptor left, or because its client has disconnected, is not counted
// as a connect failure of the backend.
func TestLocalFailureIsNotCountedAgainstBackend(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	be := &engine.Backend{ID: "s-1", Addr: b.entry("s-1").Addr}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	none := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.backendQuota = quotaFor(0) })
	if o := none.attempt(ctx, be, quote("q"), testTimeout); o != policy.NeverSent {
		t.Errorf("with no descriptor: outcome %d, want it never sent", o)
	}
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil)
	cancel()
	if o := r.attempt(ctx, &engine.Backend{ID: "s-1", Addr: be.Addr}, quote("q"), testTimeout); o != policy.Canceled {
		t.Errorf("cancelled before it was sent: outcome %d, want cancelled", o)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the backend got %d requests", n)
	}
}

// A request on a connection that the backend closes as idle at the same time ends as a reset, so the node closes idle connections first.
func TestIdleBackendConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"conn_idle_s":60`, `"conn_idle_s":0.3`, 1), nil, b.entry("s-1"))
	if resp, _ := r.dial(t).roundTrip(view("x")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	select {
	case <-b.disconnected:
	case <-time.After(testTimeout):
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
	if err != nil || cfg.Name != "n7" || cfg.Sockets != 1024 || cfg.Settings.BackendIdleTimeout != time.Minute {
		t.Fatalf("a valid file: %+v, %v", cfg, err)
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
