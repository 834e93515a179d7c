package timing

import "time"

// Turn makes work for a busy connection that is not done by its reader take part in the turns of SharedWork. It is not safe for concurrent
// use. The zero value never delays.
type Turn struct {
	shared *SharedWork
	worked time.Duration // since the last pause
	next   time.Time     // when the work may go on
}

// NewTurn returns a Turn without work.
func NewTurn(shared *SharedWork) Turn { return Turn{shared: shared} }

// Account counts a time as work. A long time counts as little: most of it was a wait for a processor, or for the other side to read.
func (t *Turn) Account(worked time.Duration) {
	t.worked += min(worked, maxRequestWork)
	if t.worked < fairSlice {
		return
	}
	t.next = time.Now().Add(t.shared.reserve(t.worked))
	t.worked = 0
}

// Next returns when the work may go on, which may have passed.
func (t *Turn) Next() time.Time { return t.next }
