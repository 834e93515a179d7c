package shared

import (
	"fmt"

	"craneglade/internal/shared/judgement"
	"craneglade/internal/subset"
	"craneglade/policy"
)

// Evidence returns what an attempt's outcome shows of its backend: whether anything, and if so, whether the attempt failed.
// A backend that rejects a request for lack of capacity is not failing, and a cancelled attempt shows nothing.
func Evidence(o policy.Outcome) (known, failed bool) {
	switch o {
	case policy.OK:
		return true, false
	case policy.Failed, policy.TimedOut, policy.ConnectFailed, policy.Reset:
		return true, true
	}
	return false, false
}

// Event returns the view as an event of the policy. The function numberOf returns the policy's number of a backend; false
// for one that it does not know.
func (v *View) Event(numberOf func(judgement.Key) (uint32, bool)) *policy.Event {
	s := &policy.SharedState{WithinQuota: v.QuotaFractions}
	for _, k := range v.Ejected {
		if n, known := numberOf(k); known {
			s.Ejected = append(s.Ejected, n)
		}
	}
	return &policy.Event{Kind: policy.EvShared, Shared: s}
}

// Key returns the key of a backend, from its id on the list and the time of its start there in milliseconds: after a
// restart it is another backend.
func Key(id string, startedMS int64) judgement.Key {
	return judgement.Key(subset.Hash(fmt.Sprintf("%s@%d", id, startedMS)))
}
