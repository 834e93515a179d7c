package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// quorum makes three control processes of one region.
func (p *plane) quorum() (members []*controlled) {
	p.t.Helper()
	for i := range 3 {
		members = append(members, p.newWriter(fmt.Sprint("writer-", i+1), fmt.Sprint("state-", i+1)))
	}
	var tables strings.Builder
	for i, m := range members {
		fmt.Fprintf(&tables, "[[member]]\nid = %d\nname = %q\naddress = %q\n", i+1, m.name, m.address)
	}
	for _, m := range members {
		m.configure(tables.String())
	}
	return members
}

// chosen waits until one of the members is the writer, and returns it.
func (p *plane) chosen(members []*controlled) (writer *controlled) {
	p.t.Helper()
	p.eventually("a writer", func() bool {
		for _, m := range members {
			if s, err := m.status(); err == nil && s.Logs[0].Own {
				writer = m
				return true
			}
		}
		return false
	})
	return writer
}

// Three control processes choose their writer. It is killed, and another goes on from all that was taken; it is stopped, and
// wakes when another has its office; without a majority nothing is taken; and a process that missed all of it catches up.
func TestControlPlaneWithAQuorum(t *testing.T) {
	t.Parallel()
	p := newPlane(t)
	p.newBackend("one")
	members := p.quorum()
	for _, m := range members {
		m.start()
	}
	p.relays = members // their logs are told where a test fails
	relay := p.newRelay("relay-1", members...)
	relay.start()
	n := p.newNode("n0", relay)
	n.start()
	writer := p.chosen(members)
	p.everywhere(writer.applied(serviceTable + p.endpoint("one", "ready")))
	p.stops = append(p.stops, n.clients())
	defer p.stopClients()

	// Another member says who the writer is.
	others := without(members, writer)
	if _, err := others[0].apply(tenant("x", 1)); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("the writer is %q", writer.name)) {
		t.Errorf("a member that is not the writer: %v", err)
	}

	// Killed.
	p.everywhere(writer.applied(tenant("a", 1)))
	writer.kill(t)
	second := p.chosen(others)
	p.everywhere(second.applied(tenant("a", 2)))
	if got := second.quota("a"); got != 2 {
		t.Errorf("the second writer has %v, want 2", got)
	}
	writer.start()
	last := second.applied(tenant("a", 3))
	p.eventually("the killed member at "+last, func() bool { return writer.position() == last })

	// Stopped, and woken when another is the writer.
	second.stop(t)
	third := p.chosen(without(members, second))
	p.everywhere(third.applied(tenant("a", 4)))
	second.signal(t, syscall.SIGCONT)
	if position, err := second.apply(tenant("a", 100)); err == nil {
		t.Errorf("the woken writer has taken a change, at %s", position)
	}
	last = third.applied(tenant("b", 1))
	p.everywhere(last)
	p.eventually("the woken member at "+last, func() bool { return second.position() == last })
	for _, m := range members {
		if got := m.quota("a"); got != 4 {
			t.Errorf("%s has %v, want 4", m.name, got)
		}
	}

	// No majority: nothing is taken, and all that was goes on being served.
	for _, m := range without(members, third) {
		m.stop(t)
	}
	if position, err := third.apply(tenant("a", 200)); err == nil {
		t.Errorf("one of three has taken a change, at %s", position)
	}
	asked := p.requests()
	p.eventually("requests without a majority", func() bool { return p.requests() >= asked+20 })
	for _, m := range without(members, third) {
		m.signal(t, syscall.SIGCONT)
	}
	fourth := p.chosen(members)
	p.eventually("a change taken again", func() bool { _, err := fourth.apply(tenant("c", 1)); return err == nil })
	last = fourth.position()
	p.everywhere(last)
	for _, m := range members {
		p.eventually(m.name+" at "+last, func() bool { return m.position() == last })
		if a, b := m.quota("a"), fourth.quota("a"); a != b || a != 4 && a != 200 {
			t.Errorf("%s has %v and the writer %v", m.name, a, b)
		}
	}
	if s, err := n.status(); err != nil || s.Refused != "" || s.AgeMS > patience.Milliseconds() {
		t.Errorf("%+v, %v", s, err)
	}
	p.eventually("a fresh log at the node", func() bool {
		s, err := n.status()
		return err == nil && s.AgeMS < 2*time.Second.Milliseconds()
	})
}

func without(all []*controlled, one *controlled) (others []*controlled) {
	for _, c := range all {
		if c != one {
			others = append(others, c)
		}
	}
	return others
}
