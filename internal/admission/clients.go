// Package admission decides who may hold a node's connections: which client connection is kept, which is closed after
// its next response, and which is evicted when another needs its descriptor. It also divides descriptors between
// clients and backends, sheds load while the node is behind, and estimates how long backends keep idle connections. It
// has no clock, no I/O and no goroutine, and is not safe for concurrent use: its caller passes the time and the events,
// under a lock of its own. Every decision on a connection takes constant time, whatever the number of connections.
//
// Two limits apply to client connections: the number that the node can hold, of any kind, and the number that clients
// can hold for requests, which the protocol limits to a third of the node's descriptors. Once that many connections
// have carried a request and are idle, no client can open another one for a request, although the node has capacity
// left and cannot see the waiting clients. So the node keeps idle connections only while that limit is not nearly
// reached.
//
// Clients are distinguished by address (Conn.From). Evictions take a connection of the address that holds the most in
// the state concerned. An address whose input was nearly always malformed, or that sent nothing, does not get the time
// that a new connection otherwise has for its first byte. While no connection can be evicted, an address with more
// connections than the mean has them closed after their responses. So a well-behaved client does not lose its
// connections to a greedy or broken one.
package admission

import "time"

// State is what a client's connection is doing.
type State uint8

const (
	Silent        State = iota // no byte has been received yet
	Suspected                  // like Silent, from an address that was rejected often and hardly ever served
	Reading                    // a request is being received
	Busy                       // a request is being answered
	IdleHealth                 // idle; it has carried only readiness checks
	Idle                       // idle; it has carried a request
	IdleOverQuota              // like Idle, and the tenant of its last request was over quota
	closed
)

// Limits are the limits on client connections. A count of 0 means no limit.
type Limits struct {
	Open         int           // open connections; enforced by a caller that checks Full
	RequestConns int           // connections that clients can hold for requests
	SilentAfter  time.Duration // a connection without a first byte for so long is evicted before others
	SlowAfter    time.Duration // and so is one that has been receiving a request for so long
}

// Conn is one connection. The zero value is not open.
type Conn struct {
	Owner     any    // set by the caller and not used here
	From      string // the client's address without the port; one value for all clients if addresses do not distinguish them
	OverQuota bool   // its last request's tenant was over quota

	state      State
	hadRequest bool // it has carried a request
	since      time.Duration
	address    *clientAddress
	queue      *stateQueue
	queueLink  link[Conn] // in the queue of its state
	groupLink  link[Conn] // in the group of its state and address
}

// State returns what the connection is doing.
func (c *Conn) State() State { return c.state }

// Clients tracks the client connections of a node.
type Clients struct {
	limits         Limits
	queues         [closed]stateQueue // by State
	open           int
	requestConns   int // open connections that have carried a request or are carrying one
	addresses      addressTable
	now            time.Duration
	contendedUntil time.Duration // set when no connection could be evicted
}

// NewClients returns a Clients without connections.
func NewClients(l Limits) *Clients {
	a := &Clients{limits: l, addresses: addressTable{byAddress: map[string]*clientAddress{}}}
	for s := range a.queues {
		a.queues[s].state = State(s)
	}
	return a
}

// Open returns the number of open connections.
func (a *Clients) Open() int { return a.open }

// RequestConns returns how many of them have carried a request or are carrying one.
func (a *Clients) RequestConns() int { return a.requestConns }

// Full reports whether a connection has to be evicted before another one is added.
func (a *Clients) Full() bool { return a.limits.Open > 0 && a.open >= a.limits.Open }

// move changes the state of a connection that is still open.
func (a *Clients) move(now time.Duration, c *Conn, s State) {
	a.now = max(a.now, now)
	if c.state == closed || c.queue == nil {
		return // closed or evicted
	}
	c.queue.remove(c)
	c.state, c.since = s, now
	a.queues[s].push(c)
}

// Add adds a new connection.
func (a *Clients) Add(now time.Duration, c *Conn) {
	a.now = max(a.now, now)
	c.state, c.since, c.hadRequest = Silent, now, false
	c.address = a.addresses.open(c.From)
	if c.address.suspected(now) {
		c.state = Suspected
	}
	a.queues[c.state].push(c)
	a.open++
}

// Rejected records that the input on a connection was not a request, or that none came in time.
func (a *Clients) Rejected(now time.Duration, c *Conn) {
	if c.address != nil {
		c.address.count(now, 0, 1)
	}
}

// BelowMean reports whether an address holds fewer connections than the mean of all addresses that hold any. One more
// of it may be accepted when no connection can be evicted.
func (a *Clients) BelowMean(from string) bool {
	p := a.addresses.byAddress[from]
	conns := 0
	if p != nil {
		conns = p.conns
	}
	return a.addresses.active > 1 && conns*a.addresses.active < a.open
}

// Read records the first byte of a request.
func (a *Clients) Read(now time.Duration, c *Conn) { a.move(now, c, Reading) }

// Begin records that a request, or a readiness check if health is set, is being served.
func (a *Clients) Begin(now time.Duration, c *Conn, health bool) {
	a.move(now, c, Busy)
	if !health && !c.hadRequest && c.queue != nil {
		c.hadRequest = true
		a.requestConns++
	}
}

// BeforeAnswer decides which connection to close when c is about to get a response: evict is an idle one to close now,
// nil for none, and closeAfter reports that c itself should be closed after the response. Either keeps a quarter of
// Limits.RequestConns free, so that clients can still open connections for requests. While no connection could be
// evicted, c is closed if its address holds more connections than the mean.
func (a *Clients) BeforeAnswer(c *Conn) (closeAfter bool, evict *Conn) {
	if c.queue == nil || !c.hadRequest {
		return false, nil
	}
	if a.now < a.contendedUntil && c.address.conns*a.addresses.active > a.open {
		return true, nil
	}
	if a.limits.RequestConns <= 0 || a.requestConns <= a.limits.RequestConns*3/4 {
		return false, nil
	}
	for _, s := range []State{IdleOverQuota, Idle} {
		if k := a.queues[s].candidate(); k != nil {
			return false, k
		}
	}
	return true, nil // all others are in use, and c would be the next idle one
}

// Idle records that a connection has got its response and stays open.
func (a *Clients) Idle(now time.Duration, c *Conn) {
	switch {
	case !c.hadRequest:
		a.move(now, c, IdleHealth)
	case c.OverQuota:
		a.move(now, c, IdleOverQuota)
	default:
		a.move(now, c, Idle)
	}
	if c.address != nil && c.hadRequest {
		c.address.count(now, 1, 0)
	}
}

const (
	maxChecked       = 4                      // connections that EvictionCandidate checks for pending input in each step
	contentionPeriod = 500 * time.Millisecond // for which a failed search for an eviction candidate has effect
)

// EvictionCandidate returns a connection to close in favor of another one, or nil if all are in use. The order is: new
// connections of suspected addresses, connections without a first byte for SilentAfter, those that have been receiving
// a request for SlowAfter, those that carried only readiness checks, idle ones of tenants over quota, other idle ones,
// and new ones. Of each kind, it is the one longest in that state, of the address that holds the most.
//
// If the descriptor is for a backend connection (forClient is false), the last maxChecked new connections are kept:
// requests are probably on their way on them and would get no response, whereas a request that finds no connection to a
// backend is refused with a response. Where there are more new connections, most of them are silent.
//
// pending reports input that has arrived on a connection and was not recorded yet. Such a connection is skipped; only a
// few are checked, which bounds the work.
func (a *Clients) EvictionCandidate(now time.Duration, forClient bool, pending func(*Conn) bool) *Conn {
	a.now = max(a.now, now)
	newAge := time.Duration(0)
	if !forClient && a.queues[Silent].n <= maxChecked {
		newAge = a.limits.SilentAfter
	}
	for _, step := range []struct {
		s   State
		age time.Duration
	}{{Suspected, 0}, {Silent, a.limits.SilentAfter}, {Reading, a.limits.SlowAfter}, {IdleHealth, 0}, {IdleOverQuota, 0}, {Idle, 0}, {Silent, newAge}} {
		q := &a.queues[step.s]
		checked := 0
		// First those of the address with the most connections; if these are too new, the oldest of all.
		for c := q.candidate(); c != nil && checked < maxChecked && now-c.since >= step.age; c = c.groupLink.next {
			checked++
			if !pending(c) {
				return c
			}
		}
		for c := q.conns.first; c != nil && checked < maxChecked && now-c.since >= step.age; c = c.queueLink.next {
			checked++
			if !pending(c) {
				return c
			}
		}
	}
	a.contendedUntil = now + contentionPeriod
	return nil
}

// Close removes a connection. Further calls do nothing.
func (a *Clients) Close(c *Conn) {
	if c.state == closed || c.queue == nil {
		return
	}
	c.queue.remove(c)
	c.state = closed
	a.open--
	if c.hadRequest {
		a.requestConns--
	}
	a.addresses.close(c.address)
}
