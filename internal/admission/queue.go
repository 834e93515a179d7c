package admission

// link is the position of an element in a linkedList.
type link[T any] struct{ prev, next *T }

// linkedList is an intrusive doubly linked list: elements hold their own links, so that nothing is allocated. The
// linkOf parameter of its methods returns the link that an element has for this list.
type linkedList[T any] struct{ first, last *T }

func (q *linkedList[T]) push(x *T, linkOf func(*T) *link[T]) {
	*linkOf(x) = link[T]{prev: q.last}
	if q.last != nil {
		linkOf(q.last).next = x
	} else {
		q.first = x
	}
	q.last = x
}

func (q *linkedList[T]) remove(x *T, linkOf func(*T) *link[T]) {
	l := linkOf(x)
	if l.prev != nil {
		linkOf(l.prev).next = l.next
	} else {
		q.first = l.next
	}
	if l.next != nil {
		linkOf(l.next).prev = l.prev
	} else {
		q.last = l.prev
	}
	*l = link[T]{}
}

func queueLinkOf(c *Conn) *link[Conn]    { return &c.queueLink }
func groupLinkOf(c *Conn) *link[Conn]    { return &c.groupLink }
func bucketLinkOf(g *group) *link[group] { return &g.bucketLink }

// group holds the connections of one address in one state, the longest in it first.
type group struct {
	conns      linkedList[Conn]
	n          int
	bucket     *bucket
	bucketLink link[group] // in the list of its bucket
}

// bucket holds the groups of one size, in the order in which they reached it.
type bucket struct {
	n               int
	groups          linkedList[group]
	smaller, larger *bucket
}

// stateQueue holds the connections of one state, in the order in which they entered it and by address. Every operation
// takes constant time: groups are kept in buckets by size, and a change moves a group to an adjacent size.
type stateQueue struct {
	state    State
	conns    linkedList[Conn]
	n        int
	smallest *bucket // holds the smallest groups
	largest  *bucket // holds the largest groups
	free     *bucket // for reuse, linked by larger
}

// candidate returns the connection that has been in this state for longest, of the address that holds the most in it,
// or nil if there is none.
func (l *stateQueue) candidate() *Conn {
	if l.largest == nil {
		return nil
	}
	return l.largest.groups.first.conns.first
}

// push adds a connection as the newest of this state.
func (l *stateQueue) push(c *Conn) {
	c.queue = l
	l.conns.push(c, queueLinkOf)
	l.n++
	g := &c.address.groups[l.state]
	g.conns.push(c, groupLinkOf)
	l.resize(g, g.n+1)
}

// remove takes out a connection.
func (l *stateQueue) remove(c *Conn) {
	c.queue = nil
	l.conns.remove(c, queueLinkOf)
	l.n--
	g := &c.address.groups[l.state]
	g.conns.remove(c, groupLinkOf)
	l.resize(g, g.n-1)
}

// resize moves a group to the bucket of size n, which differs from its current size by one.
func (l *stateQueue) resize(g *group, n int) {
	old, target := g.bucket, (*bucket)(nil)
	switch {
	case n == 0:
	case old == nil:
		if target = l.smallest; target == nil || target.n != n {
			target = l.insert(n, nil)
		}
	case n > old.n:
		if target = old.larger; target == nil || target.n != n {
			target = l.insert(n, old)
		}
	default:
		if target = old.smaller; target == nil || target.n != n {
			target = l.insert(n, old.smaller)
		}
	}
	if old != nil {
		old.groups.remove(g, bucketLinkOf)
		if old.groups.first == nil {
			l.removeBucket(old)
		}
	}
	g.n, g.bucket = n, target
	if target != nil {
		target.groups.push(g, bucketLinkOf)
	}
}

// insert adds a bucket for groups of size n after prev, or at the front if prev is nil.
func (l *stateQueue) insert(n int, prev *bucket) *bucket {
	b := l.free
	if b != nil {
		l.free = b.larger
	} else {
		b = &bucket{}
	}
	*b = bucket{n: n, smaller: prev, larger: l.smallest}
	if prev != nil {
		b.larger, prev.larger = prev.larger, b
	} else {
		l.smallest = b
	}
	if b.larger != nil {
		b.larger.smaller = b
	} else {
		l.largest = b
	}
	return b
}

// removeBucket unlinks an empty bucket and keeps it for reuse.
func (l *stateQueue) removeBucket(b *bucket) {
	if b.smaller != nil {
		b.smaller.larger = b.larger
	} else {
		l.smallest = b.larger
	}
	if b.larger != nil {
		b.larger.smaller = b.smaller
	} else {
		l.largest = b.smaller
	}
	*b = bucket{larger: l.free}
	l.free = b
}
