package hierarchy

import (
	"time"

	"craneglade/internal/controlplane/message"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventCall         eventKind = iota // run is called
	eventWake                          // the process steps its state machines
	eventMessage                       // a message arrives
	eventConnected                     // a connection is established, at the child
	eventAccepted                      // the same at the parent
	eventDisconnected                  // a connection has ended, at the child
	eventClosed                        // the same at the parent
)

// event is something that happens at a time, to a process unless it is an eventCall.
type event struct {
	at          time.Duration
	sequence    uint64 // orders events of the same time
	kind        eventKind
	incarnation int // of the process; events for an earlier incarnation are dropped
	process     *Process
	link        *link
	message     message.Message
	encoded     []byte // message as bytes, if the receiver is a measured process
	size        int    // bytes on the wire
	run         func()
}

// eventQueue is a binary heap ordered by time.
type eventQueue struct {
	items    []event
	sequence uint64
}

func (q *eventQueue) less(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (q *eventQueue) push(e event) {
	q.sequence++
	e.sequence = q.sequence
	q.items = append(q.items, e)
	for i := len(q.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	first, last := q.items[0], len(q.items)-1
	q.items[0] = q.items[last]
	q.items[last] = event{}
	q.items = q.items[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return first
		}
		q.items[i], q.items[smallest] = q.items[smallest], q.items[i]
		i = smallest
	}
}
