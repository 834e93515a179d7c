package stand

import (
	"net"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/kit/trace"
)

const (
	maxFillers         = 8                     // connections that are tried to fill a backlog of 0
	fullAfterFailures  = 2                     // the backlog is full after this many failures in a row
	fillerDialTimeout  = 30 * time.Millisecond // a connection that is not established by then will not be
	drainAcceptTimeout = 2 * time.Millisecond  // connections that wait in the backlog are accepted at once
	defaultBacklog     = 128                   // of a listener that is not blocked; net.Listen gives at least this
)

// link is the network path between a backend and one node. While either direction is cut, no new connection is
// established, as the handshake would not complete.
type link struct {
	ln            net.Listener
	node          trace.Node
	inCut, outCut bool          // traffic from the node, and to the node, is lost
	restored      chan struct{} // closed when the link is restored; nil while it is not cut
	drained       chan struct{} // closed once the connections that waited during the cut are reset; nil if there were none

	mu      sync.Mutex // guards the fields below; locked after Backend.mu
	blocked bool
	fillers []net.Conn
}

// block prevents new connections: it sets the listener's backlog to 0 and fills it with connections of its own, so
// that the kernel drops all others (listen(2); on Linux with the default of tcp_abort_on_overflow).
func (l *link) block() {
	l.mu.Lock()
	l.blocked = true
	l.mu.Unlock()
	if !l.setBacklog(0) {
		return // connections are still established, but nothing is read from them
	}
	for i, failures := 0, 0; i < maxFillers && failures < fullAfterFailures; i++ {
		c, err := net.DialTimeout("tcp", l.ln.Addr().String(), fillerDialTimeout)
		if err != nil {
			failures++ // a connection still in the backlog may be accepted a moment later
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

// unblock ends block.
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

// resetWaiting resets the connections that waited in the backlog during the cut: over a real network none of them would
// have been established. Only the accept loop calls it.
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

// setBacklog sets how many connections may wait to be accepted, and reports whether that succeeded.
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

// SetCuts sets for each node which direction of its link is cut: from the node (in), to it (out), both or neither.
// Connections that were open during a cut are reset when it ends; new ones succeed from then on.
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

// waitAll waits until each channel is closed; nil channels are skipped.
func waitAll(all []<-chan struct{}) {
	for _, c := range all {
		if c != nil {
			<-c
		}
	}
}

// updateLink applies the current cuts to a link. If that restores it, the returned channel is closed once the
// connections that waited during the cut are reset; nil if there were none. The caller holds b.mu.
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

// canReceive reports whether traffic from the node arrives, and canSend whether traffic to it does. The caller holds
// b.mu.
func (b *Backend) canReceive(c *backendConn) bool { return !b.isolated && !c.link.inCut }
func (b *Backend) canSend(c *backendConn) bool    { return !b.isolated && !c.link.outCut }
