package policy

import "cmp"

// overShare draws whether a request lies past its tenant's share: the node takes its own part of the share,
// and of what goes beyond it as many at random as there are too many.
func (b *Balancer) overShare(name string) bool {
	t := b.tenant[name]
	if t == nil || b.set.OverShare >= 1 {
		return false
	}
	t.count++
	return b.rng.Float64() > cmp.Or(t.told, t.QuotaPerS*b.part/t.rate)
}

// shares finds the lesser classes, those worth less than the average for their work. They are not ranked
// further: the worst of them counts too.
func (b *Balancer) shares(f float64) {
	b.total, b.lessers = b.total*f, b.lessers*f
	var requests, worth, work float64
	for _, c := range b.classes {
		c.requests *= f
		c.over *= f
		c.took.Decay(f)
		requests += c.requests
		worth += c.requests * c.Worth
		work += c.requests * c.work()
	}
	b.worth = worth / max(requests, 1e-9)
	for _, c := range b.classes {
		c.lesser = c.Worth*work < worth*c.work()
	}
}

// work is the mean latency of a class, as a measure of what its requests cost.
func (c *class) work() float64 { return (c.took.Sum + guess) / (c.took.N + 1) }
