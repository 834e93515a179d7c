package httpfront

import (
	"io"
	"net/http"
	"time"

	"craneglade/internal/message"
)

// read reads the next request. Both results are nil if there is none, or if nobody is left to receive a rejection.
func (s *Front) read(c *clientConn) (*message.Request, *message.Rejection) {
	c.limit.N = message.MaxHeadBytes
	end := c.start.Add(headTimeout)
	if c.answered {
		s.setReadDeadline(c, time.Now().Add(idleTimeout))
	} else {
		s.setReadDeadline(c, end)
	}
	c.framing.reset()
	if buffered, err := c.in.Peek(c.in.Buffered()); err == nil {
		c.framing.scan(buffered)
	}
	c.framing.scan(c.head.unread())
	pipelined, rej, err := c.awaitRequest()
	if err != nil || rej != nil {
		return nil, rej
	}
	now := time.Now()
	if c.answered {
		end = now.Add(headTimeout)
	}
	arrived := c.arrivedBy(c.consumed() + 1)
	delay := time.Duration(0)
	if !pipelined { // else it has waited for the answer to the one before
		delay = now.Sub(arrived)
	}
	s.noteRequestStart(c, end)
	r, rej := s.readHead(c, end)
	if rej != nil {
		return nil, rej
	}
	r.Arrived = arrived
	if r.ID == "" { // a readiness request has no id
		return r, nil
	}
	r.Shed = s.shouldShed(delay, r)
	if !s.bodies.Admit(r) {
		return nil, noMemoryForRequest()
	}
	if rej := s.readBody(c, r, end); rej != nil {
		r.Release()
		return nil, rej
	}
	// The client's time runs from when the last byte had arrived on this machine, not from when it was read. The rest of a body that is
	// streamed is still to come.
	r.Arrived = c.arrivedBy(c.consumed())
	return r, nil
}

// awaitRequest waits for the first byte of a request and skips empty lines before it (RFC 9112, 2.2). buffered reports
// whether that byte had arrived before the call. An error means that there is no request.
func (c *clientConn) awaitRequest() (buffered bool, rej *message.Rejection, err error) {
	for lines := 0; ; lines++ {
		buffered = c.isBuffered()
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

// emptyLine waits for the next byte and returns the length in bytes of the line end that it starts, 0 for anything else.
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

// readBody reads a request's body, if it has one. end is the deadline of its head.
func (s *Front) readBody(c *clientConn, r *message.Request, end time.Time) *message.Rejection {
	in := r.In
	if in.ContentLength == 0 {
		return nil
	}
	if in.Header.Get("Expect") != "" {
		c.SetWriteDeadline(end.Add(bodyTimeout))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // a write error shows up when the body is read
	}
	if isChunked(in) {
		return s.readChunked(c, r, end)
	}
	s.setReadDeadline(c, bodyDeadline(r, end, in.ContentLength))
	c.limit.N = in.ContentLength
	var rej *message.Rejection
	r.Body, rej = s.bodies.Read(s.ctx, r.Class, in)
	return rej
}

// bodyDeadline returns when a request's body of size bytes must have arrived. One larger than message.MaxBodyBytes may take
// longer, but not longer than the client waits for the answer.
func bodyDeadline(r *message.Request, headDeadline time.Time, size int64) time.Time {
	deadline := headDeadline.Add(bodyTimeout)
	if size > message.MaxBodyBytes {
		deadline = deadline.Add(time.Duration(size) * time.Second / minBodyBytesPerSecond)
		if clientDeadline := r.Arrived.Add(r.ClientTimeout); clientDeadline.Before(deadline) {
			deadline = clientDeadline
		}
	}
	return deadline
}
