package httpfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/sock"
)

// closeInterval is how often connections whose request is still incomplete are closed, once all accepted requests should be
// answered.
const closeInterval = 20 * time.Millisecond

// backlogTimeout is how long connections that wait in the backlog are still accepted after the time to close the listener, in
// case the process is late.
const backlogTimeout = 200 * time.Millisecond

// Serve serves clients on ln until ctx ends, and then until all accepted requests are answered.
func (s *Front) Serve(ctx context.Context, ln net.Listener) error {
	defer s.stop()
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept(ln) }()
	select {
	case err := <-accepted:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.shutDown(ln, accepted)
}

// shutDown ends the front; accepted receives the result of the accept loop. New connections keep arriving for a while, and
// clients keep using theirs. Requests that this node still answers need no capacity elsewhere, so it serves them as long as
// their answers can be in time, and has answered all before it may be killed.
func (s *Front) shutDown(ln net.Listener, accepted <-chan error) error {
	shutdown := s.engine.Shutdown(time.Now())
	s.shuttingDown.Store(true)
	s.log.Info("leaving: serving the open connections, then finishing accepted requests", "serves", shutdown.AcceptFor,
		"answered_after", shutdown.AnswerWithin, "may_be_killed_after", shutdown.EarliestKill)
	time.Sleep(time.Until(shutdown.StartedAt.Add(acceptAfterShutdown)))
	err := sock.CloseListener(ln, backlogTimeout)
	s.logStep("listener closed", &shutdown)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The accept loop may block on a reject slot before it sees the close; the steps below must not wait for it.
		if e := <-accepted; !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
		s.wg.Wait()
	}()
	// reached waits until a point of the shutdown and reports whether a connection is still open then.
	reached := func(after time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(time.Until(shutdown.StartedAt.Add(after))):
			return true
		}
	}
	if reached(max(acceptAfterShutdown, shutdown.AcceptFor)) {
		s.closing.Store(true)         // each answer now has "Connection: close"
		s.closeMatching(hasNoRequest) // their clients connect to other nodes
		s.logStep("closed the connections without a request", &shutdown)
	}
	for after := max(acceptAfterShutdown, shutdown.AnswerWithin); after < shutdown.CloseAfter && reached(after); after += closeInterval {
		s.closeMatching(isIncomplete) // complete requests are answered, incomplete ones are not waited for
	}
	if reached(shutdown.CloseAfter) { // whoever has not read its answer by now is not reading
		s.logStep("closing connections whose clients did not read their answers", &shutdown)
		s.closeAll()
	}
	<-ended
	s.logStep("left: all accepted requests are answered", &shutdown)
	return err
}

// logStep logs a step of a shutdown.
func (s *Front) logStep(step string, shutdown *engine.Shutdown) {
	s.mu.Lock()
	connections := len(s.conns)
	s.mu.Unlock()
	s.log.Info(step, "connections", connections, "requests", s.engine.OpenRequests(), "after", time.Since(shutdown.StartedAt))
}

// ShuttingDown reports whether the shutdown has started.
func (s *Front) ShuttingDown() bool { return s.shuttingDown.Load() }

// hasNoRequest reports whether a connection in a state carries no request, not even an incomplete one.
func hasNoRequest(state admission.State) bool {
	return state != admission.Busy && state != admission.Reading
}

// isIncomplete reports whether a connection in a state has received no complete request.
func isIncomplete(state admission.State) bool { return state != admission.Busy }

// closeMatching closes the connections whose state matches. It skips those with unread bytes: these may be a request, which is
// answered.
func (s *Front) closeMatching(matches func(admission.State) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if matches(c.account.State()) && sock.Pending(c.Conn) != sock.Readable {
			s.evict(c)
		}
	}
}

// closeAll closes all connections at once.
func (s *Front) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closing = true
		c.Close()
	}
}
