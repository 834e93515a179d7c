package httpfront

import (
	"net/http"
	"slices"
	"time"

	"craneglade/internal/message"
)

const (
	// wireFactor bounds what a body in chunks may take on the wire, in bytes for each of its own: one byte in a chunk of
	// its own takes 6, and extensions are allowed. net/http's reader bounds the sum of extensions too.
	wireFactor = 20
	// wireSlack is for the last chunk, the trailer and what lies behind.
	wireSlack = 4 * message.MaxHeadBytes
)

// isChunked tells whether a request's body comes in chunks.
func isChunked(in *http.Request) bool { return slices.Contains(in.TransferEncoding, chunkedCoding) }

// readChunked reads a body in chunks whole, as its length has to be told to the backend. It has the time that bodies
// have, and where it grows beyond the usual size the time that a body of the size so far has.
func (s *Front) readChunked(c *clientConn, r *message.Request, end time.Time) *message.Rejection {
	in := r.In
	by := bodyDeadline(r, end, 0)
	s.deadline(c, by)
	c.cap.N = s.bodies.MaxBodySize(r.Class)*wireFactor + wireSlack
	body, no := s.bodies.ReadUnsized(s.ctx, r.Class, in.Body, func(size int64) {
		if size > message.MaxBodyBytes {
			by = bodyDeadline(r, end, size)
			s.deadline(c, by)
		}
	})
	if no != nil {
		if no.Status == http.StatusBadRequest && !time.Now().Before(by) { // the parser may hide the time-out
			return message.BodyTimedOut()
		}
		return no
	}
	r.Body, in.ContentLength, in.TransferEncoding, in.Trailer = body, body.Len(), nil, nil
	return nil
}
