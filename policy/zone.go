package policy

import "math"

// What leaving the node's zone costs, against what it saves.

const (
	firmness = 5.0   // at even costs half of the requests cross, and where crossing saves nothing e to minus this
	bestTau  = 600.0 // a class's best mean latency is forgotten over this
)

// priced tells whether a send to s leaves the node's zone at a price.
func (b *Balancer) priced(s *server) bool { return b.set.CrossPrice > 0 && s.Zone != b.set.Zone }

// zoned books what an answer took by where it came from. Answers of other zones are few, so that all classes of them
// count together, each against what its class takes in this one.
func (b *Balancer) zoned(s *server, c *class, took float64) {
	if !b.priced(s) {
		c.near.Add(took)
	} else if c.near.N >= 1 {
		b.far.Add(took * c.near.N / max(c.near.Sum, 1e-6))
	}
}

// stays tells which part of a class's requests is to stay in the node's zone. Latencies are taken as exponential: one
// with a mean of l misses its aim with a chance of exp(-aim/l), and a request more adds l/best-1 parts of l to
// everybody's (M/M/1). Crossing is worth it where that loses less there, by more than the price.
func (b *Balancer) stays(c *class, dt float64) float64 {
	if c.near.N < prior || b.worth <= 0 {
		return 1
	}
	l := min(max(c.near.Sum/c.near.N, 1e-6), 1e6)
	if c.best *= math.Exp(dt / bestTau); c.best == 0 || l < c.best {
		c.best = l
	}
	if b.set.CrossPrice <= 0 || math.IsInf(b.aim, 1) || c.Worth <= 0 {
		return 1 // nothing known speaks for another zone
	}
	aim := c.Aim.Seconds()
	if aim <= 0 {
		aim = b.aim
	}
	far := min((b.far.Sum+prior*c.best/l)/(b.far.N+prior), 1e6) // an unknown zone is taken to be at its best
	loss := func(l float64) float64 { return math.Exp(-aim/l) * (1 + aim/l*max(0, l/c.best-1)) }
	price := b.set.CrossPrice * b.worth / c.Worth // as a part of the request's worth
	return 1 / (1 + math.Exp(-firmness*(loss(l*far)+price-loss(l))/price))
}

// heal is for how long a backend goes without a request before one is sent to see how it does. Where few requests leave
// the zone, one of another zone is not left out for what is believed of it.
func (b *Balancer) heal(s *server) float64 {
	wait := b.tune.Heal * b.sharers
	if b.priced(s) {
		wait *= max(b.sends.N, 1) / max(b.sends.Sum, 1e-3)
	}
	return wait
}
