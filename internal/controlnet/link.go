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
	linkQueueBytes        = 64 << 20 // queued for one member; messages beyond are dropped, and the quorum algorithm repeats them
	linkKeepAliveInterval = 5 * time.Second
	redialBackoffBase     = 50 * time.Millisecond
	redialBackoffLimit    = time.Second
	fragmentBytes         = 1 << 20   // bytes of a message between members in one frame
	maxMemberMessage      = 512 << 20 // bytes; has to hold a snapshot of a region's log
)

// The first byte of a frame between members. An empty frame is a keep-alive.
const (
	fragmentLast byte = iota
	fragmentMore
)

// memberLink sends messages to one other member of the region's quorum, over a connection that this process opens. Messages
// that can't be sent are dropped: the quorum algorithm repeats them.
type memberLink struct {
	settings.Member
	outgoing *queue
}

func newMemberLink(m settings.Member) *memberLink { return &memberLink{m, newQueue(linkQueueBytes)} }

// send queues a message, or drops it if the queue is full.
func (l *memberLink) send(data []byte) { l.outgoing.push(data) }

// run connects, and reconnects with backoff, until ctx ends.
func (l *memberLink) run(ctx context.Context, p *Process) {
	failures := 0
	for ctx.Err() == nil {
		if err := l.connect(ctx, p); errors.Is(err, errLinkEstablished) {
			failures = 0
		}
		failures++
		backoff := min(redialBackoffLimit, redialBackoffBase<<min(failures, 10))
		timing.Sleep(ctx, backoff/2+rand.N(backoff/2))
	}
}

// errLinkEstablished marks the error of a connection that had been established; it resets the backoff.
var errLinkEstablished = errors.New("the connection had been established")

// connect opens the connection and sends queued messages until it ends.
func (l *memberLink) connect(ctx context.Context, p *Process) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := p.dial(ctx, parents.Candidate{Name: l.Name, Address: l.Address}, roleMember)
	if err != nil {
		return err
	}
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	for {
		if _, ok := l.outgoing.pop(); !ok { // messages from before the connection are outdated
			break
		}
	}
	keepAlive := time.NewTicker(linkKeepAliveInterval)
	defer keepAlive.Stop()
	for {
		if data, ok := l.outgoing.pop(); ok {
			if err := writeFragments(s.conn, data); err != nil {
				return errors.Join(errLinkEstablished, err)
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.outgoing.ready:
		case <-keepAlive.C:
			if err := s.conn.Write(nil); err != nil {
				return errors.Join(errLinkEstablished, err)
			}
		}
	}
}

// writeFragments writes a message in as many frames as it needs.
func writeFragments(conn *frame.Conn, data []byte) error {
	for {
		kind, size := fragmentLast, len(data)
		if size > fragmentBytes {
			kind, size = fragmentMore, fragmentBytes
		}
		if err := conn.Write(append([]byte{kind}, data[:size]...)); err != nil {
			return err
		}
		if data = data[size:]; kind == fragmentLast {
			return nil
		}
	}
}

// readFragments reads the frames of the next message.
func readFragments(conn *frame.Conn) (data []byte, err error) {
	for {
		fragment, err := conn.Read()
		switch {
		case err != nil:
			return nil, err
		case len(fragment) == 0:
			continue
		case len(data)+len(fragment) > maxMemberMessage:
			return nil, fmt.Errorf("message is larger than %d bytes", maxMemberMessage)
		case fragment[0] != fragmentLast && fragment[0] != fragmentMore:
			return nil, fmt.Errorf("unknown fragment type %d", fragment[0])
		}
		data = append(data, fragment[1:]...)
		if fragment[0] == fragmentLast {
			return data, nil
		}
	}
}

// receive passes the messages of another member to the replica, until the session ends.
func (m *member) receive(ctx context.Context, s *session) error {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	defer s.conn.Close()
	for _, l := range m.links {
		if l.Name != s.peer {
			continue
		}
		for {
			data, err := readFragments(s.conn)
			if err != nil {
				return err
			}
			select {
			case m.received <- memberMessage{l.ID, data}:
			default: // dropped: the quorum algorithm repeats it
			}
		}
	}
	return fmt.Errorf("%q is not a member of this region", s.peer)
}
