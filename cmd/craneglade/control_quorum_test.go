package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newQuorum writes the configurations of the three quorum members of one region.
func (p *controlPlane) newQuorum() (members []*controlProcess) {
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

// waitForWriter waits until one of the members is the elected writer and returns it.
func (p *controlPlane) waitForWriter(members []*controlProcess) (writer *controlProcess) {
	p.t.Helper()
	p.eventually("election of a writer", func() bool {
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

// Three control processes elect a writer. After a kill another writer continues from all accepted changes; a writer that was
// stopped and resumes after another's election accepts no change; without a majority no change is accepted; and members that
// missed changes catch up.
func TestControlPlaneQuorumWriterFailover(t *testing.T) {
	t.Parallel()
	p := newControlPlane(t)
	p.newBackend("one")
	members := p.newQuorum()
	for _, m := range members {
		m.start()
	}
	p.relays = members // for their logs in failure messages
	relay := p.newRelay("relay-1", members...)
	relay.start()
	n := p.newNode("n0", relay)
	n.start()
	writer := p.waitForWriter(members)
	p.waitForPosition(writer.mustApply(serviceTable + p.endpoint("one", "ready")))
	p.stopFuncs = append(p.stopFuncs, n.startClients())
	defer p.stopClients()

	// A member that is not the writer names the writer.
	others := without(members, writer)
	if _, err := others[0].apply(tenant("x", 1)); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("the writer is %q", writer.name)) {
		t.Errorf("change at a member that is not the writer: %v", err)
	}

	// The writer is killed.
	p.waitForPosition(writer.mustApply(tenant("a", 1)))
	writer.kill(t)
	second := p.waitForWriter(others)
	p.waitForPosition(second.mustApply(tenant("a", 2)))
	if got := second.quota("a"); got != 2 {
		t.Errorf("second writer has quota %v, want 2", got)
	}
	writer.start()
	last := second.mustApply(tenant("a", 3))
	p.eventually("restarted member at "+last, func() bool { return writer.position() == last })

	// The writer is stopped, and resumes once another is elected.
	second.stop(t)
	third := p.waitForWriter(without(members, second))
	p.waitForPosition(third.mustApply(tenant("a", 4)))
	second.signal(t, syscall.SIGCONT)
	if position, err := second.apply(tenant("a", 100)); err == nil {
		t.Errorf("resumed writer accepted a change, at %s", position)
	}
	last = third.mustApply(tenant("b", 1))
	p.waitForPosition(last)
	p.eventually("resumed member at "+last, func() bool { return second.position() == last })
	for _, m := range members {
		if got := m.quota("a"); got != 4 {
			t.Errorf("%s has quota %v, want 4", m.name, got)
		}
	}

	// Without a majority no change is accepted, and the configuration in force is still served.
	for _, m := range without(members, third) {
		m.stop(t)
	}
	if position, err := third.apply(tenant("a", 200)); err == nil {
		t.Errorf("one of three members accepted a change, at %s", position)
	}
	before := p.requestsSent()
	p.eventually("requests without a majority", func() bool { return p.requestsSent() >= before+20 })
	for _, m := range without(members, third) {
		m.signal(t, syscall.SIGCONT)
	}
	fourth := p.waitForWriter(members)
	p.eventually("change accepted with a majority", func() bool { _, err := fourth.apply(tenant("c", 1)); return err == nil })
	last = fourth.position()
	p.waitForPosition(last)
	for _, m := range members {
		p.eventually(m.name+" at "+last, func() bool { return m.position() == last })
		if a, b := m.quota("a"), fourth.quota("a"); a != b || a != 4 && a != 200 {
			t.Errorf("%s has quota %v and the writer %v", m.name, a, b)
		}
	}
	if s, err := n.status(); err != nil || s.Refused != "" || s.AgeMS > testTimeout.Milliseconds() {
		t.Errorf("%+v, %v", s, err)
	}
	p.eventually("configuration age under 2 s at the node", func() bool {
		s, err := n.status()
		return err == nil && s.AgeMS < 2*time.Second.Milliseconds()
	})
}

func without(processes []*controlProcess, excluded *controlProcess) (others []*controlProcess) {
	for _, c := range processes {
		if c != excluded {
			others = append(others, c)
		}
	}
	return others
}
