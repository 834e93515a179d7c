package httpfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/sock"
)

// Serve answers clients on ln until ctx ends and then until all that was taken is answered.
func (s *Front) Serve(ctx context.Context, ln net.Listener) error {
	defer s.stop()
	failed := make(chan error, 1)
	go func() { failed <- s.accept(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	// Connections go on coming for a while, and clients go on using those that they have. What a node answers until it
	// is killed is not missing elsewhere: it serves them for as long as their answers can still be in time.
	begun := time.Now()
	shutdown := s.engine.Shutdown()
	s.leaving.Store(true)
	s.log.Info("leaving: serving the connections that there are, then finishing what was taken", "serves", shutdown.Serves, "may_be_killed_after", shutdown.Killed)
	time.Sleep(acceptFor)
	err := ln.Close()
	s.log.Info("listener closed", "connections", s.held(), "requests", s.engine.Open(), "after", time.Since(begun))
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The loop may wait for one of the connections beyond the room to end before it sees that: the steps below don't.
		if e := <-failed; !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
		s.wg.Wait()
	}()
	for _, step := range []struct {
		after time.Duration
		do    func()
	}{
		{max(acceptFor, shutdown.Serves), func() {
			s.closing.Store(true) // each answer now tells its client to close
			s.closeAll(false)     // and the clients of connections that carry no request turn to other nodes
			s.log.Info("closed the connections that carry no request", "left", s.held(), "requests", s.engine.Open(), "after", time.Since(begun))
		}},
		{shutdown.Last, func() { // the last deadline has passed
			s.log.Warn("breaking off what nobody has read", "connections", s.held(), "requests", s.engine.Open(), "after", time.Since(begun))
			s.closeAll(true)
		}},
	} {
		select {
		case <-done:
			s.log.Info("left: all that was taken is answered", "after", time.Since(begun))
			return err
		case <-time.After(time.Until(begun.Add(step.after))):
			step.do()
		}
	}
	<-done
	return err
}

// Leaving tells whether the front was told to end.
func (s *Front) Leaving() bool { return s.leaving.Load() }

// held is how many connections count.
func (s *Front) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeAll closes the connections that carry no request, not even one that is coming; with cut it breaks off the others too.
func (s *Front) closeAll(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if cut {
			c.Close()
		} else if st := c.account.State(); st != admission.Busy && st != admission.Reading && sock.Pending(c.Conn) != sock.Bytes {
			s.drop(c)
		}
	}
}
