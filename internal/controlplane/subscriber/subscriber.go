// Package subscriber keeps the replicas of one control plane process: a node, a relay or a control process. It connects to
// the two highest ranked parents, streams each region's log from one of them, receives heartbeats from both, and fails over
// when the source is silent, disconnected or behind. The position in force never moves back: a delta must start exactly at
// it or is dropped, a snapshot is applied as a whole or not at all, and a state that fails validation leaves the last good
// one in force.
//
// Subscriber is a state machine that its caller drives. It does no I/O, reads no clock and starts no goroutines, and it is
// not safe for concurrent use.
package subscriber

import (
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
)

// Limits holds the timeouts and bounds of a subscriber. DefaultLimits returns those of the target fleet.
type Limits struct {
	ConnectTimeout      time.Duration // a connection that takes longer to establish has failed
	SilenceTimeout      time.Duration // a parent that is silent for longer is disconnected
	MaxLag              time.Duration // a source that is behind a standby for longer is replaced
	CatchUpTimeout      time.Duration // a source that has more and sends nothing of it for longer is sent the request again
	StaleAfter          time.Duration // a parent whose state is older doesn't count as one of the two
	ReturnAfter         time.Duration // a parent is preferred again once it was stable for one to two times as long
	BackoffBase         time.Duration // of reconnects and repeated requests
	BackoffLimit        time.Duration
	RetryBurst          int     // connects and repeated requests in a burst
	RetriesPerSecond    float64 // connects and repeated requests on average
	MaxBusyWait         time.Duration
	AcknowledgeInterval time.Duration // interval at which an unchanged position is acknowledged again
	WentBackAfter       time.Duration // a note is added when all parents have been behind for longer
	NoteInterval        time.Duration // between notes about dropped messages of the same kind
	MaxChanges          int           // in one delta
	MaxResources        int           // in one snapshot
	Store               changelog.Limits
}

// DefaultLimits returns limits for one heartbeat per second.
func DefaultLimits() Limits {
	return Limits{
		ConnectTimeout:      3 * time.Second,
		SilenceTimeout:      3 * time.Second,
		MaxLag:              2 * time.Second,
		CatchUpTimeout:      5 * time.Second,
		StaleAfter:          15 * time.Second,
		ReturnAfter:         30 * time.Second,
		BackoffBase:         time.Second,
		BackoffLimit:        5 * time.Second,
		RetryBurst:          6,
		RetriesPerSecond:    0.5,
		MaxBusyWait:         time.Minute,
		AcknowledgeInterval: 5 * time.Second,
		WentBackAfter:       10 * time.Second,
		NoteInterval:        time.Minute,
		MaxChanges:          100_000,
		MaxResources:        4_000_000,
	}
}

// Config configures a subscriber.
type Config struct {
	Name       string
	Zone       string   // parents of the same zone are preferred; "" for none
	Regions    []string // regions whose logs are replicated
	Filter     changelog.Filter
	Candidates []parents.Candidate
	Seed       uint64
	Limits     Limits
	Leaf       bool // no process subscribes to this one, as at a node; its replicas keep no history
}

// Outgoing is a message to be sent to a parent.
type Outgoing struct {
	Parent  string
	Message message.Message
}

// Applied describes changes that came into force. Changes lists exactly the differences from the former state, also after a
// snapshot.
type Applied struct {
	Region   string
	Position resource.Position
	Snapshot bool
	Changes  []resource.Change
}

// Actions lists what the caller has to do, in the order of the fields, and in order within Send. The slices are valid until
// the next but one call of Step.
type Actions struct {
	Close   []string
	Connect []parents.Candidate
	Send    []Outgoing
	Applied []Applied
}

// Counts holds the counters of a replica. They only grow.
type Counts struct {
	Deltas         uint64 // applied
	Snapshots      uint64 // applied
	Refused        uint64 // transactions and snapshots that failed validation
	Duplicates     uint64 // deltas and snapshots at or behind the position in force
	Gaps           uint64 // deltas that start at another position
	OldEpochs      uint64 // deltas and snapshots of a writer that was replaced
	Mismatches     uint64 // digests that differ at the same position
	Torn           uint64 // snapshots that were aborted or whose parts don't match
	Busy           uint64 // Busy messages from the source
	Resubscribes   uint64 // requests repeated on a session
	SourceChanges  uint64
	LaterVersions  uint64 // deltas and snapshots with fields or resources of a later version
	StaleSnapshots uint64 // snapshots behind the state in force, dropped
}

// RegionStatus is the status of one replica.
type RegionStatus struct {
	Region   string
	Position resource.Position
	Age      time.Duration // time since the writer was known to be at Position
	Source   string        // the parent that streams the log; "" for none
	Behind   bool          // a parent has reported a later position
	Refused  string        // why the latest state was refused; "" if it is in force
	Counts   Counts
}

// Status is the status of a subscriber.
type Status struct {
	Connected []string // connected parents, most preferred first
	Dropped   uint64   // invalid messages
	Regions   []RegionStatus
}

// Subscriber keeps the replicas of one process.
type Subscriber struct {
	cfg           Config
	random        *rand.Rand
	now           time.Duration
	retries       retryBudget
	filter        changelog.Filter
	replicas      []*replica
	byRegion      map[string]*replica
	parents       []*parent // sorted by rank
	byName        map[string]*parent
	stallDuration time.Duration // messages read until stallUntil may be older than they state by this much
	stallUntil    time.Duration
	everConnected bool // a parent has been connected
	noParent      bool // no parent was connected at the last Step
	actions       Actions
	spareActions  Actions
	notes         []Note
	lastNoted     map[noteKey]time.Duration
	dropped       uint64
	faults        faults
}

// faults are set by tests only, to show that a check detects them.
type faults struct {
	acceptOldSnapshots  bool // a snapshot behind the state in force is applied
	acceptTornSnapshots bool // a snapshot with a missing part is applied
	ignoreDigests       bool // digests are not compared
	advanceUnverified   bool // a heartbeat advances the position whatever its digest
	trustAnyAge         bool // a heartbeat refreshes the age whatever the parent's position
	keepSilentParent    bool // a silent parent stays connected
	ignoreLag           bool // a lagging source is kept
	neverRetry          bool // lost messages are not requested again
	advanceOnRefusal    bool // the position of a refused delta is taken without its changes
	omitDeletions       bool // deletions by a snapshot are not reported to the process
}

// New returns a subscriber without state or connections.
func New(cfg Config, now time.Duration) *Subscriber {
	s := &Subscriber{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		now:       now,
		filter:    cfg.Filter,
		byRegion:  map[string]*replica{},
		byName:    map[string]*parent{},
		lastNoted: map[noteKey]time.Duration{},
	}
	s.retries = retryBudget{tokens: float64(cfg.Limits.RetryBurst), burst: float64(cfg.Limits.RetryBurst), tokensPerSecond: cfg.Limits.RetriesPerSecond, filledAt: now}
	for i, region := range cfg.Regions {
		r := &replica{Subscriber: s, region: region, index: i, store: changelog.NewStore(region, cfg.storeLimits()), freshAt: now - ageUnknown}
		s.replicas = append(s.replicas, r)
		s.byRegion[region] = r
	}
	s.SetCandidates(now, cfg.Candidates)
	return s
}

// leafHistoryTransactions is the history of a replica that no process subscribes to: the minimum that a store keeps.
const leafHistoryTransactions = 1

// storeLimits returns the limits of each replica's store.
func (c *Config) storeLimits() changelog.Limits {
	limits := c.Limits.Store
	if c.Leaf {
		limits.Transactions = leafHistoryTransactions
	}
	return limits
}

// Store returns the replica of a region, or nil. Only the subscriber may change it.
func (s *Subscriber) Store(region string) *changelog.Store {
	if r := s.byRegion[region]; r != nil {
		return r.store
	}
	return nil
}

// Age returns how long ago the writer of a region was known to be at the replica's position. It grows while no parent
// confirms the position.
func (s *Subscriber) Age(region string, now time.Duration) time.Duration {
	r := s.byRegion[region]
	if r == nil {
		return ageUnknown
	}
	return min(max(0, now-r.freshAt), ageUnknown)
}

// Subscribe replaces the subscription. Resources no longer subscribed to are removed at once; new ones arrive with a
// snapshot.
func (s *Subscriber) Subscribe(now time.Duration, filter changelog.Filter) {
	s.advance(now)
	narrower := !filter.All && covers(s.filter, filter)
	s.filter = filter
	for _, r := range s.replicas {
		r.handleFilterChange(narrower)
	}
}

// covers reports whether outer contains all services of inner.
func covers(outer, inner changelog.Filter) bool {
	if outer.All {
		return true
	}
	if inner.All {
		return false
	}
	for _, service := range inner.Services {
		if !outer.Contains(service) {
			return false
		}
	}
	return true
}

// Receive handles a message of a parent. An error reports what was wrong with a message that was dropped; it has been
// counted and noted.
func (s *Subscriber) Receive(now time.Duration, parent string, m message.Message) error {
	s.advance(now)
	if m == nil {
		return s.drop(parent, "", DropMalformed, "no message")
	}
	p := s.byName[parent]
	if p == nil || p.state != parentConnected {
		return s.drop(parent, m.RegionName(), DropUnknownParent, fmt.Sprintf("%T", m))
	}
	r := s.byRegion[m.RegionName()]
	if r == nil {
		return s.drop(parent, m.RegionName(), DropUnknownRegion, fmt.Sprintf("%T", m))
	}
	skipped := p.skipped
	p.skipped = false
	session := &p.sessions[r.index]
	switch m := m.(type) {
	case *message.Heartbeat:
		p.heardAt, session.heardAt = s.now, s.now
		return r.handleHeartbeat(p, session, m)
	case *message.Delta:
		p.heardAt, session.heardAt = s.now, s.now
		return r.handleDelta(p, session, m, skipped)
	case *message.SnapshotPart:
		p.heardAt, session.heardAt = s.now, s.now
		return r.handleSnapshotPart(p, session, m, skipped)
	case *message.Busy:
		p.heardAt, session.heardAt = s.now, s.now
		return r.handleBusy(p, m)
	}
	return s.drop(parent, m.RegionName(), DropUnexpected, fmt.Sprintf("%T", m))
}

// MarkSkipped reports that the next message of a parent contained fields or resources of a later version that could not be
// read. The parent's digest includes them, so the replica accepts that digest and continues from it.
func (s *Subscriber) MarkSkipped(now time.Duration, parent string) {
	s.advance(now)
	if p := s.byName[parent]; p != nil {
		p.skipped = true
	}
}

// DroppedError reports a message that was dropped. Its text is one line.
type DroppedError struct{ MessageDropped }

func (e *DroppedError) Error() string { return e.String() }

// drop counts and notes an invalid message, and returns the error for it.
func (s *Subscriber) drop(parent, region string, reason DropReason, detail string) error {
	s.dropped++
	n := MessageDropped{Parent: truncate(parent), Region: truncate(region), Reason: reason, Detail: detail}
	s.noteOnce(n)
	return &DroppedError{n}
}

// maxNotedNameBytes bounds how much of a name sent by others is repeated in a note.
const maxNotedNameBytes = 80

func truncate(name string) string {
	if len(name) > maxNotedNameBytes {
		return name[:maxNotedNameBytes] + "..."
	}
	return name
}

// Step returns what is to be done now. It must be called after each other call, and no later than Next.
func (s *Subscriber) Step(now time.Duration) Actions {
	s.advance(now)
	s.closeUnresponsive()
	s.maintainConnections()
	for _, r := range s.replicas {
		r.step()
	}
	s.noteNoParent()
	actions := s.actions
	s.actions, s.spareActions = Actions{s.spareActions.Close[:0], s.spareActions.Connect[:0], s.spareActions.Send[:0], s.spareActions.Applied[:0]}, actions
	return actions
}

// Next returns the time by which Step must be called again.
func (s *Subscriber) Next(now time.Duration) time.Duration {
	next := now + s.cfg.Limits.SilenceTimeout/checksPerSilenceTimeout
	for _, p := range s.parents {
		if p.state == parentIdle && p.retryAt > now {
			next = min(next, p.retryAt)
		}
	}
	for _, r := range s.replicas {
		if r.retryPending && r.retryAt > now {
			next = min(next, r.retryAt)
		}
	}
	return next
}

// checksPerSilenceTimeout is how often the silence of parents is checked within SilenceTimeout.
const checksPerSilenceTimeout = 4

// advance moves the clock forward. A long time since the last call means that this process itself was stalled: messages of
// the parents wait to be read, so their silence is not their fault, and the ages that they report are too low by up to the
// duration of the stall.
func (s *Subscriber) advance(now time.Duration) {
	gap := now - s.now
	if gap <= 0 {
		return
	}
	s.now = now
	if gap <= s.cfg.Limits.SilenceTimeout/2 {
		return
	}
	if now-gap > s.stallUntil {
		s.stallDuration = 0 // messages of the last stall have arrived, or their connection was closed
	}
	s.stallDuration += gap
	s.stallUntil = now + s.cfg.Limits.SilenceTimeout + s.cfg.Limits.SilenceTimeout/checksPerSilenceTimeout
	for _, p := range s.parents {
		p.shiftTimes(gap)
	}
	for _, r := range s.replicas {
		r.shiftTimes(gap)
	}
}

// maxReadDelay returns for how long a message may have waited to be read.
func (s *Subscriber) maxReadDelay() time.Duration {
	if s.now < s.stallUntil {
		return s.stallDuration
	}
	return 0
}

func (s *Subscriber) send(p *parent, m message.Message) {
	s.actions.Send = append(s.actions.Send, Outgoing{p.candidate.Name, m})
}

// Status returns the status of the subscriber and all replicas.
func (s *Subscriber) Status(now time.Duration) Status {
	status := Status{Dropped: s.dropped}
	for _, p := range s.parents {
		if p.state == parentConnected {
			status.Connected = append(status.Connected, p.candidate.Name)
		}
	}
	for _, r := range s.replicas {
		status.Regions = append(status.Regions, r.status(now))
	}
	return status
}
