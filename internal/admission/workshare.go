package admission

import "time"

// busyShare is the part of the node's processor that busy connections may use.
const busyShare = 0.25

// WorkShare bounds the part of the node's processor that busy connections use together. A busy connection is one whose other side sends
// faster than it is served. Each works for a slice and then waits for its turn, so that the processor is idle in between, however many
// are busy, and serves other connections as soon as they have input.
type WorkShare struct {
	processors float64       // that busy connections may use together
	next       time.Duration // when the next slice may begin
}

// NewWorkShare returns the share of a node that may use a number of processors, or a part of one.
func NewWorkShare(processors float64) *WorkShare {
	return &WorkShare{processors: busyShare * processors}
}

// Reserve accounts for a slice of work that ended at now, after which its connection has more to do. It returns when that may begin.
func (s *WorkShare) Reserve(now, worked time.Duration) time.Duration {
	s.next = max(s.next, now-worked) + time.Duration(float64(worked)/s.processors)
	return s.next
}
