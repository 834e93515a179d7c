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

// restTime is how long a connection rests after an answer: what a backend writes behind one must be there before
// the next request goes out, or it would pass for that request's answer. Nothing else tells the two apart. Second answers come "some
// milliseconds late"; the latest of 28 that were timed came 5.3 ms after the first.
const restTime = 10 * time.Millisecond

var errSockets = errors.New("no descriptor is left for a connection to a backend")

// pool holds this node's connections to backends, within a part of the process's descriptors. Each has one owner at
// a time, and comes back only after an answer that was read whole with nothing behind it.
type pool struct {
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	reach *reach.Dialer // for boxes with several addresses
	quota *quota.Quota
	wait  time.Duration // for how long a request waits for a connection's rest; where it would be longer another is opened
	idle  time.Duration // a connection that stood for this long is closed
	told  time.Duration // for how long boxes keep them, as the settings have it
	now   func() time.Time
	pause func(ctx context.Context, d time.Duration) bool
	start time.Time

	mu    sync.Mutex
	ages  *admission.IdleEstimator // for how long boxes keep connections, from all of them together
	open  int
	rest  lists.List // of *backendConn: those with no owner, the longest idle first
	sweep *time.Timer
}

func newPool(cfg Config) *pool {
	p := &pool{quota: cfg.Quota, dial: cfg.Dial, now: cfg.Now, pause: cfg.Pause, wait: cfg.RestWait}
	if p.now == nil {
		p.now = time.Now
	}
	if p.pause == nil {
		p.pause = timing.Sleep
	}
	begun := time.Now()
	p.reach = &reach.Dialer{Base: cfg.DialOn, Now: func() time.Duration { return time.Since(begun) }, Take: p.quota.Take, Give: p.quota.Give}
	// A request written to a connection that the box has just closed ends as a reset: retire it before.
	p.idle = cfg.Idle * 9 / 10
	p.told, p.start = cfg.Idle, p.now()
	p.ages = admission.NewIdleEstimator(p.told, nil)
	return p
}

// kept is what the pool keeps for a box.
type kept struct {
	heard atomic.Int64 // attempts that something came back for

	// Guarded by pool.mu.
	ages    *admission.IdleEstimator
	conns   []*backendConn // those with no owner, the latest last
	retired bool           // no connection is kept any more
}

// of is what is kept for a box.
func (p *pool) of(b *engine.Backend) *kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ofLocked(b)
}

// ofLocked is of. p.mu is held.
func (p *pool) ofLocked(b *engine.Backend) *kept {
	if k, ok := b.Kept.(*kept); ok {
		return k
	}
	k := &kept{ages: admission.NewIdleEstimator(p.told, p.ages)}
	b.Kept = k
	return k
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	cap    io.LimitedReader // between the socket and in: no answer goes on without end
	in     *bufio.Reader
	look   *sock.Look
	box    *kept
	addr   string         // of a box that has several; "" for others
	rested time.Duration  // for how long it had when it was taken; 0 for one that has carried nothing yet
	since  time.Time      // when it came to rest,
	place  *lists.Element // and where; nil while it has an owner. Guarded by pool.mu
}

// get returns a connection to b that nothing waits on, or opens one. Whoever has it hands it to put or close. What must
// not be sent twice goes only on a connection that the box is sure to have kept.
func (p *pool) get(ctx context.Context, k *kept, box *engine.Backend, once bool) (*backendConn, error) {
	for {
		c := p.take(k, once, p.wait)
		if c == nil {
			fresh, err := p.connect(ctx, k, box)
			if !errors.Is(err, errSockets) {
				return fresh, err
			}
			if c = p.take(k, once, restTime); c == nil {
				return nil, err
			}
		}
		if wait := restTime - p.now().Sub(c.since); wait > 0 {
			p.pause(ctx, wait)
		}
		if c.look.Pending() == sock.Nothing {
			return c, nil
		}
		p.close(c) // the backend has closed it, or sent what nobody asked for: seen in time, and no harm
	}
}

// learn notes whether a connection that had rested held when it was used again.
func (p *pool) learn(c *backendConn, held bool) {
	if c.rested == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if held {
		c.box.ages.RecordReuse(p.now().Sub(p.start), c.rested)
	} else {
		c.box.ages.RecordReset(p.now().Sub(p.start), c.rested)
	}
}

// take returns the latest used of b's connections that have rested, else the one that has rested for longest; none where
// it has rested for longer than b is known to keep one, or, for what must not be sent twice, is sure to, and none where it
// has longer to rest than wait.
func (p *pool) take(b *kept, once bool, wait time.Duration) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, known := p.now(), b.ages
	for longest := known.MaxIdle(); len(b.conns) > 0 && now.Sub(b.conns[0].since) > longest; {
		p.discard(b.conns[0])
	}
	if len(b.conns) == 0 {
		return nil
	}
	c := b.conns[0]
	for _, o := range slices.Backward(b.conns) {
		if now.Sub(o.since) >= restTime {
			c = o
			break
		}
	}
	rested := now.Sub(c.since)
	if once && rested > known.SafeIdle() || restTime-rested > wait {
		return nil
	}
	p.remove(c)
	c.rested = max(rested, 1)
	return c
}

// remove takes a connection out of those with no owner. p.mu is held.
func (p *pool) remove(c *backendConn) {
	p.rest.Remove(c.place)
	c.place = nil
	i := slices.Index(c.box.conns, c)
	c.box.conns = slices.Delete(c.box.conns, i, i+1)
}

// connect opens a connection, for which one to another box makes room where there are too many.
func (p *pool) connect(ctx context.Context, k *kept, box *engine.Backend) (*backendConn, error) {
	if !p.quota.Claim(p.spare) { // what it closes is another box's: this one has none
		return nil, errSockets
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	var conn net.Conn
	var err error
	addr := ""
	if addrs := box.Addrs(); len(addrs) > 1 {
		conn, addr, err = p.reach.Dial(ctx, addrs, func() bool { return !box.Shut() })
	} else {
		conn, err = p.dial(ctx, box.Addr)
	}
	if err != nil {
		p.mu.Lock()
		p.gone()
		p.mu.Unlock()
		return nil, err
	}
	c := &backendConn{Conn: conn, look: sock.NewLook(conn), box: k, addr: addr}
	c.cap.R = conn
	c.in = bufio.NewReader(&c.cap)
	return c, nil
}

// put takes a connection back.
func (p *pool) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.box.retired {
		c.Close()
		p.gone()
		return
	}
	c.since = p.now()
	c.place = p.rest.PushBack(c)
	c.box.conns = append(c.box.conns, c)
	if p.idle > 0 && p.sweep == nil {
		p.sweep = time.AfterFunc(p.idle, p.expire)
	}
}

// close ends a connection that its owner has done with.
func (p *pool) close(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone()
}

// gone counts a connection that has ended. p.mu is held.
func (p *pool) gone() {
	p.open--
	p.quota.Give()
}

// spare closes the connection that has rested for longest, and tells whether there was one.
func (p *pool) spare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.rest.Front()
	if oldest != nil {
		p.discard(oldest.Value.(*backendConn))
	}
	return oldest != nil
}

// discard closes a connection with no owner. p.mu is held.
func (p *pool) discard(c *backendConn) {
	p.remove(c)
	c.Close()
	p.gone()
}

// expire closes the connections that have stood for too long.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	for e := p.rest.Front(); e != nil; e = p.rest.Front() {
		c := e.Value.(*backendConn)
		if left := p.idle - p.now().Sub(c.since); left > 0 {
			p.sweep = time.AfterFunc(left, p.expire)
			return
		}
		p.discard(c)
	}
}

// clear closes the connections to b that have no owner. With retire those that are in use follow.
func (p *pool) clear(b *kept, retire bool) {
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
	for e := p.rest.Front(); e != nil; e = p.rest.Front() {
		p.discard(e.Value.(*backendConn))
	}
	if p.sweep != nil {
		p.sweep.Stop()
	}
}
