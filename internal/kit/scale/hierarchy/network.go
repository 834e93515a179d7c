// Package hierarchy simulates the control plane of a whole fleet in virtual time: one writer per region, relays by zone and
// thousands of nodes. Each process has the state machines of a real one (packages publisher, subscriber and changelog), and
// messages have the size that they have on the wire. It counts the traffic of each process and how long each change takes
// until it is in force.
//
// Some processes of each role are measured: messages to them are decoded from bytes, so that they share no memory with
// others, and the processor time of their calls is taken. All others are passed the sender's messages as they are.
//
// There is no I/O and no goroutine here. The wall clock is read for processor time only; no result depends on it otherwise.
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
	frameBytes            = 20              // around each message: its length and the authentication tag (internal/peers/frame)
	dialTimeout           = 2 * time.Second // of a connection to an unreachable process
	maxMissedHeartbeats   = 3               // after so many missing heartbeats a parent counts as silent
	burstSeconds          = 2               // seconds of a publisher's rate that it may send in a burst, as in internal/controlnet
	eventsPerContextCheck = 1 << 14
	minWakeDelay          = time.Millisecond
	seedStream            = 0x5ca1e
	maxMeasuredNodes      = 32
	maxMeasuredRelays     = 1
	maxMeasuredWriters    = 1
	processClockStart     = time.Hour
)

// Role is the role of a process.
type Role uint8

// The roles.
const (
	RoleWriter Role = iota
	RoleRelay
	RoleNode
	roleCount
)

func (r Role) String() string { return [...]string{"writer", "relay", "node"}[r] }

// Traffic counts what a process has sent and received.
type Traffic struct{ BytesIn, BytesOut, MessagesIn, MessagesOut int64 }

// Network is a simulated fleet with a virtual clock.
type Network struct {
	plan          *plan.Plan
	step          plan.Step
	fleet         *fleet
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	processes     []*Process
	byName        map[string]*Process
	byRole        [roleCount][]*Process
	logs          []*changelog.Store // by region, at their writers
	epochs        []uint64
	partition     func(a, b *Process) bool // pairs that can't communicate; nil for none
	sessions      publisher.SessionID
	changes       tracker
	handledEvents int

	generation int
}

// Process is a writer, a relay or a node.
type Process struct {
	Name     string
	Role     Role
	Region   int
	Zone     int // number among the zones of all regions
	Index    int // number among the processes of its role
	Traffic  Traffic
	CPUTime  time.Duration // of its calls, if it is measured
	Measured bool

	network     *Network
	incarnation int
	down        bool
	stalled     bool
	deferred    []event // received while stalled
	wakeAt      time.Duration
	uplinks     []*uplink
	publisher   *publisher.Publisher // nil for nodes
	sessions    map[publisher.SessionID]*link
	dropped     func(publisher.Outgoing) bool // set by faults: reports messages that are not sent
}

// uplink is a subscriber of a process with its connections.
type uplink struct {
	subscriber *subscriber.Subscriber
	regions    []int
	links      map[string]*link // by the name of the parent
}

// link is a connection between a child and a parent.
type link struct {
	child             *Process
	childIncarnation  int
	uplink            *uplink
	parent            *Process
	parentIncarnation int
	session           publisher.SessionID
	open              bool          // at the child
	closed            bool          // by the child
	lastToChild       time.Duration // arrival of the last message, to keep the order
	lastToParent      time.Duration
}

// New creates a fleet. No process runs yet.
func New(p *plan.Plan, step plan.Step) (*Network, error) {
	random := rand.New(rand.NewPCG(p.Seed, seedStream))
	n := &Network{plan: p, step: step, random: random, fleet: newFleet(p, step, random), byName: map[string]*Process{}}
	n.changes.init()
	for region := range p.Fleet.Regions {
		store := changelog.NewStore(regionName(region), changelog.Limits{})
		if err := store.Replace(firstPosition, n.fleet.log(region)); err != nil {
			return nil, fmt.Errorf("initial log of %s: %w", regionName(region), err)
		}
		n.logs, n.epochs = append(n.logs, store), append(n.epochs, firstPosition.Epoch)
	}
	n.addProcesses()
	return n, nil
}

func (n *Network) addProcesses() {
	f := &n.plan.Fleet
	for region := range f.Regions {
		n.add(RoleWriter, region, -1, fmt.Sprintf("writer-%d", region), maxMeasuredWriters)
	}
	for zone := range f.Zones {
		for i := range f.RelaysPerZone {
			n.add(RoleRelay, zone%f.Regions, zone, fmt.Sprintf("relay-%02d-%d", zone, i), maxMeasuredRelays)
		}
	}
	for i := range n.step.Nodes {
		zone := i % f.Zones
		n.add(RoleNode, zone%f.Regions, zone, fmt.Sprintf("node-%05d", i), maxMeasuredNodes)
	}
}

func (n *Network) add(role Role, region, zone int, name string, measured int) {
	p := &Process{Name: name, Role: role, Region: region, Zone: zone, Index: len(n.byRole[role]), network: n, down: true}
	p.Measured = p.Index < measured
	n.processes = append(n.processes, p)
	n.byName[name] = p
	n.byRole[role] = append(n.byRole[role], p)
}

// zoneName returns the zone by which parents are ranked. For writers and relays it is their region, so that relays prefer
// the writer of their own.
func (p *Process) zoneName() string {
	switch p.Role {
	case RoleNode:
		return fmt.Sprintf("zone-%02d", p.Zone)
	}
	return regionName(p.Region)
}

// candidate returns the process as a possible parent of a child with the given role.
func (p *Process) candidate(child Role) parents.Candidate {
	zone := regionName(p.Region)
	if child == RoleNode {
		zone = fmt.Sprintf("zone-%02d", p.Zone)
	}
	return parents.Candidate{Name: p.Name, Address: p.Name, Zone: zone}
}

// Start starts an incarnation of the process with no state. A writer has its log.
func (p *Process) Start() {
	if !p.down {
		return
	}
	n := p.network
	p.down, p.uplinks, p.wakeAt = false, nil, 0
	p.sessions = map[publisher.SessionID]*link{}
	if p.Role != RoleNode {
		p.publisher = publisher.New(publisher.Config{
			BytesPerSecond:    float64(n.plan.Rates.RelayBytesPerSecond),
			BurstBytes:        burstSeconds * float64(n.plan.Rates.RelayBytesPerSecond),
			HeartbeatInterval: n.plan.Rates.Heartbeat.D(),
			Seed:              n.random.Uint64(),
			Age:               p.age,
		})
	}
	p.subscribe()
	if p.Role == RoleWriter {
		p.publisher.Publish(n.logs[p.Region])
	}
	n.events.push(event{at: n.now, kind: eventWake, process: p, incarnation: p.incarnation})
}

// subscribe creates the process's subscribers.
func (p *Process) subscribe() {
	n := p.network
	var all []int
	for region := range n.fleet.regions {
		all = append(all, region)
	}
	switch p.Role {
	case RoleNode:
		p.subscribeTo(all, changelog.Filter{Services: n.fleet.servicesByNode[p.Index]}, n.candidates(RoleRelay, RoleNode, func(c *Process) bool { return c.Region == p.Region }))
	case RoleRelay:
		p.subscribeTo(all, changelog.Filter{All: true}, n.candidates(RoleWriter, RoleRelay, func(*Process) bool { return true }))
	case RoleWriter:
		for _, region := range all {
			if region != p.Region {
				p.subscribeTo([]int{region}, changelog.Filter{All: true}, n.candidates(RoleWriter, RoleWriter, func(c *Process) bool { return c.Region == region }))
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

// subscribeTo adds a subscriber.
func (p *Process) subscribeTo(regions []int, filter changelog.Filter, candidates []parents.Candidate) {
	n := p.network
	limits := controlnet.LimitsFor(maxMissedHeartbeats * n.plan.Rates.Heartbeat.D())
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

// clock returns the process's monotonic clock.
func (p *Process) clock() time.Duration { return processClockStart + p.network.now }

// age returns the age of the process's replica of a log.
func (p *Process) age(region string, now time.Duration) time.Duration {
	for _, u := range p.uplinks {
		if u.subscriber.Store(region) != nil {
			return u.subscriber.Age(region, now)
		}
	}
	return 0
}

// Store returns the process's replica of a region's log.
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

// Kill stops the process. Its peers see their connections end.
func (p *Process) Kill() {
	if p.down {
		return
	}
	n := p.network
	for _, u := range p.uplinks {
		for _, l := range sortedLinks(u.links) {
			n.closeLink(l)
		}
	}
	for _, l := range sortedSessions(p.sessions) {
		n.events.push(event{at: n.now + n.latency(p, l.child), kind: eventDisconnected, process: l.child, incarnation: l.childIncarnation, link: l})
	}
	p.incarnation++
	p.down, p.stalled, p.deferred, p.dropped = true, false, nil, nil
	p.publisher, p.uplinks, p.sessions = nil, nil, nil
	n.changes.nodeStopped(p)
}

// Stall suspends the process; events for it are deferred.
func (p *Process) Stall() { p.stalled = !p.down }

// Wake resumes a stalled process.
func (p *Process) Wake() {
	if !p.stalled {
		return
	}
	p.stalled = false
	for _, e := range p.deferred {
		e.at = p.network.now
		p.network.events.push(e)
	}
	p.deferred = nil
	p.network.events.push(event{at: p.network.now, kind: eventWake, process: p, incarnation: p.incarnation})
}

// Schedule calls a function at a time.
func (n *Network) Schedule(at time.Duration, run func()) {
	n.events.push(event{at: max(at, n.now), kind: eventCall, run: run})
}

// Run processes events up to a time. It returns an error if ctx ends.
func (n *Network) Run(ctx context.Context, until time.Duration) error {
	for len(n.events.items) > 0 && n.events.items[0].at <= until {
		e := n.events.pop()
		n.now = max(n.now, e.at)
		n.handle(&e)
		if n.handledEvents++; n.handledEvents%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	n.now = max(n.now, until)
	return context.Cause(ctx)
}

// handle delivers an event to its process.
func (n *Network) handle(e *event) {
	p := e.process
	switch {
	case p == nil:
		e.run()
		return
	case e.incarnation != p.incarnation || p.down:
		return
	case p.stalled:
		p.deferred = append(p.deferred, *e)
		return
	}
	switch e.kind {
	case eventMessage:
		p.receive(e)
	case eventConnected:
		e.link.connected()
	case eventAccepted:
		if !e.link.closed {
			p.sessions[e.link.session] = e.link
			p.publisher.Connected(p.clock(), e.link.session)
		}
	case eventDisconnected:
		e.link.disconnected()
	case eventClosed:
		if p.sessions[e.link.session] == e.link {
			delete(p.sessions, e.link.session)
			p.publisher.Disconnected(p.clock(), e.link.session)
		}
	}
	p.drive()
}

// latency draws the one-way delay of a message between two processes.
func (n *Network) latency(a, b *Process) time.Duration {
	base := n.plan.Network.BetweenRegions.D()
	switch {
	case a.Region == b.Region && a.Zone == b.Zone:
		base = n.plan.Network.WithinZone.D()
	case a.Region == b.Region:
		base = n.plan.Network.WithinRegion.D()
	}
	return time.Duration((0.5 + n.random.Float64()) * float64(base))
}

func (n *Network) isPartitioned(a, b *Process) bool {
	return n.partition != nil && (n.partition(a, b) || n.partition(b, a))
}
