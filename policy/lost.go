package policy

import "slices"

// overtaken takes what is out at a backend for much longer than what was just answered off its occupancy.
// Backends take requests in turn: what was sent several service times before one that has its answer does not
// wait there, but was lost on the way, or is one of a few with far more work than most. Held until it times
// out, it would make a backend that loses a tenth of its requests look crowded while it stands idle.
func (b *Balancer) overtaken(s *server, by *attempt) {
	before := by.at - b.tune.Overtake*b.service(s)
	for len(s.flying) > 0 && s.flying[0].at < before {
		a := s.flying[0]
		a.stray = true
		b.flying--
		s.own = max(0, s.own-1)
		s.flying = slices.Delete(s.flying, 0, 1+ended(s.flying[1:]))
		b.copy(b.now, a)
	}
}

// ended counts the attempts at the front that have an outcome.
func ended(flying []*attempt) int {
	if i := slices.IndexFunc(flying, func(a *attempt) bool { return a.open }); i >= 0 {
		return i
	}
	return len(flying)
}
