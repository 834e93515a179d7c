// Package pace holds a node of many back where all of them would fill what they see free. Each node of a large fleet
// judges backends by reports that are about a second old. Where more is asked for than can be carried, all see room at one
// moment and fill it at one moment, and what they send in the time that reports lag is a crowd, whose requests come too late
// and whose time-outs cost a connection each. No threshold on what is reported can see it in time. What a node sends and
// refuses itself it knows at once, and the others do alike: so while a node refuses and is asked for more than usually, its
// sends may grow by no more, in the time that reports lag, than backends hold without harm. Where it is asked for no more
// than usually, what it could send more is room that has come back, and where it is asked for far more, others' clients
// have come to it: neither is a crowd.
//
// It is pure; times are in seconds of any clock that never steps back.
package pace

import "math"

const (
	rateSeconds        = 1.0  // seconds over which the rate of sends is taken,
	refusalSeconds     = 2.0  // refusals are,
	demandSeconds      = 0.9  // what is asked now is,
	baselineSeconds    = 6.0  // and what is asked usually
	minRefusedFraction = 0.03 // a node that refuses less than this part grows as it likes,
	surgeFactor        = 1.15 // and so does one that is asked for less than so many times the usual,
	takeoverFactor     = 2.2  // or for more than so many
	burstSeconds       = 0.25 // seconds' worth of the rate that may go at once,
	burstSends         = 2.0  // and so many sends beside
	minAdmitFraction   = 0.2  // of what is asked may go in any case: from nothing nothing would grow
)

// Pacer is one node's. Its zero value has seen nothing, and holds nothing back.
type Pacer struct {
	rate       float64 // sends a second lately
	demand     float64 // first tries a second now,
	baseline   float64 // and usually
	refused    float64 // part of them lately that were not sent
	growth     float64 // of the rate, in a second, as a part of it
	tokens     float64 // sends that may go now
	refilledAt float64

	sendCount, requestCount, sentCount float64 // since the last Tick
}

// Tick takes in what was counted since the last call, dt seconds ago. Sends may grow by a part of themselves in a second.
func (p *Pacer) Tick(dt, growth float64) {
	smooth := func(x *float64, to, tau float64) { *x += (to - *x) * (1 - math.Exp(-dt/tau)) }
	smooth(&p.rate, p.sendCount/dt, rateSeconds)
	smooth(&p.demand, p.requestCount/dt, demandSeconds)
	smooth(&p.baseline, p.requestCount/dt, baselineSeconds)
	smooth(&p.refused, (p.requestCount-p.sentCount)/max(1, p.requestCount), refusalSeconds)
	p.growth, p.sendCount, p.requestCount, p.sentCount = growth, 0, 0, 0
}

// CountSend counts a send of any kind.
func (p *Pacer) CountSend() { p.sendCount++ }

// CountRequest counts a request's first try, and whether it is sent.
func (p *Pacer) CountRequest(sent bool) {
	p.requestCount++
	if sent {
		p.sentCount++
	}
}

// Allows tells whether a first try may be sent now, and counts it as sent if so. Lesser ones stop first: the last send that
// may go is not for them.
func (p *Pacer) Allows(now float64, lowPriority bool) bool {
	if p.refused < minRefusedFraction || p.demand < surgeFactor*p.baseline || p.demand > takeoverFactor*p.baseline {
		p.tokens, p.refilledAt = burstSends, now
		return true
	}
	p.tokens = min(burstSends+burstSeconds*p.rate, p.tokens+(now-p.refilledAt)*max(minAdmitFraction*p.demand, p.rate*(1+p.growth*rateSeconds)))
	p.refilledAt = now
	if p.tokens < 0 || lowPriority && p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
