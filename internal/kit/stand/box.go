package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/trace"
)

// loadInterval and capacityInterval are how often a backend records its load and, while it is cold, its capacity.
const (
	loadInterval     = 500 * time.Millisecond
	capacityInterval = 100 * time.Millisecond
)

// maxBodyBytes limits how much of a request body a backend reads.
const maxBodyBytes = 32 << 20

// BackendConfig describes a backend.
type BackendConfig struct {
	ID, Site, Kind string
	Cell           int
	Seed           uint64
	Spec           boxmodel.Spec
	Handshake      time.Duration                           // work per new connection, on a core of speed 1
	MaxConns       int                                     // requests on connections beyond this many are rejected; 0: no limit
	IdleTimeout    time.Duration                           // after which an idle connection is closed; 0: never
	Delay          func(from string) time.Duration         // one way, between a site and this backend
	Report         struct{ Interval, Delay time.Duration } // of load reports: how often one is taken, and its least age when it is sent
	ReportNoise    float64                                 // relative standard deviation of the reported figures
}

// Backend is a stand-in for a backend process. It serves until Stop.
type Backend struct {
	cfg          BackendConfig
	clock        Clock
	out          *trace.Writer
	attemptCount *atomic.Int64
	wake         chan struct{}
	quit         chan struct{}
	wg           sync.WaitGroup

	mu              sync.Mutex
	model           *boxmodel.Backend
	rng             *rand.Rand
	open            map[uint64]*request
	conns           map[*backendConn]struct{}
	links           []*link
	draining        bool
	stopped         bool // the process has ended
	closed          bool // its sockets are closed too; an isolated backend keeps them until Stop
	isolated        bool
	resetFraction   float64
	corruptFraction float64
	dropFraction    float64
	failingClass    string // requests of this class are answered with an error; "" for none
	slow            bool
	reports         *boxmodel.Reports
}

// request is one request at this backend.
type request struct {
	conn      *backendConn
	id        string
	attempt   int64
	response  string // body of the response when it is served
	willReset bool   // its connection is reset instead of a response
}

// backendConn is a connection from a node, or one JSON-RPC call on it.
type backendConn struct {
	net.Conn
	link      *link
	node      trace.Node
	isNew     bool
	overLimit bool // accepted beyond BackendConfig.MaxConns
	wasCut    bool // it was open when its link was restored; guarded by Backend.mu
	current   atomic.Pointer[request]

	shared *backendConn // for a JSON-RPC call: the connection that carries it
	rpcID  string       // for a JSON-RPC call: its id
}

// NewBackend starts a backend without a listener. attemptCount numbers the requests at all backends of a rehearsal.
func NewBackend(cfg BackendConfig, clock Clock, out *trace.Writer, attemptCount *atomic.Int64) *Backend {
	b := &Backend{cfg: cfg, clock: clock, out: out, attemptCount: attemptCount, wake: make(chan struct{}, 1), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, 3)), open: map[uint64]*request{}, conns: map[*backendConn]struct{}{}}
	now := clock.Now()
	b.model = boxmodel.New(cfg.Spec, cfg.Seed, now)
	b.reports = boxmodel.NewReports(cfg.Report.Delay, cfg.ReportNoise, b.rng)
	b.recordState(now, trace.Ready)
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		b.run()
	}()
	return b
}

// recordState records a change of the backend's state. The caller holds b.mu or has the only reference.
func (b *Backend) recordState(now time.Duration, state string) {
	b.out.Add(&trace.Record{Kind: trace.Backend, T: trace.Microseconds(now), Backend: b.cfg.ID, Site: b.cfg.Site, Cell: b.cfg.Cell, MachineKind: b.cfg.Kind,
		State: state, Cores: b.model.Capacity(), FullCores: b.model.FullCapacity()})
}

// Serve accepts connections of one node from ln. The listener is closed when the backend stops.
func (b *Backend) Serve(ln net.Listener, node trace.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		ln.Close()
		return
	}
	l := &link{ln: ln, node: node}
	b.links = append(b.links, l)
	b.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // closed
			}
			b.accept(conn, l)
		}
	})
}

// accept handles a new connection. While the link is cut, the first one blocks the accept loop until the link is
// restored; it and all that wait behind it are then reset.
func (b *Backend) accept(conn net.Conn, l *link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if restored := l.restored; restored != nil && !b.closed {
		drained := make(chan struct{})
		l.drained = drained
		b.mu.Unlock()
		<-restored
		reset(conn)
		l.resetWaiting()
		close(drained)
		b.mu.Lock()
		return
	}
	if b.stopped {
		reset(conn)
		return
	}
	c := &backendConn{Conn: conn, link: l, node: l.node, isNew: true, overLimit: b.cfg.MaxConns > 0 && b.connCount() >= b.cfg.MaxConns}
	b.conns[c] = struct{}{}
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		b.serveConn(c)
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
}

// connCount returns the number of connections, JSON-RPC calls not counted. The caller holds b.mu.
func (b *Backend) connCount() int {
	n := 0
	for c := range b.conns {
		if c.shared == nil {
			n++
		}
	}
	return n
}

// Drain makes the backend finish the requests in flight and reject new ones.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	b.recordState(b.clock.Now(), trace.Terminating)
}

// Stop ends the process: connections are reset and new ones are refused. It returns when all goroutines have ended.
func (b *Backend) Stop() {
	b.mu.Lock()
	b.terminate()
	if !b.closed {
		b.closed = true
		for _, l := range b.links {
			l.ln.Close()
		}
		for c := range b.conns {
			b.resetConn(c)
		}
		b.isolated = false
		for _, l := range b.links {
			l.inCut, l.outCut = false, false
			b.updateLink(l)
		}
	}
	b.mu.Unlock()
	b.wg.Wait()
}

// Crash ends the process. Nodes do not see this from an isolated backend: its connections stay open until Stop.
func (b *Backend) Crash() {
	b.mu.Lock()
	isolated := b.isolated
	if isolated {
		b.terminate()
	}
	b.mu.Unlock()
	if !isolated {
		b.Stop()
	}
}

// terminate ends the requests in flight and the model. The caller holds b.mu.
func (b *Backend) terminate() {
	if b.stopped {
		return
	}
	b.stopped = true
	now := b.clock.Now()
	b.recordState(now, trace.Removed)
	b.model.Stop(now)
	b.model.TakeResults()
	close(b.quit)
}

// resetConn resets a connection and records that for its request, and for all JSON-RPC calls that share the
// connection. The caller holds b.mu.
func (b *Backend) resetConn(c *backendConn) {
	for o := range b.conns { // other calls on the same connection
		if o != c && c.shared != nil && o.shared == c.shared {
			b.recordReset(o)
		}
	}
	b.recordReset(c)
	if b.closed || b.canSend(c) || c.wasCut {
		reset(c.Conn)
	}
}

// recordReset records that a connection's request is reset. The caller holds b.mu.
func (b *Backend) recordReset(c *backendConn) {
	if k := c.current.Swap(nil); k != nil {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Backend: b.cfg.ID, Attempt: k.attempt, ID: k.id, How: trace.Reset})
	}
}

// Isolate cuts the backend off from all nodes until Reconnect, which resets every connection from before.
func (b *Backend) Isolate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isolated || b.stopped {
		return
	}
	b.isolated = true
	for _, l := range b.links {
		b.updateLink(l)
	}
	b.recordState(b.clock.Now(), trace.Unresponsive)
}

// Reconnect ends Isolate. New connections succeed from then on.
func (b *Backend) Reconnect() {
	var waits []<-chan struct{}
	defer func() { waitAll(waits) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isolated && !b.stopped {
		b.recordState(b.clock.Now(), trace.Responsive)
		b.isolated = false
		for _, l := range b.links {
			waits = append(waits, b.updateLink(l))
		}
	}
}

// SetSlowdown slows the backend down by a factor; 1 is its normal speed.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	b.model.SetSlowdown(b.clock.Now(), factor)
	b.mu.Unlock()
	b.wakeLoop()
}

// SetFaults sets the fractions of requests that are reset and of responses that are corrupted.
func (b *Backend) SetFaults(resetFraction, corruptFraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetFraction, b.corruptFraction = resetFraction, corruptFraction
}

// SetDropFraction sets the fraction of requests that the backend reads and drops: they neither run nor get a response.
func (b *Backend) SetDropFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropFraction = fraction
}

// SetClassFailure makes the backend answer all requests of a class with an error, or ends that.
func (b *Backend) SetClassFailure(class string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingClass = ""
	if on {
		b.failingClass = class
	}
}

// Status is the state of a backend as progress displays show it.
type Status struct {
	Warm, Slow, Draining, Isolated, Collapsed bool
	InFlight                                  int
}

// Status returns the current state.
func (b *Backend) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{b.model.Warm(), b.slow, b.draining, b.isolated, b.model.Down(), b.model.InFlight()}
}

// wakeLoop makes run look at the model again.
func (b *Backend) wakeLoop() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run advances the model with the clock, sends the responses and records load, capacity and reports.
func (b *Backend) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextLoad, nextCapacity, nextReport := time.Duration(0), time.Duration(0), time.Duration(0)
	for {
		b.mu.Lock()
		now := b.clock.Now()
		b.model.Advance(now)
		b.applyResults()
		if now >= nextReport {
			nextReport = now + b.cfg.Report.Interval
			b.reports.Sample(now, b.model)
		}
		if now >= nextLoad {
			nextLoad = now + loadInterval
			b.out.Add(&trace.Record{Kind: trace.Load, T: trace.Microseconds(now), Backend: b.cfg.ID, InFlight: b.model.InFlight(), Queue: b.model.Waiting(),
				Conns: len(b.conns), Cores: b.model.Capacity()})
		}
		if now >= nextCapacity && !b.model.Warm() && !b.model.Down() {
			nextCapacity = now + capacityInterval
			b.out.Add(&trace.Record{Kind: trace.Capacity, T: trace.Microseconds(now), Backend: b.cfg.ID, Cores: b.model.Capacity()})
		}
		next := nextLoad
		if b.cfg.Report.Interval > 0 {
			next = min(next, nextReport)
		}
		if at, ok := b.model.Next(); ok {
			next = min(next, at)
		}
		b.mu.Unlock()
		timer.Reset(max(next-b.clock.Now(), 0))
		select {
		case <-timer.C:
		case <-b.wake:
		case <-b.quit:
			return
		}
	}
}

// applyResults records the model's state changes and responds to the requests that it has finished. The caller holds
// b.mu.
func (b *Backend) applyResults() {
	results, changes := b.model.TakeResults()
	for _, c := range changes {
		switch c.Kind {
		case boxmodel.BecameSlow:
			b.slow = true
			b.recordState(c.At, trace.Slow)
		case boxmodel.BecameNormal:
			b.slow = false
			b.recordState(c.At, trace.Normal)
		case boxmodel.BecameWarm:
			b.recordState(c.At, trace.Warm)
		case boxmodel.Collapsed:
			b.recordState(c.At, trace.Collapsed)
			for _, l := range b.links {
				l.ln.Close()
			}
			for o := range b.conns {
				b.resetConn(o)
			}
		}
	}
	for _, r := range results {
		k := b.open[r.ID]
		delete(b.open, r.ID)
		if k == nil || k.conn.current.Load() != k {
			continue
		}
		switch {
		case r.Outcome == boxmodel.Lost:
			b.resetConn(k.conn)
		case k.willReset || r.Outcome == boxmodel.Cancelled:
		case r.Outcome == boxmodel.Served && b.corruptFraction > 0 && b.rng.Float64() < b.corruptFraction:
			b.sendDelayed(k, trace.Malformed, corruptResponses[b.rng.IntN(len(corruptResponses))])
		case r.Outcome == boxmodel.Served:
			b.sendDelayed(k, trace.Served, b.responseText(200, "", k.response))
		case r.Outcome == boxmodel.Failed:
			b.sendDelayed(k, trace.Failed, b.responseText(500, "", "the box failed\n"))
		case r.Outcome == boxmodel.Expired:
			b.sendDelayed(k, trace.Rejected, b.responseText(504, "X-Not-Run: 1\r\n", "over before it ran\n"))
		default:
			b.sendDelayed(k, trace.Rejected, b.responseText(503, "X-Not-Run: 1\r\n", "no room\n"))
		}
	}
}

// corruptResponses are byte sequences that are not valid HTTP responses.
var corruptResponses = []string{
	"\x00\x01\x02 this is noise \xff\xfe\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nminus",
	"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nnever ends",
	"HTTP/1.1 two hundred\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nwhich",
}

// responseText returns a response with the current load report in X-Load. The caller holds b.mu.
func (b *Backend) responseText(status int, headers, body string) string {
	if inFlight, waiting, ok := b.reports.Due(); ok && status != 400 && status != 404 {
		headers += fmt.Sprintf("X-Load: {\"inflight\":%d,\"queue\":%d}\r\n", inFlight, waiting)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), headers, len(body), body)
}

// sendDelayed writes a response after the one-way delay to the node's site, unless its connection or its link has gone
// by then.
func (b *Backend) sendDelayed(k *request, how, text string) {
	status := 0
	if how != trace.Malformed {
		status, _ = strconv.Atoi(text[9:12])
	}
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(k.conn.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		lost := !b.canSend(k.conn)
		b.mu.Unlock()
		if lost || !k.conn.current.CompareAndSwap(k, nil) {
			return // the node has disconnected, the backend has ended, or the link loses the response
		}
		if k.conn.shared != nil {
			text = rpcText(k.conn.rpcID, text)
			b.mu.Lock()
			delete(b.conns, k.conn)
			b.mu.Unlock()
		}
		rec := trace.Record{Kind: trace.Reply, T: b.clock.us(), Backend: b.cfg.ID, Attempt: k.attempt, ID: k.id, Status: status, How: how}
		if how == trace.Served {
			rec.Digest = digest([]byte(k.response))
		}
		b.out.Add(&rec)
		k.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(k.conn, text); err != nil || k.conn.overLimit {
			k.conn.Close()
		}
	})
}

// waitReachable blocks while the node's traffic does not reach the backend. It reports whether this connection was
// never under a cut: what was read from it just before the link was restored counts as lost too.
func (b *Backend) waitReachable(c *backendConn) bool {
	b.mu.Lock()
	restored, reachable, wasCut := c.link.restored, b.canReceive(c), c.wasCut
	b.mu.Unlock()
	if restored == nil || reachable {
		return !wasCut
	}
	<-restored
	return false
}

// serveConn reads the requests of one connection. The first byte tells JSON-RPC from HTTP.
func (b *Backend) serveConn(c *backendConn) {
	if !b.waitReachable(c) {
		reset(c.Conn)
		return
	}
	in := bufio.NewReader(c.Conn)
	for {
		if b.cfg.IdleTimeout > 0 && c.current.Load() == nil {
			c.SetReadDeadline(time.Now().Add(b.cfg.IdleTimeout))
		}
		next, err := in.Peek(1)
		first := b.clock.us()
		if !b.waitReachable(c) {
			return // bytes that arrived during the cut are lost
		}
		if err != nil {
			b.handleDisconnect(c)
			return
		}
		c.SetReadDeadline(time.Time{})
		if next[0] == '{' {
			b.serveRPC(c, in)
			return
		}
		if !b.handleRequest(c, in, first) {
			return
		}
	}
}

// handleDisconnect records that a node has closed a connection, and cancels the request on it after the one-way delay.
func (b *Backend) handleDisconnect(c *backendConn) {
	k := c.current.Swap(nil)
	if k == nil {
		return
	}
	b.out.Add(&trace.Record{Kind: trace.Dropped, T: b.clock.us(), Backend: b.cfg.ID, Node: c.node.Name, Attempt: k.attempt, ID: k.id})
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(c.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		b.model.Cancel(b.clock.Now(), uint64(k.attempt))
		b.applyResults()
		b.mu.Unlock()
		b.wakeLoop()
	})
}

// handleRequest reads one request and gives it to the model after the one-way delay. It returns false when the
// connection cannot be used any more.
func (b *Backend) handleRequest(c *backendConn, in *bufio.Reader, first int64) bool {
	r, err := http.ReadRequest(in)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	}
	rec := trace.Record{Kind: trace.Received, T: b.clock.us(), T0: first, Backend: b.cfg.ID, Node: c.node.Name}
	if err != nil {
		rec.Kind = trace.Partial
		if r != nil {
			rec.ID = r.Header.Get("X-Request-Id")
		}
		b.out.Add(&rec)
		return false
	}
	if r.URL.Path == "/health" || r.URL.Path == "/status/load" {
		b.mu.Lock()
		text := b.responseText(200, "", "")
		b.mu.Unlock()
		_, err := io.WriteString(c, text)
		return err == nil
	}
	rec.ID, rec.Class, rec.Attempt = r.Header.Get("X-Request-Id"), r.Header.Get("X-Class"), b.attemptCount.Add(1)
	work, reason := checkRequest(r, body)
	if r.URL.Query().Get("key") == "bad" {
		rec.How = trace.FromInvalidClient
	}
	overhead := time.Duration(0)
	if c.isNew {
		overhead, c.isNew = b.cfg.Handshake, false
	}
	rec.Work = trace.Microseconds(work + overhead)
	k := &request{conn: c, id: rec.ID, attempt: rec.Attempt}
	k.response = fmt.Sprintf(`{"for":%q,"box":%q,"run":%d,"saved":true,"price":"%d.00"}`, rec.ID, b.cfg.ID, rec.Attempt, 400+rec.Attempt%900)
	if !c.current.CompareAndSwap(nil, k) {
		return false // a second request before the first is answered
	}
	b.out.Add(&rec)
	var deadline time.Duration
	if wait, err := strconv.ParseFloat(deadlineMicroseconds(r.Header.Get("X-Deadline")), 64); err == nil {
		deadline = b.clock.Now() + time.Duration(wait*1e3)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if reason != "" {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Backend: b.cfg.ID, Attempt: k.attempt, ID: k.id, Status: 400, How: trace.Refused, Why: reason})
		c.current.Store(nil)
		text := b.responseText(400, "", reason+"\n")
		if c.shared != nil {
			text = rpcText(c.rpcID, text)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if b.draining || c.overLimit {
		b.sendDelayed(k, trace.Rejected, b.responseText(503, "X-Not-Run: 1\r\n", "turned away\n"))
		return true
	}
	if b.dropFraction > 0 && b.rng.Float64() < b.dropFraction {
		return true // no response: the node has to time out
	}
	if b.failingClass != "" && rec.Class == b.failingClass {
		b.sendDelayed(k, trace.Failed, b.responseText(500, "", "failed\n"))
		return true
	}
	if b.resetFraction > 0 && b.rng.Float64() < b.resetFraction {
		k.willReset = true
	}
	job := boxmodel.Job{ID: uint64(k.attempt), Work: work.Seconds(), Overhead: overhead.Seconds(), Deadline: deadline}
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(c.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		b.open[job.ID] = k
		b.model.Arrive(b.clock.Now(), job)
		b.applyResults()
		if k.willReset {
			b.resetConn(c)
		}
		b.mu.Unlock()
		b.wakeLoop()
	})
	return true
}

// deadlineMicroseconds returns the value of X-Deadline, which has a unit of one letter, as a number of microseconds for
// ParseFloat: "800m" gives "800e3".
func deadlineMicroseconds(s string) string {
	if n := len(s); n > 0 && s[n-1] == 'm' {
		return s[:n-1] + "e3"
	} else if n > 0 {
		return s[:n-1]
	}
	return s
}

// checkRequest returns a request's work, or what is wrong with a request that no client of the kit can have sent.
func checkRequest(r *http.Request, body []byte) (time.Duration, string) {
	id := r.Header.Get("X-Request-Id")
	us, err := strconv.ParseInt(r.URL.Query().Get("w"), 10, 64)
	switch {
	case id == "":
		return 0, "no X-Request-Id"
	case err != nil || us < 0 || us > 60e6:
		return 0, "no such work"
	case r.Method == http.MethodPost && !bytes.HasPrefix(body, []byte(`{"id":"`+id+`"`)):
		return 0, "the body is not this request's"
	case r.URL.Query().Get("key") != "" && r.URL.Path != "/api":
		return 0, "no such path"
	}
	return time.Duration(us) * time.Microsecond, ""
}
