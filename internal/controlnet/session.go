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

// errSlow ends a session whose peer does not read fast enough.
var errSlow = errors.New("the peer is too slow: its send queue is full")

// The fields of a greeting, the first message of a session. Unknown fields are skipped.
const (
	greetingName protowire.Number = iota + 1 // of the sending process
	greetingRole                             // of the sending process towards the receiver
)

// role is the role of a process towards its peer.
type role uint64

// The roles of a process that opens a session.
const (
	roleSubscriber role = iota
	roleMember          // member of the same region's quorum
)

// session exchanges messages with one other process. Its reader passes each message to the receive function of run; its
// writer sends the messages that send has queued. Both end with the session.
type session struct {
	conn     *frame.Conn
	peer     string // name of the other process
	role     role   // announced by the other process
	outgoing *queue
	pacer    *pacer
	clock    func() time.Duration
	counters *counters

	once   sync.Once
	closed chan struct{}
	err    error // why it was closed; read only after closed
}

// exchangeGreetings exchanges greetings on a connection and returns the session. A nil pacer means no rate limit.
func exchangeGreetings(conn *frame.Conn, p *Process, ownRole role, pacer *pacer) (*session, error) {
	if err := conn.Write(encodeGreeting(p.cfg.Name, ownRole)); err != nil {
		return nil, err
	}
	text, err := conn.Read()
	if err != nil {
		return nil, err
	}
	peer, peerRole, err := decodeGreeting(text)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, peer: peer, role: peerRole, outgoing: newQueue(sessionQueueBytes), pacer: pacer, clock: p.cfg.Clock, counters: &p.counters, closed: make(chan struct{})}, nil
}

func encodeGreeting(name string, ownRole role) []byte {
	text := protowire.AppendString(protowire.AppendTag(nil, greetingName, protowire.BytesType), name)
	return protowire.AppendVarint(protowire.AppendTag(text, greetingRole, protowire.VarintType), uint64(ownRole))
}

// decodeGreeting returns the name and the role in a greeting.
func decodeGreeting(text []byte) (name string, peerRole role, err error) {
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
			peerRole = role(value)
		default:
			n = protowire.ConsumeFieldValue(number, kind, text)
		}
		if n < 0 {
			return "", 0, fmt.Errorf("greeting: %w", protowire.ParseError(n))
		}
		text = text[n:]
	}
	key := resource.Key{Service: name, Kind: resource.KindService, Name: name} // process names follow the rules of resource names
	if err := key.Validate(); err != nil {
		return "", 0, errors.New("greeting: the name of the process is missing or invalid")
	}
	return name, peerRole, nil
}

// send queues an encoded message, which must not be modified afterwards, and closes the session if the queue is full.
func (s *session) send(encoded []byte) {
	if !s.outgoing.push(encoded) && s.close(errSlow) {
		s.counters.slow.Add(1)
	}
}

// received is a message received on a session.
type received struct {
	message message.Message
	partial bool // its frame contained fields or resources of a later version, which were skipped
}

// run reads and writes until the session or ctx ends, and returns the cause. It calls receive for each message, and
// unreadable with the error for each frame that could not be decoded, both from one goroutine.
func (s *session) run(ctx context.Context, receive func(received), unreadable func(err error)) error {
	stop := context.AfterFunc(ctx, func() { s.close(ctx.Err()) })
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { s.close(s.write()) })
	loops.Go(func() { s.close(s.read(receive, unreadable)) })
	loops.Wait()
	s.counters.sentBytes.Add(s.conn.Sent())
	s.counters.receivedBytes.Add(s.conn.Received())
	return s.err
}

// close ends the session and reports whether it was open. Only the error of the first call is kept.
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

// pace waits until the pacer permits a number of bytes, or the session ends.
func (s *session) pace(bytes int) {
	wait := s.pacer.reserve(s.clock(), bytes)
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

func (s *session) read(receive func(received), unreadable func(err error)) error {
	for {
		encoded, err := s.conn.Read()
		if err != nil {
			return err
		}
		messages, skipped, err := message.Decode(encoded)
		s.counters.received.Add(int64(len(messages)))
		s.counters.skipped.Add(int64(skipped.Fields + skipped.Messages + skipped.Resources))
		if err != nil {
			s.counters.invalid.Add(1)
			unreadable(err)
			continue
		}
		partial := skipped.Fields > 0 || skipped.Resources > 0
		for _, m := range messages {
			receive(received{m, partial})
		}
	}
}
