package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"springflow/internal/wire"
	"springflow/policy"
)

var (
	errCanceled = errors.New("the attempt was cancelled")
	errTimeout  = errors.New("the attempt's time is up")
	errDrained  = errors.New("the backend's drain grace is over")
	errSockets  = errors.New("no descriptor is left for a connection to a backend")
)

// dialer opens connections to backends, within a part of the process's descriptors.
type dialer struct {
	net.Dialer
	limit   int64
	open    atomic.Int64
	idle    time.Duration
	reports bool
}

func newDialer(cfg Config) *dialer {
	d := &dialer{limit: int64(cfg.Sockets-ownSockets) * 3 / 8, reports: cfg.Settings.Reports}
	if cfg.Sockets == 0 {
		d.limit = 1 << 20
	}
	d.Timeout = cfg.Settings.ConnectTimeout
	d.KeepAlive = -1
	// A request written to a connection that the backend has just closed ends as a reset: retire it before.
	d.idle = cfg.Settings.ConnIdle * 9 / 10
	return d
}

// backend is one process behind the balancer, with its pool of connections.
type backend struct {
	number  uint32 // the policy's name for it
	id      string
	addr    string
	started int64
	limits  *dialer
	http    *http.Transport
	left    bool // off the list; guarded by node.mu
	gone    atomic.Bool
	heard   atomic.Int64 // attempts that something came back for
	stop    atomic.Int64 // Unix nanoseconds from which nothing new may be written to it; 0 for none
}

func (d *dialer) backend(number uint32, s *listed) *backend {
	b := &backend{number: number, id: s.ID, addr: s.Addr, started: s.StartedMS, limits: d}
	b.http = &http.Transport{
		DialContext:            d.dial,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    1 << 10, // a handshake costs a backend as much as part of a request: keep all
		IdleConnTimeout:        d.idle,
		MaxResponseHeaderBytes: maxBody,
	}
	return b
}

// settle closes what a backend that has left still holds open.
func (b *backend) settle() {
	if b.gone.Load() {
		b.http.CloseIdleConnections()
	}
}

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.open.Add(1) > d.limit {
		d.open.Add(-1)
		return nil, errSockets
	}
	c, err := d.Dialer.DialContext(ctx, network, addr)
	if err != nil {
		d.open.Add(-1)
		return nil, err
	}
	return &backendConn{Conn: c, d: d}, nil
}

// backendConn tells how much of a request was written, which proves that it never ran.
type backendConn struct {
	net.Conn
	d       *dialer
	once    sync.Once
	written atomic.Int64
	broken  atomic.Bool // a write failed: the last byte of the request in hand is not out
}

func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

func (c *backendConn) Close() error {
	c.once.Do(func() { c.d.open.Add(-1) })
	return c.Conn.Close()
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

// gate is a request's body for one attempt. It cannot be rewound, so that the transport never sends the
// request again by itself, not even one that carries an Idempotency-Key or has no body: that would be a
// further attempt. Its first read comes before the first byte is written: there a send is stopped whose
// backend's drain grace ended, or that was given up, while it waited for a connection.
type gate struct {
	bytes.Reader
	ctx     context.Context
	backend *backend
	open    bool
}

func (g *gate) Read(p []byte) (int, error) {
	if !g.open {
		if stop := g.backend.stop.Load(); stop != 0 && time.Now().UnixNano() >= stop {
			return 0, errDrained
		}
		if err := context.Cause(g.ctx); err != nil {
			return 0, err
		}
		g.open = true
	}
	return g.Reader.Read(p)
}

func (*gate) Close() error { return nil }

// run sends the request once and waits for what comes back. It returns only after a connection that it gave
// up is closed, so that an attempt that follows is never a second copy.
func (a *attempt) run(ctx context.Context, log *slog.Logger) result {
	ctx, cancel := context.WithTimeoutCause(ctx, a.wait, errTimeout)
	defer cancel()
	var conn *backendConn
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*backendConn); conn != nil {
			before = conn.written.Load()
		}
	}})
	in := a.request.in
	url := *in.URL
	url.Scheme, url.Host = "http", a.backend.addr
	body := &gate{ctx: ctx, backend: a.backend}
	body.Reset(a.request.body)
	req := (&http.Request{Method: in.Method, URL: &url, Host: in.Host, Header: http.Header{}, Body: body,
		ContentLength: int64(len(a.request.body))}).WithContext(ctx)
	for _, name := range once {
		if v, ok := in.Header[name]; ok {
			req.Header[name] = v
		}
	}
	req.Header.Set("User-Agent", "") // or the transport would put its own
	req.Header.Set("X-Deadline", strconv.FormatInt(a.wait.Microseconds(), 10)+"u")
	heard := a.backend.heard.Load()
	resp, err := a.backend.http.RoundTrip(req)
	if err != nil {
		outcome := a.failure(ctx, err)
		if outcome == policy.Moot || outcome == policy.Canceled {
			// Not the backend's doing, also when it comes while a connection is opened: a failure to connect would
			// be held against it.
			return result{outcome: outcome}
		}
		if a.backend.heard.Load() == heard {
			// Nothing came back from this backend for the whole of the attempt. When a machine was cut off, each
			// connection kept from before would swallow one more request, and reset one when it is back.
			a.backend.http.CloseIdleConnections()
		}
		if conn == nil || conn.written.Load() == before || conn.broken.Load() {
			outcome = policy.ConnectFailed // its last byte was never written
		}
		return result{outcome: outcome}
	}
	defer resp.Body.Close()
	a.backend.heard.Add(1)
	res := result{}
	if text := resp.Header.Get("X-Load"); text != "" && a.backend.limits.reports {
		if res.load, err = wire.DecodeLoad(text); err != nil {
			log.Debug("a load report makes no sense", "backend", a.backend.id, "report", text)
		}
	}
	// The answer is read whole before any of it goes on: one that breaks can still be tried again.
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch turned := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout; {
	case turned && resp.Header.Get("X-Not-Run") == "1":
		res.outcome = policy.Full
	case err != nil:
		res.outcome = a.failure(ctx, err)
	case resp.StatusCode != http.StatusOK || len(text) > maxBody:
		res.outcome = policy.Failed
	default:
		res.outcome = policy.OK
		res.answer = answer{status: http.StatusOK, header: resp.Header, body: text}
	}
	return res
}

// failure tells why an attempt that broke off did. Unless shown otherwise it may have run.
func (a *attempt) failure(ctx context.Context, err error) policy.Outcome {
	if errors.Is(err, errDrained) || errors.Is(err, errSockets) {
		return policy.Moot
	}
	switch context.Cause(ctx) {
	case nil:
		return policy.Reset
	case errTimeout:
		return policy.TimedOut
	}
	return policy.Canceled
}
