// Package message is an HTTP/1.1 request and its answer as the front and the carrier share them: the one reads what the
// other sends, and the other way round. Bodies are held in the tiers of package bodies.
package message

import (
	"net/http"
	"time"

	"craneglade/internal/engine"
)

const (
	// UsualBody is up to how many bytes the body of a request or an answer is of the usual size. Longer ones are taken as
	// far as the memory allows (Store), and have more time.
	UsualBody = 64 << 10
	MaxHead   = 16 << 10 // bytes of a head

	// LongestBody is the longest body that is taken where no settings of our own have another, in bytes, on a node with
	// memory for it: one takes no more than a part in longestPart of the memory of all bodies.
	LongestBody = 1 << 20
	longestPart = 8

	// longRate is what a body beyond the usual size has to come or go at, in bytes a second.
	longRate = 1 << 20

	// WriteTime is for how long a client may pause while it sends or reads.
	WriteTime = 2 * time.Second

	// HeadCost is what a request holds beside its body, in bytes: the buffer that its head came in, the head as it was
	// read, and the buffer that it goes out by.
	HeadCost  = 4<<10 + MaxHead + 1<<10
	chunkSize = 32 << 10
)

// Headers are those that a request may carry, besides its length and host; PROTOCOL knows no others.
var Headers = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

// Request is one request of a client. It is its own payload.
type Request struct {
	engine.Request
	In   *http.Request
	Body *Body // nil for none
	Shed bool  // the node is so far behind that it refuses it

	store *Store // whose room for HeadCost it holds; nil for none
}

// Admit takes room for a request, apart from its body, and tells whether there is any.
func (s *Store) Admit(r *Request) bool {
	if !s.Hold(HeadCost) {
		return false
	}
	r.store = s
	return true
}

// Release gives back what the request holds. It may be called again.
func (r *Request) Release() {
	r.Body.Free()
	if r.store != nil {
		r.store.Free(HeadCost)
		r.store = nil
	}
}

// Reply is a box's answer.
type Reply struct {
	Header http.Header
	Body   []byte
	Flow   *Flow // in place of Body, for one that is still coming

	room *AnswerRoom // nil for none
}

// Holds has a reply give back its body's room once it is released.
func (p *Reply) Holds(room *AnswerRoom) { p.room = room }

// Release gives back what the reply holds. It may be called again, and of none.
func (p *Reply) Release() {
	if p != nil && p.room != nil {
		p.room.Free()
	}
}

// LongTime is how much longer than one of the usual size a body of a size, in bytes, may take.
func LongTime(size int64) time.Duration {
	if size <= UsualBody {
		return 0
	}
	return time.Duration(size) * time.Second / longRate
}

// Rejection is the answer to what is no request, or whose body has no place. Its connection is closed: what follows on
// it can't be told from the rest of that request.
type Rejection struct {
	Status     int
	Text       string
	RetryAfter time.Duration
}
