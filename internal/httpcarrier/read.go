package httpcarrier

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"craneglade/internal/message"
)

// chunkedFactor bounds what an answer in chunks may take on the wire, in bytes for each of its body: one byte in a chunk
// of its own takes 6.
const chunkedFactor = 8

var (
	// errSpoilt is an answer that can't be the backend's answer to the request. The request may have run.
	errSpoilt  = errors.New("a spoilt answer")
	errTooLong = errors.New("it is longer than there is room for")
)

// read reads one answer whole, before any of it goes on: one that breaks can still be tried again. Of a served one whose
// length is told, up to most bytes, and for which there is no room, it reads the head and tells that the rest is to be
// streamed. Longer ones are spoilt.
func (c *backendConn) read(method string, room *message.AnswerRoom, most int64) (resp *http.Response, body []byte, stream bool, err error) {
	resp, begun, err := c.readHead(method)
	if err != nil {
		return nil, nil, false, err
	}
	served := resp.StatusCode == http.StatusOK
	switch size := resp.ContentLength; {
	case size > message.UsualBody && (!served || size > most):
		err = fmt.Errorf("%d bytes", size)
	case size > 0 && served && !room.Take(size):
		c.cap.N += size
		return resp, nil, true, nil
	case size >= 0:
		body, err = c.readSized(resp, begun)
	default:
		body, err = c.readUnsized(resp, begun, room)
	}
	if err != nil {
		return nil, nil, false, fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return resp, body, false, c.SetReadDeadline(time.Time{})
}

// readHead reads the head of the answer, and those of informational ones before it. begun is when its first byte came. One
// without a length is taken only where its head says that the connection ends with it.
func (c *backendConn) readHead(method string) (resp *http.Response, begun time.Time, err error) {
	c.cap.N = message.MaxHead + message.UsualBody
	for {
		if _, err := c.in.Peek(1); err != nil {
			return nil, begun, err
		}
		begun = time.Now()
		if err := c.SetReadDeadline(begun.Add(answerTime)); err != nil {
			return nil, begun, err
		}
		head := c.head()
		closes := saysClose(head)
		resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, begun, fmt.Errorf("%w: %w", errSpoilt, err)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, begun, fmt.Errorf("%w: it switches protocols", errSpoilt)
		case resp.StatusCode < http.StatusOK: // informational: the answer follows, perhaps after a while
			if err := c.SetReadDeadline(time.Time{}); err != nil {
				return nil, begun, err
			}
		case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !closes:
			return nil, begun, fmt.Errorf("%w: no length", errSpoilt)
		default:
			return resp, begun, nil
		}
	}
}

// readSized reads a body whose length is told.
func (c *backendConn) readSized(resp *http.Response, begun time.Time) ([]byte, error) {
	size := resp.ContentLength
	c.cap.N += size
	if err := c.allow(begun, size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readUnsized reads a body whose length nobody told, to its end. Beyond the usual size it takes room in steps.
func (c *backendConn) readUnsized(resp *http.Response, begun time.Time, room *message.AnswerRoom) ([]byte, error) {
	var body bytes.Buffer
	limit := int64(message.UsualBody)
	for {
		// The connection's cap is never what ends a body: one that ends with its connection would pass as whole.
		c.cap.N = chunkedFactor*limit + message.MaxHead
		if err := c.allow(begun, limit); err != nil {
			return nil, err
		}
		_, err := io.CopyN(&body, resp.Body, limit+1-int64(body.Len()))
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		more := limit
		if resp.StatusCode == http.StatusOK {
			more = room.Extend(limit)
		}
		if more == limit {
			return nil, fmt.Errorf("%w: more than %d bytes", errTooLong, limit)
		}
		limit = more
	}
}

// allow gives an answer of a size, in bytes, the time that it may take since its first byte came.
func (c *backendConn) allow(begun time.Time, size int64) error {
	extra := message.LongTime(size)
	if extra == 0 {
		return nil
	}
	return c.SetReadDeadline(begun.Add(answerTime + extra))
}
