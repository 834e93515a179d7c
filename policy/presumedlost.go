package policy

import "slices"

// presumeLost removes attempts from the occupancy of a backend that were sent Tuning.Overtake service times before the
// one just answered. Backends serve requests in order of arrival, so such an attempt isn't waiting there: it was lost,
// or is one of a few with far more work than most. Counted until its time-out, it would make a backend that loses a
// tenth of its requests look overloaded while it is idle.
func (b *Balancer) presumeLost(s *backend, answered *attempt) {
	sentBefore := answered.sentAt - b.tuning.Overtake*b.serviceTime(s)
	for len(s.attempts) > 0 && s.attempts[0].sentAt < sentBefore {
		a := s.attempts[0]
		a.presumedLost = true
		b.inFlight--
		s.inFlight = max(0, s.inFlight-1)
		s.attempts = slices.Delete(s.attempts, 0, 1+leadingEnded(s.attempts[1:]))
		b.hedge(b.now, a)
	}
}

// leadingEnded counts the attempts at the front that have an outcome.
func leadingEnded(attempts []*attempt) int {
	if i := slices.IndexFunc(attempts, func(a *attempt) bool { return a.open }); i >= 0 {
		return i
	}
	return len(attempts)
}
