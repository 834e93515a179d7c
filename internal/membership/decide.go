package membership

import (
	"maps"
	"slices"
	"time"
)

// How often a backend may come back before it is kept out for a while, and how long that is remembered.
const (
	freeReturns   = 3                // returns within memory that are not damped
	memory        = 60 * time.Second // for returns, and for what nobody names any more
	maxCalmFactor = 8                // times Config.Calm at most
)

// decide applies the rule to the backends at some addresses. It returns those whose standing changed, and with all also
// the others.
func (f *Fleet) decide(now time.Duration, touched map[string]bool, all bool) []Status {
	f.forget(now)
	var out []Status
	for _, addr := range slices.Sorted(maps.Keys(touched)) { // two runs hand over the same
		m := f.members[addr]
		if m == nil {
			continue // just forgotten
		}
		was := m.use
		f.applyRule(m)
		f.damp(now, m, was)
		if current, ok := f.byID[m.backend.ID]; ok && current != addr {
			continue // its name stands for another process by now
		}
		if all && (m.list != NoClaim || m.use) || m.use != was {
			out = append(out, m.standing())
		}
	}
	return out
}

// applyRule sets whether a member may be used, why, and which source decides that.
func (f *Fleet) applyRule(m *member) {
	others, who, at := m.others()
	row := Decisions[m.list][others]
	m.use, m.why, m.source, m.told = row.Use, row.Why, "list", m.listAt
	switch {
	case m.list == NoClaim && others == Named && !f.listSays:
		m.use, m.why, m.source, m.told = true, "only names know it, and the list has lost its say", who, at
	case m.list == NoClaim, others == Withdrawn && (m.list != Withdrawn || at < m.listAt):
		m.source, m.told = who, at // the first that told
	}
}

// damp keeps out a member that came and went too often lately. was tells whether it was used before.
func (f *Fleet) damp(now time.Duration, m *member, was bool) {
	if m.use && !was && !m.calmed {
		f.returned(now, m)
	}
	if m.use && now < m.calm {
		m.use, m.why = false, "it came and went too often lately"
	} else {
		m.calmed = false // it is back, or has gone once more
	}
}

// others is what the sources other than the list say of a backend together, which of them decides, and since when.
func (m *member) others() (is Claim, who string, at time.Duration) {
	for name, w := range m.names {
		if w.is > is || w.is == is && (w.at < at || w.at == at && name < who) {
			is, who, at = w.is, name, w.at
		}
	}
	return is, who, at
}

// returned records that a backend came back, and keeps it out for a while where it did so too often. Only coming back is
// damped; going never is.
func (f *Fleet) returned(now time.Duration, m *member) {
	m.returns = slices.DeleteFunc(m.returns, func(t time.Duration) bool { return t <= now-memory })
	m.returns = append(m.returns, now)
	if over := len(m.returns) - 1 - freeReturns; over > 0 && f.cfg.FlapPenalty > 0 && now >= m.calm {
		m.calmed = true
		m.calm = now + f.cfg.FlapPenalty*time.Duration(min(maxCalmFactor, 1<<min(over-1, 8)))
	}
}

// forget drops backends that nobody speaks of any more, once their flapping is forgotten too. It looks at all of them,
// and so seldom.
func (f *Fleet) forget(now time.Duration) {
	if now-f.swept < memory {
		return
	}
	f.swept = now
	for addr, m := range f.members {
		named := false
		for _, w := range m.names {
			named = named || w.is == Named || now-w.at < memory
		}
		if !named && !m.use && m.calm == 0 && (m.list == NoClaim || m.backend.State == Gone && now-m.listAt >= memory) {
			for _, a := range m.backend.Addrs {
				delete(f.alias, a)
			}
			delete(f.members, addr)
		}
	}
}

// standing is where a member stands, with the state that follows from it.
func (m *member) standing() Status {
	s := Status{Backend: m.backend, Use: m.use, Reason: m.why, Source: m.source, Since: m.told}
	switch {
	case m.use:
		s.Backend.State = Ready
	case s.Backend.State == Ready:
		s.Backend.State = Draining
	}
	return s
}
