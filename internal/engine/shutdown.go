package engine

import (
	"cmp"
	"time"

	"craneglade/policy"
)

// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as MaxCountedDeadline where it is longer,
// and killSlack.
const (
	MaxCountedDeadline = 3 * time.Second
	killSlack          = 700 * time.Millisecond
	// heldUp is for how long a process may be held up between reading its clock and writing.
	heldUp = 150 * time.Millisecond
	// answerSlack is for the last answers, which are all due at one moment, to be worded and written by a process that shares its
	// core.
	answerSlack = 100 * time.Millisecond
	// writeSlack is for clients that are slow to read an answer that was written in time.
	writeSlack = 2 * time.Second
)

// Shutdown is the time table of a node that is to end. All but Begun count from there.
type Shutdown struct {
	StartedAt    time.Time     // when it was told
	AcceptFor    time.Duration // requests are taken as ever
	AnswerWithin time.Duration // nothing that was taken is without its answer any more
	EarliestKill time.Duration // it may be killed from then on
	CloseAfter   time.Duration // whoever has not read its answer by then does not read
}

// answerBy is the moment by which all that was taken is answered.
func (s *Shutdown) answerBy() time.Time { return s.StartedAt.Add(s.AnswerWithin) }

// newShutdown is the time table for classes of a node that is told to end at begun. It may be killed once the longest deadline,
// of LongestTold at the most, and killSlack have passed.
func newShutdown(classes []policy.Class, begun time.Time) Shutdown {
	var longest, aim time.Duration
	for _, c := range classes {
		longest, aim = max(longest, c.Deadline), max(aim, c.Aim)
	}
	longest = cmp.Or(longest, MaxCountedDeadline)
	killed := min(longest, MaxCountedDeadline) + killSlack
	// The process may be held up twice: when it is told, and counts from too late, and again when the last answers are due.
	answered := killed - 2*heldUp - answerSlack
	return Shutdown{StartedAt: begun, AcceptFor: answered - aim - 5*Transit, AnswerWithin: answered, EarliestKill: killed,
		CloseAfter: max(killed, longest+Transit) + writeSlack}
}

// Shutdown has the node leave that was told to end at begun, and returns its time table; that of the first call, where it is
// called again. Whatever is open when its answers are due fails then, and what comes later is refused.
func (e *Engine) Shutdown(begun time.Time) Shutdown {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shutdown == nil {
		shutdown := newShutdown(e.set.Classes, begun)
		e.shutdown = &shutdown
		e.failTimer = time.AfterFunc(time.Until(shutdown.answerBy()), e.failOpen)
	}
	return *e.shutdown
}

// failOpen fails each request that has no answer.
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
			e.settle(r, Answer{Kind: Failed})
		}
	}
	if len(failed) == 0 {
		return
	}
	e.log.Info("failed what was open: the node may be killed soon", "requests", len(failed), "after", time.Since(e.shutdown.StartedAt))
	if e.tells {
		e.log.Debug("failed what was open", "ids", failed)
	}
}

// refuseLate refuses a request that comes when all are to have their answers, and tells whether it did. e.mu is held.
func (e *Engine) refuseLate(r *Request) bool {
	if e.shutdown == nil || time.Now().Before(e.shutdown.answerBy()) {
		return false
	}
	r.answered.Store(true)
	r.done <- Answer{Kind: Refused}
	release(r.Payload)
	return true
}
