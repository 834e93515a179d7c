package subscriber

import (
	"math/rand/v2"
	"time"
)

// retryBudget is a token bucket that bounds how often a process connects and repeats requests, whatever fails.
type retryBudget struct {
	tokens          float64
	burst           float64
	tokensPerSecond float64
	filledAt        time.Duration
}

// take takes one token, or reports that there is none.
func (b *retryBudget) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxDoublings keeps the shift in backoff from overflowing.
const maxDoublings = 16

// backoff returns an exponential backoff with full jitter: uniform between zero and base doubled for each earlier failure,
// at most limit.
func backoff(random *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := min(limit, base<<min(failures, maxDoublings))
	return time.Duration(random.Float64() * float64(bound))
}
