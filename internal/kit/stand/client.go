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
	// Clients keep the connection for longer than their timeout, so that a late response can be told from none.
	lingerTime       = 200 * time.Millisecond
	connectTimeout   = time.Second
	idleTimeout      = 30 * time.Second
	resetWait        = 10 * time.Millisecond // time for a reset to arrive after the end of the stream
	badClientTimeout = 3 * time.Second       // within which the node has to answer a bad client with an error or disconnect it
)

var errConnLimit = errors.New("the limit of connections to this node is reached")

// Clients are all clients of a rehearsal, with the load balancer that distributes their connections over the nodes.
type Clients struct {
	plan            *plan.Plan
	dial            Dial
	clock           Clock
	out             *trace.Writer
	slack           time.Duration
	start           time.Duration
	maxConnsPerNode int // 0: no limit
	wg              sync.WaitGroup
	conns           atomic.Int64
	Count           Counts

	mu       sync.Mutex
	nodes    []*nodeState
	rng      *rand.Rand
	bodyPads []string // by class, the padding of a body
}

// Counts are totals since the start, for progress displays.
type Counts struct {
	Started, InTime, Late, Refused, Failed, Unreachable, Abandoned atomic.Int64
	Open                                                           atomic.Int64
}

// Reach says how clients can reach a node.
type Reach uint8

const (
	Unreachable Reach = iota // not at all
	Reachable                // over existing and new connections
	Draining                 // only over existing connections, while these stay open
)

// nodeState is what the clients know of a node.
type nodeState struct {
	trace.Node
	addr    string
	rpcAddr string
	reach   Reach
	idle    []*clientConn
	idleRPC []*clientConn

	dialing int
	conns   map[*clientConn]struct{}
	openIDs []string // ids of open requests, the latest last; bad clients reuse one
}

// NewClients returns the clients of a plan. slack is how long after its client's deadline a response still counts.
func NewClients(p *plan.Plan, nodes []trace.Node, dial Dial, clock Clock, out *trace.Writer, slack time.Duration) *Clients {
	c := &Clients{plan: p, dial: dial, clock: clock, out: out, slack: slack, maxConnsPerNode: p.Scenario.Clients.MaxConns, rng: rand.New(rand.NewPCG(p.Seed, 4))}
	for _, n := range nodes {
		c.nodes = append(c.nodes, &nodeState{Node: n, conns: map[*clientConn]struct{}{}})
	}
	for _, k := range p.Scenario.Classes {
		c.bodyPads = append(c.bodyPads, strings.Repeat("window ", max(0, k.Bytes-60)/7+1))
	}
	return c
}

// SetStart sets the moment, since the start of the rehearsal, at which the plan starts. It must be called before Play.
func (c *Clients) SetStart(at time.Duration) { c.start = at }

// SetNode sets a node's address and how clients can reach it.
func (c *Clients) SetNode(i int, addr string, reach Reach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].addr, c.nodes[i].reach = addr, reach
}

// accepting reports whether a request may go to the node. The caller holds Clients.mu.
func (f *nodeState) accepting() bool {
	if f.reach != Draining {
		return f.reach == Reachable
	}
	f.idle = slices.DeleteFunc(f.idle, (*clientConn).hasEnded)
	return len(f.idle) > 0
}

// hasEnded reports whether the connection has ended.
func (k *clientConn) hasEnded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended
}

// Play starts the plan's operations, each at its time, until the last or until ctx is done. It returns when the last one
// has started; Wait waits until they have ended.
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

// Wait returns when every operation and every bad client has ended.
func (c *Clients) Wait() { c.wg.Wait() }

// Close closes all connections and waits for their readers.
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

// pickNode returns a random node of the site, or of another site if none there is accepting; nil if there is none.
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

// result is how one try ended for its client.
type result struct {
	how        string // served, refused, failed, unreachable, left
	retryAfter time.Duration
}

// runOperation runs one client's operation: its tries, and the records of its start and end.
func (c *Clients) runOperation(ctx context.Context, n plan.Operation) {
	s := c.plan.Scenario
	class := &s.Classes[n.Class]
	rng := rand.New(rand.NewPCG(n.Seed, 5))
	id := func() string { return fmt.Sprintf("%016x", rng.Uint64()) }
	first := id()
	rec := trace.Record{Class: class.Name, Tenant: s.Tenants[n.Tenant].Name, Site: s.Sites[n.Site].Name, OverQuota: n.Over}
	want := rec
	want.Kind, want.T, want.ID = trace.Planned, trace.Microseconds(n.At), first
	c.out.Add(&want)
	c.Count.Started.Add(1)
	c.Count.Open.Add(1)
	defer c.Count.Open.Add(-1)
	end := n.At + class.Deadline.D()
	idem := fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	key := strconv.FormatUint(rng.Uint64()%100000, 36)
	var res result
	this := first
	rpc := rand.New(rand.NewPCG(n.Seed, 6)).Float64() < s.Clients.JSONRPC
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
	done.Kind, done.T, done.ID, done.How, done.Took = trace.Done, c.clock.us(), first, res.how, trace.Microseconds(took)
	c.out.Add(&done)
	switch res.how {
	case "served":
		if took <= class.LatencyTarget.D() {
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

// clientTry is one try of an operation, with a request id of its own.
type clientTry struct {
	op             *plan.Operation
	class          *scenario.Class
	id, firstID    string
	try            int
	timeout        time.Duration
	key            string
	idempotencyKey string
	rpc            bool // sent as a JSON-RPC call
	chunked        bool // body sent in chunks
	rec            trace.Record
	conn           *clientConn
	ended          chan tryEnd // has room for one
}

// tryEnd is how a request ended on its connection.
type tryEnd struct {
	status     int // 0: the connection ended without a response
	bytes      int64
	retryAfter time.Duration
	why        string
}

// attempt sends a request and waits for its end. If a reused connection ended without a byte of a response, the request
// is sent once more, on a new connection.
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

// exchange sends a request on a connection and waits for its end. The second result reports that the connection was a
// reused one that ended without a byte of a response.
func (c *Clients) exchange(ctx context.Context, t *clientTry, conn *clientConn, reused, resend bool) (result, bool) {
	t.conn, t.ended = conn, make(chan tryEnd, 1)
	rec := t.rec
	rec.ID, rec.Node, rec.Conn = t.id, conn.node.Name, conn.number
	left := time.Duration(0)
	if t.op.Impatient > 0 && t.try == 0 {
		left = t.op.Impatient
	}
	sent := rec
	sent.Kind, sent.T, sent.FirstID, sent.Try, sent.Timeout, sent.Reused, sent.Resent = trace.Sent, c.clock.us(), t.firstID, t.try, trace.Microseconds(t.timeout), reused, resend
	if t.try == 0 {
		sent.PlannedAt = trace.Microseconds(t.op.At)
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
		e = <-t.ended // the end came just now
	}
	if e.status == 0 {
		conn.Close()
		if err != nil && e.why == "" {
			e.why = err.Error()
		}
		return result{how: "failed"}, reused && e.bytes == 0
	}
	if e.why == "keep" {
		if !t.op.Once { // the connection of a one-shot client stays open, unused
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

// trackID adds an id to a node's open requests, or removes it.
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

// write sends the request, in several pieces if its body is chunked.
func (t *clientTry) write(to io.Writer, pad string) error {
	var all []string
	if t.rpc {
		all = []string{t.rpcCall(pad)}
	} else {
		head, body := t.httpText(pad)
		all = []string{head + body}
		if t.chunked {
			draws := chunkRand(t.op.Seed, t.try)
			draws.Float64() // skips the draw that decided to send chunks
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

// httpText returns the head and the body of the HTTP request.
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

// clientConn is a connection to a node. A goroutine reads it for as long as it is open, so that bytes that arrive with
// no request open are noticed at once.
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
	lastID  string // id of the latest request
	ended   bool
}

// connect returns a connection to a node and whether it is reused: an idle one unless fresh is set, else a new one.
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

// putIdle makes a connection available for reuse.
func (c *Clients) putIdle(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.used, k.idleSince = true, time.Now()
	idle := k.node.idleConns(k.rpc)
	*idle = append(*idle, k)
	// Connections idle for longer than idleTimeout are closed, the oldest first.
	for len(*idle) > 0 && time.Since((*idle)[0].idleSince) > idleTimeout {
		(*idle)[0].Close()
		*idle = (*idle)[1:]
	}
}

// idleConns returns the list of idle connections of a protocol. The caller holds Clients.mu.
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

// abandon detaches a request from its connection and marks the connection as ended. It returns false if the request
// has ended.
func (k *clientConn) abandon(t *clientTry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != t {
		return false
	}
	k.current, k.ended = nil, true
	return true
}

// takeCurrent detaches and returns the open request; nil if there is none.
func (k *clientConn) takeCurrent() *clientTry {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.current
	k.current = nil
	return t
}

// readHTTP reads responses until the connection ends; it passes a JSON-RPC connection to readRPC.
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
				if !dead { // after the client disconnected, late bytes are expected
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
		if resp.StatusCode < 200 { // informational: the final response follows
			continue
		}
		t := k.takeCurrent()
		if t == nil {
			return // the client has just disconnected
		}
		e := tryEnd{status: resp.StatusCode, bytes: counted.n}
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			e.retryAfter = time.Duration(s * float64(time.Second))
		}
		if !resp.Close {
			e.why = "keep"
		}
		k.clients.out.Add(&trace.Record{Kind: trace.Got, T: k.clients.clock.us(), T0: first, Node: k.node.Name, Conn: k.number, ID: t.id,
			Status: resp.StatusCode, Digest: digest(body), Bytes: int64(len(body))})
		t.ended <- e
		if resp.Close {
			return
		}
	}
}

// handleEnd marks the connection as ended and, if a request is open on it, records that it broke.
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
		how = trace.RequestRead
	}
	why := "closed"
	if err != nil && !errors.Is(err, io.EOF) {
		why = err.Error()
	}
	k.clients.out.Add(&trace.Record{Kind: trace.Broke, T: at, Node: k.node.Name, Conn: k.number, ID: t.id, Bytes: bytes, Why: why, How: how})
	t.ended <- tryEnd{bytes: bytes, why: why}
}

// requestWasRead reports whether the other side, which has closed the connection, had read what was sent. If it had
// not, its kernel answers the bytes with a reset (RFC 9293, section 3.10.7.1) shortly after the end of the stream. Reads
// on Linux still return the end of the stream then; only the socket's pending error shows the reset.
func (k *clientConn) requestWasRead() bool {
	time.Sleep(resetWait)
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return false // unknown on other kinds of connections: assume the case that is no fault of the node
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := -1
	raw.Control(func(fd uintptr) { // an error means that the socket is closed on this side
		if e, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err == nil {
			pending = e
		}
	})
	return pending == 0
}

// byteCounter counts the bytes of one response.
type byteCounter struct {
	r io.Reader
	n int64
}

func (c *byteCounter) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
