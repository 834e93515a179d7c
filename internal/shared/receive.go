package shared

import (
	"time"

	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
)

// Receive handles a frame and returns the replies to members. On an error the frame is malformed, and has no effect but on
// the statistics.
func (r *Replica) Receive(now time.Duration, frame []byte) ([]Message, error) {
	r.advance(now)
	entries, skipped, err := packet.Decode(frame)
	r.stats.Skipped += skipped
	if err != nil {
		r.stats.Bad++
		return nil, err
	}
	var replies []Message
	for i := range entries {
		if reply, ok := r.receiveEntry(now, &entries[i]); ok {
			replies = append(replies, reply)
		}
	}
	return replies, nil
}

// receiveEntry handles one entry of a frame, and returns the reply where there is one.
func (r *Replica) receiveEntry(now time.Duration, e *packet.Entry) (reply Message, ok bool) {
	if e.Node.Number == r.cfg.Self.Number {
		r.receiveOwn(e)
		return Message{}, false
	}
	r.stats.Received++
	if !r.roster.Accepts(e.Node.Number, e.Node.Incarnation) {
		r.stats.Stale++
		return Message{}, false
	}
	sentAt := r.clock.now - e.Age
	r.recordContact(e.Node, sentAt) // first, as the entry may say that the member leaves
	switch e.Kind {
	case packet.Window:
		r.receiveWindow(e, sentAt)
	case packet.Observation:
		r.receiveObservation(e, sentAt)
	case packet.LoanRequest:
		return r.receiveLoanRequest(now, e)
	case packet.Grant:
		r.receiveGrant(now, e)
	case packet.Return:
		r.receiveReturn(now, e)
	case packet.Leave:
		r.setState(e.Node, roster.Left)
	}
	return Message{}, false
}

// receiveOwn handles an entry under this node's own number.
func (r *Replica) receiveOwn(e *packet.Entry) {
	if e.Node.Incarnation > r.cfg.Self.Incarnation {
		r.takeNextIncarnation(e.Node.Incarnation)
	}
}

// receiveWindow merges another node's count, and forwards it if it is new.
func (r *Replica) receiveWindow(e *packet.Entry, sentAt time.Duration) {
	if r.table.Merge(e.Key, e.Node.Number, e.Window, sentAt) {
		r.forward(e, sentAt, false)
	}
}

// message returns a message to one member, with an entry from this node.
func (r *Replica) message(to int, e packet.Entry) Message {
	e.Node = r.cfg.Self
	return Message{to, packet.Frame(e)}
}
