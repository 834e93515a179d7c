package shared

import (
	"cmp"
	"slices"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/roster"
)

// Note is a line for an operator's log.
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

// Stats count what came and went since the start.
type Stats struct {
	Received, Skipped, Bad, Stale int // entries; Bad counts frames too
	Told, Forwarded               int // entries of its own, and of others
	Asked, Lent, Granted          int // parts of budgets
}

// BudgetShare is one budget as this node has it.
type BudgetShare struct {
	Budget    string        `json:"budget"`
	Spendable float64       `json:"spendable"` // as a fraction of the whole budget
	Base      float64       `json:"base"`      // owned by this node, as a fraction of the whole
	Borrowed  []escrow.Loan `json:"held,omitempty"`
	Lent      []escrow.Loan `json:"lent,omitempty"`
}

// Member is another node, for an operator.
type Member struct {
	Name        string        `json:"name"`
	Number      int           `json:"number"`
	Incarnation uint64        `json:"incarnation"`
	Site        string        `json:"site"`
	State       string        `json:"state"`
	SinceHeard  time.Duration `json:"heard_ns_ago"`
}

// Vote is what is held for and against a backend, by its name on the list.
type Vote struct {
	Name         string `json:"name"`
	Site         string `json:"site"`
	Unhealthy    int    `json:"find_it_broken"` // nodes; this one included
	Healthy      int    `json:"say_it_answers"`
	OwnUnhealthy bool   `json:"this_node_finds_it_broken"`
	Ejected      bool   `json:"out"`
}

// PeerCount is what this node knows of another one's count.
type PeerCount struct {
	Key          string        `json:"key"`
	Node         int           `json:"of"`    // the other node's number
	Incarnation  uint64        `json:"life"`  // its incarnation
	Epoch        uint64        `json:"epoch"` // the open one, of counts.Epoch each since the incarnation's start
	ClosedEpochs uint64        `json:"closed_epochs"`
	Sum          uint64        `json:"sum"` // in the closed ones
	Age          time.Duration `json:"ns_ago"`
}

// PeerCounts lists what is known of the other nodes' counts, by key and number.
func (r *Replica) PeerCounts(now time.Duration) []PeerCount {
	r.advance(now)
	var all []PeerCount
	r.table.All(func(key string, node int, told counts.TimedWindow) {
		sum, closed := told.Closed()
		all = append(all, PeerCount{key, node, told.Incarnation, told.Epoch, closed, sum, max(0, r.clock.now-told.CountedAt)})
	})
	slices.SortFunc(all, func(a, b PeerCount) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Node, b.Node)) })
	return all
}

// Report is all that a node knows, for an operator.
type Report struct {
	Name     string                  `json:"name"`
	Number   int                     `json:"number"`
	Count    roster.Count            `json:"count"`
	Sites    map[string]roster.Count `json:"sites"`
	Members  []Member                `json:"members"`
	Budgets  []BudgetShare           `json:"parts"`
	Votes    []Vote                  `json:"votes"`
	Backends int                     `json:"listed"`    // backends on the list,
	Ejected  int                     `json:"out"`       // those of them that are ejected by the judgement of enough nodes,
	MinVotes int                     `json:"fewest"`    // the fewest nodes that found one of those broken when it was ejected,
	Capped   int                     `json:"held_back"` // and those that only the ceilings keep in use
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
		Budgets:  r.reportParts(now),
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

func (r *Replica) reportParts(now time.Duration) []BudgetShare {
	base := float64(escrow.Base(r.cfg.Self.Number, r.cfg.Nodes)) / float64(escrow.BudgetGrains)
	var parts []BudgetShare
	r.eachBudget(func(budget string) {
		parts = append(parts, BudgetShare{
			Budget:    budget,
			Spendable: r.spendablePart(now, budget),
			Base:      base,
			Borrowed:  r.ledger.Borrowed(now, budget),
			Lent:      r.ledger.Lent(now, budget),
		})
	})
	return parts
}
