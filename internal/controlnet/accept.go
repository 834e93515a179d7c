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

// acceptPause is how long accepting rests after it has failed, as where no descriptor is left.
const acceptPause = 50 * time.Millisecond

// maxHandshakes is how many connections may be at their beginning at a time. Further ones wait in the listener's backlog:
// closing them would have the nodes of a zone that start together come again after their backoff.
const maxHandshakes = 128

// accept takes subscribers' connections until ctx ends.
func (p *Process) accept(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	places, handshakes := make(chan struct{}, p.cfg.MaxSubscribers), make(chan struct{}, maxHandshakes)
	for {
		select {
		case handshakes <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := ln.Accept()
		if err == nil {
			p.sessions.Go(func() { p.receive(ctx, conn, handshakes, places) })
			continue
		}
		<-handshakes
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p.warnings.warn("a connection could not be accepted", "err", err)
		if !timing.Sleep(ctx, acceptPause) {
			return
		}
	}
}

// receive makes a session of a connection, and carries it where there is a place. It holds a token of handshakes until the
// other side has shown that it has a key, so that strangers take no place of a subscriber.
func (p *Process) receive(ctx context.Context, conn net.Conn, handshakes, places chan struct{}) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s, err := p.welcome(conn)
	<-handshakes
	if err != nil {
		p.counters.strangers.Add(1)
		p.warnings.warn("a connection is no subscriber's", "from", conn.RemoteAddr(), "err", err)
		return
	}
	if s.role != asSubscriber {
		p.admit(ctx, s)
		return
	}
	select {
	case places <- struct{}{}:
		p.serve(ctx, s)
		<-places
	default:
		p.turnAway(conn, "a subscriber was turned away: limits.subscribers is reached")
	}
}

// admit carries the session of a process that is no subscriber.
func (p *Process) admit(ctx context.Context, s *session) {
	err := errors.New("its role is not known here")
	if s.role == asMember && p.cfg.ServeMember != nil {
		err = p.cfg.ServeMember(ctx, s)
	} else {
		p.counters.strangers.Add(1)
		p.warnings.warn("a process was turned away", "from", s.peer, "err", err)
	}
	s.conn.Close()
	p.cfg.Log.Debug("a session has ended", "name", s.peer, "err", err)
}

func (p *Process) turnAway(conn net.Conn, why string) {
	p.counters.turnedAway.Add(1)
	p.warnings.warn(why, "from", conn.RemoteAddr())
	conn.Close()
}

// serve carries one subscriber's session.
func (p *Process) serve(ctx context.Context, s *session) {
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
				p.counters.bad.Add(1)
				p.warnings.warn("a subscriber's message was dropped", "from", s.peer, "err", err)
			}
		})
	}, p.unreadable(s))
	p.Do(func() {
		delete(p.downstreams, id)
		p.cfg.Publisher.Disconnected(p.cfg.Clock(), id)
	})
	if errors.Is(err, errSlow) {
		p.warnings.warn("a subscriber was disconnected", "name", s.peer, "err", err)
	}
	p.cfg.Log.Debug("a subscriber's session has ended", "name", s.peer, "err", err)
}

// welcome makes a session of a connection, or closes it.
func (p *Process) welcome(conn net.Conn) (*session, error) {
	framed, err := frame.Accept(conn, p.frames)
	if err != nil {
		return nil, err
	}
	s, err := greet(framed, p, asSubscriber, nil) // the publisher itself keeps to its budget
	if err != nil {
		return nil, errors.Join(err, framed.Close())
	}
	return s, nil
}
