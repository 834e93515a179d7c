// Package hierarchy plays the control plane at the size of a whole fleet, in virtual time: one writer for each region, relays
// by zone and thousands of nodes, each with the state machines of a real process (packages publisher, subscriber and
// changelog) and with messages of the size that they have on the wire. It counts what goes over each process's links and
// how long each change takes until it is in force.
//
// Some processes of each role are measured: what they receive is decoded from its bytes, so that they share no memory with
// others, and the processor time of their calls is taken. The others are handed the messages of the sender as they are.
//
// There is no I/O here, and no goroutine. The wall clock is read for processor time only; nothing in a run depends on it.
package hierarchy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/kit/scale/plan"
)

const (
	frameBytes        = 20              // around each message: its length and the seal's tag (internal/peers/frame)
	dialTimeout       = 2 * time.Second // of a connection to who can't be reached
	silentHeartbeats  = 3               // a parent is silent after so many heartbeats that did not come
	burstSeconds      = 2               // of a publisher's bytes that may go at once, as in internal/controlnet
	checkEvery        = 1 << 14         // events between two looks at the context
	minStep           = time.Millisecond
	seedStream        = 0x5ca1e
	measuredNodes     = 32 // at most
	measuredRelays    = 1
	measuredWriters   = 1
	processClockStart = time.Hour
)

// Role is what a process does.
type Role uint8

// The roles.
const (
	RoleWriter Role = iota
	RoleRelay
	RoleNode
	roleCount
)

func (r Role) String() string { return [...]string{"writer", "relay", "node"}[r] }

// Traffic is what a process has sent and received.
type Traffic struct{ BytesIn, BytesOut, MessagesIn, MessagesOut int64 }

// Network is a fleet with a virtual clock.
type Network struct {
	plan      *plan.Plan
	step      plan.Step
	fleet     *fleet
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	processes []*Process
	byName    map[string]*Process
	byRole    [roleCount][]*Process
	logs      []*changelog.Store // by region, at their writers
	epochs    []uint64
	cut       func(a, b *Process) bool // nil for none
	sessions  publisher.SessionID
	changes   tracker
	handled   int // events

	generation int
}

// Process is a writer, a relay or a node.
type Process struct {
	Name     string
	Role     Role
	Region   int
	Zone     int // among all
	Index    int // among those of its role
	Traffic  Traffic
	Spent    time.Duration // of processor time, where it is measured
	Measured bool

	network   *Network
	life      int
	down      bool
	stalled   bool
	waiting   []event // while it is stalled
	wakeAt    time.Duration
	uplinks   []*uplink
	publisher *publisher.Publisher // nil for nodes
	sessions  map[publisher.SessionID]*link
	drop      func(publisher.Outgoing) bool // set by faults: what is not sent any more
}

// uplink is one subscriber of a process.
type uplink struct {
	subscriber *subscriber.Subscriber
	regions    []int
	links      map[string]*link // by the name of the parent
}

// link is one connection.
type link struct {
	child      *Process
	childLife  int
	uplink     *uplink
	parent     *Process
	parentLife int
	session    publisher.SessionID
	open       bool          // at the child
	hungUp     bool          // by the child
	toChild    time.Duration // when the last message arrives, as order is kept
	toParent   time.Duration
}

// New makes a fleet. No process runs yet.
func New(p *plan.Plan, step plan.Step) (*Network, error) {
	random := rand.New(rand.NewPCG(p.Seed, seedStream))
	n := &Network{plan: p, step: step, random: random, fleet: newFleet(p, step, random), byName: map[string]*Process{}}
	n.changes.init()
	for region := range p.Fleet.Regions {
		store := changelog.NewStore(regionName(region), changelog.Limits{})
		if err := store.Replace(firstPosition, n.fleet.log(region)); err != nil {
			return nil, fmt.Errorf("first log of %s: %w", regionName(region), err)
		}
		n.logs, n.epochs = append(n.logs, store), append(n.epochs, firstPosition.Epoch)
	}
	n.addProcesses()
	return n, nil
}

func (n *Network) addProcesses() {
	f := &n.plan.Fleet
	for region := range f.Regions {
		n.add(RoleWriter, region, -1, fmt.Sprintf("writer-%d", region), measuredWriters)
	}
	for zone := range f.Zones {
		for i := range f.RelaysPerZone {
			n.add(RoleRelay, zone%f.Regions, zone, fmt.Sprintf("relay-%02d-%d", zone, i), measuredRelays)
		}
	}
	for i := range n.step.Nodes {
		zone := i % f.Zones
		n.add(RoleNode, zone%f.Regions, zone, fmt.Sprintf("node-%05d", i), measuredNodes)
	}
}

func (n *Network) add(role Role, region, zone int, name string, measured int) {
	p := &Process{Name: name, Role: role, Region: region, Zone: zone, Index: len(n.byRole[role]), network: n, down: true}
	p.Measured = p.Index < measured
	n.processes = append(n.processes, p)
	n.byName[name] = p
	n.byRole[role] = append(n.byRole[role], p)
}

// zoneName is what processes of a zone are ranked by. Writers stand for their region, whose relays prefer them.
func (p *Process) zoneName() string {
	switch p.Role {
	case RoleNode:
		return fmt.Sprintf("zone-%02d", p.Zone)
	}
	return regionName(p.Region)
}

// candidate is the process as a parent of a node or relay.
func (p *Process) candidate(child Role) parents.Candidate {
	zone := regionName(p.Region)
	if child == RoleNode {
		zone = fmt.Sprintf("zone-%02d", p.Zone)
	}
	return parents.Candidate{Name: p.Name, Address: p.Name, Zone: zone}
}

// Start begins a life of the process with nothing; a writer has its log.
func (p *Process) Start() {
	if !p.down {
		return
	}
	n := p.network
	p.down, p.uplinks, p.wakeAt = false, nil, 0
	p.sessions = map[publisher.SessionID]*link{}
	if p.Role != RoleNode {
		p.publisher = publisher.New(publisher.Config{
			BytesPerSecond:    float64(n.plan.Rates.RelayBytes),
			BurstBytes:        burstSeconds * float64(n.plan.Rates.RelayBytes),
			HeartbeatInterval: n.plan.Rates.Heartbeat.D(),
			Seed:              n.random.Uint64(),
			Age:               p.age,
		})
	}
	p.subscribe()
	if p.Role == RoleWriter {
		p.publisher.Publish(n.logs[p.Region])
	}
	n.events.push(event{at: n.now, kind: eventWake, process: p, life: p.life})
}

// subscribe makes the process's subscribers.
func (p *Process) subscribe() {
	n := p.network
	var all []int
	for region := range n.fleet.regions {
		all = append(all, region)
	}
	switch p.Role {
	case RoleNode:
		p.follow(all, changelog.Filter{Services: n.fleet.serves[p.Index]}, n.candidates(RoleRelay, RoleNode, func(c *Process) bool { return c.Region == p.Region }))
	case RoleRelay:
		p.follow(all, changelog.Filter{All: true}, n.candidates(RoleWriter, RoleRelay, func(*Process) bool { return true }))
	case RoleWriter:
		for _, region := range all {
			if region != p.Region {
				p.follow([]int{region}, changelog.Filter{All: true}, n.candidates(RoleWriter, RoleWriter, func(c *Process) bool { return c.Region == region }))
			}
		}
	}
}

func (n *Network) candidates(role, child Role, want func(*Process) bool) (out []parents.Candidate) {
	for _, c := range n.byRole[role] {
		if want(c) {
			out = append(out, c.candidate(child))
		}
	}
	return out
}

// follow adds a subscriber.
func (p *Process) follow(regions []int, filter changelog.Filter, candidates []parents.Candidate) {
	n := p.network
	limits := controlnet.LimitsFor(silentHeartbeats * n.plan.Rates.Heartbeat.D())
	var names []string
	for _, region := range regions {
		names = append(names, regionName(region))
	}
	u := &uplink{regions: regions, links: map[string]*link{}}
	u.subscriber = subscriber.New(subscriber.Config{Name: p.Name, Zone: p.zoneName(), Regions: names, Filter: filter, Candidates: candidates,
		Seed: n.random.Uint64(), Limits: limits, Leaf: p.publisher == nil}, p.clock())
	if p.publisher != nil {
		for _, name := range names {
			p.publisher.Publish(u.subscriber.Store(name))
		}
	}
	p.uplinks = append(p.uplinks, u)
}

// clock is the process's monotonic clock.
func (p *Process) clock() time.Duration { return processClockStart + p.network.now }

// age is how old the process's replica of a log is.
func (p *Process) age(region string, now time.Duration) time.Duration {
	for _, u := range p.uplinks {
		if u.subscriber.Store(region) != nil {
			return u.subscriber.Age(region, now)
		}
	}
	return 0
}

// Store is the process's replica of a region's log.
func (p *Process) Store(region int) *changelog.Store {
	if p.Role == RoleWriter && p.Region == region {
		return p.network.logs[region]
	}
	for _, u := range p.uplinks {
		if store := u.subscriber.Store(regionName(region)); store != nil {
			return store
		}
	}
	return nil
}

// Kill ends the process. Its peers hear of it as of a connection that ends.
func (p *Process) Kill() {
	if p.down {
		return
	}
	n := p.network
	for _, u := range p.uplinks {
		for _, l := range sortedLinks(u.links) {
			n.hangUp(l)
		}
	}
	for _, l := range sortedSessions(p.sessions) {
		n.events.push(event{at: n.now + n.latency(p, l.child), kind: eventEnded, process: l.child, life: l.childLife, link: l})
	}
	p.life++
	p.down, p.stalled, p.waiting, p.drop = true, false, nil, nil
	p.publisher, p.uplinks, p.sessions = nil, nil, nil
	n.changes.left(p)
}

// Stall stops the process; what is sent to it waits.
func (p *Process) Stall() { p.stalled = !p.down }

// Wake has a stalled process go on.
func (p *Process) Wake() {
	if !p.stalled {
		return
	}
	p.stalled = false
	for _, e := range p.waiting {
		e.at = p.network.now
		p.network.events.push(e)
	}
	p.waiting = nil
	p.network.events.push(event{at: p.network.now, kind: eventWake, process: p, life: p.life})
}

// At has a function called at a time.
func (n *Network) At(at time.Duration, run func()) {
	n.events.push(event{at: max(at, n.now), kind: eventCall, run: run})
}

// Run goes on until a time. An error is why ctx ended.
func (n *Network) Run(ctx context.Context, until time.Duration) error {
	for len(n.events.items) > 0 && n.events.items[0].at <= until {
		e := n.events.pop()
		n.now = max(n.now, e.at)
		n.handle(&e)
		if n.handled++; n.handled%checkEvery == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	n.now = max(n.now, until)
	return context.Cause(ctx)
}

// handle brings an event to its process.
func (n *Network) handle(e *event) {
	p := e.process
	switch {
	case p == nil:
		e.run()
		return
	case e.life != p.life || p.down:
		return
	case p.stalled:
		p.waiting = append(p.waiting, *e)
		return
	}
	switch e.kind {
	case eventMessage:
		p.receive(e)
	case eventConnected:
		e.link.connected()
	case eventAccepted:
		if !e.link.hungUp {
			p.sessions[e.link.session] = e.link
			p.publisher.Connected(p.clock(), e.link.session)
		}
	case eventEnded:
		e.link.ended()
	case eventHungUp:
		if p.sessions[e.link.session] == e.link {
			delete(p.sessions, e.link.session)
			p.publisher.Disconnected(p.clock(), e.link.session)
		}
	}
	p.drive()
}

// latency is that of one message between two processes.
func (n *Network) latency(a, b *Process) time.Duration {
	base := n.plan.Network.World.D()
	switch {
	case a.Region == b.Region && a.Zone == b.Zone:
		base = n.plan.Network.Zone.D()
	case a.Region == b.Region:
		base = n.plan.Network.Region.D()
	}
	return time.Duration((0.5 + n.random.Float64()) * float64(base))
}

func (n *Network) separated(a, b *Process) bool { return n.cut != nil && (n.cut(a, b) || n.cut(b, a)) }
