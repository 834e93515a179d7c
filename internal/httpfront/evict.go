package httpfront

import (
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/sock"
)

// forget removes a connection that was closed, and returns its descriptor and its slots.
func (s *Front) forget(c *clientConn) {
	s.mu.Lock()
	s.untrack(c)
	s.releaseDescriptor(c)
	wasEvicted := c.usesEvictionSlot
	s.mu.Unlock()
	if c.usesRejectSlot {
		<-s.rejectSlots
	}
	if wasEvicted {
		<-s.rejectSlots
	}
}

// evictForClient closes a connection that carries no request, so that another client gets its descriptor, and reports whether it
// found one. It waits until the connections that were evicted before leave a slot for this one, which keeps it until it is closed.
func (s *Front) evictForClient() bool {
	s.rejectSlots <- struct{}{}
	return s.evictIdle(true)
}

// EvictIdleForBackend closes a connection that carries no request, so that a backend connection gets its descriptor, and reports
// whether it found one. It spares the last few new connections, and does not wait for a slot.
func (s *Front) EvictIdleForBackend() bool {
	select {
	case s.rejectSlots <- struct{}{}:
		return s.evictIdle(false)
	default:
		return false
	}
}

// evictIdle evicts a connection that carries no request and releases its descriptor. The caller has taken a slot for it.
func (s *Front) evictIdle(forClient bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidate := s.account.EvictionCandidate(s.now(), forClient, func(c *admission.Conn) bool { return sock.Pending(c.Owner.(*clientConn).Conn) != sock.Empty })
	if candidate == nil {
		<-s.rejectSlots
		return false
	}
	victim := candidate.Owner.(*clientConn)
	victim.usesEvictionSlot = true
	s.evict(victim)
	s.releaseDescriptor(victim)
	return true
}

// releaseDescriptor returns a connection's descriptor to the quota. s.mu is held.
func (s *Front) releaseDescriptor(c *clientConn) {
	if c.hasDescriptor {
		c.hasDescriptor = false
		s.quota.Release()
	}
}

// untrack removes a connection from those that count. s.mu is held.
func (s *Front) untrack(c *clientConn) {
	delete(s.conns, c)
	s.account.Close(&c.account)
}

// evict removes a connection from those that count and ends its reads, so that it closes. A request that has just been read
// is still answered. s.mu is held.
func (s *Front) evict(c *clientConn) {
	if !c.closing {
		c.closing = true
		s.untrack(c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// closesAfterAnswer reports whether a connection closes after its next answer. At the limit of connections with requests, an
// idle one is closed instead, or else this one.
func (s *Front) closesAfterAnswer(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAfter, victim := s.account.BeforeAnswer(&c.account)
	if victim != nil {
		s.evict(victim.Owner.(*clientConn))
	}
	return closeAfter
}

// isEvicted reports whether a connection was evicted for another or by the shutdown.
func (s *Front) isEvicted(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closing
}
