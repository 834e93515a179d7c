package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"craneglade/internal/engine"
)

// longGrace are settings in which a drain's grace never ends by itself within a test.
var longGrace = strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":3600`, 1)

// listAnswer answers a discovery call with a list of backends.
func listAnswer(version int64, full bool, backends ...engine.ListedBackend) registryAnswer {
	return registryAnswer{200, engine.List{Version: version, Full: full, Backends: backends}}
}

// in is a list's entry in another state.
func in(state string, entry engine.ListedBackend) engine.ListedBackend {
	entry.State = state
	return entry
}

// heldAttempt is a node with a grace that never ends, whose only backend is b, and a client whose request's attempt there waits
// for its connection until let is called.
func heldAttempt(t *testing.T, g *registry, b *box) (r *rig, c *client, let func()) {
	t.Helper()
	dialing, dialed := gate()
	release, let := gate()
	r = newRig(t, g, longGrace, func(cfg *Config) {
		cfg.dial = dialThen(func(nth int32) {
			if nth == 1 {
				dialed()
				<-release
			}
		})
	}, b.entry("s-1"))
	t.Cleanup(let)
	c = r.dial(t)
	c.send(quote("q").text())
	<-dialing
	return r, c, let
}

// A whole list that comes after calls that failed may have counted as told for a while, also for what it leaves out: an attempt that waits
// for its connection to such a backend is not written, though the backend still answers.
func TestLateWholeListLeavesNoGraceToWhatItLeavesOut(t *testing.T) {
	t.Parallel()
	left, other := newBox(t, served), newBox(t, served)
	g := newRegistry(t)
	r, client, let := heldAttempt(t, g, left)
	g.next <- registryAnswer{status: 503}
	g.next <- listAnswer(2, true, other.entry("s-2"))
	wait(t, "the whole list", func() bool { return r.numbered("s-2") != 0 })
	let()
	if resp, _ := client.answer(); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("answered %d, want what the other backend served, or a refusal", resp.StatusCode)
	}
	if resp, _ := r.dial(t).ask(view("v")); resp.StatusCode != 200 {
		t.Errorf("a request after the list: answered %d", resp.StatusCode)
	}
	if n := len(left.requests()); n != 0 {
		t.Errorf("the backend that the list leaves out got %d requests", n)
	}
}

// A list of which no call failed leaves what it leaves out its grace: an attempt that was decided before goes out.
func TestWholeListInTimeLeavesTheGrace(t *testing.T) {
	t.Parallel()
	left, other := newBox(t, served), newBox(t, served)
	g := newRegistry(t)
	r, client, let := heldAttempt(t, g, left)
	g.next <- listAnswer(2, true, other.entry("s-2"))
	wait(t, "the whole list", func() bool { return r.numbered("s-2") != 0 })
	let()
	if resp, body := client.answer(); resp.StatusCode != 200 || len(left.requests()) != 1 {
		t.Errorf("answered %d %q, with %d requests at the backend; want its answer", resp.StatusCode, body, len(left.requests()))
	}
}

// What has left by a late list is forgotten once its grace is over: its connections close.
func TestBackendThatLeavesByALateListIsForgotten(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		list func(b *box) registryAnswer
	}{
		{"named as gone", func(b *box) registryAnswer { return listAnswer(2, false, in("Gone", b.entry("s-1"))) }},
		{"left out of a whole list", func(b *box) registryAnswer {
			return listAnswer(2, true, engine.ListedBackend{ID: "s-2", Addr: "127.0.0.1:1", State: "Ready"})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, served)
			g := newRegistry(t)
			r := newRig(t, g, strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.1`, 1), nil, b.entry("s-1"))
			if resp, _ := r.dial(t).ask(view("v")); resp.StatusCode != 200 {
				t.Fatalf("answered %d", resp.StatusCode)
			}
			g.next <- registryAnswer{status: 503}
			g.next <- c.list(b)
			select {
			case <-b.ended:
			case <-time.After(patience):
				t.Error("the connection to a backend that has left stays open")
			}
		})
	}
}

// A reload in the middle of a lapse: what the new discovery tells first may have counted as told by the old one, so that a drain in it has no
// grace left.
func TestReloadInALapseLeavesNoGrace(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		list func(b, other *box) registryAnswer
	}{
		{"drains", func(b, other *box) registryAnswer {
			return listAnswer(2, true, in("Terminating", b.entry("s-1")), other.entry("s-2"))
		}},
		{"left out", func(_, other *box) registryAnswer { return listAnswer(2, true, other.entry("s-2")) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b, other := newBox(t, served), newBox(t, served)
			g, h := newRegistry(t), newRegistry(t)
			r, client, let := heldAttempt(t, g, b)
			g.next <- registryAnswer{status: 503}
			wait(t, "the call after the failed one", func() bool { return len(g.calls()) == 2 })
			cfg := r.cfg
			cfg.Discovery = h.addr
			h.next <- c.list(b, other)
			r.reload(cfg)
			wait(t, "the new discovery's list", func() bool { return r.numbered("s-2") != 0 })
			let()
			client.answer()
			if n := len(b.requests()); n != 0 {
				t.Errorf("the backend got %d requests", n)
			}
		})
	}
}

// A watch that ends where it had something to tell, on a new connection and on a kept one (where net/http asks again by itself): the next
// answer counts, and what its whole list leaves out gets nothing new, though it still answers.
func TestWatchThatEndsInsteadOfTelling(t *testing.T) {
	t.Parallel()
	closes := func(c net.Conn) { c.Close() }
	resets := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	for _, c := range []struct {
		name string
		kept bool
		end  func(net.Conn)
	}{{"closed at once", false, closes}, {"reset at once", false, resets}, {"kept, then closed", true, closes}, {"kept, then reset", true, resets}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			left, stays := newBox(t, served), newBox(t, served)
			var steps []func(net.Conn)
			if c.kept {
				steps = append(steps, tells(engine.List{Version: 1}, nil))
			}
			d := newScripted(t, append(steps, c.end, tells(engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{stays.entry("s-2")}}, nil))...)
			r := newRig(t, newRegistry(t), longGrace, func(cfg *Config) { cfg.Discovery = d.addr }, left.entry("s-1"))
			wait(t, "the whole list", func() bool { return r.numbered("s-2") != 0 && r.numbered("s-1") == 0 })
			before := len(left.requests())
			client := r.dial(t)
			for i := range 20 {
				if resp, _ := client.ask(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
					t.Fatalf("answered %d", resp.StatusCode)
				}
			}
			if n := len(left.requests()) - before; n != 0 || len(stays.requests()) != 20 {
				t.Errorf("%d requests went to the backend that has left, and %d of 20 to the one that stays", n, len(stays.requests()))
			}
		})
	}
}
