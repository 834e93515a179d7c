package rpccarrier

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/quota"
	"craneglade/internal/sock"
	"craneglade/internal/timing"
	"craneglade/policy"
)

// writeTimeout is how long writing one call may take.
const writeTimeout = 2 * time.Second

// maxNesting is the number of levels to which a backend's answer may be nested. A deeper one ends its connection.
const maxNesting = 1000

var (
	errTimeout      = errors.New("attempt timed out")
	errConnClosed   = errors.New("connection closed")
	errNoDescriptor = errors.New("no descriptor is left for a connection to a backend")
	errStopped      = errors.New("nothing may be written to the backend any more")
)

// Config configures a Carrier.
type Config struct {
	MaxConnsPerBackend int          // concurrent connections to one backend
	Quota              *quota.Quota // descriptors for backend connections
	SendMetadata       bool         // send backends the id, deadline, key and tenant of a call in an additional member
	AcceptLoadReports  bool         // evaluate load reports in answers
	Dial               func(ctx context.Context, addr string) (net.Conn, error)
	Work               *timing.SharedWork // of connections on which backends send what was not asked for
	Log                *slog.Logger
}

// Carrier implements engine.Carrier for requests of type *Call.
type Carrier struct {
	cfg Config
	wg  sync.WaitGroup // read goroutines
	// lastID starts at random: ids are unique over all connections, also those of other nodes and of an earlier process of this one,
	// so that a backend that mixes up connections can't answer another call.
	lastID atomic.Uint64

	mu       sync.Mutex
	backends map[*engine.Backend]*backendLinks
	stopped  bool
}

// backendLinks are the connections to a backend.
type backendLinks struct {
	all     []*link
	dialing int
	dialed  chan struct{} // closed when a dial has ended, and replaced
	retired bool
}

// link is a connection to a backend.
type link struct {
	net.Conn
	carrier  *Carrier
	backend  *backendLinks
	openedAt time.Time

	writing chan struct{} // write lock, capacity 1

	mu       sync.Mutex
	calls    map[string]chan jsonrpc.Message
	received uint64 // number of messages received
	suspect  bool   // nothing was received during a whole attempt: takes no new calls
	broken   bool
}

// New returns a carrier without connections.
func New(cfg Config) *Carrier {
	n := &Carrier{cfg: cfg, backends: map[*engine.Backend]*backendLinks{}}
	n.lastID.Store(rand.Uint64())
	return n
}

// Retire closes the connections to a backend that have no open call, and the others once they have none.
func (n *Carrier) Retire(b *engine.Backend) {
	n.mu.Lock()
	ls := n.backends[b]
	delete(n.backends, b)
	var all []*link
	if ls != nil {
		ls.retired = true
		all = append(all, ls.all...)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.closeIfUnused()
	}
}

// Stop closes all connections and waits for their read goroutines. No attempt may be in flight or follow.
func (n *Carrier) Stop() {
	n.mu.Lock()
	n.stopped = true
	var all []*link
	for _, ls := range n.backends {
		all = append(all, ls.all...)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.Close()
	}
	n.wg.Wait()
}

// Carry sends a call once and waits for its answer. A call that was written completely can't be cancelled: if its attempt
// ends first, an answer that arrives later is dropped. A call that was not written completely never ran, and no part of it is
// written after Carry has returned.
func (n *Carrier) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.Timeout, errTimeout)
	defer cancel()
	c, ok := a.Request.Payload.(*Call)
	if !ok || a.Backend.RPC == "" {
		return engine.Result{Outcome: policy.NeverSent}
	}
	start := time.Now()
	l, err := n.acquire(ctx, a.Backend)
	if errors.Is(err, errNoDescriptor) || err != nil && !a.MayStart() {
		return engine.Result{Outcome: policy.NeverSent}
	} else if err != nil {
		res := notSent(ctx)
		if res.Outcome == policy.ConnectFailed {
			res.DialFailedAt, res.Refused = start, sock.IsRefused(err)
		}
		return res
	}
	res := n.call(ctx, a, c, l)
	res.ConnectedAt = l.openedAt
	return res
}

// notSent returns the result for a call that was not written completely.
func notSent(ctx context.Context) engine.Result {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errTimeout) {
		return engine.Result{Outcome: policy.Canceled}
	}
	return engine.Result{Outcome: policy.ConnectFailed}
}

// call sends a call on a connection and waits for its answer.
func (n *Carrier) call(ctx context.Context, a *engine.Attempt, c *Call, l *link) engine.Result {
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return notSent(ctx)
	}
	// Last check before the first byte: the drain grace or the time for repeats may have ended meanwhile, or the client may have
	// disconnected.
	if !a.MayStart() {
		<-l.writing
		return engine.Result{Outcome: policy.NeverSent}
	}
	if ctx.Err() != nil {
		<-l.writing
		return notSent(ctx)
	}
	until, _ := ctx.Deadline()
	var metadata []byte
	var err error
	member := ""
	if n.cfg.SendMetadata {
		member = metadataMember
		metadata, err = json.Marshal(requestMetadata{Request: c.ID, DeadlineUS: time.Until(until).Microseconds(), Key: c.Key, Tenant: c.Tenant})
	}
	if err != nil {
		<-l.writing
		n.cfg.Log.Warn("can't encode call", "err", err)
		return engine.Result{Outcome: policy.NeverSent}
	}
	id, answer, receivedBefore, ok := l.register()
	if !ok {
		<-l.writing
		return notSent(ctx)
	}
	text := jsonrpc.AppendFrame(nil, jsonrpc.Lines, jsonrpc.AppendCall(nil, id, c.Method, c.Params, member, metadata))
	writeDeadline := time.Now().Add(min(writeTimeout, time.Until(until)))
	if !a.WriteDeadline.IsZero() && a.WriteDeadline.Before(writeDeadline) {
		writeDeadline = a.WriteDeadline
	}
	l.SetWriteDeadline(writeDeadline) // an error shows up in Write
	sent, err := l.Write(text)
	<-l.writing
	if err != nil {
		if sent < len(text) {
			l.forget(id)
		}
		l.Close() // part of a message may be written: nothing can follow it
		if sent < len(text) {
			return notSent(ctx)
		}
	}
	select {
	case m, ok := <-answer:
		if !ok {
			return engine.Result{Outcome: policy.Reset} // its last byte was written: it may have run
		}
		res, err := classify(&m, n.cfg.AcceptLoadReports)
		if err != nil {
			n.cfg.Log.Debug("invalid answer or load report", "box", a.Backend.ID, "err", err)
		}
		return res
	case <-ctx.Done():
	}
	l.abandon(id, receivedBefore)
	if errors.Is(context.Cause(ctx), errTimeout) {
		return engine.Result{Outcome: policy.TimedOut}
	}
	return engine.Result{Outcome: policy.Canceled}
}

// acquire returns the connection to a backend with the fewest calls. It opens another one if all have calls and the limit
// allows it.
func (n *Carrier) acquire(ctx context.Context, b *engine.Backend) (*link, error) {
	var ls *backendLinks
	var best *link
	for {
		n.mu.Lock()
		if b.WritesStopped() { // also after Retire, so that nothing is kept for it again
			n.mu.Unlock()
			return nil, errStopped
		}
		if ls = n.backends[b]; ls == nil {
			ls = &backendLinks{dialed: make(chan struct{})}
			n.backends[b] = ls
		}
		best = nil
		minCalls := 0
		for _, l := range ls.all {
			if calls, ok := l.openCalls(); ok && (best == nil || calls < minCalls) {
				best, minCalls = l, calls
			}
		}
		full := len(ls.all)+ls.dialing >= n.cfg.MaxConnsPerBackend
		if best != nil && (minCalls == 0 || full) {
			n.mu.Unlock()
			return best, nil
		}
		if !full || ls.dialing == 0 { // also above the limit, if no connection takes calls and no dial is under way
			ls.dialing++
			n.mu.Unlock()
			break
		}
		dialed := ls.dialed
		n.mu.Unlock()
		select { // wait for a dial that is under way and use its connection
		case <-dialed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	l, err := n.connect(ctx, ls, b.RPC)
	n.mu.Lock()
	defer n.mu.Unlock()
	ls.dialing--
	close(ls.dialed)
	ls.dialed = make(chan struct{})
	if err != nil {
		if best != nil {
			return best, nil
		}
		return nil, err
	}
	if n.stopped || ls.retired {
		l.Close()
		n.cfg.Quota.Release()
		return nil, errConnClosed
	}
	ls.all = append(ls.all, l)
	n.wg.Go(l.read)
	return l, nil
}

// connect opens a connection within the descriptor quota.
func (n *Carrier) connect(ctx context.Context, ls *backendLinks, addr string) (*link, error) {
	if !n.cfg.Quota.AcquireOrReclaim(nil) {
		return nil, errNoDescriptor
	}
	conn, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		n.cfg.Quota.Release()
		return nil, err
	}
	return &link{Conn: conn, carrier: n, backend: ls, openedAt: time.Now(), writing: make(chan struct{}, 1), calls: map[string]chan jsonrpc.Message{}}, nil
}

// openCalls returns the number of open calls on a link and whether it takes more.
func (l *link) openCalls() (calls int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls), !l.broken && !l.suspect
}

// register adds a call with a new id. It fails if the connection is broken.
func (l *link) register() (id string, answer <-chan jsonrpc.Message, received uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return "", nil, 0, false
	}
	id = strconv.FormatUint(l.carrier.lastID.Add(1), 36)
	c := make(chan jsonrpc.Message, 1)
	l.calls[id] = c
	return id, c, l.received, true
}

// forget removes a call that was not written completely.
func (l *link) forget(id string) {
	l.mu.Lock()
	delete(l.calls, id)
	l.mu.Unlock()
	l.closeIfUnused()
}

// abandon removes a call whose answer is no longer awaited. If nothing was received on the connection since the call was
// sent, the backend's machine may be unreachable, and the link takes no new calls.
func (l *link) abandon(id string, receivedBefore uint64) {
	l.mu.Lock()
	delete(l.calls, id)
	l.suspect = l.suspect || l.received == receivedBefore
	l.mu.Unlock()
	l.closeIfUnused()
}

// closeIfUnused closes a connection that has no open call and takes no new ones.
func (l *link) closeIfUnused() {
	l.carrier.mu.Lock()
	retired := l.backend.retired
	l.carrier.mu.Unlock()
	l.mu.Lock()
	unused := len(l.calls) == 0 && (retired || l.suspect)
	l.mu.Unlock()
	if unused {
		l.Close()
	}
}

// read delivers answers to their calls until the connection ends. The calls still open then may have run.
func (l *link) read() {
	reads := l.fairReader()
	in := jsonrpc.NewReader(bufio.NewReader(reads))
	in.MaxNesting = maxNesting
	for {
		frame, err := in.Next()
		if err != nil {
			break
		}
		members, _, err := jsonrpc.Split(frame)
		if err != nil {
			l.carrier.cfg.Log.Debug("backend sent invalid JSON", "err", err)
			break // the start of the next frame is unknown
		}
		for _, v := range members {
			if l.deliver(jsonrpc.Parse(v, metadataMember)) {
				reads.DropRequest()
			}
		}
		reads.EndRequest(in.Buffered())
	}
	l.Close()
	l.mu.Lock()
	l.broken = true
	for id, c := range l.calls {
		close(c)
		delete(l.calls, id)
	}
	l.mu.Unlock()
	n := l.carrier
	n.mu.Lock()
	for i, x := range l.backend.all {
		if x == l {
			l.backend.all = append(l.backend.all[:i], l.backend.all[i+1:]...)
			break
		}
	}
	n.mu.Unlock()
	n.cfg.Quota.Release()
}

// fairReader returns the reader of the connection. Only messages that answer no call count as work.
func (l *link) fairReader() *timing.FairReader {
	probe := sock.NewPeeker(l.Conn)
	return &timing.FairReader{Source: l.Conn, Shared: l.carrier.cfg.Work,
		HasInput: func() bool { return probe.Pending() == sock.Readable },
		Ending:   func() bool { return probe.Peer() == sock.PeerClosed }}
}

// deliver passes a message to its call, and reports whether there is one. An answer without an open call, late or duplicate, is dropped.
func (l *link) deliver(m jsonrpc.Message, err error) (expected bool) {
	id, ok := jsonrpc.Text(m.ID)
	l.mu.Lock()
	l.received++
	c := l.calls[id]
	if ok && c != nil {
		delete(l.calls, id)
		if err != nil || m.Result == nil && m.Error == nil {
			close(c) // not a valid answer to this call, which may have run
		} else {
			c <- m
		}
	}
	l.mu.Unlock()
	if !ok || c == nil {
		l.carrier.cfg.Log.Debug("dropped an answer without an open call", "err", err)
		return false
	}
	l.closeIfUnused()
	return true
}
