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
	behind := c.in.Buffered() > 0 // it came while the one before was answered
	if _, err := c.in.Peek(1); err != nil {
		return nil, nil
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
	in, err := http.ReadRequest(c.in)
	switch {
	case err != nil && !time.Now().Before(end): // the parser may hide the time-out
		return nil, &message.Rejection{Status: http.StatusRequestTimeout, Text: "the head did not come in time"}
	case err != nil && c.cap.N <= 0:
		return nil, &message.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	case err != nil:
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: err.Error()}
	}
	r.In = in
	if no := s.check(r); no != nil {
		return nil, no
	}
	if r.ID == "" { // a question for the node's readiness
		return r, nil
	}
	r.Shed = s.sheds(late, r)
	if !s.bodies.Admit(r) {
		return nil, &message.Rejection{Status: http.StatusServiceUnavailable, Text: "no memory is left for a request", RetryAfter: 250 * time.Millisecond}
	}
	if in.ContentLength > 0 {
		if in.Header.Get("Expect") != "" {
			c.SetWriteDeadline(end.Add(bodyTime))
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
		}
		by := end.Add(bodyTime)
		if in.ContentLength > message.MaxBody { // takes longer, but not longer than anybody waits for the answer
			by = by.Add(time.Duration(in.ContentLength) * time.Second / bodyRate)
			if up := r.Arrived.Add(r.Patience); up.Before(by) {
				by = up
			}
		}
		s.deadline(c, by)
		c.cap.N = in.ContentLength
		var no *message.Rejection
		if r.Body, no = s.bodies.Read(s.ctx, r.Class, in); no != nil {
			r.Release()
			return nil, no
		}
	}
	return r, nil
}
