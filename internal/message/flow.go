package message

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Flow is the body of an answer that goes on to the client while it comes from the box.
type Flow struct {
	Size int64

	body  io.Reader
	from  net.Conn
	err   error      // of reading from the box
	ended chan error // holds one: how it ended
}

// NewFlow returns the flow of a body of a size that is read from body, which comes from a connection.
func NewFlow(body io.Reader, from net.Conn, size int64) *Flow {
	return &Flow{Size: size, body: body, from: from, ended: make(chan error, 1)}
}

// Ended gives how the answer's way to the client ended, once: nil where it is there whole.
func (f *Flow) Ended() <-chan error { return f.ended }

// Read reads from the box, which may not pause for longer than a client may.
func (f *Flow) Read(p []byte) (int, error) {
	f.from.SetReadDeadline(time.Now().Add(WriteTime))
	n, err := f.body.Read(p)
	if err != nil && err != io.EOF {
		f.err = err
	}
	return n, err
}

// End tells the attempt how its answer's way to the client ended.
func (f *Flow) End(err error) {
	switch {
	case f.err != nil:
		err = f.err
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrClient, err)
	}
	f.ended <- err
}

// Paced is a client's connection, to which no write may take longer than WriteTime.
type Paced struct{ net.Conn }

func (p Paced) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(WriteTime))
	return p.Conn.Write(b)
}
