package stand

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
	"craneglade/internal/timing"
)

const (
	// A client of the kit stays for longer than its time, so that a late answer is told from none.
	lingerTime       = 200 * time.Millisecond
	connectTimeout   = time.Second
	idleTimeout      = 30 * time.Second
	resetWait        = 10 * time.Millisecond // for a reset to come behind an end
	badClientTimeout = 3 * time.Second       // within which a bad client is owed an error or a close
)

var errConnLimit = errors.New("clients hold as many connections to this node as they can")

// Clients are all clients of a rehearsal, with the front that deals their connections out among the nodes.
type Clients struct {
	plan            *plan.Plan
	dial            Dial
	clock           Clock
	out             *trace.Writer
	slack           time.Duration
	start           time.Duration
	maxConnsPerNode int // connections to a node
	wg              sync.WaitGroup
	conns           atomic.Int64
	Count           Counts

	mu       sync.Mutex
	nodes    []*nodeState
	rng      *rand.Rand
	bodyPads []string // a body's filler by class
}

// Counts are figures for the eye, since the start.
type Counts struct {
	Started, InTime, Late, Refused, Failed, Unreachable, Abandoned atomic.Int64
	Open                                                           atomic.Int64
}

// Reach tells how clients can reach a node.
type Reach uint8

const (
	Unreachable Reach = iota // not at all
	Reachable                // by connections that they have, and by new ones
	Draining                 // by those that they have alone, for as long as these stay open
)

// nodeState is what the front layer knows of a node.
type nodeState struct {
	trace.Node
	addr    string
	rpcAddr string
	reach   Reach
	idle    []*clientConn
	idleRPC []*clientConn

	dialing int
	conns   map[*clientConn]struct{}
	openIDs []string // of open requests, the latest last: what a bad client steals
}

// NewClients returns the clients of a plan. slack is how much later than its client's deadline an answer still counts.
func NewClients(p *plan.Plan, nodes []trace.Node, dial Dial, clock Clock, out *trace.Writer, slack time.Duration) *Clients {
	c := &Clients{plan: p, dial: dial, clock: clock, out: out, slack: slack, maxConnsPerNode: p.Scenario.Clients.Conns, rng: rand.New(rand.NewPCG(p.Seed, 4))}
	for _, n := range nodes {
		c.nodes = append(c.nodes, &nodeState{Node: n, conns: map[*clientConn]struct{}{}})
	}
	for _, k := range p.Scenario.Classes {
		c.bodyPads = append(c.bodyPads, strings.Repeat("window ", max(0, k.Bytes-60)/7+1))
	}
	return c
}

// SetStart says when the plan's time begins, since the start of the rehearsal. It is called before Play.
func (c *Clients) SetStart(at time.Duration) { c.start = at }

// SetNode tells the front of a node's address and how clients are to go there.
func (c *Clients) SetNode(i int, addr string, reach Reach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].addr, c.nodes[i].reach = addr, reach
}

// accepting tells whether a request may go to a node. Clients.mu is held.
func (f *nodeState) accepting() bool {
	if f.reach != Draining {
		return f.reach == Reachable
	}
	f.idle = slices.DeleteFunc(f.idle, (*clientConn).hasEnded)
	return len(f.idle) > 0
}

// hasEnded tells whether a connection has ended.
func (k *clientConn) hasEnded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended
}

// Play sends what the plan's needs say, each at its time, until the last or until ctx ends. It returns when the last
// has begun; Wait waits for the rest.
func (c *Clients) Play(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for needs := c.plan.Operations(); ; {
		n, ok := needs.Next()
		if !ok {
			return
		}
		n.At += c.start
		if d := n.At - c.clock.Now(); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.runOperation(ctx, n)
		}()
	}
}

// Wait returns when every request has its end.
func (c *Clients) Wait() { c.wg.Wait() }

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	var all []*clientConn
	for _, n := range c.nodes {
		for k := range n.conns {
			all = append(all, k)
		}
	}
	c.mu.Unlock()
	for _, k := range all {
		k.Close()
		<-k.done
	}
}

// pickNode deals out a node for a client of a site.
func (c *Clients) pickNode(site string) *nodeState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far []*nodeState
	for _, n := range c.nodes {
		switch {
		case !n.accepting():
		case n.Site == site:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[c.rng.IntN(len(near))]
}

// result is how one try ended.
type result struct {
	how        string // served, refused, failed, unreachable, left
	retryAfter time.Duration
}

// runOperation is one client's: its tries, and what became of them.
func (c *Clients) runOperation(ctx context.Context, n plan.Operation) {
	s := c.plan.Scenario
	class := &s.Classes[n.Class]
	rng := rand.New(rand.NewPCG(n.Seed, 5))
	id := func() string { return fmt.Sprintf("%016x", rng.Uint64()) }
	first := id()
	rec := trace.Record{Class: class.Name, Tenant: s.Tenants[n.Tenant].Name, Site: s.Sites[n.Site].Name, Over: n.Over}
	want := rec
	want.Kind, want.T, want.ID = trace.Want, trace.US(n.At), first
	c.out.Add(&want)
	c.Count.Started.Add(1)
	c.Count.Open.Add(1)
	defer c.Count.Open.Add(-1)
	end := n.At + class.Deadline.D()
	idem := fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	key := strconv.FormatUint(rng.Uint64()%100000, 36)
	var res result
	this := first
	rpc := rand.New(rand.NewPCG(n.Seed, 6)).Float64() < s.Clients.RPC
	for try := 0; ; try++ {
		wait := c.plan.TryTimeout(&n, c.clock.Now())
		if wait == 0 {
			break
		}
		chunked := !rpc && class.Effect != "safe" && chunkRand(n.Seed, try).Float64() < s.Clients.Chunked
		t := &clientTry{rpc: rpc, chunked: chunked, op: &n, class: class, id: this, firstID: first, try: try, timeout: wait, key: key, idempotencyKey: idem, rec: rec}
		res = c.attempt(ctx, t)
		pause, retry := c.plan.Retry(&n, try, res.how, res.retryAfter)
		if !retry || ctx.Err() != nil || c.clock.Now()+pause >= end {
			break
		}
		if !timing.Sleep(ctx, pause) {
			break
		}
		this = id()
	}
	took := c.clock.Now() - n.At
	done := rec
	done.Kind, done.T, done.ID, done.How, done.Took = trace.Done, c.clock.us(), first, res.how, trace.US(took)
	c.out.Add(&done)
	switch res.how {
	case "served":
		if took <= class.Aim.D() {
			c.Count.InTime.Add(1)
		} else {
			c.Count.Late.Add(1)
		}
	case "refused":
		c.Count.Refused.Add(1)
	case "unreachable":
		c.Count.Unreachable.Add(1)
	case "left":
		c.Count.Abandoned.Add(1)
	default:
		c.Count.Failed.Add(1)
	}
}

// clientTry is one request.
type clientTry struct {
	op             *plan.Operation
	class          *scenario.Class
	id, firstID    string
	try            int
	timeout        time.Duration
	key            string
	idempotencyKey string
	rpc            bool // it goes as a JSON-RPC call
	chunked        bool // its body goes in chunks
	rec            trace.Record
	conn           *clientConn
	ended          chan tryEnd // holds one
}

// tryEnd is what a connection saw of a request's end.
type tryEnd struct {
	status     int // 0: the connection ended without an answer
	bytes      int64
	retryAfter time.Duration
	why        string
}

// attempt sends a request, once more on a new connection where a kept one had closed, and waits for its end.
func (c *Clients) attempt(ctx context.Context, t *clientTry) result {
	for resend := false; ; resend = true {
		f := c.pickNode(t.rec.Site)
		if f == nil {
			return result{how: "unreachable"}
		}
		conn, reused, err := c.connect(ctx, f, resend || t.op.Once, t.rpc)
		if err != nil {
			return result{how: "unreachable"}
		}
		res, closedUnread := c.exchange(ctx, t, conn, reused, resend)
		if !closedUnread || resend {
			return res
		}
	}
}

// exchange sends a request on a connection. The second result tells that the connection was a kept one that ended
// without a word.
func (c *Clients) exchange(ctx context.Context, t *clientTry, conn *clientConn, reused, resend bool) (result, bool) {
	t.conn, t.ended = conn, make(chan tryEnd, 1)
	rec := t.rec
	rec.ID, rec.Node, rec.Conn = t.id, conn.node.Name, conn.number
	left := time.Duration(0)
	if t.op.Impatient > 0 && t.try == 0 {
		left = t.op.Impatient
	}
	sent := rec
	sent.Kind, sent.T, sent.Of, sent.Try, sent.Wait, sent.Reused, sent.Again = trace.Sent, c.clock.us(), t.firstID, t.try, trace.US(t.timeout), reused, resend
	if t.try == 0 {
		sent.Plan = trace.US(t.op.At)
	}
	if t.chunked {
		sent.How = trace.Chunked
	}
	conn.setCurrent(t)
	c.trackID(conn.node, t.id, true)
	defer c.trackID(conn.node, t.id, false)
	c.out.Add(&sent)
	conn.SetWriteDeadline(time.Now().Add(t.timeout))
	err := t.write(conn, c.bodyPads[t.op.Class])
	expired := time.NewTimer(t.timeout + c.slack + lingerTime)
	defer expired.Stop()
	var leave <-chan time.Time
	if left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		leave = timer.C
	}
	end := rec
	why := ""
	var e tryEnd
	select {
	case e = <-t.ended:
	case <-expired.C:
		why = "time"
	case <-leave:
		why = "impatient"
	case <-ctx.Done():
		why = "over"
	}
	if why != "" {
		if conn.abandon(t) {
			end.Kind, end.T, end.Why = trace.GaveUp, c.clock.us(), why
			c.out.Add(&end)
			conn.Close()
			if why == "time" {
				return result{how: "failed"}, false
			}
			return result{how: "left"}, false
		}
		e = <-t.ended // it came at this moment
	}
	if e.status == 0 {
		conn.Close()
		if err != nil && e.why == "" {
			e.why = err.Error()
		}
		return result{how: "failed"}, reused && e.bytes == 0
	}
	if e.why == "keep" {
		if !t.op.Once { // else it stays open, and nobody uses it
			c.putIdle(conn)
		}
	} else {
		conn.Close()
	}
	switch e.status {
	case 200:
		return result{how: "served"}, false
	case 429, 503:
		return result{how: "refused", retryAfter: e.retryAfter}, false
	}
	return result{how: "failed"}, false
}

// trackID keeps the ids of a node's open requests.
func (c *Clients) trackID(f *nodeState, id string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open {
		f.openIDs = append(f.openIDs, id)
		return
	}
	for i, x := range f.openIDs {
		if x == id {
			f.openIDs = append(f.openIDs[:i], f.openIDs[i+1:]...)
			return
		}
	}
}

// write sends the request, in pieces where its body goes in chunks.
func (t *clientTry) write(to io.Writer, pad string) error {
	var all []string
	if t.rpc {
		all = []string{t.rpcCall(pad)}
	} else {
		head, body := t.httpText(pad)
		all = []string{head + body}
		if t.chunked {
			draws := chunkRand(t.op.Seed, t.try)
			draws.Float64() // told whether it is in chunks
			all = append([]string{head}, encodeChunked(draws, body)...)
		}
	}
	for _, piece := range all {
		if _, err := io.WriteString(to, piece); err != nil {
			return err
		}
	}
	return nil
}

// httpText is the request as PROTOCOL has it: its head and its body.
func (t *clientTry) httpText(pad string) (head, body string) {
	method := "POST"
	if t.class.Effect == "safe" {
		method = "GET"
	} else {
		body = fmt.Sprintf(`{"id":%q,"of":%q,"pad":%q}`, t.id, t.firstID, pad)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api?key=%s&w=%d HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %du\r\n",
		method, t.key, t.op.Work.Microseconds(), t.id, t.class.Name, t.rec.Tenant, t.timeout.Microseconds())
	if t.class.Effect == "keyed" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.idempotencyKey)
	}
	switch {
	case t.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	return b.String(), body
}

// clientConn is a connection to a node. One goroutine reads it for as long as it is open, so that what comes when
// nothing is asked for is seen when it comes.
type clientConn struct {
	net.Conn
	number    int64
	rpc       bool
	clients   *Clients
	node      *nodeState
	used      bool
	idleSince time.Time
	done      chan struct{}

	mu      sync.Mutex
	current *clientTry
	lastID  string // the id of the latest request
	ended   bool
}

// connect returns a connection to a node: one that is kept, unless fresh, or a new one.
func (c *Clients) connect(ctx context.Context, f *nodeState, fresh, rpc bool) (*clientConn, bool, error) {
	c.mu.Lock()
	idle := f.idleConns(rpc)
	for !fresh && len(*idle) > 0 {
		k := (*idle)[len(*idle)-1]
		*idle = (*idle)[:len(*idle)-1]
		if !k.hasEnded() {
			c.mu.Unlock()
			return k, true, nil
		}
	}
	addr := f.addr
	if rpc {
		addr = f.rpcAddr
	}
	full := c.maxConnsPerNode > 0 && len(f.conns)+f.dialing >= c.maxConnsPerNode || f.reach == Draining
	if !full {
		f.dialing++
	}
	c.mu.Unlock()
	if full {
		return nil, false, errConnLimit
	}
	defer func() {
		c.mu.Lock()
		f.dialing--
		c.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	k := &clientConn{Conn: conn, number: c.conns.Add(1), rpc: rpc, clients: c, node: f, done: make(chan struct{})}
	c.mu.Lock()
	f.conns[k] = struct{}{}
	c.mu.Unlock()
	go func() {
		defer close(k.done)
		k.readHTTP()
	}()
	return k, false, nil
}

func (c *Clients) putIdle(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.used, k.idleSince = true, time.Now()
	idle := k.node.idleConns(k.rpc)
	*idle = append(*idle, k)
	// Those that have not been needed for long are closed, the oldest first.
	for len(*idle) > 0 && time.Since((*idle)[0].idleSince) > idleTimeout {
		(*idle)[0].Close()
		*idle = (*idle)[1:]
	}
}

// idleConns are the connections of a protocol that carry nothing. Clients.mu is held.
func (f *nodeState) idleConns(rpc bool) *[]*clientConn {
	if rpc {
		return &f.idleRPC
	}
	return &f.idle
}

func (k *clientConn) setCurrent(t *clientTry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current, k.lastID = t, t.id
}

// abandon takes a request off its connection; false if its end has come.
func (k *clientConn) abandon(t *clientTry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != t {
		return false
	}
	k.current, k.ended = nil, true
	return true
}

// takeCurrent takes the open request, if there is one.
func (k *clientConn) takeCurrent() *clientTry {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.current
	k.current = nil
	return t
}

func (k *clientConn) readHTTP() {
	defer func() {
		k.clients.mu.Lock()
		delete(k.node.conns, k)
		k.clients.mu.Unlock()
		k.Close()
	}()
	counted := &byteCounter{r: k.Conn}
	in := bufio.NewReaderSize(counted, 4096)
	if k.rpc {
		k.readRPC(in, counted)
		return
	}
	for {
		_, err := in.Peek(1)
		first := k.clients.clock.us()
		counted.n = int64(in.Buffered())
		if err == nil {
			k.mu.Lock()
			idle := k.current == nil
			last, dead := k.lastID, k.ended
			k.mu.Unlock()
			if idle {
				if !dead { // we left it: what comes now is nobody's
					k.clients.out.Add(&trace.Record{Kind: trace.Extra, T: first, Node: k.node.Name, Conn: k.number, ID: last, Bytes: int64(in.Buffered())})
				}
				k.handleEnd(err, 0)
				return
			}
		}
		var resp *http.Response
		var body []byte
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		}
		if err != nil {
			k.handleEnd(err, counted.n)
			return
		}
		if resp.StatusCode < 200 { // informational: the answer follows
			continue
		}
		t := k.takeCurrent()
		if t == nil {
			return // its client has left at this moment
		}
		e := tryEnd{status: resp.StatusCode, bytes: counted.n}
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			e.retryAfter = time.Duration(s * float64(time.Second))
		}
		if !resp.Close {
			e.why = "keep"
		}
		k.clients.out.Add(&trace.Record{Kind: trace.Got, T: k.clients.clock.us(), T0: first, Node: k.node.Name, Conn: k.number, ID: t.id,
			Status: resp.StatusCode, Sum: digest(body), Bytes: int64(len(body))})
		t.ended <- e
		if resp.Close {
			return
		}
	}
}

// handleEnd notes the end of a connection for the request that is open on it.
func (k *clientConn) handleEnd(err error, bytes int64) {
	at := k.clients.clock.us()
	k.mu.Lock()
	t := k.current
	k.current, k.ended = nil, true
	k.mu.Unlock()
	if t == nil {
		return
	}
	how := ""
	if errors.Is(err, io.EOF) && bytes == 0 && k.requestWasRead() {
		how = trace.Taken
	}
	why := "closed"
	if err != nil && !errors.Is(err, io.EOF) {
		why = err.Error()
	}
	k.clients.out.Add(&trace.Record{Kind: trace.Broke, T: at, Node: k.node.Name, Conn: k.number, ID: t.id, Bytes: bytes, Why: why, How: how})
	t.ended <- tryEnd{bytes: bytes, why: why}
}

// requestWasRead tells whether the other side, which has closed, had read what was sent. Where it had not, its network answers
// the bytes with a reset (RFC 9293, 3.10.7.1), which comes a moment behind the end. A read tells nothing of it: Linux
// goes on to say that the stream has ended. The socket's pending error does.
func (k *clientConn) requestWasRead() bool {
	time.Sleep(resetWait)
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false // a network that does not tell: in the node's favour
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := -1
	raw.Control(func(fd uintptr) { // an error means that it is closed here
		if e, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err == nil {
			pending = e
		}
	})
	return pending == 0
}

// byteCounter counts the bytes of one answer.
type byteCounter struct {
	r io.Reader
	n int64
}

func (c *byteCounter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
