package simulate

import (
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// Role is the role of a process.
type Role uint8

// The roles.
const (
	RoleControl Role = iota + 1
	RoleRelay
	RoleNode
)

// Process is a control process, a relay or a node.
type Process struct {
	Name    string
	Role    Role
	Region  string
	Zone    string
	Traffic Traffic

	network     *Network
	options     *Options
	incarnation int
	down        bool
	stalled     bool
	deferred    []*event // events due while the process is stalled
	clockOffset time.Duration
	clockRate   float64
	stepAt      time.Duration

	uplinks     []*uplink
	own         map[string]*changelog.Store // logs that this process writes
	publisher   *publisher.Publisher        // nil for nodes
	connections map[publisher.SessionID]*connection
}

// uplink is a subscriber of a process with its connections. A control process has one for each region that it does not
// write.
type uplink struct {
	process     *Process
	subscriber  *subscriber.Subscriber
	filter      changelog.Filter
	connections map[string]*connection
	replicas    []*replicaCheck // in the order of the subscriber's regions
}

// clock returns the process's own monotonic clock.
func (p *Process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.network.now)*p.clockRate)
}

// networkTime returns the virtual time at which the process's clock shows a time.
func (p *Process) networkTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-p.clockOffset) / p.clockRate)
}

// start starts an incarnation of the process, with no state but the logs that it writes.
func (p *Process) start() {
	p.connections = map[publisher.SessionID]*connection{}
	p.publisher, p.uplinks = nil, nil
	p.stepAt = 0
	if p.Role != RoleNode {
		cfg := p.options.Publisher
		cfg.Seed = p.network.random.Uint64()
		cfg.Age = p.age
		cfg.Size = p.network.size
		p.publisher = publisher.New(cfg)
		if p.options.PlantPublisher != nil {
			p.options.PlantPublisher(p.publisher)
		}
	}
	p.options.addSubscribers(p)
	for _, store := range p.own {
		p.publisher.Publish(store)
	}
	p.network.schedule(p.network.now, p, func() {})
}

// addSubscriber adds a subscriber for regions.
func (p *Process) addSubscriber(regions []string, filter changelog.Filter, candidates []parents.Candidate) {
	if len(regions) == 0 {
		return
	}
	u := &uplink{process: p, filter: filter, connections: map[string]*connection{}}
	u.subscriber = subscriber.New(subscriber.Config{
		Name:       p.Name,
		Zone:       p.Zone,
		Regions:    regions,
		Filter:     filter,
		Candidates: candidates,
		Seed:       p.network.random.Uint64(),
		Limits:     p.options.Subscriber,
		Leaf:       p.publisher == nil,
	}, p.clock())
	if p.options.PlantSubscriber != nil {
		p.options.PlantSubscriber(u.subscriber)
	}
	for _, region := range regions {
		u.replicas = append(u.replicas, &replicaCheck{region: region, inForce: map[resource.Key]resource.Resource{}})
		if p.publisher != nil {
			p.publisher.Publish(u.subscriber.Store(region))
		}
	}
	p.uplinks = append(p.uplinks, u)
}

// uplinkFor returns the uplink of a region, or nil.
func (p *Process) uplinkFor(region string) *uplink {
	for _, u := range p.uplinks {
		if u.replica(region) != nil {
			return u
		}
	}
	return nil
}

// replica returns the last checked state of a region's replica, or nil.
func (u *uplink) replica(region string) *replicaCheck {
	for _, c := range u.replicas {
		if c.region == region {
			return c
		}
	}
	return nil
}

// age returns the age of the process's replica of a region.
func (p *Process) age(region string, now time.Duration) time.Duration {
	if p.own[region] != nil {
		return 0
	}
	if u := p.uplinkFor(region); u != nil {
		return u.subscriber.Age(region, now)
	}
	return 0
}

// Subscriber returns the subscriber of a region, or nil if the process writes the log.
func (p *Process) Subscriber(region string) *subscriber.Subscriber {
	if u := p.uplinkFor(region); u != nil {
		return u.subscriber
	}
	return nil
}

// Publisher returns the process's publisher, or nil for a node.
func (p *Process) Publisher() *publisher.Publisher { return p.publisher }

// Up reports whether the process is running or stalled.
func (p *Process) Up() bool { return !p.down }

// step performs the actions of the process's state machines and schedules their next step.
func (p *Process) step() {
	if p.down {
		return
	}
	now := p.clock()
	next := now + time.Hour
	for _, u := range p.uplinks {
		u.perform(u.subscriber.Step(now))
		next = min(next, u.subscriber.Next(now))
	}
	if p.publisher != nil {
		for _, o := range p.publisher.Step(now) {
			p.sendToChild(o)
		}
		next = min(next, p.publisher.Next(now))
		p.network.checkPublisher(p)
	}
	p.scheduleStep(next)
}

// scheduleStep schedules a step at a time of the process's clock.
func (p *Process) scheduleStep(local time.Duration) {
	at := max(p.networkTime(local), p.network.now+time.Millisecond)
	if p.stepAt > p.network.now && p.stepAt <= at {
		return
	}
	p.stepAt = at
	p.network.schedule(at, p, func() {})
}

// perform performs the actions of a subscriber.
func (u *uplink) perform(actions subscriber.Actions) {
	n := u.process.network
	for _, name := range actions.Close {
		if c := u.connections[name]; c != nil {
			delete(u.connections, name)
			c.closeFromChild()
		}
	}
	for _, candidate := range actions.Connect {
		n.dial(u, candidate.Name)
	}
	for _, o := range actions.Send {
		if c := u.connections[o.Parent]; c != nil && c.open {
			u.sendToParent(c, o.Message)
		}
	}
	n.checkUplink(u, actions.Applied)
}

func (u *uplink) sendToParent(c *connection, m message.Message) {
	parent := c.parent
	c.send(u.process, parent, &c.toParent, m, func(m message.Message) {
		if parent.connections[c.session] == c {
			_ = parent.publisher.Receive(parent.clock(), c.session, m)
		}
	})
}

func (p *Process) sendToChild(o publisher.Outgoing) {
	c := p.connections[o.Session]
	if c == nil {
		return
	}
	child, incarnation := c.child, c.child.incarnation
	deliver := func(m message.Message) {
		if child.incarnation == incarnation && c.open && c.current() {
			if err := c.uplink.subscriber.Receive(child.clock(), p.Name, m); err != nil {
				p.network.checks.rejected++
			}
		}
	}
	c.send(p, child, &c.toChild, o.Message, deliver)
	if _, isHeartbeat := o.Message.(*message.Heartbeat); isHeartbeat {
		c.replayOldState(deliver, o.Message.RegionName())
	}
}

// Stall stops the process until resume is called. Messages to it wait.
func (p *Process) Stall() (resume func()) {
	if p.stalled || p.down {
		return func() {}
	}
	p.stalled = true
	incarnation := p.incarnation
	return func() {
		if p.incarnation != incarnation || !p.stalled {
			return
		}
		p.stalled = false
		deferred := p.deferred
		p.deferred = nil
		for _, e := range deferred {
			p.network.schedule(p.network.now, p, e.run)
		}
		p.network.schedule(p.network.now, p, func() {})
	}
}

// Kill ends the process and its connections.
func (p *Process) Kill() {
	if p.down {
		return
	}
	for _, u := range p.uplinks {
		for _, c := range sortedConnections(u.connections) {
			if c.parent != nil {
				c.closeFromChild()
			}
		}
	}
	for _, c := range sortedSessions(p.connections) {
		c.afterCut(p.network.latency(), c.child, c.disconnectChild)
	}
	p.incarnation++
	p.down, p.stalled, p.deferred = true, false, nil
}

// Start starts a new incarnation of a killed process, with no state but the logs that it writes.
func (p *Process) Start() {
	if !p.down {
		return
	}
	p.down = false
	p.start()
}

// Filter changes the subscription of a node.
func (p *Process) Filter(f changelog.Filter) {
	for _, u := range p.uplinks {
		u.filter = f
		u.subscriber.Subscribe(p.clock(), f)
		for _, c := range u.replicas {
			c.awaitingState, c.stateChecked = true, false
		}
	}
	p.network.schedule(p.network.now, p, func() {})
}
