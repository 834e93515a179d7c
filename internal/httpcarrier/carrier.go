// Package httpcarrier sends attempts to backends over HTTP/1.1, as PROTOCOL specifies it between nodes and backends, over
// pooled connections that each carry one request at a time.
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
	errTimeout      = errors.New("attempt timed out")
	errRepeatWindow = errors.New("the time in which backends drop repeated requests is over")
)

// maxChunkedFactor limits the size of a chunked answer on the wire, in bytes for each byte of content: one byte in a chunk
// of its own takes 6.
const maxChunkedFactor = 8

// answerTimeout is how long an answer may take from its first byte to its last.
const answerTimeout = 250 * time.Millisecond

// Config configures a Carrier.
type Config struct {
	Quota              *quota.Quota  // descriptors for backend connections
	BackendIdleTimeout time.Duration // when backends close idle connections, according to the settings; 0 if unknown
	// MaxSettleWait is how long a request may wait until settleTime has passed on a connection that was just used. Opening
	// another connection costs the backend work.
	MaxSettleWait     time.Duration
	AcceptLoadReports bool // evaluate load reports in answers
	// AnswerSlots is how many answers of unknown length, of message.MaxBodyBytes at most, the node has memory for beyond Bodies.
	AnswerSlots int
	Bodies      *message.Store // memory for answers; one that gets none, or is larger than message.MaxBodyBytes, is streamed
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	DialNetwork func(ctx context.Context, network, addr string) (net.Conn, error) // for backends with several addresses, of any network
	Now         func() time.Time                                                  // the clock for the age of connections; nil for time.Now
	Sleep       func(ctx context.Context, d time.Duration) bool                   // nil for timing.Sleep
	Log         *slog.Logger
}

// Carrier implements engine.Carrier for requests of type *message.Request.
type Carrier struct {
	pool    *pool
	reports bool
	bodies  *message.Store
	log     *slog.Logger

	answerSlots chan struct{}
}

// New returns a carrier without connections.
func New(cfg Config) *Carrier {
	return &Carrier{pool: newPool(cfg), reports: cfg.AcceptLoadReports, bodies: cfg.Bodies, log: cfg.Log, answerSlots: make(chan struct{}, max(1, cfg.AnswerSlots))}
}

// Conns returns the number of open connections and how many of them are idle.
func (n *Carrier) Conns() (open, idle int) {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return n.pool.open, n.pool.idleConns.Len()
}

// EvictIdle closes the connection that has been idle for longest and reports whether there was one.
func (n *Carrier) EvictIdle() bool { return n.pool.closeOldestIdle() }

// Retire closes the idle connections to a backend. The others are closed when they become idle.
func (n *Carrier) Retire(b *engine.Backend) { n.pool.closeIdle(n.pool.backend(b), true) }

// Reach reports whether a connection to a backend can be opened before ctx ends. The connection is kept for requests.
func (n *Carrier) Reach(ctx context.Context, b *engine.Backend) bool {
	if b.WritesStopped() {
		return false
	}
	c, err := n.pool.connect(ctx, n.pool.backend(b), b)
	if err != nil {
		return false
	}
	n.pool.put(c)
	return true
}

// Stop closes all idle connections. No attempt may be in flight or follow.
func (n *Carrier) Stop() { n.pool.stop() }

// Carry sends the request once and waits for the answer. A connection that it abandons is closed before it returns, so
// that consecutive attempts never overlap.
func (n *Carrier) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	var used connUse
	res := n.carry(ctx, a, &used)
	res.NewConnection, res.ConnectedAt = used.dialled, used.openedAt
	if res.Outcome == policy.ConnectFailed && used.openedAt.IsZero() {
		res.DialFailedAt, res.Refused = used.triedAt, used.refused
	}
	return res
}

// connUse is what an attempt learns of its last connection.
type connUse struct {
	dialled  bool      // a connection was dialled, successfully or not
	triedAt  time.Time // when the attempt began to get a connection
	openedAt time.Time // of the one that it used; zero for none
	refused  bool      // none came up, and all addresses refused it
}

// carry implements Carry.
func (n *Carrier) carry(ctx context.Context, a *engine.Attempt, used *connUse) engine.Result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.Timeout, errTimeout)
	defer cancel()
	r, ok := a.Request.Payload.(*message.Request)
	if !ok {
		return engine.Result{Outcome: policy.NeverSent} // a request of another protocol: never sent
	}
	b := n.pool.backend(a.Backend)
	answersBefore := b.answers.Load()
	// A request whose last byte was not written is sent to the backend's next address, within the same deadline.
	wait := a.Timeout
	for remaining := len(a.Backend.Addrs()); ; remaining-- {
		res, unsent := n.send(ctx, a, r, wait, b, answersBefore, used)
		if !unsent || remaining <= 1 {
			return res
		}
		if end, ok := ctx.Deadline(); ok { // the backend is sent the remaining time
			wait = max(time.Until(end), time.Microsecond)
		}
	}
}

// send is one try of carry, on one connection. unsent reports that the request can't have reached the backend completely and
// may be sent again on another connection within the same attempt.
func (n *Carrier) send(ctx context.Context, a *engine.Attempt, r *message.Request, wait time.Duration, b *backendPool, answersBefore int64, used *connUse) (res engine.Result, unsent bool) {
	start := time.Now()
	until := ctx
	if !a.WriteDeadline.IsZero() {
		var cancel context.CancelFunc
		until, cancel = context.WithDeadlineCause(ctx, a.WriteDeadline, errRepeatWindow)
		defer cancel()
	}
	if !a.MayStart() { // another process may have the backend's address by now
		return engine.Result{Outcome: policy.NeverSent}, false
	}
	c, err := n.pool.get(until, b, a.Backend, a.Effect == policy.Unsafe)
	used.record(c, err, start)
	switch {
	case errors.Is(err, errNoDescriptor), errors.Is(err, reach.ErrStopped), sock.IsLocalFailure(err), err != nil && errors.Is(context.Cause(until), errRepeatWindow):
		return engine.Result{Outcome: policy.NeverSent}, false // not a failure of the backend
	case err != nil && context.Cause(ctx) == nil, errors.Is(context.Cause(ctx), errTimeout):
		return engine.Result{Outcome: policy.ConnectFailed}, false
	case err != nil:
		return engine.Result{Outcome: policy.Canceled}, false
	}
	// Opening the connection or waiting for it to settle took time: the backend is sent the remaining time.
	text, err := encode(r, max(wait-time.Since(start), time.Microsecond))
	if err != nil {
		n.pool.put(c)
		n.log.Warn("can't encode request", "err", err)
		return engine.Result{Outcome: policy.NeverSent}, false
	}
	// Since the attempt was decided on, the client may have disconnected, or the backend's drain grace or the time for repeats
	// may have ended.
	if ctx.Err() != nil || !a.MayStart() {
		n.pool.put(c)
		return engine.Result{Outcome: policy.NeverSent}, false
	}
	p := r.Body
	if p != nil && p.Tier == bodies.Streamed && !p.Started.CompareAndSwap(false, true) {
		n.pool.put(c)
		return engine.Result{Outcome: policy.NeverSent}, false // the body is not stored, and an earlier attempt has started to send it
	}
	stopCancel := context.AfterFunc(ctx, func() { c.Close() })
	if !a.WriteDeadline.IsZero() {
		c.SetWriteDeadline(a.WriteDeadline) // an error shows up in Write
	}
	sent, err := c.Write(text)
	complete := sent == len(text)
	if err == nil && p != nil && p.Memory == nil {
		err = p.Send(ctx, c)
		complete = err == nil
		if errors.Is(err, message.ErrSpool) || errors.Is(err, message.ErrClient) {
			n.pool.close(c) // the backend has received only a part
			n.log.Warn("request body not sent", "request", r.ID, "err", err)
			if errors.Is(err, message.ErrClient) {
				a.Abort(message.BodyTruncated(err))
			}
			return engine.Result{Outcome: policy.NeverSent}, false
		}
	}
	var resp *http.Response
	var body []byte
	memory := &answerMemory{store: n.bodies, slots: n.answerSlots}
	stream := false
	if err == nil {
		resp, body, err = c.read(ctx, r.In.Method, func(size int64) bool {
			stream = size > message.MaxBodyBytes || !memory.reserve(size)
			return !stream
		}, memory, n.bodies.MaxAnswer)
	}
	switch {
	case err == nil, errors.Is(err, errInvalidAnswer):
		n.pool.noteReuse(c, true)
	case context.Cause(ctx) == nil: // the backend ended it before the first byte of an answer
		n.pool.noteReuse(c, false)
	}
	if c.addr != "" {
		switch {
		case err == nil, errors.Is(err, errInvalidAnswer):
			n.pool.reach.RecordAnswer(c.addr)
		case !complete:
			n.pool.reach.RecordFailure(c.addr)
		case errors.Is(context.Cause(ctx), errTimeout):
			n.pool.reach.RecordSilence(c.addr)
		}
	}
	if err == nil && stream {
		b.answers.Add(1)
		return n.streamAnswer(ctx, a, c, resp, stopCancel), false
	}
	if !a.WriteDeadline.IsZero() {
		c.SetWriteDeadline(time.Time{})
	}
	// The answer is valid however its connection ends, but only an intact connection is used again.
	if stopCancel() && err == nil && !resp.Close && len(resp.TransferEncoding) == 0 && c.in.Buffered() == 0 {
		n.pool.put(c)
	} else {
		n.pool.close(c)
	}
	if err == nil || errors.Is(err, errInvalidAnswer) {
		b.answers.Add(1)
	}
	if err != nil {
		memory.release()
		outcome := policy.Reset // unless shown otherwise it may have run
		switch cause := context.Cause(ctx); {
		case cause != nil && !errors.Is(cause, errTimeout):
			return engine.Result{Outcome: policy.Canceled}, false
		case !complete:
			outcome = policy.ConnectFailed // the last byte was never written
		case cause != nil:
			outcome = policy.TimedOut
		}
		if outcome == policy.TimedOut && b.answers.Load() == answersBefore {
			// No answer came back from this backend during the whole attempt. If its machine is cut off from the network,
			// each idle connection would lose one more request, and reset one when the machine is back.
			n.pool.closeIdle(b, false)
		}
		n.log.Debug("attempt failed", "box", a.Backend.ID, "err", err)
		return engine.Result{Outcome: outcome}, c.addr != "" && !complete && ctx.Err() == nil && (p == nil || p.Memory != nil)
	}
	res = n.classify(a.Backend, resp, body)
	if p, ok := res.Reply.(*message.Reply); ok {
		p.OnRelease(memory.release)
	} else {
		memory.release()
	}
	return res, false
}

// record records the result of getting a connection, which began at start.
func (u *connUse) record(c *backendConn, err error, start time.Time) {
	u.triedAt, u.openedAt, u.refused = start, time.Time{}, sock.IsRefused(err)
	if c != nil {
		u.dialled = u.dialled || c.idleFor == 0
		u.openedAt = c.openedAt
		return
	}
	u.dialled = u.dialled || !errors.Is(err, errNoDescriptor)
}

// encode returns the request as sent to the backend, with the headers that PROTOCOL defines.
func encode(r *message.Request, wait time.Duration) ([]byte, error) {
	in := r.In
	req := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: http.Header{"User-Agent": nil},
		Body: http.NoBody}
	var body []byte // the body, if it is written together with the head
	if p := r.Body; p != nil && p.Memory != nil {
		body = p.Memory
		req.ContentLength, req.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	for _, name := range message.RequestHeaders {
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
	// The body is written separately; the head needs its length. Only Host precedes this header, and no value contains a line
	// end, so the first match is the right one.
	return bytes.Replace(b.Bytes(), []byte("\r\nContent-Length: 0\r\n"), fmt.Appendf(nil, "\r\nContent-Length: %d\r\n", in.ContentLength), 1), nil
}

// errInvalidAnswer reports an answer that can't belong to the request, or is malformed or too large. The request may have run.
var errInvalidAnswer = errors.New("invalid answer from backend")

// read reads an answer completely before any of it is forwarded, so that the request can be retried if it breaks off. For an
// answer with status 200 whose size reserve refuses, it reads the head only. All others are read into memory. An answer larger than
// maxSize is invalid.
func (c *backendConn) read(ctx context.Context, method string, reserve func(size int64) bool, memory *answerMemory, maxSize int64) (*http.Response, []byte, error) {
	c.limit.N = message.MaxHeadBytes + message.MaxBodyBytes
	for {
		if _, err := c.in.Peek(1); err != nil {
			return nil, nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
			return nil, nil, err
		}
		head := c.head()
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("%w: unexpected protocol switch", errInvalidAnswer)
		}
		if resp.StatusCode < 200 { // informational: the final answer follows, perhaps much later
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return nil, nil, err
			}
			continue
		}
		if resp.StatusCode == http.StatusOK && resp.ContentLength > 0 && resp.ContentLength <= maxSize && !reserve(resp.ContentLength) {
			c.limit.N += resp.ContentLength
			return resp, nil, nil
		}
		if resp.ContentLength > message.MaxBodyBytes {
			return nil, nil, fmt.Errorf("%w: body of %d bytes", errInvalidAnswer, resp.ContentLength)
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !hasConnectionClose(head) {
			return nil, nil, fmt.Errorf("%w: no length and no Connection: close", errInvalidAnswer)
		}
		// This limit must never end a body: one that ends with its connection would then pass as complete.
		c.limit.N = maxChunkedFactor*message.MaxBodyBytes + message.MaxHeadBytes
		body, err := c.readBody(ctx, resp, memory)
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		return resp, body, c.SetReadDeadline(time.Time{})
	}
}

// readBody reads the body of an answer. After a wait for memory it has as long as an answer has from its first byte.
func (c *backendConn) readBody(ctx context.Context, resp *http.Response, memory *answerMemory) ([]byte, error) {
	if memory.reserved > 0 { // its length is known
		return io.ReadAll(resp.Body)
	}
	return memory.readAll(ctx, resp.Body, func() error { return c.SetReadDeadline(time.Now().Add(answerTimeout)) })
}

// head returns the head of an answer without the empty line, or nil if it is incomplete or larger than the buffer. The result
// is valid until the next read.
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

// hasConnectionClose reports whether a head contains "Connection: close". Only then does the end of the connection end an
// answer without a length. net/http removes the header from the parsed response.
func hasConnectionClose(head []byte) bool {
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

// classify determines the outcome of an attempt from its answer.
func (n *Carrier) classify(b *engine.Backend, resp *http.Response, body []byte) engine.Result {
	res := engine.Result{Outcome: policy.Failed}
	if reports := resp.Header["X-Load"]; len(reports) > 0 && n.reports {
		load, err := wire.DecodeLoad(reports[0])
		if err == nil && len(reports) == 1 {
			res.Load = load
		} else {
			n.log.Debug("invalid load report", "box", b.ID, "reports", reports)
		}
	}
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case unavailable && resp.Header.Get("X-Not-Run") == "1":
		res.Outcome = policy.Full
	case resp.StatusCode == http.StatusOK:
		res.Outcome = policy.OK
		res.Reply = &message.Reply{Header: resp.Header, Body: body}
	}
	return res
}

// streamAnswer forwards an answer that is too large to be buffered. Once it has started, the request has its final answer. If
// it breaks off, the client notices by its length.
func (n *Carrier) streamAnswer(ctx context.Context, a *engine.Attempt, c *backendConn, resp *http.Response, stopCancel func() bool) engine.Result {
	res := n.classify(a.Backend, resp, nil)
	f := message.NewAnswerStream(resp.Body, c.Conn, resp.ContentLength)
	err := context.Canceled
	if a.Deliver(&message.Reply{Header: resp.Header, Stream: f}) {
		select {
		case err = <-f.Done():
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
	}
	if stopCancel() && err == nil && !resp.Close && c.in.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil {
		n.pool.put(c)
	} else {
		n.pool.close(c)
	}
	switch {
	case err == nil:
	case errors.Is(err, message.ErrClient), errors.Is(err, context.Canceled):
		res.Outcome = policy.Canceled
	default:
		n.log.Debug("streamed answer broke off", "box", a.Backend.ID, "err", err)
		res.Outcome = policy.Reset
	}
	return res
}
