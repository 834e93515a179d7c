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

// closeInterval is how often, once all that was taken is to be answered, connections are closed whose request goes on coming.
const closeInterval = 20 * time.Millisecond

// backlogTimeout is how long connections that came before the listener is to close are still accepted, where the process is late.
const backlogTimeout = 200 * time.Millisecond

// Serve answers clients on ln until ctx ends and then until all that was taken is answered.
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

// shutDown ends the front, whose accept loop tells its end on accepted. Connections go on coming for a while, and clients go on
// using those that they have. What a node answers until it is killed is not missing elsewhere: it serves them for as long as
// their answers can still be in time, and has answered all before it may be killed.
func (s *Front) shutDown(ln net.Listener, accepted <-chan error) error {
	shutdown := s.engine.Shutdown(time.Now())
	s.shuttingDown.Store(true)
	s.log.Info("leaving: serving the connections that there are, then finishing what was taken", "serves", shutdown.Serves,
		"answered_after", shutdown.Answered, "may_be_killed_after", shutdown.Killed)
	time.Sleep(time.Until(shutdown.Begun.Add(acceptAfterShutdown)))
	err := sock.CloseListener(ln, backlogTimeout)
	s.logStep("listener closed", &shutdown)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The loop may wait for one of the connections beyond the room to end before it sees that: the steps below don't.
		if e := <-accepted; !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
		s.wg.Wait()
	}()
	// reached waits until a moment of the shutdown, and tells whether some connection is left then.
	reached := func(after time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(time.Until(shutdown.Begun.Add(after))):
			return true
		}
	}
	if reached(max(acceptAfterShutdown, shutdown.Serves)) {
		s.closing.Store(true)         // each answer now tells its client to close
		s.closeMatching(hasNoRequest) // and the clients of connections that carry no request turn to other nodes
		s.logStep("closed the connections that carry no request", &shutdown)
	}
	for after := max(acceptAfterShutdown, shutdown.Answered); after < shutdown.Last && reached(after); after += closeInterval {
		s.closeMatching(isIncomplete) // what comes whole is answered, and one that goes on coming is not waited for
	}
	if reached(shutdown.Last) { // the last deadline has passed
		s.logStep("breaking off what nobody has read", &shutdown)
		s.closeAll()
	}
	<-ended
	s.logStep("left: all that was taken is answered", &shutdown)
	return err
}

// logStep logs a step of a shutdown.
func (s *Front) logStep(step string, shutdown *engine.Shutdown) {
	s.mu.Lock()
	connections := len(s.conns)
	s.mu.Unlock()
	s.log.Info(step, "connections", connections, "requests", s.engine.Open(), "after", time.Since(shutdown.Begun))
}

// ShuttingDown tells whether the front was told to end.
func (s *Front) ShuttingDown() bool { return s.shuttingDown.Load() }

// hasNoRequest tells whether a connection in a state carries no request, not even one that is coming.
func hasNoRequest(state admission.State) bool {
	return state != admission.Busy && state != admission.Reading
}

// isIncomplete tells whether no whole request has come on a connection in a state.
func isIncomplete(state admission.State) bool { return state != admission.Busy }

// closeMatching closes the connections whose states are such. Where bytes wait to be read they may be a request: that is answered.
func (s *Front) closeMatching(matches func(admission.State) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if matches(c.account.State()) && sock.Pending(c.Conn) != sock.Bytes {
			s.evict(c)
		}
	}
}

// closeAll breaks off all connections.
func (s *Front) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
