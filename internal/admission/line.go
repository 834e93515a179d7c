package admission

// links is a place in a queue, or, as the queue itself, its two ends.
type links struct{ first, last, prev, next *Conn }

// group is the connections of one address in one state, the longest first.
type group struct {
	peer       *peer
	conns      links
	n          int
	bucket     *bucket
	prev, next *group // in its bucket
}

// bucket is the groups of one size, those that came to it first first.
type bucket struct {
	n           int
	first, last *group
	less, more  *bucket
}

// line is the connections of one state, in the order in which they came to it, and by address. Every change and every
// look is a constant amount of work: groups stand in buckets by their size, and change it by one at a time.
type line struct {
	state State
	all   links
	n     int
	least *bucket // of the smallest groups,
	most  *bucket // and of the largest
	free  *bucket // to be used again, linked by more
}

// next is the connection of the address that holds most of them which has been in this state for longest; nil for none.
func (l *line) next() *Conn {
	if l.most == nil {
		return nil
	}
	return l.most.first.conns.first
}

func (l *line) push(c *Conn) {
	c.line = l
	c.all = links{prev: l.all.last}
	if l.all.last != nil {
		l.all.last.all.next = c
	} else {
		l.all.first = c
	}
	l.all.last = c
	l.n++

	g := &c.peer.groups[l.state]
	c.own = links{prev: g.conns.last}
	if g.conns.last != nil {
		g.conns.last.own.next = c
	} else {
		g.conns.first = c
	}
	g.conns.last = c
	l.resize(g, g.n+1)
}

func (l *line) remove(c *Conn) {
	if c.all.prev != nil {
		c.all.prev.all.next = c.all.next
	} else {
		l.all.first = c.all.next
	}
	if c.all.next != nil {
		c.all.next.all.prev = c.all.prev
	} else {
		l.all.last = c.all.prev
	}
	l.n--

	g := &c.peer.groups[l.state]
	if c.own.prev != nil {
		c.own.prev.own.next = c.own.next
	} else {
		g.conns.first = c.own.next
	}
	if c.own.next != nil {
		c.own.next.own.prev = c.own.prev
	} else {
		g.conns.last = c.own.prev
	}
	c.all, c.own, c.line = links{}, links{}, nil
	l.resize(g, g.n-1)
}

// resize moves a group to the bucket of its new size, which is one more or less than its old one.
func (l *line) resize(g *group, n int) {
	old, to := g.bucket, (*bucket)(nil)
	switch {
	case n == 0:
	case old == nil:
		if to = l.least; to == nil || to.n != n {
			to = l.insert(n, nil)
		}
	case n > old.n:
		if to = old.more; to == nil || to.n != n {
			to = l.insert(n, old)
		}
	default:
		if to = old.less; to == nil || to.n != n {
			to = l.insert(n, old.less)
		}
	}
	if old != nil {
		old.leave(g)
		if old.first == nil {
			l.drop(old)
		}
	}
	g.n, g.bucket = n, to
	if to != nil {
		to.enter(g)
	}
}

func (b *bucket) enter(g *group) {
	g.prev, g.next = b.last, nil
	if b.last != nil {
		b.last.next = g
	} else {
		b.first = g
	}
	b.last = g
}

func (b *bucket) leave(g *group) {
	if g.prev != nil {
		g.prev.next = g.next
	} else {
		b.first = g.next
	}
	if g.next != nil {
		g.next.prev = g.prev
	} else {
		b.last = g.prev
	}
	g.prev, g.next = nil, nil
}

// insert puts a bucket behind another; nil for the front.
func (l *line) insert(n int, behind *bucket) *bucket {
	b := l.free
	if b != nil {
		l.free = b.more
	} else {
		b = &bucket{}
	}
	*b = bucket{n: n, less: behind, more: l.least}
	if behind != nil {
		b.more, behind.more = behind.more, b
	} else {
		l.least = b
	}
	if b.more != nil {
		b.more.less = b
	} else {
		l.most = b
	}
	return b
}

func (l *line) drop(b *bucket) {
	if b.less != nil {
		b.less.more = b.more
	} else {
		l.least = b.more
	}
	if b.more != nil {
		b.more.less = b.less
	} else {
		l.most = b.less
	}
	*b = bucket{more: l.free}
	l.free = b
}
