package membership

import (
	"slices"
	"time"
)

// UpdateList takes in the backend list, or a change of it, and returns the backends whose standing follows anew: all that it
// names, and others that changed by it. A full list is the whole of it. The state of a backend there is that of its
// standing.
func (f *Fleet) UpdateList(now time.Duration, full bool, backends []Backend) []Status {
	wasSilent := !f.listSays
	f.listAt, f.listSays = now, true
	touched := map[string]bool{}
	if full {
		f.withdrawUnlisted(now, backends, touched)
	}
	for _, b := range backends {
		f.listOne(now, b, touched)
	}
	if wasSilent || full {
		for addr := range f.members { // once the list is back, what names alone had put in goes out again
			touched[addr] = true
		}
	}
	return f.decide(now, touched, true)
}

// withdrawUnlisted takes off what a full list does not name.
func (f *Fleet) withdrawUnlisted(now time.Duration, backends []Backend, touched map[string]bool) {
	named := map[string]bool{}
	for i := range backends {
		named[backends[i].ID] = true
	}
	for id, addr := range f.byID {
		if !named[id] {
			f.listGone(now, addr, touched)
			delete(f.byID, id)
		}
	}
}

// listGone records that the list no longer has what was at an address.
func (f *Fleet) listGone(now time.Duration, addr string, touched map[string]bool) {
	m := f.members[addr]
	f.listSaid(now, m, Withdrawn)
	m.backend.State = Gone
	touched[addr] = true
}

// listOne takes in what the list says of one backend.
func (f *Fleet) listOne(now time.Duration, b Backend, touched map[string]bool) {
	known, isKnown := f.byID[b.ID]
	switch {
	case isKnown && known != b.Addr && b.Addr != "":
		// The same name at another address is another process; what was at the old one is gone.
		f.listGone(now, known, touched)
	case isKnown:
		b.Addr = known
	case b.Addr == "":
		return // the end of a backend that was never known here
	}
	m := f.member(b.Addr)
	if m.backend.ID != b.ID && f.byID[m.backend.ID] == b.Addr {
		delete(f.byID, m.backend.ID) // one address has one process: the list's latest word is of another one
	}
	if m.list != NoClaim && b.State == Ready && (b.ID != m.backend.ID || b.StartedMS > m.backend.StartedMS) {
		// A new process, under the old name or another: what was withdrawn was its predecessor.
		f.renew(now, b.Addr)
		m = f.member(b.Addr)
	}
	f.setAliases(m.backend.Addrs, b)
	m.backend = b
	f.byID[b.ID] = b.Addr
	if b.State == Ready {
		f.listSaid(now, m, Named)
	} else {
		f.listSaid(now, m, Withdrawn)
	}
	if b.State == Gone {
		delete(f.byID, b.ID)
	}
	touched[b.Addr] = true
}

// setAliases has the further addresses of a backend stand for it, in place of those that it had before.
func (f *Fleet) setAliases(before []string, b Backend) {
	for _, addr := range before {
		delete(f.alias, addr)
	}
	for _, addr := range b.Addrs {
		if addr != b.Addr {
			f.alias[addr] = b.Addr
		}
	}
}

// RefreshList records that the list's source has answered, also where nothing is new. It returns the backends whose standing
// changed.
func (f *Fleet) RefreshList(now time.Duration) []Status {
	f.listAt = now
	if f.listSays {
		return nil
	}
	f.listSays = true
	touched := map[string]bool{}
	for addr, m := range f.members {
		if m.list == NoClaim { // what names alone had put in goes out again
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// renew forgets what any source said of the process that was at an address.
func (f *Fleet) renew(now time.Duration, addr string) {
	old := f.members[addr]
	f.members[addr] = &member{names: map[string]statement{}, use: old.use, returns: old.returns, calm: old.calm, calmed: old.calmed}
	for name, s := range f.sources {
		s.doubted = slices.DeleteFunc(s.doubted, func(a string) bool { return a == addr })
		if s.named[addr] {
			f.members[addr].names[name] = statement{Named, now}
		}
	}
}

// listSaid records what the list says of a member, and since when.
func (f *Fleet) listSaid(now time.Duration, m *member, is Claim) {
	if m.list != is {
		m.list, m.listAt = is, now
	}
}
