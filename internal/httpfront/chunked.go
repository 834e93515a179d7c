package httpfront

import (
	"net/http"
	"slices"
	"time"

	"craneglade/internal/message"
)

const (
	// maxWireFactor limits the size of a chunked body on the wire, in bytes for each byte of content: one byte in a chunk
	// of its own takes 6, and chunk extensions are allowed. net/http's reader limits the total of extensions too.
	maxWireFactor = 20
	// wireSlackBytes allows for the last chunk, the trailer and the start of the next request.
	wireSlackBytes = 4 * message.MaxHeadBytes
)

// isChunked reports whether a request has a chunked body.
func isChunked(in *http.Request) bool { return slices.Contains(in.TransferEncoding, chunkedCoding) }

// readChunked reads a chunked body completely, as the backend must be sent its length. The deadline is that of any body;
// once the body grows beyond MaxBodyBytes, it is that of a body of the size read so far.
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
		if rej.Status == http.StatusBadRequest && !time.Now().Before(deadline) { // the parser may hide the timeout
			return message.BodyTimedOut()
		}
		return rej
	}
	r.Body, in.ContentLength, in.TransferEncoding, in.Trailer = body, body.Len(), nil, nil
	return nil
}
