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

// loadInterval and capacityInterval say how often a box notes its load and, while it is cold, what it can do.
const (
	loadInterval     = 500 * time.Millisecond
	capacityInterval = 100 * time.Millisecond
)

// maxBodyBytes is the largest body of a request that a box reads, in bytes.
const maxBodyBytes = 32 << 20

// BackendConfig is what a box is.
type BackendConfig struct {
	ID, Site, Kind string
	Cell           int
	Seed           uint64
	Spec           boxmodel.Spec
	Handshake      time.Duration                           // work that a new connection costs, on a core of speed 1
	MaxConns       int                                     // connections that it accepts; 0 for any number
	IdleTimeout    time.Duration                           // a connection that stood idle for so long is closed
	Delay          func(from string) time.Duration         // one way, between a site and this box
	Report         struct{ Interval, Delay time.Duration } // of load reports
	ReportNoise    float64                                 // of load reports, as a part
}

// Backend is a box process. It serves until Stop.
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
	stopped         bool // its process has ended
	closed          bool // and its sockets with it, which a box that is cut off keeps until it is back
	isolated        bool
	resetFraction   float64
	corruptFraction float64
	dropFraction    float64
	failingClass    string // the class that it fails, if any
	slow            bool
	reports         *boxmodel.Reports
}

// request is one request at this box.
type request struct {
	conn      *backendConn
	id        string
	attempt   int64
	response  string // that it is answered with
	willReset bool   // it is reset when it ends, not answered
}

type backendConn struct {
	net.Conn
	link      *link
	node      trace.Node
	isNew     bool
	overLimit bool // past the number that the box accepts
	wasCut    bool // it was open when its link was whole again; guarded by Box.mu
	current   atomic.Pointer[request]

	shared *backendConn // of a JSON-RPC call: the connection that it shares with others,
	rpcID  string       // and its id there
}

// NewBackend starts a box that listens nowhere yet. atts numbers the requests at all boxes of a rehearsal.
func NewBackend(cfg BackendConfig, clock Clock, out *trace.Writer, atts *atomic.Int64) *Backend {
	b := &Backend{cfg: cfg, clock: clock, out: out, attemptCount: atts, wake: make(chan struct{}, 1), quit: make(chan struct{}),
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

// recordState notes a change of the box as a whole. b.mu is held, or nobody else knows the box.
func (b *Backend) recordState(now time.Duration, state string) {
	b.out.Add(&trace.Record{Kind: trace.Box, T: trace.US(now), Box: b.cfg.ID, Site: b.cfg.Site, Cell: b.cfg.Cell, Kit: b.cfg.Kind,
		State: state, Cores: b.model.Capacity(), Full: b.model.FullCapacity()})
}

// Serve takes connections of one node from ln, and closes it when the box stops.
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

// accept takes a connection. One that comes while its link is cut is taken, and nobody else's until it is whole again.
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

// connCount is the number of connections. b.mu is held.
func (b *Backend) connCount() int {
	n := 0
	for c := range b.conns {
		if c.shared == nil {
			n++
		}
	}
	return n
}

// Drain makes the box finish what it has and turn new requests away.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	b.recordState(b.clock.Now(), trace.Terminating)
}

// Stop ends the process: connections are reset, new ones are refused. It returns when all of it has ended.
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

// Crash ends the process. Of a box that is cut off nobody hears that: its connections stay as they are until Stop.
func (b *Backend) Crash() {
	b.mu.Lock()
	silent := b.isolated
	if silent {
		b.terminate()
	}
	b.mu.Unlock()
	if !silent {
		b.Stop()
	}
}

// terminate ends what runs here. b.mu is held.
func (b *Backend) terminate() {
	if b.stopped {
		return
	}
	b.stopped = true
	now := b.clock.Now()
	b.recordState(now, trace.Gone)
	b.model.Stop(now)
	b.model.TakeResults()
	close(b.quit)
}

// resetConn resets a connection, and notes so for the request on it. b.mu is held.
func (b *Backend) resetConn(c *backendConn) {
	for o := range b.conns { // all calls that share it
		if o != c && c.shared != nil && o.shared == c.shared {
			b.recordReset(o)
		}
	}
	b.recordReset(c)
	if b.closed || b.canSend(c) || c.wasCut {
		reset(c.Conn)
	}
}

// recordReset notes that a connection's request is reset. b.mu is held.
func (b *Backend) recordReset(c *backendConn) {
	if k := c.current.Swap(nil); k != nil {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.attempt, ID: k.id, How: trace.Reset})
	}
}

// Isolate cuts the box off; Return brings it back, with every connection from before reset.
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
	b.recordState(b.clock.Now(), trace.Silent)
}

// Reconnect ends Silence. Connections that begin after it come up.
func (b *Backend) Reconnect() {
	var waits []<-chan struct{}
	defer func() { waitAll(waits) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isolated && !b.stopped {
		b.recordState(b.clock.Now(), trace.Back)
		b.isolated = false
		for _, l := range b.links {
			waits = append(waits, b.updateLink(l))
		}
	}
}

// SetSlowdown makes the box slower by a factor; 1 is its usual speed.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	b.model.SetSlowdown(b.clock.Now(), factor)
	b.mu.Unlock()
	b.wakeLoop()
}

// SetFaults sets the parts of the requests that are reset and of the answers that are spoilt.
func (b *Backend) SetFaults(resetFraction, corruptFraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetFraction, b.corruptFraction = resetFraction, corruptFraction
}

// SetDropFraction sets the part of the requests that the box reads and then forgets: they neither run nor get an answer.
func (b *Backend) SetDropFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropFraction = fraction
}

// SetClassFailure makes the box answer requests of a class with an error, or ends that.
func (b *Backend) SetClassFailure(class string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failingClass = ""
	if on {
		b.failingClass = class
	}
}

// Status is what there is to show of a box.
type Status struct {
	Warm, Slow, Draining, Isolated, Collapsed bool
	InFlight                                  int
}

// Status tells how the box stands.
func (b *Backend) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{b.model.Warm(), b.slow, b.draining, b.isolated, b.model.Down(), b.model.InFlight()}
}

func (b *Backend) wakeLoop() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run keeps the model up to the time and answers what it has done.
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
			b.out.Add(&trace.Record{Kind: trace.Load, T: trace.US(now), Box: b.cfg.ID, Held: b.model.InFlight(), Queue: b.model.Waiting(),
				Conns: len(b.conns), Cores: b.model.Capacity()})
		}
		if now >= nextCapacity && !b.model.Warm() && !b.model.Down() {
			nextCapacity = now + capacityInterval
			b.out.Add(&trace.Record{Kind: trace.Cap, T: trace.US(now), Box: b.cfg.ID, Cores: b.model.Capacity()})
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

// applyResults carries out what the model has done. b.mu is held.
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
			b.recordState(c.At, trace.Fallen)
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
			b.sendDelayed(k, trace.Spoilt, corruptResponses[b.rng.IntN(len(corruptResponses))])
		case r.Outcome == boxmodel.Served:
			b.sendDelayed(k, trace.Served, b.responseText(200, "", k.response))
		case r.Outcome == boxmodel.Failed:
			b.sendDelayed(k, trace.Failed, b.responseText(500, "", "the box failed\n"))
		case r.Outcome == boxmodel.Expired:
			b.sendDelayed(k, trace.Turned, b.responseText(504, "X-Not-Run: 1\r\n", "over before it ran\n"))
		default:
			b.sendDelayed(k, trace.Turned, b.responseText(503, "X-Not-Run: 1\r\n", "no room\n"))
		}
	}
}

// corruptResponses are things that are no answers.
var corruptResponses = []string{
	"\x00\x01\x02 this is noise \xff\xfe\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nminus",
	"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nnever ends",
	"HTTP/1.1 two hundred\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nwhich",
}

// responseText is an answer's text with the load report that is due. b.mu is held.
func (b *Backend) responseText(status int, headers, body string) string {
	if held, queue, ok := b.reports.Due(); ok && status != 400 && status != 404 {
		headers += fmt.Sprintf("X-Load: {\"inflight\":%d,\"queue\":%d}\r\n", held, queue)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), headers, len(body), body)
}

// sendDelayed writes an answer once it has come as far as the node's site.
func (b *Backend) sendDelayed(k *request, how, text string) {
	status := 0
	if how != trace.Spoilt {
		status, _ = strconv.Atoi(text[9:12])
	}
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(k.conn.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		lost := !b.canSend(k.conn)
		b.mu.Unlock()
		if lost || !k.conn.current.CompareAndSwap(k, nil) {
			return // the node has gone, or the box has, or what it says is lost on the way
		}
		if k.conn.shared != nil {
			text = rpcText(k.conn.rpcID, text)
			b.mu.Lock()
			delete(b.conns, k.conn)
			b.mu.Unlock()
		}
		rec := trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.attempt, ID: k.id, Status: status, How: how}
		if how == trace.Served {
			rec.Sum = digest([]byte(k.response))
		}
		b.out.Add(&rec)
		k.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(k.conn, text); err != nil || k.conn.overLimit {
			k.conn.Close()
		}
	})
}

// waitReachable returns once the box can be reached. It tells whether it could all along, as far as this connection goes: what
// was read off it just before the box came back is none of the box's either.
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

// serveConn reads the requests of one connection.
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
			return // what came while it was cut off came nowhere
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

// handleDisconnect is called when a node has closed a connection.
func (b *Backend) handleDisconnect(c *backendConn) {
	k := c.current.Swap(nil)
	if k == nil {
		return
	}
	b.out.Add(&trace.Record{Kind: trace.Drop, T: b.clock.us(), Box: b.cfg.ID, Node: c.node.Name, Att: k.attempt, ID: k.id})
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

// handleRequest reads one request and hands it to the model. It returns false when the connection is of no further use.
func (b *Backend) handleRequest(c *backendConn, in *bufio.Reader, first int64) bool {
	r, err := http.ReadRequest(in)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	}
	rec := trace.Record{Kind: trace.Recv, T: b.clock.us(), T0: first, Box: b.cfg.ID, Node: c.node.Name}
	if err != nil {
		rec.Kind = trace.Part
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
	rec.ID, rec.Class, rec.Att = r.Header.Get("X-Request-Id"), r.Header.Get("X-Class"), b.attemptCount.Add(1)
	work, bad := checkRequest(r, body)
	if r.URL.Query().Get("key") == "bad" {
		rec.How = trace.BadClient
	}
	extra := time.Duration(0)
	if c.isNew {
		extra, c.isNew = b.cfg.Handshake, false
	}
	rec.Work = trace.US(work + extra)
	k := &request{conn: c, id: rec.ID, attempt: rec.Att}
	k.response = fmt.Sprintf(`{"for":%q,"box":%q,"run":%d,"saved":true,"price":"%d.00"}`, rec.ID, b.cfg.ID, rec.Att, 400+rec.Att%900)
	if !c.current.CompareAndSwap(nil, k) {
		return false // a second request before the first is answered
	}
	b.out.Add(&rec)
	var until time.Duration
	if wait, err := strconv.ParseFloat(deadlineMicroseconds(r.Header.Get("X-Deadline")), 64); err == nil {
		until = b.clock.Now() + time.Duration(wait*1e3)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bad != "" {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.attempt, ID: k.id, Status: 400, How: trace.Refused, Why: bad})
		c.current.Store(nil)
		text := b.responseText(400, "", bad+"\n")
		if c.shared != nil {
			text = rpcText(c.rpcID, text)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if b.draining || c.overLimit {
		b.sendDelayed(k, trace.Turned, b.responseText(503, "X-Not-Run: 1\r\n", "turned away\n"))
		return true
	}
	if b.dropFraction > 0 && b.rng.Float64() < b.dropFraction {
		return true // until its node gives it up
	}
	if b.failingClass != "" && rec.Class == b.failingClass {
		b.sendDelayed(k, trace.Failed, b.responseText(500, "", "failed\n"))
		return true
	}
	if b.resetFraction > 0 && b.rng.Float64() < b.resetFraction {
		k.willReset = true
	}
	job := boxmodel.Job{ID: uint64(k.attempt), Work: work.Seconds(), Overhead: extra.Seconds(), Deadline: until}
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

// deadlineMicroseconds turns X-Deadline into microseconds, as text.
func deadlineMicroseconds(s string) string {
	if n := len(s); n > 0 && s[n-1] == 'm' {
		return s[:n-1] + "e3"
	} else if n > 0 {
		return s[:n-1]
	}
	return s
}

// checkRequest tells a request's work, and what is wrong with it where a client of the kit can't have sent it so.
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
