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
	maxIDBytes = 256
	// maxEmptyLines is how many empty lines before a request are passed over. They count towards the size of its head.
	maxEmptyLines = 4
	// minBodyBytesPerSecond is what a body beyond the usual size has to come at, in bytes a second.
	minBodyBytesPerSecond = 1 << 20
	// acceptAfterShutdown is how long after SIGTERM connections are still accepted: whoever deals them out notices only after a while.
	acceptAfterShutdown = 500 * time.Millisecond
	acceptRetryDelay    = 5 * time.Millisecond
	// A client is owed an error or a close within 3 s of connecting, whatever it sends or doesn't.
	headTimeout   = 1500 * time.Millisecond // for a first request's head from the connection's start, for others from its first byte
	bodyTimeout   = time.Second             // from there to the last byte
	slowReadAfter = 50 * time.Millisecond   // within this of a request's first byte most are there
	// silentTimeout is how long a new connection may say nothing before it makes room first: a request comes on its heels.
	silentTimeout = 200 * time.Millisecond
	// idleTimeout is how long a connection is kept that carries no request. Some clients keep theirs for good.
	idleTimeout   = 5 * time.Second
	lingerTimeout = 100 * time.Millisecond // for a client to read its last answer before its connection is reset
	lingerBytes   = 256 << 10              // and how much of what it goes on sending is read meanwhile
	// Of what comes behind a request that is being answered, a connection's buffer is kept; the rest is read and dropped, as a
	// client's close can lie behind it: so much as fast as it comes, and then at a pace that leaves a core to others.
	fastDiscardBytes = 1 << 20
	discardPause     = time.Millisecond
)

// Config is what a front is made from.
type Config struct {
	Engine          *engine.Engine
	Bodies          *message.Store
	Clock           engine.Clock
	Quota           *quota.Quota                 // descriptors for connections of clients,
	RejectSlots     int                          // and so many beyond them, for telling clients that there is no room
	MaxRequestConns int                          // connections that carry requests at a time
	TenantShares    map[string]float64           // requests a second that each tenant has a share in this node of
	ReceiveDelay    func(net.Conn) time.Duration // how long a connection's latest bytes lay in the kernel; nil for sock.Waited
	Log             *slog.Logger
}

// Front is the connections of this node's clients. Where no descriptor is left for one, another that carries no request
// makes room; where there is none the new one's request is refused, and while all that are kept for that are in use new
// ones wait in the backlog.
type Front struct {
	engine       *engine.Engine
	bodies       *message.Store
	clock        engine.Clock
	receiveDelay func(net.Conn) time.Duration
	log          *slog.Logger
	shuttingDown atomic.Bool     // the node is to end
	closing      atomic.Bool     // and connections are to
	ctx          context.Context // ends when the front has
	stop         context.CancelFunc

	quota       *quota.Quota
	rejectSlots chan struct{}
	wg          sync.WaitGroup // connections

	mu       sync.Mutex
	account  *admission.Clients // decides who may stay
	pressure admission.Pressure
	tenants  *admission.Tenants
	conns    map[*clientConn]struct{}
}

// New returns a front that answers nobody yet.
func New(cfg Config) *Front {
	s := &Front{engine: cfg.Engine, bodies: cfg.Bodies, clock: cfg.Clock, log: cfg.Log,
		quota: cfg.Quota, rejectSlots: make(chan struct{}, max(1, cfg.RejectSlots)), conns: map[*clientConn]struct{}{},
		tenants: admission.NewTenants(cfg.TenantShares),
		account: admission.NewClients(admission.Limits{Asking: cfg.MaxRequestConns, Silent: silentTimeout, Slow: slowReadAfter})}
	if s.receiveDelay = cfg.ReceiveDelay; s.receiveDelay == nil {
		s.receiveDelay = sock.Waited
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// accept takes in connections until ln is closed.
func (s *Front) accept(ln net.Listener) error {
	for {
		s.rejectSlots <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			<-s.rejectSlots
			if !sock.AcceptGoesOn(err) {
				return err
			}
			s.log.Debug("a connection was not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &clientConn{Conn: conn, start: time.Now(), probe: sock.NewLook(conn), attemptProbe: closeProbe{probe: sock.NewLook(conn)}}
		c.limit.R, c.account.Owner, c.account.From = scanningReader{conn, &c.framing}, c, host(conn.RemoteAddr())
		c.in = bufio.NewReader(&c.limit)
		c.hasDescriptor = s.quota.Claim(s.EvictIdle)
		s.mu.Lock()
		if c.usesRejectSlot = !c.hasDescriptor; c.usesRejectSlot {
			c.overLimit = !s.account.Behind(c.account.From) // one of a client that holds little is served all the same
		} else {
			<-s.rejectSlots
		}
		s.conns[c] = struct{}{}
		s.account.Add(s.now(), &c.account)
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			reason := s.serveConn(c)
			c.Close()
			s.log.Debug("connection closed", "client", c.RemoteAddr(), "reason", reason, "lasted", time.Since(c.start))
			s.mu.Lock()
			s.untrack(c)
			s.releaseDescriptor(c)
			s.mu.Unlock()
			if c.usesRejectSlot {
				<-s.rejectSlots
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

// EvictIdle closes a connection that carries no request, for another client's sake, and tells whether there was one.
func (s *Front) EvictIdle() bool { return s.evictIdle(true) }

// EvictIdleForBackend is Yield for a box's sake: the last few new connections stay.
func (s *Front) EvictIdleForBackend() bool { return s.evictIdle(false) }

func (s *Front) evictIdle(forClient bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := s.account.Spare(s.now(), forClient, func(c *admission.Conn) bool { return sock.Pending(c.Owner.(*clientConn).Conn) != sock.Nothing })
	if spare != nil {
		s.evict(spare.Owner.(*clientConn))
	}
	return spare != nil
}

// releaseDescriptor gives a connection's descriptor back. s.mu is held.
func (s *Front) releaseDescriptor(c *clientConn) {
	if c.hasDescriptor {
		c.hasDescriptor = false
		s.quota.Give()
	}
}

// shouldShed notes how long a request had waited to be read, and tells whether the node is so far behind that it should refuse
// it at once.
func (s *Front) shouldShed(delay time.Duration, r *message.Request) bool {
	rank, classes := s.engine.Rank(r.Class)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pressure.Seen(now, delay)
	fraction := s.pressure.Shed(now, rank, classes)
	return fraction > 0 && rand.Float64() < fraction
}

// untrack takes a connection off those that count. s.mu is held.
func (s *Front) untrack(c *clientConn) {
	delete(s.conns, c)
	s.account.Close(&c.account)
}

// evict takes a connection off those that count and ends its reading, so that it closes. A request that has just been
// read is still answered. s.mu is held.
func (s *Front) evict(c *clientConn) {
	if !c.closing {
		c.closing = true
		s.untrack(c)
		s.releaseDescriptor(c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadDeadline bounds the next reads from a connection, unless it is closing.
func (s *Front) setReadDeadline(c *clientConn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		c.SetReadDeadline(t)
	}
}

// noteRequestStart notes the first byte of a request, whose head is to come by a time.
func (s *Front) noteRequestStart(c *clientConn, end time.Time) {
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

// startAnswer notes that a request is to be answered, and tells whether its connection still counts.
func (s *Front) startAnswer(c *clientConn, r *message.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ID != "" {
		c.account.Past = s.tenants.Past(s.now(), r.Tenant)
	}
	s.account.Begin(s.now(), &c.account, r.ID == "")
	return !c.closing
}

// closesAfterAnswer tells whether a connection's next answer is to be its last. Where clients' room for requests runs short, an
// idle one is closed for it, or this one leaves.
func (s *Front) closesAfterAnswer(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAfter, victim := s.account.Answer(&c.account)
	if victim != nil {
		s.evict(victim.Owner.(*clientConn))
	}
	return closeAfter
}

// isEvicted tells whether a connection has made room for another, or for the node's end.
func (s *Front) isEvicted(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closing
}

// noteRejection notes that a connection brought no request.
func (s *Front) noteRejection(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing { // one that made room said nothing for want of time
		s.account.Rejected(s.now(), &c.account)
	}
}

// markIdle notes that a connection waits for its next request, and tells whether it may.
func (s *Front) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.answered = true
	s.account.Idle(s.now(), &c.account)
	return !c.closing && !s.closing.Load() // its answer may have been worded just before the node's connections were to end
}

// serveConn answers one request after the other, and tells why there is none after the last.
func (s *Front) serveConn(c *clientConn) closeReason {
	for {
		r, rej := s.read(c)
		if rej != nil {
			return s.reject(c, rej)
		}
		if r == nil {
			return s.endReason(c)
		}
		if !s.startAnswer(c, r) && !s.shuttingDown.Load() {
			c.overLimit = true
		}
		a, reason := s.answer(c, r)
		last := r.In.Close || c.overLimit || c.usesRejectSlot || s.closing.Load() || !r.Body.IsDrained() || c.discardBuf != nil || reason == "" && s.closesAfterAnswer(c)
		if reason != "" {
			return reason
		}
		err := c.write(r.In, a, last)
		a.reply.Release()
		if err != nil {
			return answerNotRead
		}
		if last {
			c.linger()
			return lastAnswerSent
		}
		if !s.markIdle(c) {
			return evictedAfterAnswer
		}
	}
}

// reject answers what came on a connection and is no request.
func (s *Front) reject(c *clientConn, rej *message.Rejection) closeReason {
	reason := invalidRequest
	if s.isEvicted(c) { // its client was cut off in the middle of a request, by no fault of its own
		rej = &message.Rejection{Status: http.StatusServiceUnavailable, Text: "this connection ends"}
		reason = evicted
	}
	if rej.Status != http.StatusServiceUnavailable { // want of room here is not its client's doing
		s.noteRejection(c)
	}
	c.reject(rej)
	return reason
}

// endReason notes a connection on which nothing more came.
func (s *Front) endReason(c *clientConn) closeReason {
	if !c.answered {
		s.noteRejection(c)
	}
	if s.isEvicted(c) {
		return evicted
	}
	return noFurtherRequest
}

// answer gives a request exactly one answer, unless its client leaves before: gone tells why its connection ends without.
func (s *Front) answer(c *clientConn, r *message.Request) (a answer, reason closeReason) {
	if r.ID == "" {
		return answer{status: s.readiness()}, ""
	}
	if c.overLimit || r.Shed { // nothing was sent: refusing is harmless, whatever the class
		r.Release()
		return answer{status: http.StatusServiceUnavailable, body: []byte("too much at once\n"), retryAfter: 250 * time.Millisecond}, ""
	}
	if r.Body.IsDrained() {
		c.limit.N = message.MaxHeadBytes
		if c.clientClosed() {
			r.Release()
			return answer{}, clientDisconnected
		}
	}
	r.Left = c.attemptProbe.ended
	if !s.engine.Begin(&r.Request) {
		r.Release()
		c.reject(&message.Rejection{Status: http.StatusConflict, Text: "X-Request-Id: a request with this id is open"})
		return answer{}, duplicateID
	}
	select {
	case a := <-r.Done():
		return toAnswer(a), ""
	default:
	}
	if !r.Body.IsDrained() { // an attempt reads the client's connection
		select {
		case a := <-r.Done():
			return toAnswer(a), ""
		case <-r.Body.Drained:
		}
	}
	c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
	c.limit.N = message.MaxHeadBytes
	closed := make(chan bool, 1)
	go func() { closed <- c.watchForClose() }()
	select {
	case a := <-r.Done():
		c.SetReadDeadline(time.Unix(1, 0)) // ends the look for a client that leaves
		<-closed
		return toAnswer(a), ""
	case gone := <-closed:
		if !gone { // by nobody but the node's end
			return toAnswer(<-r.Done()), ""
		}
		s.engine.Cancel(&r.Request)
		select {
		case a := <-r.Done():
			t := toAnswer(a)
			if t.stream != nil { // it began to come at this moment
				t.stream.Finish(context.Canceled)
			}
			t.reply.Release()
		default:
		}
		return answer{}, clientDisconnected
	}
}

func (s *Front) readiness() int {
	if !s.engine.Ready() || s.shuttingDown.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
