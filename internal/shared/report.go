package shared

import (
	"cmp"
	"slices"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/roster"
)

// Note is an entry for the operator's log.
type Note struct {
	Text string
	Args []any // key, value, key, value
}

// Notes returns the notes since the last call.
func (r *Replica) Notes() []Note {
	notes := r.notes
	r.notes = nil
	return notes
}

func (r *Replica) note(text string, args ...any) { r.notes = append(r.notes, Note{text, args}) }

// Stats are counters since the start.
type Stats struct {
	Received, Skipped, Bad, Stale int // entries received; Bad also counts frames
	Told, Forwarded               int // entries queued for sending: this node's own, and other nodes'
	Asked, Lent, Granted          int // loans: requests sent, requests answered, answers received
}

// BudgetShare is this node's share of one budget.
type BudgetShare struct {
	Budget    string        `json:"budget"`
	Spendable float64       `json:"spendable"` // fraction of the whole budget
	Base      float64       `json:"base"`      // fraction of the whole budget that this node owns
	Borrowed  []escrow.Loan `json:"held,omitempty"`
	Lent      []escrow.Loan `json:"lent,omitempty"`
}

// Member is another node, as an operator sees it.
type Member struct {
	Name        string        `json:"name"`
	Number      int           `json:"number"`
	Incarnation uint64        `json:"incarnation"`
	Site        string        `json:"site"`
	State       string        `json:"state"`
	SinceHeard  time.Duration `json:"heard_ns_ago"`
}

// Vote has the verdicts of all nodes on a backend.
type Vote struct {
	Name         string `json:"name"`
	Site         string `json:"site"`
	Unhealthy    int    `json:"find_it_broken"` // nodes, this one included
	Healthy      int    `json:"say_it_answers"`
	OwnUnhealthy bool   `json:"this_node_finds_it_broken"`
	Ejected      bool   `json:"out"`
}

// PeerCount is another node's count as this node knows it.
type PeerCount struct {
	Key          string        `json:"key"`
	Node         int           `json:"of"` // the other node's number
	Incarnation  uint64        `json:"life"`
	Epoch        uint64        `json:"epoch"` // the open one, each of counts.EpochDuration, from 0 at the start of the incarnation
	ClosedEpochs uint64        `json:"closed_epochs"`
	Sum          uint64        `json:"sum"` // of the closed epochs
	Age          time.Duration `json:"ns_ago"`
}

// PeerCounts returns the known counts of the other nodes, ordered by key and number.
func (r *Replica) PeerCounts(now time.Duration) []PeerCount {
	r.advance(now)
	var all []PeerCount
	r.table.All(func(key string, node int, window counts.TimedWindow) {
		sum, closed := window.Closed()
		all = append(all, PeerCount{key, node, window.Incarnation, window.Epoch, closed, sum, max(0, r.clock.now-window.CountedAt)})
	})
	slices.SortFunc(all, func(a, b PeerCount) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Node, b.Node)) })
	return all
}

// Report is everything that a node knows, as an operator sees it.
type Report struct {
	Name     string                  `json:"name"`
	Number   int                     `json:"number"`
	Count    roster.Count            `json:"count"`
	Sites    map[string]roster.Count `json:"sites"`
	Members  []Member                `json:"members"`
	Budgets  []BudgetShare           `json:"parts"`
	Votes    []Vote                  `json:"votes"`
	Backends int                     `json:"listed"`    // on the list
	Ejected  int                     `json:"out"`       // of these, by a quorum of nodes
	MinVotes int                     `json:"fewest"`    // lowest number of nodes that found one of those unhealthy when it was ejected
	Capped   int                     `json:"held_back"` // backends that only the ceilings keep from ejection
	Stats    Stats                   `json:"stats"`
}

// Report returns what the node knows now.
func (r *Replica) Report(now time.Duration) Report {
	r.advance(now)
	report := Report{
		Name:     r.cfg.Name,
		Number:   r.cfg.Self.Number,
		Count:    r.roster.Count(r.clock.now),
		Sites:    r.roster.Sites(r.clock.now),
		Members:  r.reportMembers(),
		Budgets:  r.reportBudgets(now),
		Votes:    r.reportVotes(),
		Backends: len(r.backends),
		Capped:   r.pool.Capped(),
		Stats:    r.stats,
	}
	for _, b := range r.backends {
		if !b.ejected {
			continue
		}
		report.Ejected++
		if report.MinVotes == 0 || b.ejectedBy < report.MinVotes {
			report.MinVotes = b.ejectedBy
		}
	}
	return report
}

func (r *Replica) reportMembers() []Member {
	var members []Member
	for _, m := range r.roster.Members(r.clock.now) {
		ago := max(0, r.clock.now-m.LastHeard)
		members = append(members, Member{m.Name, m.Number, m.Incarnation, m.Site, m.State.String(), ago})
	}
	return members
}

func (r *Replica) reportVotes() []Vote {
	var votes []Vote
	for _, v := range r.votes {
		for _, b := range r.backends {
			if b.Key == v.Key {
				votes = append(votes, Vote{b.Name, b.Site, v.Unhealthy, v.Healthy, v.OwnUnhealthy, v.Ejected})
			}
		}
	}
	return votes
}

func (r *Replica) reportBudgets(now time.Duration) []BudgetShare {
	base := float64(escrow.Base(r.cfg.Self.Number, r.cfg.Nodes)) / float64(escrow.BudgetGrains)
	var shares []BudgetShare
	r.eachBudget(func(budget string) {
		shares = append(shares, BudgetShare{
			Budget:    budget,
			Spendable: r.spendableFraction(now, budget),
			Base:      base,
			Borrowed:  r.ledger.Borrowed(now, budget),
			Lent:      r.ledger.Lent(now, budget),
		})
	})
	return shares
}
