package admission

// link is a place in a chain.
type link[T any] struct{ prev, next *T }

// chain is a list whose places are held by what stands in it, so that nothing is allocated. at tells which of an element's
// places is the chain's.
type chain[T any] struct{ first, last *T }

func (q *chain[T]) push(x *T, at func(*T) *link[T]) {
	*at(x) = link[T]{prev: q.last}
	if q.last != nil {
		at(q.last).next = x
	} else {
		q.first = x
	}
	q.last = x
}

func (q *chain[T]) remove(x *T, at func(*T) *link[T]) {
	l := at(x)
	if l.prev != nil {
		at(l.prev).next = l.next
	} else {
		q.first = l.next
	}
	if l.next != nil {
		at(l.next).prev = l.prev
	} else {
		q.last = l.prev
	}
	*l = link[T]{}
}

func inAll(c *Conn) *link[Conn]      { return &c.all }
func inOwn(c *Conn) *link[Conn]      { return &c.own }
func inBucket(g *group) *link[group] { return &g.place }

// group is the connections of one address in one state, the longest first.
type group struct {
	conns  chain[Conn]
	n      int
	bucket *bucket
	place  link[group] // in its bucket
}

// bucket is the groups of one size, those that came to it first first.
type bucket struct {
	n          int
	groups     chain[group]
	less, more *bucket
}

// line is the connections of one state, in the order in which they came to it, and by address. Every change and every
// look is a constant amount of work: groups stand in buckets by their size, and change it by one at a time.
type line struct {
	state State
	all   chain[Conn]
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
	return l.most.groups.first.conns.first
}

func (l *line) push(c *Conn) {
	c.line = l
	l.all.push(c, inAll)
	l.n++
	g := &c.peer.groups[l.state]
	g.conns.push(c, inOwn)
	l.resize(g, g.n+1)
}

func (l *line) remove(c *Conn) {
	c.line = nil
	l.all.remove(c, inAll)
	l.n--
	g := &c.peer.groups[l.state]
	g.conns.remove(c, inOwn)
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
		old.groups.remove(g, inBucket)
		if old.groups.first == nil {
			l.drop(old)
		}
	}
	g.n, g.bucket = n, to
	if to != nil {
		to.groups.push(g, inBucket)
	}
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
