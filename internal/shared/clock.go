package shared

import "time"

// clock is a time that never goes back, made of the caller's, which may.
type clock struct {
	start  time.Duration
	now    time.Duration
	caller time.Duration // the latest time that the caller gave
	ahead  time.Duration // by how much now is ahead of it, because the caller's clock was set back
}

func newClock(now time.Duration) clock { return clock{start: now, now: now, caller: now} }

// advance moves to the caller's time. Where that was set back, no time has passed, and the clock goes on from where it is:
// one that stood still until the old time was reached again would count all requests until then into one epoch.
func (c *clock) advance(caller time.Duration) {
	c.ahead += max(0, c.caller-caller)
	c.caller = caller
	c.now = caller + c.ahead
}

// elapsed is the time since the start.
func (c *clock) elapsed() time.Duration { return c.now - c.start }

// advance moves the replica's clock. The ledger is not given this one but the caller's, as its loans end by that.
func (r *Replica) advance(now time.Duration) { r.clock.advance(now) }
