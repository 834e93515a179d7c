// Package simulate runs the control plane's processes in virtual time: control processes, relays and nodes as trees of
// publishers and subscribers, on a network with latency, loss, doubled, late and torn messages, cuts, stalls, restarts and
// clocks that drift. A run follows from its seed alone. Each process counts what it sends and receives, and what every
// subscriber has in force is checked against the logs at each step.
//
// There is no I/O, clock or goroutine here.
package simulate

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
)

// Link is how messages travel. The chances are of one message, from 0 to 1.
type Link struct {
	Latency   time.Duration // at least
	Jitter    time.Duration // and up to so much more
	Loss      float64
	Duplicate float64
	Reorder   float64 // a message is overtaken by later ones, by up to a second
	Truncate  float64 // a delta or a snapshot's part loses half of what it holds
	Invalid   float64 // a delta gets a change that no validation lets through, as from a faulty parent
	Replay    float64 // a heartbeat is followed by a snapshot of an earlier state, as from a parent whose log went back
}

// Traffic is what a process has sent and received.
type Traffic struct {
	MessagesIn, MessagesOut int
	BytesIn, BytesOut       int
}

// Network is a set of processes with a virtual clock.
type Network struct {
	now       time.Duration
	random    *rand.Rand
	seed      uint64
	link      Link
	size      func(message.Message) int
	events    eventHeap
	sequence  uint64
	processes []*Process
	byName    map[string]*Process
	cuts      []Cut
	sessions  publisher.SessionID
	logs      map[string]*logModel
	checks    checks
	options   *Options
}

// Cut separates two groups of processes: no message passes between them.
type Cut func(a, b *Process) bool

// event is something that happens to a process, or to the network where process is nil.
type event struct {
	at       time.Duration
	sequence uint64 // decides between events of one time
	process  *Process
	life     int // of the process; what is for an earlier life is dropped
	run      func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is called by package heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop is called by package heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

func newNetwork(seed uint64, link Link, size func(message.Message) int) *Network {
	if size == nil {
		size = publisher.EstimateSize
	}
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed+1)),
		seed:   seed,
		link:   link,
		size:   size,
		byName: map[string]*Process{},
		logs:   map[string]*logModel{},
	}
}

// Now is the virtual time.
func (n *Network) Now() time.Duration { return n.now }

// Processes are all, in the order in which they were made.
func (n *Network) Processes() []*Process { return n.processes }

// Process finds a process by name, or returns nil.
func (n *Network) Process(name string) *Process { return n.byName[name] }

// At calls a function at a time.
func (n *Network) At(at time.Duration, run func()) { n.schedule(at, nil, run) }

// SetLink changes how messages travel from now on.
func (n *Network) SetLink(link Link) { n.link = link }

// Link is how messages travel.
func (n *Network) Link() Link { return n.link }

// Run goes on until a time.
func (n *Network) Run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at <= until {
		e := heap.Pop(&n.events).(*event)
		n.now = max(n.now, e.at)
		switch {
		case e.process == nil:
			e.run()
		case e.life != e.process.life:
		case e.process.stalled:
			e.process.waiting = append(e.process.waiting, e)
		default:
			e.run()
			e.process.drive()
		}
	}
	n.now = max(n.now, until)
}

// schedule calls a function at a time, at the process as it is now: not in a later life of it, and after its stall.
func (n *Network) schedule(at time.Duration, p *Process, run func()) {
	e := &event{at: max(at, n.now), sequence: n.sequence, process: p, run: run}
	if p != nil {
		e.life = p.life
	}
	n.sequence++
	heap.Push(&n.events, e)
}

// Cut separates processes until the returned function is called.
func (n *Network) Cut(cut Cut) (heal func()) {
	n.cuts = append(n.cuts, cut)
	index := len(n.cuts) - 1
	return func() { n.cuts[index] = nil }
}

// cutBetween reports whether messages between two processes are held up.
func (n *Network) cutBetween(a, b *Process) bool {
	return slices.ContainsFunc(n.cuts, func(cut Cut) bool { return cut != nil && (cut(a, b) || cut(b, a)) })
}

// latency is that of one message.
func (n *Network) latency() time.Duration {
	return n.link.Latency + time.Duration(n.random.Float64()*float64(n.link.Jitter))
}

func (n *Network) chance(of float64) bool { return of > 0 && n.random.Float64() < of }

// connection is one of a subscriber with a parent.
type connection struct {
	network   *Network
	child     *Process
	uplink    *uplink
	parent    *Process
	session   publisher.SessionID
	open      bool          // at the child
	hungUp    bool          // by the child
	toChild   time.Duration // when the last message arrives, as order is kept
	toParent  time.Duration
	keepsHeld bool // what is sent during a cut arrives after it, as it does where the cut is short
}

const (
	dialTimeout = time.Second            // of a connection to who can't be reached
	holdCheck   = 100 * time.Millisecond // how often held messages look whether the cut is over
	lateBy      = time.Second
)

// dial begins a connection.
func (n *Network) dial(u *uplink, name string) {
	parent := n.byName[name]
	n.sessions++
	c := &connection{network: n, child: u.process, uplink: u, parent: parent, session: n.sessions, keepsHeld: n.random.IntN(2) == 0}
	u.connections[name] = c
	refused := parent == nil || parent.down || parent.publisher == nil || n.cutBetween(u.process, parent)
	if refused {
		n.schedule(n.now+dialTimeout, u.process, func() { c.ended() })
		return
	}
	there := n.latency()
	c.toParent = n.now + there
	n.schedule(c.toParent, parent, func() {
		if c.hungUp {
			return
		}
		parent.connections[c.session] = c
		parent.publisher.Connected(parent.clock(), c.session)
	})
	life := parent.life
	n.schedule(n.now+2*there, u.process, func() {
		if parent.life != life {
			c.ended()
		} else if c.current() {
			c.open = true
			u.subscriber.Connected(u.process.clock(), name)
		}
	})
}

// current reports whether the subscriber still means this connection.
func (c *connection) current() bool { return c.uplink.connections[c.parent.Name] == c }

// ended tells the child that the connection is no more.
func (c *connection) ended() {
	name := ""
	for key, other := range c.uplink.connections {
		if other == c {
			name = key
		}
	}
	if name == "" {
		return
	}
	delete(c.uplink.connections, name)
	c.open = false
	c.uplink.subscriber.Disconnected(c.child.clock(), name)
}

// hangUp ends the connection for the parent, once it can hear of it.
func (c *connection) hangUp() {
	c.open, c.hungUp = false, true
	c.afterCut(c.network.latency(), c.parent, func() {
		if c.parent.connections[c.session] == c {
			delete(c.parent.connections, c.session)
			c.parent.publisher.Disconnected(c.parent.clock(), c.session)
		}
	})
}

// afterCut calls a function at a process after a latency and when no cut is between the two any more.
func (c *connection) afterCut(latency time.Duration, at *Process, run func()) {
	n := c.network
	life := at.life
	var try func()
	try = func() {
		switch {
		case at.life != life:
		case n.cutBetween(c.child, c.parent):
			n.schedule(n.now+holdCheck, nil, try)
		default:
			n.schedule(n.now, at, run)
		}
	}
	n.schedule(n.now+latency, nil, try)
}

// send carries a message in one direction, with what the link does to it.
func (c *connection) send(from, to *Process, last *time.Duration, m message.Message, deliver func(message.Message)) {
	n := c.network
	size := n.size(m)
	from.Traffic.MessagesOut++
	from.Traffic.BytesOut += size
	receive := func() {
		to.Traffic.MessagesIn++
		to.Traffic.BytesIn += size
		deliver(m)
	}
	if n.cutBetween(c.child, c.parent) {
		if c.keepsHeld {
			c.afterCut(n.latency(), to, receive)
		}
		return
	}
	if n.chance(n.link.Loss) {
		return
	}
	if n.chance(n.link.Truncate) {
		m = tear(m)
	}
	if delta, ok := m.(*message.Delta); ok && len(delta.Changes) > 0 && n.chance(n.link.Invalid) {
		m = spoil(delta)
	}
	at := max(*last, n.now+n.latency())
	if n.chance(n.link.Reorder) {
		at += time.Duration(n.random.Float64() * float64(lateBy))
	} else {
		*last = at
	}
	n.schedule(at, to, receive)
	if n.chance(n.link.Duplicate) {
		n.schedule(at+n.latency(), to, receive)
	}
}

// replayOld sends a child a snapshot of an earlier state in one part.
func (c *connection) replayOld(deliver func(message.Message), region string) {
	n := c.network
	model := n.logs[region]
	if !n.checks.verify || !n.chance(n.link.Replay) || n.cutBetween(c.child, c.parent) {
		return
	}
	position := model.order[n.random.IntN(len(model.order))]
	old := &message.SnapshotPart{Region: region, Position: position, Last: true}
	for _, r := range model.positions[position].resources {
		if c.uplink.filter.Contains(r.Key.Service) {
			old.Resources = append(old.Resources, r)
		}
	}
	old.Digest = message.DigestOf(old.Resources)
	n.schedule(n.now+n.latency(), c.child, func() { deliver(old) })
}

// spoil adds a tenant with a quota below zero, and its part of the digest.
func spoil(m *message.Delta) *message.Delta {
	spoiled := *m
	key := resource.Key{Service: m.Changes[0].Resource.Key.Service, Kind: resource.KindTenant, Name: "invalid"}
	invalid := resource.Resource{Key: key, Tenant: &resource.Tenant{Quota: -1}}
	spoiled.Changes = append(slices.Clone(m.Changes), resource.Change{Resource: invalid})
	spoiled.Digest = m.Digest.Add(&invalid)
	return &spoiled
}

// tear takes half of what a message holds.
func tear(m message.Message) message.Message {
	switch m := m.(type) {
	case *message.Delta:
		torn := *m
		torn.Changes = slices.Clone(m.Changes[:len(m.Changes)/2])
		return &torn
	case *message.SnapshotPart:
		torn := *m
		torn.Resources = slices.Clone(m.Resources[:len(m.Resources)/2])
		return &torn
	}
	return m
}

// logModel is what a region's log was at each position.
type logModel struct {
	positions map[resource.Position]*state
	order     []resource.Position // as the log had them
	latest    resource.Position
	writer    *Process
	epoch     uint64
}
