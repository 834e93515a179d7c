package stand

import (
	"net"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/kit/trace"
)

const (
	fillers    = 8                     // connections that are tried until a queue of none is full,
	fullAfter  = 2                     // which it is after so many in a row that did not come up
	fillTime   = 30 * time.Millisecond // a connection that is not up by then does not come up
	drainTime  = 2 * time.Millisecond  // those that wait are there at once
	usualQueue = 128                   // connections that wait to be taken; what net.Listen gives is at least this
)

// link is the way between a box and one node. While either direction of it is cut, no new connection comes up, as the
// kernel's replies would not arrive.
type link struct {
	ln      net.Listener
	node    trace.Node
	in, out bool          // what the node sends does not arrive, what the box sends does not
	back    chan struct{} // closed when the link is whole again; nil while it is
	holds   chan struct{} // closed once what waited while it was cut is done away with; nil where nothing did

	mu    sync.Mutex // guards what follows; taken after Box.mu
	dark  bool
	fills []net.Conn
}

// darken has no connection come up: the listener keeps a queue of none, which the kit itself fills, so that the kernel
// drops what else comes (listen(2); on Linux with tcp_abort_on_overflow as it comes).
func (l *link) darken() {
	l.mu.Lock()
	l.dark = true
	l.mu.Unlock()
	if !l.queue(0) {
		return // connections come up, and nothing is heard on them
	}
	for i, failed := 0, 0; i < fillers && failed < fullAfter; i++ {
		c, err := net.DialTimeout("tcp", l.ln.Addr().String(), fillTime)
		if err != nil {
			failed++ // the first one may still stand in the queue, and be taken off it just after
			continue
		}
		failed = 0
		l.mu.Lock()
		if l.dark {
			l.fills = append(l.fills, c)
		} else {
			c.Close()
		}
		l.mu.Unlock()
	}
}

// lighten ends darken.
func (l *link) lighten() {
	l.mu.Lock()
	l.dark = false
	fills := l.fills
	l.fills = nil
	l.mu.Unlock()
	l.queue(usualQueue)
	for _, c := range fills {
		c.Close()
	}
}

// drain resets the connections that waited to be taken while the link was cut: on a real one none of them came up. It is
// called by who takes connections.
func (l *link) drain() {
	t, ok := l.ln.(*net.TCPListener)
	if !ok || t.SetDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	for {
		c, err := t.Accept()
		if err != nil {
			break
		}
		reset(c)
	}
	t.SetDeadline(time.Time{})
}

// queue sets how many connections may wait to be taken, and tells whether that could be done.
func (l *link) queue(n int) bool {
	t, ok := l.ln.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	set := false
	err = raw.Control(func(fd uintptr) { set = syscall.Listen(int(fd), n) == nil })
	return err == nil && set
}

// SetCuts cuts the box off from nodes, as of tells for each: from what the node sends (in), what is sent to it (out), both or
// neither. Connections that were open under a cut are reset when it ends, and those that begin after it come up.
func (b *Backend) SetCuts(of func(node trace.Node) (in, out bool)) {
	var ended []<-chan struct{}
	defer func() { await(ended) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.links {
		l.in, l.out = of(l.node)
		ended = append(ended, b.turn(l))
	}
}

// await waits for each channel's close; nil ones are none.
func await(all []<-chan struct{}) {
	for _, c := range all {
		if c != nil {
			<-c
		}
	}
}

// turn brings a link to what is cut now. Where that makes it whole, what it returns is closed once what waited on it is
// done away with; nil where nothing did. b.mu is held.
func (b *Backend) turn(l *link) (ended <-chan struct{}) {
	cut := b.silent || l.in || l.out
	switch {
	case cut && l.back == nil && !b.closed:
		l.back = make(chan struct{})
		b.wg.Go(l.darken)
	case !cut && l.back != nil:
		for c := range b.conns {
			if c.link == l {
				c.cut = true
				b.lost(c)
			}
		}
		close(l.back)
		holds := l.holds
		l.back, l.holds = nil, nil
		b.wg.Go(l.lighten)
		return holds
	}
	return nil
}

// hears tells whether what a node sends arrives, and says whether what the box sends does. b.mu is held.
func (b *Backend) hears(c *boxConn) bool { return !b.silent && !c.link.in }
func (b *Backend) says(c *boxConn) bool  { return !b.silent && !c.link.out }
