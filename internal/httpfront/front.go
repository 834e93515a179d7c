// Package httpfront serves clients over HTTP/1.1, as PROTOCOL specifies it between clients and nodes: it reads requests,
// passes them to the engine and writes exactly one answer to each. Package admission decides which connections may stay open.
package httpfront

import (
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
	"craneglade/internal/timing"
)

const (
	maxIDBytes = 256 // of an X-Request-Id
	// maxEmptyLines is how many empty lines before a request are skipped. They count towards the size of its head.
	maxEmptyLines = 4
	// minBodyBytesPerSecond is the rate at which a body larger than message.MaxBodyBytes must arrive.
	minBodyBytesPerSecond = 1 << 20
	// acceptAfterShutdown is how long after SIGTERM connections are still accepted: whatever distributes connections over the
	// nodes notices the shutdown with a delay.
	acceptAfterShutdown = 500 * time.Millisecond
	acceptRetryDelay    = 5 * time.Millisecond // after a temporary accept error
	// The protocol guarantees a client an error or a close within 3 s of connecting, whatever it sends or does not send.
	headTimeout   = 1500 * time.Millisecond // for the head: of a first request from the connection's start, of others from the first byte
	bodyTimeout   = time.Second             // from the head's deadline to the last byte
	slowReadAfter = 50 * time.Millisecond   // most requests are complete within this of their first byte; slower ones are evicted earlier
	// silentTimeout is how long a new connection may send nothing before it becomes one of the first to be evicted: a request
	// normally follows the connect at once.
	silentTimeout = 200 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open. Some clients never close theirs.
	idleTimeout   = 5 * time.Second
	lingerTimeout = 100 * time.Millisecond // for the client to read its last answer before the connection is reset
	lingerBytes   = 256 << 10              // what is read of further data from the client meanwhile
	// What follows a request while it is answered stays in the kernel. If that is so much that a close behind it can't be known, it is
	// read and discarded: up to fastDiscardBytes before the request is sent, the rest meanwhile.
	fastDiscardBytes = 1 << 20
	unsentRetryAfter = 250 * time.Millisecond // for a request that is refused before anything is done for it
	// minRejectSlots are one for a new connection and one for the connection that is evicted for it.
	minRejectSlots = 2
)

// Config configures a Front.
type Config struct {
	Engine           *engine.Engine
	Bodies           *message.Store
	Clock            engine.Clock
	Quota            *quota.Quota                 // descriptors for client connections
	RejectSlots      int                          // connections beyond the quota: rejected ones, and evicted ones until they are closed
	MaxRequestConns  int                          // open connections that carry or have carried a request
	TenantShares     map[string]float64           // quota of each tenant at this node, in requests per second
	SinceLastReceive func(net.Conn) time.Duration // how long the last bytes waited in the kernel; nil for sock.SinceLastReceive
	Parsing          quota.Concurrency            // bounds how many heads are parsed at the same time
	Work             *timing.SharedWork           // of busy connections
	Log              *slog.Logger
}

// Front serves the client connections of this node. If no descriptor is available for a new connection, one without a
// request is evicted. If there is none, the request of the new connection is refused, and while all reject slots are in use
// new connections wait in the listener's backlog.
type Front struct {
	engine           *engine.Engine
	bodies           *message.Store
	clock            engine.Clock
	sinceLastReceive func(net.Conn) time.Duration
	parsing          quota.Concurrency
	work             *timing.SharedWork
	log              *slog.Logger
	shuttingDown     atomic.Bool     // the node is shutting down
	closing          atomic.Bool     // connections are being closed
	ctx              context.Context // ends when Serve returns
	stop             context.CancelFunc

	quota       *quota.Quota
	rejectSlots chan struct{}
	wg          sync.WaitGroup // open connections

	mu       sync.Mutex
	account  *admission.Clients // decides which connections stay open
	pressure admission.Pressure
	tenants  *admission.Tenants
	conns    map[*clientConn]struct{}
}

// New returns a front. It serves nobody until Serve is called.
func New(cfg Config) *Front {
	s := &Front{engine: cfg.Engine, bodies: cfg.Bodies, clock: cfg.Clock, parsing: cfg.Parsing, work: cfg.Work, log: cfg.Log,
		quota: cfg.Quota, rejectSlots: make(chan struct{}, max(minRejectSlots, cfg.RejectSlots)), conns: map[*clientConn]struct{}{},
		tenants: admission.NewTenants(cfg.TenantShares),
		account: admission.NewClients(admission.Limits{RequestConns: cfg.MaxRequestConns, SilentAfter: silentTimeout, SlowAfter: slowReadAfter})}
	if s.sinceLastReceive = cfg.SinceLastReceive; s.sinceLastReceive == nil {
		s.sinceLastReceive = sock.SinceLastReceive
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// accept accepts connections until ln is closed.
func (s *Front) accept(ln net.Listener) error {
	for {
		s.rejectSlots <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			<-s.rejectSlots
			if !sock.IsAcceptRetryable(err) {
				return err
			}
			s.log.Debug("accept failed; retrying", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := s.newClientConn(conn)
		c.hasDescriptor = s.quota.AcquireOrReclaim(s.evictForClient)
		s.mu.Lock()
		if c.usesRejectSlot = !c.hasDescriptor; c.usesRejectSlot {
			c.overLimit = !s.account.BelowMean(c.account.From) // a client with fewer connections than average is served all the same
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
			c.head.release()
			s.log.Debug("connection closed", "client", c.RemoteAddr(), "reason", reason, "lasted", time.Since(c.start))
			s.forget(c)
		}()
	}
}

// now returns the time that the account uses.
func (s *Front) now() time.Duration { return s.clock.Elapsed() }

// host returns an address without its port.
func host(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// shouldShed records how long a request waited to be read and reports whether the node is so overloaded that it should
// refuse the request at once.
func (s *Front) shouldShed(delay time.Duration, r *message.Request) bool {
	rank, classes := s.engine.Rank(r.Class)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pressure.Observe(now, delay)
	fraction := s.pressure.Shed(now, rank, classes)
	return fraction > 0 && rand.Float64() < fraction
}

// setReadDeadline sets the read deadline of a connection, unless it is closing.
func (s *Front) setReadDeadline(c *clientConn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		c.SetReadDeadline(t)
	}
}

// noteRequestStart records the first byte of a request, whose head must arrive by end.
func (s *Front) noteRequestStart(c *clientConn, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Read(s.now(), &c.account)
	if !c.closing {
		c.SetReadDeadline(end)
	}
}

// ChangeShares changes the quotas of tenants at this node. It holds the lock that all connections share, so the caller
// should pass few changes at a time.
func (s *Front) ChangeShares(changes []admission.ShareChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenants.Change(changes)
}

// startAnswer records that a request will be answered and reports whether its connection was not evicted.
func (s *Front) startAnswer(c *clientConn, r *message.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ID != "" {
		c.account.OverQuota = s.tenants.Count(s.now(), r.Tenant)
	}
	s.account.Begin(s.now(), &c.account, r.ID == "")
	return !c.closing
}

// noteRejection records against the client's address that a connection carried no valid request.
func (s *Front) noteRejection(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing { // an evicted connection had no time to send one
		s.account.Rejected(s.now(), &c.account)
	}
}

// markIdle records that a connection waits for its next request and reports whether it may stay open.
func (s *Front) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.answered = true
	s.account.Idle(s.now(), &c.account)
	return !c.closing && !s.closing.Load() // closing may have been set after the answer was prepared without "Connection: close"
}

// serveConn answers the requests of a connection one after the other and returns why it ended.
func (s *Front) serveConn(c *clientConn) closeReason {
	for {
		r, rej := s.read(c)
		if rej != nil {
			return s.reject(c, rej)
		}
		if r == nil {
			return s.endReason(c)
		}
		c.waited = false
		if !s.startAnswer(c, r) && !s.shuttingDown.Load() {
			c.overLimit = true
		}
		a, reason := s.answer(c, r)
		last := r.In.Close || c.overLimit || c.usesRejectSlot || s.closing.Load() || !r.Body.IsDrained() || c.discarded || reason == "" && s.closesAfterAnswer(c)
		if reason == clientDisconnected {
			c.discardUnread()
		}
		if reason != "" {
			return reason
		}
		var err error
		c.received.ObserveWhile(func() { err = c.write(r.In, a, last) })
		a.reply.Release()
		if err != nil {
			return answerNotRead
		}
		if last {
			if r.Body.IsDrained() {
				c.finishReading()
			}
			c.linger()
			return lastAnswerSent
		}
		if !s.markIdle(c) {
			return evictedAfterAnswer
		}
		if c.waited { // for a backend
			c.reads.DropRequest()
		}
		c.reads.EndRequest(c.isBuffered())
	}
}

// reject answers a malformed request, or one that can't be stored.
func (s *Front) reject(c *clientConn, rej *message.Rejection) closeReason {
	reason := invalidRequest
	if s.isEvicted(c) { // evicted in the middle of a request, through no fault of the client
		rej = &message.Rejection{Status: http.StatusServiceUnavailable, Text: "this connection ends"}
		reason = evicted
	}
	if rej.Status != http.StatusServiceUnavailable { // a lack of space is not the client's fault
		s.noteRejection(c)
	}
	c.reject(rej)
	return reason
}

// endReason returns why a connection without a further request ended, and counts it as a rejection if it never had one.
func (s *Front) endReason(c *clientConn) closeReason {
	if !c.answered {
		s.noteRejection(c)
	}
	if s.isEvicted(c) {
		return evicted
	}
	return noFurtherRequest
}

// answer returns the one answer of a request. If the connection ends without one, reason says why.
func (s *Front) answer(c *clientConn, r *message.Request) (a answer, reason closeReason) {
	if r.ID == "" {
		return answer{status: s.readiness()}, ""
	}
	if c.overLimit || r.Shed {
		return refuseUnsent(r, "too much at once\n"), ""
	}
	if !r.Body.IsDrained() {
		r.Disconnected, r.Body.Departed = c.closedBehind(r.Body), c.attemptProbe.closed
	} else {
		r.Disconnected = c.attemptProbe.mayBeClosed
		switch c.peerAfterRequest() {
		case sock.PeerClosed:
			r.Release()
			return answer{}, clientDisconnected
		case sock.PeerUnknown:
			return refuseUnsent(r, "too much follows the request\n"), ""
		}
	}
	r.ClientID = true
	if err := s.engine.Submit(&r.Request); err != nil {
		r.Release()
		c.reject(&message.Rejection{Status: http.StatusConflict, Text: "X-Request-Id: " + err.Error()})
		return answer{}, duplicateID
	}
	select {
	case a := <-r.Done():
		return toAnswer(a), ""
	default:
	}
	c.waited = true
	if !r.Body.IsDrained() { // an attempt is still reading the body from the client's connection
		select {
		case a := <-r.Done():
			return toAnswer(a), ""
		case <-r.Body.Drained:
		}
	}
	return s.awaitAnswer(c, r)
}

// refuseUnsent returns the answer to a request that was not passed to the engine: the client may safely retry, whatever its class.
func refuseUnsent(r *message.Request, text string) answer {
	r.Release()
	return answer{status: http.StatusServiceUnavailable, body: []byte(text), retryAfter: unsentRetryAfter}
}

// awaitAnswer waits for the answer of a request that was read completely, and cancels the request if its client closes the connection.
func (s *Front) awaitAnswer(c *clientConn, r *message.Request) (a answer, reason closeReason) {
	c.SetReadDeadline(time.Time{}) // watching has no deadline, also if the connection closes after this answer
	closed := make(chan bool, 1)
	go func() { closed <- c.watchForClose() }()
	select {
	case a := <-r.Done():
		c.SetReadDeadline(time.Unix(1, 0)) // ends watchForClose
		<-closed
		return toAnswer(a), ""
	case gone := <-closed:
		if !gone { // the read deadline was set by an eviction or the shutdown
			return toAnswer(<-r.Done()), ""
		}
		s.cancel(r)
		return answer{}, clientDisconnected
	}
}

// cancel cancels a request whose client has left, and drops an answer that came just now.
func (s *Front) cancel(r *message.Request) {
	s.engine.Cancel(&r.Request)
	select {
	case a := <-r.Done():
		t := toAnswer(a)
		if t.stream != nil { // streaming started just now
			t.stream.Finish(context.Canceled)
		}
		t.reply.Release()
	default:
	}
}

// readiness returns the status of an answer to /ready.
func (s *Front) readiness() int {
	if !s.engine.Ready() || s.shuttingDown.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
