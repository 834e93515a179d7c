package membership

import (
	"slices"
	"time"
)

// UpdateList applies a full backend list or a delta. It returns the status of all backends that it names and of others that it
// changed, and for a full list also of those that are used or were listed before. Their State is adjusted to their status.
func (f *Fleet) UpdateList(now time.Duration, full bool, backends []Backend) []Status {
	wasExpired := !f.listActive
	f.listHeardAt, f.listActive = now, true
	touched := map[string]bool{}
	if full {
		f.removeUnlisted(now, backends, touched)
	}
	for _, b := range backends {
		f.updateListed(now, b, touched)
	}
	if wasExpired || full {
		for addr := range f.members { // backends that only other sources name are no longer used
			touched[addr] = true
		}
	}
	return f.decide(now, touched, true)
}

// removeUnlisted removes the backends that a full list omits.
func (f *Fleet) removeUnlisted(now time.Duration, backends []Backend, touched map[string]bool) {
	named := map[string]bool{}
	for i := range backends {
		named[backends[i].ID] = true
	}
	for id, addr := range f.byID {
		if !named[id] {
			f.removeListed(now, addr, touched)
			delete(f.byID, id)
		}
	}
}

// removeListed records that the backend at an address is off the list.
func (f *Fleet) removeListed(now time.Duration, addr string, touched map[string]bool) {
	m := f.members[addr]
	f.setListClaim(now, m, Withdrawn)
	m.backend.State = Gone
	touched[addr] = true
}

// updateListed applies the list's entry for one backend.
func (f *Fleet) updateListed(now time.Duration, b Backend, touched map[string]bool) {
	knownAddr, isKnown := f.byID[b.ID]
	switch {
	case isKnown && knownAddr != b.Addr && b.Addr != "":
		// The same ID at another address is another process; the one at the old address has ended.
		f.removeListed(now, knownAddr, touched)
	case isKnown:
		b.Addr = knownAddr
	case b.Addr == "":
		return // removal of a backend that was never known here
	}
	if b.State == Ready {
		f.claimAliases(b)
	} else if f.isPredecessor(b) {
		delete(f.byID, b.ID)
		return // it tells, late, of the end of the process before the one that is listed there
	}
	m := f.member(b.Addr)
	if m.backend.ID != b.ID && f.byID[m.backend.ID] == b.Addr {
		delete(f.byID, m.backend.ID) // an address has one process: the latest entry replaces its ID
	}
	if m.list != NoClaim && b.State == Ready && (b.ID != m.backend.ID || b.StartedMS > m.backend.StartedMS) {
		// A new process, under the same ID or another: withdrawals meant its predecessor.
		f.resetMember(now, b.Addr)
		m = f.member(b.Addr)
	}
	if b.State != Ready && m.backend.ID == b.ID && !IsRestart(m.backend.StartedMS, &b) {
		m.backend.State = b.State // an update of a drain or removal may leave out the rest
	} else {
		m.backend = b
	}
	f.byID[b.ID] = b.Addr
	if b.State == Ready {
		f.setListClaim(now, m, Named)
	} else {
		f.setListClaim(now, m, Withdrawn)
	}
	if b.State == Gone {
		delete(f.byID, b.ID)
	}
	touched[b.Addr] = true
}

// isPredecessor reports whether an entry, of a backend that is not ready, is about a process that had the address before the one that is
// listed there.
func (f *Fleet) isPredecessor(b Backend) bool {
	m := f.members[b.Addr]
	if m == nil || m.backend.ID == b.ID || f.byID[m.backend.ID] != b.Addr {
		return false
	}
	return b.StartedMS < m.backend.StartedMS || b.State == Gone && b.StartedMS == m.backend.StartedMS
}

// claimAliases replaces the further addresses by which the backend at an address is known. All its addresses are its own from now on.
func (f *Fleet) claimAliases(b Backend) {
	delete(f.canonical, b.Addr)
	if m := f.members[b.Addr]; m != nil {
		f.dropAliases(b.Addr, m)
	}
	for _, addr := range b.Addrs {
		if addr != b.Addr {
			f.canonical[addr] = b.Addr
		}
	}
}

// dropAliases forgets the further addresses of the backend at an address, unless another backend has them now.
func (f *Fleet) dropAliases(addr string, m *member) {
	for _, alias := range m.backend.Addrs {
		if f.canonical[alias] == addr {
			delete(f.canonical, alias)
		}
	}
}

// RefreshList records that the list's source has answered, with or without changes. It returns the backends whose status
// changed.
func (f *Fleet) RefreshList(now time.Duration) []Status {
	f.listHeardAt = now
	if f.listActive {
		return nil
	}
	f.listActive = true
	touched := map[string]bool{}
	for addr, m := range f.members {
		if m.list == NoClaim { // backends that only other sources name are no longer used
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// resetMember forgets all claims about the previous process at an address. Sources that name the address at present claim the
// new one from now on.
func (f *Fleet) resetMember(now time.Duration, addr string) {
	old := f.members[addr]
	f.members[addr] = &member{claims: map[string]statement{}, use: old.use, returns: old.returns, excludedUntil: old.excludedUntil, penalized: old.penalized}
	for name, s := range f.sources {
		s.pending = slices.DeleteFunc(s.pending, func(a string) bool { return a == addr })
		if s.named[addr] {
			f.members[addr].claims[name] = statement{Named, now}
		}
	}
}

// setListClaim records the claim of the list about a member, and since when.
func (f *Fleet) setListClaim(now time.Duration, m *member, claim Claim) {
	if m.list != claim {
		m.list, m.listSince = claim, now
	}
}
