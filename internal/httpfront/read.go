package httpfront

import (
	"io"
	"net/http"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/message"
)

// read reads the next request. Both results are nil where there is none, or nobody to tell what is wrong with it.
func (s *Front) read(c *clientConn) (*message.Request, *message.Rejection) {
	c.cap.N = message.MaxHead
	end := c.start.Add(headTime)
	if c.used {
		s.deadline(c, time.Now().Add(idleTime))
	} else {
		s.deadline(c, end)
	}
	c.framing.reset()
	if buffered, err := c.in.Peek(c.in.Buffered()); err == nil {
		c.framing.scan(buffered)
	}
	behind, no, err := c.awaitRequest()
	if err != nil || no != nil {
		return nil, no
	}
	r := &message.Request{Request: engine.Request{Arrived: time.Now()}}
	r.Payload = r
	if c.used {
		end = r.Arrived.Add(headTime)
	}
	// Its client's time has run since it came to this machine, not since it was read here.
	late := time.Duration(0)
	if !behind {
		late = s.waited(c.Conn)
	}
	r.Arrived = r.Arrived.Add(-late)
	s.reading(c, end)
	if r.In, no = c.readHead(end); no != nil {
		return nil, no
	}
	if no := s.check(r); no != nil {
		return nil, no
	}
	if isChunked(r.In) != (len(c.framing.codings) > 0) { // net/http and framing read the head unlike: nobody knows where it ends
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: "Transfer-Encoding: unclear"}
	}
	if r.ID == "" { // a question for the node's readiness
		return r, nil
	}
	r.Shed = s.sheds(late, r)
	if !s.bodies.Admit(r) {
		return nil, &message.Rejection{Status: http.StatusServiceUnavailable, Text: "no memory is left for a request", RetryAfter: 250 * time.Millisecond}
	}
	if no := s.readBody(c, r, end); no != nil {
		r.Release()
		return nil, no
	}
	return r, nil
}

// awaitRequest waits for the first byte of a request and passes over empty lines before it (RFC 9112, 2.2). buffered tells
// whether that byte had come before it was waited for. An error means that there is no request.
func (c *clientConn) awaitRequest() (buffered bool, no *message.Rejection, err error) {
	for lines := 0; ; lines++ {
		buffered = c.in.Buffered() > 0
		length, err := c.emptyLine()
		if err != nil {
			return false, nil, err
		}
		if length == 0 {
			return buffered, nil, nil
		}
		if lines == maxEmptyLines {
			return false, &message.Rejection{Status: http.StatusBadRequest, Text: "too many empty lines before a request"}, nil
		}
		if _, err := c.in.Discard(length); err != nil {
			return false, nil, err
		}
	}
}

// emptyLine waits for the next byte and returns the length of the line end that it begins, in bytes; 0 for anything else.
func (c *clientConn) emptyLine() (length int, err error) {
	next, err := c.in.Peek(1)
	if err != nil {
		return 0, err
	}
	switch next[0] {
	case '\n':
		return 1, nil
	case '\r':
		next, err = c.in.Peek(2)
		if err == nil && next[1] == '\n' {
			return 2, nil
		}
	}
	return 0, err
}

// readHead reads a request's head, which is to be there by end.
func (c *clientConn) readHead(end time.Time) (*http.Request, *message.Rejection) {
	in, err := http.ReadRequest(c.in)
	if err != nil && !time.Now().Before(end) { // the parser may hide the time-out
		return nil, &message.Rejection{Status: http.StatusRequestTimeout, Text: "the head did not come in time"}
	}
	if err != nil && c.cap.N <= 0 {
		return nil, &message.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	}
	if no := c.framing.check(); no != nil {
		return nil, no
	}
	if err != nil {
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: err.Error()}
	}
	return in, nil
}

// readBody reads a request's body, where it has one. end is by when its head was to be there.
func (s *Front) readBody(c *clientConn, r *message.Request, end time.Time) *message.Rejection {
	in := r.In
	if in.ContentLength == 0 {
		return nil
	}
	if in.Header.Get("Expect") != "" {
		c.SetWriteDeadline(end.Add(bodyTime))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
	}
	if isChunked(in) {
		return s.readChunked(c, r, end)
	}
	s.deadline(c, bodyDeadline(r, end, in.ContentLength))
	c.cap.N = in.ContentLength
	var no *message.Rejection
	r.Body, no = s.bodies.Read(s.ctx, r.Class, in)
	return no
}

// bodyDeadline is by when a request's body of a size, in bytes, is to be there. One beyond the usual size may take longer,
// but not longer than anybody waits for the answer.
func bodyDeadline(r *message.Request, head time.Time, size int64) time.Time {
	by := head.Add(bodyTime)
	if size > message.MaxBody {
		by = by.Add(time.Duration(size) * time.Second / bodyRate)
		if up := r.Arrived.Add(r.ClientTimeout); up.Before(by) {
			by = up
		}
	}
	return by
}
