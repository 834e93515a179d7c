package engine

import (
	"time"

	"craneglade/internal/membership"
	"craneglade/policy"
)

// UpdateNames takes in the whole answer of a source that names backends beside the list. It returns whether the source is to be asked
// again at once. Without Config.Members nothing changes.
func (e *Engine) UpdateNames(source string, boxes []ListedBackend) (again bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members == nil || e.ctx.Err() != nil {
		return false
	}
	changed, again := e.members.UpdateNames(e.clock.Now(), source, boxes)
	e.change(changed)
	return again
}

// Members is where each backend stands and why, by its address; nil without Config.Members.
func (e *Engine) Members() []membership.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members == nil {
		return nil
	}
	return e.members.All()
}

// merge takes in a list with what other sources say of its backends. e.mu is held.
func (e *Engine) merge(l *List, kind policy.ListKind) {
	stands := e.members.UpdateList(e.clock.Now(), kind != policy.ListDelta, l.Servers)
	out := List{Version: l.Version, Servers: make([]ListedBackend, 0, len(stands)), AfterOutage: l.AfterOutage}
	for i := range stands {
		// What a whole list leaves out is gone by that, and one that is empty must look so.
		if kind == policy.ListDelta || stands[i].Backend.State != membership.Gone {
			out.Servers = append(out.Servers, stands[i].Backend)
		}
	}
	e.apply(&out, kind)
	e.shut(stands)
	e.remind()
}

// change applies what has changed beside the list. e.mu is held.
func (e *Engine) change(stands []membership.Status) {
	if len(stands) > 0 {
		l := List{Version: e.version}
		for i := range stands {
			l.Servers = append(l.Servers, stands[i].Backend)
			e.log.Info("a box stands anew", "box", stands[i].Backend.ID, "addr", stands[i].Backend.Addr, "used", stands[i].Use,
				"why", stands[i].Reason, "source", stands[i].Source)
		}
		e.apply(&l, policy.ListDelta)
		e.shut(stands)
	}
	e.remind()
}

// shut has the grace of backends that are out run from the moment at which the first source told. e.mu is held.
func (e *Engine) shut(stands []membership.Status) {
	for i := range stands {
		s := &stands[i]
		if b := e.names[s.Backend.ID]; b != nil && !s.Use && b.Addr == s.Backend.Addr {
			b.StopWritesAt(time.Now().Add(s.Since - e.clock.Now() + writableFor(e.set.DrainGrace)))
			if !b.left {
				e.listed.update(b)
			}
		}
	}
}

// listHeard notes that the list's source has answered, also where it had nothing new. e.mu is held.
func (e *Engine) listHeard() {
	if e.members != nil {
		e.change(e.members.RefreshList(e.clock.Now()))
	}
}

// remind sets the timer for what changes by time alone. e.mu is held.
func (e *Engine) remind() {
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
			e.change(e.members.Tick(e.clock.Now()))
		}
	})
}
