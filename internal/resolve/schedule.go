package resolve

import "time"

// Schedule decides when a name is queried again. It has no clock.
type Schedule struct {
	fails int
}

const (
	refreshFraction = 0.8 // fraction of the TTL after which an answer is refreshed,
	refreshJitter   = 0.2 // less a random fraction up to this, so that nodes don't query at the same time
	initialRetry    = time.Second
	maxRetry        = 30 * time.Second
)

// Succeeded records an answer and returns the delay of the next query; random is within [0, 1).
func (s *Schedule) Succeeded(ttl time.Duration, random float64) time.Duration {
	s.fails = 0
	return max(MinTTL/2, time.Duration(float64(ttl)*(refreshFraction-refreshJitter*random)))
}

// Failed records that no server answered and returns the delay of the next query, which doubles with each failure and has jitter.
func (s *Schedule) Failed(random float64) time.Duration {
	wait := min(maxRetry, initialRetry<<min(s.fails, 10))
	s.fails++
	return time.Duration(float64(wait) * (0.5 + random/2))
}
