// Package admission decides who may hold a node's connections: which client connection is kept, which is asked to
// leave with its next answer, and which is closed when another needs the room. It has no clock, no I/O and no
// goroutine, and is not safe for concurrent use: its caller tells it the time and what happened, under a lock of its
// own. Every decision is a constant amount of work, whatever the number of connections.
//
// Two bounds matter. The node can hold so many connections of clients, of any kind. And clients can hold only a part
// of a node's descriptors for requests, a third by the protocol: once that many have carried a request and stand idle,
// no client can send another request, though the node has room and sees nothing. So the node keeps idle connections
// only while that part is not nearly full.
//
// Clients are told apart by address (Conn.From). Where somebody has to go, it is one of the address that holds the most
// connections of that sort; an address that sends nothing but what can't be read, or nothing at all, is not given the
// time that a new connection has to speak; and while no connection can be spared, an address that holds more than its
// part is asked to leave with its answers. A client that behaves can't lose its place to a greedy or broken one so.
package admission

import "time"

// State is what a client's connection is doing.
type State uint8

const (
	Silent        State = iota // it has said nothing yet
	Suspected                  // the same, from an address that was served hardly anything and rejected often
	Reading                    // a request is coming in
	Busy                       // a request is being answered
	IdleHealth                 // idle; it has asked for nothing but the node's readiness
	Idle                       // idle; it has carried a request
	IdleOverQuota              // the same, its last one of a tenant past its share
	closed
)

// Limits bound clients' connections. Times are of the caller's choosing; zero counts mean no bound.
type Limits struct {
	Open         int           // connections that may be open, where the caller asks Full
	RequestConns int           // connections that clients hold for requests at most
	SilentAfter  time.Duration // a connection that has said nothing for so long goes before others
	SlowAfter    time.Duration // so does one whose request has been coming for so long
}

// Conn is one connection. The zero value is not open.
type Conn struct {
	Owner     any    // the caller's
	From      string // the client's address, without a port; the same one for all where addresses tell nothing
	OverQuota bool   // its last request was of a tenant past its share

	state State
	asked bool // it has carried a request
	since time.Duration
	peer  *peer
	line  *line
	all   link[Conn] // among those of its state
	own   link[Conn] // and of its state and address
}

// State tells what the connection is doing.
func (c *Conn) State() State { return c.state }

// Clients are the connections of a node's clients.
type Clients struct {
	limits  Limits
	lines   [closed]line // by State
	open    int
	asking  int // of the open ones, those that have carried a request or carry one
	peers   peers
	now     time.Duration
	crowded time.Duration // until then nobody could be spared lately
}

// NewClients returns the account of a node that holds none.
func NewClients(l Limits) *Clients {
	a := &Clients{limits: l, peers: peers{known: map[string]*peer{}}}
	for s := range a.lines {
		a.lines[s].state = State(s)
	}
	return a
}

// Open is the number of connections that count.
func (a *Clients) Open() int { return a.open }

// RequestConns is how many of them have carried a request.
func (a *Clients) RequestConns() int { return a.asking }

// Full tells whether another connection needs room to be made.
func (a *Clients) Full() bool { return a.limits.Open > 0 && a.open >= a.limits.Open }

func (a *Clients) move(now time.Duration, c *Conn, s State) {
	a.now = max(a.now, now)
	if c.state == closed || c.line == nil {
		return // it was closed meanwhile
	}
	c.line.remove(c)
	c.state, c.since = s, now
	a.lines[s].push(c)
}

// Add counts a new connection.
func (a *Clients) Add(now time.Duration, c *Conn) {
	a.now = max(a.now, now)
	c.state, c.since, c.asked = Silent, now, false
	c.peer = a.peers.open(c.From)
	if c.peer.doubtful(now) {
		c.state = Suspected
	}
	a.lines[c.state].push(c)
	a.open++
}

// Rejected notes that what came on a connection was no request, or that it said nothing in its time.
func (a *Clients) Rejected(now time.Duration, c *Conn) {
	if c.peer != nil {
		c.peer.note(now, 0, 1)
	}
}

// BelowMean tells whether an address holds less than the mean of all that hold connections: one more of it may be taken
// where nobody can be spared.
func (a *Clients) BelowMean(from string) bool {
	p := a.peers.known[from]
	held := 0
	if p != nil {
		held = p.held
	}
	return a.peers.active > 1 && held*a.peers.active < a.open
}

// Read notes the first byte of a request.
func (a *Clients) Read(now time.Duration, c *Conn) { a.move(now, c, Reading) }

// Begin notes that a request, or a question for the node's readiness, is being answered.
func (a *Clients) Begin(now time.Duration, c *Conn, health bool) {
	a.move(now, c, Busy)
	if !health && !c.asked && c.line != nil {
		c.asked = true
		a.asking++
	}
}

// BeforeAnswer decides what becomes of idle connections when c is about to get an answer: drop is one to close, nil for none;
// leave tells that the answer should ask c itself to leave. Both make room for requests while clients can still open
// connections for them: there is a quarter left of what they may hold. While nobody can be spared, addresses that hold
// more than their part leave.
func (a *Clients) BeforeAnswer(c *Conn) (leave bool, drop *Conn) {
	if c.line == nil || !c.asked {
		return false, nil
	}
	if a.now < a.crowded && c.peer.held*a.peers.active > a.open {
		return true, nil
	}
	if a.limits.RequestConns <= 0 || a.asking <= a.limits.RequestConns*3/4 {
		return false, nil
	}
	for _, s := range []State{IdleOverQuota, Idle} {
		if k := a.lines[s].next(); k != nil {
			return false, k
		}
	}
	return true, nil // all others are at work, and this one would be the next to go
}

// Idle notes that a connection has got its answer and stays.
func (a *Clients) Idle(now time.Duration, c *Conn) {
	switch {
	case !c.asked:
		a.move(now, c, IdleHealth)
	case c.OverQuota:
		a.move(now, c, IdleOverQuota)
	default:
		a.move(now, c, Idle)
	}
	if c.peer != nil && c.asked {
		c.peer.note(now, 1, 0)
	}
}

const (
	spares    = 4                      // connections of one sort that Spare looks at
	crowdedTo = 500 * time.Millisecond // for how long nobody to be spared counts
)

// EvictionCandidate returns a connection to close for another's sake, or nil where all are at work. Those go first whose address is
// in doubt, then those that have said nothing for long, those whose request takes long to come, those that only ask for
// the node's readiness, those that their clients keep, tenants past their share first, and at last new ones; of each sort
// the longest so, of the address that holds most of them. For a box's sake, client telling that it is not, the last few new
// ones stay: requests are on their way on them, and one that has no room at a box is refused with an answer, which they
// would not get. Where there are more, most of them are silent.
// busy tells that something has come on a connection that the account does not know of yet: such a one is left, and few
// are asked about.
func (a *Clients) EvictionCandidate(now time.Duration, client bool, busy func(*Conn) bool) *Conn {
	a.now = max(a.now, now)
	last := time.Duration(0)
	if !client && a.lines[Silent].n <= spares {
		last = a.limits.SilentAfter
	}
	for _, from := range []struct {
		s   State
		age time.Duration
	}{{Suspected, 0}, {Silent, a.limits.SilentAfter}, {Reading, a.limits.SlowAfter}, {IdleHealth, 0}, {IdleOverQuota, 0}, {Idle, 0}, {Silent, last}} {
		l := &a.lines[from.s]
		asked := 0
		// That of the address with most; where those are too young, the longest of all.
		for c := l.next(); c != nil && asked < spares && now-c.since >= from.age; c = c.own.next {
			asked++
			if !busy(c) {
				return c
			}
		}
		for c := l.all.first; c != nil && asked < spares && now-c.since >= from.age; c = c.all.next {
			asked++
			if !busy(c) {
				return c
			}
		}
	}
	a.crowded = now + crowdedTo
	return nil
}

// Close takes a connection out. It may be called again.
func (a *Clients) Close(c *Conn) {
	if c.state == closed || c.line == nil {
		return
	}
	c.line.remove(c)
	c.state = closed
	a.open--
	if c.asked {
		a.asking--
	}
	a.peers.close(c.peer)
}
