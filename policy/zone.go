package policy

import "math"

// The price of attempts that leave the node's zone against what they save.

const (
	// Half of the requests leave the zone when price and gain are equal; about exp(-crossingSteepness) without a gain.
	crossingSteepness = 5.0

	bestLatencyDecaySeconds = 600.0 // of the lowest mean latency of a class
)

// crossesAtPrice reports whether an attempt at s leaves the node's zone and that has a price.
func (b *Balancer) crossesAtPrice(s *backend) bool {
	return b.cfg.CrossPrice > 0 && s.Zone != b.cfg.Zone
}

// recordZoneLatency counts a latency as local or remote. Answers from other zones are few, so those of all classes
// count together, each as a multiple of its class's local mean.
func (b *Balancer) recordZoneLatency(s *backend, c *class, took float64) {
	if !b.crossesAtPrice(s) {
		c.localLatency.Add(took)
	} else if c.localLatency.N >= 1 {
		b.remoteLatency.Add(took * c.localLatency.N / max(c.localLatency.Sum, 1e-6))
	}
}

// computeLocalFraction returns the fraction of a class's requests that stay in the node's zone. Latencies are taken as
// exponential: with a mean of l an answer misses its target with probability exp(-target/l), and one more request adds
// a fraction l/best-1 of l to the latencies of the others (M/M/1). Leaving the zone pays if the other zone loses less
// by more than the price.
func (b *Balancer) computeLocalFraction(c *class, dt float64) float64 {
	if c.localLatency.N < priorSamples || b.meanUtility <= 0 {
		return 1
	}
	latency := min(max(c.localLatency.Sum/c.localLatency.N, 1e-6), 1e6)
	if c.bestLocalLatency *= math.Exp(dt / bestLatencyDecaySeconds); c.bestLocalLatency == 0 ||
		latency < c.bestLocalLatency {
		c.bestLocalLatency = latency
	}
	if b.cfg.CrossPrice <= 0 || math.IsInf(b.minTarget, 1) || c.Worth <= 0 {
		return 1 // without a price, a target or a utility there is nothing to weigh
	}
	target := c.Aim.Seconds()
	if target <= 0 {
		target = b.minTarget
	}
	// Other zones are assumed to be at the lowest local latency until enough of their answers are known.
	remoteRatio := min((b.remoteLatency.Sum+priorSamples*c.bestLocalLatency/latency)/
		(b.remoteLatency.N+priorSamples), 1e6)
	loss := func(latency float64) float64 {
		return math.Exp(-target/latency) * (1 + target/latency*max(0, latency/c.bestLocalLatency-1))
	}
	price := b.cfg.CrossPrice * b.meanUtility / c.Worth // as a fraction of the request's utility
	return 1 / (1 + math.Exp(-crossingSteepness*(loss(latency*remoteRatio)+price-loss(latency))/price))
}

// probeInterval returns the seconds without a request after which a backend is sent one to renew its estimate. It is
// longer for other zones if few requests leave this one: their backends then get few because of the price, not of a bad
// estimate.
func (b *Balancer) probeInterval(s *backend) float64 {
	wait := b.tuning.Heal * b.nodesPerBackend
	if b.crossesAtPrice(s) {
		wait *= max(b.sends.N, 1) / max(b.sends.Sum, 1e-3)
	}
	return wait
}
