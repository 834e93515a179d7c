package policy

import "cmp"

// drawOverQuota counts a request of a tenant and draws whether it is over quota. Requests are within the quota with the
// probability of the fleet's shared state, or else of the quota times this node's traffic share over the tenant's rate.
func (b *Balancer) drawOverQuota(name string) bool {
	t := b.tenantByName[name]
	if t == nil || b.cfg.OverShare >= 1 {
		return false
	}
	t.count++
	return b.rng.Float64() > cmp.Or(t.withinQuota, t.QuotaPerS*b.trafficShare/t.rate)
}

// rankClasses marks the low-priority classes: those whose utility per second of latency is below the average. They are
// not ranked among themselves, so the lowest of them counts like the others.
func (b *Balancer) rankClasses(decay float64) {
	b.requestCount, b.lowPriorityCount = b.requestCount*decay, b.lowPriorityCount*decay
	var requests, utility, work float64
	for _, c := range b.classes {
		c.requests *= decay
		c.overQuota *= decay
		c.latency.Decay(decay)
		requests += c.requests
		utility += c.requests * c.Worth
		work += c.requests * c.meanLatency()
	}
	b.meanUtility = utility / max(requests, 1e-9)
	for _, c := range b.classes {
		c.lowPriority = c.Worth*work < utility*c.meanLatency()
	}
}

// meanLatency returns the mean latency of a class, a measure of the work of its requests.
func (c *class) meanLatency() float64 {
	return (c.latency.Sum + defaultServiceSeconds) / (c.latency.N + 1)
}
