package controlnet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/parents"
	"craneglade/internal/peers/frame"
	"craneglade/internal/settings"
	"craneglade/internal/timing"
)

const (
	linkBytes        = 64 << 20 // that wait for one member; what comes beyond is dropped, and sent again
	linkKeepAlive    = 5 * time.Second
	redialBase       = 50 * time.Millisecond
	redialLimit      = time.Second
	partBytes        = 1 << 20   // of a message between members that one frame holds
	maxMemberMessage = 512 << 20 // a snapshot of a region's log
)

// The first byte of a frame between members. An empty frame says that the sender is there.
const (
	partLast byte = iota
	partMore
)

// memberLink carries messages to one other member of the region's quorum, over a connection that this process opens. What
// can't be sent is lost: the algorithm sends it again.
type memberLink struct {
	settings.Member
	outgoing *queue
}

func newMemberLink(m settings.Member) *memberLink { return &memberLink{m, newQueue(linkBytes)} }

// send queues a message; one for which there is no room is lost.
func (l *memberLink) send(data []byte) { l.outgoing.push(data) }

// run keeps the connection until ctx ends.
func (l *memberLink) run(ctx context.Context, p *Process) {
	failures := 0
	for ctx.Err() == nil {
		if err := l.connect(ctx, p); errors.Is(err, errLinkStood) {
			failures = 0
		}
		failures++
		bound := min(redialLimit, redialBase<<min(failures, 10))
		timing.Sleep(ctx, bound/2+rand.N(bound/2))
	}
}

// errLinkStood is joined by the error of a connection that stood.
var errLinkStood = errors.New("the connection stood")

// connect opens the connection and carries messages until it ends.
func (l *memberLink) connect(ctx context.Context, p *Process) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := p.dial(ctx, parents.Candidate{Name: l.Name, Address: l.Address}, asMember)
	if err != nil {
		return err
	}
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	for {
		if _, ok := l.outgoing.pop(); !ok { // what waited for the connection is old
			break
		}
	}
	keepAlive := time.NewTicker(linkKeepAlive)
	defer keepAlive.Stop()
	for {
		if data, ok := l.outgoing.pop(); ok {
			if err := writeParts(s.conn, data); err != nil {
				return errors.Join(errLinkStood, err)
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.outgoing.ready:
		case <-keepAlive.C:
			if err := s.conn.Write(nil); err != nil {
				return errors.Join(errLinkStood, err)
			}
		}
	}
}

// writeParts writes a message in as many frames as it takes.
func writeParts(conn *frame.Conn, data []byte) error {
	for {
		kind, size := partLast, len(data)
		if size > partBytes {
			kind, size = partMore, partBytes
		}
		if err := conn.Write(append([]byte{kind}, data[:size]...)); err != nil {
			return err
		}
		if data = data[size:]; kind == partLast {
			return nil
		}
	}
}

// readParts reads the next message.
func readParts(conn *frame.Conn) (data []byte, err error) {
	for {
		part, err := conn.Read()
		switch {
		case err != nil:
			return nil, err
		case len(part) == 0:
			continue
		case len(data)+len(part) > maxMemberMessage:
			return nil, fmt.Errorf("a message is larger than %d bytes", maxMemberMessage)
		case part[0] != partLast && part[0] != partMore:
			return nil, fmt.Errorf("part %d is not known", part[0])
		}
		data = append(data, part[1:]...)
		if part[0] == partLast {
			return data, nil
		}
	}
}

// receive hands what another member says to the replica, until the session ends.
func (m *member) receive(ctx context.Context, s *session) error {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	defer s.conn.Close()
	for _, l := range m.links {
		if l.Name != s.peer {
			continue
		}
		for {
			data, err := readParts(s.conn)
			if err != nil {
				return err
			}
			select {
			case m.received <- memberMessage{l.ID, data}:
			default: // it is sent again
			}
		}
	}
	return fmt.Errorf("%q is no member of this region", s.peer)
}
