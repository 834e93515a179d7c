// Package rpcfront answers clients over JSON-RPC 2.0 on TCP: it reads calls, hands each to the engine, and writes the one
// answer of each. Calls of one connection run side by side and are answered as they finish.
package rpcfront

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/quota"
	"craneglade/internal/rpccarrier"
	"craneglade/internal/sock"
	"craneglade/policy"
)

// The codes of errors that are the node's own, beside those of the specification. docs/operators/jsonrpc.md lists them.
const (
	Refused = -32001 // nothing has run, or may run again without harm
	Failed  = -32002 // it may have run
)

const (
	acceptAfterShutdown = 500 * time.Millisecond // after the node is told to end
	backlogTimeout      = 200 * time.Millisecond // and longer, where connections wait to be accepted
	acceptRetryDelay    = 5 * time.Millisecond   // after an error of accept that says nothing of the listener
	frameTimeout        = 2500 * time.Millisecond
	firstByteTimeout    = 10 * time.Second // for the first byte on a new connection
	writeTimeout        = 2 * time.Second
	lingerTimeout       = 100 * time.Millisecond
	lingerBytes         = 256 << 10
	refuseRetryAfter    = 250 * time.Millisecond
)

// Method is what the settings say of a method.
type Method struct {
	Class         string
	ClientTimeout time.Duration    // of a call that tells none
	Tenant        jsontext.Pointer // RFC 6901, into params; "" for none
	Key           jsontext.Pointer
	Deadline      jsontext.Pointer // to a number of milliseconds
}

// Config is what a front is made from.
type Config struct {
	Engine      *engine.Engine
	Quota       *quota.Quota
	Methods     map[string]Method
	MaxInflight int           // open calls on one connection; with more, nothing is read from it
	MaxBatch    int           // members of a batch at the most
	IdleTimeout time.Duration // a connection with no open call is closed after so long
	Log         *slog.Logger
}

// Front is the connections of this node's JSON-RPC clients.
type Front struct {
	cfg          Config
	shuttingDown atomic.Bool
	lastCall     atomic.Uint64 // of calls
	wg           sync.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]struct{}
	idleConns list.List // of *conn: those with no open call, the longest first
}

// New returns a front that answers nobody yet.
func New(cfg Config) *Front { return &Front{cfg: cfg, conns: map[*conn]struct{}{}} }

// conn is one connection of a client.
type conn struct {
	net.Conn
	front   *Front
	slots   chan struct{} // one for each open call
	writing sync.Mutex
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	// Guarded by Front.mu.
	idleElement   *list.Element // in rest
	hasDescriptor bool          // it has a descriptor of the room

	mu        sync.Mutex
	openIDs   map[string]bool // ids of open calls, as they came
	openCalls int             // open calls
	closing   bool            // it ends once no call is open
	framing   jsonrpc.Framing
}

// Serve answers clients on ln until ctx ends, and then, as the engine's departure has it, until all that was taken is
// answered. Calls that come after ctx has ended are refused, which is harmless.
func (f *Front) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- f.accept(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve JSON-RPC: %w", err)
	case <-ctx.Done():
	}
	shutdown := f.cfg.Engine.Shutdown(time.Now())
	f.shuttingDown.Store(true)
	time.Sleep(time.Until(shutdown.Begun.Add(acceptAfterShutdown)))
	err := sock.CloseListener(ln, backlogTimeout)
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	f.forEach((*conn).closeWhenIdle)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.wg.Wait()
	}()
	select {
	case <-done:
		return err
	case <-time.After(time.Until(shutdown.Begun.Add(shutdown.Last))):
	}
	f.forEach(func(c *conn) { c.Close() })
	<-done
	return err
}

// ShuttingDown tells whether the front was told to end.
func (f *Front) ShuttingDown() bool { return f.shuttingDown.Load() }

func (f *Front) forEach(do func(*conn)) {
	f.mu.Lock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

func (f *Front) accept(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if !sock.AcceptGoesOn(err) {
				return err
			}
			f.cfg.Log.Debug("a connection was not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: nc, front: f, slots: make(chan struct{}, f.cfg.MaxInflight), openIDs: map[string]bool{}}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if !f.cfg.Quota.Claim(f.EvictIdle) {
			c.write(jsonrpc.AppendError(nil, jsonrpc.Null, Refused, "no room for a connection", refusalData(refuseRetryAfter)))
			c.Close()
			continue
		}
		f.mu.Lock()
		f.conns[c], c.hasDescriptor = struct{}{}, true
		c.idleElement = f.idleConns.PushBack(c)
		f.mu.Unlock()
		f.wg.Go(func() {
			c.serve()
			c.cancel() // the client is gone: what is open is given up
			c.calls.Wait()
			c.Close()
			f.mu.Lock()
			delete(f.conns, c)
			f.release(c)
			f.mu.Unlock()
		})
	}
}

// EvictIdle closes the connection that has had no open call for longest, for another's sake, and tells whether there was one.
func (f *Front) EvictIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.idleConns.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*conn)
	f.release(c)
	c.Close()
	return true
}

// release takes a connection off those that rest and gives its descriptor back. f.mu is held.
func (f *Front) release(c *conn) {
	f.markBusy(c)
	if c.hasDescriptor {
		c.hasDescriptor = false
		f.cfg.Quota.Give()
	}
}

// markBusy takes a connection off those that rest. f.mu is held.
func (f *Front) markBusy(c *conn) {
	if c.idleElement != nil {
		f.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// closeWhenIdle has a connection end once no call on it is open.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.openCalls == 0 {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// callStarted counts an open call; done is its end.
func (c *conn) callStarted() {
	c.mu.Lock()
	c.openCalls++
	first := c.openCalls == 1
	c.mu.Unlock()
	if first {
		c.front.mu.Lock()
		c.front.markBusy(c)
		c.front.mu.Unlock()
	}
}

func (c *conn) callDone() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCalls--; c.openCalls > 0 {
		return
	}
	if c.hasDescriptor && c.idleElement == nil {
		c.idleElement = f.idleConns.PushBack(c)
	}
	if c.closing {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadDeadline bounds reading, unless the connection is to end.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.openCalls > 0 {
		c.SetReadDeadline(t)
	}
}

// serve reads calls until the connection ends, or what came can't be told apart any more.
func (c *conn) serve() {
	in := bufio.NewReader(c.Conn)
	r := jsonrpc.NewReader(in)
	for first := true; ; first = false {
		wait := c.front.cfg.IdleTimeout
		if first {
			wait = firstByteTimeout
		}
		c.setReadDeadline(time.Now().Add(wait))
		if err := r.Wait(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.mu.Lock()
				busy := c.openCalls > 0 && !c.closing
				c.mu.Unlock()
				if busy { // it waits for answers: that is no idleness
					continue
				}
			}
			return
		}
		arrived := time.Now()
		c.setReadDeadline(arrived.Add(frameTimeout))
		frame, err := r.Next()
		c.mu.Lock()
		c.framing = r.Framing()
		c.mu.Unlock()
		var members []jsontext.Value
		batch := false
		if err == nil {
			members, batch, err = jsonrpc.Split(frame)
		}
		if err != nil {
			// What follows can't be told from the rest of this: the connection ends, after what is open is answered.
			c.write(jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.ParseError, "Parse error", quote(err.Error())))
			c.calls.Wait()
			c.linger()
			return
		}
		if !batch {
			c.single(members[0], arrived)
			continue
		}
		c.batch(members, arrived)
	}
}

// linger lets a client read its last answer: closing resets a connection on which something is unread, and with it what
// the client has not read.
func (c *conn) linger() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// single answers a message that stands by itself.
func (c *conn) single(v jsontext.Value, arrived time.Time) {
	call, id, errAnswer := c.parse(v, arrived)
	if errAnswer != nil {
		c.write(errAnswer)
		return
	}
	c.start(call, id, func(answer []byte) {
		if answer != nil {
			c.write(answer)
		}
	})
}

// batch answers the members of a batch with one array, in time for the shortest deadline that it holds; members that are
// late for that fail alone.
func (c *conn) batch(members []jsontext.Value, arrived time.Time) {
	f := c.front
	if len(members) == 0 || len(members) > f.cfg.MaxBatch {
		c.write(jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.MaxBatch))))
		return
	}
	b := &batchAnswer{conn: c, pending: 1, parts: make([][]byte, len(members))}
	type startedCall struct {
		call *rpccarrier.Call
		id   jsontext.Value
		at   int
	}
	var calls []startedCall
	shortest := time.Duration(0)
	for i, v := range members {
		call, id, errAnswer := c.parse(v, arrived)
		if errAnswer != nil {
			b.parts[i] = errAnswer
			continue
		}
		if shortest == 0 || call.Patience < shortest {
			shortest = call.Patience
		}
		calls = append(calls, startedCall{call, id, i})
	}
	for _, x := range calls {
		x.call.Patience = shortest
		b.addPending()
		c.start(x.call, x.id, func(answer []byte) { b.set(x.at, answer) })
	}
	b.set(-1, nil)
}

// batchAnswer collects those of a batch.
type batchAnswer struct {
	conn    *conn
	mu      sync.Mutex
	pending int
	parts   [][]byte // nil for what is owed no answer
}

func (b *batchAnswer) addPending() {
	b.mu.Lock()
	b.pending++
	b.mu.Unlock()
}

func (b *batchAnswer) set(i int, answer []byte) {
	b.mu.Lock()
	if i >= 0 {
		b.parts[i] = answer
	}
	b.pending--
	last := b.pending == 0
	b.mu.Unlock()
	if !last {
		return
	}
	var out []byte
	for _, p := range b.parts {
		if len(p) == 0 { // owed to nobody
			continue
		}
		if out == nil {
			out = append(out, '[')
		} else {
			out = append(out, ',')
		}
		out = append(out, p...)
	}
	if out != nil { // only notifications: no answer at all
		b.conn.write(append(out, ']'))
	}
}

// parse reads a message. What is no call of a known method is answered with no.
func (c *conn) parse(v jsontext.Value, arrived time.Time) (call *rpccarrier.Call, id jsontext.Value, errAnswer []byte) {
	m, err := jsonrpc.Parse(v, "")
	refuse := func(code int, text, why string) []byte {
		if m.IsNotification() {
			return []byte{} // it is owed no answer, and nothing is done
		}
		return jsonrpc.AppendError(nil, m.ID, code, text, quote(why))
	}
	if err != nil {
		m.ID = idOrNull(m.ID) // what is no request is no notification
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", err.Error())
	}
	if m.Method == "" && (m.Result != nil || m.Error != nil) {
		m.ID = jsonrpc.Null
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "nothing was asked of this client")
	}
	method, ok := c.front.cfg.Methods[m.Method]
	if !ok {
		return nil, nil, refuse(jsonrpc.MethodNotFound, "Method not found", m.Method)
	}
	call = &rpccarrier.Call{Method: m.Method, Params: m.Params, Request: engine.Request{Class: method.Class,
		Arrived: arrived, Patience: method.ClientTimeout, Needs: engine.SpeaksRPC}}
	call.Payload = call
	// The engine's ids are those of HTTP clients too: a byte that no header can hold keeps the two apart.
	call.ID = "\x00" + strconv.FormatUint(c.front.lastCall.Add(1), 36)
	if method.Tenant != "" {
		if t, ok := jsonrpc.Find(m.Params, method.Tenant); ok {
			call.Tenant, _ = jsonrpc.Text(t)
		}
	}
	if method.Key != "" {
		if k, ok := jsonrpc.Find(m.Params, method.Key); ok {
			call.Key, _ = jsonrpc.Text(k)
		}
	}
	effect, _ := c.front.cfg.Engine.Effect(method.Class)
	if effect == policy.Keyed && call.Key == "" {
		return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "no idempotency key at "+string(method.Key))
	}
	if method.Deadline != "" {
		if d, ok := jsonrpc.Find(m.Params, method.Deadline); ok {
			ms, err := strconv.ParseFloat(string(d), 64)
			if err != nil || !(ms > 0 && ms <= 1e9) {
				return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "the deadline is milliseconds above 0")
			}
			call.Patience = min(call.Patience, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	if m.IsNotification() {
		return call, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Kind() != 'n' {
		if c.openIDs[string(m.ID)] {
			// With the same id the client would take this for the answer of the one that is open.
			m.ID = jsonrpc.Null
			return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "a call with this id is open")
		}
		c.openIDs[string(m.ID)] = true
	}
	return call, m.ID, nil
}

// start hands a call to the engine, once fewer than Inflight are open: until then nothing more is read, and the client is
// slowed at its socket. answer is called once, with nil for a notification or a client that has left.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, answer func([]byte)) {
	f := c.front
	if !c.acquireSlot(call.Arrived.Add(call.Patience)) {
		c.finish(id, answer, jsonrpc.AppendError(nil, idOrNull(id), Refused, "too many calls are open", refusalData(refuseRetryAfter)))
		return
	}
	if f.shuttingDown.Load() {
		<-c.slots
		c.finish(id, answer, jsonrpc.AppendError(nil, idOrNull(id), Refused, "the node is leaving", refusalData(refuseRetryAfter)))
		return
	}
	c.callStarted()
	c.calls.Add(1)
	f.cfg.Engine.Begin(&call.Request) // its id is new
	go func() {
		defer c.calls.Done()
		defer c.callDone()
		defer func() { <-c.slots }()
		select {
		case a := <-call.Done():
			c.finish(id, answer, encodeAnswer(id, a))
		case <-c.ctx.Done():
			f.cfg.Engine.Cancel(&call.Request)
			c.finish(id, answer, nil)
		}
	}()
}

// acquireSlot takes one of the connection's open calls, if one is free by a time.
func (c *conn) acquireSlot(deadline time.Time) bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

func idOrNull(id jsontext.Value) jsontext.Value {
	if id == nil {
		return jsonrpc.Null
	}
	return id
}

// finish gives a call's answer, unless it is a notification, and its id back.
func (c *conn) finish(id jsontext.Value, answer func([]byte), text []byte) {
	if id == nil {
		text = nil
	} else {
		c.mu.Lock()
		delete(c.openIDs, string(id))
		c.mu.Unlock()
	}
	answer(text)
}

// encodeAnswer is an answer of the engine as clients are told it.
func encodeAnswer(id jsontext.Value, a engine.Answer) []byte {
	if id == nil {
		return nil
	}
	if r, ok := a.Payload.(*rpccarrier.Reply); ok {
		if r.Error != nil {
			return jsonrpc.AppendErrorObject(nil, id, r.Error)
		}
		return jsonrpc.AppendResult(nil, id, r.Result)
	}
	if a.Kind == engine.Refused {
		return jsonrpc.AppendError(nil, id, Refused, "refused", refusalData(a.RetryAfter))
	}
	return jsonrpc.AppendError(nil, id, Failed, "failed", jsontext.Value(`{"repeat":"unknown"}`))
}

// refusalData is the data of an error Refused.
func refusalData(after time.Duration) jsontext.Value {
	return fmt.Appendf(nil, `{"repeat":"harmless","retry_after_s":%s}`, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

func quote(s string) jsontext.Value {
	q, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return jsontext.Value(`"it holds what is not UTF-8"`)
	}
	return q
}

// write writes a message; a client that does not read within writeTime is cut off.
func (c *conn) write(message []byte) {
	if len(message) == 0 {
		return
	}
	c.mu.Lock()
	f := c.framing
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(jsonrpc.AppendFrame(nil, f, message)); err != nil {
		c.Close() // a part of it may be written: nothing can follow
	}
}
