package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"craneglade/internal/subset"
)

// applyList applies an update of the backend list.
func (b *Balancer) applyList(now float64, ev *Event) {
	if ev.List == ListFailed {
		// All nodes lose the list at once: subscribe again after a random wait, so that they don't do it together.
		wait := min(resubscribeSeconds, cmp.Or(b.cfg.MustAskIn, time.Hour).Seconds()/3)
		b.resubscribeAt = now + wait*(0.5+b.rng.Float64())
		return
	}
	if ev.List == ListCached && b.cfg.MustAsk {
		b.do(Action{Kind: ActSubscribe})
	}
	if ev.List != ListDelta {
		usableUntil := 0.0
		if len(ev.Entries) == 0 && len(b.sorted) > 0 {
			// An empty list is more likely an error than an empty fleet: fetch it again, and use the old one for as
			// long as its backends may be used if they drain.
			usableUntil = now + drainServeFraction*b.cfg.DrainGrace.Seconds()
			b.do(Action{Kind: ActFetch})
			b.log("the backend list is empty: using the previous one for part of the drain grace")
		}
		for _, s := range b.sorted {
			if s.State == Active {
				s.usableUntil = usableUntil
			}
			s.State = Removed // those still listed become active or draining below
		}
		if usableUntil > 0 {
			return
		}
	}
	for i := range ev.Entries {
		b.applyEntry(now, &ev.Entries[i], ev.List)
	}
	if ev.List != ListCached {
		b.noteList(now)
	}
	b.sorted = slices.DeleteFunc(b.sorted, func(s *backend) bool { return s.State == Removed || b.backends[s.ID] != s })
	// Attempts in flight keep their own pointers to the backends removed here.
	maps.DeleteFunc(b.backends, func(_ uint32, s *backend) bool { return s.State == Removed })
	slices.SortFunc(b.sorted, func(x, y *backend) int { return cmp.Compare(x.ID, y.ID) })
	inSubset, nodesPerBackend := subset.Of(len(b.sorted),
		func(i int) (string, uint64) { return b.sorted[i].Zone, b.sorted[i].Hash },
		subset.Node{Number: b.cfg.Number, Nodes: b.cfg.Nodes, Zone: b.cfg.Zone, CrossPrice: b.cfg.CrossPrice})
	for i, s := range b.sorted {
		s.outsideSubset = !inSubset[i]
	}
	// A queue reported alone is already an overload, and a late sign of it: it gets no flatter q.
	if b.nodesPerBackend = nodesPerBackend; !b.cfg.QueueOnly {
		b.sharingFactor = max(1, nodesPerBackend/b.tuning.Steep)
	}
	b.refresh(now)
}

// applyEntry applies the entry of one backend. What a backend is, such as its zone and cell, only an entry as active
// tells: an update of its drain or removal may leave that out.
func (b *Balancer) applyEntry(now float64, e *Entry, kind ListKind) {
	if e.EndedAt > 0 {
		b.noteEnd(e.ID, e.EndedAt.Seconds())
	}
	s := b.backends[e.ID]
	switch {
	case s == nil && e.State == Removed:
		return
	case s == nil || e.Launched.Seconds() > s.launched && e.State == Active:
		s = b.newBackend(now, e)
	case e.State == Active:
		s.Entry = *e
	}
	startsDraining := s.State == Active && e.State == Draining && kind == ListDelta && s.answers > 0
	s.State, s.usableUntil = e.State, 0
	if startsDraining && !b.cfg.MustAsk { // all nodes learn it at once, seconds before its successor is listed
		s.usableUntil = now + drainServeFraction*b.cfg.DrainGrace.Seconds()
	}
}

// newBackend adds a backend, or replaces the state of the earlier process with its number.
func (b *Balancer) newBackend(now float64, e *Entry) *backend {
	if old := b.backends[e.ID]; old != nil {
		old.process.Ended(e.Launched.Seconds())
	}
	s := &backend{Entry: *e, launched: e.Launched.Seconds(), minFullOccupancy: math.Inf(1),
		baseWorkTime: math.Inf(1), reportAt: now, laggedAt: now, sentAt: now, lastOKAt: now}
	if b.cfg.QueueOnly {
		s.reportAt = math.Inf(-1) // until the first report it is unknown how many attempts wait
	}
	b.backends[e.ID] = s
	b.sorted = append(b.sorted, s)
	return s
}
