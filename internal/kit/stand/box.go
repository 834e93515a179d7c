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

// loadEvery and capEvery say how often a box notes its load and, while it is cold, what it can do.
const (
	loadEvery = 500 * time.Millisecond
	capEvery  = 100 * time.Millisecond
)

// maxBody is the largest body of a request that a box reads, in bytes.
const maxBody = 32 << 20

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
	cfg   BackendConfig
	clock Clock
	out   *trace.Writer
	atts  *atomic.Int64
	kick  chan struct{}
	quit  chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	model    *boxmodel.Box
	rng      *rand.Rand
	open     map[uint64]*call
	conns    map[*boxConn]struct{}
	links    []*link
	draining bool
	stopped  bool // its process has ended
	closed   bool // and its sockets with it, which a box that is cut off keeps until it is back
	silent   bool
	resets   float64
	spoils   float64
	loses    float64
	fails    string // the class that it fails, if any
	slow     bool
	reports  *boxmodel.Reports
}

// call is one request at this box.
type call struct {
	conn *boxConn
	id   string
	att  int64
	body string // that it is answered with
	dead bool   // it is reset when it ends, not answered
}

type boxConn struct {
	net.Conn
	link  *link
	node  trace.Node
	fresh bool
	extra bool // past the number that the box accepts
	cut   bool // it was open when its link was whole again; guarded by Box.mu
	busy  atomic.Pointer[call]

	shared *boxConn // of a JSON-RPC call: the connection that it shares with others,
	rpc    string   // and its id there
}

// NewBackend starts a box that listens nowhere yet. atts numbers the requests at all boxes of a rehearsal.
func NewBackend(cfg BackendConfig, clock Clock, out *trace.Writer, atts *atomic.Int64) *Backend {
	b := &Backend{cfg: cfg, clock: clock, out: out, atts: atts, kick: make(chan struct{}, 1), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, 3)), open: map[uint64]*call{}, conns: map[*boxConn]struct{}{}}
	now := clock.Now()
	b.model = boxmodel.New(cfg.Spec, cfg.Seed, now)
	b.reports = boxmodel.NewReports(cfg.Report.Delay, cfg.ReportNoise, b.rng)
	b.state(now, trace.Ready)
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		b.drive()
	}()
	return b
}

// state notes a change of the box as a whole. b.mu is held, or nobody else knows the box.
func (b *Backend) state(now time.Duration, state string) {
	b.out.Add(&trace.Record{Kind: trace.Box, T: trace.US(now), Box: b.cfg.ID, Site: b.cfg.Site, Cell: b.cfg.Cell, Kit: b.cfg.Kind,
		State: state, Cores: b.model.Capacity(), Full: b.model.Full()})
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
	if back := l.back; back != nil && !b.closed {
		drained := make(chan struct{})
		l.holds = drained
		b.mu.Unlock()
		<-back
		reset(conn)
		l.drain()
		close(drained)
		b.mu.Lock()
		return
	}
	if b.stopped {
		reset(conn)
		return
	}
	c := &boxConn{Conn: conn, link: l, node: l.node, fresh: true, extra: b.cfg.MaxConns > 0 && b.holds() >= b.cfg.MaxConns}
	b.conns[c] = struct{}{}
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		b.talk(c)
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
}

// holds is the number of connections. b.mu is held.
func (b *Backend) holds() int {
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
	b.state(b.clock.Now(), trace.Terminating)
}

// Stop ends the process: connections are reset, new ones are refused. It returns when all of it has ended.
func (b *Backend) Stop() {
	b.mu.Lock()
	b.die()
	if !b.closed {
		b.closed = true
		for _, l := range b.links {
			l.ln.Close()
		}
		for c := range b.conns {
			b.lost(c)
		}
		b.silent = false
		for _, l := range b.links {
			l.in, l.out = false, false
			b.turn(l)
		}
	}
	b.mu.Unlock()
	b.wg.Wait()
}

// Crash ends the process. Of a box that is cut off nobody hears that: its connections stay as they are until Stop.
func (b *Backend) Crash() {
	b.mu.Lock()
	silent := b.silent
	if silent {
		b.die()
	}
	b.mu.Unlock()
	if !silent {
		b.Stop()
	}
}

// die ends what runs here. b.mu is held.
func (b *Backend) die() {
	if b.stopped {
		return
	}
	b.stopped = true
	now := b.clock.Now()
	b.state(now, trace.Gone)
	b.model.Stop(now)
	b.model.Take()
	close(b.quit)
}

// lost resets a connection, and notes so for the request on it. b.mu is held.
func (b *Backend) lost(c *boxConn) {
	for o := range b.conns { // all calls that share it
		if o != c && c.shared != nil && o.shared == c.shared {
			b.noteLost(o)
		}
	}
	b.noteLost(c)
	if b.closed || b.says(c) || c.cut {
		reset(c.Conn)
	}
}

// noteLost notes that a connection's request is reset. b.mu is held.
func (b *Backend) noteLost(c *boxConn) {
	if k := c.busy.Swap(nil); k != nil {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.att, ID: k.id, How: trace.Reset})
	}
}

// Isolate cuts the box off; Return brings it back, with every connection from before reset.
func (b *Backend) Isolate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent || b.stopped {
		return
	}
	b.silent = true
	for _, l := range b.links {
		b.turn(l)
	}
	b.state(b.clock.Now(), trace.Silent)
}

// Reconnect ends Silence. Connections that begin after it come up.
func (b *Backend) Reconnect() {
	var ended []<-chan struct{}
	defer func() { await(ended) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent && !b.stopped {
		b.state(b.clock.Now(), trace.Back)
		b.silent = false
		for _, l := range b.links {
			ended = append(ended, b.turn(l))
		}
	}
}

// SetSlowdown makes the box slower by a factor; 1 is its usual speed.
func (b *Backend) SetSlowdown(factor float64) {
	b.mu.Lock()
	b.model.Slowed(b.clock.Now(), factor)
	b.mu.Unlock()
	b.poke()
}

// SetFaults sets the parts of the requests that are reset and of the answers that are spoilt.
func (b *Backend) SetFaults(resets, spoils float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resets, b.spoils = resets, spoils
}

// SetDropFraction sets the part of the requests that the box reads and then forgets: they neither run nor get an answer.
func (b *Backend) SetDropFraction(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loses = part
}

// SetClassFailure makes the box answer requests of a class with an error, or ends that.
func (b *Backend) SetClassFailure(class string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fails = ""
	if on {
		b.fails = class
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
	return Status{b.model.Warm(), b.slow, b.draining, b.silent, b.model.Down(), b.model.Held()}
}

func (b *Backend) poke() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// drive keeps the model up to the time and answers what it has done.
func (b *Backend) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	loads, caps, reports := time.Duration(0), time.Duration(0), time.Duration(0)
	for {
		b.mu.Lock()
		now := b.clock.Now()
		b.model.Advance(now)
		b.settle()
		if now >= reports {
			reports = now + b.cfg.Report.Interval
			b.reports.Take(now, b.model)
		}
		if now >= loads {
			loads = now + loadEvery
			b.out.Add(&trace.Record{Kind: trace.Load, T: trace.US(now), Box: b.cfg.ID, Held: b.model.Held(), Queue: b.model.Waiting(),
				Conns: len(b.conns), Cores: b.model.Capacity()})
		}
		if now >= caps && !b.model.Warm() && !b.model.Down() {
			caps = now + capEvery
			b.out.Add(&trace.Record{Kind: trace.Cap, T: trace.US(now), Box: b.cfg.ID, Cores: b.model.Capacity()})
		}
		next := loads
		if b.cfg.Report.Interval > 0 {
			next = min(next, reports)
		}
		if at, ok := b.model.Next(); ok {
			next = min(next, at)
		}
		b.mu.Unlock()
		timer.Reset(max(next-b.clock.Now(), 0))
		select {
		case <-timer.C:
		case <-b.kick:
		case <-b.quit:
			return
		}
	}
}

// settle carries out what the model has done. b.mu is held.
func (b *Backend) settle() {
	results, changes := b.model.Take()
	for _, c := range changes {
		switch c.What {
		case boxmodel.TurnedSlow:
			b.slow = true
			b.state(c.At, trace.Slow)
		case boxmodel.TurnedNormal:
			b.slow = false
			b.state(c.At, trace.Normal)
		case boxmodel.TurnedWarm:
			b.state(c.At, trace.Warm)
		case boxmodel.FellOver:
			b.state(c.At, trace.Fallen)
			for _, l := range b.links {
				l.ln.Close()
			}
			for o := range b.conns {
				b.lost(o)
			}
		}
	}
	for _, r := range results {
		k := b.open[r.ID]
		delete(b.open, r.ID)
		if k == nil || k.conn.busy.Load() != k {
			continue
		}
		switch {
		case r.Outcome == boxmodel.Lost:
			b.lost(k.conn)
		case k.dead || r.Outcome == boxmodel.Cancelled:
		case r.Outcome == boxmodel.Served && b.spoils > 0 && b.rng.Float64() < b.spoils:
			b.later(k, trace.Spoilt, spoilt[b.rng.IntN(len(spoilt))])
		case r.Outcome == boxmodel.Served:
			b.later(k, trace.Served, b.answer(200, "", k.body))
		case r.Outcome == boxmodel.Failed:
			b.later(k, trace.Failed, b.answer(500, "", "the box failed\n"))
		case r.Outcome == boxmodel.Expired:
			b.later(k, trace.Turned, b.answer(504, "X-Not-Run: 1\r\n", "over before it ran\n"))
		default:
			b.later(k, trace.Turned, b.answer(503, "X-Not-Run: 1\r\n", "no room\n"))
		}
	}
}

// spoilt are things that are no answers.
var spoilt = []string{
	"\x00\x01\x02 this is noise \xff\xfe\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nminus",
	"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nnever ends",
	"HTTP/1.1 two hundred\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nwhich",
}

// answer is an answer's text with the load report that is due. b.mu is held.
func (b *Backend) answer(status int, headers, body string) string {
	if held, queue, ok := b.reports.Due(); ok && status != 400 && status != 404 {
		headers += fmt.Sprintf("X-Load: {\"inflight\":%d,\"queue\":%d}\r\n", held, queue)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), headers, len(body), body)
}

// later writes an answer once it has come as far as the node's site.
func (b *Backend) later(k *call, how, text string) {
	status := 0
	if how != trace.Spoilt {
		status, _ = strconv.Atoi(text[9:12])
	}
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(k.conn.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		lost := !b.says(k.conn)
		b.mu.Unlock()
		if lost || !k.conn.busy.CompareAndSwap(k, nil) {
			return // the node has gone, or the box has, or what it says is lost on the way
		}
		if k.conn.shared != nil {
			text = rpcText(k.conn.rpc, text)
			b.mu.Lock()
			delete(b.conns, k.conn)
			b.mu.Unlock()
		}
		rec := trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.att, ID: k.id, Status: status, How: how}
		if how == trace.Served {
			rec.Sum = digest([]byte(k.body))
		}
		b.out.Add(&rec)
		k.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(k.conn, text); err != nil || k.conn.extra {
			k.conn.Close()
		}
	})
}

// wait returns once the box can be reached. It tells whether it could all along, as far as this connection goes: what
// was read off it just before the box came back is none of the box's either.
func (b *Backend) wait(c *boxConn) bool {
	b.mu.Lock()
	back, hears, cut := c.link.back, b.hears(c), c.cut
	b.mu.Unlock()
	if back == nil || hears {
		return !cut
	}
	<-back
	return false
}

// talk reads the requests of one connection.
func (b *Backend) talk(c *boxConn) {
	if !b.wait(c) {
		reset(c.Conn)
		return
	}
	in := bufio.NewReader(c.Conn)
	for {
		if b.cfg.IdleTimeout > 0 && c.busy.Load() == nil {
			c.SetReadDeadline(time.Now().Add(b.cfg.IdleTimeout))
		}
		next, err := in.Peek(1)
		first := b.clock.us()
		if !b.wait(c) {
			return // what came while it was cut off came nowhere
		}
		if err != nil {
			b.gone(c)
			return
		}
		c.SetReadDeadline(time.Time{})
		if next[0] == '{' {
			b.talkRPC(c, in)
			return
		}
		if !b.request(c, in, first) {
			return
		}
	}
}

// gone is called when a node has closed a connection.
func (b *Backend) gone(c *boxConn) {
	k := c.busy.Swap(nil)
	if k == nil {
		return
	}
	b.out.Add(&trace.Record{Kind: trace.Drop, T: b.clock.us(), Box: b.cfg.ID, Node: c.node.Name, Att: k.att, ID: k.id})
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(c.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		b.model.Cancel(b.clock.Now(), uint64(k.att))
		b.settle()
		b.mu.Unlock()
		b.poke()
	})
}

// request reads one request and hands it to the model. It returns false when the connection is of no further use.
func (b *Backend) request(c *boxConn, in *bufio.Reader, first int64) bool {
	r, err := http.ReadRequest(in)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(r.Body, maxBody))
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
		text := b.answer(200, "", "")
		b.mu.Unlock()
		_, err := io.WriteString(c, text)
		return err == nil
	}
	rec.ID, rec.Class, rec.Att = r.Header.Get("X-Request-Id"), r.Header.Get("X-Class"), b.atts.Add(1)
	work, bad := formed(r, body)
	if r.URL.Query().Get("key") == "bad" {
		rec.How = trace.BadClient
	}
	extra := time.Duration(0)
	if c.fresh {
		extra, c.fresh = b.cfg.Handshake, false
	}
	rec.Work = trace.US(work + extra)
	k := &call{conn: c, id: rec.ID, att: rec.Att}
	k.body = fmt.Sprintf(`{"for":%q,"box":%q,"run":%d,"saved":true,"price":"%d.00"}`, rec.ID, b.cfg.ID, rec.Att, 400+rec.Att%900)
	if !c.busy.CompareAndSwap(nil, k) {
		return false // a second request before the first is answered
	}
	b.out.Add(&rec)
	var until time.Duration
	if wait, err := strconv.ParseFloat(trimUnit(r.Header.Get("X-Deadline")), 64); err == nil {
		until = b.clock.Now() + time.Duration(wait*1e3)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bad != "" {
		b.out.Add(&trace.Record{Kind: trace.Reply, T: b.clock.us(), Box: b.cfg.ID, Att: k.att, ID: k.id, Status: 400, How: trace.Refused, Why: bad})
		c.busy.Store(nil)
		text := b.answer(400, "", bad+"\n")
		if c.shared != nil {
			text = rpcText(c.rpc, text)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if b.draining || c.extra {
		b.later(k, trace.Turned, b.answer(503, "X-Not-Run: 1\r\n", "turned away\n"))
		return true
	}
	if b.loses > 0 && b.rng.Float64() < b.loses {
		return true // until its node gives it up
	}
	if b.fails != "" && rec.Class == b.fails {
		b.later(k, trace.Failed, b.answer(500, "", "failed\n"))
		return true
	}
	if b.resets > 0 && b.rng.Float64() < b.resets {
		k.dead = true
	}
	job := boxmodel.Job{ID: uint64(k.att), Work: work.Seconds(), Extra: extra.Seconds(), Until: until}
	b.wg.Add(1)
	time.AfterFunc(b.cfg.Delay(c.node.Site), func() {
		defer b.wg.Done()
		b.mu.Lock()
		b.open[job.ID] = k
		b.model.Arrive(b.clock.Now(), job)
		b.settle()
		if k.dead {
			b.lost(c)
		}
		b.mu.Unlock()
		b.poke()
	})
	return true
}

// trimUnit turns X-Deadline into microseconds, as text.
func trimUnit(s string) string {
	if n := len(s); n > 0 && s[n-1] == 'm' {
		return s[:n-1] + "e3"
	} else if n > 0 {
		return s[:n-1]
	}
	return s
}

// formed tells a request's work, and what is wrong with it where a client of the kit can't have sent it so.
func formed(r *http.Request, body []byte) (time.Duration, string) {
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
