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
	acceptFor   = 500 * time.Millisecond // after the node is told to end
	backlogTime = 200 * time.Millisecond // and longer, where connections wait to be accepted
	acceptAgain = 5 * time.Millisecond   // after an error of accept that says nothing of the listener
	frameTime   = 2500 * time.Millisecond
	firstTime   = 10 * time.Second // for the first byte on a new connection
	writeTime   = 2 * time.Second
	lingerTime  = 100 * time.Millisecond
	lingerSize  = 256 << 10
	refuseWait  = 250 * time.Millisecond
)

// Method is what the settings say of a method.
type Method struct {
	Class    string
	Patience time.Duration    // of a call that tells none
	Tenant   jsontext.Pointer // RFC 6901, into params; "" for none
	Key      jsontext.Pointer
	Deadline jsontext.Pointer // to a number of milliseconds
}

// Config is what a front is made from.
type Config struct {
	Engine   *engine.Engine
	Quota    *quota.Quota
	Methods  map[string]Method
	Inflight int           // open calls on one connection; with more, nothing is read from it
	Batch    int           // members of a batch at the most
	Idle     time.Duration // a connection with no open call is closed after so long
	Log      *slog.Logger
}

// Front is the connections of this node's JSON-RPC clients.
type Front struct {
	cfg     Config
	leaving atomic.Bool
	serial  atomic.Uint64 // of calls
	wg      sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
	rest  list.List // of *conn: those with no open call, the longest first
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
	place   *list.Element // in rest
	granted bool          // it has a descriptor of the room

	mu      sync.Mutex
	open    map[string]bool // ids of open calls, as they came
	count   int             // open calls
	ending  bool            // it ends once no call is open
	framing jsonrpc.Framing
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
	f.leaving.Store(true)
	time.Sleep(time.Until(shutdown.StartedAt.Add(acceptFor)))
	err := sock.CloseListener(ln, backlogTime)
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	f.each((*conn).end)
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
	f.each(func(c *conn) { c.Close() })
	<-done
	return err
}

// Leaving tells whether the front was told to end.
func (f *Front) Leaving() bool { return f.leaving.Load() }

func (f *Front) each(do func(*conn)) {
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
			time.Sleep(acceptAgain)
			continue
		}
		c := &conn{Conn: nc, front: f, slots: make(chan struct{}, f.cfg.Inflight), open: map[string]bool{}}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if !f.cfg.Quota.Claim(f.Yield) {
			c.write(jsonrpc.AppendError(nil, jsonrpc.Null, Refused, "no room for a connection", refusal(refuseWait)))
			c.Close()
			continue
		}
		f.mu.Lock()
		f.conns[c], c.granted = struct{}{}, true
		c.place = f.rest.PushBack(c)
		f.mu.Unlock()
		f.wg.Go(func() {
			c.talk()
			c.cancel() // the client is gone: what is open is given up
			c.calls.Wait()
			c.Close()
			f.mu.Lock()
			delete(f.conns, c)
			f.drop(c)
			f.mu.Unlock()
		})
	}
}

// Yield closes the connection that has had no open call for longest, for another's sake, and tells whether there was one.
func (f *Front) Yield() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.rest.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*conn)
	f.drop(c)
	c.Close()
	return true
}

// drop takes a connection off those that rest and gives its descriptor back. f.mu is held.
func (f *Front) drop(c *conn) {
	f.wake(c)
	if c.granted {
		c.granted = false
		f.cfg.Quota.Give()
	}
}

// wake takes a connection off those that rest. f.mu is held.
func (f *Front) wake(c *conn) {
	if c.place != nil {
		f.rest.Remove(c.place)
		c.place = nil
	}
}

// end has a connection end once no call on it is open.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.count == 0 {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// begin counts an open call; done is its end.
func (c *conn) begin() {
	c.mu.Lock()
	c.count++
	first := c.count == 1
	c.mu.Unlock()
	if first {
		c.front.mu.Lock()
		c.front.wake(c)
		c.front.mu.Unlock()
	}
}

func (c *conn) done() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count > 0 {
		return
	}
	if c.granted && c.place == nil {
		c.place = f.rest.PushBack(c)
	}
	if c.ending {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// deadline bounds reading, unless the connection is to end.
func (c *conn) deadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.count > 0 {
		c.SetReadDeadline(t)
	}
}

// talk reads calls until the connection ends, or what came can't be told apart any more.
func (c *conn) talk() {
	in := bufio.NewReader(c.Conn)
	r := jsonrpc.NewReader(in)
	for first := true; ; first = false {
		wait := c.front.cfg.Idle
		if first {
			wait = firstTime
		}
		c.deadline(time.Now().Add(wait))
		if err := r.Wait(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.mu.Lock()
				busy := c.count > 0 && !c.ending
				c.mu.Unlock()
				if busy { // it waits for answers: that is no idleness
					continue
				}
			}
			return
		}
		arrived := time.Now()
		c.deadline(arrived.Add(frameTime))
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
			c.one(members[0], arrived)
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
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.Conn, lingerSize)
}

// one answers a message that stands by itself.
func (c *conn) one(v jsontext.Value, arrived time.Time) {
	call, id, no := c.parse(v, arrived)
	if no != nil {
		c.write(no)
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
	if len(members) == 0 || len(members) > f.cfg.Batch {
		c.write(jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.Batch))))
		return
	}
	b := &answers{conn: c, due: 1, parts: make([][]byte, len(members))}
	type begun struct {
		call *rpccarrier.Call
		id   jsontext.Value
		at   int
	}
	var calls []begun
	shortest := time.Duration(0)
	for i, v := range members {
		call, id, no := c.parse(v, arrived)
		if no != nil {
			b.parts[i] = no
			continue
		}
		if shortest == 0 || call.ClientTimeout < shortest {
			shortest = call.ClientTimeout
		}
		calls = append(calls, begun{call, id, i})
	}
	for _, x := range calls {
		x.call.ClientTimeout = shortest
		b.more()
		c.start(x.call, x.id, func(answer []byte) { b.set(x.at, answer) })
	}
	b.set(-1, nil)
}

// answers collects those of a batch.
type answers struct {
	conn  *conn
	mu    sync.Mutex
	due   int
	parts [][]byte // nil for what is owed no answer
}

func (b *answers) more() {
	b.mu.Lock()
	b.due++
	b.mu.Unlock()
}

func (b *answers) set(i int, answer []byte) {
	b.mu.Lock()
	if i >= 0 {
		b.parts[i] = answer
	}
	b.due--
	last := b.due == 0
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
func (c *conn) parse(v jsontext.Value, arrived time.Time) (call *rpccarrier.Call, id jsontext.Value, no []byte) {
	m, err := jsonrpc.Parse(v, "")
	refuse := func(code int, text, why string) []byte {
		if m.Notification() {
			return []byte{} // it is owed no answer, and nothing is done
		}
		return jsonrpc.AppendError(nil, m.ID, code, text, quote(why))
	}
	if err != nil {
		m.ID = idOf(m.ID) // what is no request is no notification
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", err.Error())
	}
	if m.Method == "" && (m.Result != nil || m.Error != nil) {
		m.ID = jsonrpc.Null
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "nothing was asked of this client")
	}
	how, ok := c.front.cfg.Methods[m.Method]
	if !ok {
		return nil, nil, refuse(jsonrpc.MethodNotFound, "Method not found", m.Method)
	}
	call = &rpccarrier.Call{Method: m.Method, Params: m.Params, Request: engine.Request{Class: how.Class,
		Arrived: arrived, ClientTimeout: how.Patience, Needs: engine.SpeaksRPC}}
	call.Payload = call
	// The engine's ids are those of HTTP clients too: a byte that no header can hold keeps the two apart.
	call.ID = "\x00" + strconv.FormatUint(c.front.serial.Add(1), 36)
	if how.Tenant != "" {
		if t, ok := jsonrpc.Find(m.Params, how.Tenant); ok {
			call.Tenant, _ = jsonrpc.Text(t)
		}
	}
	if how.Key != "" {
		if k, ok := jsonrpc.Find(m.Params, how.Key); ok {
			call.Key, _ = jsonrpc.Text(k)
		}
	}
	effect, _ := c.front.cfg.Engine.Effect(how.Class)
	if effect == policy.Keyed && call.Key == "" {
		return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "no idempotency key at "+string(how.Key))
	}
	if how.Deadline != "" {
		if d, ok := jsonrpc.Find(m.Params, how.Deadline); ok {
			ms, err := strconv.ParseFloat(string(d), 64)
			if err != nil || !(ms > 0 && ms <= 1e9) {
				return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "the deadline is milliseconds above 0")
			}
			call.ClientTimeout = min(call.ClientTimeout, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	if m.Notification() {
		return call, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Kind() != 'n' {
		if c.open[string(m.ID)] {
			// With the same id the client would take this for the answer of the one that is open.
			m.ID = jsonrpc.Null
			return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "a call with this id is open")
		}
		c.open[string(m.ID)] = true
	}
	return call, m.ID, nil
}

// start hands a call to the engine, once fewer than Inflight are open: until then nothing more is read, and the client is
// slowed at its socket. answer is called once, with nil for a notification or a client that has left.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, answer func([]byte)) {
	f := c.front
	if !c.slot(call.Arrived.Add(call.ClientTimeout)) {
		c.finish(id, answer, jsonrpc.AppendError(nil, idOf(id), Refused, "too many calls are open", refusal(refuseWait)))
		return
	}
	if f.leaving.Load() {
		<-c.slots
		c.finish(id, answer, jsonrpc.AppendError(nil, idOf(id), Refused, "the node is leaving", refusal(refuseWait)))
		return
	}
	c.begin()
	c.calls.Add(1)
	f.cfg.Engine.Submit(&call.Request) // its id is new
	go func() {
		defer c.calls.Done()
		defer c.done()
		defer func() { <-c.slots }()
		select {
		case a := <-call.Done():
			c.finish(id, answer, told(id, a))
		case <-c.ctx.Done():
			f.cfg.Engine.Cancel(&call.Request)
			c.finish(id, answer, nil)
		}
	}()
}

// slot takes one of the connection's open calls, if one is free by a time.
func (c *conn) slot(by time.Time) bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case c.slots <- struct{}{}:
		return true
	case <-late.C:
		return false
	}
}

func idOf(id jsontext.Value) jsontext.Value {
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
		delete(c.open, string(id))
		c.mu.Unlock()
	}
	answer(text)
}

// told is an answer of the engine as clients are told it.
func told(id jsontext.Value, a engine.Answer) []byte {
	if id == nil {
		return nil
	}
	if r, ok := a.Payload.(*rpccarrier.Reply); ok {
		if r.Error != nil {
			return jsonrpc.AppendErrorValue(nil, id, r.Error)
		}
		return jsonrpc.AppendResult(nil, id, r.Result)
	}
	if a.Kind == engine.Refused {
		return jsonrpc.AppendError(nil, id, Refused, "refused", refusal(a.RetryAfter))
	}
	return jsonrpc.AppendError(nil, id, Failed, "failed", jsontext.Value(`{"repeat":"unknown"}`))
}

// refusal is the data of an error Refused.
func refusal(after time.Duration) jsontext.Value {
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
	c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.Write(jsonrpc.Append(nil, f, message)); err != nil {
		c.Close() // a part of it may be written: nothing can follow
	}
}
