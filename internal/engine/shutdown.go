package engine

import (
	"cmp"
	"time"
)

// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as LongestTold where it is longer,
// and killSlack.
const (
	LongestTold = 3 * time.Second
	killSlack   = 700 * time.Millisecond
	// writeSlack is for the last answers to reach their clients on a machine that is late: cutting them off at the very
	// deadline lost answers that were there 20 ms before it.
	writeSlack = 2 * time.Second
)

// Shutdown is the time table of a node that is to end, counted from the moment it is told.
type Shutdown struct {
	Serves time.Duration // requests are taken as ever
	Killed time.Duration // it may be killed from then on
	Last   time.Duration // whoever has not read its answer by then does not read
}

// Shutdown says how a node leaves that is told so now. It may be killed once the longest deadline, of LongestTold at the
// most, and killSlack have passed; what it takes last still has the longest aim until then, and what comes from now on
// gets no more time than that leaves.
func (e *Engine) Shutdown() Shutdown {
	var longest, aim time.Duration
	for _, c := range e.set.Classes {
		longest, aim = max(longest, c.Deadline), max(aim, c.Aim)
	}
	longest = cmp.Or(longest, LongestTold)
	killed := min(longest, LongestTold) + killSlack
	e.killed.Store(time.Now().Add(killed).UnixNano())
	return Shutdown{Serves: killed - aim - 5*Transit, Killed: killed, Last: max(killed, longest+Transit) + writeSlack}
}
