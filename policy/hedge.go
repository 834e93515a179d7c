package policy

// Hedging of attempts that seem lost, if the class and the settings allow two attempts at a time.

// lateDeviations is how many standard deviations above its class's mean latency an attempt is late: with exponential
// latencies about 1 in 150.
const lateDeviations = 4.0

// hedgeAfter returns the seconds after which an attempt of a class is late; at most half the latency target.
func (c *class) hedgeAfter() float64 {
	late := c.latency.MeanPlus(lateDeviations)
	if target := c.Aim.Seconds(); target > 0 {
		late = min(late, target/2)
	}
	return late
}

// mayHedge reports whether an attempt of a class may be followed by another one while it is in flight.
func (b *Balancer) mayHedge(c *class) bool {
	return b.cfg.Copies && c.Effect != Unsafe && c.latency.N >= priorSamples
}

// hedgeOverdue hedges attempts that have become late. Those of a class become late in the order of their sends.
func (b *Balancer) hedgeOverdue(now float64) {
	for _, c := range b.classes {
		wait := c.hedgeAfter()
		for len(c.hedgeable) > 0 && (!c.hedgeable[0].open || now-c.hedgeable[0].sentAt > wait) {
			a := c.hedgeable[0]
			c.hedgeable = c.hedgeable[1:]
			b.hedge(now, a)
		}
	}
}

// hedge sends a second attempt of a request whose first one seems lost: its backend has answered much later attempts
// and has lost others recently, or has answered nothing at all since. An attempt that is late because of an overload
// shows neither, and a hedge would only add to the load. A hedge needs a backend in normal mode, and a retry token.
func (b *Balancer) hedge(now float64, a *attempt) {
	s, r := a.backend, a.request
	// Silence is evidence only if an answer was due: a node with little traffic may have no other attempt there.
	lost := a.presumedLost && now-s.lossAt < historyDecaySeconds ||
		s.lastOKAt < a.sentAt && s.answers/rateDecaySeconds*(now-a.sentAt) >= 1
	if !a.open || !lost || r.done || r.open != 1 || !b.mayHedge(r.class) || now-a.sentAt < r.class.hedgeAfter() {
		return
	}
	if r.mayHaveRun == nil {
		r.mayHaveRun, r.retryBefore = a, a.sentAt+r.class.Window.Seconds()
	}
	r.avoid = s
	if !b.mayRetry(now, r) {
		return
	}
	if target := b.pick(now, r, normal); target != nil {
		b.retryTokens--
		b.send(now, r, target)
	}
}
