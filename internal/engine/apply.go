package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/subset"
	"craneglade/policy"
)

// listUpdate is an update of the backends while it is applied.
type listUpdate struct {
	list    *List
	kind    policy.ListKind
	now     time.Duration
	entries []policy.Entry // for the policy
	started []*Backend     // that were not known before
}

// applyList applies a list, merged with the other sources if there are any. e.mu must be held.
func (e *Engine) applyList(l *List, kind policy.ListKind) {
	e.version = l.Version
	l = e.resolveOwners(l, kind != policy.ListDelta)
	if e.members == nil {
		e.applyBackends(l, kind)
	} else {
		e.mergeList(l, kind)
	}
}

// resolveOwners returns the list with at most one process at each address: those that have lost theirs to another process are gone,
// also if the list still has them, or does not name them. e.mu must be held.
func (e *Engine) resolveOwners(l *List, full bool) *List {
	superseded := e.owners.Update(full, l.Backends)
	if e.owners.Settled() {
		return l
	}
	out := *l
	out.owners = map[string]string{}
	out.Backends = make([]ListedBackend, 0, len(superseded)+len(l.Backends))
	for _, s := range superseded {
		out.owners[s.ID] = s.Owner
		if b := e.byID[s.ID]; b != nil {
			out.Backends = append(out.Backends, ListedBackend{ID: s.ID, Addr: b.Addr, StartedMS: b.startedMS, State: membership.Gone})
		}
	}
	for i := range l.Backends {
		out.Backends = append(out.Backends, l.Backends[i])
		b := &out.Backends[len(out.Backends)-1]
		if owner := e.owners.Owner(b.ID); owner != "" {
			out.owners[b.ID] = owner
			b.State = membership.Gone
		}
		b.ZoneUnknown = b.ZoneUnknown || e.owners.Contested(b.ID)
		b.CellUnknown = b.CellUnknown || e.owners.Contested(b.ID)
	}
	return &out
}

// applyBackends updates the backends from a list and passes it to the policy. e.mu must be held.
func (e *Engine) applyBackends(l *List, kind policy.ListKind) {
	u := &listUpdate{list: l, kind: kind, now: e.clock.Now(), entries: make([]policy.Entry, 0, len(l.Backends))}
	for i := range l.Backends {
		e.applyEntry(u, &l.Backends[i])
	}
	if kind != policy.ListDelta {
		e.removeUnlisted(l)
	}
	e.endSuperseded(u)
	e.endPredecessors(u)
	e.handle(u.now, &policy.Event{Kind: policy.EvList, List: kind, Entries: u.entries})
	e.notifyFleetState()
	e.notifySites()
	e.scheduleForget()
}

// applyEntry applies the entry of one backend. e.mu must be held.
func (e *Engine) applyEntry(u *listUpdate, s *ListedBackend) {
	x := policyEntry(s)
	b := e.process(u, s, x.State)
	if b == nil {
		return // removal of a backend that is not known
	}
	if len(s.Addrs) > 1 || x.State == policy.Active { // an update of a drain may omit them
		b.SetAddrs(s.Addrs)
	}
	e.byID[s.ID], e.byNumber[b.Number] = b, b
	x.ID, x.Launched = b.Number, b.launched
	switch x.State {
	case policy.Active:
		b.removed = false
		b.ResumeWrites()
	case policy.Draining:
		e.drain(b)
		if u.list.AfterOutage { // its grace may be over
			x.State = policy.Removed
		}
	case policy.Removed:
		e.remove(b)
	}
	e.listed.update(b)
	if u.list.AfterOutage && x.State == policy.Removed {
		b.StopWritesAt(time.Now())
	}
	u.entries = append(u.entries, x)
}

// policyEntry returns the entry of a backend for the policy, without its number and start.
func policyEntry(s *ListedBackend) policy.Entry {
	x := policy.Entry{Hash: subset.Hash(s.ID), Zone: s.Zone, Cell: s.Cell, ZoneUnknown: s.ZoneUnknown, CellUnknown: s.CellUnknown, Kind: s.Kind}
	if s.RPC != "" {
		x.Protocols = ProtocolRPC
	}
	switch s.State {
	case membership.Ready:
	case membership.Gone:
		x.State = policy.Removed
	default: // draining or an unknown state: no new requests for either
		x.State = policy.Draining
	}
	return x
}

// process returns the Backend that an entry is about. It is a new one if the entry tells of another process than the one known under
// its ID, and nil if it removes one that is not known. e.mu must be held.
func (e *Engine) process(u *listUpdate, s *ListedBackend, state policy.State) *Backend {
	known := e.byID[s.ID]
	moved := known != nil && !known.ended && (known.Addr != s.Addr && s.Addr != "" || known.RPC != s.RPC && s.RPC != "")
	switch {
	case known != nil && !known.ended && !moved:
		return e.restarted(u, known, s)
	case state == policy.Removed:
		if moved {
			u.entries = append(u.entries, policy.Entry{ID: known.Number, State: policy.Removed})
			e.remove(known)
		}
		return nil
	}
	e.nextNum++
	b := newBackend(e.nextNum, s)
	b.launched = e.starts.At(u.now, b.listedStart(), false)
	u.started = append(u.started, b)
	if moved { // another address means another process, even with the same start time
		endedAt := u.now
		if b.startedMS != known.startedMS {
			endedAt = b.earliestStart(u.now)
		}
		u.entries = append(u.entries, e.end(known, endedAt))
	}
	return b
}

// restarted returns known, or the Backend of its successor if an entry has another start. e.mu must be held.
func (e *Engine) restarted(u *listUpdate, known *Backend, s *ListedBackend) *Backend {
	if !membership.IsRestart(known.startedMS, s) {
		return known
	}
	b := newBackend(known.Number, s) // the policy distinguishes the two by their start time
	b.Addr = cmp.Or(b.Addr, known.Addr)
	b.launched = e.starts.At(u.now, b.listedStart(), u.kind == policy.ListDelta && !u.list.AfterOutage)
	e.listed.remove(known)
	e.replaced(known)
	return b
}

// removeUnlisted removes the backends that a full list omits. e.mu must be held.
func (e *Engine) removeUnlisted(l *List) {
	listed := make(map[string]bool, len(l.Backends))
	for i := range l.Backends {
		listed[l.Backends[i].ID] = true
	}
	for id, b := range e.byID {
		if listed[id] {
			continue
		}
		e.remove(b)
		if l.AfterOutage { // as for an entry that drains: its grace may be over
			b.StopWritesAt(time.Now())
		}
	}
}

// endSuperseded ends the use of the backends that have lost an address to another one of the list. e.mu must be held.
func (e *Engine) endSuperseded(u *listUpdate) {
	for _, id := range slices.Sorted(maps.Keys(u.list.owners)) {
		b, owner := e.byID[id], e.byID[u.list.owners[id]]
		if b == nil || b.ended {
			continue
		}
		e.log.Info("backend has ended, as another one has its address", "box", id, "addr", b.Addr, "successor", u.list.owners[id])
		endedAt := u.now
		if owner != nil {
			endedAt = owner.earliestStart(u.now)
		}
		u.entries = append(u.entries, e.end(b, endedAt))
	}
}

// maxListDelay is how long after discovery has a change it counts as told (PROTOCOL, Figures).
const maxListDelay = 6 * time.Second

// earliestStart returns since when a backend, told at now, may have had its address. A start that seems to lie in the future is of a clock
// that was stepped.
func (b *Backend) earliestStart(now time.Duration) time.Duration {
	if b.launched >= now {
		return now - maxListDelay
	}
	return b.launched
}

// endPredecessors ends the use of the backends that are not in the list any more, or that other sources named, and whose address now
// belongs to one that was not known before. e.mu must be held.
func (e *Engine) endPredecessors(u *listUpdate) {
	if len(u.started) == 0 {
		return
	}
	removedAt := e.removedByAddr()
	for _, b := range u.started {
		if b.removed || b.Addr == "" { // removed by a later entry of the same list
			continue
		}
		for _, o := range slices.Concat(e.listed.at(b.Addr), removedAt[b.Addr], removedAt[b.RPC]) {
			if o != b && !o.ended {
				u.entries = append(u.entries, e.end(o, b.earliestStart(u.now)))
			}
		}
	}
}

// removedByAddr returns the backends that are not listed any more and whose grace is not over, by their addresses. They are few.
func (e *Engine) removedByAddr() map[string][]*Backend {
	out := map[string][]*Backend{}
	if len(e.byNumber) == e.listed.size {
		return out
	}
	for _, b := range e.byNumber {
		if !b.removed {
			continue
		}
		for _, addr := range []string{b.Addr, b.RPC} {
			if addr != "" {
				out[addr] = append(out[addr], b)
			}
		}
	}
	return out
}

// end ends the use of a backend because another process has its address, since a time of the engine's clock. It returns the entry for the
// policy. e.mu must be held.
func (e *Engine) end(b *Backend, since time.Duration) policy.Entry {
	b.ended = true
	e.remove(b)
	e.replaced(b)
	return policy.Entry{ID: b.Number, State: policy.Removed, EndedAt: max(since, 1)}
}
