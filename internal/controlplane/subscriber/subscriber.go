// Package subscriber keeps the replicas of one process of the control plane: a node, a relay or a control process. It
// connects to two parents of its ranking, streams each region's log from one of them and hears heartbeats from both, and
// changes over when its source is silent, disconnected or behind. What is in force only moves forward: a delta follows
// exactly from it or is dropped, a snapshot is taken whole or not at all, and a state that fails validation leaves the last
// good one in place.
//
// Subscriber is a state machine that its caller drives. There is no I/O, clock or goroutine here; nothing is safe for
// concurrent use.
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

// Limits are the times and bounds of a subscriber. DefaultLimits has those of the target fleet.
type Limits struct {
	ConnectTimeout      time.Duration // a connection that takes longer has failed
	SilenceTimeout      time.Duration // a parent that is silent for longer is given up
	MaxLag              time.Duration // a source that is behind the standby for longer is changed
	CatchUpTimeout      time.Duration // a source that has more and sends nothing of it for longer is asked again
	StaleAfter          time.Duration // a parent whose state is older doesn't count as one of the two
	ReturnAfter         time.Duration // a parent is preferred again after it was stable for between once and twice this
	BackoffBase         time.Duration // of reconnects and repeated requests
	BackoffLimit        time.Duration
	RetryBurst          int     // connects and repeated requests at once
	RetriesPerSecond    float64 // and on average
	MaxBusyWait         time.Duration
	AcknowledgeInterval time.Duration // how often a position is acknowledged again that hasn't moved
	WentBackAfter       time.Duration // for how long all parents must be behind until that is noted
	NoteInterval        time.Duration // between notes of the same kind about messages
	MaxChanges          int           // of one delta
	MaxResources        int           // of one snapshot
	Store               changelog.Limits
}

// DefaultLimits are right for a heartbeat a second.
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

// Config is what a subscriber is made from.
type Config struct {
	Name       string
	Zone       string   // parents of the same zone are preferred; "" for none
	Regions    []string // whose logs are kept
	Filter     changelog.Filter
	Candidates []parents.Candidate
	Seed       uint64
	Limits     Limits
	Leaf       bool // nobody subscribes to this process, as at a node: its replicas keep no history
}

// Outgoing is a message for a parent.
type Outgoing struct {
	Parent  string
	Message message.Message
}

// Applied is news for the process: what to bring into force. Changes lists exactly what differs from before, also after a
// snapshot.
type Applied struct {
	Region   string
	Position resource.Position
	Snapshot bool
	Changes  []resource.Change
}

// Actions is what a caller has to do, in the order of the fields; within Send in its order. The slices are valid until the
// next but one call of Step.
type Actions struct {
	Close   []string
	Connect []parents.Candidate
	Send    []Outgoing
	Applied []Applied
}

// Counts of a replica only grow.
type Counts struct {
	Deltas         uint64 // taken
	Snapshots      uint64 // taken
	Refused        uint64 // transactions and snapshots that failed validation
	Duplicates     uint64 // deltas and snapshots at or behind what is in force
	Gaps           uint64 // deltas that follow from another position
	OldEpochs      uint64 // deltas and snapshots of a writer that was replaced
	Mismatches     uint64 // digests that differ at the same position
	Torn           uint64 // snapshots that broke off or whose parts don't fit together
	Busy           uint64 // requests that a parent put off
	Resubscribes   uint64 // requests repeated on a session
	SourceChanges  uint64
	LaterVersions  uint64 // deltas and snapshots with fields or resources of a later version
	StaleSnapshots uint64 // snapshots behind what is in force, refused
}

// RegionStatus is the state of one replica.
type RegionStatus struct {
	Region   string
	Position resource.Position
	Age      time.Duration // since the writer was known to stand at Position
	Source   string        // the parent that streams the log; "" for none
	Behind   bool          // a parent has told of a later position
	Refused  string        // why the latest state was refused; "" where it is in force
	Counts   Counts
}

// Status is the state of a subscriber.
type Status struct {
	Connected []string // the parents, the most preferred first
	Dropped   uint64   // messages that were wrong
	Regions   []RegionStatus
}

// Subscriber keeps the replicas of one process.
type Subscriber struct {
	cfg        Config
	random     *rand.Rand
	now        time.Duration
	budget     retryBudget
	filter     changelog.Filter
	replicas   []*replica
	byRegion   map[string]*replica
	parents    []*parent // by rank
	byName     map[string]*parent
	stall      time.Duration // by which messages that are read until stallUntil may be older than they say
	stallUntil time.Duration
	started    bool // a parent was connected at some time
	alone      bool // no parent is connected, and that was noted
	actions    Actions
	spare      Actions
	notes      []Note
	noted      map[noteKey]time.Duration
	dropped    uint64
	faults     faults
}

// faults are planted by tests, to show that a check names them; nothing else sets them.
type faults struct {
	acceptOldSnapshots  bool // a snapshot behind what is in force is taken
	acceptTornSnapshots bool // a snapshot with a missing part is taken
	ignoreDigests       bool // digests are not compared
	moveUnchecked       bool // a heartbeat moves the position whatever its digest
	ageUnchecked        bool // a heartbeat makes the state fresh wherever the parent stands
	keepSilentParent    bool // a silent parent is kept
	ignoreLag           bool // a source that is behind is kept
	neverAskAgain       bool // what was lost is not asked for again
	keepRefused         bool // the position of a refused delta is taken without its changes
	omitDeleted         bool // what a snapshot deletes is not told to the process
}

// New returns a subscriber that has nothing and knows nobody but its candidates.
func New(cfg Config, now time.Duration) *Subscriber {
	s := &Subscriber{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		now:      now,
		filter:   cfg.Filter,
		byRegion: map[string]*replica{},
		byName:   map[string]*parent{},
		noted:    map[noteKey]time.Duration{},
	}
	s.budget = retryBudget{tokens: float64(cfg.Limits.RetryBurst), burst: float64(cfg.Limits.RetryBurst), perSec: cfg.Limits.RetriesPerSecond, filledAt: now}
	for i, region := range cfg.Regions {
		r := &replica{Subscriber: s, region: region, index: i, store: changelog.NewStore(region, cfg.storeLimits()), freshAt: now - ageUnknown}
		s.replicas = append(s.replicas, r)
		s.byRegion[region] = r
	}
	s.SetCandidates(now, cfg.Candidates)
	return s
}

// leafTransactions is the history of a replica that nobody subscribes to: what a store keeps at the least.
const leafTransactions = 1

// storeLimits are those of each replica.
func (c *Config) storeLimits() changelog.Limits {
	limits := c.Limits.Store
	if c.Leaf {
		limits.Transactions = leafTransactions
	}
	return limits
}

// Store is the replica of a region, or nil. Only the subscriber changes it.
func (s *Subscriber) Store(region string) *changelog.Store {
	if r := s.byRegion[region]; r != nil {
		return r.store
	}
	return nil
}

// Age is how long ago the writer of a region was known to stand where this replica stands. It grows while nothing is heard.
func (s *Subscriber) Age(region string, now time.Duration) time.Duration {
	r := s.byRegion[region]
	if r == nil {
		return ageUnknown
	}
	return min(max(0, now-r.freshAt), ageUnknown)
}

// Subscribe replaces the subscription. What it no longer holds goes at once; what it holds anew comes with a snapshot.
func (s *Subscriber) Subscribe(now time.Duration, filter changelog.Filter) {
	s.advance(now)
	narrower := !filter.All && contains(s.filter, filter)
	s.filter = filter
	for _, r := range s.replicas {
		r.refilter(narrower)
	}
}

// contains reports whether all services of inner are in outer.
func contains(outer, inner changelog.Filter) bool {
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

// Receive takes a message of a parent. An error says what was wrong with it; it was counted, dropped and noted.
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
		return r.heartbeat(p, session, m)
	case *message.Delta:
		p.heardAt, session.heardAt = s.now, s.now
		return r.delta(p, session, m, skipped)
	case *message.SnapshotPart:
		p.heardAt, session.heardAt = s.now, s.now
		return r.snapshotPart(p, session, m, skipped)
	case *message.Busy:
		p.heardAt, session.heardAt = s.now, s.now
		return r.busy(p, m)
	}
	return s.drop(parent, m.RegionName(), DropUnexpected, fmt.Sprintf("%T", m))
}

// MarkSkipped tells that the next message of a parent held fields or resources of a later version that could not be read. Its
// digest counts them, so the replica takes it as it is, and goes on from there.
func (s *Subscriber) MarkSkipped(now time.Duration, parent string) {
	s.advance(now)
	if p := s.byName[parent]; p != nil {
		p.skipped = true
	}
}

// DroppedError tells of a message that was dropped, in one line.
type DroppedError struct{ MessageDropped }

func (e *DroppedError) Error() string { return e.String() }

// drop counts a wrong message and notes it.
func (s *Subscriber) drop(parent, region string, reason DropReason, detail string) error {
	s.dropped++
	n := MessageDropped{Parent: shorten(parent), Region: shorten(region), Reason: reason, Detail: detail}
	s.noteOnce(n)
	return &DroppedError{n}
}

// maxNoted is how much of a name that others made up a note repeats, in bytes.
const maxNoted = 80

func shorten(name string) string {
	if len(name) > maxNoted {
		return name[:maxNoted] + "..."
	}
	return name
}

// Step returns what is to be done now. It is called after each other call, and at Next at the latest.
func (s *Subscriber) Step(now time.Duration) Actions {
	s.advance(now)
	s.giveUpSilent()
	s.keepConnections()
	for _, r := range s.replicas {
		r.step()
	}
	s.noteAlone()
	actions := s.actions
	s.actions, s.spare = Actions{s.spare.Close[:0], s.spare.Connect[:0], s.spare.Send[:0], s.spare.Applied[:0]}, actions
	return actions
}

// Next is when Step is to be called again at the latest.
func (s *Subscriber) Next(now time.Duration) time.Duration {
	next := now + s.cfg.Limits.SilenceTimeout/checksPerSilence
	for _, p := range s.parents {
		if p.state == parentIdle && p.retryAt > now {
			next = min(next, p.retryAt)
		}
	}
	for _, r := range s.replicas {
		if r.askAgain && r.askAt > now {
			next = min(next, r.askAt)
		}
	}
	return next
}

// checksPerSilence is how often the silence of parents is looked at within the time after which they are given up.
const checksPerSilence = 4

// advance takes the subscriber to a moment. Where much time has passed since the last call this process itself was stalled:
// its parents' messages wait to be read, so their silence is no fault of theirs, and what they say of ages is as old as the
// stall was long.
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
		s.stall = 0 // what was on its way in the last stall has come, or its connection was given up
	}
	s.stall += gap
	s.stallUntil = now + s.cfg.Limits.SilenceTimeout + s.cfg.Limits.SilenceTimeout/checksPerSilence
	for _, p := range s.parents {
		p.excuse(gap)
	}
	for _, r := range s.replicas {
		r.excuse(gap)
	}
}

// waited is for how long a message may have waited here to be read.
func (s *Subscriber) waited() time.Duration {
	if s.now < s.stallUntil {
		return s.stall
	}
	return 0
}

func (s *Subscriber) send(p *parent, m message.Message) {
	s.actions.Send = append(s.actions.Send, Outgoing{p.candidate.Name, m})
}

// Status reports the state of all replicas.
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
