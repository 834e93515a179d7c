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
	return slices.SortedFunc(maps.Values(all), compareLinks)
}

func sortedSessions(all map[publisher.SessionID]*link) []*link {
	return slices.SortedFunc(maps.Values(all), compareLinks)
}

func compareLinks(a, b *link) int { return cmp.Compare(a.session, b.session) }

// drive carries out what the process's state machines want, and has them called again in time.
func (p *Process) drive() {
	now := p.clock()
	next := now + time.Hour
	for _, u := range p.uplinks {
		next = min(next, p.driveUplink(u, now))
	}
	if p.publisher != nil {
		next = min(next, p.drivePublisher(now))
	}
	at := max(next-processClockStart, p.network.now+minStep)
	if p.wakeAt > p.network.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	p.network.events.push(event{at: at, kind: eventWake, process: p, life: p.life})
}

// begin returns when a call began, for a process that is measured.
func (p *Process) begin() (began time.Time) {
	if p.Measured {
		began = time.Now()
	}
	return began
}

// spent counts the processor time of a call.
func (p *Process) spent(began time.Time) {
	if p.Measured {
		p.Spent += time.Since(began)
	}
}

func (p *Process) driveUplink(u *uplink, now time.Duration) (next time.Duration) {
	n := p.network
	began := p.begin()
	actions := u.subscriber.Step(now)
	next = u.subscriber.Next(now)
	p.spent(began)
	for _, name := range actions.Close {
		if l := u.links[name]; l != nil {
			delete(u.links, name)
			n.hangUp(l)
		}
	}
	for _, candidate := range actions.Connect {
		n.dial(p, u, n.byName[candidate.Name])
	}
	for _, o := range actions.Send {
		if l := u.links[o.Parent]; l != nil && l.open {
			began := p.begin()
			encoded := message.Encode(o.Message)
			p.spent(began)
			l.send(p, l.parent, l.parentLife, &l.toParent, o.Message, encoded)
		}
	}
	for i := range actions.Applied {
		n.changes.applied(n.now, p, &actions.Applied[i])
	}
	u.subscriber.Notes()
	return next
}

func (p *Process) drivePublisher(now time.Duration) (next time.Duration) {
	began := p.begin()
	out := p.publisher.Step(now)
	next = p.publisher.Next(now)
	p.spent(began)
	var last message.Message
	var encoded []byte
	for _, o := range out {
		l := p.sessions[o.Session]
		if l == nil || p.drop != nil && p.drop(o) {
			continue
		}
		if o.Message != last { // one that goes to many is encoded once
			began := p.begin()
			last, encoded = o.Message, message.Encode(o.Message)
			p.spent(began)
		}
		l.send(p, l.child, l.childLife, &l.toChild, o.Message, encoded)
	}
	return next
}

// dial begins a connection.
func (n *Network) dial(p *Process, u *uplink, parent *Process) {
	n.sessions++
	l := &link{child: p, childLife: p.life, uplink: u, parent: parent, parentLife: parent.life, session: n.sessions}
	u.links[parent.Name] = l
	if parent.down || n.separated(p, parent) {
		n.events.push(event{at: n.now + dialTimeout, kind: eventEnded, process: p, life: p.life, link: l})
		return
	}
	there := n.latency(p, parent)
	l.toParent = n.now + there
	n.events.push(event{at: l.toParent, kind: eventAccepted, process: parent, life: parent.life, link: l})
	n.events.push(event{at: n.now + 2*there, kind: eventConnected, process: p, life: p.life, link: l})
}

// current reports whether the subscriber still means this connection.
func (l *link) current() bool { return l.uplink.links[l.parent.Name] == l }

// connected tells the child that the connection stands.
func (l *link) connected() {
	switch {
	case !l.current():
	case l.parent.life != l.parentLife || l.parent.down:
		l.ended()
	default:
		l.open = true
		l.uplink.subscriber.Connected(l.child.clock(), l.parent.Name)
	}
}

// ended tells the child that the connection is no more.
func (l *link) ended() {
	if !l.current() {
		return
	}
	delete(l.uplink.links, l.parent.Name)
	l.open = false
	l.uplink.subscriber.Disconnected(l.child.clock(), l.parent.Name)
}

// hangUp ends a connection from the child's side.
func (n *Network) hangUp(l *link) {
	l.open, l.hungUp = false, true
	if !n.separated(l.child, l.parent) { // else the parent hears of it when it sends, after the cut
		n.events.push(event{at: n.now + n.latency(l.child, l.parent), kind: eventHungUp, process: l.parent, life: l.parentLife, link: l})
	}
}

// send carries a message in one direction, in order. What is sent during a cut is lost, and the connection with it: the
// other side gives up a parent that is silent, and a parent is told when it sends to a child that has hung up.
func (l *link) send(from, to *Process, life int, last *time.Duration, m message.Message, encoded []byte) {
	n := from.network
	size := len(encoded) + frameBytes
	from.Traffic.MessagesOut++
	from.Traffic.BytesOut += int64(size)
	if n.separated(l.child, l.parent) {
		return
	}
	if from == l.parent && l.hungUp {
		n.events.push(event{at: n.now + n.latency(l.child, l.parent), kind: eventHungUp, process: l.parent, life: l.parentLife, link: l})
		return
	}
	*last = max(*last, n.now+n.latency(from, to))
	e := event{at: *last, kind: eventMessage, process: to, life: life, link: l, message: m, size: size}
	if to.Measured {
		e.encoded = encoded
	}
	n.events.push(e)
}

// receive takes a message from a link.
func (p *Process) receive(e *event) {
	l := e.link
	p.Traffic.MessagesIn++
	p.Traffic.BytesIn += int64(e.size)
	began := p.begin()
	defer p.spent(began)
	all := []message.Message{e.message}
	if p.Measured {
		decoded, _, err := message.Decode(e.encoded)
		if err != nil {
			panic(err) // it was written by this very program
		}
		all = decoded
	}
	for _, m := range all {
		switch {
		case p == l.parent && p.sessions[l.session] == l:
			_ = p.publisher.Receive(p.clock(), l.session, m) // the publisher counts what it does not take
		case p == l.child && l.open && l.current():
			_ = l.uplink.subscriber.Receive(p.clock(), l.parent.Name, m) // so does the subscriber
		}
	}
}
