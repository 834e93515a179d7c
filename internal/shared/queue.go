package shared

import "github.com/hashicorp/memberlist"

// placeholder is an item that is never sent, as it is larger than any limit, and so keeps a queue from ever being empty. A
// queue of memberlist v0.7.0 restarts its items' numbers whenever it is empty, also while it replaces an item by a new one
// of the same name. Two items can then have the same number. If they also have the same length, one displaces the other in
// the queue but not in its table of names; from then on every new item of that name is dropped, and the other nodes never
// receive it again.
type placeholder struct{}

// placeholderBytes is more than fits into any datagram.
const placeholderBytes = 1 << 20

var placeholderMessage = make([]byte, placeholderBytes)

func (placeholder) Name() string                          { return "keeper" }
func (placeholder) Invalidates(memberlist.Broadcast) bool { return false }
func (placeholder) Message() []byte                       { return placeholderMessage }
func (placeholder) Finished()                             {}

// newQueue returns a queue that has nothing to send.
func newQueue(fleetSize func() int, multiplier int) *memberlist.TransmitLimitedQueue {
	q := &memberlist.TransmitLimitedQueue{NumNodes: fleetSize, RetransmitMult: multiplier}
	q.QueueBroadcast(placeholder{})
	return q
}
