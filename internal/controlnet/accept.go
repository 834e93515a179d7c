package controlnet

import (
	"context"
	"errors"
	"net"
	"time"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/peers/frame"
	"craneglade/internal/timing"
)

// acceptRetryDelay is the pause after a failed accept, for instance when no file descriptor is free.
const acceptRetryDelay = 50 * time.Millisecond

// maxHandshakes limits concurrent handshakes. Further connections wait in the listener's backlog: if they were closed, nodes
// of a zone that start at the same time would have to reconnect after their backoff.
const maxHandshakes = 128

// accept accepts connections on ln until ctx ends.
func (p *Process) accept(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	slots, handshakes := make(chan struct{}, p.cfg.MaxSubscribers), make(chan struct{}, maxHandshakes)
	for {
		select {
		case handshakes <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := ln.Accept()
		if err == nil {
			p.sessions.Go(func() { p.handleConn(ctx, conn, handshakes, slots) })
			continue
		}
		<-handshakes
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p.warnings.warn("accept failed", "err", err)
		if !timing.Sleep(ctx, acceptRetryDelay) {
			return
		}
	}
}

// handleConn performs the handshake on a connection and runs the session that results. The connection holds a token of
// handshakes until its peer has proven that it has a key, so that unauthenticated connections take no subscriber slot.
func (p *Process) handleConn(ctx context.Context, conn net.Conn, handshakes, slots chan struct{}) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s, err := p.handshake(conn)
	<-handshakes
	if err != nil {
		p.counters.failedHandshakes.Add(1)
		p.warnings.warn("a connection is no subscriber's", "from", conn.RemoteAddr(), "err", err)
		return
	}
	if s.role != roleSubscriber {
		p.serveMember(ctx, s)
		return
	}
	select {
	case slots <- struct{}{}:
		p.serveSubscriber(ctx, s)
		<-slots
	default:
		p.reject(conn, "subscriber rejected: limits.subscribers is reached")
	}
}

// serveMember runs the session of another member of the quorum, and rejects every other role.
func (p *Process) serveMember(ctx context.Context, s *session) {
	err := errors.New("role not accepted")
	if s.role == roleMember && p.cfg.ServeMember != nil {
		err = p.cfg.ServeMember(ctx, s)
	} else {
		p.counters.failedHandshakes.Add(1)
		p.warnings.warn("session rejected", "from", s.peer, "err", err)
	}
	s.conn.Close()
	p.cfg.Log.Debug("session ended", "name", s.peer, "err", err)
}

// reject counts and closes a connection that exceeds a limit.
func (p *Process) reject(conn net.Conn, reason string) {
	p.counters.rejected.Add(1)
	p.warnings.warn(reason, "from", conn.RemoteAddr())
	conn.Close()
}

// serveSubscriber runs one subscriber's session.
func (p *Process) serveSubscriber(ctx context.Context, s *session) {
	var id publisher.SessionID
	p.Do(func() {
		p.lastID++
		id = p.lastID
		p.downstreams[id] = s
		p.cfg.Publisher.Connected(p.cfg.Clock(), id)
	})
	err := s.run(ctx, func(r received) {
		p.Do(func() {
			if err := p.cfg.Publisher.Receive(p.cfg.Clock(), id, r.message); err != nil {
				p.counters.invalid.Add(1)
				p.warnings.warn("dropped an invalid message of a subscriber", "from", s.peer, "err", err)
			}
		})
	}, p.warnUnreadable(s))
	p.Do(func() {
		delete(p.downstreams, id)
		p.cfg.Publisher.Disconnected(p.cfg.Clock(), id)
	})
	if errors.Is(err, errSlow) {
		p.warnings.warn("subscriber disconnected", "name", s.peer, "err", err)
	}
	p.cfg.Log.Debug("subscriber session ended", "name", s.peer, "err", err)
}

// handshake establishes a session on a connection. It closes the connection on error.
func (p *Process) handshake(conn net.Conn) (*session, error) {
	framed, err := frame.Accept(conn, p.frames)
	if err != nil {
		return nil, err
	}
	s, err := exchangeGreetings(framed, p, roleSubscriber, nil) // no pacer: the publisher limits its own rate
	if err != nil {
		return nil, errors.Join(err, framed.Close())
	}
	return s, nil
}
