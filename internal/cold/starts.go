package cold

import "time"

// maxSkew is the maximum difference between a start and its expected time before the node's clock is assumed to be wrong. It
// is longer than any delay of a list, and far shorter than the hour by which wrong clocks are typically off.
const maxSkew = 5 * time.Minute

// Starts converts the start times of backends, which a list gives in Unix time, to a node's own clock. That clock may have been
// wrong since before the node's process started. A backend that has just started would then seem an hour old, and get its full
// load at once, or seem to start in the future, and stay cold for an hour. The zero value trusts the clock.
type Starts struct {
	clockAhead time.Duration // how far the node's clock is ahead of the list's
}

// At returns when a backend started, by the node's clock. now is the present time by that clock and listed the start in the
// list, both since the Unix epoch. A listed start of 0, for long ago, is returned unchanged. restart says that the list had
// another start of the backend just before, so that the new one is recent.
func (s *Starts) At(now, listed time.Duration, restart bool) time.Duration {
	if listed <= 0 {
		return listed
	}
	start := listed + s.clockAhead
	age := now - start
	if age < -maxSkew || restart && age > maxSkew {
		s.clockAhead += age
		return now
	}
	return min(start, now) // nothing starts in the future
}
