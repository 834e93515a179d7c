// Package shared is the state that the nodes of a fleet share, as one node knows it: the members, the request counts of all
// nodes, this node's share of each budget, and the evidence on failing backends. Replica is a state machine: its caller
// passes local events and the other nodes' messages with the time, and delivers the messages that it returns. The bounds of
// its errors are in docs/design/shared-state.md.
//
// The package has no I/O, clock or goroutines. Nothing in it is safe for concurrent use.
package shared

import (
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/roster"
)

// stepInterval is the interval at which Step is to be called.
const stepInterval = 250 * time.Millisecond

// Features selects what the shared state is used for. The state is sent to other nodes in any case.
type Features struct {
	Quotas    bool // quotas are enforced by the request counts of all nodes
	Escrow    bool // quotas are enforced by this node's share; all shares together never exceed the quota
	Ejections bool // a backend that a quorum of nodes finds unhealthy is ejected here too
	Crossing  bool // load of lost sites goes to another site up to this node's share of what that may get
}

// Config configures a replica.
type Config struct {
	Name           string             // this node's name
	Self           escrow.Node        // its number and incarnation
	Nodes          int                // number of nodes that the settings name, this one included
	Site           string             // of this node
	Quotas         map[string]float64 // by tenant, in requests per second over all nodes
	OverflowSites  []string           // sites that can take the load of lost ones
	Terms          escrow.Terms       // of loans between nodes
	Limits         judgement.Limits   // of ejections
	Features       Features
	BytesPerSecond int // that this node can send

	MaxDatagramBytes int // size of the largest datagram
}

// Message is a frame for one member.
type Message struct {
	To      int // the member's number
	Payload []byte
}

// Replica is one node's copy of the shared state.
type Replica struct {
	cfg      Config
	clock    clock
	lastStep time.Duration // when Step was last called

	// Members.
	roster               *roster.Roster
	notedCount           roster.Count  // the fleet's size at the last step
	incarnationChanged   bool          // since the last call of TakeRenewed
	incarnationChangedAt time.Duration // 0 for never

	// Counts and budgets.
	localCounts map[string]*localCount // by key
	table       *counts.Table          // counts of the other nodes
	ledger      *escrow.Ledger

	// Ejections.
	backends []backend
	pool     *judgement.Pool
	votes    []judgement.Votes // of the last step

	// Broadcasts.
	urgentQueue    *memberlist.TransmitLimitedQueue
	ordinaryQueue  *memberlist.TransmitLimitedQueue
	tokens         float64       // entries of its own that the node can queue now
	repeatInterval time.Duration // interval at which unchanged entries are sent again; grows with the fleet

	stats Stats
	notes []Note
}

// New returns the replica of a node that has just started and knows no other.
func New(cfg Config, now time.Duration) *Replica {
	self := roster.Member{Name: cfg.Name, Number: cfg.Self.Number, Incarnation: cfg.Self.Incarnation, Site: cfg.Site}
	r := &Replica{
		cfg:            cfg,
		clock:          newClock(now),
		lastStep:       now,
		roster:         roster.New(self, cfg.Nodes, staleAfterRepeats*minRepeatInterval),
		localCounts:    newLocalCounts(cfg, now),
		table:          counts.NewTable(),
		ledger:         escrow.New(cfg.Terms, cfg.Self, cfg.Nodes, now),
		pool:           judgement.New(cfg.Limits),
		tokens:         maxBurst,
		repeatInterval: minRepeatInterval,
	}
	fleetSize := func() int { return r.roster.PeerCount() + 1 }
	r.urgentQueue = newQueue(fleetSize, urgentRetransmitFactor)
	r.ordinaryQueue = newQueue(fleetSize, retransmitFactor)
	return r
}

// Step does what is due by the passing of time: it queues updates for the other nodes, requests and returns loans, and
// updates the ejections. It returns the messages for single members.
func (r *Replica) Step(now time.Duration) []Message {
	r.advance(now)
	r.refillTokens()
	r.roster.SetStaleAfter(r.staleAfter())
	r.queueUpdates()
	messages := r.planLoans(now)
	if r.cfg.Features.Ejections {
		r.updateEjections()
	}
	r.table.Prune(r.clock.now, pruneAfterStale*r.staleAfter())
	r.pool.Prune(r.clock.now)
	r.noteFleetSize()
	return messages
}
