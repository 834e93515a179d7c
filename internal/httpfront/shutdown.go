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

// closeEvery is how often, once all that was taken is to be answered, connections are closed whose request goes on coming.
const closeEvery = 20 * time.Millisecond

// backlogTime is how long connections that came before the listener is to close are still accepted, where the process is late.
const backlogTime = 200 * time.Millisecond

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
	return s.leave(ln, accepted)
}

// leave ends the front, whose accept loop tells its end on accepted. Connections go on coming for a while, and clients go on
// using those that they have. What a node answers until it is killed is not missing elsewhere: it serves them for as long as
// their answers can still be in time, and has answered all before it may be killed.
func (s *Front) leave(ln net.Listener, accepted <-chan error) error {
	shutdown := s.engine.Shutdown(time.Now())
	s.leaving.Store(true)
	s.log.Info("leaving: serving the connections that there are, then finishing what was taken", "serves", shutdown.AcceptFor,
		"answered_after", shutdown.AnswerWithin, "may_be_killed_after", shutdown.EarliestKill)
	time.Sleep(time.Until(shutdown.StartedAt.Add(acceptFor)))
	err := sock.CloseListener(ln, backlogTime)
	s.tell("listener closed", &shutdown)
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
		case <-time.After(time.Until(shutdown.StartedAt.Add(after))):
			return true
		}
	}
	if reached(max(acceptFor, shutdown.AcceptFor)) {
		s.closing.Store(true)    // each answer now tells its client to close
		s.closeWith(carriesNone) // and the clients of connections that carry no request turn to other nodes
		s.tell("closed the connections that carry no request", &shutdown)
	}
	for after := max(acceptFor, shutdown.AnswerWithin); after < shutdown.CloseAfter && reached(after); after += closeEvery {
		s.closeWith(isIncomplete) // what comes whole is answered, and one that goes on coming is not waited for
	}
	if reached(shutdown.CloseAfter) { // the last deadline has passed
		s.tell("breaking off what nobody has read", &shutdown)
		s.cut()
	}
	<-ended
	s.tell("left: all that was taken is answered", &shutdown)
	return err
}

// tell logs a step of a shutdown.
func (s *Front) tell(step string, shutdown *engine.Shutdown) {
	s.mu.Lock()
	connections := len(s.conns)
	s.mu.Unlock()
	s.log.Info(step, "connections", connections, "requests", s.engine.OpenRequests(), "after", time.Since(shutdown.StartedAt))
}

// Leaving tells whether the front was told to end.
func (s *Front) Leaving() bool { return s.leaving.Load() }

// carriesNone tells whether a connection in a state carries no request, not even one that is coming.
func carriesNone(state admission.State) bool {
	return state != admission.Busy && state != admission.Reading
}

// isIncomplete tells whether no whole request has come on a connection in a state.
func isIncomplete(state admission.State) bool { return state != admission.Busy }

// closeWith closes the connections whose states are such. Where bytes wait to be read they may be a request: that is answered.
func (s *Front) closeWith(such func(admission.State) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if such(c.account.State()) && sock.Pending(c.Conn) != sock.Bytes {
			s.drop(c)
		}
	}
}

// cut breaks off all connections.
func (s *Front) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
