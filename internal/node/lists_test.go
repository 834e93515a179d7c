package node

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"craneglade/internal/engine"
)

// longGrace are settings with a drain grace longer than any test.
var longGrace = strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":3600`, 1)

// listResponse returns the response to a discovery call with a list of backends.
func listResponse(version int64, full bool, backends ...engine.ListedBackend) discoveryResponse {
	return discoveryResponse{200, engine.List{Version: version, Full: full, Backends: backends}}
}

// withState returns an entry of a list in another state.
func withState(state string, entry engine.ListedBackend) engine.ListedBackend {
	entry.State = state
	return entry
}

// startBlockedAttempt starts a node with longGrace whose only backend is b, and sends it a request. The attempt waits for its connection
// until unblock is called.
func startBlockedAttempt(t *testing.T, g *stubDiscovery, b *stubBackend) (r *testNode, c *client, unblock func()) {
	t.Helper()
	dialing, markDialing := gate()
	release, unblock := gate()
	r = startNode(t, g, longGrace, func(cfg *Config) {
		cfg.dial = dialAfter(func(nth int32) {
			if nth == 1 {
				markDialing()
				<-release
			}
		})
	}, b.entry("s-1"))
	t.Cleanup(unblock)
	c = r.dial(t)
	c.send(quote("q").text())
	<-dialing
	return r, c, unblock
}

// A full list that arrives after failed calls may have been announced a while ago, so a backend that is missing from it has no grace left:
// an attempt that waits for its connection to that backend is not written, though the backend still responds.
func TestLateFullListLeavesNoGraceToRemovedBackends(t *testing.T) {
	t.Parallel()
	removed, other := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	r, client, unblock := startBlockedAttempt(t, g, removed)
	g.responses <- discoveryResponse{status: 503}
	g.responses <- listResponse(2, true, other.entry("s-2"))
	wait(t, "the full list", func() bool { return r.backendNumber("s-2") != 0 })
	unblock()
	if resp, _ := client.readResponse(); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("answered %d, want 200 from the other backend, or 503", resp.StatusCode)
	}
	if resp, _ := r.dial(t).roundTrip(view("v")); resp.StatusCode != 200 {
		t.Errorf("a request after the list: answered %d", resp.StatusCode)
	}
	if n := len(removed.requests()); n != 0 {
		t.Errorf("the removed backend got %d requests", n)
	}
}

// A full list without a failed call before it leaves removed backends their grace: an attempt that was decided before is sent.
func TestTimelyFullListKeepsGrace(t *testing.T) {
	t.Parallel()
	removed, other := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	g := newStubDiscovery(t)
	r, client, unblock := startBlockedAttempt(t, g, removed)
	g.responses <- listResponse(2, true, other.entry("s-2"))
	wait(t, "the full list", func() bool { return r.backendNumber("s-2") != 0 })
	unblock()
	if resp, body := client.readResponse(); resp.StatusCode != 200 || len(removed.requests()) != 1 {
		t.Errorf("answered %d %q, with %d requests at the backend; want its answer", resp.StatusCode, body, len(removed.requests()))
	}
}

// A backend that a late list removes is dropped once its grace is over, and its connections are closed.
func TestBackendRemovedByLateListIsDropped(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		list func(b *stubBackend) discoveryResponse
	}{
		{"reported as removed", func(b *stubBackend) discoveryResponse {
			return listResponse(2, false, withState("Gone", b.entry("s-1")))
		}},
		{"missing from a full list", func(b *stubBackend) discoveryResponse {
			return listResponse(2, true, engine.ListedBackend{ID: "s-2", Addr: "127.0.0.1:1", State: "Ready"})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newStubBackend(t, respondOK)
			g := newStubDiscovery(t)
			r := startNode(t, g, strings.Replace(settingsJSON, `"drain_grace_s":2`, `"drain_grace_s":0.1`, 1), nil, b.entry("s-1"))
			if resp, _ := r.dial(t).roundTrip(view("v")); resp.StatusCode != 200 {
				t.Fatalf("answered %d", resp.StatusCode)
			}
			g.responses <- discoveryResponse{status: 503}
			g.responses <- c.list(b)
			select {
			case <-b.disconnected:
			case <-time.After(testTimeout):
				t.Error("the connection to a removed backend stays open")
			}
		})
	}
}

// After a reload during an outage of discovery, the first list of the new one may contain drains that the old one announced a while ago. They
// have no grace left.
func TestReloadDuringOutageLeavesNoGrace(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		list func(b, other *stubBackend) discoveryResponse
	}{
		{"drains", func(b, other *stubBackend) discoveryResponse {
			return listResponse(2, true, withState("Terminating", b.entry("s-1")), other.entry("s-2"))
		}},
		{"missing", func(_, other *stubBackend) discoveryResponse { return listResponse(2, true, other.entry("s-2")) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b, other := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
			g, h := newStubDiscovery(t), newStubDiscovery(t)
			r, client, unblock := startBlockedAttempt(t, g, b)
			g.responses <- discoveryResponse{status: 503}
			wait(t, "the call after the failed one", func() bool { return len(g.calls()) == 2 })
			cfg := r.cfg
			cfg.Discovery = h.addr
			h.responses <- c.list(b, other)
			r.reload(cfg)
			wait(t, "the new discovery's list", func() bool { return r.backendNumber("s-2") != 0 })
			unblock()
			client.readResponse()
			if n := len(b.requests()); n != 0 {
				t.Errorf("the backend got %d requests", n)
			}
		})
	}
}

// A watch whose connection is closed or reset instead of a response, be it a new connection or a kept one (where net/http retries by
// itself): the next response is applied, and a backend that is missing from its full list gets no new requests, though it still responds.
func TestWatchConnectionClosedWithoutResponse(t *testing.T) {
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
			removed, kept := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
			var steps []func(net.Conn)
			if c.kept {
				steps = append(steps, sendList(engine.List{Version: 1}, nil))
			}
			d := newScriptedDiscovery(t, append(steps, c.end, sendList(engine.List{Version: 2, Full: true, Backends: []engine.ListedBackend{kept.entry("s-2")}}, nil))...)
			r := startNode(t, newStubDiscovery(t), longGrace, func(cfg *Config) { cfg.Discovery = d.addr }, removed.entry("s-1"))
			wait(t, "the full list", func() bool { return r.backendNumber("s-2") != 0 && r.backendNumber("s-1") == 0 })
			before := len(removed.requests())
			client := r.dial(t)
			for i := range 20 {
				if resp, _ := client.roundTrip(view(fmt.Sprint("v", i))); resp.StatusCode != 200 {
					t.Fatalf("answered %d", resp.StatusCode)
				}
			}
			if n := len(removed.requests()) - before; n != 0 || len(kept.requests()) != 20 {
				t.Errorf("%d requests to the removed backend, and %d of 20 to the other one", n, len(kept.requests()))
			}
		})
	}
}
