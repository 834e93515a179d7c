package controlnet

import (
	"sync"
	"time"
)

// burstSeconds is how many seconds' worth of bytes may go at once.
const burstSeconds = 2

// pacer spreads what a process sends over time, for all of its sessions together. It is a token bucket that may be
// overdrawn by one message, so that one that is larger than a burst goes too.
type pacer struct {
	perSecond float64 // bytes

	mu     sync.Mutex
	tokens float64
	filled time.Duration
}

// newPacer returns a pacer for so many bytes a second. Without a limit it is nil, and nothing waits.
func newPacer(bytesPerSecond int, now time.Duration) *pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &pacer{perSecond: float64(bytesPerSecond), tokens: burstSeconds * float64(bytesPerSecond), filled: now}
}

// take notes that so many bytes are to go, and returns how long they have to wait.
func (p *pacer) take(now time.Duration, bytes int) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(burstSeconds*p.perSecond, p.tokens+max(0, now-p.filled).Seconds()*p.perSecond)
	p.filled = max(p.filled, now)
	wait := time.Duration(max(0, -p.tokens) / p.perSecond * float64(time.Second))
	p.tokens -= float64(bytes)
	return wait
}
