package cold

import "time"

// maxSkew is how far a start may be from where it is expected before the node's clock is held to be wrong: longer than any list is
// late by, far shorter than the hour by which clocks are set.
const maxSkew = 5 * time.Minute

// Starts reads when backends started, which a list tells in Unix time, by a node's own clock. That may have been set before the
// node's process began: a backend that has just started would then look an hour old, and be sent all at once, or start in the
// future, and stay cold for an hour. The zero value trusts the clock.
type Starts struct {
	clockAhead time.Duration // how far the own clock is ahead of the list's
}

// At is when a backend started that is told to have at told, both in time since the Unix epoch by the own clock; told may be 0 for
// long ago, which stays so. restart says that the list has just told another start of that backend before: this one is news, and
// can't lie far back.
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
