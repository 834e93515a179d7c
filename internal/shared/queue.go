package shared

import "github.com/hashicorp/memberlist"

// keeper is an item that stays in a queue for good, as it is larger than anything that is ever asked for. A queue of
// memberlist v0.7.0 begins its items' numbers anew whenever it is empty, also in the middle of putting a new item in the
// place of one with its name. Two items can then have one number, and where they are equally long too the one drops the
// other out of the queue but not out of its list of names; from then on that name is dropped at each turn, and the others
// never hear of it again. A queue that is never empty numbers on.
type keeper struct{}

// keeperBytes is more than any datagram has room for.
const keeperBytes = 1 << 20

var keeperMessage = make([]byte, keeperBytes)

func (keeper) Name() string                          { return "keeper" }
func (keeper) Invalidates(memberlist.Broadcast) bool { return false }
func (keeper) Message() []byte                       { return keeperMessage }
func (keeper) Finished()                             {}

// newQueue returns a queue in which nothing waits to be sent.
func newQueue(size func() int, multiplier int) *memberlist.TransmitLimitedQueue {
	q := &memberlist.TransmitLimitedQueue{NumNodes: size, RetransmitMult: multiplier}
	q.QueueBroadcast(keeper{})
	return q
}
