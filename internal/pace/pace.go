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
	rateTau  = 1.0  // seconds over which the rate of sends is taken,
	recall   = 2.0  // refusals are,
	askTau   = 0.9  // what is asked now is,
	usualTau = 6.0  // and what is asked usually
	refuses  = 0.03 // a node that refuses less than this part grows as it likes,
	crowd    = 1.15 // and so does one that is asked for less than so many times the usual,
	jump     = 2.2  // or for more than so many
	room     = 0.25 // seconds' worth of the rate that may go at once,
	spare    = 2.0  // and so many sends beside
	least    = 0.2  // of what is asked may go in any case: from nothing nothing would grow
)

// Pacer is one node's. Its zero value has seen nothing, and holds nothing back.
type Pacer struct {
	rate    float64 // sends a second lately
	asked   float64 // first tries a second now,
	usual   float64 // and usually
	refused float64 // part of them lately that were not sent
	growth  float64 // of the rate, in a second, as a part of it
	left    float64 // sends that may go now
	at      float64

	sends, asks, went float64 // since the last Tick
}

// Tick takes in what was counted since the last call, dt seconds ago. Sends may grow by a part of themselves in a second.
func (p *Pacer) Tick(dt, growth float64) {
	near := func(x *float64, to, tau float64) { *x += (to - *x) * (1 - math.Exp(-dt/tau)) }
	near(&p.rate, p.sends/dt, rateTau)
	near(&p.asked, p.asks/dt, askTau)
	near(&p.usual, p.asks/dt, usualTau)
	near(&p.refused, (p.asks-p.went)/max(1, p.asks), recall)
	p.growth, p.sends, p.asks, p.went = growth, 0, 0, 0
}

// CountSend counts a send of any kind.
func (p *Pacer) CountSend() { p.sends++ }

// CountRequest counts a request's first try, and whether it is sent.
func (p *Pacer) CountRequest(sent bool) {
	p.asks++
	if sent {
		p.went++
	}
}

// Allows tells whether a first try may be sent now, and counts it as sent if so. Lesser ones stop first: the last send that
// may go is not for them.
func (p *Pacer) Allows(now float64, lesser bool) bool {
	if p.refused < refuses || p.asked < crowd*p.usual || p.asked > jump*p.usual {
		p.left, p.at = spare, now
		return true
	}
	p.left = min(spare+room*p.rate, p.left+(now-p.at)*max(least*p.asked, p.rate*(1+p.growth*rateTau)))
	p.at = now
	if p.left < 0 || lesser && p.left < 1 {
		return false
	}
	p.left--
	return true
}
