package engine

import (
	"time"

	"craneglade/internal/membership"
	"craneglade/policy"
)

// UpdateNames applies the full answer of a source that names backends beside the list. It reports whether the source should be
// queried again at once. It has no effect without Config.Members.
func (e *Engine) UpdateNames(source string, backends []ListedBackend) (requery bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members == nil || e.ctx.Err() != nil {
		return false
	}
	changed, requery := e.members.UpdateNames(e.clock.Now(), source, backends)
	e.applyStatuses(changed)
	return requery
}

// Members returns the status of each backend, sorted by address; nil without Config.Members.
func (e *Engine) Members() []membership.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members == nil {
		return nil
	}
	return e.members.All()
}

// mergeList applies a list merged with the other sources. e.mu must be held.
func (e *Engine) mergeList(l *List, kind policy.ListKind) {
	statuses := e.members.UpdateList(e.clock.Now(), kind != policy.ListDelta, l.Backends)
	out := List{Version: l.Version, Backends: make([]ListedBackend, 0, len(statuses)), AfterOutage: l.AfterOutage, owners: l.owners}
	for i := range statuses {
		// A full list removes what it omits, and an empty one must stay empty.
		if kind == policy.ListDelta || statuses[i].Backend.State != membership.Gone {
			out.Backends = append(out.Backends, statuses[i].Backend)
		}
	}
	e.applyBackends(&out, kind)
	e.backdateDrains(statuses)
	e.scheduleTick()
}

// applyStatuses applies changes that come from other sources than the list, or by time. e.mu must be held.
func (e *Engine) applyStatuses(statuses []membership.Status) {
	if len(statuses) > 0 {
		l := List{Version: e.version}
		for i := range statuses {
			l.Backends = append(l.Backends, statuses[i].Backend)
			e.log.Info("backend status changed", "box", statuses[i].Backend.ID, "addr", statuses[i].Backend.Addr, "used", statuses[i].Use,
				"why", statuses[i].Reason, "source", statuses[i].Source)
		}
		e.applyBackends(&l, policy.ListDelta)
		e.backdateDrains(statuses)
	}
	e.scheduleTick()
}

// backdateDrains has the grace of unused backends count from the first source that withdrew them. e.mu must be held.
func (e *Engine) backdateDrains(statuses []membership.Status) {
	for i := range statuses {
		s := &statuses[i]
		if b := e.byID[s.Backend.ID]; b != nil && !s.Use && b.Addr == s.Backend.Addr {
			b.StopWritesAt(time.Now().Add(s.Since - e.clock.Now() + writableFor(e.settings.DrainGrace)))
			if !b.removed {
				e.listed.update(b)
			}
		}
	}
}

// refreshList records that the list's source has answered, with or without changes. e.mu must be held.
func (e *Engine) refreshList() {
	if e.members != nil {
		e.applyStatuses(e.members.RefreshList(e.clock.Now()))
	}
}

// scheduleTick sets the timer for the next change by time alone. e.mu must be held.
func (e *Engine) scheduleTick() {
	next := e.members.Next()
	if e.memberTimer != nil {
		e.memberTimer.Stop()
	}
	if next == 0 {
		return
	}
	e.memberTimer = time.AfterFunc(max(0, next-e.clock.Now())+time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ctx.Err() == nil {
			e.applyStatuses(e.members.Tick(e.clock.Now()))
		}
	})
}
