package main

import (
	"bytes"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlnet"
	"craneglade/internal/peers/frame"
)

// frameProxy is a proxy for a control plane process. It has the cluster key and decrypts and re-encrypts the frames of both
// directions, so that a test can rewrite their payloads or cut the sessions.
type frameProxy struct {
	ln              net.Listener
	target          string
	rewrite         func(payload []byte) []byte // applied in both directions; may be nil
	rewrittenFrames atomic.Int64
	wg              sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newFrameProxy(t *testing.T, target string, rewrite func([]byte) []byte) *frameProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &frameProxy{ln: ln, target: target, rewrite: rewrite, conns: map[net.Conn]bool{}}
	f.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.wg.Go(func() { f.forwardSession(c) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		f.setCut(true)
		f.wg.Wait()
	})
	return f
}

// setCut closes all sessions; while cut is set, new ones are closed at once.
func (f *frameProxy) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	for c := range f.conns {
		c.Close()
	}
}

// track records a connection and reports true, or closes it while the link is cut.
func (f *frameProxy) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		c.Close()
		return false
	}
	f.conns[c] = true
	return true
}

func (f *frameProxy) untrack(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	c.Close()
}

func (f *frameProxy) forwardSession(client net.Conn) {
	if !f.track(client) {
		return
	}
	defer f.untrack(client)
	server, err := net.Dial("tcp", f.target)
	if err != nil || !f.track(server) {
		return // the target is down, or the link is cut
	}
	defer f.untrack(server)
	cfg := frame.Config{Keys: [][]byte{controlKeyBytes}, Cluster: controlCluster, Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout}
	accepted, err := frame.Accept(client, cfg)
	if err != nil {
		return
	}
	dialed, err := frame.Dial(server, cfg)
	if err != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { f.forward(accepted, dialed) })
	directions.Go(func() { f.forward(dialed, accepted) })
	directions.Wait()
}

// forward copies frames in one direction until either side closes.
func (f *frameProxy) forward(from, to *frame.Conn) {
	defer to.Close()
	defer from.Close()
	for {
		payload, err := from.Read()
		if err != nil {
			return
		}
		if f.rewrite != nil {
			if rewritten := f.rewrite(payload); !bytes.Equal(rewritten, payload) {
				f.rewrittenFrames.Add(1)
				payload = rewritten
			}
		}
		if to.Write(payload) != nil {
			return
		}
	}
}

var controlKeyBytes = []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}

// addUnknownFields appends a field and a message with field numbers that this version does not know.
func addUnknownFields(payload []byte) []byte {
	extended := bytes.Clone(payload)
	extended = protowire.AppendVarint(protowire.AppendTag(extended, 100, protowire.VarintType), 7)
	return protowire.AppendString(protowire.AppendTag(extended, 101, protowire.BytesType), "a message of a later version")
}

// Sessions with one of two relays carry fields of a later protocol version in both directions. They must be skipped, and all
// nodes must reach the same position.
func TestControlPlaneSkipsUnknownFields(t *testing.T) {
	t.Parallel()
	var proxy *frameProxy
	p := startFleet(t, func(p *controlPlane, relay *controlProcess) {
		if relay.name == "relay-1" {
			proxy = newFrameProxy(t, relay.address, addUnknownFields)
			relay.dialAddress = proxy.ln.Addr().String()
		}
	})
	defer p.stopClients()
	p.waitForPosition(p.writer.mustApply(p.endpoint("one", "draining")))
	time.Sleep(drainGrace)
	p.checkDrained("one")
	p.waitForPosition(p.writer.mustApply(tenant("a", 2)))
	if proxy.rewrittenFrames.Load() == 0 {
		t.Error("no frame was rewritten with unknown fields")
	}
	skipped := int64(0)
	for _, n := range p.nodes {
		s, err := n.status()
		if err != nil || s.Dropped > 0 || s.Sessions.Invalid > 0 {
			t.Errorf("%s: %+v, %v", n.name, s, err)
		} else {
			skipped += s.Sessions.Skipped
		}
	}
	if skipped == 0 {
		t.Error("no node counted skipped fields")
	}

	// The sessions of one relay are cut and the other relay is stopped; then both return.
	proxy.setCut(true)
	p.waitForPosition(p.writer.mustApply(tenant("a", 3)))
	p.relays[1].stop(t)
	last := p.writer.mustApply(tenant("a", 4))
	before := p.requestsSent()
	p.eventually("requests without a control plane", func() bool { return p.requestsSent() >= before+100 })
	proxy.setCut(false)
	p.waitForPosition(last)
	p.relays[1].signal(t, syscall.SIGCONT)
	p.eventually("resumed relay at "+last, func() bool { return p.relays[1].position() == last })
}

// A stopped writer is replaced by one that continues from a copy of its state, and resumes later with its old epoch. Relay and
// node must reject its changes.
func TestControlPlaneRejectsStaleWriter(t *testing.T) {
	t.Parallel()
	p := newControlPlane(t)
	p.newBackend("one")
	old := p.newWriter("writer-1", "state")
	old.start()
	p.writer = p.newWriter("writer-2", "state-2")
	relay := p.newRelay("relay-1", old, p.writer)
	p.relays = []*controlProcess{relay}
	relay.start()
	n := p.newNode("n0", relay)
	n.start()
	first := old.mustApply(serviceTable + p.endpoint("one", "ready"))
	p.waitForPosition(first)
	old.stop(t)
	if err := os.CopyFS(p.path("copy"), os.DirFS(p.path("state"))); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(p.path("state-2")); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.path("copy"), p.path("state-2")); err != nil {
		t.Fatal(err)
	}
	p.writer.start()
	second := p.writer.mustApply(tenant("a", 2))
	if !strings.HasPrefix(first, "1.") || !strings.HasPrefix(second, "2.") {
		t.Fatalf("writer positions %s and %s, want epochs 1 and 2", first, second)
	}
	p.waitForPosition(second)
	// The old writer resumes and accepts changes: it has a later version of an older epoch.
	old.signal(t, syscall.SIGCONT)
	for i := range 5 {
		old.mustApply(tenant("a", 100+float64(i)))
	}
	third := p.writer.mustApply(tenant("b", 3))
	p.waitForPosition(third)
	p.eventually("relay connected to the old writer", func() bool {
		s, err := relay.status()
		return err == nil && len(s.Connected) == 2
	})
	fourth := p.writer.mustApply(tenant("b", 4))
	p.waitForPosition(fourth) // implies the relay, the node's only parent
	if got := relay.quota("a"); got != 2 {
		t.Errorf("relay has quota %v, want 2: change of the old writer accepted", got)
	}
	if s, err := n.status(); err != nil || s.Refused != "" {
		t.Errorf("%+v, %v", s, err)
	}
}

// The log is restored from a backup that lacks published changes. Relays and nodes must not go back to it: they keep their
// configuration and log why. With an epoch offset beyond all used epochs the restored log is accepted.
func TestControlPlaneRestoredFromBackup(t *testing.T) {
	t.Parallel()
	p := newControlPlane(t)
	p.newBackend("one")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.start()
	relay := p.newRelay("relay-1", p.writer)
	p.relays = []*controlProcess{relay}
	relay.start()
	p.newNode("n0", relay).start()
	p.waitForPosition(p.writer.mustApply(serviceTable + p.endpoint("one", "ready") + tenant("a", 1)))
	p.writer.kill(t)
	if err := os.CopyFS(p.path("backup"), os.DirFS(p.path("state"))); err != nil {
		t.Fatal(err)
	}
	for i := range 2 { // two more epochs
		p.writer.start()
		p.waitForPosition(p.writer.mustApply(tenant("a", float64(10+i)) + tenant("later", 1)))
		p.writer.kill(t)
	}
	if err := os.RemoveAll(p.path("state")); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(p.path("state"), os.DirFS(p.path("backup"))); err != nil {
		t.Fatal(err)
	}
	before := relay.position()
	p.writer.start()
	restored := p.writer.mustApply(tenant("a", 5))
	if !strings.HasPrefix(before, "3.") || !strings.HasPrefix(restored, "2.") {
		t.Fatalf("relay at %s and restored log at %s, want epochs 3 and 2", before, restored)
	}
	p.eventually("log line about the older epoch", func() bool { return strings.Contains(relay.log.String(), "restore a log under a newer epoch than 3") })
	if got := relay.position(); got != before || relay.quota("a") != 11 {
		t.Errorf("relay moved to %s, with quota %v", got, relay.quota("a"))
	}
	p.writer.kill(t)
	p.writer.edit(func(text string) string { return "epoch_offset = 10\n" + text })
	p.writer.start()
	last := p.writer.mustApply(tenant("a", 6))
	if !strings.HasPrefix(last, "13.") {
		t.Errorf("with an epoch offset of 10 the log is at %s, want epoch 13", last)
	}
	p.waitForPosition(last)
	if got := relay.quota("a"); got != 6 {
		t.Errorf("relay has quota %v, want 6", got)
	}
	r, err := controlnet.Call(relay.socket, controlnet.Request{Operation: controlnet.OperationGet, Service: controlService, Kind: "tenant", Name: "later"})
	if err != nil || strings.Contains(string(r.Resources), "later") {
		t.Errorf("resource that the backup lacks still exists: %s, %v", r.Resources, err)
	}
}
