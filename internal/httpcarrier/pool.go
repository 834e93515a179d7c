package httpcarrier

import (
	"bufio"
	lists "container/list"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/quota"
	"craneglade/internal/reach"
	"craneglade/internal/sock"
	"craneglade/internal/timing"
)

// settleTime is how long a connection is not used after an answer. A second answer that a backend sends to the same request
// must arrive before the next request is sent, or it would be taken for that one's answer; nothing else tells them apart.
// Second answers come "some milliseconds late"; the latest of 28 came 5.3 ms after the first.
const settleTime = 10 * time.Millisecond

var errNoDescriptor = errors.New("no descriptor is left for a connection to a backend")

// pool holds the node's connections to backends, within the descriptor quota of the carrier. Each has one owner at a time and
// is returned only after an answer that was read completely with no data after it.
type pool struct {
	dial               func(ctx context.Context, addr string) (net.Conn, error)
	reach              *reach.Dialer // for backends with several addresses
	quota              *quota.Quota
	maxSettleWait      time.Duration // how long a request waits for a connection to settle; beyond that, another is opened
	maxIdle            time.Duration // a connection idle for this long is closed
	backendIdleTimeout time.Duration // when backends close idle connections, according to the settings; 0 if unknown
	now                func() time.Time
	sleep              func(ctx context.Context, d time.Duration) bool
	start              time.Time

	mu            sync.Mutex
	idleEstimator *admission.IdleEstimator // idle times at which connections were still open, over all backends
	open          int
	idleConns     lists.List // of *backendConn, without an owner, longest idle first
	sweepTimer    *time.Timer
}

func newPool(cfg Config) *pool {
	p := &pool{quota: cfg.Quota, dial: cfg.Dial, now: cfg.Now, sleep: cfg.Sleep, maxSettleWait: cfg.MaxSettleWait}
	if p.now == nil {
		p.now = time.Now
	}
	if p.sleep == nil {
		p.sleep = timing.Sleep
	}
	start := time.Now()
	p.reach = &reach.Dialer{Base: cfg.DialNetwork, Now: func() time.Duration { return time.Since(start) }, AcquireDescriptor: p.quota.Acquire, ReleaseDescriptor: p.quota.Release}
	// A request written to a connection that the backend has just closed ends as a reset: close the connection earlier.
	p.maxIdle = cfg.BackendIdleTimeout * 9 / 10
	p.backendIdleTimeout, p.start = cfg.BackendIdleTimeout, p.now()
	p.idleEstimator = admission.NewIdleEstimator(p.backendIdleTimeout, nil)
	return p
}

// backendPool is the pool's state of one backend.
type backendPool struct {
	answers atomic.Int64 // number of attempts that got an answer, valid or not

	// Guarded by pool.mu.
	idleEstimator *admission.IdleEstimator
	conns         []*backendConn // idle connections, most recently used last
	retired       bool           // connections are closed when they become idle
}

// backend returns the pool's state of a backend.
func (p *pool) backend(b *engine.Backend) *backendPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backendLocked(b)
}

// backendLocked is like backend. p.mu is held.
func (p *pool) backendLocked(b *engine.Backend) *backendPool {
	if k, ok := b.CarrierState.(*backendPool); ok {
		return k
	}
	k := &backendPool{idleEstimator: admission.NewIdleEstimator(p.backendIdleTimeout, p.idleEstimator)}
	b.CarrierState = k
	return k
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	limit       io.LimitedReader // between the socket and in: limits the size of an answer
	in          *bufio.Reader
	probe       *sock.Peeker
	backend     *backendPool
	addr        string         // the address used, if the backend has several; otherwise ""
	openedAt    time.Time      // when it was open
	idleFor     time.Duration  // how long it had been idle when it was taken; 0 if it is new
	idleSince   time.Time      // when it became idle
	idleElement *lists.Element // in pool.idleConns; nil while it has an owner; guarded by pool.mu
}

// get returns an idle connection to a backend on which no data waits, or opens one. The caller must pass it to put or close.
// With once, for a request that must not be sent twice, it returns only a connection that the backend very likely still keeps.
func (p *pool) get(ctx context.Context, k *backendPool, backend *engine.Backend, once bool) (*backendConn, error) {
	for {
		c := p.take(k, once, p.maxSettleWait)
		if c == nil {
			conn, err := p.connect(ctx, k, backend)
			if !errors.Is(err, errNoDescriptor) {
				return conn, err
			}
			if c = p.take(k, once, settleTime); c == nil {
				return nil, err
			}
		}
		if wait := settleTime - p.now().Sub(c.idleSince); wait > 0 {
			p.sleep(ctx, wait)
		}
		if c.probe.Pending() == sock.Empty {
			return c, nil
		}
		p.close(c) // the backend has closed it, or sent an unexpected second answer: no request is lost
	}
}

// noteReuse records whether a connection that had been idle was still intact when it was used again.
func (p *pool) noteReuse(c *backendConn, intact bool) {
	if c.idleFor == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if intact {
		c.backend.idleEstimator.RecordReuse(p.now().Sub(p.start), c.idleFor)
	} else {
		c.backend.idleEstimator.RecordReset(p.now().Sub(p.start), c.idleFor)
	}
}

// take returns the most recently used connection to b that has settled, or else the one that has been idle for longest. It
// returns nil if that one has been idle for longer than b is known to keep connections (with once: than b is sure to keep
// them), or if it needs more than wait to settle.
func (p *pool) take(b *backendPool, once bool, wait time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, estimator := p.now(), b.idleEstimator
	for longest := estimator.MaxIdle(); len(b.conns) > 0 && now.Sub(b.conns[0].idleSince) > longest; {
		p.discard(b.conns[0])
	}
	if len(b.conns) == 0 {
		return nil
	}
	c := b.conns[0]
	for _, o := range slices.Backward(b.conns) {
		if now.Sub(o.idleSince) >= settleTime {
			c = o
			break
		}
	}
	idleFor := now.Sub(c.idleSince)
	if once && idleFor > estimator.SafeIdle() || settleTime-idleFor > wait {
		return nil
	}
	p.remove(c)
	c.idleFor = max(idleFor, 1)
	return c
}

// remove removes a connection from the idle ones. p.mu is held.
func (p *pool) remove(c *backendConn) {
	p.idleConns.Remove(c.idleElement)
	c.idleElement = nil
	i := slices.Index(c.backend.conns, c)
	c.backend.conns = slices.Delete(c.backend.conns, i, i+1)
}

// connect opens a connection. At the descriptor limit it first closes an idle connection to another backend.
func (p *pool) connect(ctx context.Context, k *backendPool, backend *engine.Backend) (*backendConn, error) {
	if !p.quota.AcquireOrReclaim(p.closeOldestIdle) { // this backend has no idle connection, so that of another one is closed
		return nil, errNoDescriptor
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	var conn net.Conn
	var err error
	addr := ""
	if addrs := backend.Addrs(); len(addrs) > 1 {
		conn, addr, err = p.reach.Dial(ctx, addrs, func() bool { return !backend.WritesStopped() })
	} else {
		conn, err = p.dial(ctx, backend.Addr)
	}
	if err != nil {
		p.mu.Lock()
		p.countClosed()
		p.mu.Unlock()
		return nil, err
	}
	c := &backendConn{Conn: conn, probe: sock.NewPeeker(conn), backend: k, addr: addr, openedAt: time.Now()}
	c.limit.R = conn
	c.in = bufio.NewReader(&c.limit)
	return c, nil
}

// put returns a connection to the pool.
func (p *pool) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.backend.retired {
		c.Close()
		p.countClosed()
		return
	}
	c.idleSince = p.now()
	c.idleElement = p.idleConns.PushBack(c)
	c.backend.conns = append(c.backend.conns, c)
	if p.maxIdle > 0 && p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.maxIdle, p.expire)
	}
}

// close closes a connection that its owner no longer needs.
func (p *pool) close(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosed()
}

// countClosed accounts for a closed connection. p.mu is held.
func (p *pool) countClosed() {
	p.open--
	p.quota.Release()
}

// closeOldestIdle closes the connection that has been idle for longest and reports whether there was one.
func (p *pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.idleConns.Front()
	if oldest != nil {
		p.discard(oldest.Value.(*backendConn))
	}
	return oldest != nil
}

// discard closes an idle connection. p.mu is held.
func (p *pool) discard(c *backendConn) {
	p.remove(c)
	c.Close()
	p.countClosed()
}

// expire closes the connections that have been idle for too long.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	for e := p.idleConns.Front(); e != nil; e = p.idleConns.Front() {
		c := e.Value.(*backendConn)
		if remaining := p.maxIdle - p.now().Sub(c.idleSince); remaining > 0 {
			p.sweepTimer = time.AfterFunc(remaining, p.expire)
			return
		}
		p.discard(c)
	}
}

// closeIdle closes the idle connections to b. With retire, those in use are closed when they are returned.
func (p *pool) closeIdle(b *backendPool, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.retired = b.retired || retire
	for len(b.conns) > 0 {
		p.discard(b.conns[0])
	}
}

// stop closes all idle connections and stops the sweep timer.
func (p *pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idleConns.Front(); e != nil; e = p.idleConns.Front() {
		p.discard(e.Value.(*backendConn))
	}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
}
