package controlnet

import (
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is how often a line of the same kind is logged at most.
const throttleInterval = 10 * time.Second

// throttle logs what others can cause as often as they like: the first at once, and then one line in an interval, with the
// number of those that were left out.
type throttle struct {
	log *slog.Logger
	now func() time.Duration

	mu   sync.Mutex
	kind map[string]*throttled
}

type throttled struct {
	loggedAt time.Duration
	omitted  int
}

func newThrottle(log *slog.Logger, now func() time.Duration) *throttle {
	return &throttle{log: log, now: now, kind: map[string]*throttled{}}
}

// warn logs a line, unless one with the same text was logged lately.
func (t *throttle) warn(text string, args ...any) {
	now := t.now()
	t.mu.Lock()
	k := t.kind[text]
	if k != nil && now-k.loggedAt < throttleInterval {
		k.omitted++
		t.mu.Unlock()
		return
	}
	omitted := 0
	if k != nil {
		omitted = k.omitted
	}
	t.kind[text] = &throttled{loggedAt: now}
	t.mu.Unlock()
	if omitted > 0 {
		args = append(args, "omitted", omitted)
	}
	t.log.Warn(text, args...)
}
