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
	watchWait = 20 * time.Second
	callOver  = 5 * time.Second // an answer later than its wait by this has failed
	watchRest = 50 * time.Millisecond
)

// listd is the service behind the box list where nodes have to ask for it. It answers so many calls a second, with a
// second's worth in hand after a quiet one, and turns the others away at once.
type listd struct {
	w       *world
	news    []policy.Entry // every change, in the order of their versions, from 1
	at      time.Duration  // of the last change that is on its way
	tokens  float64
	filled  time.Duration
	waiting []*listCall
}

// listCall is one call of a node.
type listCall struct {
	n     *node
	life  int
	since int64 // -1 for the whole list
	over  bool
	done  func(kind policy.ListKind, news []policy.Entry, version int64, ok bool)
}

// publish takes in a change that the service knows of from a time on.
func (l *listd) publish(e policy.Entry, at time.Duration) {
	l.at = max(l.at, at)
	l.w.at(l.at, func() {
		l.news = append(l.news, e)
		l.wake()
	})
}

// wake answers the calls that wait for a change.
func (l *listd) wake() {
	if l.w.hushed {
		return
	}
	waiting := l.waiting
	l.waiting = nil
	for _, c := range waiting {
		if c.since >= 0 && c.since == int64(len(l.news)) {
			l.waiting = append(l.waiting, c)
			continue
		}
		l.w.after(l.w.spread(), func() { l.answer(c) })
	}
}

// arrive takes in a call.
func (l *listd) arrive(c *listCall) {
	if most := l.w.plan.Scenario.List.Calls; most > 0 {
		l.tokens = min(most, l.tokens+most*(l.w.now-l.filled).Seconds())
		if l.filled == 0 {
			l.tokens = most
		}
		l.filled = max(l.w.now, 1)
		if l.tokens < 1 {
			l.w.counts.turned(c)
			l.w.after(l.w.delay(l.site(), c.n.Site), func() { c.end(0, nil, 0, false) })
			return
		}
		l.tokens--
	}
	if l.w.hushed || c.since >= 0 && c.since == int64(len(l.news)) {
		l.waiting = append(l.waiting, c)
		return
	}
	l.answer(c)
}

func (l *listd) site() string { return l.w.plan.Scenario.Sites[0].Name }

// answer sends what a call asks for.
func (l *listd) answer(c *listCall) {
	kind, version := policy.ListDelta, int64(len(l.news))
	var news []policy.Entry
	if c.since >= 0 {
		news = slices.Clone(l.news[c.since:])
	} else {
		kind = policy.ListFull
		now := map[uint32]policy.Entry{}
		for i := range l.w.plan.Initial {
			e := l.w.entry(i, policy.Active)
			e.Launched = 0
			now[e.ID] = e
		}
		for _, e := range l.news {
			now[e.ID] = e
		}
		for _, id := range slices.Sorted(maps.Keys(now)) {
			if now[id].State != policy.Removed {
				news = append(news, now[id])
			}
		}
	}
	l.w.after(l.w.delay(l.site(), c.n.Site), func() { c.end(kind, news, version, true) })
}

// end hands the call's end to its node, once.
func (c *listCall) end(kind policy.ListKind, news []policy.Entry, version int64, ok bool) {
	if c.over || c.life != c.n.life {
		return
	}
	c.over = true
	c.done(kind, news, version, ok)
}

// call asks the service; done is called once, unless the process ends before.
func (n *node) call(since int64, wait time.Duration, done func(policy.ListKind, []policy.Entry, int64, bool)) {
	c := &listCall{n: n, life: n.life, since: since, done: done}
	l := &n.w.list
	n.w.counts.asked(c)
	n.w.after(n.w.delay(n.Site, l.site()), func() { l.arrive(c) })
	n.w.after(wait, func() { // nothing new is an answer too, unless the service says nothing at all
		l.waiting = slices.DeleteFunc(l.waiting, func(x *listCall) bool { return x == c })
		if since >= 0 && !n.w.hushed {
			c.end(policy.ListDelta, nil, since, true)
		}
	})
	n.w.after(wait+callOver, func() { c.end(0, nil, 0, false) })
}

// watch waits for changes until a call fails, as the daemon does.
func (n *node) watch() {
	if n.watching || n.w.plan.Scenario.List.Mode != "ask" {
		return
	}
	n.watching = true
	n.watchOn()
}

func (n *node) watchOn() {
	begun := n.w.now
	n.call(n.version, watchWait, func(kind policy.ListKind, news []policy.Entry, version int64, ok bool) {
		if !ok {
			n.watching = false
			n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
			return
		}
		if version > n.version {
			n.version = version
			n.take(kind, news)
		}
		life := n.life
		n.w.at(begun+watchRest, func() {
			if n.life == life {
				n.watchOn()
			}
		})
	})
}

// fetch asks for the whole list once.
func (n *node) fetch() {
	if n.w.plan.Scenario.List.Mode != "ask" {
		return
	}
	n.call(-1, callOver, func(kind policy.ListKind, news []policy.Entry, version int64, ok bool) {
		if !ok {
			n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListFailed})
			return
		}
		if version < n.version {
			return // a watch has brought a later one
		}
		n.version = version
		for id := range n.known {
			if !slices.ContainsFunc(news, func(e policy.Entry) bool { return e.ID == id }) {
				delete(n.known, id)
				n.w.note(trace.Record{Kind: trace.Told, Node: n.Name, Box: n.w.plan.Backends[id-1].ID, State: trace.Gone})
			}
		}
		n.take(kind, news)
	})
}
