package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A client that leaves is noticed also when something lies between its request and its close: another request, or a flood that no
// buffer holds. Its attempt is called off, and the request behind begins none.
func TestClientLeavesBehindWhatItSentMore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, more string }{
		{"a second request", view("second").text()},
		{"a flood", strings.Repeat("x", 3<<20)},
		{"a second request and a flood", view("second").text() + strings.Repeat("y", 3<<20)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			release, let := gate()
			defer let()
			b := newBox(t, func(conn net.Conn, r *http.Request, nth int) bool {
				<-release
				return served(conn, r, nth)
			})
			r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
			cl := r.dial(t)
			cl.send(quote("first").text())
			wait(t, "the first at the backend", func() bool { return len(b.requests()) == 1 })
			cl.send(c.more) // the node reads it all, or this would not return
			cl.leave()
			wait(t, "an empty table of requests", func() bool { return r.engine.OpenRequests() == 0 })
			let()
			if n := len(b.requests()); n != 1 {
				t.Errorf("the backend got %d requests, want the first alone", n)
			}
		})
	}
}

// heldReading is a rig that holds each request between its first byte and the reading of its head until release is closed.
func heldReading(t *testing.T, b *box) (r *rig, reading <-chan struct{}, let func(), dials *atomic.Int32) {
	t.Helper()
	dials = &atomic.Int32{}
	begun, begin := gate()
	release, let := gate()
	t.Cleanup(let)
	return newRig(t, newRegistry(t), settingsJSON, func(cfg *Config) {
		cfg.waited = func(net.Conn) time.Duration {
			begin()
			<-release
			return 0
		}
		cfg.dial = dialThen(func(nth int32) { dials.Store(nth) })
	}, b.entry("s-1")), begun, let, dials
}

// A client that has gone before its request is read begins no attempt: its close lies in the kernel behind the request.
func TestClientGoneBeforeItsRequestIsRead(t *testing.T) {
	t.Parallel()
	for _, behind := range []string{"", view("second").text(), strings.Repeat("x", 6000)} {
		t.Run(fmt.Sprint(len(behind), " bytes behind"), func(t *testing.T) {
			t.Parallel()
			b := newBox(t, served)
			r, reading, let, dials := heldReading(t, b)
			cl := r.dial(t)
			cl.send(quote("q").text() + behind)
			<-reading
			cl.Conn.(*net.TCPConn).CloseWrite()
			let()
			cl.leave()
			wait(t, "an empty table of requests", func() bool { return r.engine.OpenRequests() == 0 })
			if n := len(b.requests()); n != 0 || dials.Load() != 0 {
				t.Errorf("%d connections to the backend, %d requests, want none", dials.Load(), n)
			}
		})
	}
}

// A request that lies in the kernel behind another is no close: both are served.
func TestSecondRequestBehindABody(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r, reading, let, _ := heldReading(t, b)
	cl := r.dial(t)
	cl.send(quote("first").text())
	<-reading
	cl.send(view("second").text())
	let()
	for _, id := range []string{"first", "second"} {
		if resp, body := cl.answer(); resp.StatusCode != 200 || body != "done "+id {
			t.Errorf("%s: answered %d %q", id, resp.StatusCode, body)
		}
	}
}

// A connection that ends with its answer is not reset under it, whatever its client goes on to send: the answer would go with it.
func TestLastAnswerIsNotReset(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(conn net.Conn, r *http.Request, nth int) bool {
		<-release
		return served(conn, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	cl := r.dial(t)
	cl.send(strings.Replace(view("v").text(), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	wait(t, "the request at the backend", func() bool { return len(b.requests()) == 1 })
	cl.send(strings.Repeat("x", 5000))
	let()
	if resp, body := cl.answer(); resp.StatusCode != 200 || body != "done v" || !resp.Close {
		t.Errorf("answered %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	if _, err := cl.in.ReadByte(); err != io.EOF {
		t.Errorf("behind the answer: %v, want the connection's end", err)
	}
}

// A request that is coming in at the moment at which a leaving node ends its connections is read and served; only connections that carry
// nothing end then.
func TestRequestThatIsComingWhenConnectionsEnd(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	// The connections end 0.65 s after the signal, and what has begun to come may take 2.5 s.
	r := newRig(t, newRegistry(t), strings.ReplaceAll(settingsJSON, `"aim_s":30,"deadline_s":60`, `"aim_s":3,"deadline_s":3`), nil, b.entry("s-1"))
	coming, resting := r.dial(t), r.dial(t)
	for i, c := range []*client{coming, resting} {
		if resp, _ := c.ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	r.leave()
	wait(t, "the node's leaving", r.front.Leaving)
	text := quote("late").text()
	coming.send(text[:len(text)-3]) // its head is there, and a part of its body
	if _, err := resting.in.ReadByte(); err != io.EOF {
		t.Fatalf("a resting connection: %v, want its end", err)
	}
	coming.send(text[len(text)-3:])
	if resp, body := coming.answer(); resp.StatusCode != 200 || body != "done late" || !resp.Close {
		t.Errorf("answered %d %q, close %v; want it served, and the connection's end", resp.StatusCode, body, resp.Close)
	}
}
