// Package timing waits on the real clock for as long as a context lasts.
package timing

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends. It tells whether ctx still lasts.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Every calls f each time d has passed, until ctx ends. Where a call takes longer than d, the times that it misses are
// left out. d must be above zero.
func Every(ctx context.Context, d time.Duration, f func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
