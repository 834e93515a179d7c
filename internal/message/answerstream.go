package message

import (
	"fmt"
	"io"
	"net"
	"time"
)

// AnswerStream is the body of an answer that is forwarded to the client while it is read from the backend.
type AnswerStream struct {
	Size int64 // in bytes

	body    io.Reader
	conn    net.Conn
	readErr error      // from reading from the backend
	done    chan error // capacity 1: the result of forwarding
}

// NewAnswerStream returns a stream of size bytes that are read from body; conn is the backend's connection below it.
func NewAnswerStream(body io.Reader, conn net.Conn, size int64) *AnswerStream {
	return &AnswerStream{Size: size, body: body, conn: conn, done: make(chan error, 1)}
}

// Done returns a channel that receives one value when forwarding has ended: nil if the client got the complete answer.
func (f *AnswerStream) Done() <-chan error { return f.done }

// Read reads from the backend. It fails if nothing arrives within IOTimeout, the limit for clients too.
func (f *AnswerStream) Read(p []byte) (int, error) {
	f.conn.SetReadDeadline(time.Now().Add(IOTimeout))
	n, err := f.body.Read(p)
	if err != nil && err != io.EOF {
		f.readErr = err
	}
	return n, err
}

// Finish reports to the attempt how forwarding the answer ended. A read error from the backend takes precedence over err.
func (f *AnswerStream) Finish(err error) {
	switch {
	case f.readErr != nil:
		err = f.readErr
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrClient, err)
	}
	f.done <- err
}

// WriteTimeoutConn is a client's connection on which each write is limited to IOTimeout.
type WriteTimeoutConn struct{ net.Conn }

// Write writes b to the connection within IOTimeout.
func (p WriteTimeoutConn) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(IOTimeout))
	return p.Conn.Write(b)
}
