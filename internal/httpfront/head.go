package httpfront

import (
	"io"
	"net/http"
	"time"

	"craneglade/internal/message"
)

// initialHeadBytes is the first size of a headBuffer. Most heads need none, as they fit into the connection's bufio.Reader.
const initialHeadBytes = 2 << 10

// headBuffer holds a request's head, between the socket and the connection's bufio.Reader, until the head is complete. Parsing
// needs many times the size of the head, and a client that stops within a head must not make the node hold that. The memory of
// the buffer itself is reserved before it grows. The zero value with a source holds nothing and only passes reads on.
type headBuffer struct {
	source   io.Reader
	memory   *message.Store
	data     []byte
	next     int   // index of the next byte of data to be read
	reserved int64 // memory, in bytes
}

// unread returns the bytes that were collected and not read yet.
func (b *headBuffer) unread() []byte { return b.data[b.next:] }

// Read reads what was collected, and after that from the source.
func (b *headBuffer) Read(p []byte) (int, error) {
	if len(b.unread()) == 0 {
		return b.source.Read(p)
	}
	n := copy(p, b.unread())
	b.next += n
	if len(b.unread()) == 0 {
		b.release()
	}
	return n, nil
}

// collect reads from the source until complete returns true, or an error occurs. It reports false if there is no memory for more.
// An error occurs again when the collected bytes have been read.
func (b *headBuffer) collect(complete func() bool) (hasMemory bool) {
	for !complete() {
		if len(b.data) == cap(b.data) && !b.grow() {
			return false
		}
		n, err := b.source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			break
		}
	}
	return true
}

// grow reserves and allocates a larger buffer, and reports whether there was memory for it.
func (b *headBuffer) grow() bool {
	size := max(initialHeadBytes, 2*cap(b.data))
	more := int64(size) - b.reserved
	if !b.memory.Reserve(more) {
		return false
	}
	b.reserved += more
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// release drops what was collected and returns its memory. It may be called repeatedly.
func (b *headBuffer) release() {
	b.data, b.next = nil, 0
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.reserved = 0
	}
}

// readHead reads a request's head, which must arrive by end, and validates it. It is parsed only when it is complete or can't become
// so, as few at a time as there are processors.
func (s *Front) readHead(c *clientConn, end time.Time) (r *message.Request, rej *message.Rejection) {
	if !c.head.collect(func() bool { return c.framing.ended || c.framing.invalid }) {
		return nil, noMemoryForRequest()
	}
	s.parsing.Run(func() {
		c.SetReadDeadline(time.Unix(1, 0)) // parsing must not wait for more, whatever the parser takes for the end of the head
		r, rej = s.parseHead(c, end)
	})
	return r, rej
}

// parseHead parses and validates a head that was collected.
func (s *Front) parseHead(c *clientConn, end time.Time) (*message.Request, *message.Rejection) {
	in, err := http.ReadRequest(c.in)
	if err != nil && !time.Now().Before(end) { // the parser may hide the timeout
		return nil, &message.Rejection{Status: http.StatusRequestTimeout, Text: "the head did not come in time"}
	}
	if err != nil && c.limit.N <= 0 {
		return nil, &message.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	}
	if rej := c.framing.check(); rej != nil {
		return nil, rej
	}
	if err != nil {
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: err.Error()}
	}
	r := &message.Request{In: in}
	r.Payload = r
	if rej := s.check(r); rej != nil {
		return nil, rej
	}
	if isChunked(in) != (len(c.framing.codings) > 0) { // net/http and framing disagree on where the body ends
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: "Transfer-Encoding: unclear"}
	}
	dropUnusedHeaders(in)
	return r, nil
}

// dropUnusedHeaders reduces a request's header to the fields that the node uses or forwards. A head of 16 KiB can hold thousands of
// others, which would need many times its size for as long as the request is open.
func dropUnusedHeaders(in *http.Request) {
	kept := http.Header{}
	for _, name := range append([]string{"Expect"}, message.RequestHeaders...) {
		if values := in.Header[name]; len(values) > 0 {
			kept[name] = []string{values[0]}
		}
	}
	in.Header = kept
}

// noMemoryForRequest returns the answer to a request for which there is no memory. Nothing of it was sent to a backend.
func noMemoryForRequest() *message.Rejection {
	return &message.Rejection{Status: http.StatusServiceUnavailable, Text: "no memory is left for a request", RetryAfter: unsentRetryAfter}
}
