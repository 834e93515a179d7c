// Package message is an HTTP/1.1 request and its answer as the front and the carrier share them: the one reads what the
// other sends, and the other way round. Bodies are held in the tiers of package bodies.
package message

import (
	"net/http"
	"time"

	"craneglade/internal/engine"
)

const (
	MaxBodyBytes = 64 << 10 // bytes of a request's or an answer's body, but where settings of our own allow more
	MaxHeadBytes = 16 << 10 // bytes of a head

	// IOTimeout is for how long a client may pause while it sends or reads.
	IOTimeout = 2 * time.Second

	// RequestOverheadBytes is what a request holds beside its body, in bytes: the buffer that its head came in, the head as it was
	// read, and the buffer that it goes out by.
	RequestOverheadBytes = 4<<10 + MaxHeadBytes + 1<<10
	chunkSize            = 32 << 10
)

// RequestHeaders are those that a request may carry, besides its length and host; PROTOCOL knows no others.
var RequestHeaders = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

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
	if !s.Reserve(RequestOverheadBytes) {
		return false
	}
	r.store = s
	return true
}

// Release gives back what the request holds. It may be called again.
func (r *Request) Release() {
	r.Body.Release()
	if r.store != nil {
		r.store.Release(RequestOverheadBytes)
		r.store = nil
	}
}

// Reply is a box's answer.
type Reply struct {
	Header http.Header
	Body   []byte
	Stream *AnswerStream // in place of Body, for one that is still coming

	store *Store // whose room for size bytes it holds; nil for none
	size  int64
}

// AttachReservation has a reply give back size bytes of a store's room once it is released.
func (p *Reply) AttachReservation(s *Store, size int64) { p.store, p.size = s, size }

// Release gives back what the reply holds. It may be called again, and of none.
func (p *Reply) Release() {
	if p != nil && p.store != nil {
		p.store.Release(p.size)
		p.store = nil
	}
}

// Rejection is the answer to what is no request, or whose body has no place. Its connection is closed: what follows on
// it can't be told from the rest of that request.
type Rejection struct {
	Status     int
	Text       string
	RetryAfter time.Duration
}
