// Package publisher serves the subscribers of one process of the control plane with the logs of all regions: deltas of what
// they subscribe to, snapshots to those that can't be brought up by deltas, and heartbeats. A change costs the sessions
// whose subscription it touches, not all of them. What is sent keeps to a budget of bytes for the process and for each
// session, and to a bound of bytes that a session hasn't acknowledged.
//
// Publisher is a state machine that its caller drives. There is no I/O, clock or goroutine here; nothing is safe for
// concurrent use.
package publisher

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// Config is what a publisher is made from. Zero fields have the defaults of DefaultConfig, but for Age and Size.
type Config struct {
	BytesPerSecond         float64       // of the process
	BurstBytes             float64       // bytes of the process at once
	SessionBytesPerSecond  float64       // of one session
	SessionBurstBytes      float64       // bytes of one session at once
	MaxUnacknowledgedBytes int           // bytes that a session was sent and hasn't acknowledged
	MaxSnapshots           int           // at a time
	SnapshotTimeout        time.Duration // after which a snapshot is broken off whose parts aren't acknowledged
	PartBytes              int           // of a snapshot's part, about
	MaxDeltaBytes          int           // of a delta; what is larger is sent as a snapshot
	HeartbeatInterval      time.Duration
	BusyRetryBase          time.Duration // the least spread of retries after Busy
	Seed                   uint64

	// Age is how long ago the writer of a region was known to stand where the store stands. Nil stands for zero: the
	// process is the writer of all logs that it serves.
	Age func(region string, now time.Duration) time.Duration
	// Size is the bytes of a message on the wire. Nil stands for an estimate.
	Size func(message.Message) int
}

// DefaultConfig has the values of a relay of the target fleet.
func DefaultConfig() Config {
	return Config{
		BytesPerSecond:         32 << 20,
		BurstBytes:             4 << 20,
		SessionBytesPerSecond:  4 << 20,
		SessionBurstBytes:      1 << 20,
		MaxUnacknowledgedBytes: 512 << 10,
		MaxSnapshots:           64, // bytes are bounded by the budgets, and whole snapshots are shared
		SnapshotTimeout:        10 * time.Second,
		PartBytes:              32 << 10,
		MaxDeltaBytes:          3 << 20, // the largest transaction fits, and a frame holds it
		HeartbeatInterval:      time.Second,
		BusyRetryBase:          time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.BytesPerSecond = cmp.Or(c.BytesPerSecond, d.BytesPerSecond)
	c.BurstBytes = cmp.Or(c.BurstBytes, d.BurstBytes)
	c.SessionBytesPerSecond = cmp.Or(c.SessionBytesPerSecond, d.SessionBytesPerSecond)
	c.SessionBurstBytes = cmp.Or(c.SessionBurstBytes, d.SessionBurstBytes)
	c.MaxUnacknowledgedBytes = cmp.Or(c.MaxUnacknowledgedBytes, d.MaxUnacknowledgedBytes)
	c.MaxSnapshots = cmp.Or(c.MaxSnapshots, d.MaxSnapshots)
	c.SnapshotTimeout = cmp.Or(c.SnapshotTimeout, d.SnapshotTimeout)
	c.PartBytes = cmp.Or(c.PartBytes, d.PartBytes)
	c.MaxDeltaBytes = cmp.Or(c.MaxDeltaBytes, d.MaxDeltaBytes)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, d.HeartbeatInterval)
	c.BusyRetryBase = cmp.Or(c.BusyRetryBase, d.BusyRetryBase)
	if c.Age == nil {
		c.Age = func(string, time.Duration) time.Duration { return 0 }
	}
	if c.Size == nil {
		c.Size = EstimateSize
	}
	return c
}

// Bounds on what a session may ask for.
const (
	MaxRegions  = 64
	MaxServices = message.MaxServices // of one subscription
)

// SessionID names a session; the caller never uses one again.
type SessionID uint64

// Outgoing is a message for a session. Messages are shared between sessions: nobody may change one.
type Outgoing struct {
	Session SessionID
	Message message.Message
}

// SubscriberStatus is what a session has of a region's log.
type SubscriberStatus struct {
	Session             SessionID
	Region              string
	Standby             bool
	State               string            // such as "current" or "snapshot"
	Position            resource.Position // in force there, as last acknowledged
	Refused             string            // why the latest state is not
	UnacknowledgedBytes int               // bytes, of the whole session
}

// Publisher serves the subscribers of one process.
type Publisher struct {
	cfg       Config
	random    *rand.Rand
	now       time.Duration
	bucket    bucket
	sessions  map[SessionID]*session
	beats     queue[*session] // by the time of their next heartbeat
	greetings []*subscription // new ones, that get a heartbeat at once
	regions   []*region       // by name
	deltas    queue[*subscription]
	parts     queue[*subscription]
	throttled []*subscription // until their session's budget allows more
	snapshots []*subscription // being sent
	waiting   int             // subscriptions that were told to come again for a snapshot
	typical   time.Duration   // what a snapshot has taken lately
	sinceLast int             // deltas sent since the last part of a snapshot
	beatBytes int
	block     []message.Heartbeat // not used yet
	out       []Outgoing
	pending   []Outgoing // answers, sent with the next Step
	faults    faults
}

// faults are planted by tests, to show that a check names them; nothing else sets them.
type faults struct {
	missIndex          bool // a change reaches only every other session that subscribes to it
	unboundedSnapshots bool // snapshots are started for everybody at once
	resumeAnywhere     bool // a subscriber is taken to be current wherever it stands
	omitDeleted        bool // deltas hold no deletions
}

// session is one connection of a subscriber.
type session struct {
	id             SessionID
	bucket         bucket
	subscriptions  []*subscription
	beatAt         time.Duration
	gone           bool
	unacknowledged int
	inFlight       []inFlight
}

// inFlight is a message that is not acknowledged yet.
type inFlight struct {
	region *region
	to     resource.Position
	bytes  int
	part   bool // of a snapshot
}

// New returns a publisher that serves nothing yet.
func New(cfg Config) *Publisher {
	cfg = cfg.withDefaults()
	return &Publisher{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)),
		bucket:    newBucket(cfg.BytesPerSecond, cfg.BurstBytes),
		sessions:  map[SessionID]*session{},
		typical:   cfg.BusyRetryBase,
		beatBytes: cfg.Size(&message.Heartbeat{Region: "a typical name", Position: somePosition, Sent: somePosition, Digest: 1 << 62, Age: time.Second}),
	}
}

var somePosition = resource.Position{Epoch: 100, Version: 1_000_000}

// Publish serves a region's log from a store, which its owner goes on changing between calls of Step.
func (p *Publisher) Publish(store *changelog.Store) {
	r := p.region(store.Region())
	r.store, r.position = store, store.Position()
	for _, sub := range r.subscriptions {
		p.reconcile(sub)
	}
}

// region finds or adds a region.
func (p *Publisher) region(name string) *region {
	i, found := slices.BinarySearchFunc(p.regions, name, func(r *region, name string) int { return cmp.Compare(r.name, name) })
	if !found {
		p.regions = slices.Insert(p.regions, i, &region{name: name, byService: map[string][]*subscription{}})
	}
	return p.regions[i]
}

// Connected tells of a new session.
func (p *Publisher) Connected(now time.Duration, id SessionID) {
	p.advance(now)
	s := &session{id: id, bucket: newBucket(p.cfg.SessionBytesPerSecond, p.cfg.SessionBurstBytes), beatAt: p.now + p.cfg.HeartbeatInterval}
	s.bucket.fill(p.now)
	p.sessions[id] = s
	p.beats.push(s)
}

// Disconnected tells that a session has ended.
func (p *Publisher) Disconnected(now time.Duration, id SessionID) {
	p.advance(now)
	s := p.sessions[id]
	if s == nil {
		return
	}
	s.gone = true
	delete(p.sessions, id)
	for _, sub := range s.subscriptions {
		p.remove(sub)
	}
	s.subscriptions = nil
}

// InvalidMessageError tells of a message of a subscriber that was dropped, in one line.
type InvalidMessageError struct {
	Session SessionID
	Region  string
	Problem string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("session %d, region %.80q: %s", e.Session, e.Region, e.Problem)
}

// Receive takes a message of a subscriber. An error says what was wrong with it; the session goes on.
func (p *Publisher) Receive(now time.Duration, id SessionID, m message.Message) error {
	p.advance(now)
	s := p.sessions[id]
	if s == nil {
		return &InvalidMessageError{id, "", "the session isn't connected"}
	}
	switch m := m.(type) {
	case *message.Subscribe:
		return p.subscribe(s, m)
	case *message.Acknowledge:
		return p.acknowledge(s, m)
	case nil:
		return &InvalidMessageError{id, "", "no message"}
	}
	return &InvalidMessageError{id, m.RegionName(), fmt.Sprintf("a subscriber doesn't send %T", m)}
}

// subscribe replaces the session's subscription to a region.
func (p *Publisher) subscribe(s *session, m *message.Subscribe) error {
	if problem := checkServices(m); problem != "" {
		return &InvalidMessageError{s.id, m.Region, problem}
	}
	former := s.subscription(m.Region)
	if former == nil && len(s.subscriptions) >= MaxRegions {
		return &InvalidMessageError{s.id, m.Region, fmt.Sprintf("over %d regions", MaxRegions)}
	}
	if former != nil {
		p.remove(former)
		s.subscriptions = slices.DeleteFunc(s.subscriptions, func(sub *subscription) bool { return sub == former })
	}
	sub := &subscription{
		session: s,
		standby: m.Standby,
		filter:  changelog.Filter{All: m.All, Services: m.Services},
		told:    m.Have,
		digest:  m.Digest,
		known:   true,
		inForce: m.Have,
		greet:   true,
	}
	sub.region = p.region(m.Region)
	s.subscriptions = append(s.subscriptions, sub)
	p.scan(sub.region)
	sub.region.add(sub)
	p.greetings = append(p.greetings, sub)
	p.reconcile(sub)
	return nil
}

// checkServices says what is wrong with a subscription's services, or "".
func checkServices(m *message.Subscribe) string {
	if len(m.Services) > MaxServices {
		return fmt.Sprintf("%d services, at most %d", len(m.Services), MaxServices)
	}
	for i := 1; i < len(m.Services); i++ {
		if m.Services[i-1] >= m.Services[i] {
			return fmt.Sprintf("services are not sorted: %.80q before %.80q", m.Services[i-1], m.Services[i])
		}
	}
	return ""
}

func (s *session) subscription(region string) *subscription {
	for _, sub := range s.subscriptions {
		if sub.region.name == region {
			return sub
		}
	}
	return nil
}

// acknowledge notes what a subscriber has in force.
func (p *Publisher) acknowledge(s *session, m *message.Acknowledge) error {
	sub := s.subscription(m.Region)
	if sub == nil {
		return &InvalidMessageError{s.id, m.Region, "an acknowledgement without a subscription"}
	}
	sub.inForce, sub.refusal = m.Position, m.Refused
	s.release(sub.region, m.Position, m.Refused != "")
	if sub.snapshot != nil {
		sub.snapshot.progressAt = p.now
	}
	if m.Refused != "" {
		p.refused(sub, m.Position)
	}
	for _, each := range s.subscriptions { // the window is the whole session's
		if each.blocked {
			each.blocked = false
			p.enqueue(each)
		}
	}
	return nil
}

// release takes acknowledged messages from the window: those up to the position, and the oldest part of a snapshot that is
// still being sent, as each part is acknowledged.
func (s *session) release(r *region, position resource.Position, all bool) {
	onePart := true
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlight) bool {
		if f.region != r {
			return false
		}
		done := all || f.to.Compare(position) <= 0
		if !done && f.part && onePart {
			onePart, done = false, true
		}
		if done {
			s.unacknowledged -= f.bytes
		}
		return done
	})
}

// Step returns what is to be sent now. It is called after each change of a store or session, and at Next at the latest. The
// slice is valid until the next call.
func (p *Publisher) Step(now time.Duration) []Outgoing {
	p.advance(now)
	clear(p.out)
	p.out = append(p.out[:0], p.pending...)
	p.pending = p.pending[:0]
	for _, r := range p.regions {
		p.scan(r)
		r.shared = nil
		clear(r.deltas)
	}
	p.heartbeats()
	p.breakOffStuck()
	p.wakeThrottled()
	p.sendQueued()
	return p.out
}

// Next is when Step is to be called again at the latest.
func (p *Publisher) Next(now time.Duration) time.Duration {
	next := now + p.cfg.HeartbeatInterval
	if s, ok := p.beats.first(); ok {
		next = min(next, s.beatAt)
	}
	if p.deltas.len()+p.parts.len() > 0 {
		next = min(next, p.bucket.readyAt())
	}
	for _, sub := range p.throttled {
		next = min(next, sub.session.bucket.readyAt())
	}
	return max(next, now)
}

func (p *Publisher) advance(now time.Duration) {
	p.now = max(p.now, now)
	p.bucket.fill(p.now)
}

// ActiveSnapshots is how many snapshots are being sent.
func (p *Publisher) ActiveSnapshots() int { return len(p.snapshots) }

// Subscribers is what each session has in force, by session and region.
func (p *Publisher) Subscribers() []SubscriberStatus {
	var all []SubscriberStatus
	for _, r := range p.regions {
		for _, sub := range r.subscriptions {
			all = append(all, SubscriberStatus{
				Session:             sub.session.id,
				Region:              r.name,
				Standby:             sub.standby,
				State:               sub.state.String(),
				Position:            sub.inForce,
				Refused:             sub.refusal,
				UnacknowledgedBytes: sub.session.unacknowledged,
			})
		}
	}
	slices.SortFunc(all, func(a, b SubscriberStatus) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Region, b.Region))
	})
	return all
}
