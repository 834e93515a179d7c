// Package simulate runs the control plane's processes in virtual time: control processes, relays and nodes form trees of
// publishers and subscribers, on a network with latency, loss, duplicated, reordered and truncated messages, partitions,
// stalls, restarts and clock drift. A run is determined by its seed. Each process counts what it sends and receives, and the
// state in force at every subscriber is checked against the logs at each step.
//
// The package does no I/O, reads no clock and starts no goroutines.
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

// Link describes how the network treats messages. Loss and the fields after it are probabilities for each message, from 0 to
// 1.
type Link struct {
	Latency   time.Duration // minimum
	Jitter    time.Duration // uniform random addition to Latency
	Loss      float64
	Duplicate float64
	Reorder   float64 // a message is delayed by up to a second, so that later ones overtake it
	Truncate  float64 // a delta or snapshot part loses half of its content
	Invalid   float64 // a delta gets a change that fails validation, as from a faulty parent
	Replay    float64 // a heartbeat is followed by a snapshot of an earlier state, as from a parent whose log went back
}

// Traffic counts what a process has sent and received.
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
	logs      map[string]*logHistory
	checks    checks
	options   *Options
}

// Cut reports whether it separates two processes. No message passes between separated processes.
type Cut func(a, b *Process) bool

// event is a call due at a process, or in the network if process is nil.
type event struct {
	at          time.Duration
	sequence    uint64 // order of events that are due at the same time
	process     *Process
	incarnation int // of the process; events for an earlier incarnation are dropped
	run         func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
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
		logs:   map[string]*logHistory{},
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Duration { return n.now }

// Processes returns all processes in the order in which they were created.
func (n *Network) Processes() []*Process { return n.processes }

// Process returns the process of a name, or nil.
func (n *Network) Process(name string) *Process { return n.byName[name] }

// At calls a function at a time.
func (n *Network) At(at time.Duration, run func()) { n.schedule(at, nil, run) }

// SetLink sets how the network treats messages from now on.
func (n *Network) SetLink(link Link) { n.link = link }

// Link returns how the network treats messages.
func (n *Network) Link() Link { return n.link }

// Run advances the virtual time, with all events that are due.
func (n *Network) Run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at <= until {
		e := heap.Pop(&n.events).(*event)
		n.now = max(n.now, e.at)
		switch {
		case e.process == nil:
			e.run()
		case e.incarnation != e.process.incarnation:
		case e.process.stalled:
			e.process.deferred = append(e.process.deferred, e)
		default:
			e.run()
			e.process.step()
		}
	}
	n.now = max(n.now, until)
}

// schedule calls a function at a time for the current incarnation of a process. The call is dropped if the process restarts,
// and delayed while the process is stalled.
func (n *Network) schedule(at time.Duration, p *Process, run func()) {
	e := &event{at: max(at, n.now), sequence: n.sequence, process: p, run: run}
	if p != nil {
		e.incarnation = p.incarnation
	}
	n.sequence++
	heap.Push(&n.events, e)
}

// Cut separates processes until heal is called.
func (n *Network) Cut(cut Cut) (heal func()) {
	n.cuts = append(n.cuts, cut)
	index := len(n.cuts) - 1
	return func() { n.cuts[index] = nil }
}

// partitioned reports whether a cut separates two processes.
func (n *Network) partitioned(a, b *Process) bool {
	return slices.ContainsFunc(n.cuts, func(cut Cut) bool { return cut != nil && (cut(a, b) || cut(b, a)) })
}

// latency returns a random latency for one message.
func (n *Network) latency() time.Duration {
	return n.link.Latency + time.Duration(n.random.Float64()*float64(n.link.Jitter))
}

func (n *Network) chance(of float64) bool { return of > 0 && n.random.Float64() < of }

// connection is a connection of a subscriber to a parent.
type connection struct {
	network          *Network
	child            *Process
	uplink           *uplink
	parent           *Process
	session          publisher.SessionID
	open             bool // established, as seen by the child
	closedByChild    bool
	toChild          time.Duration // arrival of the last message, to keep the order
	toParent         time.Duration
	deliversAfterCut bool // messages sent during a cut arrive after it, as after a short cut, instead of being lost
}

const (
	dialTimeout     = time.Second            // of a connection to an unreachable process
	cutPollInterval = 100 * time.Millisecond // how often a delayed message checks whether the cut has ended
	maxReorderDelay = time.Second
)

// dial starts a connection to a parent.
func (n *Network) dial(u *uplink, name string) {
	parent := n.byName[name]
	n.sessions++
	c := &connection{network: n, child: u.process, uplink: u, parent: parent, session: n.sessions, deliversAfterCut: n.random.IntN(2) == 0}
	u.connections[name] = c
	refused := parent == nil || parent.down || parent.publisher == nil || n.partitioned(u.process, parent)
	if refused {
		n.schedule(n.now+dialTimeout, u.process, func() { c.disconnectChild() })
		return
	}
	latency := n.latency()
	c.toParent = n.now + latency
	n.schedule(c.toParent, parent, func() {
		if c.closedByChild {
			return
		}
		parent.connections[c.session] = c
		parent.publisher.Connected(parent.clock(), c.session)
	})
	incarnation := parent.incarnation
	n.schedule(n.now+2*latency, u.process, func() {
		if parent.incarnation != incarnation {
			c.disconnectChild()
		} else if c.current() {
			c.open = true
			u.subscriber.Connected(u.process.clock(), name)
		}
	})
}

// current reports whether this is still the subscriber's connection to the parent.
func (c *connection) current() bool { return c.uplink.connections[c.parent.Name] == c }

// disconnectChild reports to the subscriber that the connection has ended.
func (c *connection) disconnectChild() {
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

// closeFromChild closes the connection at the child, and at the parent after the latency and any cut.
func (c *connection) closeFromChild() {
	c.open, c.closedByChild = false, true
	c.afterCut(c.network.latency(), c.parent, func() {
		if c.parent.connections[c.session] == c {
			delete(c.parent.connections, c.session)
			c.parent.publisher.Disconnected(c.parent.clock(), c.session)
		}
	})
}

// afterCut calls a function at a process after a latency and once no cut separates the two processes.
func (c *connection) afterCut(latency time.Duration, at *Process, run func()) {
	n := c.network
	incarnation := at.incarnation
	var try func()
	try = func() {
		switch {
		case at.incarnation != incarnation:
		case n.partitioned(c.child, c.parent):
			n.schedule(n.now+cutPollInterval, nil, try)
		default:
			n.schedule(n.now, at, run)
		}
	}
	n.schedule(n.now+latency, nil, try)
}

// send sends a message in one direction, with the faults of the link.
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
	if n.partitioned(c.child, c.parent) {
		if c.deliversAfterCut {
			c.afterCut(n.latency(), to, receive)
		}
		return
	}
	if n.chance(n.link.Loss) {
		return
	}
	if n.chance(n.link.Truncate) {
		m = truncate(m)
	}
	if delta, ok := m.(*message.Delta); ok && len(delta.Changes) > 0 && n.chance(n.link.Invalid) {
		m = addInvalidChange(delta)
	}
	at := max(*last, n.now+n.latency())
	if n.chance(n.link.Reorder) {
		at += time.Duration(n.random.Float64() * float64(maxReorderDelay))
	} else {
		*last = at
	}
	n.schedule(at, to, receive)
	if n.chance(n.link.Duplicate) {
		n.schedule(at+n.latency(), to, receive)
	}
}

// replayOldState sends a child a snapshot of an earlier state in one part.
func (c *connection) replayOldState(deliver func(message.Message), region string) {
	n := c.network
	history := n.logs[region]
	if !n.checks.verify || !n.chance(n.link.Replay) || n.partitioned(c.child, c.parent) {
		return
	}
	position := history.order[n.random.IntN(len(history.order))]
	old := &message.SnapshotPart{Region: region, Position: position, Last: true}
	for _, r := range history.positions[position].resources {
		if c.uplink.filter.Contains(r.Key.Service) {
			old.Resources = append(old.Resources, r)
		}
	}
	old.Digest = message.DigestOf(old.Resources)
	n.schedule(n.now+n.latency(), c.child, func() { deliver(old) })
}

// addInvalidChange returns a copy of a delta with a negative tenant quota, included in the digest.
func addInvalidChange(m *message.Delta) *message.Delta {
	modified := *m
	key := resource.Key{Service: m.Changes[0].Resource.Key.Service, Kind: resource.KindTenant, Name: "invalid"}
	invalid := resource.Resource{Key: key, Tenant: &resource.Tenant{Quota: -1}}
	modified.Changes = append(slices.Clone(m.Changes), resource.Change{Resource: invalid})
	modified.Digest = m.Digest.Add(&invalid)
	return &modified
}

// truncate returns a copy of a delta or snapshot part with half of its content.
func truncate(m message.Message) message.Message {
	switch m := m.(type) {
	case *message.Delta:
		truncated := *m
		truncated.Changes = slices.Clone(m.Changes[:len(m.Changes)/2])
		return &truncated
	case *message.SnapshotPart:
		truncated := *m
		truncated.Resources = slices.Clone(m.Resources[:len(m.Resources)/2])
		return &truncated
	}
	return m
}

// logHistory holds the state of a region's log at each position.
type logHistory struct {
	positions map[resource.Position]*state
	order     []resource.Position // in the order of the log
	latest    resource.Position
	writer    *Process
	epoch     uint64
}
