// Package httpcarrier carries attempts to boxes over HTTP/1.1, as PROTOCOL has it between nodes and backends: one request
// at a time on a connection, from a pool of them.
package httpcarrier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/quota"
	"craneglade/internal/reach"
	"craneglade/internal/sock"
	"craneglade/internal/wire"
	"craneglade/policy"
)

var (
	errTimeout = errors.New("the attempt's time is up")
	errLate    = errors.New("backends may drop the repeat no more")
)

// chunkedFactor bounds what an answer in chunks may take on the wire, in bytes for each of its body: one byte in a chunk
// of its own takes 6.
const chunkedFactor = 8

// answerTime is how long an answer may take from its first byte to its last.
const answerTime = 250 * time.Millisecond

// Config is what a carrier is made from.
type Config struct {
	Quota *quota.Quota  // descriptors for connections to boxes
	Idle  time.Duration // boxes close connections idle for this long, as the settings have it; 0 when not told
	// RestWait is how long a request may wait for the rest of a connection that was used a moment ago. Opening another costs the
	// backend work.
	RestWait time.Duration
	Reports  bool           // answers may hold load reports
	Bodies   *message.Store // room for answers; one that has none, or is over message.MaxBody, is passed on while it comes
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	DialOn   func(ctx context.Context, network, addr string) (net.Conn, error) // for boxes with several addresses, of any kind
	Now      func() time.Time                                                  // what connections age by; nil for time.Now
	Pause    func(ctx context.Context, d time.Duration) bool                   // waits; nil for timing.Sleep
	Log      *slog.Logger
}

// Carrier is an engine.Carrier of message.Requests.
type Carrier struct {
	pool    *pool
	reports bool
	bodies  *message.Store
	log     *slog.Logger
}

// New returns a carrier with no connection.
func New(cfg Config) *Carrier {
	return &Carrier{pool: newPool(cfg), reports: cfg.Reports, bodies: cfg.Bodies, log: cfg.Log}
}

// Conns is how many connections there are, and how many of them carry nothing.
func (n *Carrier) Conns() (open, rest int) {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return n.pool.open, n.pool.rest.Len()
}

// Yield closes the connection that has carried nothing for longest, and tells whether there was one.
func (n *Carrier) Yield() bool { return n.pool.spare() }

// Retire closes the connections to a box that carry nothing. Those that carry something follow.
func (n *Carrier) Retire(b *engine.Backend) { n.pool.clear(n.pool.of(b), true) }

// Reach tells whether a connection to a box comes up while ctx lasts, and keeps it for requests if it does.
func (n *Carrier) Reach(ctx context.Context, b *engine.Backend) bool {
	if b.Shut() {
		return false
	}
	c, err := n.pool.connect(ctx, n.pool.of(b), b)
	if err != nil {
		return false
	}
	n.pool.put(c)
	return true
}

// Stop closes all connections that carry nothing. No attempt may be under way or follow.
func (n *Carrier) Stop() { n.pool.stop() }

// Carry sends the request once and waits for what comes back. It returns only after a connection that it gave up is
// closed, so that an attempt that follows is never a second copy.
func (n *Carrier) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	fresh := false
	res := n.carry(ctx, a, &fresh)
	res.Fresh = fresh
	return res
}

// carry is Carry. It sets fresh where it opens a connection.
func (n *Carrier) carry(ctx context.Context, a *engine.Attempt, fresh *bool) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.Wait, errTimeout)
	defer cancel()
	r, ok := a.Request.Payload.(*message.Request)
	if !ok {
		return engine.Result{Outcome: policy.Moot} // another protocol's: never sent
	}
	b := n.pool.of(a.Backend)
	heard := b.heard.Load()
	// A request whose last byte was not written goes on to the box's next address, within the same time.
	wait := a.Wait
	for again := len(a.Backend.Addrs()); ; again-- {
		res, part := n.send(ctx, a, r, wait, b, heard, fresh)
		if !part || again <= 1 {
			return res
		}
		if end, ok := ctx.Deadline(); ok { // the box is told what is left
			wait = max(time.Until(end), time.Microsecond)
		}
	}
}

// send is one try of carry on one connection. part tells that the request can't have reached the box whole, and may go out on another
// connection of the same attempt.
func (n *Carrier) send(ctx context.Context, a *engine.Attempt, r *message.Request, wait time.Duration, b *kept, heard int64, fresh *bool) (res engine.Result, part bool) {
	begun := time.Now()
	until := ctx
	if !a.By.IsZero() {
		var cancel context.CancelFunc
		until, cancel = context.WithDeadlineCause(ctx, a.By, errLate)
		defer cancel()
	}
	c, err := n.pool.get(until, b, a.Backend, a.Effect == policy.Unsafe)
	*fresh = *fresh || c == nil && !errors.Is(err, errSockets) || c != nil && c.rested == 0
	switch {
	case errors.Is(err, errSockets), errors.Is(err, reach.ErrStopped), sock.IsOwnTrouble(err), err != nil && errors.Is(context.Cause(until), errLate):
		return engine.Result{Outcome: policy.Moot}, false // not the backend's doing, and not to be held against it
	case err != nil && context.Cause(ctx) == nil, errors.Is(context.Cause(ctx), errTimeout):
		return engine.Result{Outcome: policy.ConnectFailed}, false
	case err != nil:
		return engine.Result{Outcome: policy.Canceled}, false
	}
	// Opening it or its rest took time, and the backend is told what is left.
	text, err := encode(r, max(wait-time.Since(begun), time.Microsecond))
	if err != nil {
		n.pool.put(c)
		n.log.Warn("a request can't be written", "err", err)
		return engine.Result{Outcome: policy.Moot}, false
	}
	// What was decided a while ago may not hold any more: the client has left, the backend's drain grace or the time for repeats is over.
	if ctx.Err() != nil || !a.MayBegin() {
		n.pool.put(c)
		return engine.Result{Outcome: policy.Moot}, false
	}
	p := r.Body
	if p != nil && p.Tier == bodies.Streamed && !p.Begun.CompareAndSwap(false, true) {
		n.pool.put(c)
		return engine.Result{Outcome: policy.Moot}, false // it is not kept, and an earlier attempt has begun to send it
	}
	giveUp := context.AfterFunc(ctx, func() { c.Close() })
	if !a.By.IsZero() {
		c.SetWriteDeadline(a.By) // an error shows in Write
	}
	sent, err := c.Write(text)
	whole := sent == len(text)
	if err == nil && p != nil && p.Memory == nil {
		err = p.Send(ctx, c)
		whole = err == nil
		if errors.Is(err, message.ErrBody) || errors.Is(err, message.ErrClient) {
			n.pool.close(c) // the box has only a part
			n.log.Warn("a body was not sent", "request", r.ID, "err", err)
			if errors.Is(err, message.ErrClient) {
				a.Abort(message.CutShort(err))
			}
			return engine.Result{Outcome: policy.Moot}, false
		}
	}
	var resp *http.Response
	var body []byte
	var held int64
	stream := false
	if err == nil {
		resp, body, err = c.read(r.In.Method, func(size int64) bool {
			if size > message.MaxBody || !n.bodies.Hold(size) {
				stream = true
				return false
			}
			held = size
			return true
		}, n.bodies.Answer)
	}
	switch {
	case err == nil, errors.Is(err, errSpoilt):
		n.pool.learn(c, true)
	case context.Cause(ctx) == nil: // it ended by the backend's doing, before a byte
		n.pool.learn(c, false)
	}
	if c.addr != "" {
		switch {
		case err == nil, errors.Is(err, errSpoilt):
			n.pool.reach.Answered(c.addr)
		case !whole:
			n.pool.reach.Failed(c.addr)
		case errors.Is(context.Cause(ctx), errTimeout):
			n.pool.reach.Silent(c.addr)
		}
	}
	if err == nil && stream {
		b.heard.Add(1)
		return n.flow(ctx, a, c, resp, giveUp), false
	}
	if !a.By.IsZero() {
		c.SetWriteDeadline(time.Time{})
	}
	// The answer stands, however its connection ends; but only a sound one is used again.
	if giveUp() && err == nil && !resp.Close && len(resp.TransferEncoding) == 0 && c.in.Buffered() == 0 {
		n.pool.put(c)
	} else {
		n.pool.close(c)
	}
	if err == nil || errors.Is(err, errSpoilt) {
		b.heard.Add(1)
	}
	if err != nil {
		if held > 0 {
			n.bodies.Free(held)
		}
		outcome := policy.Reset // unless shown otherwise it may have run
		switch cause := context.Cause(ctx); {
		case cause != nil && !errors.Is(cause, errTimeout):
			return engine.Result{Outcome: policy.Canceled}, false
		case !whole:
			outcome = policy.ConnectFailed // its last byte was never written
		case cause != nil:
			outcome = policy.TimedOut
		}
		if outcome == policy.TimedOut && b.heard.Load() == heard {
			// Nothing came back from this backend for the whole of the attempt. When a machine was cut off, each
			// connection kept from before would swallow one more request, and reset one when it is back.
			n.pool.clear(b, false)
		}
		n.log.Debug("an attempt broke off", "box", a.Backend.ID, "err", err)
		return engine.Result{Outcome: outcome}, c.addr != "" && !whole && ctx.Err() == nil && (p == nil || p.Memory != nil)
	}
	res = n.judge(a.Backend, resp, body)
	if p, ok := res.Reply.(*message.Reply); ok && held > 0 {
		p.Holds(n.bodies, held)
	} else if held > 0 {
		n.bodies.Free(held)
	}
	return res, false
}

// encode is the request as it goes out, with the headers that PROTOCOL knows.
func encode(r *message.Request, wait time.Duration) ([]byte, error) {
	in := r.In
	req := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: http.Header{"User-Agent": nil},
		Body: http.NoBody}
	var body []byte // what goes out with the head
	if p := r.Body; p != nil && p.Memory != nil {
		body = p.Memory
		req.ContentLength, req.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	for _, name := range message.Headers {
		if v, ok := in.Header[name]; ok {
			req.Header[name] = v
		}
	}
	req.Header.Set("X-Deadline", strconv.FormatInt(wait.Microseconds(), 10)+"u")
	var b bytes.Buffer
	b.Grow(1024 + len(body))
	if err := req.Write(&b); err != nil || body != nil || r.Body == nil {
		return b.Bytes(), err
	}
	// The body follows: only its length goes with the head. No header stands before this one but Host, and none holds a
	// line's end.
	return bytes.Replace(b.Bytes(), []byte("\r\nContent-Length: 0\r\n"), fmt.Appendf(nil, "\r\nContent-Length: %d\r\n", in.ContentLength), 1), nil
}

// errSpoilt is an answer that can't be the backend's answer to the request. The request may have run.
var errSpoilt = errors.New("a spoilt answer")

// read reads one answer whole, before any of it goes on: one that breaks can still be tried again. Of a served one that
// hold, asked with its size, has no room for, it reads the head. Larger ones than most are spoilt.
func (c *backendConn) read(method string, hold func(size int64) bool, most int64) (*http.Response, []byte, error) {
	c.cap.N = message.MaxHead + message.MaxBody
	for {
		if _, err := c.in.Peek(1); err != nil {
			return nil, nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
			return nil, nil, err
		}
		head := c.head()
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("%w: it switches protocols", errSpoilt)
		}
		if resp.StatusCode < 200 { // informational: the answer follows, perhaps after a while
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return nil, nil, err
			}
			continue
		}
		if resp.StatusCode == http.StatusOK && resp.ContentLength > 0 && resp.ContentLength <= most && !hold(resp.ContentLength) {
			c.cap.N += resp.ContentLength
			return resp, nil, nil
		}
		if resp.ContentLength > message.MaxBody {
			return nil, nil, fmt.Errorf("%w: %d bytes", errSpoilt, resp.ContentLength)
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !saysClose(head) {
			return nil, nil, fmt.Errorf("%w: no length", errSpoilt)
		}
		// The connection's cap is never what ends a body: one that ends with its connection would pass as whole.
		c.cap.N = chunkedFactor*message.MaxBody + message.MaxHead
		body, err := io.ReadAll(io.LimitReader(resp.Body, message.MaxBody+1))
		if err == nil && len(body) > message.MaxBody {
			err = errors.New("too large a body")
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
		}
		return resp, body, c.SetReadDeadline(time.Time{})
	}
}

// head is an answer's head, without the empty line, as long as no more is read; nil where it doesn't end, or not within the buffer.
func (c *backendConn) head() []byte {
	for {
		n := c.in.Buffered()
		text, _ := c.in.Peek(n)
		if i := bytes.Index(text, []byte("\r\n\r\n")); i >= 0 {
			return text[:i+2]
		}
		if n == c.in.Size() {
			return nil
		}
		if _, err := c.in.Peek(n + 1); err != nil {
			return nil
		}
	}
}

// saysClose tells whether a head says that the connection ends with its answer: only then its end is that of an answer without a
// length. net/http takes the header off what it has parsed.
func saysClose(head []byte) bool {
	for line := range strings.Lines(string(head)) {
		name, value, _ := strings.Cut(line, ":")
		if !strings.EqualFold(name, "Connection") {
			continue
		}
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// judge tells what an answer means.
func (n *Carrier) judge(b *engine.Backend, resp *http.Response, body []byte) engine.Result {
	res := engine.Result{Outcome: policy.Failed}
	if reports := resp.Header["X-Load"]; len(reports) > 0 && n.reports {
		load, err := wire.DecodeLoad(reports[0])
		if err == nil && len(reports) == 1 {
			res.Load = load
		} else {
			n.log.Debug("a load report makes no sense", "box", b.ID, "reports", reports)
		}
	}
	turned := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case turned && resp.Header.Get("X-Not-Run") == "1":
		res.Outcome = policy.Full
	case resp.StatusCode == http.StatusOK:
		res.Outcome = policy.OK
		res.Reply = &message.Reply{Header: resp.Header, Body: body}
	}
	return res
}

// flow passes on an answer that is too large to be held. Once it has begun the request has its final answer; where that
// breaks off, the client sees it by its length.
func (n *Carrier) flow(ctx context.Context, a *engine.Attempt, c *backendConn, resp *http.Response, giveUp func() bool) engine.Result {
	res := n.judge(a.Backend, resp, nil)
	f := message.NewFlow(resp.Body, c.Conn, resp.ContentLength)
	err := context.Canceled
	if a.Deliver(&message.Reply{Header: resp.Header, Flow: f}) {
		select {
		case err = <-f.Ended():
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
	}
	if giveUp() && err == nil && !resp.Close && c.in.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil {
		n.pool.put(c)
	} else {
		n.pool.close(c)
	}
	switch {
	case err == nil:
	case errors.Is(err, message.ErrClient), errors.Is(err, context.Canceled):
		res.Outcome = policy.Canceled
	default:
		n.log.Debug("an answer broke off on its way", "box", a.Backend.ID, "err", err)
		res.Outcome = policy.Reset
	}
	return res
}
