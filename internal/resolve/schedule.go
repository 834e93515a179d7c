package resolve

import "time"

// Schedule says when a name is asked again. It has no clock: its caller tells the time.
type Schedule struct {
	fails int
}

const (
	aheadOf   = 0.8 // part of its life at which an answer is asked for again,
	spread    = 0.2 // less up to this part of it by chance, so that nodes do not ask together
	retryAt   = time.Second
	retryMost = 30 * time.Second
)

// Succeeded notes an answer that lives for a time, and returns when to ask again; chance is within [0, 1).
func (s *Schedule) Succeeded(life time.Duration, chance float64) time.Duration {
	s.fails = 0
	return max(MinTTL/2, time.Duration(float64(life)*(aheadOf-spread*chance)))
}

// Failed notes that no server gave an answer, and returns when to ask again: after twice as long each time, with jitter.
func (s *Schedule) Failed(chance float64) time.Duration {
	wait := min(retryMost, retryAt<<min(s.fails, 10))
	s.fails++
	return time.Duration(float64(wait) * (0.5 + chance/2))
}
