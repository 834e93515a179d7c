package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/bodies"
	"craneglade/internal/wire"
	"craneglade/policy"
)

var (
	errCanceled = errors.New("the attempt was cancelled")
	errTimeout  = errors.New("the attempt's time is up")
)

// answerTime is how long an answer may take from its first byte to its last.
const answerTime = 250 * time.Millisecond

// backend is one process behind the balancer.
type backend struct {
	number  uint32 // the policy's name for it
	id      string
	addr    string
	started int64
	left    bool         // off the list; guarded by node.mu
	heard   atomic.Int64 // attempts that something came back for
	stop    atomic.Int64 // Unix nanoseconds from which nothing new may be written to it; 0 for none

	// Guarded by pool.mu.
	ages    *admission.Ages
	conns   []*backendConn // those with no owner, the latest last
	retired bool           // no connection is kept any more
}

// attempt is one send of a request to a backend.
type attempt struct {
	request *request
	index   int
	backend *backend
	sent    time.Duration
	wait    time.Duration
	cancel  context.CancelCauseFunc
}

// result is how an attempt ended, with the answer where it was served.
type result struct {
	outcome policy.Outcome
	load    policy.Load
	answer  answer
}

// run sends the request once and waits for what comes back. It returns only after a connection that it gave
// up is closed, so that an attempt that follows is never a second copy.
func (n *node) run(ctx context.Context, a *attempt) result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.wait, errTimeout)
	defer cancel()
	text, err := a.text()
	if err != nil {
		n.log.Warn("a request can't be written", "err", err)
		return result{outcome: policy.Moot}
	}
	b := a.backend
	heard := b.heard.Load()
	c, err := n.pool.get(ctx, b, n.effects[a.request.in.Header.Get("X-Class")] == policy.Unsafe)
	switch {
	case errors.Is(err, errSockets):
		return result{outcome: policy.Moot} // not the backend's doing, and not to be held against it
	case err != nil && context.Cause(ctx) == nil, errors.Is(context.Cause(ctx), errTimeout):
		if c != nil {
			n.pool.put(c)
		}
		return result{outcome: policy.ConnectFailed}
	case err != nil:
		return result{outcome: policy.Canceled}
	}
	// A send is stopped that was given up, or whose backend's drain grace ended, while it waited for a connection.
	if stop := b.stop.Load(); stop != 0 && time.Now().UnixNano() >= stop {
		n.pool.put(c)
		return result{outcome: policy.Moot}
	}
	if ctx.Err() != nil {
		n.pool.put(c)
		return result{outcome: policy.Canceled}
	}
	if p := a.request.body; p != nil && p.tier == bodies.Once && !p.begun.CompareAndSwap(false, true) {
		n.pool.put(c)
		return result{outcome: policy.Moot} // it is not kept, and an earlier attempt has begun to send it
	}
	giveUp := context.AfterFunc(ctx, func() { c.Close() })
	sent, err := c.Write(text)
	whole := sent == len(text)
	if p := a.request.body; err == nil && p != nil && p.memory == nil {
		err = p.send(ctx, c)
		whole = err == nil
		if errors.Is(err, errBody) || errors.Is(err, errClient) {
			n.pool.close(c) // the backend has only a part
			n.log.Warn("a body was not sent", "request", a.request.id, "err", err)
			if errors.Is(err, errClient) {
				n.cutOff(a.request, err)
			}
			return result{outcome: policy.Moot}
		}
	}
	var resp *http.Response
	var body []byte
	if err == nil {
		resp, body, err = c.read(a.request.in.Method, n.bodies.answer)
	}
	switch {
	case err == nil, errors.Is(err, errSpoilt):
		n.pool.learn(c, true)
	case context.Cause(ctx) == nil: // it ended by the backend's doing, before a byte
		n.pool.learn(c, false)
	}
	if err == nil && resp.ContentLength > maxBody {
		b.heard.Add(1)
		return n.flow(ctx, a, c, resp, giveUp)
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
		outcome := policy.Reset // unless shown otherwise it may have run
		switch cause := context.Cause(ctx); {
		case cause != nil && !errors.Is(cause, errTimeout):
			return result{outcome: policy.Canceled}
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
		n.log.Debug("an attempt broke off", "backend", b.id, "err", err)
		return result{outcome: outcome}
	}
	return n.judge(b, resp, body)
}

// text is the request as it goes out, with the headers that PROTOCOL knows.
func (a *attempt) text() ([]byte, error) {
	in := a.request.in
	req := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: http.Header{"User-Agent": nil},
		Body: http.NoBody}
	var body []byte // what goes out with the head
	if p := a.request.body; p != nil && p.memory != nil {
		body = p.memory
		req.ContentLength, req.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	for _, name := range once {
		if v, ok := in.Header[name]; ok {
			req.Header[name] = v
		}
	}
	req.Header.Set("X-Deadline", strconv.FormatInt(a.wait.Microseconds(), 10)+"u")
	var b bytes.Buffer
	b.Grow(1024 + len(body))
	if err := req.Write(&b); err != nil || body != nil || a.request.body == nil {
		return b.Bytes(), err
	}
	// The body follows: only its length goes with the head. No header stands before this one but Host, and none holds a
	// line's end.
	return bytes.Replace(b.Bytes(), []byte("\r\nContent-Length: 0\r\n"), fmt.Appendf(nil, "\r\nContent-Length: %d\r\n", in.ContentLength), 1), nil
}

// errSpoilt is an answer that can't be the backend's answer to the request. The request may have run.
var errSpoilt = errors.New("a spoilt answer")

// read reads one answer whole, before any of it goes on: one that breaks can still be tried again. Of one that is larger
// than the usual, up to most, it reads the head.
func (c *backendConn) read(method string, most int64) (*http.Response, []byte, error) {
	c.cap.N = maxHead + maxBody
	for {
		if _, err := c.in.Peek(1); err != nil {
			return nil, nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
			return nil, nil, err
		}
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
		if resp.StatusCode == http.StatusOK && resp.ContentLength > maxBody && resp.ContentLength <= most {
			c.cap.N += resp.ContentLength
			return resp, nil, nil
		}
		if resp.ContentLength > maxBody {
			return nil, nil, fmt.Errorf("%w: %d bytes", errSpoilt, resp.ContentLength)
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !strings.EqualFold(resp.Header.Get("Connection"), "close") {
			return nil, nil, fmt.Errorf("%w: no length", errSpoilt)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if err == nil && len(body) > maxBody {
			err = errors.New("too large a body")
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errSpoilt, err)
		}
		return resp, body, c.SetReadDeadline(time.Time{})
	}
}

// judge tells what an answer means.
func (n *node) judge(b *backend, resp *http.Response, body []byte) result {
	res := result{outcome: policy.Failed}
	if reports := resp.Header["X-Load"]; len(reports) > 0 && n.cfg.Settings.Reports {
		load, err := wire.DecodeLoad(reports[0])
		if err == nil && len(reports) == 1 {
			res.load = load
		} else {
			n.log.Debug("a load report makes no sense", "backend", b.id, "reports", reports)
		}
	}
	turned := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case turned && resp.Header.Get("X-Not-Run") == "1":
		res.outcome = policy.Full
	case resp.StatusCode == http.StatusOK:
		res.outcome = policy.OK
		res.answer = answer{status: http.StatusOK, header: resp.Header, body: body}
	}
	return res
}
