// Package admission decides who may hold a node's connections: which client connection is kept, which is asked to
// leave with its next answer, and which is closed when another needs the room. It has no clock, no I/O and no
// goroutine, and is not safe for concurrent use: its caller tells it the time and what happened, under a lock of its
// own. Every decision is a constant amount of work, whatever the number of connections.
//
// Two bounds matter. The node can hold so many connections of clients, of any kind. And clients can hold only a part
// of a node's descriptors for requests, a third by the protocol: once that many have carried a request and stand idle,
// no client can send another request, though the node has room and sees nothing. So the node keeps idle connections
// only while that part is not nearly full.
package admission

import "time"

// State is what a client's connection is doing.
type State uint8

const (
	Unspoken State = iota // it has said nothing yet
	Reading               // a request is coming in
	Busy                  // a request is being answered
	Health                // idle; it has asked for nothing but the node's readiness
	Kept                  // idle; it has carried a request
	closed
)

// Limits bound clients' connections. Times are of the caller's choosing; zero counts mean no bound.
type Limits struct {
	Open   int           // connections that may be open
	Asking int           // connections that clients hold for requests at most
	Silent time.Duration // a connection that has said nothing for so long goes before others
	Slow   time.Duration // so does one whose request has been coming in for so long
}

// Conn is one connection. The zero value is not open.
type Conn struct {
	Owner any // the caller's

	state      State
	asked      bool // it has carried a request
	since      time.Duration
	prev, next *Conn
	in         *queue
}

// State tells what the connection is doing.
func (c *Conn) State() State { return c.state }

// queue holds connections in the order in which they came to their state, the longest first.
type queue struct {
	first, last *Conn
	n           int
}

func (q *queue) push(c *Conn) {
	c.in, c.prev, c.next = q, q.last, nil
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
	q.n++
}

func (c *Conn) unlink() {
	q := c.in
	if q == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		q.last = c.prev
	}
	c.in, c.prev, c.next = nil, nil, nil
	q.n--
}

// Clients are the connections of a node's clients.
type Clients struct {
	limits Limits
	queues [closed]queue // by State
	open   int
	asking int // of the open ones, those that have carried a request or carry one
}

// NewClients returns the account of a node that holds none.
func NewClients(l Limits) *Clients { return &Clients{limits: l} }

// Open is the number of connections that count.
func (a *Clients) Open() int { return a.open }

// Asking is how many of them have carried a request.
func (a *Clients) Asking() int { return a.asking }

// Full tells whether another connection needs room to be made.
func (a *Clients) Full() bool { return a.limits.Open > 0 && a.open >= a.limits.Open }

func (a *Clients) move(now time.Duration, c *Conn, s State) {
	if c.state == closed || c.in == nil {
		return // it was closed meanwhile
	}
	c.unlink()
	c.state, c.since = s, now
	a.queues[s].push(c)
}

// Add counts a new connection.
func (a *Clients) Add(now time.Duration, c *Conn) {
	c.state, c.since, c.asked = Unspoken, now, false
	a.queues[Unspoken].push(c)
	a.open++
}

// Read notes the first byte of a request.
func (a *Clients) Read(now time.Duration, c *Conn) { a.move(now, c, Reading) }

// Begin notes that a request, or a question for the node's readiness, is being answered.
func (a *Clients) Begin(now time.Duration, c *Conn, health bool) {
	a.move(now, c, Busy)
	if !health && !c.asked && c.in != nil {
		c.asked = true
		a.asking++
	}
}

// Answer decides what becomes of idle connections when c is about to get an answer: drop is one to close, nil for none;
// leave tells that the answer should ask c itself to leave. Both make room for requests while clients can still open
// connections for them: there is a quarter left of what they may hold.
func (a *Clients) Answer(c *Conn) (leave bool, drop *Conn) {
	if a.limits.Asking <= 0 || !c.asked || c.in == nil || a.asking <= a.limits.Asking*3/4 {
		return false, nil
	}
	if k := a.queues[Kept].first; k != nil {
		return false, k
	}
	return true, nil // all others are at work, and this one would be the next to go
}

// Idle notes that a connection has got its answer and stays.
func (a *Clients) Idle(now time.Duration, c *Conn) {
	if c.asked {
		a.move(now, c, Kept)
	} else {
		a.move(now, c, Health)
	}
}

// spares is the number of connections of one state that Spare looks at.
const spares = 4

// Spare returns a connection to close for another's sake, or nil where all are at work. Those go first that have said
// nothing for long, then those whose request takes long to come, those that only ask for the node's readiness, those
// that their clients keep, and at last new ones. busy tells that something has come on a connection that the account
// does not know of yet: such a one is left, and few are asked about.
func (a *Clients) Spare(now time.Duration, busy func(*Conn) bool) *Conn {
	for _, from := range []struct {
		s   State
		age time.Duration
	}{{Unspoken, a.limits.Silent}, {Reading, a.limits.Slow}, {Health, 0}, {Kept, 0}, {Unspoken, 0}} {
		c := a.queues[from.s].first
		for range spares {
			if c == nil || now-c.since < from.age {
				break
			}
			if !busy(c) {
				return c
			}
			c = c.next
		}
	}
	return nil
}

// Close takes a connection out. It may be called again.
func (a *Clients) Close(c *Conn) {
	if c.state == closed || c.in == nil {
		return
	}
	c.unlink()
	c.state = closed
	a.open--
	if c.asked {
		a.asking--
	}
}
