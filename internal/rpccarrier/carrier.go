package rpccarrier

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/quota"
	"craneglade/policy"
)

// writeTime is how long one call may take to be written.
const writeTime = 2 * time.Second

var (
	errTimeout = errors.New("the attempt's time is up")
	errBroken  = errors.New("the connection broke")
	errNoRoom  = errors.New("no descriptor is left for a connection to a box")
)

// Config is what a carrier is made from.
type Config struct {
	Conns   int // connections to one box at a time
	Quota   *quota.Quota
	Beside  bool // boxes are told a call's id, deadline, key and tenant in a member of the node's own
	Reports bool // answers may hold load reports
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Log     *slog.Logger
}

// Carrier is an engine.Carrier of Calls.
type Carrier struct {
	cfg  Config
	wg   sync.WaitGroup // readers
	next atomic.Uint64  // ids: none comes twice, so that a box that mixes up its connections still answers nobody else

	mu    sync.Mutex
	boxes map[*engine.Backend]*links
	ended bool
}

// links are the connections to a box.
type links struct {
	all     []*link
	dialing int
	dialed  chan struct{} // closed when the next dial has ended
	retired bool
}

// link is one of them.
type link struct {
	net.Conn
	carrier *Carrier
	of      *links

	writing chan struct{} // holds one: whoever takes it writes

	mu     sync.Mutex
	calls  map[string]chan jsonrpc.Message
	heard  uint64 // messages that came
	doubt  bool   // nothing came for the whole of an attempt: no new calls
	broken bool
}

// New returns a carrier with no connection.
func New(cfg Config) *Carrier {
	return &Carrier{cfg: cfg, boxes: map[*engine.Backend]*links{}}
}

// Retire closes the connections to a box that carry nothing, and the others once they carry nothing.
func (n *Carrier) Retire(b *engine.Backend) {
	n.mu.Lock()
	ls := n.boxes[b]
	delete(n.boxes, b)
	var all []*link
	if ls != nil {
		ls.retired = true
		all = append(all, ls.all...)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.done()
	}
}

// Stop closes all connections and returns when nothing reads from them. No attempt may be under way or follow.
func (n *Carrier) Stop() {
	n.mu.Lock()
	n.ended = true
	var all []*link
	for _, ls := range n.boxes {
		all = append(all, ls.all...)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.Close()
	}
	n.wg.Wait()
}

// Carry sends a call once and waits for its answer. A call that was written whole can't be taken back: when its attempt
// ends before, the answer that may still come is dropped. One that was not written whole never ran, and none of it is
// written after Carry has returned.
func (n *Carrier) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.Wait, errTimeout)
	defer cancel()
	c, ok := a.Request.Payload.(*Call)
	if !ok || a.Backend.RPC == "" {
		return engine.Result{Outcome: policy.NeverSent}
	}
	early := func() engine.Result { // it was never sent
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errTimeout) {
			return engine.Result{Outcome: policy.Canceled}
		}
		return engine.Result{Outcome: policy.ConnectFailed}
	}
	l, err := n.link(ctx, a.Backend)
	if errors.Is(err, errNoRoom) || err != nil && !a.MayBegin() {
		return engine.Result{Outcome: policy.NeverSent}
	} else if err != nil {
		return early()
	}
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return early()
	}
	// The moment before its first byte goes out: a drain whose grace ended meanwhile, a client that left or a repeat that comes too late stops it.
	if !a.MayBegin() {
		<-l.writing
		return engine.Result{Outcome: policy.NeverSent}
	}
	if ctx.Err() != nil {
		<-l.writing
		return early()
	}
	until, _ := ctx.Deadline()
	var beside []byte
	member := ""
	if n.cfg.Beside {
		member = extra
		beside, err = json.Marshal(told{Request: c.ID, DeadlineUS: time.Until(until).Microseconds(), Key: c.Key, Tenant: c.Tenant})
	}
	if err != nil {
		<-l.writing
		n.cfg.Log.Warn("a call can't be written", "err", err)
		return engine.Result{Outcome: policy.NeverSent}
	}
	id, answer, heard, ok := l.open()
	if !ok {
		<-l.writing
		return early()
	}
	text := jsonrpc.Append(nil, jsonrpc.Lines, jsonrpc.AppendCall(nil, id, c.Method, c.Params, member, beside))
	last := time.Now().Add(min(writeTime, time.Until(until)))
	if !a.By.IsZero() && a.By.Before(last) {
		last = a.By
	}
	l.SetWriteDeadline(last) // an error shows in Write
	sent, err := l.Write(text)
	<-l.writing
	if err != nil {
		if sent < len(text) {
			l.forget(id)
		}
		l.Close() // a part of a message may stand on it: what follows could not be told apart
		if sent < len(text) {
			return early()
		}
	}
	select {
	case m, ok := <-answer:
		if !ok {
			return engine.Result{Outcome: policy.Reset} // its last byte was written: it may have run
		}
		res, err := judge(&m, n.cfg.Reports)
		if err != nil {
			n.cfg.Log.Debug("an answer makes no sense", "box", a.Backend.ID, "err", err)
		}
		return res
	case <-ctx.Done():
	}
	l.givenUp(id, heard)
	if errors.Is(context.Cause(ctx), errTimeout) {
		return engine.Result{Outcome: policy.TimedOut}
	}
	return engine.Result{Outcome: policy.Canceled}
}

// link returns the connection to a box with the fewest calls, or opens one where all have some and there may be more.
func (n *Carrier) link(ctx context.Context, b *engine.Backend) (*link, error) {
	var ls *links
	var best *link
	for {
		n.mu.Lock()
		if ls = n.boxes[b]; ls == nil {
			ls = &links{dialed: make(chan struct{})}
			n.boxes[b] = ls
		}
		best = nil
		least := 0
		for _, l := range ls.all {
			if calls, ok := l.load(); ok && (best == nil || calls < least) {
				best, least = l, calls
			}
		}
		full := len(ls.all)+ls.dialing >= n.cfg.Conns
		if best != nil && (least == 0 || full) {
			n.mu.Unlock()
			return best, nil
		}
		if !full || ls.dialing == 0 { // or those that there are take no more calls
			ls.dialing++
			n.mu.Unlock()
			break
		}
		dialed := ls.dialed
		n.mu.Unlock()
		select { // others' dials are under way: one of them will do
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
	if n.ended || ls.retired {
		l.Close()
		n.cfg.Quota.Give()
		return nil, errBroken
	}
	ls.all = append(ls.all, l)
	n.wg.Go(l.read)
	return l, nil
}

func (n *Carrier) connect(ctx context.Context, ls *links, addr string) (*link, error) {
	if !n.cfg.Quota.Claim(nil) {
		return nil, errNoRoom
	}
	conn, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		n.cfg.Quota.Give()
		return nil, err
	}
	return &link{Conn: conn, carrier: n, of: ls, writing: make(chan struct{}, 1), calls: map[string]chan jsonrpc.Message{}}, nil
}

// load is how many calls a link carries, and whether it takes more.
func (l *link) load() (calls int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls), !l.broken && !l.doubt
}

// open makes an id for a call that nobody else has on this connection.
func (l *link) open() (id string, answer <-chan jsonrpc.Message, heard uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return "", nil, 0, false
	}
	id = strconv.FormatUint(l.carrier.next.Add(1), 36)
	c := make(chan jsonrpc.Message, 1)
	l.calls[id] = c
	return id, c, l.heard, true
}

func (l *link) forget(id string) {
	l.mu.Lock()
	delete(l.calls, id)
	l.mu.Unlock()
	l.done()
}

// givenUp forgets a call whose answer nobody waits for any more. Where nothing came back on the connection since it was
// sent, its machine may be gone: it is not trusted with another.
func (l *link) givenUp(id string, heard uint64) {
	l.mu.Lock()
	delete(l.calls, id)
	l.doubt = l.doubt || l.heard == heard
	l.mu.Unlock()
	l.done()
}

// done closes a connection that carries nothing and will not.
func (l *link) done() {
	l.carrier.mu.Lock()
	retired := l.of.retired
	l.carrier.mu.Unlock()
	l.mu.Lock()
	over := len(l.calls) == 0 && (retired || l.doubt)
	l.mu.Unlock()
	if over {
		l.Close()
	}
}

// read hands answers to their calls until the connection ends; then every call that is left on it may have run.
func (l *link) read() {
	in := jsonrpc.NewReader(bufio.NewReader(l.Conn))
	for {
		frame, err := in.Next()
		if err != nil {
			break
		}
		members, _, err := jsonrpc.Split(frame)
		if err != nil {
			l.carrier.cfg.Log.Debug("a box sends what is no JSON", "err", err)
			break // what follows can't be trusted
		}
		for _, v := range members {
			l.answer(jsonrpc.Parse(v, extra))
		}
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
	for i, x := range l.of.all {
		if x == l {
			l.of.all = append(l.of.all[:i], l.of.all[i+1:]...)
			break
		}
	}
	n.mu.Unlock()
	n.cfg.Quota.Give()
}

// answer hands a message to its call. One of no open call is dropped: an answer that came late, or twice.
func (l *link) answer(m jsonrpc.Message, err error) {
	id, ok := jsonrpc.Text(m.ID)
	l.mu.Lock()
	l.heard++
	c := l.calls[id]
	if ok && c != nil {
		delete(l.calls, id)
		if err != nil || m.Result == nil && m.Error == nil {
			close(c) // it is for this call and can't be its answer: it may have run
		} else {
			c <- m
		}
	}
	l.mu.Unlock()
	if !ok || c == nil {
		l.carrier.cfg.Log.Debug("an answer that nobody waits for", "err", err)
		return
	}
	l.done()
}
