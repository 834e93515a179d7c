package shared

import (
	"fmt"

	"craneglade/internal/shared/judgement"
	"craneglade/internal/subset"
	"craneglade/policy"
)

// Tells says what an attempt's outcome shows of its backend: whether anything, and whether that it failed. A backend that
// turns away what it has no room for is not broken, and one whose attempt was called off has shown nothing.
func Tells(o policy.Outcome) (tells, failed bool) {
	switch o {
	case policy.OK:
		return true, false
	case policy.Failed, policy.TimedOut, policy.ConnectFailed, policy.Reset:
		return true, true
	}
	return false, false
}

// Event is a view as the decision module takes it. Number gives the module's number of a backend; false for one that it
// does not know.
func (v *View) Event(number func(judgement.Key) (uint32, bool)) *policy.Event {
	s := &policy.SharedState{WithinQuota: v.Within}
	for _, k := range v.Out {
		if n, known := number(k); known {
			s.Ejected = append(s.Ejected, n)
		}
	}
	return &policy.Event{Kind: policy.EvShared, Shared: s}
}

// Key is a backend's: of its id on the list and the moment of its start there, in milliseconds, as another start is
// another backend.
func Key(id string, startedMS int64) judgement.Key {
	return judgement.Key(subset.Hash(fmt.Sprintf("%s@%d", id, startedMS)))
}
