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
	pipelined, rej, err := c.awaitRequest()
	if err != nil || rej != nil {
		return nil, rej
	}
	r := &message.Request{Request: engine.Request{Arrived: time.Now()}}
	r.Payload = r
	if c.answered {
		end = r.Arrived.Add(headTimeout)
	}
	// Its client's time has run since it came to this machine, not since it was read here.
	delay := time.Duration(0)
	if !pipelined {
		delay = s.receiveDelay(c.Conn)
	}
	r.Arrived = r.Arrived.Add(-delay)
	s.noteRequestStart(c, end)
	if r.In, rej = c.readHead(end); rej != nil {
		return nil, rej
	}
	if rej := s.check(r); rej != nil {
		return nil, rej
	}
	if isChunked(r.In) != (len(c.framing.codings) > 0) { // net/http and framing read the head unlike: nobody knows where it ends
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: "Transfer-Encoding: unclear"}
	}
	if r.ID == "" { // a question for the node's readiness
		return r, nil
	}
	r.Shed = s.shouldShed(delay, r)
	if !s.bodies.Admit(r) {
		return nil, &message.Rejection{Status: http.StatusServiceUnavailable, Text: "no memory is left for a request", RetryAfter: 250 * time.Millisecond}
	}
	if rej := s.readBody(c, r, end); rej != nil {
		r.Release()
		return nil, rej
	}
	return r, nil
}

// awaitRequest waits for the first byte of a request and passes over empty lines before it (RFC 9112, 2.2). buffered tells
// whether that byte had come before it was waited for. An error means that there is no request.
func (c *clientConn) awaitRequest() (buffered bool, rej *message.Rejection, err error) {
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
	if err != nil && c.limit.N <= 0 {
		return nil, &message.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	}
	if rej := c.framing.check(); rej != nil {
		return nil, rej
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
		c.SetWriteDeadline(end.Add(bodyTimeout))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
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

// bodyDeadline is by when a request's body of a size, in bytes, is to be there. One beyond the usual size may take longer,
// but not longer than anybody waits for the answer.
func bodyDeadline(r *message.Request, headDeadline time.Time, size int64) time.Time {
	deadline := headDeadline.Add(bodyTimeout)
	if size > message.MaxBodyBytes {
		deadline = deadline.Add(time.Duration(size) * time.Second / minBodyBytesPerSecond)
		if timeout := r.Arrived.Add(r.Patience); timeout.Before(deadline) {
			deadline = timeout
		}
	}
	return deadline
}
