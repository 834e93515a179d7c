// Package rpcfront serves clients over JSON-RPC 2.0 on TCP: it reads calls, passes each to the engine and writes exactly one
// answer to each. Calls on one connection run concurrently and are answered as they finish.
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

// Error codes of the node, in addition to those of the specification. docs/operators/jsonrpc.md documents them.
const (
	Refused = -32001 // the call has not run, or may safely run again
	Failed  = -32002 // the call may have run
)

const (
	acceptAfterShutdown = 500 * time.Millisecond  // how long connections are still accepted after the shutdown starts
	backlogTimeout      = 200 * time.Millisecond  // additional time while connections wait in the backlog
	acceptRetryDelay    = 5 * time.Millisecond    // after a temporary accept error
	frameTimeout        = 2500 * time.Millisecond // for a frame, from its first byte
	firstByteTimeout    = 10 * time.Second        // for the first byte on a new connection
	writeTimeout        = 2 * time.Second
	lingerTimeout       = 100 * time.Millisecond // for the client to read its last answer
	lingerBytes         = 256 << 10              // read from the client meanwhile
	refuseRetryAfter    = 250 * time.Millisecond
)

// Method is the configuration of a JSON-RPC method.
type Method struct {
	Class         string
	ClientTimeout time.Duration    // default, and the maximum for Deadline
	Tenant        jsontext.Pointer // RFC 6901 pointer into params; "" for none
	Key           jsontext.Pointer // to the idempotency key
	Deadline      jsontext.Pointer // to a number of milliseconds
}

// Config configures a Front.
type Config struct {
	Engine      *engine.Engine
	Quota       *quota.Quota
	Methods     map[string]Method
	MaxInflight int           // open calls on one connection; at this limit, nothing is read from it
	MaxBatch    int           // members of a batch
	IdleTimeout time.Duration // for connections without an open call
	Log         *slog.Logger
}

// Front serves the connections of this node's JSON-RPC clients.
type Front struct {
	cfg          Config
	shuttingDown atomic.Bool
	lastCall     atomic.Uint64 // number of the latest call
	wg           sync.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]struct{}
	idleConns list.List // of *conn, without an open call, longest idle first
}

// New returns a front. It serves nobody until Serve is called.
func New(cfg Config) *Front { return &Front{cfg: cfg, conns: map[*conn]struct{}{}} }

// conn is a connection of a client.
type conn struct {
	net.Conn
	front   *Front
	slots   chan struct{} // one element for each open call
	writing sync.Mutex
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	// Guarded by Front.mu.
	idleElement   *list.Element // in Front.idleConns; nil if busy
	hasDescriptor bool          // it counts against the descriptor quota

	mu        sync.Mutex
	openIDs   map[string]bool // ids of open calls, in the client's notation
	openCalls int
	closing   bool // it ends once no call is open
	framing   jsonrpc.Framing
}

// Serve serves clients on ln until ctx ends, and then until all accepted calls are answered, at the latest by the end of the
// engine's shutdown schedule. Calls that arrive after ctx has ended are refused; clients may safely retry them.
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
	time.Sleep(time.Until(shutdown.StartedAt.Add(acceptAfterShutdown)))
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
	case <-time.After(time.Until(shutdown.StartedAt.Add(shutdown.CloseAfter))):
	}
	f.forEach(func(c *conn) { c.Close() })
	<-done
	return err
}

// ShuttingDown reports whether the shutdown has started.
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
			if !sock.IsAcceptRetryable(err) {
				return err
			}
			f.cfg.Log.Debug("accept failed; retrying", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: nc, front: f, slots: make(chan struct{}, f.cfg.MaxInflight), openIDs: map[string]bool{}}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if !f.cfg.Quota.AcquireOrReclaim(f.EvictIdle) {
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
			c.cancel() // the client has disconnected: open calls are cancelled
			c.calls.Wait()
			c.Close()
			f.mu.Lock()
			delete(f.conns, c)
			f.release(c)
			f.mu.Unlock()
		})
	}
}

// EvictIdle closes the connection that has been idle for longest to free its descriptor for another, and reports whether there
// was one.
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

// release removes a connection from the idle ones and returns its descriptor to the quota. f.mu is held.
func (f *Front) release(c *conn) {
	f.markBusy(c)
	if c.hasDescriptor {
		c.hasDescriptor = false
		f.cfg.Quota.Release()
	}
}

// markBusy removes a connection from the idle ones. f.mu is held.
func (f *Front) markBusy(c *conn) {
	if c.idleElement != nil {
		f.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// closeWhenIdle makes a connection end once no call on it is open.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.openCalls == 0 {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// callStarted counts an open call; callDone ends it.
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

// setReadDeadline sets the read deadline, unless the connection is to end now.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.openCalls > 0 {
		c.SetReadDeadline(t)
	}
}

// serve reads calls until the connection ends or a frame is malformed.
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
				if busy { // it waits for answers and is not idle
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
			// The start of the next frame is unknown: the connection ends once the open calls are answered.
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

// linger gives the client time to read its last answer. If unread data remains, closing resets the connection, and the client
// loses what it has not read yet.
func (c *conn) linger() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// single answers a message that is not part of a batch.
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

// batch answers the members of a batch with one array, in time for the shortest deadline among them. Members that miss it fail
// individually.
func (c *conn) batch(members []jsontext.Value, arrived time.Time) {
	f := c.front
	if len(members) == 0 || len(members) > f.cfg.MaxBatch {
		c.write(jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.MaxBatch))))
		return
	}
	b := &batchAnswer{conn: c, pending: 1, parts: make([][]byte, len(members))}
	type memberCall struct {
		call *rpccarrier.Call
		id   jsontext.Value
		at   int
	}
	var calls []memberCall
	shortest := time.Duration(0)
	for i, v := range members {
		call, id, errAnswer := c.parse(v, arrived)
		if errAnswer != nil {
			b.parts[i] = errAnswer
			continue
		}
		if shortest == 0 || call.ClientTimeout < shortest {
			shortest = call.ClientTimeout
		}
		calls = append(calls, memberCall{call, id, i})
	}
	for _, x := range calls {
		x.call.ClientTimeout = shortest
		b.addPending()
		c.start(x.call, x.id, func(answer []byte) { b.set(x.at, answer) })
	}
	b.set(-1, nil)
}

// batchAnswer collects the answers to the members of a batch.
type batchAnswer struct {
	conn    *conn
	mu      sync.Mutex
	pending int
	parts   [][]byte // by member; empty for a notification
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
		if len(p) == 0 { // a notification
			continue
		}
		if out == nil {
			out = append(out, '[')
		} else {
			out = append(out, ',')
		}
		out = append(out, p...)
	}
	if out != nil { // a batch of notifications only gets no answer
		b.conn.write(append(out, ']'))
	}
}

// parse parses a message. For an invalid one it returns the error answer, which is empty for a notification.
func (c *conn) parse(v jsontext.Value, arrived time.Time) (call *rpccarrier.Call, id jsontext.Value, errAnswer []byte) {
	m, err := jsonrpc.Parse(v, "")
	refuse := func(code int, text, reason string) []byte {
		if m.IsNotification() {
			return []byte{} // a notification gets no answer
		}
		return jsonrpc.AppendError(nil, m.ID, code, text, quote(reason))
	}
	if err != nil {
		m.ID = idOrNull(m.ID) // an invalid request is not a notification, even without an id
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
		Arrived: arrived, ClientTimeout: method.ClientTimeout, RequiredProtocols: engine.ProtocolRPC}}
	call.Payload = call
	// The engine's ids include those of HTTP clients: a byte that no header can contain keeps the two apart.
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
			call.ClientTimeout = min(call.ClientTimeout, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	if m.IsNotification() {
		return call, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Kind() != 'n' {
		if c.openIDs[string(m.ID)] {
			// With the same id the client would take this for the answer of the open call.
			m.ID = jsonrpc.Null
			return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "a call with this id is open")
		}
		c.openIDs[string(m.ID)] = true
	}
	return call, m.ID, nil
}

// start passes a call to the engine once fewer than MaxInflight are open. Until then it blocks and nothing more is read, which
// slows the client down. answer is called once, with nil for a notification or a client that has disconnected.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, answer func([]byte)) {
	f := c.front
	if !c.acquireSlot(call.Arrived.Add(call.ClientTimeout)) {
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
	f.cfg.Engine.Submit(&call.Request) // the id is new, so this can't fail
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

// acquireSlot waits for a free slot for an open call and reports whether there was one before the deadline.
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

// idOrNull returns id, or JSON null if there is none.
func idOrNull(id jsontext.Value) jsontext.Value {
	if id == nil {
		return jsonrpc.Null
	}
	return id
}

// finish frees the id of a call and delivers its answer, unless it is a notification.
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

// encodeAnswer encodes an answer of the engine for the client.
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

// refusalData returns the data member of an error with code Refused.
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

// write writes a message. It closes the connection if the client does not read it within writeTimeout.
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
		c.Close() // part of the message may be written: nothing can follow it
	}
}
