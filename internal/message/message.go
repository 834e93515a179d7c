// Package message defines the HTTP/1.1 requests and answers that the front and the carrier exchange. The front reads
// requests that the carrier sends, and the carrier reads answers that the front writes. Bodies are stored in the tiers of
// package bodies.
package message

import (
	"net/http"
	"time"

	"craneglade/internal/engine"
)

const (
	MaxBodyBytes = 64 << 10 // size of a request's or an answer's body, unless the body settings allow more
	MaxHeadBytes = 16 << 10 // size of a request's or an answer's head

	// IOTimeout is how long a client may pause while it reads an answer, and a backend while it sends a streamed one.
	IOTimeout = 2 * time.Second

	// RequestOverheadBytes is the memory that a request uses besides its body: the read buffer of its head, the parsed head
	// and the write buffer.
	RequestOverheadBytes = 4<<10 + MaxHeadBytes + 1<<10
	chunkBytes           = 32 << 10
)

// RequestHeaders are the headers of a request that are forwarded to a backend, besides its length and host. PROTOCOL defines
// no others.
var RequestHeaders = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

// Request is an HTTP request of a client. It is its own engine payload.
type Request struct {
	engine.Request
	In   *http.Request
	Body *Body // nil if there is none
	Shed bool  // the node is overloaded and refuses the request

	store *Store // where RequestOverheadBytes are reserved; nil if none are
}

// Admit reserves the memory for a request without its body and reports whether it was available.
func (s *Store) Admit(r *Request) bool {
	if !s.Reserve(RequestOverheadBytes) {
		return false
	}
	r.store = s
	return true
}

// Release frees the memory and disk space of the request. It may be called repeatedly.
func (r *Request) Release() {
	r.Body.Release()
	if r.store != nil {
		r.store.Release(RequestOverheadBytes)
		r.store = nil
	}
}

// Reply is a backend's answer.
type Reply struct {
	Header http.Header
	Body   []byte
	Stream *AnswerStream // instead of Body, for an answer that is still being received

	release func() // returns its memory; nil if none is reserved
}

// OnRelease makes Release call release, which returns the memory of the reply.
func (p *Reply) OnRelease(release func()) { p.release = release }

// Release returns the memory reserved for the reply. It may be called repeatedly, and on nil.
func (p *Reply) Release() {
	if p != nil && p.release != nil {
		p.release()
		p.release = nil
	}
}

// Rejection is the node's answer to a malformed request or to one whose body can't be stored. The connection is closed
// after it, as the next request can't be told apart from the rest of the rejected one.
type Rejection struct {
	Status     int
	Text       string
	RetryAfter time.Duration
}
