package message

import (
	"fmt"
	"io"
	"net"
	"time"
)

// AnswerStream is the body of an answer that goes on to the client while it comes from the box.
type AnswerStream struct {
	Size int64

	body  io.Reader
	from  net.Conn
	err   error      // of reading from the box
	ended chan error // holds one: how it ended
}

// NewAnswerStream returns the flow of a body of a size that is read from body, which comes from a connection.
func NewAnswerStream(body io.Reader, from net.Conn, size int64) *AnswerStream {
	return &AnswerStream{Size: size, body: body, from: from, ended: make(chan error, 1)}
}

// Done gives how the answer's way to the client ended, once: nil where it is there whole.
func (f *AnswerStream) Done() <-chan error { return f.ended }

// Read reads from the box, which may not pause for longer than a client may.
func (f *AnswerStream) Read(p []byte) (int, error) {
	f.from.SetReadDeadline(time.Now().Add(IOTimeout))
	n, err := f.body.Read(p)
	if err != nil && err != io.EOF {
		f.err = err
	}
	return n, err
}

// Finish tells the attempt how its answer's way to the client ended.
func (f *AnswerStream) Finish(err error) {
	switch {
	case f.err != nil:
		err = f.err
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrClient, err)
	}
	f.ended <- err
}

// WriteTimeoutConn is a client's connection, to which no write may take longer than WriteTime.
type WriteTimeoutConn struct{ net.Conn }

func (p WriteTimeoutConn) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(IOTimeout))
	return p.Conn.Write(b)
}
