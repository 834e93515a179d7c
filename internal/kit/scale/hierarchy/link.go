package hierarchy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
)

var firstPosition = resource.Position{Epoch: 1, Version: 1}

func sortedLinks(all map[string]*link) []*link {
	return slices.SortedFunc(maps.Values(all), compareSessions)
}

func sortedSessions(all map[publisher.SessionID]*link) []*link {
	return slices.SortedFunc(maps.Values(all), compareSessions)
}

func compareSessions(a, b *link) int { return cmp.Compare(a.session, b.session) }

// drive steps the process's state machines, carries out their actions, and schedules the next step.
func (p *Process) drive() {
	now := p.clock()
	next := now + time.Hour
	for _, u := range p.uplinks {
		next = min(next, p.driveUplink(u, now))
	}
	if p.publisher != nil {
		next = min(next, p.drivePublisher(now))
	}
	at := max(next-processClockStart, p.network.now+minWakeDelay)
	if p.wakeAt > p.network.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	p.network.events.push(event{at: at, kind: eventWake, process: p, incarnation: p.incarnation})
}

// startTiming returns the start of a timed call if the process is measured.
func (p *Process) startTiming() (started time.Time) {
	if p.Measured {
		started = time.Now()
	}
	return started
}

// addCPUTime adds the processor time of a timed call.
func (p *Process) addCPUTime(started time.Time) {
	if p.Measured {
		p.CPUTime += time.Since(started)
	}
}

func (p *Process) driveUplink(u *uplink, now time.Duration) (next time.Duration) {
	n := p.network
	started := p.startTiming()
	actions := u.subscriber.Step(now)
	next = u.subscriber.Next(now)
	p.addCPUTime(started)
	for _, name := range actions.Close {
		if l := u.links[name]; l != nil {
			delete(u.links, name)
			n.closeLink(l)
		}
	}
	for _, candidate := range actions.Connect {
		n.dial(p, u, n.byName[candidate.Name])
	}
	for _, o := range actions.Send {
		if l := u.links[o.Parent]; l != nil && l.open {
			started := p.startTiming()
			encoded := message.Encode(o.Message)
			p.addCPUTime(started)
			l.send(p, l.parent, l.parentIncarnation, &l.lastToParent, o.Message, encoded)
		}
	}
	for i := range actions.Applied {
		n.changes.applied(n.now, p, &actions.Applied[i])
	}
	u.subscriber.Notes()
	return next
}

func (p *Process) drivePublisher(now time.Duration) (next time.Duration) {
	started := p.startTiming()
	out := p.publisher.Step(now)
	next = p.publisher.Next(now)
	p.addCPUTime(started)
	var last message.Message
	var encoded []byte
	for _, o := range out {
		l := p.sessions[o.Session]
		if l == nil || p.dropped != nil && p.dropped(o) {
			continue
		}
		if o.Message != last { // a message to several sessions is encoded once
			started := p.startTiming()
			last, encoded = o.Message, message.Encode(o.Message)
			p.addCPUTime(started)
		}
		l.send(p, l.child, l.childIncarnation, &l.lastToChild, o.Message, encoded)
	}
	return next
}

// dial opens a connection.
func (n *Network) dial(p *Process, u *uplink, parent *Process) {
	n.sessions++
	l := &link{child: p, childIncarnation: p.incarnation, uplink: u, parent: parent, parentIncarnation: parent.incarnation, session: n.sessions}
	u.links[parent.Name] = l
	if parent.down || n.isPartitioned(p, parent) {
		n.events.push(event{at: n.now + dialTimeout, kind: eventDisconnected, process: p, incarnation: p.incarnation, link: l})
		return
	}
	latency := n.latency(p, parent)
	l.lastToParent = n.now + latency
	n.events.push(event{at: l.lastToParent, kind: eventAccepted, process: parent, incarnation: parent.incarnation, link: l})
	n.events.push(event{at: n.now + 2*latency, kind: eventConnected, process: p, incarnation: p.incarnation, link: l})
}

// isCurrent reports whether the subscriber still uses this connection.
func (l *link) isCurrent() bool { return l.uplink.links[l.parent.Name] == l }

// connected notifies the child that the connection is established.
func (l *link) connected() {
	switch {
	case !l.isCurrent():
	case l.parent.incarnation != l.parentIncarnation || l.parent.down:
		l.disconnected()
	default:
		l.open = true
		l.uplink.subscriber.Connected(l.child.clock(), l.parent.Name)
	}
}

// disconnected notifies the child that the connection has ended.
func (l *link) disconnected() {
	if !l.isCurrent() {
		return
	}
	delete(l.uplink.links, l.parent.Name)
	l.open = false
	l.uplink.subscriber.Disconnected(l.child.clock(), l.parent.Name)
}

// closeLink closes a connection from the child's side.
func (n *Network) closeLink(l *link) {
	l.open, l.closed = false, true
	if !n.isPartitioned(l.child, l.parent) { // otherwise the parent is notified when it sends after the partition
		n.events.push(event{at: n.now + n.latency(l.child, l.parent), kind: eventClosed, process: l.parent, incarnation: l.parentIncarnation, link: l})
	}
}

// send delivers a message in one direction, in order. What is sent during a partition is lost, and so is the connection:
// the child abandons a silent parent, and the parent is notified when it sends to a child that has closed the connection.
func (l *link) send(from, to *Process, incarnation int, lastArrival *time.Duration, m message.Message, encoded []byte) {
	n := from.network
	size := len(encoded) + frameBytes
	from.Traffic.MessagesOut++
	from.Traffic.BytesOut += int64(size)
	if n.isPartitioned(l.child, l.parent) {
		return
	}
	if from == l.parent && l.closed {
		n.events.push(event{at: n.now + n.latency(l.child, l.parent), kind: eventClosed, process: l.parent, incarnation: l.parentIncarnation, link: l})
		return
	}
	*lastArrival = max(*lastArrival, n.now+n.latency(from, to))
	e := event{at: *lastArrival, kind: eventMessage, process: to, incarnation: incarnation, link: l, message: m, size: size}
	if to.Measured {
		e.encoded = encoded
	}
	n.events.push(e)
}

// receive handles a message from a link.
func (p *Process) receive(e *event) {
	l := e.link
	p.Traffic.MessagesIn++
	p.Traffic.BytesIn += int64(e.size)
	started := p.startTiming()
	defer p.addCPUTime(started)
	all := []message.Message{e.message}
	if p.Measured {
		decoded, _, err := message.Decode(e.encoded)
		if err != nil {
			panic(err) // encoded by the sender
		}
		all = decoded
	}
	for _, m := range all {
		switch {
		case p == l.parent && p.sessions[l.session] == l:
			_ = p.publisher.Receive(p.clock(), l.session, m) // the publisher counts invalid messages
		case p == l.child && l.open && l.isCurrent():
			_ = l.uplink.subscriber.Receive(p.clock(), l.parent.Name, m) // so does the subscriber
		}
	}
}
