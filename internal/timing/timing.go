// Package timing provides waits that end with a context, and pauses that keep one connection from delaying others.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends. It reports whether ctx has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Every calls f at intervals of d until ctx ends. Calls that come due while f runs longer than d are skipped. d must be above
// zero.
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
