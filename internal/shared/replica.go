// Package shared holds the state that the nodes of a fleet share, as one node knows it: the members, the request counts
// of all nodes, the parts of each budget, and the judgements on backends. Replica is a state machine. Its caller hands in
// local events and the other nodes' messages with the time, and delivers the messages that it returns. The bounds of its
// errors are in docs/design/shared-state.md.
//
// There is no I/O, clock or goroutine here. Nothing is safe for concurrent use.
package shared

import (
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/roster"
)

// stepInterval is how often Step is to be called.
const stepInterval = 250 * time.Millisecond

// Use says what the shared state is used for. It is told to other nodes in any case.
type Use struct {
	Quotas    bool // a tenant's requests within its quota follow from the counts of all nodes
	Escrow    bool // they follow from this node's part of the quota; all parts together never exceed it
	Ejections bool // a backend that enough other nodes find broken is left out here too
	Crossing  bool // the load of lost sites that may go to another site follows from this node's part of it
}

// Config is what a replica is made from.
type Config struct {
	Name           string             // this node's name
	Self           escrow.Node        // its number and incarnation
	Nodes          int                // number of nodes that the settings name, this one included
	Site           string             // where this node is
	Quotas         map[string]float64 // by tenant, in requests a second over all nodes
	OverflowSites  []string           // sites that may get the load of lost ones
	Terms          escrow.Terms       // of loans between nodes
	Limits         judgement.Limits   // of judgements on backends
	Use            Use
	BytesPerSecond int // bytes that this node may send in a second

	DatagramBytes int // size of the largest datagram in bytes
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
	roster    *roster.Roster
	seenCount roster.Count  // the fleet's size at the last step
	renewed   bool          // this node has a new incarnation that Renewed has not told yet
	renewedAt time.Duration // when it got the latest one; 0 for never

	// Counts and budgets.
	localCounts map[string]*localCount // by key
	table       *counts.Table          // counts of the other nodes
	ledger      *escrow.Ledger

	// Judgements.
	backends []backend
	pool     *judgement.Pool
	votes    []judgement.Votes // of the last step

	// Broadcasts.
	urgentQueue    *memberlist.TransmitLimitedQueue
	ordinaryQueue  *memberlist.TransmitLimitedQueue
	tokens         float64       // entries that may be told now
	repeatInterval time.Duration // how often what has not changed is told again; it grows with the fleet

	stats Stats
	notes []Note
}

// New returns the replica of a node that has just started and heard nobody.
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

// Step does what time alone makes due: it queues news for the other nodes, asks for parts of budgets and judges backends.
// It returns the messages for single members.
func (r *Replica) Step(now time.Duration) []Message {
	r.advance(now)
	r.refillTokens()
	r.roster.SetStaleAfter(r.staleAfter())
	r.queueNews()
	messages := r.planLoans(now)
	if r.cfg.Use.Ejections {
		r.judge()
	}
	r.table.Prune(r.clock.now, pruneAfterStale*r.staleAfter())
	r.pool.Prune(r.clock.now)
	r.noteFleetSize()
	return messages
}
