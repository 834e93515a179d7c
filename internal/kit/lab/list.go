package lab

import (
	"maps"
	"slices"
	"time"

	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// The waits of the daemon's calls where each is work for the list's service (internal/discovery).
const (
	watchTimeout     = 20 * time.Second
	callGrace        = 5 * time.Second // an answer later than its wait by this has failed
	minWatchInterval = 50 * time.Millisecond
)

// listServer is the service behind the box list where nodes have to ask for it. It answers so many calls a second, with a
// second's worth in hand after a quiet one, and turns the others away at once.
type listServer struct {
	sim          *simulation
	updates      []policy.Entry // every change, in the order of their versions, from 1
	lastUpdateAt time.Duration  // of the last change that is on its way
	tokens       float64
	refilledAt   time.Duration
	waiting      []*listCall
}

// listCall is one call of a node.
type listCall struct {
	node         *node
	incarnation  int
	sinceVersion int64 // -1 for the whole list
	ended        bool
	onEnd        func(kind policy.ListKind, updates []policy.Entry, version int64, ok bool)
}

// publish takes in a change that the service knows of from a time on.
func (l *listServer) publish(e policy.Entry, at time.Duration) {
	l.lastUpdateAt = max(l.lastUpdateAt, at)
	l.sim.at(l.lastUpdateAt, func() {
		l.updates = append(l.updates, e)
		l.answerWaiting()
	})
}

// answerWaiting answers the calls that wait for a change.
func (l *listServer) answerWaiting() {
	if l.sim.listPaused {
		return
	}
	waiting := l.waiting
	l.waiting = nil
	for _, c := range waiting {
		if c.sinceVersion >= 0 && c.sinceVersion == int64(len(l.updates)) {
			l.waiting = append(l.waiting, c)
			continue
		}
		l.sim.after(l.sim.drawListSpread(), func() { l.answer(c) })
	}
}

// arrive takes in a call.
func (l *listServer) arrive(c *listCall) {
	if limit := l.sim.plan.Scenario.List.Calls; limit > 0 {
		l.tokens = min(limit, l.tokens+limit*(l.sim.now-l.refilledAt).Seconds())
		if l.refilledAt == 0 {
			l.tokens = limit
		}
		l.refilledAt = max(l.sim.now, 1)
		if l.tokens < 1 {
			l.sim.counts.recordRejectedCall(c)
			l.sim.after(l.sim.delay(l.site(), c.node.Site), func() { c.end(0, nil, 0, false) })
			return
		}
		l.tokens--
	}
	if l.sim.listPaused || c.sinceVersion >= 0 && c.sinceVersion == int64(len(l.updates)) {
		l.waiting = append(l.waiting, c)
		return
	}
	l.answer(c)
}

func (l *listServer) site() string { return l.sim.plan.Scenario.Sites[0].Name }

// answer sends what a call asks for.
func (l *listServer) answer(c *listCall) {
	kind, version := policy.ListDelta, int64(len(l.updates))
	var updates []policy.Entry
	if c.sinceVersion >= 0 {
		updates = slices.Clone(l.updates[c.sinceVersion:])
	} else {
		kind = policy.ListFull
		entries := map[uint32]policy.Entry{}
		for i := range l.sim.plan.Initial {
			e := l.sim.entry(i, policy.Active)
			e.Launched = 0
			entries[e.ID] = e
		}
		for _, e := range l.updates {
			entries[e.ID] = e
		}
		for _, id := range slices.Sorted(maps.Keys(entries)) {
			if entries[id].State != policy.Removed {
				updates = append(updates, entries[id])
			}
		}
	}
	l.sim.after(l.sim.delay(l.site(), c.node.Site), func() { c.end(kind, updates, version, true) })
}

// end hands the call's end to its node, once.
func (c *listCall) end(kind policy.ListKind, updates []policy.Entry, version int64, ok bool) {
	if c.ended || c.incarnation != c.node.incarnation {
		return
	}
	c.ended = true
	c.onEnd(kind, updates, version, ok)
}

// callList asks the service; done is called once, unless the process ends before.
func (n *node) callList(since int64, wait time.Duration, done func(policy.ListKind, []policy.Entry, int64, bool)) {
	c := &listCall{node: n, incarnation: n.incarnation, sinceVersion: since, onEnd: done}
	l := &n.sim.listService
	n.sim.counts.recordListCall(c)
	n.sim.after(n.sim.delay(n.Site, l.site()), func() { l.arrive(c) })
	n.sim.after(wait, func() { // nothing new is an answer too, unless the service says nothing at all
		l.waiting = slices.DeleteFunc(l.waiting, func(x *listCall) bool { return x == c })
		if since >= 0 && !n.sim.listPaused {
			c.end(policy.ListDelta, nil, since, true)
		}
	})
	n.sim.after(wait+callGrace, func() { c.end(0, nil, 0, false) })
}

// watch waits for changes until a call fails, as the daemon does.
func (n *node) watch() {
	if n.watching || n.sim.plan.Scenario.List.Mode != "ask" {
		return
	}
	n.watching = true
	n.nextWatch()
}

func (n *node) nextWatch() {
	startedAt := n.sim.now
	n.callList(n.version, watchTimeout, func(kind policy.ListKind, updates []policy.Entry, version int64, ok bool) {
		if !ok {
			n.watching = false
			n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
			return
		}
		if version > n.version {
			n.version = version
			n.applyList(kind, updates)
		}
		incarnation := n.incarnation
		n.sim.at(startedAt+minWatchInterval, func() {
			if n.incarnation == incarnation {
				n.nextWatch()
			}
		})
	})
}

// fetch asks for the whole list once.
func (n *node) fetch() {
	if n.sim.plan.Scenario.List.Mode != "ask" {
		return
	}
	n.callList(-1, callGrace, func(kind policy.ListKind, updates []policy.Entry, version int64, ok bool) {
		if !ok {
			n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
			return
		}
		if version < n.version {
			return // a watch has brought a later one
		}
		n.version = version
		for id := range n.known {
			if !slices.ContainsFunc(updates, func(e policy.Entry) bool { return e.ID == id }) {
				delete(n.known, id)
				n.sim.note(trace.Record{Kind: trace.Told, Node: n.Name, Box: n.sim.plan.Backends[id-1].ID, State: trace.Gone})
			}
		}
		n.applyList(kind, updates)
	})
}
