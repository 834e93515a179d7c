package membership

import (
	"maps"
	"slices"
	"time"
)

// Damping of backends that flap.
const (
	maxUndampedReturns = 3                // returns within retention that are not damped
	retention          = 60 * time.Second // for returns, and for backends that no source names
	maxPenaltyFactor   = 8                // max exclusion, as a multiple of Config.FlapPenalty
)

// decide applies the table to the backends at the touched addresses. It returns those whose use changed. If all is set it also
// returns the others that are used or known to the list.
func (f *Fleet) decide(now time.Duration, touched map[string]bool, all bool) []Status {
	f.sweep(now)
	var out []Status
	for _, addr := range slices.Sorted(maps.Keys(touched)) { // sorted for reproducible results
		m := f.members[addr]
		if m == nil {
			continue // removed by sweep
		}
		wasUsed := m.use
		f.applyDecision(m)
		f.damp(now, m, wasUsed)
		if current, ok := f.byID[m.backend.ID]; ok && current != addr {
			continue // its ID now belongs to a process at another address
		}
		if all && (m.list != NoClaim || m.use) || m.use != wasUsed {
			out = append(out, m.status())
		}
	}
	return out
}

// applyDecision sets whether a member is used, why, and which source decided it.
func (f *Fleet) applyDecision(m *member) {
	others, source, at := m.others()
	row := Decisions[m.list][others]
	m.use, m.reason, m.source, m.since = row.Use, row.Reason, "list", m.listSince
	switch {
	case m.list == NoClaim && others == Named && !f.listActive:
		m.use, m.reason, m.source, m.since = true, "only names know it, and the list has lost its say", source, at
	case m.list == NoClaim, others == Withdrawn && (m.list != Withdrawn || at < m.listSince):
		m.source, m.since = source, at // the first source that reported it
	}
}

// damp excludes a member that flaps. wasUsed is whether it was used before.
func (f *Fleet) damp(now time.Duration, m *member, wasUsed bool) {
	if m.use && !wasUsed && !m.penalized {
		f.recordReturn(now, m)
	}
	if m.use && now < m.excludedUntil {
		m.use, m.reason = false, "it came and went too often lately"
	} else {
		m.penalized = false // it is back in use, or removed again
	}
}

// others returns the combined claim of all sources but the list, which of them decided it, and since when.
func (m *member) others() (claim Claim, source string, at time.Duration) {
	for name, w := range m.claims {
		if w.claim > claim || w.claim == claim && (w.since < at || w.since == at && name < source) {
			claim, source, at = w.claim, name, w.since
		}
	}
	return claim, source, at
}

// recordReturn records that a backend came back, and excludes it for a while if it did so too often. Only returns are damped,
// never removals.
func (f *Fleet) recordReturn(now time.Duration, m *member) {
	m.returns = slices.DeleteFunc(m.returns, func(t time.Duration) bool { return t <= now-retention })
	m.returns = append(m.returns, now)
	if over := len(m.returns) - 1 - maxUndampedReturns; over > 0 && f.cfg.FlapPenalty > 0 && now >= m.excludedUntil {
		m.penalized = true
		m.excludedUntil = now + f.cfg.FlapPenalty*time.Duration(min(maxPenaltyFactor, 1<<min(over-1, 8)))
	}
}

// sweep forgets backends that no source names any more and whose exclusion is over. As it iterates over all of them it runs only
// once per retention.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.lastSweep < retention {
		return
	}
	f.lastSweep = now
	for addr, m := range f.members {
		named := false
		for _, w := range m.claims {
			named = named || w.claim == Named || now-w.since < retention
		}
		if !named && !m.use && m.excludedUntil == 0 && (m.list == NoClaim || m.backend.State == Gone && now-m.listSince >= retention) {
			f.dropAliases(addr, m)
			delete(f.members, addr)
		}
	}
}

// status returns the status of a member, with the backend's state adjusted to it.
func (m *member) status() Status {
	s := Status{Backend: m.backend, Use: m.use, Reason: m.reason, Source: m.source, Since: m.since}
	switch {
	case m.use:
		s.Backend.State = Ready
	case s.Backend.State == Ready:
		s.Backend.State = Draining
	}
	return s
}
