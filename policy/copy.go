package policy

// A second copy of what seems lost, where the class and the settings allow two attempts at a time.

const tail = 4.0 // deviations beyond a class's mean latency after which an attempt is late: 1 in 60 of exponential ones

// tooLong is after what time an attempt of a class is late.
func (c *class) tooLong() float64 {
	late := c.took.MeanPlus(tail)
	if aim := c.Aim.Seconds(); aim > 0 {
		late = min(late, aim/2)
	}
	return late
}

// again tells whether an attempt of a class that may have run can be followed by another one.
func (b *Balancer) again(c *class) bool {
	return b.set.Copies && c.Effect != Unsafe && c.took.N >= prior
}

// overdue gives late attempts a second copy. Attempts of a class are late in the order of their sends.
func (b *Balancer) overdue(now float64) {
	for _, c := range b.classes {
		wait := c.tooLong()
		for len(c.out) > 0 && (!c.out[0].open || now-c.out[0].at > wait) {
			a := c.out[0]
			c.out = c.out[1:]
			b.copy(now, a)
		}
	}
}

// copy sends a second copy of an attempt that is out, where its backend shows that it is lost: later ones were
// answered, at a backend that loses some, or nothing came from it at all since. One that is late in a crowd shows
// neither, and a copy would only add to it. It goes to a backend in normal mode, from the budget of further attempts.
func (b *Balancer) copy(now float64, a *attempt) {
	s, r := a.server, a.request
	// Nothing since tells only where something was due: a node of many that has one request there hears of no other.
	lost := a.stray && now-s.lostAt < oldTau || s.lastOK < a.at && s.served/rateTau*(now-a.at) >= 1
	if !a.open || !lost || r.final || r.open != 1 || !b.again(r.class) || now-a.at < r.class.tooLong() {
		return
	}
	if r.mayRun == nil {
		r.mayRun, r.by = s, a.at+r.class.Window.Seconds()
	}
	r.avoid = s
	if !b.mayRetry(now, r) {
		return
	}
	if to := b.pick(now, r, normal); to != nil {
		b.retries--
		b.send(now, r, to)
	}
}
