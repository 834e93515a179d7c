package controlnet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/peers/frame"
)

// errSlow ends a session whose other side does not take what is sent to it.
var errSlow = errors.New("the other side is too slow: what waits for it has reached its bound")

// The fields of a greeting, the first message of a session. Those of a later version are skipped.
const (
	greetingName protowire.Number = iota + 1 // of the process that sends it
	greetingRole                             // what it is to the other side
)

// role is what a process is to the one that it connects to.
type role uint64

// The roles.
const (
	asSubscriber role = iota
	asMember          // of the same region's quorum
)

// session carries messages to and from one other process. Its reader hands each message to receive; its writer sends what
// send has queued. Both end with the session.
type session struct {
	conn     *frame.Conn
	peer     string // the name of the process at the other side
	role     role   // that it has said to have
	outgoing *queue
	pacer    *pacer
	now      func() time.Duration
	counters *counters

	once   sync.Once
	closed chan struct{}
	err    error // why it was closed; read after closed
}

// greet exchanges greetings of a process on a connection, and returns the session. What it sends is paced; nil for at once.
func greet(conn *frame.Conn, p *Process, own role, pace *pacer) (*session, error) {
	if err := conn.Write(greeting(p.cfg.Name, own)); err != nil {
		return nil, err
	}
	text, err := conn.Read()
	if err != nil {
		return nil, err
	}
	peer, other, err := readGreeting(text)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, peer: peer, role: other, outgoing: newQueue(queueBytes), pacer: pace, now: p.cfg.Clock, counters: &p.counters, closed: make(chan struct{})}, nil
}

func greeting(name string, own role) []byte {
	text := protowire.AppendString(protowire.AppendTag(nil, greetingName, protowire.BytesType), name)
	return protowire.AppendVarint(protowire.AppendTag(text, greetingRole, protowire.VarintType), uint64(own))
}

// readGreeting returns the name and the role in a greeting.
func readGreeting(text []byte) (name string, other role, err error) {
	for len(text) > 0 {
		number, kind, n := protowire.ConsumeTag(text)
		if n < 0 {
			return "", 0, fmt.Errorf("greeting: %w", protowire.ParseError(n))
		}
		text = text[n:]
		switch {
		case number == greetingName && kind == protowire.BytesType:
			name, n = protowire.ConsumeString(text)
		case number == greetingRole && kind == protowire.VarintType:
			var value uint64
			value, n = protowire.ConsumeVarint(text)
			other = role(value)
		default:
			n = protowire.ConsumeFieldValue(number, kind, text)
		}
		if n < 0 {
			return "", 0, fmt.Errorf("greeting: %w", protowire.ParseError(n))
		}
		text = text[n:]
	}
	key := resource.Key{Service: name, Kind: resource.KindService, Name: name} // the rules for names are those of resources
	if err := key.Validate(); err != nil {
		return "", 0, errors.New("greeting: the name of the process is missing or not a name")
	}
	return name, other, nil
}

// send queues an encoded message, which nobody may change, and ends the session if there is no room for it.
func (s *session) send(encoded []byte) {
	if !s.outgoing.push(encoded) && s.close(errSlow) {
		s.counters.slow.Add(1)
	}
}

// received is a message that came on a session.
type received struct {
	message message.Message
	partial bool // its frame held fields or resources of a later version, which were skipped
}

// run reads and writes until the session ends or ctx does, and returns why. receive is called with each message from one
// goroutine; bad with what could not be read as one.
func (s *session) run(ctx context.Context, receive func(received), bad func(err error)) error {
	stop := context.AfterFunc(ctx, func() { s.close(ctx.Err()) })
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { s.close(s.write()) })
	both.Go(func() { s.close(s.read(receive, bad)) })
	both.Wait()
	s.counters.sentBytes.Add(s.conn.Sent())
	s.counters.receivedBytes.Add(s.conn.Received())
	return s.err
}

// close ends the session for a reason. It reports whether it is the first, which counts.
func (s *session) close(err error) (first bool) {
	s.once.Do(func() {
		first = true
		s.err = err
		close(s.closed)
		s.conn.Close()
	})
	return first
}

func (s *session) write() error {
	for {
		encoded, ok := s.outgoing.pop()
		if !ok {
			select {
			case <-s.outgoing.ready:
				continue
			case <-s.closed:
				return nil
			}
		}
		s.pace(len(encoded))
		if err := s.conn.Write(encoded); err != nil {
			return err
		}
		s.counters.sent.Add(1)
	}
}

// pace waits until so many bytes may go, or the session ends.
func (s *session) pace(bytes int) {
	wait := s.pacer.take(s.now(), bytes)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

func (s *session) read(receive func(received), bad func(err error)) error {
	for {
		encoded, err := s.conn.Read()
		if err != nil {
			return err
		}
		messages, skipped, err := message.Decode(encoded)
		s.counters.received.Add(int64(len(messages)))
		s.counters.skipped.Add(int64(skipped.Fields + skipped.Messages + skipped.Resources))
		if err != nil {
			s.counters.bad.Add(1)
			bad(err)
			continue
		}
		partial := skipped.Fields > 0 || skipped.Resources > 0
		for _, m := range messages {
			receive(received{m, partial})
		}
	}
}
