package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/shared"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/subset"
	"craneglade/policy"
)

// Listed is one box in a list.
type Listed = membership.Box

// SpeaksRPC is the bit of policy.Entry's Speaks and of Request's Needs for JSON-RPC.
const SpeaksRPC = 1

// List is a box list, or a change of one, as PROTOCOL has it.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Listed `json:"servers"`
	// Late says that calls for it failed before: what it tells may have counted as told for a while, so that a drain has no
	// grace left.
	Late bool `json:"-"`
}

// Backend is one process behind the node.
type Backend struct {
	Number uint32 // the module's name for it
	ID     string // the list's
	Addr   string
	Zone   string
	RPC    string
	Kept   any // the HTTP carrier's own; only it touches this

	addrs   atomic.Pointer[[]string]
	started int64         // as the list tells, in Unix milliseconds
	launch  time.Duration // the same by the engine's clock; 0 for long ago
	key     judgement.Key
	left    bool                      // off the list; guarded by the engine's lock
	opened  bool                      // counted in Engine.listed as one that takes new requests; guarded by the engine's lock
	drops   int                       // times it was dropped from the list; guarded by the engine's lock
	stop    atomic.Pointer[time.Time] // from when nothing new may be written to it; nil for none
}

// newBackend is a process that a list tells of.
func newBackend(number uint32, s *Listed) *Backend {
	return &Backend{Number: number, ID: s.ID, Addr: s.Addr, Zone: s.Zone, RPC: s.RPC, started: s.StartedMS, key: shared.Key(s.ID, s.StartedMS)}
}

// startTold is when the list says that it started, since the Unix epoch.
func (b *Backend) startTold() time.Duration { return time.Duration(b.started) * time.Millisecond }

// Addrs are all addresses of the box where it has several; nil for Addr alone.
func (b *Backend) Addrs() []string {
	if p := b.addrs.Load(); p != nil {
		return *p
	}
	return nil
}

// SetAddrs sets all addresses of the box; with less than two it answers at Addr alone.
func (b *Backend) SetAddrs(addrs []string) {
	if len(addrs) < 2 {
		b.addrs.Store(nil)
		return
	}
	b.addrs.Store(&addrs)
}

// Shut tells whether nothing new may be written to the box any more: its drain's grace is over.
func (b *Backend) Shut() bool {
	stop := b.stop.Load()
	return stop != nil && !time.Now().Before(*stop)
}

// ShutFrom has nothing new written to the box from t on, or from an earlier moment that was told before.
func (b *Backend) ShutFrom(t time.Time) {
	for old := b.stop.Load(); (old == nil || t.Before(*old)) && !b.stop.CompareAndSwap(old, &t); old = b.stop.Load() {
	}
}

// Reopen takes a ShutFrom back.
func (b *Backend) Reopen() { b.stop.Store(nil) }

// Follow sets the source of lists, with the list that is known before it tells one.
func (e *Engine) Follow(s Source, known *List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.source = s
	// The list can start a watch at once, whose answer must not be taken in before the list is.
	e.take(known, policy.ListCached)
	if !e.set.MustAsk {
		s.Watch() // the module asks only where lists are not pushed
	}
}

// Replace sets another source, and has it watch. The boxes stay until it tells its list.
func (e *Engine) Replace(s Source) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.source = s
		s.Watch()
	}
}

// Version is that of the list.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// News takes in a list of s, unless s is not followed any more or fresh, told the version that is known, says that the
// list is not new.
func (e *Engine) News(s Source, l *List, kind policy.ListKind, fresh func(known int64) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.source != s || e.ctx.Err() != nil {
		return
	}
	e.listHeard()
	if fresh(e.version) {
		e.take(l, kind)
	}
}

// Lost tells that s has failed to give what was asked of it; the module says when to ask again.
func (e *Engine) Lost(s Source) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.source == s && e.ctx.Err() == nil {
		e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	}
}

// Ready tells whether some box is listed as ready.
func (e *Engine) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed.open > 0
}

// take takes in a list, with what other sources say. e.mu is held.
func (e *Engine) take(l *List, kind policy.ListKind) {
	e.version = l.Version
	if e.members == nil {
		e.apply(l, kind)
	} else {
		e.merge(l, kind)
	}
}

// apply brings the boxes up to date and hands the list to the module. e.mu is held.
func (e *Engine) apply(l *List, kind policy.ListKind) {
	now := e.clock.Now()
	entries := make([]policy.Entry, 0, len(l.Servers))
	seen := map[string]bool{}
	for i := range l.Servers {
		seen[l.Servers[i].ID] = true
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		x := policy.Entry{Hash: subset.Hash(s.ID), Zone: s.Zone, Cell: s.Cell, Kind: s.Kind}
		if s.RPC != "" {
			x.Protocols = SpeaksRPC
		}
		switch s.State {
		case "Ready":
		case "Gone":
			x.State = policy.Removed
		default: // Terminating, or a state that is not known here: nothing new for either
			x.State = policy.Draining
		}
		b := e.names[s.ID]
		if b != nil && (b.Addr != s.Addr && s.Addr != "" || b.RPC != s.RPC && s.RPC != "") {
			// Another address is another process, even where the start time does not tell.
			entries = append(entries, policy.Entry{ID: b.Number, State: policy.Removed})
			e.drop(b)
			b = nil
		}
		switch {
		case b == nil && x.State == policy.Removed:
			continue
		case b == nil:
			for _, o := range e.listed.at(s.Addr) {
				if !seen[o.ID] {
					// Its process can't be there any more: what goes to its address reaches the new one.
					entries = append(entries, policy.Entry{ID: o.Number, State: policy.Removed})
					e.drop(o)
				}
			}
			e.nextNum++
			b = newBackend(e.nextNum, s)
			b.launch = e.starts.At(now, b.startTold(), false)
		case b.started != s.StartedMS:
			old := b
			b = newBackend(old.Number, s) // the module tells the two apart by the start
			b.launch = e.starts.At(now, b.startTold(), kind == policy.ListDelta && !l.Late)
			e.listed.remove(old)
			e.carrier.Retire(old)
		}
		if len(s.Addrs) > 1 || x.State == policy.Active { // news of a drain need not tell them
			b.SetAddrs(s.Addrs)
		}
		e.names[s.ID], e.boxes[b.Number] = b, b
		x.ID, x.Launched = b.Number, b.launch
		switch x.State {
		case policy.Active:
			b.left = false
			b.Reopen()
		case policy.Draining:
			e.drain(b)
			if l.Late { // no moment of its grace may be left
				x.State = policy.Removed
			}
		case policy.Removed:
			e.drop(b)
		}
		e.listed.update(b)
		if l.Late && x.State == policy.Removed {
			b.ShutFrom(time.Now())
		}
		entries = append(entries, x)
	}
	if kind != policy.ListDelta {
		for id, b := range e.names {
			if !seen[id] {
				e.drop(b)
				if l.Late { // gone by this as by a drain that is named, and perhaps for as long
					b.ShutFrom(time.Now())
				}
			}
		}
	}
	e.handle(now, &policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	e.tellSharer()
	e.tellSites()
	e.forgetDropped()
}

// drain lets nothing new be written to a box once its grace is over.
func (e *Engine) drain(b *Backend) {
	b.ShutFrom(time.Now().Add(writableFor(e.set.DrainGrace)))
}

// writableFor is for how long new requests may be written to a box from the moment at which news of its drain was read: its grace,
// less the times for which the process may be held up before it reads the news, and between its last look at the clock and the write.
func writableFor(grace time.Duration) time.Duration {
	return max(0, min(grace*9/10, grace-2*heldUp))
}

// drop takes a box off the list. It stays known until its grace is over: the module may go on with the last of a list
// that came empty, and a box that is listed again keeps its number and its connections. forgetDropped is to be called.
func (e *Engine) drop(b *Backend) {
	if b.left {
		return
	}
	b.left = true
	b.drops++
	e.listed.remove(b)
	e.drain(b)
	e.dropped = append(e.dropped, dropped{b, b.drops})
}

// dropped is a backend that left the list, and which of its drops that was.
type dropped struct {
	backend *Backend
	nth     int
}

// forgottenAtOnce is how many backends are forgotten without a request getting the engine's lock between them.
const forgottenAtOnce = 64

// forgetDropped has what was dropped since the last call forgotten once its grace is over. e.mu is held.
func (e *Engine) forgetDropped() {
	if len(e.dropped) == 0 {
		return
	}
	all := e.dropped
	e.dropped = nil
	time.AfterFunc(e.set.DrainGrace, func() {
		for some := range slices.Chunk(all, forgottenAtOnce) {
			e.forgetBackends(some)
		}
	})
}

// forgetBackends forgets backends that are not listed again.
func (e *Engine) forgetBackends(all []dropped) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range all {
		b := d.backend
		if !b.left || b.drops != d.nth {
			continue // listed again meanwhile
		}
		if e.names[b.ID] == b {
			delete(e.names, b.ID)
		}
		if e.boxes[b.Number] == b {
			delete(e.boxes, b.Number)
		}
		e.carrier.Retire(b)
	}
}
