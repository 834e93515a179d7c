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

// middle stands before a process of the control plane and has its key: it opens the frames of both sides and seals them
// anew, so that a test can change what they hold, hold it back, or cut the sessions.
type middle struct {
	ln      net.Listener
	target  string
	change  func(payload []byte) []byte // of either side; nil for none
	changed atomic.Int64
	wg      sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newMiddle(t *testing.T, target string, change func([]byte) []byte) *middle {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &middle{ln: ln, target: target, change: change, conns: map[net.Conn]bool{}}
	m.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			m.wg.Go(func() { m.carry(c) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		m.setCut(true)
		m.wg.Wait()
	})
	return m
}

// setCut ends all sessions, and has none begin while it is set.
func (m *middle) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	for c := range m.conns {
		c.Close()
	}
}

// keep notes a connection, or closes it while the link is cut.
func (m *middle) keep(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		c.Close()
		return false
	}
	m.conns[c] = true
	return true
}

func (m *middle) drop(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	c.Close()
}

func (m *middle) carry(near net.Conn) {
	if !m.keep(near) {
		return
	}
	defer m.drop(near)
	far, err := net.Dial("tcp", m.target)
	if err != nil || !m.keep(far) {
		return // the process behind it is down
	}
	defer m.drop(far)
	cfg := frame.Config{Keys: [][]byte{controlKeyBytes}, Cluster: controlCluster, Handshake: patience, ReadTimeout: patience, WriteTimeout: patience}
	accepted, err := frame.Accept(near, cfg)
	if err != nil {
		return
	}
	dialed, err := frame.Dial(far, cfg)
	if err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { m.pass(accepted, dialed) })
	both.Go(func() { m.pass(dialed, accepted) })
	both.Wait()
}

// pass carries one direction until either side ends.
func (m *middle) pass(from, to *frame.Conn) {
	defer to.Close()
	defer from.Close()
	for {
		payload, err := from.Read()
		if err != nil {
			return
		}
		if m.change != nil {
			if later := m.change(payload); !bytes.Equal(later, payload) {
				m.changed.Add(1)
				payload = later
			}
		}
		if to.Write(payload) != nil {
			return
		}
	}
}

var controlKeyBytes = []byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}

// laterVersion adds to what is sent what this version does not know: a field and a message in the frame.
func laterVersion(payload []byte) []byte {
	later := bytes.Clone(payload)
	later = protowire.AppendVarint(protowire.AppendTag(later, 100, protowire.VarintType), 7)
	return protowire.AppendString(protowire.AppendTag(later, 101, protowire.BytesType), "a message of a later version")
}

// Half of the sessions speak a later version: what it adds is passed over, and all nodes come to the same position.
func TestControlPlaneWithALaterVersion(t *testing.T) {
	t.Parallel()
	var later *middle
	p := fleet(t, func(p *plane, relay *controlled) {
		if relay.name == "relay-1" {
			later = newMiddle(t, relay.address, laterVersion)
			relay.via = later.ln.Addr().String()
		}
	})
	defer p.stopClients()
	p.everywhere(p.writer.applied(p.endpoint("one", "draining")))
	time.Sleep(drainGrace)
	p.drained("one")
	p.everywhere(p.writer.applied(tenant("a", 2)))
	if later.changed.Load() == 0 {
		t.Error("no session spoke the later version")
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
		t.Error("no node has counted what it passed over")
	}

	// The links to one relay are cut, and to both; then both are back.
	later.setCut(true)
	p.everywhere(p.writer.applied(tenant("a", 3)))
	p.relays[1].stop(t)
	last := p.writer.applied(tenant("a", 4))
	asked := p.requests()
	p.eventually("requests without a control plane", func() bool { return p.requests() >= asked+100 })
	later.setCut(false)
	p.everywhere(last)
	p.relays[1].signal(t, syscall.SIGCONT)
	p.eventually("the woken relay at "+last, func() bool { return p.relays[1].position() == last })
}

// A writer is stopped and replaced from a copy of its folder, and wakes later with its old epoch: what it says is refused
// everywhere.
func TestControlPlaneWithAnOldWriter(t *testing.T) {
	t.Parallel()
	p := newPlane(t)
	p.newBackend("one")
	old := p.newWriter("writer-1", "state")
	old.start()
	p.writer = p.newWriter("writer-2", "state-2")
	relay := p.newRelay("relay-1", old, p.writer)
	p.relays = []*controlled{relay}
	relay.start()
	n := p.newNode("n0", relay)
	n.start()
	first := old.applied(serviceTable + p.endpoint("one", "ready"))
	p.everywhere(first)
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
	second := p.writer.applied(tenant("a", 2))
	if !strings.HasPrefix(first, "1.") || !strings.HasPrefix(second, "2.") {
		t.Fatalf("the writers are at %s and %s", first, second)
	}
	p.everywhere(second)
	// The old one wakes and takes a change that never counts: it stands at a later version of an older epoch.
	old.signal(t, syscall.SIGCONT)
	for i := range 5 {
		old.applied(tenant("a", 100+float64(i)))
	}
	third := p.writer.applied(tenant("b", 3))
	p.everywhere(third)
	p.eventually("the relay to hear the old writer", func() bool {
		s, err := relay.status()
		return err == nil && len(s.Connected) == 2
	})
	fourth := p.writer.applied(tenant("b", 4))
	p.everywhere(fourth) // and so has the relay, the node's only parent
	if got := relay.quota("a"); got != 2 {
		t.Errorf("the relay has %v of the old writer, want 2", got)
	}
	if s, err := n.status(); err != nil || s.Refused != "" {
		t.Errorf("%+v, %v", s, err)
	}
}

// The log is restored from a backup that lacks what was told since. Nothing goes back by itself: relays and nodes stay with
// what they have and say so. Under an epoch beyond all that were used the restored log counts.
func TestControlPlaneRestoredFromABackup(t *testing.T) {
	t.Parallel()
	p := newPlane(t)
	p.newBackend("one")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.start()
	relay := p.newRelay("relay-1", p.writer)
	p.relays = []*controlled{relay}
	relay.start()
	p.newNode("n0", relay).start()
	p.everywhere(p.writer.applied(serviceTable + p.endpoint("one", "ready") + tenant("a", 1)))
	p.writer.kill(t)
	if err := os.CopyFS(p.path("backup"), os.DirFS(p.path("state"))); err != nil {
		t.Fatal(err)
	}
	for i := range 2 { // two further epochs
		p.writer.start()
		p.everywhere(p.writer.applied(tenant("a", float64(10+i)) + tenant("later", 1)))
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
	lost := p.writer.applied(tenant("a", 5))
	if !strings.HasPrefix(before, "3.") || !strings.HasPrefix(lost, "2.") {
		t.Fatalf("the relay is at %s and the restored log at %s", before, lost)
	}
	p.eventually("a line that the log went back", func() bool { return strings.Contains(relay.log.String(), "restore a log under a newer epoch than 3") })
	if got := relay.position(); got != before || relay.quota("a") != 11 {
		t.Errorf("the relay went to %s, with %v", got, relay.quota("a"))
	}
	p.writer.kill(t)
	p.writer.edit(func(text string) string { return "epoch_offset = 10\n" + text })
	p.writer.start()
	last := p.writer.applied(tenant("a", 6))
	if !strings.HasPrefix(last, "13.") {
		t.Errorf("with an offset of 10 the log is at %s", last)
	}
	p.everywhere(last)
	if got := relay.quota("a"); got != 6 {
		t.Errorf("the relay has %v, want 6", got)
	}
	r, err := controlnet.Call(relay.socket, controlnet.Request{Operation: controlnet.OperationGet, Service: controlService, Kind: "tenant", Name: "later"})
	if err != nil || strings.Contains(string(r.Resources), "later") {
		t.Errorf("what the backup lacks is still there: %s, %v", r.Resources, err)
	}
}
