package lab

import (
	"maps"
	"slices"
	"time"

	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// The timeouts of the daemon's calls to a discovery service (internal/discovery).
const (
	watchTimeout     = 20 * time.Second
	callGrace        = 5 * time.Second // a call fails this long after its wait
	minWatchInterval = 50 * time.Millisecond
)

// listServer is the discovery service for nodes that fetch their list. It answers a limited number of calls per second,
// with a burst of one second's calls, and rejects the others at once.
type listServer struct {
	sim          *simulation
	updates      []policy.Entry // all changes in the order of their versions, from 1
	lastUpdateAt time.Duration  // when the service learns of the latest change
	tokens       float64
	refilledAt   time.Duration
	waiting      []*listCall
}

// listCall is one call of a node.
type listCall struct {
	node         *node
	incarnation  int
	sinceVersion int64 // -1 for the full list
	ended        bool
	onEnd        func(kind policy.ListKind, updates []policy.Entry, version int64, ok bool)
}

// publish adds a change that the service learns of at a time, and no earlier than of the changes before it.
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

// arrive handles a call: it is rejected, answered, or waits for a change.
func (l *listServer) arrive(c *listCall) {
	if limit := l.sim.plan.Scenario.List.MaxCalls; limit > 0 {
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

// answer sends the changes since the call's version, or the full list.
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

// end passes the result of the call to its node, once.
func (c *listCall) end(kind policy.ListKind, updates []policy.Entry, version int64, ok bool) {
	if c.ended || c.incarnation != c.node.incarnation {
		return
	}
	c.ended = true
	c.onEnd(kind, updates, version, ok)
}

// callList calls the service. done is called once, unless the node's process ends before.
func (n *node) callList(since int64, wait time.Duration, done func(policy.ListKind, []policy.Entry, int64, bool)) {
	c := &listCall{node: n, incarnation: n.incarnation, sinceVersion: since, onEnd: done}
	l := &n.sim.listService
	n.sim.counts.recordListCall(c)
	n.sim.after(n.sim.delay(n.Site, l.site()), func() { l.arrive(c) })
	n.sim.after(wait, func() { // a watch without changes gets an empty response, unless the service is paused
		l.waiting = slices.DeleteFunc(l.waiting, func(x *listCall) bool { return x == c })
		if since >= 0 && !n.sim.listPaused {
			c.end(policy.ListDelta, nil, since, true)
		}
	})
	n.sim.after(wait+callGrace, func() { c.end(0, nil, 0, false) })
}

// watch polls for changes until a call fails, as the daemon does.
func (n *node) watch() {
	if n.watching || n.sim.plan.Scenario.List.Mode != "ask" {
		return
	}
	n.watching = true
	n.nextWatch()
}

// nextWatch makes one call of a watch.
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

// fetch fetches the full list once.
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
			return // a watch has returned a later version meanwhile
		}
		n.version = version
		for id := range n.known {
			if !slices.ContainsFunc(updates, func(e policy.Entry) bool { return e.ID == id }) {
				delete(n.known, id)
				n.sim.note(trace.Record{Kind: trace.Notified, Node: n.Name, Backend: n.sim.plan.Backends[id-1].ID, State: trace.Removed})
			}
		}
		n.applyList(kind, updates)
	})
}
