package subscriber

import (
	"math/rand/v2"
	"time"
)

// retryBudget is a token bucket: it bounds how often a process connects and asks again, whatever fails.
type retryBudget struct {
	tokens   float64
	burst    float64
	perSec   float64
	filledAt time.Duration
}

// take uses one token, or reports that there is none.
func (b *retryBudget) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.perSec*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxDoublings keeps the shift of a backoff from overflowing.
const maxDoublings = 16

// backoff is exponential with full jitter: evenly spread between zero and base doubled for each earlier failure, at most
// limit.
func backoff(random *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := min(limit, base<<min(failures, maxDoublings))
	return time.Duration(random.Float64() * float64(bound))
}
