package membership

import (
	"slices"
	"time"
)

// minNamedToConfirm is the number of backends that a source has to name for a withdrawal of most of them to need confirmation.
const minNamedToConfirm = 3

// source is the state of a source that names backends.
type source struct {
	heardAt      time.Duration
	named        map[string]bool // addresses in its last answer
	pending      []string        // addresses whose withdrawal is not confirmed yet
	confirmAt    time.Duration   // when the pending withdrawals take effect; 0 for none
	pendingSince time.Duration   // when the source withdrew them
}

// source returns the state of a source, creating it if there is none.
func (f *Fleet) source(name string) *source {
	s := f.sources[name]
	if s == nil {
		s = &source{named: map[string]bool{}}
		f.sources[name] = s
	}
	return s
}

// UpdateNames applies the full answer of a source that names backends by address only, and returns the backends whose status
// changed. If it withdraws more than half of the backends that the source named, and those were minNamedToConfirm or more, the
// withdrawal is pending: requery is set, and the source should be queried again at once. Unless revoked, the withdrawal takes
// effect after Config.ConfirmDelay, and counts from now.
func (f *Fleet) UpdateNames(now time.Duration, name string, backends []Backend) (changed []Status, requery bool) {
	s := f.source(name)
	s.heardAt = now
	touched := map[string]bool{}
	f.applyPending(now, name, s, touched)
	named := f.recordNamed(now, name, backends, touched)
	withdrawn := s.withdrawn(named)
	switch {
	case len(withdrawn) == 0:
		s.clearPending()
	case s.confirmAt != 0:
		s.pending = withdrawn // not all revoked yet
	case len(s.named) >= minNamedToConfirm && 2*len(withdrawn) > len(s.named):
		s.pending, s.pendingSince, s.confirmAt = withdrawn, now, now+f.cfg.ConfirmDelay
		requery = true
	default:
		for _, addr := range withdrawn {
			f.withdraw(name, addr, now, touched)
		}
	}
	s.named = named
	return f.decide(now, touched, false), requery
}

// recordNamed records the backends that a source names, and returns their addresses.
func (f *Fleet) recordNamed(now time.Duration, name string, backends []Backend, touched map[string]bool) map[string]bool {
	named := make(map[string]bool, len(backends))
	for _, b := range backends {
		if addr, ok := f.canonical[b.Addr]; ok {
			b.Addr = addr // another address of a backend that the list knows
		}
		named[b.Addr] = true
		m := f.member(b.Addr)
		if m.list == NoClaim && m.backend.ID == "" {
			m.backend = b
		}
		if m.claims[name].claim != Named {
			m.claims[name] = statement{Named, now}
			touched[b.Addr] = true
		}
	}
	return named
}

// withdrawn returns the addresses that the source named last, or whose withdrawal is pending, and that it does not name now.
func (s *source) withdrawn(named map[string]bool) []string {
	var addrs []string
	for addr := range s.named {
		if !named[addr] {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return append(addrs, slices.DeleteFunc(s.pending, func(addr string) bool { return named[addr] })...)
}

// clearPending drops all pending withdrawals.
func (s *source) clearPending() { s.pending, s.confirmAt = nil, 0 }

// applyPending applies the pending withdrawals if they are due. They count from when the source withdrew them.
func (f *Fleet) applyPending(now time.Duration, name string, s *source, touched map[string]bool) {
	if s.confirmAt == 0 || now < s.confirmAt {
		return
	}
	for _, addr := range s.pending {
		f.withdraw(name, addr, s.pendingSince, touched)
	}
	s.clearPending()
}

// withdraw records that a source no longer names an address.
func (f *Fleet) withdraw(name, addr string, at time.Duration, touched map[string]bool) {
	if m := f.members[addr]; m != nil {
		m.claims[name] = statement{Withdrawn, at}
		touched[addr] = true
	}
}
