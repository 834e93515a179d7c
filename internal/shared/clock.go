package shared

import "time"

// clock is a monotonic time that follows the caller's, which can go back.
type clock struct {
	start     time.Duration
	now       time.Duration
	callerNow time.Duration // the caller's latest time
	offset    time.Duration // by which now is ahead of callerNow, because the caller's clock was set back
}

func newClock(now time.Duration) clock { return clock{start: now, now: now, callerNow: now} }

// advance moves to the caller's time. Where that was set back, no time has passed, and the clock continues from its present
// value. If it stopped until the caller's time caught up, all requests until then would count in one epoch.
func (c *clock) advance(caller time.Duration) {
	c.offset += max(0, c.callerNow-caller)
	c.callerNow = caller
	c.now = caller + c.offset
}

// elapsed returns the time since the start.
func (c *clock) elapsed() time.Duration { return c.now - c.start }

// advance moves the replica's clock. The ledger gets the caller's time instead, as its loans expire by that.
func (r *Replica) advance(now time.Duration) { r.clock.advance(now) }
