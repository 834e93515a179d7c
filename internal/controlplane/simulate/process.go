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

// Role is what a process does.
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
	life        int
	down        bool
	stalled     bool
	waiting     []*event // while it is stalled
	clockOffset time.Duration
	clockRate   float64
	wakeAt      time.Duration

	uplinks     []*uplink
	own         map[string]*changelog.Store // logs that this process writes
	publisher   *publisher.Publisher        // nil for nodes
	connections map[publisher.SessionID]*connection
}

// uplink is a subscriber of a process with its connections. A control process has one for each region.
type uplink struct {
	process     *Process
	subscriber  *subscriber.Subscriber
	filter      changelog.Filter
	connections map[string]*connection
	checked     []*checked // by region, as the subscriber has them
}

// clock is the process's own monotonic clock.
func (p *Process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.network.now)*p.clockRate)
}

// global is when the process's clock will show a time.
func (p *Process) global(local time.Duration) time.Duration {
	return time.Duration(float64(local-p.clockOffset) / p.clockRate)
}

// start begins a life of the process with nothing but the logs that it writes.
func (p *Process) start() {
	p.connections = map[publisher.SessionID]*connection{}
	p.publisher, p.uplinks = nil, nil
	p.wakeAt = 0
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
	p.options.connect(p)
	for _, store := range p.own {
		p.publisher.Publish(store)
	}
	p.network.schedule(p.network.now, p, func() {})
}

// subscribe adds a subscriber for regions.
func (p *Process) subscribe(regions []string, filter changelog.Filter, candidates []parents.Candidate) {
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
		u.checked = append(u.checked, &checked{region: region, inForce: map[resource.Key]resource.Resource{}})
		if p.publisher != nil {
			p.publisher.Publish(u.subscriber.Store(region))
		}
	}
	p.uplinks = append(p.uplinks, u)
}

// uplinkFor finds the subscriber of a region.
func (p *Process) uplinkFor(region string) *uplink {
	for _, u := range p.uplinks {
		if u.replica(region) != nil {
			return u
		}
	}
	return nil
}

// replica is what was last seen of a region, or nil.
func (u *uplink) replica(region string) *checked {
	for _, c := range u.checked {
		if c.region == region {
			return c
		}
	}
	return nil
}

// age is how old the process's replica of a region is.
func (p *Process) age(region string, now time.Duration) time.Duration {
	if p.own[region] != nil {
		return 0
	}
	if u := p.uplinkFor(region); u != nil {
		return u.subscriber.Age(region, now)
	}
	return 0
}

// Subscriber is that of a region, or nil where the process writes the log.
func (p *Process) Subscriber(region string) *subscriber.Subscriber {
	if u := p.uplinkFor(region); u != nil {
		return u.subscriber
	}
	return nil
}

// Publisher is nil for nodes.
func (p *Process) Publisher() *publisher.Publisher { return p.publisher }

// Up reports whether the process runs, also where it is stalled.
func (p *Process) Up() bool { return !p.down }

// drive carries out what the process's state machines want, and calls them again in time.
func (p *Process) drive() {
	if p.down {
		return
	}
	now := p.clock()
	next := now + time.Hour
	for _, u := range p.uplinks {
		u.act(u.subscriber.Step(now))
		next = min(next, u.subscriber.Next(now))
	}
	if p.publisher != nil {
		for _, o := range p.publisher.Step(now) {
			p.sendToChild(o)
		}
		next = min(next, p.publisher.Next(now))
		p.network.checkPublisher(p)
	}
	p.wake(next)
}

// wake drives the process again at a time of its clock.
func (p *Process) wake(local time.Duration) {
	at := max(p.global(local), p.network.now+time.Millisecond)
	if p.wakeAt > p.network.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	p.network.schedule(at, p, func() {})
}

// act carries out what a subscriber wants.
func (u *uplink) act(actions subscriber.Actions) {
	n := u.process.network
	for _, name := range actions.Close {
		if c := u.connections[name]; c != nil {
			delete(u.connections, name)
			c.hangUp()
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
	child, life := c.child, c.child.life
	deliver := func(m message.Message) {
		if child.life == life && c.open && c.current() {
			if err := c.uplink.subscriber.Receive(child.clock(), p.Name, m); err != nil {
				p.network.checks.rejected++
			}
		}
	}
	c.send(p, child, &c.toChild, o.Message, deliver)
	if _, beat := o.Message.(*message.Heartbeat); beat {
		c.replayOld(deliver, o.Message.RegionName())
	}
}

// Stall stops the process until the returned function is called. What is sent to it waits.
func (p *Process) Stall() (wake func()) {
	if p.stalled || p.down {
		return func() {}
	}
	p.stalled = true
	life := p.life
	return func() {
		if p.life != life || !p.stalled {
			return
		}
		p.stalled = false
		waiting := p.waiting
		p.waiting = nil
		for _, e := range waiting {
			p.network.schedule(p.network.now, p, e.run)
		}
		p.network.schedule(p.network.now, p, func() {})
	}
}

// Kill ends the process; its peers' connections end.
func (p *Process) Kill() {
	if p.down {
		return
	}
	for _, u := range p.uplinks {
		for _, c := range sortedConnections(u.connections) {
			if c.parent != nil {
				c.hangUp()
			}
		}
	}
	for _, c := range sortedSessions(p.connections) {
		c.afterCut(p.network.latency(), c.child, c.ended)
	}
	p.life++
	p.down, p.stalled, p.waiting = true, false, nil
}

// Start begins a new life of a process that was killed. It has nothing but the logs that it writes.
func (p *Process) Start() {
	if !p.down {
		return
	}
	p.down = false
	p.start()
}

// Filter changes what a node subscribes to.
func (p *Process) Filter(f changelog.Filter) {
	for _, u := range p.uplinks {
		u.filter = f
		u.subscriber.Subscribe(p.clock(), f)
		for _, c := range u.checked {
			c.widened, c.known = true, false
		}
	}
	p.network.schedule(p.network.now, p, func() {})
}
