package controlnet

import (
	"sync"
	"time"
)

// burstSeconds is the burst size in seconds of the permitted rate.
const burstSeconds = 2

// pacer limits the rate at which a process sends, over all of its sessions together. It is a token bucket that one message
// may overdraw, so that a message larger than the burst can be sent.
type pacer struct {
	bytesPerSecond float64

	mu       sync.Mutex
	tokens   float64
	filledAt time.Duration
}

// newPacer returns a pacer for a rate. If the rate is not positive it returns nil, which never delays.
func newPacer(bytesPerSecond int, now time.Duration) *pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &pacer{bytesPerSecond: float64(bytesPerSecond), tokens: burstSeconds * float64(bytesPerSecond), filledAt: now}
}

// reserve takes tokens for a message and returns how long the message has to wait.
func (p *pacer) reserve(now time.Duration, bytes int) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(burstSeconds*p.bytesPerSecond, p.tokens+max(0, now-p.filledAt).Seconds()*p.bytesPerSecond)
	p.filledAt = max(p.filledAt, now)
	wait := time.Duration(max(0, -p.tokens) / p.bytesPerSecond * float64(time.Second))
	p.tokens -= float64(bytes)
	return wait
}
