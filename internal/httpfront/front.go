// Package httpfront answers clients over HTTP/1.1, as PROTOCOL has it between clients and nodes: it reads requests, hands
// them to the engine and writes the one answer of each. Who may hold a connection is decided by package admission.
package httpfront

import (
	"bufio"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/quota"
	"craneglade/internal/sock"
)

const (
	maxID = 256
	// maxEmptyLines is how many empty lines before a request are passed over. They count towards the size of its head.
	maxEmptyLines = 4
	// bodyRate is what a body beyond the usual size has to come at, in bytes a second.
	bodyRate = 1 << 20
	// acceptFor is how long after SIGTERM connections are still accepted: whoever deals them out notices only after a while.
	acceptFor   = 500 * time.Millisecond
	acceptAgain = 5 * time.Millisecond
	// A client is owed an error or a close within 3 s of connecting, whatever it sends or doesn't.
	headTime = 1500 * time.Millisecond // for a first request's head from the connection's start, for others from its first byte
	bodyTime = time.Second             // from there to the last byte
	readTime = 50 * time.Millisecond   // within this of a request's first byte most are there
	// silentTime is how long a new connection may say nothing before it makes room first: a request comes on its heels.
	silentTime = 200 * time.Millisecond
	// idleTime is how long a connection is kept that carries no request. Some clients keep theirs for good.
	idleTime   = 5 * time.Second
	lingerTime = 100 * time.Millisecond // for a client to read its last answer before its connection is reset
	lingerSize = 256 << 10              // and how much of what it goes on sending is read meanwhile
	// Of what comes behind a request that is being answered, a connection's buffer is kept; the rest is read and dropped, as a
	// client's close can lie behind it: so much as fast as it comes, and then at a pace that leaves a core to others.
	floodSize = 1 << 20
	floodRest = time.Millisecond
)

// Config is what a front is made from.
type Config struct {
	Engine *engine.Engine
	Bodies *message.Store
	Clock  engine.Clock
	Quota  *quota.Quota                 // descriptors for connections of clients,
	Extra  int                          // and so many beyond them, for telling clients that there is no room
	Asking int                          // connections that carry requests at a time
	Shares map[string]float64           // requests a second that each tenant has a share in this node of
	Waited func(net.Conn) time.Duration // how long a connection's latest bytes lay in the kernel; nil for sock.Waited
	Log    *slog.Logger
}

// Front is the connections of this node's clients. Where no descriptor is left for one, another that carries no request
// makes room; where there is none the new one's request is refused, and while all that are kept for that are in use new
// ones wait in the backlog.
type Front struct {
	engine  *engine.Engine
	bodies  *message.Store
	clock   engine.Clock
	waited  func(net.Conn) time.Duration
	log     *slog.Logger
	leaving atomic.Bool     // the node is to end
	closing atomic.Bool     // and connections are to
	ctx     context.Context // ends when the front has
	stop    context.CancelFunc

	quota *quota.Quota
	extra chan struct{}
	wg    sync.WaitGroup // connections

	mu       sync.Mutex
	account  *admission.Clients // decides who may stay
	pressure admission.Pressure
	tenants  *admission.Tenants
	conns    map[*clientConn]struct{}
}

// New returns a front that answers nobody yet.
func New(cfg Config) *Front {
	s := &Front{engine: cfg.Engine, bodies: cfg.Bodies, clock: cfg.Clock, log: cfg.Log,
		quota: cfg.Quota, extra: make(chan struct{}, max(1, cfg.Extra)), conns: map[*clientConn]struct{}{},
		tenants: admission.NewTenants(cfg.Shares),
		account: admission.NewClients(admission.Limits{RequestConns: cfg.Asking, SilentAfter: silentTime, SlowAfter: readTime})}
	if s.waited = cfg.Waited; s.waited == nil {
		s.waited = sock.Waited
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// accept takes in connections until ln is closed.
func (s *Front) accept(ln net.Listener) error {
	for {
		s.extra <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			<-s.extra
			if !sock.AcceptGoesOn(err) {
				return err
			}
			s.log.Debug("a connection was not accepted", "err", err)
			time.Sleep(acceptAgain)
			continue
		}
		c := &clientConn{Conn: conn, start: time.Now(), look: sock.NewLook(conn), seen: lastLook{look: sock.NewLook(conn)}}
		c.cap.R, c.account.Owner, c.account.From = scanned{conn, &c.framing}, c, host(conn.RemoteAddr())
		c.in = bufio.NewReader(&c.cap)
		c.granted = s.quota.Claim(s.Yield)
		s.mu.Lock()
		if c.extra = !c.granted; c.extra {
			c.over = !s.account.BelowMean(c.account.From) // one of a client that holds little is served all the same
		} else {
			<-s.extra
		}
		s.conns[c] = struct{}{}
		s.account.Add(s.now(), &c.account)
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			reason := s.talk(c)
			c.Close()
			s.log.Debug("connection closed", "client", c.RemoteAddr(), "reason", reason, "lasted", time.Since(c.start))
			s.mu.Lock()
			s.forget(c)
			s.release(c)
			s.mu.Unlock()
			if c.extra {
				<-s.extra
			}
		}()
	}
}

// now is the time for the account.
func (s *Front) now() time.Duration { return s.clock.Since() }

// host is an address without its port.
func host(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// Yield closes a connection that carries no request, for another client's sake, and tells whether there was one.
func (s *Front) Yield() bool { return s.yield(true) }

// Lend is Yield for a box's sake: the last few new connections stay.
func (s *Front) Lend() bool { return s.yield(false) }

func (s *Front) yield(client bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := s.account.EvictionCandidate(s.now(), client, func(c *admission.Conn) bool { return sock.Pending(c.Owner.(*clientConn).Conn) != sock.Nothing })
	if spare != nil {
		s.drop(spare.Owner.(*clientConn))
	}
	return spare != nil
}

// release gives a connection's descriptor back. s.mu is held.
func (s *Front) release(c *clientConn) {
	if c.granted {
		c.granted = false
		s.quota.Give()
	}
}

// sheds notes how long a request had waited to be read, and tells whether the node is so far behind that it should refuse
// it at once.
func (s *Front) sheds(late time.Duration, r *message.Request) bool {
	rank, classes := s.engine.Rank(r.Class)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pressure.Observe(now, late)
	part := s.pressure.Shed(now, rank, classes)
	return part > 0 && rand.Float64() < part
}

// forget takes a connection off those that count. s.mu is held.
func (s *Front) forget(c *clientConn) {
	delete(s.conns, c)
	s.account.Close(&c.account)
}

// drop takes a connection off those that count and ends its reading, so that it closes. A request that has just been
// read is still answered. s.mu is held.
func (s *Front) drop(c *clientConn) {
	if !c.closing {
		c.closing = true
		s.forget(c)
		s.release(c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// deadline bounds the next reads from a connection, unless it is closing.
func (s *Front) deadline(c *clientConn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		c.SetReadDeadline(t)
	}
}

// reading notes the first byte of a request, whose head is to come by a time.
func (s *Front) reading(c *clientConn, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Read(s.now(), &c.account)
	if !c.closing {
		c.SetReadDeadline(end)
	}
}

// ChangeShares changes the shares of tenants in this node. The lock that it takes is that of all connections: the caller
// hands in few changes at a time.
func (s *Front) ChangeShares(changes []admission.ShareChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenants.Change(changes)
}

// begin notes that a request is to be answered, and tells whether its connection still counts.
func (s *Front) begin(c *clientConn, r *message.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ID != "" {
		c.account.OverQuota = s.tenants.Count(s.now(), r.Tenant)
	}
	s.account.Begin(s.now(), &c.account, r.ID == "")
	return !c.closing
}

// leaves tells whether a connection's next answer is to be its last. Where clients' room for requests runs short, an
// idle one is closed for it, or this one leaves.
func (s *Front) leaves(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leave, drop := s.account.BeforeAnswer(&c.account)
	if drop != nil {
		s.drop(drop.Owner.(*clientConn))
	}
	return leave
}

// dropped tells whether a connection has made room for another, or for the node's end.
func (s *Front) dropped(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closing
}

// rejected notes that a connection brought no request.
func (s *Front) rejected(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing { // one that made room said nothing for want of time
		s.account.Rejected(s.now(), &c.account)
	}
}

// rest notes that a connection waits for its next request, and tells whether it may.
func (s *Front) rest(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.used = true
	s.account.Idle(s.now(), &c.account)
	return !c.closing && !s.closing.Load() // its answer may have been worded just before the node's connections were to end
}

// talk answers one request after the other, and tells why there is none after the last.
func (s *Front) talk(c *clientConn) closeReason {
	for {
		r, no := s.read(c)
		if no != nil {
			return s.turnAway(c, no)
		}
		if r == nil {
			return s.ended(c)
		}
		if !s.begin(c, r) && !s.leaving.Load() {
			c.over = true
		}
		a, gone := s.answer(c, r)
		last := r.In.Close || c.over || c.extra || s.closing.Load() || !r.Body.IsDrained() || c.flooded != nil || gone == "" && s.leaves(c)
		if gone != "" {
			return gone
		}
		err := c.write(r.In, a, last)
		a.reply.Release()
		if err != nil {
			return answerNotTaken
		}
		if last {
			c.linger()
			return lastAnswer
		}
		if !s.rest(c) {
			return endedBehindAnswer
		}
	}
}

// turnAway answers what came on a connection and is no request.
func (s *Front) turnAway(c *clientConn, no *message.Rejection) closeReason {
	reason := noRequest
	if s.dropped(c) { // its client was cut off in the middle of a request, by no fault of its own
		no = &message.Rejection{Status: http.StatusServiceUnavailable, Text: "this connection ends"}
		reason = dropped
	}
	if no.Status != http.StatusServiceUnavailable { // want of room here is not its client's doing
		s.rejected(c)
	}
	c.reject(no)
	return reason
}

// ended notes a connection on which nothing more came.
func (s *Front) ended(c *clientConn) closeReason {
	if !c.used {
		s.rejected(c)
	}
	if s.dropped(c) {
		return dropped
	}
	return nothingCame
}

// answer gives a request exactly one answer, unless its client leaves before: gone tells why its connection ends without.
func (s *Front) answer(c *clientConn, r *message.Request) (a answer, gone closeReason) {
	if r.ID == "" {
		return answer{status: s.readiness()}, ""
	}
	if c.over || r.Shed { // nothing was sent: refusing is harmless, whatever the class
		r.Release()
		return answer{status: http.StatusServiceUnavailable, body: []byte("too much at once\n"), retryAfter: 250 * time.Millisecond}, ""
	}
	if r.Body.IsDrained() {
		c.cap.N = message.MaxHead
		if c.left() {
			r.Release()
			return answer{}, clientLeft
		}
	}
	r.Left = c.seen.ended
	if !s.engine.Begin(&r.Request) {
		r.Release()
		c.reject(&message.Rejection{Status: http.StatusConflict, Text: "X-Request-Id: a request with this id is open"})
		return answer{}, idIsOpen
	}
	select {
	case a := <-r.Done():
		return told(a), ""
	default:
	}
	if !r.Body.IsDrained() { // an attempt reads the client's connection
		select {
		case a := <-r.Done():
			return told(a), ""
		case <-r.Body.Drained:
		}
	}
	c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
	c.cap.N = message.MaxHead
	left := make(chan bool, 1)
	go func() { left <- c.watch() }()
	select {
	case a := <-r.Done():
		c.SetReadDeadline(time.Unix(1, 0)) // ends the look for a client that leaves
		<-left
		return told(a), ""
	case gone := <-left:
		if !gone { // by nobody but the node's end
			return told(<-r.Done()), ""
		}
		s.engine.Cancel(&r.Request)
		select {
		case a := <-r.Done():
			t := told(a)
			if t.flow != nil { // it began to come at this moment
				t.flow.End(context.Canceled)
			}
			t.reply.Release()
		default:
		}
		return answer{}, clientLeft
	}
}

func (s *Front) readiness() int {
	if !s.engine.Ready() || s.leaving.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
