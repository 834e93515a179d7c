package node

import (
	"bufio"
	lists "container/list"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/admission"
)

// restTime is how long a connection rests after an answer: what a backend writes behind one must be there before
// the next request goes out, or it would pass for that request's answer.
const restTime = 3 * time.Millisecond

var errSockets = errors.New("no descriptor is left for a connection to a backend")

// pool holds this node's connections to backends, within a part of the process's descriptors. Each has one owner at
// a time, and comes back only after an answer that was read whole with nothing behind it.
type pool struct {
	dialer net.Dialer
	limit  int
	idle   time.Duration // a connection that stood for this long is closed
	told   time.Duration // for how long boxes keep them, as the settings have it
	start  time.Time

	mu    sync.Mutex
	ages  *admission.Ages // for how long boxes keep connections, from all of them together
	open  int
	rest  lists.List // of *backendConn: those with no owner, the longest idle first
	sweep *time.Timer
}

func newPool(cfg Config) *pool {
	p := &pool{limit: (cfg.Sockets - ownSockets) * 3 / 8}
	if cfg.Sockets == 0 {
		p.limit = 1 << 20
	}
	p.dialer = net.Dialer{Timeout: cfg.Settings.ConnectTimeout, KeepAlive: -1}
	// A request written to a connection that the backend has just closed ends as a reset: retire it before.
	p.idle = cfg.Settings.ConnIdle * 9 / 10
	p.told, p.start = cfg.Settings.ConnIdle, time.Now()
	p.ages = admission.NewAges(p.told, nil)
	return p
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	cap     io.LimitedReader // between the socket and in: no answer goes on without end
	in      *bufio.Reader
	backend *backend
	rested  time.Duration  // for how long it had when it was taken; 0 for one that has carried nothing yet
	since   time.Time      // when it came to rest,
	place   *lists.Element // and where; nil while it has an owner. Guarded by pool.mu
}

// get returns a connection to b that nothing waits on, or opens one. Whoever has it hands it to put or close. What must
// not be sent twice goes only on a connection that the box is sure to have kept.
func (p *pool) get(ctx context.Context, b *backend, once bool) (*backendConn, error) {
	for {
		c := p.take(b, once)
		if c == nil {
			return p.dial(ctx, b)
		}
		if wait := restTime - time.Since(c.since); wait > 0 {
			sleep(ctx, wait)
		}
		if pending(c.Conn) == nothing {
			return c, nil
		}
		p.close(c) // the backend has closed it, or sent what nobody asked for: seen in time, and no harm
	}
}

// known is what is known of how long b keeps connections. p.mu is held.
func (p *pool) known(b *backend) *admission.Ages {
	if b.ages == nil {
		b.ages = admission.NewAges(p.told, p.ages)
	}
	return b.ages
}

// learn notes whether a connection that had rested held when it was used again.
func (p *pool) learn(c *backendConn, held bool) {
	if c.rested == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if held {
		p.known(c.backend).Held(time.Since(p.start), c.rested)
	} else {
		p.known(c.backend).Broke(time.Since(p.start), c.rested)
	}
}

// take returns the latest used of b's connections that have rested, else the one that has rested for longest; none where
// it has rested for longer than b is known to keep one, or, for what must not be sent twice, is sure to.
func (p *pool) take(b *backend, once bool) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, known := time.Now(), p.known(b)
	for longest := known.Longest(); len(b.conns) > 0 && now.Sub(b.conns[0].since) > longest; {
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
	if once && rested > known.Sure() {
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
	i := slices.Index(c.backend.conns, c)
	c.backend.conns = slices.Delete(c.backend.conns, i, i+1)
}

func (p *pool) dial(ctx context.Context, b *backend) (*backendConn, error) {
	p.mu.Lock()
	if p.open >= p.limit {
		oldest := p.rest.Front() // to another backend: this one has none
		if oldest == nil {
			p.mu.Unlock()
			return nil, errSockets
		}
		p.discard(oldest.Value.(*backendConn))
	}
	p.open++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", b.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &backendConn{Conn: conn, backend: b}
	c.cap.R = conn
	c.in = bufio.NewReader(&c.cap)
	return c, nil
}

// put takes a connection back.
func (p *pool) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.backend.retired {
		p.open--
		c.Close()
		return
	}
	c.since = time.Now()
	c.place = p.rest.PushBack(c)
	c.backend.conns = append(c.backend.conns, c)
	if p.idle > 0 && p.sweep == nil {
		p.sweep = time.AfterFunc(p.idle, p.expire)
	}
}

// close ends a connection that its owner has done with.
func (p *pool) close(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// discard closes a connection with no owner. p.mu is held.
func (p *pool) discard(c *backendConn) {
	p.remove(c)
	p.open--
	c.Close()
}

// expire closes the connections that have stood for too long.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	for e := p.rest.Front(); e != nil; e = p.rest.Front() {
		c := e.Value.(*backendConn)
		if left := p.idle - time.Since(c.since); left > 0 {
			p.sweep = time.AfterFunc(left, p.expire)
			return
		}
		p.discard(c)
	}
}

// clear closes the connections to b that have no owner. With retire those that are in use follow.
func (p *pool) clear(b *backend, retire bool) {
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

// waiting is what can be read from a socket at this moment.
type waiting uint8

const (
	nothing waiting = iota
	bytesThere
	ended // the other side has closed the connection, or it broke
)

// pending looks at what a socket has received, without taking any of it and without waiting.
func pending(c net.Conn) waiting {
	s, ok := c.(syscall.Conn)
	if !ok {
		return ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ended
	}
	w := ended
	raw.Control(func(fd uintptr) { // an error means that it is closed here
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			w = bytesThere
		case err == syscall.EAGAIN:
			w = nothing
		}
	})
	return w
}
