package engine

import (
	"cmp"
	"time"

	"craneglade/policy"
)

// PROTOCOL: SIGKILL follows SIGTERM no sooner than the longest deadline of a class, capped at MaxCountedDeadline, plus
// killMargin.
const (
	MaxCountedDeadline = 3 * time.Second
	killMargin         = 700 * time.Millisecond
	// maxStall is the longest stall of the process between a read of its clock and the write that follows.
	maxStall = 150 * time.Millisecond
	// answerMargin is the time to format and write the last answers, which are all due at once, in a process that shares its
	// core.
	answerMargin = 100 * time.Millisecond
	// slowReaderMargin is the time for clients that are slow to read an answer that was written in time.
	slowReaderMargin = 2 * time.Second
)

// Shutdown is the schedule of a node's shutdown. The durations count from StartedAt.
type Shutdown struct {
	StartedAt    time.Time     // when the shutdown was requested
	AcceptFor    time.Duration // requests are accepted as usual for so long
	AnswerWithin time.Duration // all accepted requests are answered within it
	EarliestKill time.Duration // SIGKILL may follow from then on
	CloseAfter   time.Duration // clients that have not read their answer by then are given up
}

// answerBy returns the time by which all accepted requests are answered.
func (s *Shutdown) answerBy() time.Time { return s.StartedAt.Add(s.AnswerWithin) }

// newShutdown returns the schedule of a shutdown requested at startedAt, for a node with the given classes. Without a deadline
// MaxCountedDeadline is assumed.
func newShutdown(classes []policy.Class, startedAt time.Time) Shutdown {
	var longest, maxLatencyTarget time.Duration
	for _, c := range classes {
		longest, maxLatencyTarget = max(longest, c.Deadline), max(maxLatencyTarget, c.Aim)
	}
	longest = cmp.Or(longest, MaxCountedDeadline)
	earliestKill := min(longest, MaxCountedDeadline) + killMargin
	// The process may stall twice: when it receives SIGTERM, so that startedAt is late, and when the last answers are due.
	answerWithin := earliestKill - 2*maxStall - answerMargin
	return Shutdown{StartedAt: startedAt, AcceptFor: answerWithin - maxLatencyTarget - 5*Transit, AnswerWithin: answerWithin, EarliestKill: earliestKill,
		CloseAfter: max(earliestKill, longest+Transit) + slowReaderMargin}
}

// Shutdown starts the shutdown of a node that was requested at startedAt, and returns its schedule. Further calls return the
// first call's schedule. At AnswerWithin open requests fail, and later ones are refused.
func (e *Engine) Shutdown(startedAt time.Time) Shutdown {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shutdown == nil {
		shutdown := newShutdown(e.settings.Classes, startedAt)
		e.shutdown = &shutdown
		e.failTimer = time.AfterFunc(time.Until(shutdown.answerBy()), e.failOpen)
	}
	return *e.shutdown
}

// failOpen fails all requests that have no answer.
func (e *Engine) failOpen() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	var failed []string
	for id, r := range e.requests {
		if !r.answered.Load() {
			failed = append(failed, id)
			e.answerDirectly(r, Answer{Kind: Failed})
		}
	}
	if len(failed) == 0 {
		return
	}
	e.log.Info("failed open requests before the earliest SIGKILL", "requests", len(failed), "after", time.Since(e.shutdown.StartedAt))
	if e.debug {
		e.log.Debug("failed open requests", "ids", failed)
	}
}

// refuseLate refuses a request that arrives when all answers are due, and reports whether it did. e.mu must be held.
func (e *Engine) refuseLate(r *Request) bool {
	if e.shutdown == nil || time.Now().Before(e.shutdown.answerBy()) {
		return false
	}
	r.answered.Store(true)
	r.done <- Answer{Kind: Refused}
	release(r.Payload)
	return true
}
