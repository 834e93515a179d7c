package shared

import (
	"cmp"
	"slices"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
)

// State is everything that this node knows and that still tells something, for a full exchange: Receive takes it in.
func (r *Replica) State(now time.Duration) []byte {
	r.at(now)
	var all []packet.Entry
	for key, t := range r.own {
		all = append(all, packet.Entry{Kind: packet.Window, Node: r.cfg.Self, Key: key, Window: t.Window})
	}
	r.table.All(func(key string, node int, w counts.Told) {
		if r.now-w.At <= r.stale() {
			all = append(all, packet.Entry{Kind: packet.Window, Node: escrow.Node{Number: node, Incarnation: w.Incarnation}, Key: key, Window: w.Window, Age: r.now - w.At})
		}
	})
	r.pool.Sights(func(k judgement.Key, s judgement.Sight, at time.Duration) {
		all = append(all, packet.Entry{Kind: packet.Sight, Node: r.cfg.Self, Backend: k, Sight: s, Age: r.now - at})
	})
	r.pool.Others(func(number int, life uint64, k judgement.Key, s judgement.Sight, at time.Duration) {
		if r.now-at <= 3*r.cfg.Limits.Memory {
			all = append(all, packet.Entry{Kind: packet.Sight, Node: escrow.Node{Number: number, Incarnation: life}, Backend: k, Sight: s, Age: r.now - at})
		}
	})
	slices.SortFunc(all, func(a, b packet.Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node.Number, b.Node.Number), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Backend, b.Backend))
	})
	return packet.Frame(all[:min(len(all), packet.MaxEntries)]...)
}

// Part is one budget as this node has it.
type Part struct {
	Budget    string        `json:"budget"`
	Spendable float64       `json:"spendable"` // as parts of the whole budget
	Base      float64       `json:"base"`
	Held      []escrow.Loan `json:"held,omitempty"`
	Lent      []escrow.Loan `json:"lent,omitempty"`
}

// Member is another node, for an operator.
type Member struct {
	Name        string        `json:"name"`
	Number      int           `json:"number"`
	Incarnation uint64        `json:"incarnation"`
	Site        string        `json:"site"`
	State       string        `json:"state"`
	Ago         time.Duration `json:"heard_ns_ago"`
}

// Vote is what is held for and against a backend, by its name on the list.
type Vote struct {
	Name string `json:"name"`
	Site string `json:"site"`
	Bad  int    `json:"find_it_broken"` // nodes; this one included
	Good int    `json:"say_it_answers"`
	Own  bool   `json:"this_node_finds_it_broken"`
	Out  bool   `json:"out"`
}

// Heard is what this node knows of another one's count.
type Heard struct {
	Key    string        `json:"key"`
	Of     int           `json:"of"`    // its number
	Life   uint64        `json:"life"`  // that counted
	Epoch  uint64        `json:"epoch"` // the open one, of counts.Epoch each since the life's start
	Closed uint64        `json:"closed_epochs"`
	Sum    uint64        `json:"sum"` // in the closed ones
	Ago    time.Duration `json:"ns_ago"`
}

// Heard lists what is known of the others' counts, by key and number.
func (r *Replica) Heard(now time.Duration) []Heard {
	r.at(now)
	var out []Heard
	r.table.All(func(key string, node int, w counts.Told) {
		sum, closed := w.Closed()
		out = append(out, Heard{key, node, w.Incarnation, w.Epoch, closed, sum, max(0, r.now-w.At)})
	})
	slices.SortFunc(out, func(a, b Heard) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Of, b.Of)) })
	return out
}

// Again is how often this node tells again of what has not changed.
func (r *Replica) Again() time.Duration { return r.again }

// Report is the whole of what a node knows, for an operator.
type Report struct {
	Name    string                  `json:"name"`
	Number  int                     `json:"number"`
	Count   roster.Count            `json:"count"`
	Sites   map[string]roster.Count `json:"sites"`
	Members []Member                `json:"members"`
	Parts   []Part                  `json:"parts"`
	Votes   []Vote                  `json:"votes"`
	Listed  int                     `json:"listed"`    // backends that there are,
	Out     int                     `json:"out"`       // those of them that are out by hearsay,
	Fewest  int                     `json:"fewest"`    // the fewest nodes that found one of those broken when it came out,
	Capped  int                     `json:"held_back"` // and those that only the ceilings keep in
	Stats   Stats                   `json:"stats"`
}

// Report tells what the node knows now.
func (r *Replica) Report(now time.Duration) Report {
	r.at(now)
	out := Report{Name: r.cfg.Name, Number: r.cfg.Self.Number, Count: r.roster.Count(r.now), Sites: r.roster.Sites(r.now),
		Listed: len(r.list), Capped: r.pool.Capped(), Stats: r.stats}
	for _, b := range r.list {
		if b.out {
			out.Out++
			if out.Fewest == 0 || b.by < out.Fewest {
				out.Fewest = b.by
			}
		}
	}
	for _, m := range r.roster.Members(r.now) {
		out.Members = append(out.Members, Member{m.Name, m.Number, m.Incarnation, m.Site, m.State.String(), max(0, r.now-m.Heard)})
	}
	for _, v := range r.votes {
		for _, b := range r.list {
			if b.Key == v.Key {
				out.Votes = append(out.Votes, Vote{b.Name, b.Site, v.Bad, v.Good, v.Own, v.Out})
			}
		}
	}
	r.budgets(func(budget, _ string) {
		whole := float64(escrow.Whole)
		out.Parts = append(out.Parts, Part{budget, float64(r.ledger.Spendable(now, budget)) / whole,
			float64(escrow.Base(r.cfg.Self.Number, r.cfg.Nodes)) / whole, r.ledger.Holds(now, budget), r.ledger.Lent(now, budget)})
	})
	return out
}
