package membership

import (
	"slices"
	"time"
)

// minForDoubt is how many a source has to have named for a withdrawal of most of them to be doubted.
const minForDoubt = 3

// source is one that names backends.
type source struct {
	heardAt    time.Duration
	named      map[string]bool // addresses that it named last
	doubted    []string        // addresses whose withdrawal is doubted
	doubtUntil time.Duration   // and until when; 0 where none is
	doubtSince time.Duration   // when it told of their withdrawal
}

// source returns what is known of a source, from nothing if need be.
func (f *Fleet) source(name string) *source {
	s := f.sources[name]
	if s == nil {
		s = &source{named: map[string]bool{}}
		f.sources[name] = s
	}
	return s
}

// UpdateNames takes in the whole answer of a source that names backends by address and nothing else, and returns the backends
// whose standing changed. Where the source has withdrawn more than half of what it named, ask is set: it is doubted, and
// to be asked again at once. Unless it takes that back, it stands from Config.Doubt on, counted as told now.
func (f *Fleet) UpdateNames(now time.Duration, name string, backends []Backend) (changed []Status, ask bool) {
	s := f.source(name)
	s.heardAt = now
	touched := map[string]bool{}
	f.confirm(now, name, s, touched)
	named := f.nameAll(now, name, backends, touched)
	withdrawn := s.withdrawn(named)
	switch {
	case len(withdrawn) == 0:
		s.endDoubt()
	case s.doubtUntil != 0:
		s.doubted = withdrawn // it has not taken all back yet
	case len(s.named) >= minForDoubt && 2*len(withdrawn) > len(s.named):
		s.doubted, s.doubtSince, s.doubtUntil = withdrawn, now, now+f.cfg.ConfirmDelay
		ask = true
	default:
		for _, addr := range withdrawn {
			f.withdraw(name, addr, now, touched)
		}
	}
	s.named = named
	return f.decide(now, touched, false), ask
}

// nameAll records that a source names backends, and returns their addresses.
func (f *Fleet) nameAll(now time.Duration, name string, backends []Backend, touched map[string]bool) map[string]bool {
	named := make(map[string]bool, len(backends))
	for _, b := range backends {
		if addr, ok := f.alias[b.Addr]; ok {
			b.Addr = addr // another address of a backend that the list knows
		}
		named[b.Addr] = true
		m := f.member(b.Addr)
		if m.list == NoClaim && m.backend.ID == "" {
			m.backend = b
		}
		if m.names[name].is != Named {
			m.names[name] = statement{Named, now}
			touched[b.Addr] = true
		}
	}
	return named
}

// withdrawn returns what the source named last, or is doubted about, and does not name now.
func (s *source) withdrawn(named map[string]bool) []string {
	var addrs []string
	for addr := range s.named {
		if !named[addr] {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return append(addrs, slices.DeleteFunc(s.doubted, func(addr string) bool { return named[addr] })...)
}

// endDoubt leaves nothing doubted.
func (s *source) endDoubt() { s.doubted, s.doubtUntil = nil, 0 }

// confirm has a doubted withdrawal stand once the doubt is over, counted from the first telling.
func (f *Fleet) confirm(now time.Duration, name string, s *source, touched map[string]bool) {
	if s.doubtUntil == 0 || now < s.doubtUntil {
		return
	}
	for _, addr := range s.doubted {
		f.withdraw(name, addr, s.doubtSince, touched)
	}
	s.endDoubt()
}

// withdraw records that a source no longer names an address.
func (f *Fleet) withdraw(name, addr string, at time.Duration, touched map[string]bool) {
	if m := f.members[addr]; m != nil {
		m.names[name] = statement{Withdrawn, at}
		touched[addr] = true
	}
}
