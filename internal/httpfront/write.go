package httpfront

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/message"
)

// answer is an answer to a client.
type answer struct {
	status     int
	header     http.Header // the backend's headers; nil for the node's own answers
	body       []byte
	stream     *message.AnswerStream // instead of body, for one that is still being received
	retryAfter time.Duration
	reply      *message.Reply // to be released after writing; nil if none
}

// toAnswer converts an answer of the engine.
func toAnswer(a engine.Answer) answer {
	switch p := a.Payload.(type) {
	case *message.Reply:
		return answer{status: http.StatusOK, header: p.Header, body: p.Body, stream: p.Stream, reply: p}
	case *message.Rejection:
		return answer{status: p.Status, body: []byte(p.Text + "\n")}
	}
	if a.Kind == engine.Refused {
		return answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter}
	}
	return answer{status: http.StatusInternalServerError}
}

// reject writes a rejection as the last answer on the connection.
func (c *clientConn) reject(rej *message.Rejection) {
	if c.write(nil, answer{status: rej.Status, body: []byte(rej.Text + "\n"), retryAfter: rej.RetryAfter}, true) == nil {
		c.finishReading()
		c.linger()
	}
}

// finishReading makes a client that has sent more wait for its turn before it can go on with another connection. Nothing else may read
// from the connection. One that holds a reject slot does not wait, as others wait for the slot.
func (c *clientConn) finishReading() {
	if !c.usesRejectSlot {
		c.reads.Finish(lingerTimeout)
	}
}

// linger waits for the client to close after its last answer. If unread data remains or arrives later, closing resets the
// connection, and the client loses what it has not read yet.
func (c *clientConn) linger() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// discardUnread reads what a client that has left sent before it, which the kernel has: closing over unread data resets the connection,
// and a client that has closed its sending side only may still be reading.
func (c *clientConn) discardUnread() {
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, c.Conn)
}

// write sends an answer. An error means that the client has disconnected or does not read.
func (c *clientConn) write(in *http.Request, a answer, last bool) error {
	h := http.Header{"Date": {time.Now().UTC().Format(http.TimeFormat)}}
	if t := a.header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	resp := http.Response{StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: in, Close: last,
		ContentLength: int64(len(a.body)), Body: io.NopCloser(bytes.NewReader(a.body))}
	if f := a.stream; f != nil {
		resp.ContentLength, resp.Body = f.Size, io.NopCloser(f)
		out := bufio.NewWriterSize(message.WriteTimeoutConn{Conn: c.Conn}, 32<<10)
		err := resp.Write(out)
		if err == nil {
			err = out.Flush()
		}
		f.Finish(err)
		return err
	}
	var b bytes.Buffer
	b.Grow(512 + len(a.body))
	if err := resp.Write(&b); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(message.IOTimeout))
	_, err := c.Write(b.Bytes())
	return err
}
