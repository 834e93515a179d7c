package hierarchy

import (
	"time"

	"craneglade/internal/controlplane/message"
)

// eventKind says what an event is.
type eventKind uint8

const (
	eventCall      eventKind = iota // run is called
	eventWake                       // the process is to step its state machines
	eventMessage                    // a message arrives
	eventConnected                  // a connection stands, at its child
	eventAccepted                   // or at its parent
	eventEnded                      // a connection has ended, at its child
	eventHungUp                     // or at its parent
)

// event is something that happens at a time, to a process where one is named.
type event struct {
	at       time.Duration
	sequence uint64 // decides between events of one time
	kind     eventKind
	life     int // of the process; what is for an earlier life is dropped
	process  *Process
	link     *link
	message  message.Message
	encoded  []byte // of the message, where its receiver is a measured process
	size     int    // bytes on the wire
	run      func()
}

// eventQueue is a binary heap by time.
type eventQueue struct {
	items    []event
	sequence uint64
}

func (q *eventQueue) before(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (q *eventQueue) push(e event) {
	q.sequence++
	e.sequence = q.sequence
	q.items = append(q.items, e)
	for i := len(q.items) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.before(i, up) {
			return
		}
		q.items[i], q.items[up] = q.items[up], q.items[i]
		i = up
	}
}

// pop takes the earliest event; the queue must not be empty.
func (q *eventQueue) pop() event {
	first, last := q.items[0], len(q.items)-1
	q.items[0] = q.items[last]
	q.items[last] = event{}
	q.items = q.items[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.before(child, least) {
				least = child
			}
		}
		if least == i {
			return first
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}
