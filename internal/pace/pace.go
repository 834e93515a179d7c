// Package pace limits how fast the sends of a node may grow, so that the nodes of a large fleet do not all fill the same free
// capacity at once. Each node judges backends by load reports that are about a second old. When demand exceeds capacity, all
// nodes see free capacity at the same moment and fill it at the same moment. What they send while reports lag overloads the
// backends: its requests are late, and each time-out costs a connection. No threshold on reported load can detect this in
// time, but a node knows its own sends and refusals at once, and those of the others are similar. So while a node refuses
// requests and its demand is above its baseline, its sends may grow, in the time that reports lag, by no more than backends
// can absorb. Demand at the baseline means that capacity has recovered, and far higher demand that clients of other nodes
// have moved to this one: in both cases there is no limit.
//
// The package does no I/O and reads no clock. Times are in seconds of any monotonic clock.
package pace

import "math"

const (
	rateDecaySeconds     = 1.0  // time constant of the rate of sends
	refusalDecaySeconds  = 2.0  // of the refused fraction
	demandDecaySeconds   = 0.9  // of the present demand
	baselineDecaySeconds = 6.0  // of the baseline demand
	minRefusedFraction   = 0.03 // below this refused fraction there is no limit
	surgeFactor          = 1.15 // nor below this multiple of the baseline demand,
	takeoverFactor       = 2.2  // nor above this one, as clients of other nodes have moved here
	burstSeconds         = 0.25 // burst in seconds of the rate,
	burstSends           = 2.0  // and in sends in addition
	minAdmitFraction     = 0.2  // of the demand that is always allowed: a rate of 0 could not grow
)

// Pacer limits the sends of one node. Its zero value has no history and no limit.
type Pacer struct {
	rate       float64 // recent sends a second
	demand     float64 // recent first attempts a second, sent or not
	baseline   float64 // the same over a longer time
	refused    float64 // recent fraction of them that was not sent
	growth     float64 // allowed growth of the rate in a second, as a fraction of it
	tokens     float64 // sends that are allowed now, as of refilledAt
	refilledAt float64

	sendCount, requestCount, sentCount float64 // since the last Tick
}

// Tick updates the rates with the counts since the last call, dt seconds ago. growth is the fraction by which the rate of
// sends may grow in a second.
func (p *Pacer) Tick(dt, growth float64) {
	smooth := func(x *float64, value, timeConstant float64) { *x += (value - *x) * (1 - math.Exp(-dt/timeConstant)) }
	smooth(&p.rate, p.sendCount/dt, rateDecaySeconds)
	smooth(&p.demand, p.requestCount/dt, demandDecaySeconds)
	smooth(&p.baseline, p.requestCount/dt, baselineDecaySeconds)
	smooth(&p.refused, (p.requestCount-p.sentCount)/max(1, p.requestCount), refusalDecaySeconds)
	p.growth, p.sendCount, p.requestCount, p.sentCount = growth, 0, 0, 0
}

// CountSend counts a send of any kind.
func (p *Pacer) CountSend() { p.sendCount++ }

// CountRequest counts the first attempt of a request, and whether it is sent.
func (p *Pacer) CountRequest(sent bool) {
	p.requestCount++
	if sent {
		p.sentCount++
	}
}

// Allows reports whether a first attempt may be sent now, and takes a token if so. Attempts of low priority are stopped
// first: the last token is not for them.
func (p *Pacer) Allows(now float64, lowPriority bool) bool {
	if p.refused < minRefusedFraction || p.demand < surgeFactor*p.baseline || p.demand > takeoverFactor*p.baseline {
		p.tokens, p.refilledAt = burstSends, now
		return true
	}
	p.tokens = min(burstSends+burstSeconds*p.rate, p.tokens+(now-p.refilledAt)*max(minAdmitFraction*p.demand, p.rate*(1+p.growth*rateDecaySeconds)))
	p.refilledAt = now
	if p.tokens < 0 || lowPriority && p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
