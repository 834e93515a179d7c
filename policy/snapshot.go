package policy

import (
	"math"
	"time"

	"craneglade/internal/sites"
)

// Belief is what a node believes of one backend. Nothing in it is a decision.
type Belief struct {
	ID       uint32
	Mode     string  // normal, overload or discard
	Held     float64 // estimated occupancy: requests in work or waiting there, of all nodes
	Own      float64 // this node's attempts in flight
	H, R     float64 // the thresholds in force
	Q        float64 // part of the requests drawn for it that it diverts now
	Service  float64 // seconds for each request it holds
	Bad      float64 // share of failures lately
	Ejected  bool
	Wide     bool          // beyond the part of the fleet that this node works with
	Ramp     float64       // least part of its capacity that it has while cold; 1 for a warm one
	ReportOf time.Duration // the report's age
}

// Snapshot tells what is believed of every listed backend, in the order of their ids. It changes no mode.
func (b *Balancer) Snapshot(now time.Duration) []Belief {
	t := max(now.Seconds(), b.now)
	out := make([]Belief, 0, len(b.order))
	for _, s := range b.order {
		r := b.limit(s)
		n, h := b.waiting(s, t), b.high(s, r)
		out = append(out, Belief{ID: s.ID, Mode: [...]string{"normal", "overload", "discard"}[s.mode], Held: n,
			Own: s.own, R: r, H: h, Q: [...]float64{0, b.q(n, h), 1}[s.mode], Service: b.service(s), Bad: s.Bad,
			Wide: s.wide, Ejected: t < s.Ejected || s.Trial, Ramp: b.ramp(s, t), ReportOf: span(t - s.reportAt)})
	}
	return out
}

// Demand is what clients have lately asked of this node, by class.
func (b *Balancer) Demand() []sites.Demand {
	out := make([]sites.Demand, 0, len(b.classes))
	span := max(oldTau*(1-math.Exp((b.born-b.planAt)/oldTau)), 1e-3) // counts fade with each plan
	for _, c := range b.classes {
		out = append(out, sites.Demand{Class: c.Name, Rate: c.requests / span, Over: c.over / span, Work: c.work()})
	}
	return out
}
