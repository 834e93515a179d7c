package httpfront

import (
	"net/http"
	"slices"
	"time"

	"craneglade/internal/message"
)

const (
	// maxWireFactor bounds what a body in chunks may take on the wire, in bytes for each of its own: one byte in a chunk of
	// its own takes 6, and extensions are allowed. net/http's reader bounds the sum of extensions too.
	maxWireFactor = 20
	// wireSlackBytes is for the last chunk, the trailer and what lies behind.
	wireSlackBytes = 4 * message.MaxHeadBytes
)

// isChunked tells whether a request's body comes in chunks.
func isChunked(in *http.Request) bool { return slices.Contains(in.TransferEncoding, chunkedCoding) }

// readChunked reads a body in chunks whole, as its length has to be told to the backend. It has the time that bodies
// have, and where it grows beyond the usual size the time that a body of the size so far has.
func (s *Front) readChunked(c *clientConn, r *message.Request, end time.Time) *message.Rejection {
	in := r.In
	deadline := bodyDeadline(r, end, 0)
	s.setReadDeadline(c, deadline)
	c.limit.N = s.bodies.MaxBodySize(r.Class)*maxWireFactor + wireSlackBytes
	body, rej := s.bodies.ReadUnsized(s.ctx, r.Class, in.Body, func(size int64) {
		if size > message.MaxBodyBytes {
			deadline = bodyDeadline(r, end, size)
			s.setReadDeadline(c, deadline)
		}
	})
	if rej != nil {
		if rej.Status == http.StatusBadRequest && !time.Now().Before(deadline) { // the parser may hide the time-out
			return message.BodyTimedOut()
		}
		return rej
	}
	r.Body, in.ContentLength, in.TransferEncoding, in.Trailer = body, body.Len(), nil, nil
	return nil
}
