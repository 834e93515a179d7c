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

// settleTime is how long a connection rests after an answer: what a backend writes behind one must be there before
// the next request goes out, or it would pass for that request's answer. Nothing else tells the two apart. Second answers come "some
// milliseconds late"; the latest of 28 that were timed came 5.3 ms after the first.
const settleTime = 10 * time.Millisecond

var errNoDescriptor = errors.New("no descriptor is left for a connection to a backend")

// pool holds this node's connections to backends, within a part of the process's descriptors. Each has one owner at
// a time, and comes back only after an answer that was read whole with nothing behind it.
type pool struct {
	dial               func(ctx context.Context, addr string) (net.Conn, error)
	reach              *reach.Dialer // for boxes with several addresses
	quota              *quota.Quota
	maxSettleWait      time.Duration // for how long a request waits for a connection's rest; where it would be longer another is opened
	maxIdle            time.Duration // a connection that stood for this long is closed
	backendIdleTimeout time.Duration // for how long boxes keep them, as the settings have it
	now                func() time.Time
	sleep              func(ctx context.Context, d time.Duration) bool
	start              time.Time

	mu         sync.Mutex
	ages       *admission.Ages // for how long boxes keep connections, from all of them together
	open       int
	idleConns  lists.List // of *backendConn: those with no owner, the longest idle first
	sweepTimer *time.Timer
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
	p.reach = &reach.Dialer{Base: cfg.DialNetwork, Now: func() time.Duration { return time.Since(start) }, Take: p.quota.Take, Give: p.quota.Give}
	// A request written to a connection that the box has just closed ends as a reset: retire it before.
	p.maxIdle = cfg.BackendIdleTimeout * 9 / 10
	p.backendIdleTimeout, p.start = cfg.BackendIdleTimeout, p.now()
	p.ages = admission.NewAges(p.backendIdleTimeout, nil)
	return p
}

// backendPool is what the pool keeps for a box.
type backendPool struct {
	answers atomic.Int64 // attempts that something came back for

	// Guarded by pool.mu.
	ages    *admission.Ages
	conns   []*backendConn // those with no owner, the latest last
	retired bool           // no connection is kept any more
}

// backend is what is kept for a box.
func (p *pool) backend(b *engine.Backend) *backendPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backendLocked(b)
}

// backendLocked is of. p.mu is held.
func (p *pool) backendLocked(b *engine.Backend) *backendPool {
	if k, ok := b.Kept.(*backendPool); ok {
		return k
	}
	k := &backendPool{ages: admission.NewAges(p.backendIdleTimeout, p.ages)}
	b.Kept = k
	return k
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	limit       io.LimitedReader // between the socket and in: no answer goes on without end
	in          *bufio.Reader
	probe       *sock.Look
	backend     *backendPool
	addr        string         // of a box that has several; "" for others
	idleFor     time.Duration  // for how long it had when it was taken; 0 for one that has carried nothing yet
	idleSince   time.Time      // when it came to rest,
	idleElement *lists.Element // and where; nil while it has an owner. Guarded by pool.mu
}

// get returns a connection to b that nothing waits on, or opens one. Whoever has it hands it to put or close. What must
// not be sent twice goes only on a connection that the box is sure to have kept.
func (p *pool) get(ctx context.Context, k *backendPool, backend *engine.Backend, once bool) (*backendConn, error) {
	for {
		c := p.take(k, once, p.maxSettleWait)
		if c == nil {
			fresh, err := p.connect(ctx, k, backend)
			if !errors.Is(err, errNoDescriptor) {
				return fresh, err
			}
			if c = p.take(k, once, settleTime); c == nil {
				return nil, err
			}
		}
		if wait := settleTime - p.now().Sub(c.idleSince); wait > 0 {
			p.sleep(ctx, wait)
		}
		if c.probe.Pending() == sock.Nothing {
			return c, nil
		}
		p.close(c) // the backend has closed it, or sent what nobody asked for: seen in time, and no harm
	}
}

// noteReuse notes whether a connection that had rested held when it was used again.
func (p *pool) noteReuse(c *backendConn, intact bool) {
	if c.idleFor == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if intact {
		c.backend.ages.Held(p.now().Sub(p.start), c.idleFor)
	} else {
		c.backend.ages.Broke(p.now().Sub(p.start), c.idleFor)
	}
}

// take returns the latest used of b's connections that have rested, else the one that has rested for longest; none where
// it has rested for longer than b is known to keep one, or, for what must not be sent twice, is sure to, and none where it
// has longer to rest than wait.
func (p *pool) take(b *backendPool, once bool, wait time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, ages := p.now(), b.ages
	for longest := ages.Longest(); len(b.conns) > 0 && now.Sub(b.conns[0].idleSince) > longest; {
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
	if once && idleFor > ages.Sure() || settleTime-idleFor > wait {
		return nil
	}
	p.remove(c)
	c.idleFor = max(idleFor, 1)
	return c
}

// remove takes a connection out of those with no owner. p.mu is held.
func (p *pool) remove(c *backendConn) {
	p.idleConns.Remove(c.idleElement)
	c.idleElement = nil
	i := slices.Index(c.backend.conns, c)
	c.backend.conns = slices.Delete(c.backend.conns, i, i+1)
}

// connect opens a connection, for which one to another box makes room where there are too many.
func (p *pool) connect(ctx context.Context, k *backendPool, backend *engine.Backend) (*backendConn, error) {
	if !p.quota.Claim(p.closeOldestIdle) { // what it closes is another box's: this one has none
		return nil, errNoDescriptor
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	var conn net.Conn
	var err error
	addr := ""
	if addrs := backend.Addrs(); len(addrs) > 1 {
		conn, addr, err = p.reach.Dial(ctx, addrs, func() bool { return !backend.Shut() })
	} else {
		conn, err = p.dial(ctx, backend.Addr)
	}
	if err != nil {
		p.mu.Lock()
		p.countClosed()
		p.mu.Unlock()
		return nil, err
	}
	c := &backendConn{Conn: conn, probe: sock.NewLook(conn), backend: k, addr: addr}
	c.limit.R = conn
	c.in = bufio.NewReader(&c.limit)
	return c, nil
}

// put takes a connection back.
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

// close ends a connection that its owner has done with.
func (p *pool) close(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosed()
}

// countClosed counts a connection that has ended. p.mu is held.
func (p *pool) countClosed() {
	p.open--
	p.quota.Give()
}

// closeOldestIdle closes the connection that has rested for longest, and tells whether there was one.
func (p *pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.idleConns.Front()
	if oldest != nil {
		p.discard(oldest.Value.(*backendConn))
	}
	return oldest != nil
}

// discard closes a connection with no owner. p.mu is held.
func (p *pool) discard(c *backendConn) {
	p.remove(c)
	c.Close()
	p.countClosed()
}

// expire closes the connections that have stood for too long.
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

// closeIdle closes the connections to b that have no owner. With retire those that are in use follow.
func (p *pool) closeIdle(b *backendPool, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.retired = b.retired || retire
	for len(b.conns) > 0 {
		p.discard(b.conns[0])
	}
}

// stop closes all that have no owner, and ends the sweep.
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
