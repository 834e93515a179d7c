package stand

import (
	"net"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/kit/trace"
)

const (
	maxFillers         = 8                     // connections that are tried until a queue of none is full,
	fullAfterFailures  = 2                     // which it is after so many in a row that did not come up
	fillerDialTimeout  = 30 * time.Millisecond // a connection that is not up by then does not come up
	drainAcceptTimeout = 2 * time.Millisecond  // those that wait are there at once
	defaultBacklog     = 128                   // connections that wait to be taken; what net.Listen gives is at least this
)

// link is the way between a box and one node. While either direction of it is cut, no new connection comes up, as the
// kernel's replies would not arrive.
type link struct {
	ln            net.Listener
	node          trace.Node
	inCut, outCut bool          // what the node sends does not arrive, what the box sends does not
	restored      chan struct{} // closed when the link is whole again; nil while it is
	drained       chan struct{} // closed once what waited while it was cut is done away with; nil where nothing did

	mu      sync.Mutex // guards what follows; taken after Box.mu
	blocked bool
	fillers []net.Conn
}

// block has no connection come up: the listener keeps a queue of none, which the kit itself fills, so that the kernel
// drops what else comes (listen(2); on Linux with tcp_abort_on_overflow as it comes).
func (l *link) block() {
	l.mu.Lock()
	l.blocked = true
	l.mu.Unlock()
	if !l.setBacklog(0) {
		return // connections come up, and nothing is heard on them
	}
	for i, failures := 0, 0; i < maxFillers && failures < fullAfterFailures; i++ {
		c, err := net.DialTimeout("tcp", l.ln.Addr().String(), fillerDialTimeout)
		if err != nil {
			failures++ // the first one may still stand in the queue, and be taken off it just after
			continue
		}
		failures = 0
		l.mu.Lock()
		if l.blocked {
			l.fillers = append(l.fillers, c)
		} else {
			c.Close()
		}
		l.mu.Unlock()
	}
}

// unblock ends darken.
func (l *link) unblock() {
	l.mu.Lock()
	l.blocked = false
	fills := l.fillers
	l.fillers = nil
	l.mu.Unlock()
	l.setBacklog(defaultBacklog)
	for _, c := range fills {
		c.Close()
	}
}

// resetWaiting resets the connections that waited to be taken while the link was cut: on a real one none of them came up. It is
// called by who takes connections.
func (l *link) resetWaiting() {
	t, ok := l.ln.(*net.TCPListener)
	if !ok || t.SetDeadline(time.Now().Add(drainAcceptTimeout)) != nil {
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

// setBacklog sets how many connections may wait to be taken, and tells whether that could be done.
func (l *link) setBacklog(n int) bool {
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
func (b *Backend) SetCuts(cut func(node trace.Node) (in, out bool)) {
	var waits []<-chan struct{}
	defer func() { waitAll(waits) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.links {
		l.inCut, l.outCut = cut(l.node)
		waits = append(waits, b.updateLink(l))
	}
}

// waitAll waits for each channel's close; nil ones are none.
func waitAll(all []<-chan struct{}) {
	for _, c := range all {
		if c != nil {
			<-c
		}
	}
}

// updateLink brings a link to what is cut now. Where that makes it whole, what it returns is closed once what waited on it is
// done away with; nil where nothing did. b.mu is held.
func (b *Backend) updateLink(l *link) (ended <-chan struct{}) {
	cut := b.isolated || l.inCut || l.outCut
	switch {
	case cut && l.restored == nil && !b.closed:
		l.restored = make(chan struct{})
		b.wg.Go(l.block)
	case !cut && l.restored != nil:
		for c := range b.conns {
			if c.link == l {
				c.wasCut = true
				b.resetConn(c)
			}
		}
		close(l.restored)
		drained := l.drained
		l.restored, l.drained = nil, nil
		b.wg.Go(l.unblock)
		return drained
	}
	return nil
}

// canReceive tells whether what a node sends arrives, and says whether what the box sends does. b.mu is held.
func (b *Backend) canReceive(c *backendConn) bool { return !b.isolated && !c.link.inCut }
func (b *Backend) canSend(c *backendConn) bool    { return !b.isolated && !c.link.outCut }
