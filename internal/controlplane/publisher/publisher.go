// Package publisher serves the logs of all regions to the subscribers of one control plane process: deltas of what they
// subscribe to, snapshots for subscribers that deltas can't bring up to date, and heartbeats. A change is processed only for
// the sessions whose subscription it affects. Sending is limited by a byte budget for the process, a byte budget for each
// session, and a bound on the unacknowledged bytes of a session.
//
// Publisher is a state machine that its caller drives. It does no I/O, reads no clock and starts no goroutines, and it is
// not safe for concurrent use.
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

// Config configures a publisher. Zero fields take their value from DefaultConfig, except for Age and Size.
type Config struct {
	BytesPerSecond         float64       // budget of the process
	BurstBytes             float64       // burst of the process budget
	SessionBytesPerSecond  float64       // budget of each session
	SessionBurstBytes      float64       // burst of each session budget
	MaxUnacknowledgedBytes int           // bytes sent to a session that it has not acknowledged
	MaxSnapshots           int           // snapshots in progress at the same time
	SnapshotTimeout        time.Duration // a snapshot that waits for acknowledgements for longer is aborted
	PartBytes              int           // approximate size of a snapshot part
	MaxDeltaBytes          int           // a larger delta is replaced by a snapshot
	HeartbeatInterval      time.Duration
	BusyRetryBase          time.Duration // base of the random waits that Busy announces
	Seed                   uint64

	// Age returns how long ago the writer of a region was known to be at the store's position. If it is nil the age is
	// always zero: the process is the writer of all logs that it serves.
	Age func(region string, now time.Duration) time.Duration
	// Size returns the size of a message on the wire in bytes. If it is nil, EstimateSize is used.
	Size func(message.Message) int
}

// DefaultConfig returns the configuration of a relay of the target fleet.
func DefaultConfig() Config {
	return Config{
		BytesPerSecond:         32 << 20,
		BurstBytes:             4 << 20,
		SessionBytesPerSecond:  4 << 20,
		SessionBurstBytes:      1 << 20,
		MaxUnacknowledgedBytes: 512 << 10,
		MaxSnapshots:           64, // the budgets bound the bytes, and full snapshots are shared
		SnapshotTimeout:        10 * time.Second,
		PartBytes:              32 << 10,
		MaxDeltaBytes:          3 << 20, // holds the largest transaction and fits into a frame
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

// Bounds on the subscriptions of a session.
const (
	MaxRegions  = 64
	MaxServices = message.MaxServices // per subscription
)

// SessionID identifies a session. The caller never reuses an ID.
type SessionID uint64

// Outgoing is a message to be sent to a session. Messages are shared between sessions and must not be modified.
type Outgoing struct {
	Session SessionID
	Message message.Message
}

// SubscriberStatus is the state of a session's subscription to a region's log.
type SubscriberStatus struct {
	Session             SessionID
	Region              string
	Standby             bool
	State               string            // such as "current" or "snapshot"
	Position            resource.Position // in force at the subscriber, as last acknowledged
	Refused             string            // why the subscriber refused the latest state
	UnacknowledgedBytes int               // of the whole session
}

// Publisher serves the subscribers of one process.
type Publisher struct {
	cfg              Config
	random           *rand.Rand
	now              time.Duration
	bucket           bucket
	sessions         map[SessionID]*session
	heartbeatQueue   queue[*session] // ordered by the time of their next heartbeat
	newSubscriptions []*subscription // to be sent a heartbeat with the next Step
	regions          []*region       // sorted by name
	deltaQueue       queue[*subscription]
	partQueue        queue[*subscription]
	throttled        []*subscription // waiting for budget of their session
	activeSnapshots  []*subscription // with a snapshot in progress
	waitingCount     int             // subscriptions in stateWaiting
	meanSnapshotTime time.Duration   // moving average of the duration of a snapshot
	deltasSincePart  int             // deltas sent since the last snapshot part
	heartbeatBytes   int
	unusedHeartbeats []message.Heartbeat // allocated and not used yet
	outgoing         []Outgoing
	pendingReplies   []Outgoing // replies to be sent with the next Step
	faults           faults
}

// faults are set by tests only, to show that a check detects them.
type faults struct {
	skipEveryOtherSession bool // a change is sent to only every other session that subscribes to it
	unboundedSnapshots    bool // MaxSnapshots is not enforced
	assumeCurrent         bool // a subscriber at any position is treated as current
	omitDeletions         bool // deltas contain no deletions
}

// session is a connection of a subscriber.
type session struct {
	id                  SessionID
	bucket              bucket
	subscriptions       []*subscription
	heartbeatAt         time.Duration
	closed              bool
	unacknowledgedBytes int
	inFlight            []inFlight
}

// inFlight is a message that has not been acknowledged.
type inFlight struct {
	region         *region
	to             resource.Position
	bytes          int
	isSnapshotPart bool
}

// New returns a publisher without logs or sessions.
func New(cfg Config) *Publisher {
	cfg = cfg.withDefaults()
	return &Publisher{
		cfg:              cfg,
		random:           rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)),
		bucket:           newBucket(cfg.BytesPerSecond, cfg.BurstBytes),
		sessions:         map[SessionID]*session{},
		meanSnapshotTime: cfg.BusyRetryBase,
		heartbeatBytes:   cfg.Size(&message.Heartbeat{Region: "a typical name", Position: typicalPosition, Sent: typicalPosition, Digest: 1 << 62, Age: time.Second}),
	}
}

var typicalPosition = resource.Position{Epoch: 100, Version: 1_000_000}

// Publish serves a region's log from a store, which its owner may change between calls of Step.
func (p *Publisher) Publish(store *changelog.Store) {
	r := p.region(store.Region())
	r.store, r.position = store, store.Position()
	for _, sub := range r.subscriptions {
		p.reconcile(sub)
	}
}

// region returns the region of a name, adding it if it is missing.
func (p *Publisher) region(name string) *region {
	i, found := slices.BinarySearchFunc(p.regions, name, func(r *region, name string) int { return cmp.Compare(r.name, name) })
	if !found {
		p.regions = slices.Insert(p.regions, i, &region{name: name, byService: map[string][]*subscription{}})
	}
	return p.regions[i]
}

// Connected adds a session.
func (p *Publisher) Connected(now time.Duration, id SessionID) {
	p.advance(now)
	s := &session{id: id, bucket: newBucket(p.cfg.SessionBytesPerSecond, p.cfg.SessionBurstBytes), heartbeatAt: p.now + p.cfg.HeartbeatInterval}
	s.bucket.fill(p.now)
	p.sessions[id] = s
	p.heartbeatQueue.push(s)
}

// Disconnected removes a session.
func (p *Publisher) Disconnected(now time.Duration, id SessionID) {
	p.advance(now)
	s := p.sessions[id]
	if s == nil {
		return
	}
	s.closed = true
	delete(p.sessions, id)
	for _, sub := range s.subscriptions {
		p.remove(sub)
	}
	s.subscriptions = nil
}

// InvalidMessageError reports a subscriber's message that was dropped. Its text is one line.
type InvalidMessageError struct {
	Session SessionID
	Region  string
	Problem string
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("session %d, region %.80q: %s", e.Session, e.Region, e.Problem)
}

// Receive handles a message of a subscriber. An error reports what was wrong with the message; the session stays open.
func (p *Publisher) Receive(now time.Duration, id SessionID, m message.Message) error {
	p.advance(now)
	s := p.sessions[id]
	if s == nil {
		return &InvalidMessageError{id, "", "session not connected"}
	}
	switch m := m.(type) {
	case *message.Subscribe:
		return p.subscribe(s, m)
	case *message.Acknowledge:
		return p.acknowledge(s, m)
	case nil:
		return &InvalidMessageError{id, "", "no message"}
	}
	return &InvalidMessageError{id, m.RegionName(), fmt.Sprintf("unexpected message type %T", m)}
}

// subscribe replaces the session's subscription to a region.
func (p *Publisher) subscribe(s *session, m *message.Subscribe) error {
	if problem := checkServices(m); problem != "" {
		return &InvalidMessageError{s.id, m.Region, problem}
	}
	former := s.subscription(m.Region)
	if former == nil && len(s.subscriptions) >= MaxRegions {
		return &InvalidMessageError{s.id, m.Region, fmt.Sprintf("subscribed to more than %d regions", MaxRegions)}
	}
	if former != nil {
		p.remove(former)
		s.subscriptions = slices.DeleteFunc(s.subscriptions, func(sub *subscription) bool { return sub == former })
	}
	sub := &subscription{
		session:       s,
		standby:       m.Standby,
		filter:        changelog.Filter{All: m.All, Services: m.Services},
		sentPosition:  m.Have,
		sentDigest:    m.Digest,
		digestKnown:   true,
		ackedPosition: m.Have,
		heartbeatDue:  true,
	}
	sub.region = p.region(m.Region)
	s.subscriptions = append(s.subscriptions, sub)
	p.scanChanges(sub.region)
	sub.region.add(sub)
	p.newSubscriptions = append(p.newSubscriptions, sub)
	p.reconcile(sub)
	return nil
}

// checkServices returns what is wrong with a subscription's services, or "".
func checkServices(m *message.Subscribe) string {
	if len(m.Services) > MaxServices {
		return fmt.Sprintf("%d services, at most %d", len(m.Services), MaxServices)
	}
	for i := 1; i < len(m.Services); i++ {
		if m.Services[i-1] >= m.Services[i] {
			return fmt.Sprintf("services not sorted or repeated: %.80q before %.80q", m.Services[i-1], m.Services[i])
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

// acknowledge records which position a subscriber has in force.
func (p *Publisher) acknowledge(s *session, m *message.Acknowledge) error {
	sub := s.subscription(m.Region)
	if sub == nil {
		return &InvalidMessageError{s.id, m.Region, "acknowledgement without a subscription"}
	}
	sub.ackedPosition, sub.refusalReason = m.Position, m.Refused
	s.release(sub.region, m.Position, m.Refused != "")
	if sub.snapshot != nil {
		sub.snapshot.progressAt = p.now
	}
	if m.Refused != "" {
		p.handleRefusal(sub, m.Position)
	}
	for _, each := range s.subscriptions { // the limit on unacknowledged bytes is for the whole session
		if each.blocked {
			each.blocked = false
			p.enqueue(each)
		}
	}
	return nil
}

// release removes acknowledged messages of a region from the messages in flight: those up to the position and, as each part
// of a snapshot is acknowledged, the oldest part of a snapshot that is still being sent. If all is set it removes all of
// them.
func (s *session) release(r *region, position resource.Position, all bool) {
	onePart := true
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlight) bool {
		if f.region != r {
			return false
		}
		done := all || f.to.Compare(position) <= 0
		if !done && f.isSnapshotPart && onePart {
			onePart, done = false, true
		}
		if done {
			s.unacknowledgedBytes -= f.bytes
		}
		return done
	})
}

// Step returns the messages to be sent now. It must be called after each change of a store or session, and no later than
// Next. The slice is valid until the next call.
func (p *Publisher) Step(now time.Duration) []Outgoing {
	p.advance(now)
	clear(p.outgoing)
	p.outgoing = append(p.outgoing[:0], p.pendingReplies...)
	p.pendingReplies = p.pendingReplies[:0]
	for _, r := range p.regions {
		p.scanChanges(r)
		r.standbyHeartbeat = nil
		clear(r.fullDeltas)
	}
	p.sendHeartbeats()
	p.abortStalledSnapshots()
	p.requeueThrottled()
	p.sendQueued()
	return p.outgoing
}

// Next returns the time by which Step must be called again.
func (p *Publisher) Next(now time.Duration) time.Duration {
	next := now + p.cfg.HeartbeatInterval
	if s, ok := p.heartbeatQueue.first(); ok {
		next = min(next, s.heartbeatAt)
	}
	if p.deltaQueue.len()+p.partQueue.len() > 0 {
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

// ActiveSnapshots returns the number of snapshots in progress.
func (p *Publisher) ActiveSnapshots() int { return len(p.activeSnapshots) }

// Subscribers returns the state of all subscriptions, sorted by session and region.
func (p *Publisher) Subscribers() []SubscriberStatus {
	var all []SubscriberStatus
	for _, r := range p.regions {
		for _, sub := range r.subscriptions {
			all = append(all, SubscriberStatus{
				Session:             sub.session.id,
				Region:              r.name,
				Standby:             sub.standby,
				State:               sub.state.String(),
				Position:            sub.ackedPosition,
				Refused:             sub.refusalReason,
				UnacknowledgedBytes: sub.session.unacknowledgedBytes,
			})
		}
	}
	slices.SortFunc(all, func(a, b SubscriberStatus) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Region, b.Region))
	})
	return all
}
