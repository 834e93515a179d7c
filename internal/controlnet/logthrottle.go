package controlnet

import (
	"log/slog"
	"sync"
	"time"
)

// logThrottleInterval is the minimum interval between log lines of the same text.
const logThrottleInterval = 10 * time.Second

// logThrottle logs warnings that peers can cause at any rate: for each text, the first at once and then at most one in each
// logThrottleInterval, with the number of omitted ones.
type logThrottle struct {
	log *slog.Logger
	now func() time.Duration

	mu    sync.Mutex
	lines map[string]*throttledLine
}

type throttledLine struct {
	loggedAt time.Duration
	omitted  int
}

func newLogThrottle(log *slog.Logger, now func() time.Duration) *logThrottle {
	return &logThrottle{log: log, now: now, lines: map[string]*throttledLine{}}
}

// warn logs a line, unless one with the same text was logged within logThrottleInterval.
func (t *logThrottle) warn(text string, args ...any) {
	now := t.now()
	t.mu.Lock()
	k := t.lines[text]
	if k != nil && now-k.loggedAt < logThrottleInterval {
		k.omitted++
		t.mu.Unlock()
		return
	}
	omitted := 0
	if k != nil {
		omitted = k.omitted
	}
	t.lines[text] = &throttledLine{loggedAt: now}
	t.mu.Unlock()
	if omitted > 0 {
		args = append(args, "omitted", omitted)
	}
	t.log.Warn(text, args...)
}
